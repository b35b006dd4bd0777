//! Permits at an endpoint that advertises a limit over all boxes: who grants them, how many, to whom, and how long an
//! advertised limit holds.

use {
  emulator::places::{PlaceFleet, PlacePattern, PlaceWay, replay_places},
  rillford::gateway::{
    AdvertisedLimit, AllowedHalls, BoxEntry, BoxList, EndpointCriteria, EndpointEntry,
    EndpointLimits, EndpointRegistry, ISOLATED_BOXES, LimitChange, LimitHeader, LimitSource,
    LocalPermitVerdict, LocalPermits, PermitAccount, PermitRequest, PermitVerdict, SoftwareVersion,
    coordinator_limit, coordinator_order, isolated_limit,
  },
  rstest::rstest,
};

/// The window of the bound, and what is allowed in it.
const WINDOW_S: f64 = 4.0;
const ALLOWED_FACTOR: f64 = 1.5;
const ALLOWED_SLACK: f64 = 5.0;
/// The share of a limit that has to be used where enough requests arrive.
const MIN_USED: f64 = 0.9;

fn entry(id: &str, started_ms: u64) -> EndpointEntry {
  EndpointEntry {
    address: "127.0.0.1:1".parse().unwrap(),
    started_ms: Some(started_ms),
    cold_ms: 0,
    hall: "north".into(),
    id: id.into(),
    leaving: false,
    role: None,
    slots: 8,
    service: "portal".into(),
    version: SoftwareVersion::default(),
  }
}

fn request(box_name: &str, priority: u8) -> PermitRequest {
  PermitRequest {
    box_name: box_name.into(),
    permits: 1,
    priority,
    unused: 0,
  }
}

/// Whatever messages to the coordinator are late or lost, all boxes together stay within the bound: the shares that they may
/// grant do.
#[rstest]
fn shares_of_all_boxes_together_are_within_the_bound(
  #[values(0.0, 0.05, 0.2, 0.7, 2.0, 2.4, 9.0, 25.0, 40.0, 150.0, 400.0, 5_000.0)] per_s: f64,
) {
  let coordinator = coordinator_limit(per_s);
  let isolated = isolated_limit(per_s);
  // A permit may be used a quarter of a second after it was granted.
  let duration_s = WINDOW_S + 0.25;
  let of_coordinator = coordinator.rate_per_s * duration_s + coordinator.burst;
  let of_isolated = ISOLATED_BOXES as f64 * (isolated.rate_per_s * WINDOW_S + isolated.burst);
  let allowed = per_s * WINDOW_S * ALLOWED_FACTOR + ALLOWED_SLACK;
  let all = of_coordinator + of_isolated;
  assert!(all <= allowed, "{all} of {allowed}");
}

#[rstest]
fn rate_over_all_boxes_is_bounded_in_each_pattern(
  #[values(3, 8, 30, 78)] boxes: usize,
  #[values(0.0, 0.2, 2.0, 40.0)] limit_per_s: f64,
  #[values(1, 2, 3)] seed: u64,
) {
  let fleet = PlaceFleet::pressed(boxes, limit_per_s);
  for pattern in PlacePattern::ALL {
    let figures = replay_places(pattern, fleet, PlaceWay::AskedAndTold, seed);
    let max = f64::from(figures.most_in_window);
    assert!(max <= fleet.allowed(), "{pattern:?}: {figures:?}");
    if pattern.is_calm() && limit_per_s >= 2.0 {
      assert!(figures.used_share >= MIN_USED, "{pattern:?}: {figures:?}");
    }
  }
}

#[rstest]
#[case::few_permits(2.0)]
#[case::many_permits(400.0)]
fn rate_over_hundreds_of_boxes_is_bounded(#[case] limit_per_s: f64) {
  let fleet = PlaceFleet::pressed(300, limit_per_s);
  for pattern in [
    PlacePattern::Even,
    PlacePattern::OneBox,
    PlacePattern::CountingEnds,
  ] {
    let figures = replay_places(pattern, fleet, PlaceWay::AskedAndTold, 1);
    let max = f64::from(figures.most_in_window);
    assert!(max <= fleet.allowed(), "{pattern:?}: {figures:?}");
    if pattern.is_calm() {
      assert!(figures.used_share >= MIN_USED, "{pattern:?}: {figures:?}");
      assert!(figures.used_share <= 1.0, "{pattern:?}: {figures:?}");
    }
  }
}

