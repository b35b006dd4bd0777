//! Selection of an endpoint.

use {
  rillford::{
    decide::Role,
    gateway::{
      AllowedHalls, AttemptOutcome, EndpointCriteria, EndpointEntry, EndpointRegistry, LoadHeader,
      SoftwareVersion, Unavailable,
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
    version: SoftwareVersion::default(),
  }
}

fn registry(ids: &[&str]) -> EndpointRegistry {
  let mut registry = EndpointRegistry::default();
  for id in ids {
    registry.put(entry(id, "north", None));
  }
  registry
}

fn criteria() -> EndpointCriteria<'static> {
  EndpointCriteria {
    allowed_halls: &AllowedHalls::Any,
    hall: "north",
    is_retryable: true,
    role: None,
    service: "portal",
    size: 1,
    tried: &[],
    version: None,
  }
}

fn non_retryable() -> EndpointCriteria<'static> {
  EndpointCriteria {
    is_retryable: false,
    ..criteria()
  }
}

fn chosen(registry: &EndpointRegistry, criteria: EndpointCriteria, now_ms: u64) -> String {
  registry
    .choose(criteria, now_ms, || 0.5)
    .unwrap()
    .entry
    .id
    .to_string()
}

#[test]
fn least_busy_is_chosen() {
  let mut registry = registry(&["a", "b"]);
  registry.record_send("a", 1);
  assert_eq!(chosen(&registry, criteria(), 0), "b");
  registry.record_load(
    "b",
    LoadHeader {
      running: 5,
      slots: 8,
      slowdown_percent: None,
      waiting: 2,
    },
    0,
  );
  assert_eq!(chosen(&registry, criteria(), 10), "a");
  // A reported load fades out.
  assert_eq!(chosen(&registry, criteria(), 5_000), "b");
}

#[test]
fn own_hall_is_preferred_unless_it_is_loaded() {
  let mut registry = EndpointRegistry::default();
  registry.put(entry("far", "south", None));
  registry.put(entry("near", "north", None));
  assert_eq!(chosen(&registry, criteria(), 0), "near");
  registry.record_send("near", 1);
  registry.record_send("near", 1);
  assert_eq!(chosen(&registry, criteria(), 0), "far");
}

#[test]
fn lost_endpoint_is_backed_off_then_probed_by_retryable_requests() {
  let mut registry = registry(&["a", "b"]);
  registry.record_send("a", 1);
  registry.record_outcome("a", 1, 1, AttemptOutcome::Lost, 0);
  registry.record_send("b", 1);
  assert_eq!(chosen(&registry, criteria(), 100), "b");
  // The backoff has passed: a retryable request probes it, another does not.
  assert_eq!(chosen(&registry, criteria(), 800), "a");
  assert_eq!(chosen(&registry, non_retryable(), 800), "b");
  // Only one probe at a time.
  registry.record_send("a", 1);
  assert_eq!(chosen(&registry, criteria(), 800), "b");
  registry.record_outcome("a", 1, 1, AttemptOutcome::Answered { took_ms: 5 }, 900);
  assert_eq!(chosen(&registry, non_retryable(), 900), "a");
}

#[rstest]
#[case(AttemptOutcome::Failed, true)]
#[case(AttemptOutcome::Answered { took_ms: 60 }, false)]
fn endpoint_that_fails_more_than_its_peers_is_chosen_less(
  #[case] outcome: AttemptOutcome,
  #[case] is_avoided: bool,
) {
  let mut registry = registry(&["a", "b", "c"]);
  for _ in 0..10 {
    for (id, outcome) in [
      ("a", outcome),
      ("b", AttemptOutcome::Answered { took_ms: 60 }),
      ("c", AttemptOutcome::Answered { took_ms: 60 }),
    ] {
      registry.record_send(id, 1);
      registry.record_outcome(id, 1, 1, outcome, 0);
    }
  }
  registry.record_send("b", 1);
  registry.record_send("c", 1);
  assert_eq!(chosen(&registry, criteria(), 0) != "a", is_avoided);
}

#[test]
fn role_service_and_leaving_are_honoured() {
  let mut registry = EndpointRegistry::default();
  registry.put(entry("prefill", "north", Some(Role::Prefill)));
  registry.put(entry("decode", "north", Some(Role::Decode)));
  let prefill = EndpointCriteria {
    role: Some(Role::Prefill),
    ..criteria()
  };
  assert_eq!(chosen(&registry, prefill, 0), "prefill");
  registry.put(EndpointEntry {
    leaving: true,
    ..entry("prefill", "north", Some(Role::Prefill))
  });
  assert!(registry.choose(prefill, 0, || 0.5).is_none());
  assert!(
    registry
      .choose(
        EndpointCriteria {
          service: "other",
          ..criteria()
        },
        0,
        || 0.5
      )
      .is_none()
  );
}

