//! Endpoints' notices: per incarnation, with expiry, and against what the store lists.

use {
  emulator::notices::{NoticeFleet, NoticePattern, NoticeWay, replay_notices},
  http::{HeaderMap, HeaderValue},
  rillford::{
    gateway::{
      AllowedHalls, Availability, EndpointCounts, EndpointCriteria, EndpointEntry, EndpointNotice,
      EndpointRegistry, SoftwareVersion, Unavailable,
    },
    retry_after_ms,
  },
  rstest::rstest,
};

fn entry(id: &str, started_ms: Option<u64>) -> EndpointEntry {
  EndpointEntry {
    address: "127.0.0.1:1".parse().unwrap(),
    started_ms,
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

fn backoff(pause_ms: u64) -> EndpointNotice {
  EndpointNotice {
    backoff_ms: Some(pause_ms),
    ..EndpointNotice::default()
  }
}

fn leaving() -> EndpointNotice {
  EndpointNotice {
    leaving: true,
    ..EndpointNotice::default()
  }
}

fn registry(ids: &[&str]) -> EndpointRegistry {
  let mut registry = EndpointRegistry::default();
  for id in ids {
    registry.put(entry(id, Some(1)));
  }
  registry
}

fn chosen(registry: &EndpointRegistry, now_ms: u64) -> Option<String> {
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
  let choice = registry.choose(criteria, now_ms, || 0.5)?;
  Some(choice.entry.id.to_string())
}

#[test]
fn backoff_ends_when_requested_and_the_longest_wins() {
  let mut registry = registry(&["a"]);
  let a = entry("a", Some(1));
  registry.record_notice(&a, &backoff(3_000), 1_000);
  registry.record_notice(&a, &backoff(500), 1_100);
  assert_eq!(chosen(&registry, 3_999), None);
  let unavailable = Unavailable::BackingOff {
    requested_ago_ms: 2_999,
    remaining_ms: 1,
  };
  assert_eq!(registry.check(&a, 3_999), Err(unavailable));
  assert_eq!(chosen(&registry, 4_000), Some("a".into()));
}

#[test]
fn first_request_after_a_backoff_is_a_single_probe_until_it_is_accepted() {
  let mut registry = registry(&["a", "b"]);
  let a = entry("a", Some(1));
  registry.record_notice(&a, &backoff(1_000), 0);
  // The other endpoint is busy, so the first is preferred while it is available.
  for _ in 0..9 {
    registry.record_send("b", 1);
  }
  assert_eq!(chosen(&registry, 999), Some("b".into()));
  assert_eq!(chosen(&registry, 1_000), Some("a".into()));
  assert_eq!(registry.record_probe("a", 1_000), Some(0));
  assert_eq!(chosen(&registry, 1_010), Some("b".into()));
  // The probe timed out: another may be sent.
  assert_eq!(chosen(&registry, 1_600), Some("a".into()));
  registry.record_accepted("a", 1_700);
  assert_eq!(registry.availability(&a, 1_700), Availability::Available);
}

#[test]
fn backoff_of_hours_ends_after_five_minutes() {
  let mut registry = registry(&["a"]);
  registry.record_notice(&entry("a", Some(1)), &backoff(36_000_000), 0);
  assert_eq!(chosen(&registry, 299_999), None);
  assert_eq!(chosen(&registry, 300_000), Some("a".into()));
}

#[test]
fn signal_of_leaving_outlives_entries_that_are_removed_and_listed_as_ready_again() {
  let mut registry = registry(&["a"]);
  let a = entry("a", Some(1));
  assert!(registry.record_notice(&a, &leaving(), 1_000).starts_leaving);
  assert!(!registry.record_notice(&a, &leaving(), 1_500).starts_leaving);
  registry.put(a.clone());
  assert_eq!(chosen(&registry, 2_000), None);
  registry.remove("a");
  registry.put(a.clone());
  assert_eq!(chosen(&registry, 2_000), None);
  registry.mark_lapsed("a", 2_500);
  registry.put(a.clone());
  assert_eq!(chosen(&registry, 2_600), None);
  assert!(registry.current_entries(2_600)[0].leaving);
  let counts = EndpointCounts {
    displaced: 0,
    drained: 0,
    known: 1,
    leaving: 1,
    limited: 0,
    backing_off: 0,
  };
  assert_eq!(registry.count(Some("portal"), 2_600), counts);
}

#[test]
fn signals_of_an_earlier_incarnation_are_ignored() {
  let mut registry = registry(&["a"]);
  registry.record_notice(&entry("a", Some(1)), &leaving(), 1_000);
  registry.put(entry("a", Some(2)));
  assert_eq!(chosen(&registry, 1_100), Some("a".into()));
  registry.record_notice(&entry("a", Some(1)), &leaving(), 1_200);
  registry.record_notice(&entry("a", Some(1)), &backoff(5_000), 1_200);
  assert_eq!(chosen(&registry, 1_300), Some("a".into()));
  // Without a start time all incarnations are the same.
  registry.put(entry("b", None));
  registry.record_notice(&entry("b", None), &leaving(), 1_400);
  registry.put(entry("b", None));
  assert!(registry.check(&entry("b", None), 1_500).is_err());
}

/// Whether an endpoint that signalled at 10 s that it leaves is readmitted.
#[rstest]
#[case::no_contact_to_the_store(None, 40_000, false)]
#[case::contact_restored_recently(Some(30_000), 40_000, false)]
#[case::contact_too_short(Some(1_000), 24_000, false)]
#[case::contact_and_listed_as_ready(Some(1_000), 26_000, true)]
#[case::later_contact_and_listed_as_ready(Some(20_000), 36_000, true)]
#[case::ten_minutes_without_contact(None, 611_000, true)]
fn mistaken_signal_of_leaving_holds_until_the_store_contradicts_it_for_long(
  #[case] store_since_ms: Option<u64>,
  #[case] now_ms: u64,
  #[case] is_readmitted: bool,
) {
  let mut registry = registry(&["a"]);
  registry.set_store_connected_since(store_since_ms);
  registry.record_notice(&entry("a", Some(1)), &leaving(), 10_000);
  assert_eq!(
    registry.expire_notices(now_ms).len(),
    usize::from(is_readmitted)
  );
  assert_eq!(chosen(&registry, now_ms).is_some(), is_readmitted);
}

#[test]
fn removed_or_leaving_entry_does_not_contradict_the_signal() {
  let mut registry = registry(&["a", "b"]);
  registry.set_store_connected_since(Some(0));
  for id in ["a", "b"] {
    registry.record_notice(&entry(id, Some(1)), &leaving(), 0);
  }
  registry.remove("a");
  registry.put(EndpointEntry {
    leaving: true,
    ..entry("b", Some(1))
  });
  assert!(registry.expire_notices(60_000).is_empty());
}

#[test]
fn retry_after_is_the_end_of_the_first_backoff() {
  let mut registry = registry(&["a", "b"]);
  registry.record_notice(&entry("a", Some(1)), &backoff(3_000), 0);
  assert_eq!(registry.available_in_ms("portal", 500), None);
  registry.record_notice(&entry("b", Some(1)), &backoff(2_000), 0);
  assert_eq!(registry.available_in_ms("portal", 500), Some(1_500));
  // All of them leave: it is unknown when another joins.
  for id in ["a", "b"] {
    registry.record_notice(&entry(id, Some(1)), &leaving(), 600);
  }
  assert_eq!(registry.available_in_ms("portal", 700), None);
}

#[rstest]
#[case(&["0"], Some(0))]
#[case(&["3"], Some(3_000))]
#[case(&["0.25"], Some(250))]
#[case(&["1", "2"], Some(2_000))]
#[case(&["soon", "2"], Some(2_000))]
#[case(&["-1"], None)]
#[case(&["soon"], None)]
#[case(&["NaN"], None)]
#[case(&["1e999"], None)]
#[case(&[""], None)]
fn retry_after_header_is_parsed_or_rejected(
  #[case] values: &[&'static str],
  #[case] expected_ms: Option<u64>,
) {
  let mut headers = HeaderMap::new();
  for value in values {
    headers.append("retry-after", HeaderValue::from_static(value));
  }
  assert_eq!(retry_after_ms(&headers).ok().flatten(), expected_ms);
  assert_eq!(retry_after_ms(&headers).is_err(), expected_ms.is_none());
}

#[test]
fn retry_after_date_is_relative_to_the_senders_date() {
  let mut headers = HeaderMap::new();
  let date = HeaderValue::from_static("Thu, 03 Dec 2026 04:00:10 GMT");
  headers.insert("retry-after", date);
  let sent = HeaderValue::from_static("Thu, 03 Dec 2026 04:00:03 GMT");
  headers.insert("date", sent);
  assert_eq!(retry_after_ms(&headers), Ok(Some(7_000)));
}

/// One endpoint of three rejects everything for 9 s, twice; callers were rejected while the others served.
#[rstest]
#[case(1)]
#[case(2)]
fn replay_of_an_endpoint_that_sheds_load_serves_all_callers_and_keeps_its_backoffs(
  #[case] seed: u64,
) {
  let replay =
    |strategy| replay_notices(NoticePattern::OneSheds, NoticeFleet::SMALL, strategy, seed);
  let (ignored, honoured) = (replay(NoticeWay::Off), replay(NoticeWay::OwnBoxSpread));
  assert!(ignored.most_in_pause > 2 && ignored.served < ignored.callers);
  assert!(honoured.most_in_pause <= 2 && honoured.served == honoured.callers);
  assert!(honoured.repeats < ignored.repeats);
}

#[rstest]
#[case(1)]
#[case(2)]
fn replay_of_an_endpoint_that_leaves_unlisted_gets_nothing_late(#[case] seed: u64) {
  let replay =
    |strategy| replay_notices(NoticePattern::OneLeaves, NoticeFleet::SMALL, strategy, seed);
  assert!(replay(NoticeWay::Off).late_after_word > 0);
  assert_eq!(replay(NoticeWay::OwnBoxSpread).late_after_word, 0);
}

/// All endpoints ask for the same backoff; with jitter more callers are served than when all boxes return at once.
#[test]
fn replay_of_many_boxes_that_back_off_together_serves_more_with_jitter() {
  let served = |strategy| -> u32 {
    let replay =
      |seed| replay_notices(NoticePattern::AllShed, NoticeFleet::WIDE, strategy, seed).served;
    (1..=2).map(replay).sum()
  };
  assert!(served(NoticeWay::OwnBoxSpread) > served(NoticeWay::OwnBox));
}