/// The other strategies exceed the limit or leave it unused.
#[test]
fn other_strategies_exceed_or_underuse_the_limit() {
  let fleet = PlaceFleet::pressed(8, 2.4);
  let unlimited = replay_places(PlacePattern::Even, fleet, PlaceWay::Off, 1);
  assert!(f64::from(unlimited.most_in_window) > fleet.allowed());
  let even_split = replay_places(PlacePattern::OneBox, fleet, PlaceWay::EvenParts, 1);
  assert!(even_split.used_share < 0.5, "{even_split:?}");
  let large = PlaceFleet::pressed(30, 2.0);
  let of_seed = |seed| replay_places(PlacePattern::Even, large, PlaceWay::ToldSums, seed);
  let most = (1..=4).map(|seed| of_seed(seed).most_in_window).max();
  assert!(most.map(f64::from) > Some(large.allowed()), "{most:?}");
  let unreported = replay_places(
    PlacePattern::Even,
    PlaceFleet::pressed(300, 2.0),
    PlaceWay::Asked,
    1,
  );
  assert!(unreported.used_share > ALLOWED_FACTOR, "{unreported:?}");
}

#[test]
fn account_starts_empty_and_accrues_few_permits_while_idle() {
  let limit = coordinator_limit(2.0);
  let mut account = PermitAccount::new(limit, 0);
  assert!(matches!(
    account.request(&request("a", 1), 0),
    PermitVerdict::Rejected { .. }
  ));
  let mut granted = 0;
  for _ in 0..20 {
    if let PermitVerdict::Granted(permits) = account.request(&request("a", 1), 3_600_000) {
      granted += permits;
    }
  }
  assert_eq!(granted, 3);
}

#[test]
fn boxes_without_a_permit_are_invited_back_one_after_the_other() {
  let mut account = PermitAccount::new(coordinator_limit(2.0), 0);
  let mut waits = Vec::new();
  for number in 0..4 {
    match account.request(&request(&format!("box-{number}"), 1), 0) {
      PermitVerdict::Rejected { wait_ms } => waits.push(wait_ms),
      PermitVerdict::Granted(_) => panic!("a permit was granted by an empty account"),
    }
  }
  assert!(waits.is_sorted_by(|one, other| one < other), "{waits:?}");
  let again = account.request(&request("box-0", 1), 0);
  assert_eq!(again, PermitVerdict::Rejected { wait_ms: waits[0] });
}

#[test]
fn less_urgent_requests_leave_a_permit_for_urgent_ones() {
  let mut account = PermitAccount::new(coordinator_limit(2.0), 0);
  assert_eq!(
    account.request(&request("a", 0), 60_000),
    PermitVerdict::Granted(1)
  );
  assert_eq!(
    account.request(&request("a", 5), 60_001),
    PermitVerdict::Granted(1)
  );
  assert!(matches!(
    account.request(&request("a", 5), 60_002),
    PermitVerdict::Rejected { .. }
  ));
  assert_eq!(
    account.request(&request("b", 0), 60_003),
    PermitVerdict::Granted(1)
  );
  // Without recent urgent requests the others get all permits.
  assert_eq!(
    account.request(&request("a", 5), 120_000),
    PermitVerdict::Granted(1)
  );
  assert_eq!(
    account.request(&request("a", 5), 120_001),
    PermitVerdict::Granted(1)
  );
  assert_eq!(
    account.request(&request("a", 5), 120_002),
    PermitVerdict::Granted(1)
  );
}

