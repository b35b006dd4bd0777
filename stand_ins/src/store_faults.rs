//! Faults of the simulated store that overlap and end apart.

use {
  super::{
    fault_guard::FaultGuard,
    platform_store::PlatformStore,
    store_condition::StoreCondition,
    store_contents::{Contents, Faults},
    write_loss::{LossDraws, WriteLoss},
  },
  std::{
    net::SocketAddr,
    time::{Duration, Instant},
  },
};

impl PlatformStore {
  /// Treats the callers of this view in another way. Its waiting watches are cut, or stay silent.
  pub fn begin_condition(&self, condition: StoreCondition) -> FaultGuard {
    let view = self.address;
    let begin = |faults: &mut Faults| faults.at_views.entry(view).or_default().begin(condition);
    let number = begin(&mut self.contents().faults);
    self.wake_connections();
    let store = self.clone();
    FaultGuard::new(move || {
      store.end_condition_of(view, number);
      store.wake_connections();
    })
  }

  fn end_condition_of(&self, view: SocketAddr, number: u64) {
    if let Some(conditions) = self.contents().faults.at_views.get_mut(&view) {
      conditions.end(number);
    }
  }

  /// Treats the callers of all views in another way. Waiting watches are cut, or stay silent.
  pub fn begin_condition_everywhere(&self, condition: StoreCondition) -> FaultGuard {
    let number = self.contents().faults.everywhere.begin(condition);
    self.wake_connections();
    let store = self.clone();
    FaultGuard::new(move || {
      store.contents().faults.everywhere.end(number);
      store.wake_connections();
    })
  }

  /// Answers every call after a time.
  pub fn begin_delay(&self, delay: Duration) -> FaultGuard {
    let number = self.contents().faults.delays.begin(delay);
    self.ending(move |contents| contents.faults.delays.end(number))
  }

  /// Loses the responses to a share of the writes. The connection of such a write stays silent.
  pub fn begin_write_loss(&self, loss: WriteLoss) -> FaultGuard {
    let draws = LossDraws::new(loss);
    let number = self.contents().faults.losses.begin(draws);
    self.ending(move |contents| contents.faults.losses.end(number))
  }

  /// Answers reads that may be stale with items of this age; of at most half a minute.
  pub fn begin_stale_reads(&self, age: Duration) -> FaultGuard {
    let number = self.contents().faults.stale_ages.begin(age);
    self.ending(move |contents| contents.faults.stale_ages.end(number))
  }

  /// Withholds all events from watches; when it ends, waiting watches are cut.
  pub fn begin_deaf_watches(&self) -> FaultGuard {
    let number = self.contents().faults.deaf_watches.begin(());
    let store = self.clone();
    FaultGuard::new(move || {
      store.contents().faults.deaf_watches.end(number);
      store.cut_watches();
    })
  }

  /// Stops the time of all leases.
  pub fn begin_lease_pause(&self) -> FaultGuard {
    let mut contents = self.contents();
    let waiting = &mut contents.faults.waiting_leases;
    // Pauses that overlap count from the first.
    let since = waiting.current().copied().unwrap_or_else(Instant::now);
    let number = waiting.begin(since);
    self.ending(move |contents| end_lease_pause(contents, since, number))
  }

  /// Closes the connections of all waiting watches.
  pub fn cut_watches(&self) {
    self.watch_cuts.send_modify(|cuts| *cuts += 1);
  }

  fn wake_connections(&self) {
    self.conditions.send_modify(|changes| *changes += 1);
  }

  /// A guard that changes the contents as the fault ends.
  fn ending(&self, end: impl FnOnce(&mut Contents) + Send + 'static) -> FaultGuard {
    let store = self.clone();
    FaultGuard::new(move || end(&mut store.contents()))
  }
}

fn end_lease_pause(contents: &mut Contents, since: Instant, number: u64) {
  contents.faults.waiting_leases.end(number);
  if contents.faults.waiting_leases.current().is_some() {
    return;
  }
  let paused = since.elapsed();
  for lease in contents.leases.values_mut() {
    lease.expires += paused;
  }
}
