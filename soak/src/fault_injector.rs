//! Injects the faults of a plan. Each runs in a task of its own, so that they may overlap.

use {
  super::{
    cuts::{cut_from_boxes, cut_from_endpoints, cut_halls, cut_off_hall},
    disturbance::Target,
    endpoint::Endpoint,
    endpoint_kind::EndpointKind,
    error::Result,
    fault::{EndpointFault, EngineEnd, Fault, SilentEngines, StoreFault},
    fleet::{Fleet, StoppedEndpoint},
    hall::Hall,
    recorder::DisturbanceGuard,
  },
  futures_util::future::{try_join, try_join_all},
  stand_ins::{Link, LinkFault},
  std::{slice, time::Duration},
  tokio::time::sleep,
};

/// Time that an endpoint serves after it signals that it is leaving (the bound on draining and a margin).
const LEAVING_PERIOD: Duration = Duration::from_millis(2_800);
/// Time from the store's return until endpoints register again (within the platform's two seconds).
const REREGISTRATION_DELAY: Duration = Duration::from_millis(1_200);
/// Time until an engine that a request crashed is restarted.
const CRASH_DOWNTIME: Duration = Duration::from_millis(1_000);
/// Time after which streams that began while answers were garbled have ended.
const GARBLED_STREAM_PERIOD: Duration = Duration::from_secs(3);
/// Time from the return of the links of boxes that lost their power to their start.
const POWER_MARGIN: Duration = Duration::from_millis(20);
/// One engine of a rolling release in this many has no entry while it leaves, and one in this many leaves slowly.
const UNLISTED_ENGINES: u32 = 3;
const SLOW_ENGINES: u32 = 4;
/// How much longer such an engine serves on.
const SLOW_FACTOR: u32 = 3;
/// Time that the store entry of a crashed endpoint remains after its address is in use by another.
const STALE_ENTRY_PERIOD: Duration = Duration::from_millis(1_500);

