//! The choice of an endpoint.

use {
  rillford::{
    decide::Role,
    gateway::{
      AllowedHalls, AttemptOutcome, EndpointCriteria, EndpointEntry, EndpointRegistry, LoadHeader,
      Unavailable,
    },
  },
  rstest::rstest,
  std::collections::HashMap,
};

fn entry(id: &str, hall: &str, role: Option<Role>) -> EndpointEntry {
  EndpointEntry {
    address: "127.0.0.1:1".parse().unwrap(),
    started_ms: None,
    cold_ms: 0,
    hall: hall.into(),
    id: id.into(),
    leaving: false,
    role,
    slots: 8,
    service: "portal".into(),
  }
}

fn book(ids: &[&str]) -> EndpointRegistry {
  let mut book = EndpointRegistry::default();
  for id in ids {
    book.put(entry(id, "north", None));
  }
  book
}

fn wanted() -> EndpointCriteria<'static> {
  EndpointCriteria {
    allowed_halls: &AllowedHalls::Any,
    hall: "north",
    is_retryable: true,
    role: None,
    service: "portal",
    size: 1,
    tried: &[],
  }
}

fn unrepeatable() -> EndpointCriteria<'static> {
  EndpointCriteria {
    is_retryable: false,
    ..wanted()
  }
}

fn chosen(book: &EndpointRegistry, wanted: EndpointCriteria, now_ms: u64) -> String {
  book
    .choose(wanted, now_ms, || 0.5)
    .unwrap()
    .entry
    .id
    .to_string()
}

#[test]
fn least_busy_is_chosen() {
  let mut book = book(&["a", "b"]);
  book.record_send("a", 1);
  assert_eq!(chosen(&book, wanted(), 0), "b");
  book.record_load(
    "b",
    LoadHeader {
      running: 5,
      slots: 8,
      waiting: 2,
    },
    0,
  );
  assert_eq!(chosen(&book, wanted(), 10), "a");
  // What an endpoint told loses its weight with time.
  assert_eq!(chosen(&book, wanted(), 5_000), "b");
}

#[test]
fn own_hall_goes_first_and_load_beats_it() {
  let mut book = EndpointRegistry::default();
  book.put(entry("far", "south", None));
  book.put(entry("near", "north", None));
  assert_eq!(chosen(&book, wanted(), 0), "near");
  book.record_send("near", 1);
  book.record_send("near", 1);
  assert_eq!(chosen(&book, wanted(), 0), "far");
}

#[test]
fn lost_endpoint_is_left_alone_then_tried_with_what_may_be_repeated() {
  let mut book = book(&["a", "b"]);
  book.record_send("a", 1);
  book.record_outcome("a", 1, 1, AttemptOutcome::Lost, 0);
  book.record_send("b", 1);
  assert_eq!(chosen(&book, wanted(), 100), "b");
  // The time has passed: a repeatable request tries it, another does not.
  assert_eq!(chosen(&book, wanted(), 800), "a");
  assert_eq!(chosen(&book, unrepeatable(), 800), "b");
  // Only one at a time.
  book.record_send("a", 1);
  assert_eq!(chosen(&book, wanted(), 800), "b");
  book.record_outcome("a", 1, 1, AttemptOutcome::Answered { took_ms: 5 }, 900);
  assert_eq!(chosen(&book, unrepeatable(), 900), "a");
}

#[rstest]
#[case(AttemptOutcome::Failed, true)]
#[case(AttemptOutcome::Answered { took_ms: 60 }, false)]
fn endpoint_that_fails_more_than_its_peers_is_chosen_less(
  #[case] end: AttemptOutcome,
  #[case] shunned: bool,
) {
  let mut book = book(&["a", "b", "c"]);
  for _ in 0..10 {
    for (id, end) in [
      ("a", end),
      ("b", AttemptOutcome::Answered { took_ms: 60 }),
      ("c", AttemptOutcome::Answered { took_ms: 60 }),
    ] {
      book.record_send(id, 1);
      book.record_outcome(id, 1, 1, end, 0);
    }
  }
  book.record_send("b", 1);
  book.record_send("c", 1);
  assert_eq!(chosen(&book, wanted(), 0) != "a", shunned);
}

