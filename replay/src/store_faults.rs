//! Faults of the store.

use {
  super::{
    box_stores::{BoxStores, LATENCY},
    recorder::Recorder,
    site::Impairment,
  },
  rand::{SeedableRng, seq::SliceRandom},
  rand_chacha::ChaCha8Rng,
  stand_ins::{StoreCondition, WriteLoss},
  std::time::Duration,
  tokio::time::sleep,
};

/// Number of the sequence of draws.
const STREAM: u64 = 44;
/// Defaults of the fields of a fault.
const LENGTH_S: f64 = 5.0;
const BOX_SHARE: f64 = 0.35;
const SLOWNESS: f64 = 50.0;
const LOST_SHARE: f64 = 0.3;
const STALE_S: f64 = 3.0;
/// Time for which watches hear nothing before a compaction.
const DEAF_TIME: Duration = Duration::from_secs(1);

/// What a fault of the store draws from and calls.
#[derive(Clone, Copy)]
pub struct StoreFaultPlay<'a> {
  /// Seed of the draws; another one for each fault.
  pub seed: u64,
  /// What happens is noted here.
  pub recorder: &'a Recorder,
  /// Lets a server leave: while watches hear nothing, or as the store is back.
  pub drain: &'a (dyn Fn() + Send + Sync),
  /// Changes the configuration: during a fault, and as the store is back.
  pub meet: &'a (dyn Fn() + Send + Sync),
}

/// Plays a fault of the store from its beginning to its end. Returns `false` at once if the kind is none of the store's.
pub async fn play_store_fault(
  fault: &Impairment,
  stores: &BoxStores,
  play: StoreFaultPlay<'_>,
) -> bool {
  match &*fault.kind {
    "platform_compact" => compact(fault, stores, play).await,
    "platform_down" if fault.has("nodes") => reject_boxes(fault, stores, play).await,
    "platform_down" => reject_all(fault, stores, play).await,
    "platform_lost" => lose_writes(fault, stores, play).await,
    "platform_slow" => slow_down(fault, stores, play).await,
    _ => return false,
  }
  true
}

/// The boxes that a fault strikes, of those that run if any does, in the order of their draw; with `leader`, the box that last acted as one comes first.
pub fn struck_boxes(fault: &Impairment, stores: &BoxStores, seed: u64) -> Vec<usize> {
  let mut boxes = stores.running_boxes();
  if boxes.is_empty() {
    boxes = stores.boxes();
  }
  let mut draws = ChaCha8Rng::seed_from_u64(seed);
  draws.set_stream(STREAM);
  boxes.shuffle(&mut draws);
  if fault.has("leader") {
    let leader = stores.leader();
    // The sort is stable.
    boxes.sort_by_key(|index| Some(*index) != leader);
  }
  let share = fault.share.unwrap_or(BOX_SHARE);
  let by_share = (boxes.len() as f64 * share).round() as usize;
  boxes.truncate(fault.count.unwrap_or(by_share).max(1));
  boxes
}

fn condition(fault: &Impairment) -> StoreCondition {
  let conditions = [
    ("busy", StoreCondition::Busy),
    ("many", StoreCondition::Many),
    ("reset", StoreCondition::Reset),
  ];
  let named = conditions.iter().find(|(word, _)| fault.has(word));
  named.map_or(StoreCondition::Silent, |(_, condition)| *condition)
}

fn seconds(time_s: f64) -> Duration {
  Duration::try_from_secs_f64(time_s).unwrap_or(Duration::ZERO)
}

fn length(fault: &Impairment) -> Duration {
  seconds(fault.for_s.unwrap_or(LENGTH_S))
}

async fn reject_boxes(fault: &Impairment, stores: &BoxStores, play: StoreFaultPlay<'_>) {
  let condition = condition(fault);
  let boxes = struck_boxes(fault, stores, play.seed);
  let views = boxes.iter().filter_map(|index| stores.view(*index));
  let views: Vec<_> = views.collect();
  let guards: Vec<_> = views
    .iter()
    .map(|view| view.begin_condition(condition))
    .collect();
  if fault.has("revoke") {
    for view in &views {
      view.end_leases_of_view();
    }
  }
  let line = format!("store: {condition:?} for boxes {boxes:?}");
  play.recorder.note(line);
  wait_and_meet(fault, play).await;
  drop(guards);
  let line = format!("store: serves boxes {boxes:?} again");
  play.recorder.note(line);
  call_back(fault, play);
}

async fn reject_all(fault: &Impairment, stores: &BoxStores, play: StoreFaultPlay<'_>) {
  let condition = condition(fault);
  let store = stores.store();
  let waiting_leases = (!fault.has("lapse")).then(|| store.begin_lease_pause());
  let guard = store.begin_condition_everywhere(condition);
  play.recorder.note(format!("store: {condition:?}"));
  wait_and_meet(fault, play).await;
  drop(waiting_leases);
  drop(guard);
  play.recorder.note("store: serves again");
  call_back(fault, play);
}

/// Waits until the end of a fault; a configuration change may come halfway.
async fn wait_and_meet(fault: &Impairment, play: StoreFaultPlay<'_>) {
  let half = length(fault) / 2;
  sleep(half).await;
  if fault.has("meet") {
    (play.meet)();
  }
  sleep(half).await;
}

/// Makes the changes that come as the store is back.
fn call_back(fault: &Impairment, play: StoreFaultPlay<'_>) {
  if fault.has("meet") {
    (play.meet)();
  }
  if fault.has("drain") {
    (play.drain)();
  }
}

async fn slow_down(fault: &Impairment, stores: &BoxStores, play: StoreFaultPlay<'_>) {
  let delay = seconds(LATENCY.as_secs_f64() * fault.x.unwrap_or(SLOWNESS));
  let guard = stores.store().begin_delay(delay);
  let line = format!("store: answers after {} ms", delay.as_millis());
  play.recorder.note(line);
  sleep(length(fault)).await;
  drop(guard);
  play.recorder.note("store: answers in time again");
}

async fn lose_writes(fault: &Impairment, stores: &BoxStores, play: StoreFaultPlay<'_>) {
  let loss = WriteLoss {
    is_late: fault.has("late"),
    seed: play.seed,
    share: fault.x.unwrap_or(LOST_SHARE),
  };
  let guard = stores.store().begin_write_loss(loss);
  let line = format!("store: {} of the writes get no answer", loss.share);
  play.recorder.note(line);
  sleep(length(fault)).await;
  drop(guard);
  play.recorder.note("store: all writes get answers");
}

async fn compact(fault: &Impairment, stores: &BoxStores, play: StoreFaultPlay<'_>) {
  let store = stores.store();
  let age = seconds(fault.x.unwrap_or(STALE_S));
  let stale_reads = store.begin_stale_reads(age);
  let deaf_watches = store.begin_deaf_watches();
  play.recorder.note("store: watches hear nothing");
  sleep(DEAF_TIME / 2).await;
  if fault.has("drain") {
    (play.drain)();
  }
  sleep(DEAF_TIME / 2).await;
  store.compact_history();
  drop(deaf_watches);
  let line = format!("store: compacted, reads {} s stale", age.as_secs_f64());
  play.recorder.note(line);
  sleep(length(fault).saturating_sub(DEAF_TIME)).await;
  drop(stale_reads);
  play.recorder.note("store: reads are fresh again");
}