/// Injects a fault and returns when it is over.
pub(crate) async fn inject(fleet: &Fleet, fault: Fault) -> Result {
  match fault {
    Fault::BoxKilled { index, down_ms } => fleet.boxes[index].kill(down_ms).await?,
    Fault::AllBoxesKilled { down_ms } => kill_all_boxes(fleet, down_ms).await?,
    Fault::PowerLost { down_ms } => cut_power(fleet, down_ms).await?,
    Fault::Release { gap_ms } => release(fleet, Duration::from_millis(gap_ms)).await?,
    Fault::RollingRelease {
      first,
      percent,
      gap_ms,
      drain_ms,
    } => {
      let [gap, drain] = [gap_ms, drain_ms].map(Duration::from_millis);
      release_in_turn(fleet, first, percent, gap, drain).await?;
    }
    Fault::BoxStopped { index } => fleet.boxes[index].stop().await?,
    Fault::BoxPaused { index, for_ms } => fleet.boxes[index].pause(for_ms).await,
    Fault::BoxReloaded { index } => fleet.boxes[index].reload().await,
    Fault::CallerLink {
      index,
      fault,
      for_ms,
    } => {
      let link = &fleet.boxes[index].caller_link;
      disturb_link(fleet, link, Target::Box(index), fault, for_ms).await;
    }
    Fault::StoreLink {
      index,
      fault,
      for_ms,
    } => {
      let link = &fleet.boxes[index].store_link;
      disturb_link(fleet, link, Target::StoreLink(index), fault, for_ms).await;
    }
    Fault::EndpointLink {
      place,
      fault,
      for_ms,
    } => {
      let links = &fleet.places[place].links;
      disturb_links(fleet, links, Target::Endpoint(place), fault, for_ms).await;
    }
    Fault::EndpointsCutOff { index, cut, for_ms } => {
      cut_from_endpoints(fleet, index, cut, for_ms).await;
    }
    Fault::BoxesCutOff { index, cut, for_ms } => {
      cut_from_boxes(fleet, index, cut, for_ms).await;
    }
    Fault::HallsCut { hall, cut, for_ms } => cut_halls(fleet, hall, cut, for_ms).await,
    Fault::Store { fault, for_ms } => {
      disturb_store(fleet, fault, Duration::from_millis(for_ms)).await;
    }
    Fault::EndpointCrashed { place, down_ms } => crash_endpoint(fleet, place, down_ms).await?,
    Fault::EnginesCrashed {
      count,
      first,
      down_ms,
    } => {
      let places = fleet.engine_places(first).into_iter().take(count);
      try_join_all(places.map(|place| crash_endpoint(fleet, place, down_ms))).await?;
    }
    Fault::EngineRestarted {
      first,
      down_ms,
      stale_ms,
    } => restart_engine(fleet, first, down_ms, stale_ms).await?,
    Fault::EndpointLeaves { place } => {
      if let Some(incarnation) = fleet.announce_leaving(place) {
        shut_down_endpoint(fleet, place, incarnation, Duration::ZERO).await?;
      }
    }
    Fault::EndpointLeavesUnlisted { place } => {
      if let Some(incarnation) = fleet.incarnation(place) {
        shut_down_endpoint(fleet, place, incarnation, Duration::ZERO).await?;
      }
    }
    Fault::EndpointLimited {
      place,
      per_s,
      for_ms,
    } => limit_endpoint(fleet, place, per_s, for_ms).await,
    Fault::HallDrained { hall, for_ms } => drain_hall(fleet, hall, for_ms).await,
    Fault::EnginesSilent {
      engines,
      first,
      for_ms,
    } => silence_engines(fleet, engines, first, for_ms).await,
    Fault::Endpoint {
      place,
      fault,
      for_ms,
    } => disturb_endpoint(fleet, place, fault, for_ms).await,
    Fault::ResponsesLost {
      first,
      count,
      losses,
      for_ms,
    } => {
      disturb_endpoints(fleet, first, count, for_ms, |endpoint, is_active| {
        endpoint.set_losses(is_active.then_some(losses));
      })
      .await;
    }
    Fault::StraySent {
      first,
      count,
      strays,
      for_ms,
    } => {
      disturb_endpoints(fleet, first, count, for_ms, |endpoint, is_active| {
        endpoint.set_strays(is_active.then_some(strays));
      })
      .await;
    }
    Fault::AnswersGarbled {
      first,
      count,
      percent,
      for_ms,
    } => {
      let _disturbed = begin_disturbances(fleet, first, count);
      disturb_endpoints(fleet, first, count, for_ms, |endpoint, is_active| {
        endpoint.set_garbled_percent(is_active.then_some(percent));
      })
      .await;
      sleep(GARBLED_STREAM_PERIOD).await;
    }
    Fault::EngineRemoved { first, for_ms } => remove_engine(fleet, first, for_ms).await?,
    Fault::PromptsShort { for_ms } => {
      fleet.exports.set_short(true);
      sleep(Duration::from_millis(for_ms)).await;
      fleet.exports.set_short(false);
    }
    Fault::BoxSlowed { index, for_ms } => fleet.boxes[index].slow(for_ms).await,
    Fault::HallCutOff {
      hall,
      fault,
      for_ms,
    } => cut_off_hall(fleet, hall, fault, for_ms).await,
    Fault::CallersChange { habit, for_ms } => {
      fleet.set_habit(Some(habit));
      sleep(Duration::from_millis(for_ms)).await;
      fleet.set_habit(None);
    }
    Fault::AddressesSwapped { place, other } => swap_addresses(fleet, place, other).await?,
    Fault::AddressReused {
      first,
      end,
      down_ms,
      stale_ms,
      for_ms,
    } => {
      let [down, stale] = [down_ms, stale_ms].map(Duration::from_millis);
      if let Some(kind) = give_engine_address_to_plain(fleet, first, end, down, stale).await? {
        sleep(Duration::from_millis(for_ms)).await;
        give_plain_address_to_engine(fleet, first, kind, down, stale).await?;
      }
    }
    Fault::ConfigurationChanged => fleet.configure(),
    Fault::ConfigurationGrown { routes } => {
      fleet.add_routes(routes);
      fleet.configure();
    }
    Fault::CallersShifted { hall, for_ms } => {
      fleet.set_shifted(Some(hall));
      sleep(Duration::from_millis(for_ms)).await;
      fleet.set_shifted(None);
    }
    Fault::BoxReplaced { index, down_ms } => fleet.boxes[index].replace(down_ms).await?,
    Fault::MovesSlow { for_ms } => {
      fleet.exports.set_slow(true);
      sleep(Duration::from_millis(for_ms)).await;
      fleet.exports.set_slow(false);
    }
    Fault::OrdersLate {
      first,
      count,
      delay_ms,
      for_ms,
    } => {
      let delay = Duration::from_millis(delay_ms);
      disturb_endpoints(fleet, first, count, for_ms, |endpoint, is_active| {
        endpoint.set_order_delay(is_active.then_some(delay));
      })
      .await;
    }
  }
  Ok(())
}

