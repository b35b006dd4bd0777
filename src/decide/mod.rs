//! The decisions, free of I/O: `handle(now, event) -> actions`.
//!
//! A request's way: [`Machine::handle`] takes an [`Arrival`], policy ranks it, a [`Lane`] holds it,
//! `placement` chooses engines, the decode engine's home box reserves a seat in its [`SeatBook`],
//! and [`life::Life`] follows the orders to one of the [`Ending`]s.

mod action;
mod admission;
mod arrival;
mod configuration_view;
mod ending;
mod endpoint;
mod event;
mod fair_queue;
mod fleet;
mod lane;
pub mod life;
mod link_windows;
mod machine;
mod membership;
mod note;
mod orders;
mod peer_handling;
mod peer_message;
mod placement;
mod prefix_hints;
mod rank;
mod retry_budget;
mod scene;
mod seat_book;
mod status;
mod steward;
mod timers;
mod tuning;

pub(crate) use self::timers::Timers;

pub use self::{
  action::{Action, DecodeOrder, HoldOrder, ImportOrder, PrefillOrder, RoleOrder, ServiceOrder},
  arrival::{Arrival, ModelWork, ServiceWork, Work},
  configuration_view::{ConfigurationView, OrganisationLimits},
  ending::{Doubt, Ending, Refusal},
  endpoint::{Endpoint, EndpointIncarnation, EndpointKind, EndpointSpec, Sign},
  event::{
    Began, BoxEntry, CancelAnswer, ClaimOutcome, Event, HeldAttempt, LoadReport, Role,
    StageOutcome, StageReport,
  },
  fair_queue::{FairQueue, Waiting},
  fleet::{Fleet, PoolKey},
  lane::Lane,
  life::{Life, Placed, Step},
  link_windows::LinkWindows,
  machine::{Machine, Setup},
  membership::{FULL_MESH_BOXES, Membership, Peer, ranked},
  note::{Note, NoteKind},
  orders::{OrderKey, Orders},
  peer_message::{
    Document, DocumentRevision, Heartbeat, LeavingEndpoint, PeerMessage, SeatAnswer, SeatAsk,
  },
  placement::{NoPermit, Placement},
  prefix_hints::{BLOCK_TOKENS, PrefixHints},
  rank::Rank,
  retry_budget::RetryBudget,
  scene::{Identity, Scene},
  seat_book::{EngineView, SeatBook, SeatDecision},
  status::{EndpointState, EndpointStatus, PeerStatus, Status},
  steward::{Candidate, Turn, TurnBounds, next_turn},
  tuning::{PlacementMode, SeatMode, Tuning},
};