#[test]
fn lapsed_entry_is_the_last_resort_until_it_returns() {
  let mut registry = registry(&["a", "b"]);
  registry.mark_lapsed("a", 1_900);
  registry.record_send("b", 1);
  assert_eq!(chosen(&registry, criteria(), 100), "b");
  registry.put(entry("a", "north", None));
  assert_eq!(chosen(&registry, criteria(), 100), "a");
  registry.mark_lapsed("b", 1_900);
  registry.remove_lapsed(2_000);
  assert_eq!(registry.ids(), ["a".into()]);
}

#[test]
fn equal_endpoints_share_the_work() {
  let mut registry = registry(&["a", "b", "c"]);
  let mut counts: HashMap<String, u32> = HashMap::new();
  for _ in 0..300 {
    let id = chosen(&registry, criteria(), 0);
    registry.record_send(&id, 1);
    *counts.entry(id).or_default() += 1;
  }
  assert!(counts.values().all(|count| *count == 100), "{counts:?}");
}

#[test]
fn overdue_endpoint_is_backed_off_and_two_make_their_hall_unreachable() {
  let mut registry = EndpointRegistry::default();
  for (id, hall) in [
    ("n-1", "north"),
    ("s-1", "south"),
    ("s-2", "south"),
    ("s-3", "south"),
  ] {
    registry.put(entry(id, hall, None));
  }
  for _ in 0..20 {
    registry.record_send("n-1", 1);
  }
  registry.mark_overdue("s-1", 0);
  assert_ne!(chosen(&registry, criteria(), 10), "s-1");
  assert!(!registry.is_hall_unreachable("south", 10));
  registry.mark_overdue("s-2", 0);
  assert!(registry.is_hall_unreachable("south", 10));
  // A busy endpoint that answers is preferred over an unreachable hall.
  assert_eq!(chosen(&registry, criteria(), 10), "n-1");
  registry.record_send("s-3", 1);
  registry.record_outcome("s-3", 1, 1, AttemptOutcome::Answered { took_ms: 5 }, 20);
  assert!(!registry.is_hall_unreachable("south", 30));
  assert_eq!(chosen(&registry, criteria(), 30), "s-3");
}

/// Guards against an endpoint being avoided for seconds after a short silence.
#[test]
fn endpoint_that_continues_overdue_responses_is_chosen_again() {
  let mut registry = registry(&["a", "b"]);
  for _ in 0..40 {
    registry.record_send("b", 1);
  }
  for _ in 0..30 {
    registry.mark_overdue("a", 0);
  }
  assert_eq!(chosen(&registry, criteria(), 100), "b");
  registry.record_continued("a");
  assert_eq!(chosen(&registry, criteria(), 100), "a");
  assert!(!registry.is_backing_off("a", 100));
}

#[test]
fn expected_time_follows_earlier_work_of_the_endpoint() {
  let mut registry = registry(&["a"]);
  let work = EndpointCriteria {
    size: 500,
    ..criteria()
  };
  let choice = registry.choose(work, 0, || 0.5).unwrap();
  assert_eq!(choice.expected_ms, None);
  assert_eq!(choice.share_over(1.0), 0.0);
  registry.record_send("a", 500);
  registry.record_outcome(
    "a",
    500,
    500,
    AttemptOutcome::Answered { took_ms: 100 },
    100,
  );
  // The same amount of work is queued ahead of the next.
  registry.record_send("a", 500);
  let choice = registry.choose(work, 100, || 0.5).unwrap();
  assert_eq!(choice.expected_ms, Some(200));
  assert_eq!(choice.share_over(300.0), 0.0);
  assert_eq!(choice.share_over(50.0), 0.75);
}

/// An endpoint was chosen, crashed during prefill, and restarted under its id and address before the request was sent: the
/// slot reservation was lost, and the crash of the new incarnation was attributed to the old one.
#[test]
fn new_incarnation_gets_no_requests_chosen_for_the_former_one() {
  let incarnation = |started_ms| EndpointEntry {
    started_ms: Some(started_ms),
    ..entry("a", "north", None)
  };
  let mut registry = EndpointRegistry::default();
  registry.put(incarnation(1));
  assert_eq!(registry.check(&incarnation(1), 0), Ok(()));
  registry.put(incarnation(2));
  assert_eq!(
    registry.check(&incarnation(1), 0),
    Err(Unavailable::Unlisted)
  );
  assert_eq!(registry.check(&incarnation(2), 0), Ok(()));
}

