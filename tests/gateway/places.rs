//! Places at an endpoint that names a limit for all boxes together: who gives them out, how many, to whom, and for how long a
//! word holds.

use {
  emulator::places::{PlaceFleet, PlacePattern, PlaceWay, replay_places},
  rillford::gateway::{
    AdvertisedLimit, AllowedHalls, BoxEntry, BoxList, EndpointCriteria, EndpointEntry,
    EndpointLimits, EndpointRegistry, ISOLATED_BOXES, LimitChange, LimitHeader, LimitSource,
    LocalPermitVerdict, LocalPermits, PermitAccount, PermitRequest, PermitVerdict,
    coordinator_limit, coordinator_order, isolated_limit,
  },
  rstest::rstest,
};

/// The users' window, and what they allow in it.
const WINDOW_S: f64 = 4.0;
const ALLOWED_FACTOR: f64 = 1.5;
const ALLOWED_BESIDES: f64 = 5.0;
/// The part of a limit that is to be used where enough requests come.
const LEAST_USED: f64 = 0.9;

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
  }
}

fn wish(box_name: &str, priority: u8) -> PermitRequest {
  PermitRequest {
    box_name: box_name.into(),
    permits: 1,
    priority,
    unused: 0,
  }
}

/// Whatever messages are late, lost or kept from the box that counts, the sum stays within the users' bound: the parts that all
/// may give out do.
#[rstest]
fn parts_of_all_boxes_together_are_within_the_bound(
  #[values(0.0, 0.05, 0.2, 0.7, 2.0, 2.4, 9.0, 25.0, 40.0, 150.0, 400.0, 5_000.0)] per_s: f64,
) {
  let counted = coordinator_limit(per_s);
  let alone = isolated_limit(per_s);
  // A place may be used a quarter of a second after it was given.
  let lasts_s = WINDOW_S + 0.25;
  let of_counting = counted.rate_per_s * lasts_s + counted.burst;
  let of_alone = ISOLATED_BOXES as f64 * (alone.rate_per_s * WINDOW_S + alone.burst);
  let allowed = per_s * WINDOW_S * ALLOWED_FACTOR + ALLOWED_BESIDES;
  let all = of_counting + of_alone;
  assert!(all <= allowed, "{all} of {allowed}");
}

#[rstest]
fn sum_over_boxes_is_kept_in_each_pattern(
  #[values(3, 8, 30, 78)] boxes: usize,
  #[values(0.0, 0.2, 2.0, 40.0)] limit_per_s: f64,
  #[values(1, 2, 3)] seed: u64,
) {
  let fleet = PlaceFleet::pressed(boxes, limit_per_s);
  for pattern in PlacePattern::ALL {
    let figures = replay_places(pattern, fleet, PlaceWay::AskedAndTold, seed);
    let most = f64::from(figures.most_in_window);
    assert!(most <= fleet.allowed(), "{pattern:?}: {figures:?}");
    if pattern.is_calm() && limit_per_s >= 2.0 {
      assert!(figures.used_share >= LEAST_USED, "{pattern:?}: {figures:?}");
    }
  }
}

#[rstest]
#[case::few_places(2.0)]
#[case::many_places(400.0)]
fn sum_over_hundreds_of_boxes_is_kept(#[case] limit_per_s: f64) {
  let fleet = PlaceFleet::pressed(300, limit_per_s);
  for pattern in [
    PlacePattern::Even,
    PlacePattern::OneBox,
    PlacePattern::CountingEnds,
  ] {
    let figures = replay_places(pattern, fleet, PlaceWay::AskedAndTold, 1);
    let most = f64::from(figures.most_in_window);
    assert!(most <= fleet.allowed(), "{pattern:?}: {figures:?}");
    if pattern.is_calm() {
      assert!(figures.used_share >= LEAST_USED, "{pattern:?}: {figures:?}");
      assert!(figures.used_share <= 1.0, "{pattern:?}: {figures:?}");
    }
  }
}

/// The other ways lose what the kept one was chosen for.
#[test]
fn unheeded_limit_and_even_parts_fail_where_the_kept_way_does_not() {
  let fleet = PlaceFleet::pressed(8, 2.4);
  let unheeded = replay_places(PlacePattern::Even, fleet, PlaceWay::Off, 1);
  assert!(f64::from(unheeded.most_in_window) > fleet.allowed());
  let parts = replay_places(PlacePattern::OneBox, fleet, PlaceWay::EvenParts, 1);
  assert!(parts.used_share < 0.5, "{parts:?}");
  let large = PlaceFleet::pressed(30, 2.0);
  let of_seed = |seed| replay_places(PlacePattern::Even, large, PlaceWay::ToldSums, seed);
  let most = (1..=4).map(|seed| of_seed(seed).most_in_window).max();
  assert!(most.map(f64::from) > Some(large.allowed()), "{most:?}");
  let untold = replay_places(
    PlacePattern::Even,
    PlaceFleet::pressed(300, 2.0),
    PlaceWay::Asked,
    1,
  );
  assert!(untold.used_share > ALLOWED_FACTOR, "{untold:?}");
}

