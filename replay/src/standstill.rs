//! A standstill of all that the replay plays itself.

use {
  super::{recorder::Recorder, selection::Selection, site::Impairment},
  std::{
    thread,
    time::{Duration, Instant},
  },
  tokio::{runtime::Handle, task::spawn_blocking, time::sleep},
};

/// Shortest standstill, and the longest one unless the impairment has another.
const LENGTH_S: (f64, f64) = (0.3, 1.5);
/// Time between two standstills.
const GAP_S: f64 = 1.0;

/// Has everything outside the boxes stand still, as often as an impairment says.
pub(crate) async fn play_standstills(
  impairment: &Impairment,
  draw: &mut Selection,
  recorder: &Recorder,
) {
  let most_s = impairment.x.unwrap_or(LENGTH_S.1);
  for number in 0..impairment.count.unwrap_or(1) {
    if number > 0 {
      sleep(Duration::from_secs_f64(impairment.gap_s.unwrap_or(GAP_S))).await;
    }
    let length = Duration::from_secs_f64(draw.between(LENGTH_S.0.min(most_s), most_s));
    let length_ms = length.as_millis();
    recorder.note(format!("all but the boxes stands still for {length_ms} ms"));
    stand_still(length).await;
  }
}

/// Stops all tasks of the runtime for a time, as if its process got no processor. Other processes go on.
pub async fn stand_still(length: Duration) {
  let ends_at = Instant::now() + length;
  let runtime = Handle::current();
  // What is spawned from outside a worker is taken up by busy workers, too.
  let holds = spawn_blocking(move || {
    let workers = 0..runtime.metrics().num_workers();
    let holds = workers.map(|_| runtime.spawn(async move { hold_thread(ends_at) }));
    holds.collect::<Vec<_>>()
  });
  for hold in holds.await.unwrap_or_default() {
    // It is neither aborted nor does it panic.
    let _ = hold.await;
  }
}

/// Blocks the thread until a moment.
fn hold_thread(ends_at: Instant) {
  thread::sleep(ends_at.saturating_duration_since(Instant::now()));
}