#[test]
fn changing_limit_grants_no_extra_permits() {
  let (high, low) = (coordinator_limit(400.0), coordinator_limit(200.0));
  let mut account = PermitAccount::new(high, 0);
  account.request(&request("a", 1), 10_000);
  while let PermitVerdict::Granted(_) = account.request(&request("a", 1), 10_000) {}
  for _ in 0..50 {
    account.set_limit(low, 10_000);
    account.set_limit(high, 10_000);
  }
  assert!(matches!(
    account.request(&request("a", 1), 10_000),
    PermitVerdict::Rejected { .. }
  ));
}

#[test]
fn permits_that_expire_unused_are_returned() {
  let mut local = LocalPermits::default();
  let id = "e-1".into();
  for at_ms in 0..200 {
    local.acquire(&id, at_ms);
  }
  let LocalPermitVerdict::Ask { permits, unused: 0 } = local.acquire(&id, 200) else {
    panic!("nothing was granted yet");
  };
  assert!(permits > 1);
  assert!(local.record_verdict(&id, PermitVerdict::Granted(3), 200));
  assert_eq!(local.acquire(&id, 201), LocalPermitVerdict::Granted);
  let LocalPermitVerdict::Ask { unused, .. } = local.acquire(&id, 1_000) else {
    panic!("the granted permits should have expired");
  };
  assert_eq!(unused, 1);
}

fn limits(entry: &EndpointEntry, per_s: f64, at_ms: u64) -> EndpointLimits {
  let mut limits = EndpointLimits::default();
  limits.record_response(entry, LimitHeader::PerSecond(per_s), at_ms, at_ms);
  limits
}

#[test]
fn limit_ends_with_the_first_later_response_without_one() {
  let entry = entry("e-1", 1);
  let mut limits = limits(&entry, 2.0, 10_000);
  // Sent before the limit was received: the order of the two responses is unknown.
  assert_eq!(
    limits.record_response(&entry, LimitHeader::Absent, 9_990, 12_000),
    LimitChange::Unchanged
  );
  // A limit that only some responses repeat stays in force.
  assert_eq!(
    limits.record_response(&entry, LimitHeader::Absent, 10_100, 10_200),
    LimitChange::Unchanged
  );
  assert_eq!(
    limits.record_response(&entry, LimitHeader::Unreadable, 11_900, 12_000),
    LimitChange::Unchanged
  );
  assert_eq!(limits.per_s(&entry, 0), Some(2.0));
  assert_eq!(
    limits.record_response(&entry, LimitHeader::Absent, 11_900, 12_000),
    LimitChange::Ended
  );
  assert_eq!(limits.per_s(&entry, 0), None);
}

#[test]
fn limit_holds_over_silence_and_ends_with_the_incarnation() {
  let first = entry("e-1", 1);
  let mut limits = limits(&first, 2.0, 10_000);
  limits.expire(300_000);
  assert_eq!(limits.per_s(&first, 0), Some(2.0));
  assert_eq!(limits.per_s(&entry("e-1", 2), 0), None);
}

#[test]
fn of_overlapping_responses_the_lower_limit_wins() {
  let entry = entry("e-1", 1);
  let mut limits = limits(&entry, 2.0, 10_000);
  limits.record_response(&entry, LimitHeader::PerSecond(5.0), 9_990, 10_010);
  assert_eq!(limits.per_s(&entry, 0), Some(2.0));
  limits.record_response(&entry, LimitHeader::PerSecond(5.0), 10_020, 10_030);
  assert_eq!(limits.per_s(&entry, 0), Some(5.0));
}

#[test]
fn newest_limit_wins_whichever_box_received_it() {
  let entry = entry("e-1", 1);
  let mut limits = limits(&entry, 2.0, 10_000);
  let reported = |per_s, received_ms| AdvertisedLimit {
    received_ms,
    per_s,
    source: LimitSource::Box,
  };
  let older = limits.record_reported(&entry.id, entry.started_ms, reported(Some(9.0), 9_000));
  assert_eq!(older, LimitChange::Unchanged);
  let newer = limits.record_reported(&entry.id, entry.started_ms, reported(Some(3.0), 11_000));
  assert_eq!(newer, LimitChange::Changed(2.0));
  assert_eq!(limits.per_s(&entry, 0), Some(3.0));
  let ended = limits.record_reported(&entry.id, entry.started_ms, reported(None, 12_000));
  assert_eq!(ended, LimitChange::Ended);
  assert_eq!(limits.per_s(&entry, 0), None);
}