#[test]
fn account_begins_without_a_place_and_holds_few_after_a_pause() {
  let limit = coordinator_limit(2.0);
  let mut account = PermitAccount::new(limit, 0);
  assert!(matches!(
    account.request(&wish("a", 1), 0),
    PermitVerdict::Rejected { .. }
  ));
  let mut granted = 0;
  for _ in 0..20 {
    if let PermitVerdict::Granted(places) = account.request(&wish("a", 1), 3_600_000) {
      granted += places;
    }
  }
  assert_eq!(granted, 3);
}

#[test]
fn boxes_that_found_no_place_are_called_in_one_after_the_other() {
  let mut account = PermitAccount::new(coordinator_limit(2.0), 0);
  let mut waits = Vec::new();
  for number in 0..4 {
    match account.request(&wish(&format!("box-{number}"), 1), 0) {
      PermitVerdict::Rejected { wait_ms } => waits.push(wait_ms),
      PermitVerdict::Granted(_) => panic!("a place from nowhere"),
    }
  }
  assert!(waits.is_sorted_by(|one, other| one < other), "{waits:?}");
  let again = account.request(&wish("box-0", 1), 0);
  assert_eq!(again, PermitVerdict::Rejected { wait_ms: waits[0] });
}

#[test]
fn less_urgent_requests_leave_a_place_for_urgent_ones() {
  let mut account = PermitAccount::new(coordinator_limit(2.0), 0);
  assert_eq!(
    account.request(&wish("a", 0), 60_000),
    PermitVerdict::Granted(1)
  );
  assert_eq!(
    account.request(&wish("a", 5), 60_001),
    PermitVerdict::Granted(1)
  );
  assert!(matches!(
    account.request(&wish("a", 5), 60_002),
    PermitVerdict::Rejected { .. }
  ));
  assert_eq!(
    account.request(&wish("b", 0), 60_003),
    PermitVerdict::Granted(1)
  );
  // Once nobody urgent asks any more, the others get all.
  assert_eq!(
    account.request(&wish("a", 5), 120_000),
    PermitVerdict::Granted(1)
  );
  assert_eq!(
    account.request(&wish("a", 5), 120_001),
    PermitVerdict::Granted(1)
  );
  assert_eq!(
    account.request(&wish("a", 5), 120_002),
    PermitVerdict::Granted(1)
  );
}

#[test]
fn figure_that_goes_up_and_down_brings_no_place() {
  let (high, low) = (coordinator_limit(400.0), coordinator_limit(200.0));
  let mut account = PermitAccount::new(high, 0);
  account.request(&wish("a", 1), 10_000);
  while let PermitVerdict::Granted(_) = account.request(&wish("a", 1), 10_000) {}
  for _ in 0..50 {
    account.set_limit(low, 10_000);
    account.set_limit(high, 10_000);
  }
  assert!(matches!(
    account.request(&wish("a", 1), 10_000),
    PermitVerdict::Rejected { .. }
  ));
}

#[test]
fn places_that_are_not_used_in_time_go_back() {
  let mut ledger = LocalPermits::default();
  let id = "e-1".into();
  for at_ms in 0..200 {
    ledger.acquire(&id, at_ms);
  }
  let LocalPermitVerdict::Ask { permits, unused: 0 } = ledger.acquire(&id, 200) else {
    panic!("nothing was given yet");
  };
  assert!(permits > 1);
  assert!(ledger.record_verdict(&id, PermitVerdict::Granted(3), 200));
  assert_eq!(ledger.acquire(&id, 201), LocalPermitVerdict::Granted);
  let LocalPermitVerdict::Ask { unused, .. } = ledger.acquire(&id, 1_000) else {
    panic!("what was given is too old");
  };
  assert_eq!(unused, 1);
}

fn limits(entry: &EndpointEntry, per_s: f64, at_ms: u64) -> EndpointLimits {
  let mut limits = EndpointLimits::default();
  limits.record_response(entry, LimitHeader::PerSecond(per_s), at_ms, at_ms);
  limits
}