async fn disturb_link(fleet: &Fleet, link: &Link, target: Target, fault: LinkFault, for_ms: u64) {
  disturb_links(fleet, slice::from_ref(link), target, fault, for_ms).await;
}

async fn disturb_links(
  fleet: &Fleet,
  links: &[Link],
  target: Target,
  fault: LinkFault,
  for_ms: u64,
) {
  let _disturbed = fleet.recorder.begin_disturbance(target);
  for link in links {
    link.begin_fault(fault);
  }
  sleep(Duration::from_millis(for_ms)).await;
  for link in links {
    link.clear_fault();
  }
}

async fn disturb_endpoint(fleet: &Fleet, place: usize, fault: EndpointFault, for_ms: u64) {
  let _disturbed = fleet.recorder.begin_disturbance(Target::Endpoint(place));
  fleet.with_endpoint(place, |endpoint| endpoint.set_fault(Some(fault)));
  sleep(Duration::from_millis(for_ms)).await;
  fleet.with_endpoint(place, |endpoint| endpoint.set_fault(None));
}

/// Places from one on.
fn places_from(fleet: &Fleet, first: usize, count: usize) -> Vec<usize> {
  let places = fleet.places.len();
  (first..first + count.min(places))
    .map(|place| place % places)
    .collect()
}

/// Records that endpoints, from a place on, are disturbed.
fn begin_disturbances(fleet: &Fleet, first: usize, count: usize) -> Vec<DisturbanceGuard> {
  places_from(fleet, first, count)
    .into_iter()
    .map(|place| fleet.recorder.begin_disturbance(Target::Endpoint(place)))
    .collect()
}

/// Makes endpoints, from a place on, behave otherwise for a while.
async fn disturb_endpoints(
  fleet: &Fleet,
  first: usize,
  count: usize,
  for_ms: u64,
  set: impl Fn(&Endpoint, bool),
) {
  let places = places_from(fleet, first, count);
  let _disturbed = begin_disturbances(fleet, first, count);
  for is_active in [true, false] {
    for place in &places {
      fleet.with_endpoint(*place, |endpoint| set(endpoint, is_active));
    }
    if is_active {
      sleep(Duration::from_millis(for_ms)).await;
    }
  }
}

/// Makes engines fall silent for a while, at the same moment.
async fn silence_engines(fleet: &Fleet, engines: SilentEngines, first: usize, for_ms: u64) {
  let duration = Duration::from_millis(for_ms);
  let places = fleet.engine_places(first);
  let count = engines.count(places.len());
  let _silent: Vec<_> = places
    .into_iter()
    .take(count)
    .map(|place| {
      let target = Target::SilentEngine(place);
      let guard = fleet.recorder.begin_disturbance(target);
      fleet.with_endpoint(place, |endpoint| endpoint.fall_silent(duration));
      guard
    })
    .collect();
  sleep(duration).await;
}

