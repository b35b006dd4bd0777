//! Faults of the store.

mod box_stores;

pub use self::box_stores::BoxStores;

use {
  super::site::Impairment,
  box_stores::LATENCY,
  stand_ins::{StoreCondition, WriteLoss},
  std::time::Duration,
  tokio::time::sleep,
};

/// Defaults of the fields of a fault.
const LENGTH_S: f64 = 5.0;
const SLOWNESS: f64 = 50.0;
const LOST_SHARE: f64 = 0.3;
const STALE_S: f64 = 3.0;
/// Time for which watches hear nothing before a compaction.
const DEAF_TIME: Duration = Duration::from_secs(1);

/// A fault of the store.
#[derive(Clone, Copy)]
struct StoreFault<'a> {
  impairment: &'a Impairment,
  stores: &'a BoxStores,
  /// The boxes that it strikes, if not all.
  boxes: &'a [usize],
  drain: &'a (dyn Fn() + Sync),
  meet: &'a (dyn Fn() + Sync),
}

/// Plays a fault of the store from its beginning to its end; other kinds end at once. With `nodes`, `boxes` are those that it strikes.
/// `drain` lets a server leave, while watches hear nothing or as the store is back. `meet` changes the configuration, halfway through the
/// fault and as the store is back.
pub async fn play_store_fault(
  impairment: &Impairment,
  stores: &BoxStores,
  boxes: &[usize],
  drain: &(dyn Fn() + Sync),
  meet: &(dyn Fn() + Sync),
) {
  let fault = StoreFault {
    boxes,
    drain,
    impairment,
    meet,
    stores,
  };
  match &*impairment.kind {
    "platform_compact" => fault.compact().await,
    "platform_down" if impairment.has("nodes") => fault.reject_boxes().await,
    "platform_down" => fault.reject_all().await,
    "platform_lost" => fault.lose_writes().await,
    "platform_slow" => fault.slow_down().await,
    _ => {}
  }
}

impl StoreFault<'_> {
  fn length(&self) -> Duration {
    seconds(self.impairment.for_s.unwrap_or(LENGTH_S))
  }

  /// How the callers that it strikes are treated.
  fn condition(&self) -> StoreCondition {
    let conditions = [
      ("busy", StoreCondition::Busy),
      ("many", StoreCondition::Many),
      ("reset", StoreCondition::Reset),
    ];
    let mut conditions = conditions.iter();
    let named = conditions.find(|(word, _)| self.impairment.has(word));
    named.map_or(StoreCondition::Silent, |(_, condition)| *condition)
  }

  async fn reject_boxes(&self) {
    let views = self.boxes.iter();
    let views = views.filter_map(|index| self.stores.view(*index));
    let views: Vec<_> = views.collect();
    let condition = self.condition();
    let guards: Vec<_> = views
      .iter()
      .map(|view| view.begin_condition(condition))
      .collect();
    if self.impairment.has("revoke") {
      for view in &views {
        view.end_leases_of_view();
      }
    }
    self.wait_and_change().await;
    drop(guards);
    self.change_after();
  }

  async fn reject_all(&self) {
    let store = self.stores.store();
    let lapses = self.impairment.has("lapse");
    let waiting_leases = (!lapses).then(|| store.begin_lease_pause());
    let guard = store.begin_condition_everywhere(self.condition());
    self.wait_and_change().await;
    drop(waiting_leases);
    drop(guard);
    self.change_after();
  }

  /// Waits until the end; a change of the configuration may come halfway.
  async fn wait_and_change(&self) {
    let half = self.length() / 2;
    sleep(half).await;
    if self.impairment.has("meet") {
      (self.meet)();
    }
    sleep(half).await;
  }

  /// Makes the changes that come as the store is back.
  fn change_after(&self) {
    if self.impairment.has("meet") {
      (self.meet)();
    }
    if self.impairment.has("drain") {
      (self.drain)();
    }
  }

  async fn slow_down(&self) {
    let factor = self.impairment.x.unwrap_or(SLOWNESS);
    let delay = seconds(LATENCY.as_secs_f64() * factor);
    let guard = self.stores.store().begin_delay(delay);
    sleep(self.length()).await;
    drop(guard);
  }

  async fn lose_writes(&self) {
    let loss = WriteLoss {
      is_late: self.impairment.has("late"),
      // Faults of one play differ by their times.
      seed: self.stores.seed() ^ self.impairment.at_s.to_bits(),
      share: self.impairment.x.unwrap_or(LOST_SHARE),
    };
    let guard = self.stores.store().begin_write_loss(loss);
    sleep(self.length()).await;
    drop(guard);
  }

  async fn compact(&self) {
    let store = self.stores.store();
    let age = seconds(self.impairment.x.unwrap_or(STALE_S));
    let stale_reads = store.begin_stale_reads(age);
    let deaf_watches = store.begin_deaf_watches();
    sleep(DEAF_TIME / 2).await;
    if self.impairment.has("drain") {
      (self.drain)();
    }
    sleep(DEAF_TIME / 2).await;
    store.compact_history();
    drop(deaf_watches);
    sleep(self.length().saturating_sub(DEAF_TIME)).await;
    drop(stale_reads);
  }
}

fn seconds(time_s: f64) -> Duration {
  Duration::try_from_secs_f64(time_s).unwrap_or(Duration::ZERO)
}
