//! A stand-in for the platform's box list: it shows changes only after a lag.

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

/// The list as it is shown.
#[derive(Clone, Debug, Default, Deserialize, PartialEq, Serialize)]
pub struct ShownList {
  /// The boxes.
  pub boxes: Vec<BoxEntry>,
}

#[derive(Debug, Default)]
struct Lists {
  lag: Duration,
  shown: ShownList,
  next: Option<(Instant, ShownList)>,
}

/// The box list.
#[derive(Clone, Debug, Default)]
pub struct BoxListStandIn(Arc<Mutex<Lists>>);

impl BoxListStandIn {
  /// Changes are shown after this time.
  pub fn set_lag(&self, lag: Duration) {
    self.lists().lag = lag;
  }

  /// Changes the list.
  pub fn set(&self, boxes: Vec<BoxEntry>) {
    let mut lists = self.lists();
    let list = ShownList { boxes };
    if lists.lag.is_zero() {
      lists.shown = list;
    } else {
      let due = Instant::now() + lists.lag;
      lists.next = Some((due, list));
    }
  }

  fn lists(&self) -> std::sync::MutexGuard<'_, Lists> {
    self.0.lock().unwrap_or_else(PoisonError::into_inner)
  }

  /// The routes of the stand-in.
  pub fn router(&self) -> Router {
    Router::new()
      .route("/boxes", get(show).put(replace))
      .with_state(self.clone())
  }
}

async fn show(State(list): State<BoxListStandIn>) -> Json<ShownList> {
  let mut lists = list.lists();
  if let Some((due, next)) = lists.next.take() {
    if due <= Instant::now() {
      lists.shown = next;
    } else {
      lists.next = Some((due, next));
    }
  }
  Json(lists.shown.clone())
}

async fn replace(State(list): State<BoxListStandIn>, Json(shown): Json<ShownList>) {
  list.set(shown.boxes);
}
