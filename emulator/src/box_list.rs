//! A stand-in for the platform's box list, which can delay the visibility of changes.

use {
  axum::{Json, Router, extract::State, routing::get},
  rillford::decide::BoxEntry,
  serde::{Deserialize, Serialize},
  std::{
    sync::{Arc, Mutex, PoisonError},
    time::Duration,
  },
  tokio::time::Instant,
};

/// The list in the form in which it is served.
#[derive(Clone, Debug, Default, Deserialize, PartialEq, Serialize)]
pub struct ShownList {
  /// Boxes in the list.
  pub boxes: Vec<BoxEntry>,
}

#[derive(Debug, Default)]
struct ListState {
  lag: Duration,
  visible: ShownList,
  pending: Option<(Instant, ShownList)>,
}

/// A box list. Clones share its state.
#[derive(Clone, Debug, Default)]
pub struct BoxListStandIn(Arc<Mutex<ListState>>);

impl BoxListStandIn {
  /// Sets the delay after which later changes become visible.
  pub fn set_lag(&self, lag: Duration) {
    self.state().lag = lag;
  }

  /// Replaces the list.
  pub fn set(&self, boxes: Vec<BoxEntry>) {
    let mut state = self.state();
    let list = ShownList { boxes };
    if state.lag.is_zero() {
      state.visible = list;
    } else {
      let due = Instant::now() + state.lag;
      state.pending = Some((due, list));
    }
  }

  fn state(&self) -> std::sync::MutexGuard<'_, ListState> {
    self.0.lock().unwrap_or_else(PoisonError::into_inner)
  }

  /// The HTTP API: `GET` and `PUT /boxes`.
  pub fn router(&self) -> Router {
    Router::new()
      .route("/boxes", get(fetch).put(replace))
      .with_state(self.clone())
  }
}

async fn fetch(State(list): State<BoxListStandIn>) -> Json<ShownList> {
  let mut state = list.state();
  if let Some((due, next)) = state.pending.take() {
    if due <= Instant::now() {
      state.visible = next;
    } else {
      state.pending = Some((due, next));
    }
  }
  Json(state.visible.clone())
}

async fn replace(State(list): State<BoxListStandIn>, Json(shown): Json<ShownList>) {
  list.set(shown.boxes);
}