/// Makes the endpoint advertise a limit for a while, unless it terminates before.
async fn limit_endpoint(fleet: &Fleet, place: usize, per_s: u32, for_ms: u64) {
  let Some(incarnation) = fleet.incarnation(place) else {
    return;
  };
  fleet.with_endpoint(place, |endpoint| endpoint.set_limit(Some(per_s)));
  sleep(Duration::from_millis(for_ms)).await;
  fleet.with_endpoint(place, |endpoint| {
    if endpoint.incarnation == incarnation {
      endpoint.set_limit(None);
    }
  });
}

async fn drain_hall(fleet: &Fleet, hall: Hall, for_ms: u64) {
  if !fleet.drain_hall(hall) {
    return;
  }
  sleep(Duration::from_millis(for_ms)).await;
  fleet.end_hall_drain(hall);
}

async fn disturb_store(fleet: &Fleet, fault: StoreFault, duration: Duration) {
  let store = &fleet.store;
  let _disturbed = fleet.recorder.begin_disturbance(Target::Store);
  match fault {
    StoreFault::Down => {
      store.set_down(true);
      sleep(duration).await;
      store.set_down(false);
    }
    StoreFault::Slow { delay_ms } => {
      store.set_delay(Duration::from_millis(delay_ms));
      sleep(duration).await;
      store.set_delay(Duration::ZERO);
    }
    StoreFault::DropsResponses => {
      store.set_drops_responses(true);
      sleep(duration).await;
      store.set_drops_responses(false);
    }
    StoreFault::CompactsHistory => store.compact_history(),
    StoreFault::LosesEntries => {
      store.set_down(true);
      sleep(duration).await;
      fleet.remove_entries();
      store.set_down(false);
      sleep(REREGISTRATION_DELAY).await;
      for place in 0..fleet.places.len() {
        fleet.register(place);
      }
    }
    StoreFault::ExpiresLeases => store.expire_leases(),
  }
}

/// Stops the endpoint without a signal; its entry remains until a new incarnation replaces it.
async fn crash_endpoint(fleet: &Fleet, place: usize, down_ms: u64) -> Result {
  let _disturbed = fleet.recorder.begin_disturbance(Target::Endpoint(place));
  let Some(stopped) = fleet.stop_endpoint(place) else {
    return Ok(());
  };
  sleep(Duration::from_millis(down_ms)).await;
  fleet.remove_entry(&stopped);
  fleet.restart(place, &stopped).await
}

/// Restarts an engine that a request crashed, with the same incarnation id if starts keep it. Its entry remains meanwhile.
pub(crate) async fn crash_and_restart(fleet: &Fleet, place: usize, incarnation: &str) {
  if fleet.incarnation(place).as_deref() != Some(incarnation) {
    return;
  }
  let _disturbed = fleet.recorder.begin_disturbance(Target::Endpoint(place));
  let Some(stopped) = fleet.stop_endpoint(place) else {
    return;
  };
  fleet.record_crash();
  sleep(CRASH_DOWNTIME).await;
  // Without a free port the place stays down, which later checks of the run detect.
  let _ = fleet.restart_same_id(place, &stopped).await;
}

/// Restarts the first engine from a place on with the other version, under its id if starts keep it, and updates its entry later.
async fn restart_engine(fleet: &Fleet, first: usize, down_ms: u64, stale_ms: u64) -> Result {
  let Some(place) = fleet.engine_places(first).first().copied() else {
    return Ok(());
  };
  let _disturbed = fleet.recorder.begin_disturbance(Target::Endpoint(place));
  let Some(stopped) = fleet.stop_endpoint(place) else {
    return Ok(());
  };
  sleep(Duration::from_millis(down_ms)).await;
  fleet.restart_other_version(place, &stopped).await?;
  sleep(Duration::from_millis(stale_ms)).await;
  fleet.replace_entry(place, &stopped);
  Ok(())
}