/// An endpoint without a permit is not chosen, though it looks the least busy; when none has one, the retry-after delay ends
/// with the first permit.
#[test]
fn endpoint_without_a_permit_is_not_chosen() {
  let mut registry = EndpointRegistry::default();
  let (one, other) = (entry("a", 1), entry("b", 1));
  registry.put(one.clone());
  registry.put(other.clone());
  for _ in 0..5 {
    registry.record_send("b", 1);
  }
  let chosen = |registry: &EndpointRegistry, now_ms| {
    let criteria = EndpointCriteria {
      allowed_halls: &AllowedHalls::Any,
      hall: "north",
      is_retryable: false,
      role: None,
      service: "portal",
      size: 1,
      tried: &[],
      version: None,
    };
    let choice = registry.choose(criteria, now_ms, || 0.5);
    choice.map(|choice| choice.entry.id.to_string())
  };
  registry.record_limit(&one, LimitHeader::PerSecond(2.0), 1_000, 1_000);
  assert_eq!(chosen(&registry, 1_000), Some("a".into()));
  let rejected = PermitVerdict::Rejected { wait_ms: 400 };
  registry
    .limits_mut()
    .permits()
    .record_verdict(&one.id, rejected, 1_000);
  assert_eq!(chosen(&registry, 1_100), Some("b".into()));
  assert_eq!(registry.available_in_ms("portal", 1_100), None);
  registry.record_limit(&other, LimitHeader::PerSecond(2.0), 1_000, 1_000);
  let rejected = PermitVerdict::Rejected { wait_ms: 900 };
  registry
    .limits_mut()
    .permits()
    .record_verdict(&other.id, rejected, 1_000);
  assert_eq!(chosen(&registry, 1_100), None);
  assert_eq!(registry.available_in_ms("portal", 1_100), Some(300));
  assert_eq!(chosen(&registry, 1_400), Some("a".into()));
}

#[test]
fn registry_that_ignores_limits_chooses_as_before() {
  let mut registry = EndpointRegistry::default().ignoring_limits();
  let one = entry("a", 1);
  registry.put(one.clone());
  registry.record_limit(&one, LimitHeader::PerSecond(0.0), 1_000, 1_000);
  assert!(!registry.limits().are_enforced());
  assert_eq!(registry.limits().per_s(&one, 0), None);
}

fn box_list(boxes: usize, without: Option<usize>) -> BoxList {
  let mut list = BoxList::default();
  for number in (0..boxes).filter(|number| Some(*number) != without) {
    let entry = BoxEntry {
      address: "127.0.0.1:1".parse().unwrap(),
      hall: format!("hall-{}", number % 3).as_str().into(),
    };
    list.put(format!("box-{number:03}").as_str().into(), entry);
  }
  list
}

/// The boxes of an endpoint's hall share the coordination, and a box that leaves changes the coordinator of its endpoints
/// only.
#[test]
fn boxes_of_an_endpoints_hall_share_the_coordination() {
  let first = |list: &BoxList, number: usize| {
    let order = coordinator_order(list, &format!("e-{number}"), "hall-1", 1);
    order[0].0.to_string()
  };
  let all = box_list(30, None);
  let coordinators: Vec<String> = (0..400).map(|number| first(&all, number)).collect();
  let in_hall: Vec<String> = (0..30)
    .filter(|number| number % 3 == 1)
    .map(|number| format!("box-{number:03}"))
    .collect();
  assert!(coordinators.iter().all(|name| in_hall.contains(name)));
  for name in &in_hall {
    let endpoints = coordinators
      .iter()
      .filter(|coordinator| *coordinator == name)
      .count();
    assert!((20..=60).contains(&endpoints), "{name}: {endpoints}");
  }
  let fewer = box_list(30, Some(4));
  for (number, before) in coordinators.iter().enumerate() {
    let now = first(&fewer, number);
    assert!(
      now == *before || before == "box-004",
      "{number}: {before}, {now}"
    );
  }
}