/// An entry may come back under its id with another version while a request for the former one is prepared.
#[test]
fn new_version_gets_no_requests_chosen_for_the_former_one() {
  let versioned = |id, version| EndpointEntry {
    role: Some(Role::Decode),
    started_ms: Some(1_000),
    version: SoftwareVersion::new(version),
    ..entry(id, "north", None)
  };
  let mut registry = EndpointRegistry::default();
  registry.put(versioned("a", "v1"));
  registry.put(versioned("a", "v2"));
  registry.put(versioned("b", "v1"));
  assert_eq!(
    registry.check(&versioned("a", "v1"), 0),
    Err(Unavailable::Unlisted)
  );
  assert_eq!(registry.check(&versioned("a", "v2"), 0), Ok(()));
  let choice = |version: &SoftwareVersion| {
    let work = EndpointCriteria {
      version: Some(version),
      ..criteria()
    };
    let choice = registry.choose(work, 0, || 0.5);
    choice.map(|choice| choice.entry.id.to_string())
  };
  assert_eq!(choice(&SoftwareVersion::new("v1")).as_deref(), Some("b"));
  assert_eq!(choice(&SoftwareVersion::new("v2")).as_deref(), Some("a"));
  assert_eq!(choice(&SoftwareVersion::default()), None);
}

/// Engines share their machines, which slow down for fractions of a second: work sent there in that time is late.
#[test]
fn slowed_machine_gets_less_work_until_its_report_has_decayed() {
  let mut registry = registry(&["a", "b"]);
  registry.record_slowdown(&entry("a", "north", None), 300, 1_000);
  assert_eq!(chosen(&registry, criteria(), 1_000), "b");
  // It still is the better choice over an endpoint with more than three times the work.
  for _ in 0..3 {
    registry.record_send("b", 1);
  }
  assert_eq!(chosen(&registry, criteria(), 1_000), "a");
  registry.record_send("a", 1);
  assert_eq!(chosen(&registry, criteria(), 1_000), "b");
  assert_eq!(chosen(&registry, criteria(), 1_400), "a");
}

/// A figure of 0 would attract all requests, and a huge one would exclude the endpoint whatever the others have to do.
#[rstest]
#[case::zero(0, 1, 2)]
#[case::huge(u32::MAX, 9, 10)]
fn absurd_slowdown_is_bounded(
  #[case] percent: u32,
  #[case] requests_preferred: u32,
  #[case] requests_avoided: u32,
) {
  // The reporting endpoint and its peer, by which of them the figure prefers.
  let (preferred, avoided) = if percent == 0 { ("a", "b") } else { ("b", "a") };
  for (requests, expected) in [
    (requests_preferred - 1, preferred),
    (requests_avoided, avoided),
  ] {
    let mut registry = registry(&["a", "b"]);
    registry.record_slowdown(&entry("a", "north", None), percent, 0);
    for _ in 0..requests {
      registry.record_send(preferred, 1);
    }
    assert_eq!(
      chosen(&registry, criteria(), 0),
      expected,
      "{requests} requests"
    );
  }
}

/// A response of a former incarnation says nothing about the machine of the present one.
#[test]
fn slowdown_of_a_former_incarnation_is_ignored() {
  let started = |started_ms| EndpointEntry {
    started_ms: Some(started_ms),
    ..entry("a", "north", None)
  };
  let mut registry = registry(&["b"]);
  registry.put(started(2));
  registry.record_send("b", 1);
  registry.record_slowdown(&started(1), 900, 0);
  assert!(!registry.reports_slowdown("portal", 0));
  assert_eq!(chosen(&registry, criteria(), 0), "a");
  registry.record_slowdown(&started(2), 900, 0);
  assert_eq!(chosen(&registry, criteria(), 0), "b");
}

#[test]
fn service_reports_slowdowns_for_a_minute_after_the_last_report() {
  let mut registry = registry(&["a"]);
  assert!(!registry.reports_slowdown("portal", 0));
  registry.record_slowdown(&entry("a", "north", None), 100, 1_000);
  assert!(registry.reports_slowdown("portal", 60_999));
  assert!(!registry.reports_slowdown("other", 1_000));
  assert!(!registry.reports_slowdown("portal", 61_000));
}