async fn kill_all_boxes(fleet: &Fleet, down_ms: u64) -> Result {
  try_join_all(fleet.boxes.iter().map(|target| target.kill(down_ms))).await?;
  Ok(())
}

/// Kills all boxes, whose connections stay open and silent until shortly before the boxes start again.
async fn cut_power(fleet: &Fleet, down_ms: u64) -> Result {
  let links = || fleet.boxes.iter().flat_map(|target| fleet.links(target));
  links().for_each(Link::begin_power_loss);
  let back = async {
    sleep(Duration::from_millis(down_ms).saturating_sub(POWER_MARGIN)).await;
    links().for_each(Link::end_power_loss);
    Ok(())
  };
  try_join(kill_all_boxes(fleet, down_ms), back).await?;
  Ok(())
}

/// Replaces all engines by engines of the other version, first every other one and then the rest.
async fn release(fleet: &Fleet, gap: Duration) -> Result {
  fleet.begin_release();
  let places = fleet.engine_places(0);
  let group = |first: usize| places.iter().copied().skip(first).step_by(2);
  for first in [0, 1] {
    for place in group(first) {
      fleet.unlist(place);
      sleep(gap).await;
    }
    sleep(LEAVING_PERIOD).await;
    for place in group(first) {
      let _disturbed = fleet.recorder.begin_disturbance(Target::Endpoint(place));
      if let Some(stopped) = fleet.stop_endpoint(place) {
        // Another fault may have replaced the engine whose entry is gone.
        fleet.remove_entry(&stopped);
        fleet.restart(place, &stopped).await?;
      }
    }
  }
  fleet.end_release();
  Ok(())
}

/// Replaces a share of the engines by engines of the other version, one after another.
async fn release_in_turn(
  fleet: &Fleet,
  first: usize,
  percent: u8,
  gap: Duration,
  drain: Duration,
) -> Result {
  let places = fleet.engine_places(first);
  let count = places.len() * usize::from(percent) / 100;
  let replacements = places.into_iter().take(count).zip(0..);
  let replaced = replacements.map(|(place, number)| async move {
    sleep(gap * number).await;
    fleet.start_replacement(place).await?;
    let incarnation = if number % UNLISTED_ENGINES == UNLISTED_ENGINES - 1 {
      fleet.unlist(place)
    } else {
      fleet.announce_leaving(place)
    };
    let is_slow = number % SLOW_ENGINES == SLOW_ENGINES - 1;
    let drain = drain * if is_slow { SLOW_FACTOR } else { 1 };
    if let Some(incarnation) = incarnation {
      leave_after(fleet, place, incarnation, drain).await;
    }
    Ok(())
  });
  try_join_all(replaced).await?;
  Ok(())
}

/// Shuts an engine down as planned, and leaves its place empty for a while.
async fn remove_engine(fleet: &Fleet, first: usize, for_ms: u64) -> Result {
  let Some(place) = fleet.engine_places(first).first().copied() else {
    return Ok(());
  };
  match fleet.announce_leaving(place) {
    Some(incarnation) => {
      shut_down_endpoint(fleet, place, incarnation, Duration::from_millis(for_ms)).await
    }
    None => Ok(()),
  }
}

/// Makes the endpoint signal that it is leaving, serve for a while, and terminate. Its place is empty for a time.
async fn shut_down_endpoint(
  fleet: &Fleet,
  place: usize,
  incarnation: String,
  empty: Duration,
) -> Result {
  let Some((stopped, _disturbed)) = leave_after(fleet, place, incarnation, LEAVING_PERIOD).await
  else {
    return Ok(());
  };
  sleep(empty).await;
  fleet.restart(place, &stopped).await
}

