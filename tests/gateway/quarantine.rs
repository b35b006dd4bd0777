//! Which requests are held, by what was seen of the ends of endpoints.

use {
  emulator::quarantine::{CrashFleet, CrashPattern, replay_crashes},
  proptest::prelude::*,
  rillford::gateway::{
    EndpointIncarnation, Fingerprint, QuarantineKey, QuarantineMark, QuarantineRegistry,
    QuarantineStrategy, QuarantineVerdict, RequestIdentity,
  },
  rstest::rstest,
};

const TEN_MINUTES_MS: u64 = 600_000;

fn identity(body: &[u8]) -> RequestIdentity<'_> {
  RequestIdentity {
    body,
    host: "lectures.example",
    method: "POST",
    organisation: Some("lectures"),
    path: "/questions/1",
  }
}

fn fingerprint(number: u64) -> Fingerprint {
  Fingerprint::of(identity(number.to_string().as_bytes()))
}

fn ended(request: u64, engine: &str, started_ms: u64) -> QuarantineKey {
  QuarantineKey {
    fingerprint: fingerprint(request),
    mark: QuarantineMark::Crashed(EndpointIncarnation::of(engine, Some(started_ms))),
  }
}

fn trial(request: u64, number: u32) -> QuarantineKey {
  QuarantineKey {
    fingerprint: fingerprint(request),
    mark: QuarantineMark::Probe(number),
  }
}

/// A book in which a request is held since a time.
fn holding(request: u64, since_ms: u64) -> QuarantineRegistry {
  let mut book = QuarantineRegistry::default();
  for engine in ["e-1", "e-2", "e-3"] {
    book.record(ended(request, engine, 1), since_ms);
  }
  book
}

#[rstest]
#[case::the_body(RequestIdentity { body: b"2", ..identity(b"1") })]
#[case::the_path(RequestIdentity { path: "/questions/2", ..identity(b"1") })]
#[case::the_query(RequestIdentity { path: "/questions/1?a", ..identity(b"1") })]
#[case::the_host(RequestIdentity { host: "captions.example", ..identity(b"1") })]
#[case::the_method(RequestIdentity { method: "PUT", ..identity(b"1") })]
#[case::the_organisation(RequestIdentity { organisation: Some("captions"), ..identity(b"1") })]
#[case::no_organisation(RequestIdentity { organisation: None, ..identity(b"1") })]
#[case::a_byte_that_moved(RequestIdentity { path: "/questions/11", body: b"", ..identity(b"1") })]
fn requests_that_differ_in_one_thing_are_not_the_same(#[case] other: RequestIdentity) {
  assert_ne!(Fingerprint::of(identity(b"1")), Fingerprint::of(other));
}

#[test]
fn one_life_counts_once_and_three_hold() {
  let mut book = QuarantineRegistry::default();
  for _ in 0..9 {
    book.record(ended(1, "e-1", 1), 0);
  }
  assert_eq!(book.counts(fingerprint(1)), (1, 0));
  book.record(ended(1, "e-1", 2), 0);
  assert_eq!(book.verdict(fingerprint(1), 0), QuarantineVerdict::Allowed);
  book.record(ended(1, "e-1", 3), 0);
  assert_eq!(
    book.verdict(fingerprint(1), 0),
    QuarantineVerdict::Probe { number: 1 }
  );
  assert_eq!(book.verdict(fingerprint(2), 0), QuarantineVerdict::Allowed);
}

#[test]
fn two_trials_the_second_much_later_and_then_none() {
  let mut book = holding(1, 0);
  book.record(trial(1, 1), 100);
  let held = |retry_after_ms| QuarantineVerdict::Quarantined { retry_after_ms };
  assert_eq!(book.verdict(fingerprint(1), 200), held(1_000));
  assert_eq!(book.verdict(fingerprint(1), 5_100), held(10_000));
  assert_eq!(
    book.verdict(fingerprint(1), 15_100),
    QuarantineVerdict::Probe { number: 2 }
  );
  book.record(ended(1, "e-4", 1), 15_200);
  book.record(trial(1, 2), 15_200);
  for now_ms in [15_300, 60_000, 500_000] {
    assert_eq!(
      book.verdict(fingerprint(1), now_ms),
      held(TEN_MINUTES_MS),
      "{now_ms}"
    );
  }
}

#[test]
fn what_is_asked_for_is_kept_and_what_is_not_is_forgotten() {
  let mut book = holding(1, 0);
  assert!(book.marks_to_refresh(fingerprint(1), 299_999).is_empty());
  let due = book.marks_to_refresh(fingerprint(1), 300_000);
  assert_eq!(due.len(), 3);
  for key in due {
    book.record(key, 300_000);
  }
  assert!(book.expire(TEN_MINUTES_MS).is_empty());
  assert_eq!(book.expire(TEN_MINUTES_MS + 300_000).len(), 3);
  assert!(book.is_empty());
}

