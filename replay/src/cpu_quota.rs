//! Holds a process to a share of a core.

use {
  super::held_process::{HeldProcess, Holder},
  std::{sync::Arc, time::Duration},
  tokio::{
    sync::{Mutex, watch},
    time::{Instant, sleep},
  },
};

/// Processor time is given out once in a period.
const PERIOD: Duration = Duration::from_millis(100);
/// Interval at which the time used is read.
const TICK: Duration = Duration::from_millis(10);

/// The process of a box; `None` while it is down.
pub(crate) type ProcessSlot = Arc<Mutex<Option<HeldProcess>>>;

/// A quota of processor time, as of a cgroup: a process gets `share` x 100 ms at the beginning of each 100 ms. What it doesn't use
/// is lost, and what it uses in excess is taken from the next periods.
///
/// ```
/// use std::time::Duration;
/// let ms = Duration::from_millis;
/// let mut quota = replay::CpuQuota::default();
/// assert!(!quota.is_used_up(0.25, ms(0), ms(0)));
/// assert!(quota.is_used_up(0.25, ms(30), ms(30)));
/// assert!(!quota.is_used_up(0.25, ms(100), ms(30)));
/// ```
#[derive(Debug, Default)]
pub struct CpuQuota {
  /// The current period, counted from the start.
  period: Option<u128>,
  /// Processor time at the last reading.
  used: Duration,
  /// What is left in this period; negative for an excess.
  left_ns: i64,
}

impl CpuQuota {
  /// Whether a process has used up its time of the current period. `share` is in cores, `now` counts from a fixed moment, and
  /// `used` is the processor time of the process since its start.
  pub fn is_used_up(&mut self, share: f64, now: Duration, used: Duration) -> bool {
    let quota_ns = (share * PERIOD.as_nanos() as f64) as i64;
    let period = now.as_nanos() / PERIOD.as_nanos();
    let Some(last) = self.period.replace(period) else {
      self.used = used;
      self.left_ns = quota_ns;
      return false;
    };
    self.left_ns -= used.saturating_sub(self.used).as_nanos() as i64;
    self.used = used;
    let passed = period.saturating_sub(last) as i64;
    if passed > 0 {
      self.left_ns = (self.left_ns + passed * quota_ns).min(quota_ns);
    }
    self.left_ns <= 0
  }
}

/// Holds the processes of a box to a share of a core, one after the other, while a share is set. Ends when the sender of the share
/// is dropped.
pub(crate) async fn hold_to_share(slot: ProcessSlot, mut share: watch::Receiver<Option<f64>>) {
  let started = Instant::now();
  let mut quota = CpuQuota::default();
  let mut number = 0;
  loop {
    let current = *share.borrow_and_update();
    let Some(current) = current else {
      set_hold(&slot, false).await;
      quota = CpuQuota::default();
      if share.changed().await.is_err() {
        return;
      }
      continue;
    };
    if let Some(process) = slot.lock().await.as_mut() {
      if process.number != number {
        number = process.number;
        quota = CpuQuota::default();
      }
      // A process that has ended has no time.
      if let Some(used) = process.cpu_time() {
        let is_used_up = quota.is_used_up(current, started.elapsed(), used);
        process.set_hold(Holder::Quota, is_used_up);
      }
    }
    if share.has_changed().is_err() {
      return set_hold(&slot, false).await;
    }
    sleep(TICK).await;
  }
}

async fn set_hold(slot: &ProcessSlot, is_held: bool) {
  if let Some(process) = slot.lock().await.as_mut() {
    process.set_hold(Holder::Quota, is_held);
  }
}