#[test]
fn roles_and_services_and_leaving_are_heeded() {
  let mut book = EndpointRegistry::default();
  book.put(entry("reads", "north", Some(Role::Prefill)));
  book.put(entry("writes", "north", Some(Role::Decode)));
  let reading = EndpointCriteria {
    role: Some(Role::Prefill),
    ..wanted()
  };
  assert_eq!(chosen(&book, reading, 0), "reads");
  book.put(EndpointEntry {
    leaving: true,
    ..entry("reads", "north", Some(Role::Prefill))
  });
  assert!(book.choose(reading, 0, || 0.5).is_none());
  assert!(
    book
      .choose(
        EndpointCriteria {
          service: "other",
          ..wanted()
        },
        0,
        || 0.5
      )
      .is_none()
  );
}

#[test]
fn lapsed_entry_is_the_last_resort_and_comes_back_whole() {
  let mut book = book(&["a", "b"]);
  book.mark_lapsed("a", 1_900);
  book.record_send("b", 1);
  assert_eq!(chosen(&book, wanted(), 100), "b");
  book.put(entry("a", "north", None));
  assert_eq!(chosen(&book, wanted(), 100), "a");
  book.mark_lapsed("b", 1_900);
  book.remove_lapsed(2_000);
  assert_eq!(book.ids(), ["a".into()]);
}

#[test]
fn equal_endpoints_share_the_work() {
  let mut book = book(&["a", "b", "c"]);
  let mut counts: HashMap<String, u32> = HashMap::new();
  for _ in 0..300 {
    let id = chosen(&book, wanted(), 0);
    book.record_send(&id, 1);
    *counts.entry(id).or_default() += 1;
  }
  assert!(counts.values().all(|count| *count == 100), "{counts:?}");
}

#[test]
fn overdue_endpoint_is_left_alone_and_two_mark_their_hall() {
  let mut book = EndpointRegistry::default();
  for (id, hall) in [
    ("n-1", "north"),
    ("s-1", "south"),
    ("s-2", "south"),
    ("s-3", "south"),
  ] {
    book.put(entry(id, hall, None));
  }
  for _ in 0..20 {
    book.record_send("n-1", 1);
  }
  book.mark_overdue("s-1", 0);
  assert_ne!(chosen(&book, wanted(), 10), "s-1");
  assert!(!book.is_hall_unreachable("south", 10));
  book.mark_overdue("s-2", 0);
  assert!(book.is_hall_unreachable("south", 10));
  // Busy as it is, the endpoint that answers is better than a hall that does not.
  assert_eq!(chosen(&book, wanted(), 10), "n-1");
  book.record_send("s-3", 1);
  book.record_outcome("s-3", 1, 1, AttemptOutcome::Answered { took_ms: 5 }, 20);
  assert!(!book.is_hall_unreachable("south", 30));
  assert_eq!(chosen(&book, wanted(), 30), "s-3");
}

#[test]
fn work_is_expected_to_take_as_long_as_its_like_did() {
  let mut book = book(&["a"]);
  let work = EndpointCriteria {
    size: 500,
    ..wanted()
  };
  let choice = book.choose(work, 0, || 0.5).unwrap();
  assert_eq!(choice.expected_ms, None);
  assert_eq!(choice.share_over(1.0), 0.0);
  book.record_send("a", 500);
  book.record_outcome(
    "a",
    500,
    500,
    AttemptOutcome::Answered { took_ms: 100 },
    100,
  );
  // As much again is ahead of the next.
  book.record_send("a", 500);
  let choice = book.choose(work, 100, || 0.5).unwrap();
  assert_eq!(choice.expected_ms, Some(200));
  assert_eq!(choice.share_over(300.0), 0.0);
  assert_eq!(choice.share_over(50.0), 0.75);
}

/// An endpoint was chosen, ended while a prompt was read for it, and was back under its id and address before the request was
/// sent: the seat that was reserved there was gone, and the end of the new life was taken for that of the old one.
#[test]
fn later_life_is_not_sent_what_was_chosen_for_an_earlier_one() {
  let life = |started_ms| EndpointEntry {
    started_ms: Some(started_ms),
    ..entry("a", "north", None)
  };
  let mut book = EndpointRegistry::default();
  book.put(life(1));
  assert_eq!(book.check(&life(1), 0), Ok(()));
  book.put(life(2));
  assert_eq!(book.check(&life(1), 0), Err(Unavailable::Unlisted));
  assert_eq!(book.check(&life(2), 0), Ok(()));
}