#[test]
fn word_ends_with_the_first_later_answer_without_it() {
  let entry = entry("e-1", 1);
  let mut limits = limits(&entry, 2.0, 10_000);
  // Sent before the word was heard: nobody knows which answer the endpoint gave first.
  assert_eq!(
    limits.record_response(&entry, LimitHeader::Absent, 9_990, 12_000),
    LimitChange::Unchanged
  );
  // An endpoint that names it on and off names it.
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
fn word_holds_over_silence_and_ends_with_the_life() {
  let first = entry("e-1", 1);
  let mut limits = limits(&first, 2.0, 10_000);
  limits.expire(300_000);
  assert_eq!(limits.per_s(&first, 0), Some(2.0));
  assert_eq!(limits.per_s(&entry("e-1", 2), 0), None);
}

#[test]
fn of_answers_that_crossed_the_smaller_figure_holds() {
  let entry = entry("e-1", 1);
  let mut limits = limits(&entry, 2.0, 10_000);
  limits.record_response(&entry, LimitHeader::PerSecond(5.0), 9_990, 10_010);
  assert_eq!(limits.per_s(&entry, 0), Some(2.0));
  limits.record_response(&entry, LimitHeader::PerSecond(5.0), 10_020, 10_030);
  assert_eq!(limits.per_s(&entry, 0), Some(5.0));
}

#[test]
fn newest_word_holds_whichever_box_heard_it() {
  let entry = entry("e-1", 1);
  let mut limits = limits(&entry, 2.0, 10_000);
  let told = |per_s, received_ms| AdvertisedLimit {
    received_ms,
    per_s,
    source: LimitSource::Box,
  };
  let older = limits.record_reported(&entry.id, entry.started_ms, told(Some(9.0), 9_000));
  assert_eq!(older, LimitChange::Unchanged);
  let newer = limits.record_reported(&entry.id, entry.started_ms, told(Some(3.0), 11_000));
  assert_eq!(newer, LimitChange::Changed(2.0));
  assert_eq!(limits.per_s(&entry, 0), Some(3.0));
  let ended = limits.record_reported(&entry.id, entry.started_ms, told(None, 12_000));
  assert_eq!(ended, LimitChange::Ended);
  assert_eq!(limits.per_s(&entry, 0), None);
}

/// An endpoint without a place is not chosen, though it looks the least busy; when none has one, callers are told when the first has.
#[test]
fn endpoint_without_a_place_is_passed_by() {
  let mut book = EndpointRegistry::default();
  let (one, other) = (entry("a", 1), entry("b", 1));
  book.put(one.clone());
  book.put(other.clone());
  for _ in 0..5 {
    book.record_send("b", 1);
  }
  let chosen = |book: &EndpointRegistry, now_ms| {
    let wanted = EndpointCriteria {
      allowed_halls: &AllowedHalls::Any,
      hall: "north",
      is_retryable: false,
      role: None,
      service: "portal",
      size: 1,
      tried: &[],
    };
    let choice = book.choose(wanted, now_ms, || 0.5);
    choice.map(|choice| choice.entry.id.to_string())
  };
  book.record_limit(&one, LimitHeader::PerSecond(2.0), 1_000, 1_000);
  assert_eq!(chosen(&book, 1_000), Some("a".into()));
  let refused = PermitVerdict::Rejected { wait_ms: 400 };
  book
    .limits_mut()
    .permits()
    .record_verdict(&one.id, refused, 1_000);
  assert_eq!(chosen(&book, 1_100), Some("b".into()));
  assert_eq!(book.available_in_ms("portal", 1_100), None);
  book.record_limit(&other, LimitHeader::PerSecond(2.0), 1_000, 1_000);
  let refused = PermitVerdict::Rejected { wait_ms: 900 };
  book
    .limits_mut()
    .permits()
    .record_verdict(&other.id, refused, 1_000);
  assert_eq!(chosen(&book, 1_100), None);
  assert_eq!(book.available_in_ms("portal", 1_100), Some(300));
  assert_eq!(chosen(&book, 1_400), Some("a".into()));
}

#[test]
fn book_that_ignores_limits_chooses_as_before() {
  let mut book = EndpointRegistry::default().ignoring_limits();
  let one = entry("a", 1);
  book.put(one.clone());
  book.record_limit(&one, LimitHeader::PerSecond(0.0), 1_000, 1_000);
  assert!(!book.limits().are_enforced());
  assert_eq!(book.limits().per_s(&one, 0), None);
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

/// The boxes of an endpoint's hall count its requests, all of them in turn, and a box that goes changes that for its endpoints alone.
#[test]
fn boxes_of_an_endpoints_hall_share_the_counting() {
  let first = |list: &BoxList, number: usize| {
    let order = coordinator_order(list, &format!("e-{number}"), "hall-1", 1);
    order[0].0.to_string()
  };
  let all = box_list(30, None);
  let counting: Vec<String> = (0..400).map(|number| first(&all, number)).collect();
  let of_hall: Vec<String> = (0..30)
    .filter(|number| number % 3 == 1)
    .map(|number| format!("box-{number:03}"))
    .collect();
  assert!(counting.iter().all(|name| of_hall.contains(name)));
  for name in &of_hall {
    let endpoints = counting.iter().filter(|counting| *counting == name).count();
    assert!((20..=60).contains(&endpoints), "{name}: {endpoints}");
  }
  let fewer = box_list(30, Some(4));
  for (number, before) in counting.iter().enumerate() {
    let now = first(&fewer, number);
    assert!(
      now == *before || before == "box-004",
      "{number}: {before}, {now}"
    );
  }
}
