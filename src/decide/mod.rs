//! The decisions of `rillford serve`, without I/O: `handle(now, event) -> actions`.
//!
//! The path of a request: [`Machine::handle`] gets an [`Arrival`], the policy program ranks it, and a [`RequestQueue`]
//! holds it until `placement` has chosen engines. The box that owns the decode engine reserves a slot in its
//! [`SlotTable`]. A [`RequestMachine`] issues the commands and ends in a [`RequestOutcome`].

mod action;
mod admission;
mod arrival;
mod configuration_view;
mod context;
mod endpoint;
mod event;
mod fair_queue;
mod fleet;
mod hold;
mod link_windows;
mod machine;
mod membership;
mod open_commands;
mod peer_handling;
mod peer_message;
mod placement;
mod prefix_hints;
mod rank;
pub mod request_machine;
mod request_outcome;
mod request_queue;
mod retry_budget;
mod role_switch;
mod slot_table;
mod status;
mod timeline_event;
mod timers;
mod tuning;

pub(crate) use self::timers::Timers;

pub use self::{
  action::{
    Action, CallCommand, DecodeCommand, HoldCommand, ImportCommand, PrefillCommand, RoleCommand,
  },
  arrival::{Arrival, ModelWork, ServiceWork, Work},
  configuration_view::{ConfigurationView, OrganisationLimits},
  context::{Context, Identity},
  endpoint::{Endpoint, EndpointEvent, EndpointKind, EndpointLifecycle, EndpointSpec},
  event::{
    Began, BoxEntry, CancelAnswer, ClaimOutcome, Event, HeldAttempt, LoadReport, Role,
    StageOutcome, StageReport,
  },
  fair_queue::{FairQueue, QueueEntry},
  fleet::{Fleet, PoolKey},
  hold::Hold,
  link_windows::LinkWindows,
  machine::{Machine, Setup},
  membership::{FULL_MESH_BOXES, Membership, Peer, rendezvous_order},
  open_commands::{CommandKey, OpenCommands},
  peer_message::{
    Document, DocumentRevision, Heartbeat, LeavingEndpoint, PeerMessage, SlotRequest, SlotResponse,
  },
  placement::{Placement, PlacementError},
  prefix_hints::{BLOCK_TOKENS, PrefixHints},
  rank::Rank,
  request_machine::{PlacementResult, RequestEvent, RequestMachine},
  request_outcome::{NotRunReason, RequestOutcome, UnknownReason},
  request_queue::RequestQueue,
  retry_budget::RetryBudget,
  role_switch::{Candidate, RoleSwitch, RoleSwitchLimits, next_role_switch},
  slot_table::{EngineView, SlotDecision, SlotTable},
  status::{EndpointState, EndpointStatus, PeerStatus, Status},
  timeline_event::{EventKind, TimelineEvent},
  tuning::{PlacementMode, SlotMode, Tuning},
};