/// Streams share the engine that ends. A rack goes three times in a minute; whoever comes back whole in between is free of
/// what was before, and one that meets all three ends in a row is held for one run.
#[test]
fn rack_that_goes_three_times_holds_only_who_met_all_ends_in_a_row() {
  let mut book = QuarantineRegistry::default();
  for (turn, started_ms) in [1, 2, 3].into_iter().enumerate() {
    for stream in 0..128 {
      book.record(ended(stream, "e-1", started_ms), turn as u64 * 20_000);
    }
    // Half of them end well on another engine.
    for stream in 0..64 {
      book.clear(fingerprint(stream));
    }
  }
  let verdict = |book: &QuarantineRegistry, stream| book.verdict(fingerprint(stream), 60_000);
  assert!((0..64).all(|stream| verdict(&book, stream) == QuarantineVerdict::Allowed));
  assert!((64..128).all(|stream| verdict(&book, stream) == QuarantineVerdict::Probe { number: 1 }));
  book.record(trial(100, 1), 60_000);
  book.clear(fingerprint(100));
  assert_eq!(verdict(&book, 100), QuarantineVerdict::Allowed);
}

/// Somebody sends ten thousand bodies, each of which ends an engine.
#[test]
fn many_different_requests_are_bounded_and_push_out_no_held_one() {
  let mut book = holding(1, 0);
  for number in 2..10_002 {
    book.record(ended(number, "e-1", number), number);
  }
  assert!(book.len() <= 4_096, "{}", book.len());
  assert_eq!(
    book.verdict(fingerprint(1), 11_000),
    QuarantineVerdict::Probe { number: 1 }
  );
  // The newest are the ones that are kept.
  assert_eq!(book.counts(fingerprint(10_001)), (1, 0));
}

#[test]
fn marks_that_are_removed_free_the_request() {
  let mut book = holding(1, 0);
  book.remove(ended(1, "e-3", 1));
  assert_eq!(book.verdict(fingerprint(1), 0), QuarantineVerdict::Allowed);
  book.remove(ended(1, "e-2", 1));
  book.remove(ended(1, "e-1", 1));
  assert!(book.is_empty());
}

/// The users allow three more runs once boxes had time to hear of the third end.
#[rstest]
fn shared_marks_keep_the_users_bound(
  #[values(
    CrashPattern::OneBody,
    CrashPattern::OneBodyAllNew,
    CrashPattern::TwelveBodies,
    CrashPattern::NewBodies,
    CrashPattern::OneBodyAndRack
  )]
  pattern: CrashPattern,
) {
  for seed in 1..=3 {
    let play = replay_crashes(pattern, CrashFleet::SMALL, QuarantineStrategy::Shared, seed);
    assert!(play.most_late <= 3, "seed {seed}: {play:?}");
  }
}

/// While words take longer than the bound, or the store is away, no box is held to it: each still keeps what it saw itself.
#[rstest]
fn boxes_that_hear_nothing_end_few_engines(
  #[values(CrashPattern::OneBodySlowWord, CrashPattern::OneBodyStoreAway)] pattern: CrashPattern,
) {
  let ended = |way| replay_crashes(pattern, CrashFleet::SMALL, way, 1).ended;
  let (own, shared) = (
    ended(QuarantineStrategy::OwnBox),
    ended(QuarantineStrategy::Shared),
  );
  assert!(2 * shared < own, "{shared} beside {own}");
}

/// What is bounded for one try, or for one box, is not bounded over all.
#[test]
fn what_each_box_keeps_for_itself_breaks_the_bound() {
  for way in [QuarantineStrategy::Off, QuarantineStrategy::OwnBox] {
    let play = replay_crashes(CrashPattern::OneBody, CrashFleet::SMALL, way, 1);
    assert!(play.most_late > 3, "{way:?}: {play:?}");
  }
}

/// A rack that goes three times in a minute makes no outcasts of its streams: as many innocent callers are served as without
/// any quarantine, also where four bodies are all that is asked for.
#[rstest]
fn innocent_callers_are_served_as_before(
  #[values(CrashPattern::Rack, CrashPattern::RackPopular)] pattern: CrashPattern,
) {
  let served = |way| {
    let plays = (1..=4).map(|seed| replay_crashes(pattern, CrashFleet::SMALL, way, seed));
    plays.map(|play| play.served_share()).sum::<f64>() / 4.0
  };
  let (before, after) = (
    served(QuarantineStrategy::Off),
    served(QuarantineStrategy::Shared),
  );
  assert!(after > before - 0.02, "{before} before, {after} after");
}

proptest! {
  /// Boxes hear marks in different orders, and some twice.
  #[test]
  fn order_of_marks_changes_no_verdict(
    marks in prop::collection::vec((0_u64..3, 0_u32..6), 0..24),
    seed in any::<u64>(),
  ) {
    let keys: Vec<QuarantineKey> = marks
      .iter()
      .map(|(request, mark)| match mark {
        0..4 => ended(*request, "e-1", u64::from(*mark)),
        _ => trial(*request, mark - 3),
      })
      .collect();
    let mut one = QuarantineRegistry::default();
    let mut other = QuarantineRegistry::default();
    for key in &keys {
      one.record(*key, 1_000);
    }
    let start = usize::try_from(seed % (keys.len() as u64 + 1)).unwrap();
    for key in keys[start..].iter().chain(keys.iter().rev()) {
      other.record(*key, 1_000);
    }
    for request in 0..3 {
      for now_ms in [1_000, 3_000, 17_000] {
        prop_assert_eq!(
          one.verdict(fingerprint(request), now_ms),
          other.verdict(fingerprint(request), now_ms)
        );
      }
    }
  }

  /// Others may write below the boxes' keys.
  #[test]
  fn texts_that_are_no_marks_are_none(text in ".{0,80}") {
    if let Some(key) = QuarantineKey::parse(&text) {
      prop_assert_eq!(QuarantineKey::parse(&key.text()), Some(key));
    }
  }
}