/// Makes the endpoint signal that it is leaving, serve for a while, and terminate, unless it terminates before.
async fn leave_after(
  fleet: &Fleet,
  place: usize,
  incarnation: String,
  period: Duration,
) -> Option<(StoppedEndpoint, DisturbanceGuard)> {
  fleet.with_endpoint(place, |endpoint| endpoint.set_leaving());
  sleep(period).await;
  if fleet.incarnation(place) != Some(incarnation) {
    return None;
  }
  let disturbed = fleet.recorder.begin_disturbance(Target::Endpoint(place));
  let stopped = fleet.stop_endpoint(place)?;
  fleet.remove_entry(&stopped);
  Some((stopped, disturbed))
}

/// Stops both endpoints and restarts each at the other's address at once, while the old entries are still listed.
async fn swap_addresses(fleet: &Fleet, place: usize, other: usize) -> Result {
  if place == other {
    return Ok(());
  }
  let _disturbed =
    [place, other].map(|place| fleet.recorder.begin_disturbance(Target::Endpoint(place)));
  let (stopped, other_stopped) = (fleet.stop_endpoint(place), fleet.stop_endpoint(other));
  let (kind, other_kind) = match (&stopped, &other_stopped) {
    (Some(stopped), Some(other_stopped)) => (Some(other_stopped.kind), Some(stopped.kind)),
    // If one is already down, only the other restarts.
    _ => (
      stopped.as_ref().map(|stopped| stopped.kind),
      other_stopped.as_ref().map(|stopped| stopped.kind),
    ),
  };
  for (place, kind) in [(place, kind), (other, other_kind)] {
    if let Some(kind) = kind {
      fleet.start_at(place, kind).await?;
    }
  }
  sleep(STALE_ENTRY_PERIOD).await;
  for stopped in [stopped, other_stopped].iter().flatten() {
    fleet.remove_entry(stopped);
  }
  Ok(())
}

/// Ends the first engine from a place on, and starts a plain endpoint at its address. Returns the kind of the engine, if there
/// was one.
async fn give_engine_address_to_plain(
  fleet: &Fleet,
  first: usize,
  end: EngineEnd,
  down: Duration,
  stale: Duration,
) -> Result<Option<EndpointKind>> {
  let Some(place) = fleet.engine_places(first).first().copied() else {
    return Ok(None);
  };
  if end == EngineEnd::Planned {
    let Some(incarnation) = fleet.announce_leaving(place) else {
      return Ok(None);
    };
    fleet.with_endpoint(place, |endpoint| endpoint.set_leaving());
    sleep(LEAVING_PERIOD).await;
    if fleet.incarnation(place) != Some(incarnation) {
      return Ok(None);
    }
  }
  let _disturbed = fleet.recorder.begin_disturbance(Target::Endpoint(place));
  let Some(stopped) = fleet.stop_endpoint(place) else {
    return Ok(None);
  };
  if end == EngineEnd::Planned {
    fleet.remove_entry(&stopped);
  }
  sleep(down).await;
  fleet.start_at(place, EndpointKind::Plain).await?;
  sleep(stale).await;
  fleet.remove_entry(&stopped);
  Ok(Some(stopped.kind))
}

/// Crashes the first plain endpoint from a place on, and starts an engine at its address.
async fn give_plain_address_to_engine(
  fleet: &Fleet,
  first: usize,
  kind: EndpointKind,
  down: Duration,
  stale: Duration,
) -> Result {
  let Some(place) = fleet.plain_places(first).first().copied() else {
    return Ok(());
  };
  let _disturbed = fleet.recorder.begin_disturbance(Target::Endpoint(place));
  let Some(stopped) = fleet.stop_endpoint(place) else {
    return Ok(());
  };
  sleep(down).await;
  fleet.start_at(place, kind).await?;
  sleep(stale).await;
  fleet.remove_entry(&stopped);
  Ok(())
}
