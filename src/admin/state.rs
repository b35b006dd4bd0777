//! State shared by the handlers of the administration API.

use {
  crate::{
    decide::{Document, Event, Status},
    ids::Name,
    observe::Timeline,
    ring::Sender,
    store::KeyValueClient,
  },
  arc_swap::ArcSwap,
  std::sync::Arc,
};

/// State shared by the handlers of the administration API.
pub(crate) struct AdminState {
  pub(crate) keys_sha256: Vec<Name>,
  pub(crate) endpoints: Vec<Name>,
  pub(crate) store: KeyValueClient,
  pub(crate) status: Arc<ArcSwap<Status>>,
  pub(crate) timeline: Arc<Timeline>,
  pub(crate) to_decide: Sender<Event>,
  pub(crate) to_platform: Sender<Vec<Document>>,
}
