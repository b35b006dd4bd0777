//! What a box makes of endpoints' word on themselves: by life, for how long, and against what the store says.

use {
  emulator::notices::{NoticeFleet, NoticePattern, NoticeWay, replay_notices},
  http::{HeaderMap, HeaderValue},
  rillford::{
    gateway::{
      AllowedHalls, Availability, EndpointCounts, EndpointCriteria, EndpointEntry, EndpointNotice,
      EndpointRegistry, Unavailable,
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
  }
}

fn pause(pause_ms: u64) -> EndpointNotice {
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

fn book(ids: &[&str]) -> EndpointRegistry {
  let mut book = EndpointRegistry::default();
  for id in ids {
    book.put(entry(id, Some(1)));
  }
  book
}

fn chosen(book: &EndpointRegistry, now_ms: u64) -> Option<String> {
  let wanted = EndpointCriteria {
    allowed_halls: &AllowedHalls::Any,
    hall: "north",
    is_retryable: false,
    role: None,
    service: "portal",
    size: 1,
    tried: &[],
  };
  let choice = book.choose(wanted, now_ms, || 0.5)?;
  Some(choice.entry.id.to_string())
}

#[test]
fn pause_ends_when_it_was_wanted_to_and_the_longest_counts() {
  let mut book = book(&["a"]);
  let a = entry("a", Some(1));
  book.record_notice(&a, &pause(3_000), 1_000);
  book.record_notice(&a, &pause(500), 1_100);
  assert_eq!(chosen(&book, 3_999), None);
  let unavailable = Unavailable::BackingOff {
    requested_ago_ms: 2_999,
    remaining_ms: 1,
  };
  assert_eq!(book.check(&a, 3_999), Err(unavailable));
  assert_eq!(chosen(&book, 4_000), Some("a".into()));
}

#[test]
fn first_request_after_a_pause_goes_alone_until_it_is_taken() {
  let mut book = book(&["a", "b"]);
  let a = entry("a", Some(1));
  book.record_notice(&a, &pause(1_000), 0);
  // The other one is busy: whatever may goes to the first.
  for _ in 0..9 {
    book.record_send("b", 1);
  }
  assert_eq!(chosen(&book, 999), Some("b".into()));
  assert_eq!(chosen(&book, 1_000), Some("a".into()));
  assert_eq!(book.record_probe("a", 1_000), Some(0));
  assert_eq!(chosen(&book, 1_010), Some("b".into()));
  // Nothing came back: another may try.
  assert_eq!(chosen(&book, 1_600), Some("a".into()));
  book.record_accepted("a", 1_700);
  assert_eq!(book.availability(&a, 1_700), Availability::Available);
}

#[test]
fn pause_of_hours_ends_after_five_minutes() {
  let mut book = book(&["a"]);
  book.record_notice(&entry("a", Some(1)), &pause(36_000_000), 0);
  assert_eq!(chosen(&book, 299_999), None);
  assert_eq!(chosen(&book, 300_000), Some("a".into()));
}

#[test]
fn word_of_leaving_outlasts_entries_that_go_come_back_and_say_ready() {
  let mut book = book(&["a"]);
  let a = entry("a", Some(1));
  assert!(book.record_notice(&a, &leaving(), 1_000).starts_leaving);
  assert!(!book.record_notice(&a, &leaving(), 1_500).starts_leaving);
  book.put(a.clone());
  assert_eq!(chosen(&book, 2_000), None);
  book.remove("a");
  book.put(a.clone());
  assert_eq!(chosen(&book, 2_000), None);
  book.mark_lapsed("a", 2_500);
  book.put(a.clone());
  assert_eq!(chosen(&book, 2_600), None);
  assert!(book.current_entries(2_600)[0].leaving);
  let counts = EndpointCounts {
    drained: 0,
    known: 1,
    leaving: 1,
    limited: 0,
    backing_off: 0,
  };
  assert_eq!(book.count(Some("portal"), 2_600), counts);
}

#[test]
fn later_life_starts_clean_and_an_earlier_ones_word_changes_nothing() {
  let mut book = book(&["a"]);
  book.record_notice(&entry("a", Some(1)), &leaving(), 1_000);
  book.put(entry("a", Some(2)));
  assert_eq!(chosen(&book, 1_100), Some("a".into()));
  book.record_notice(&entry("a", Some(1)), &leaving(), 1_200);
  book.record_notice(&entry("a", Some(1)), &pause(5_000), 1_200);
  assert_eq!(chosen(&book, 1_300), Some("a".into()));
  // Without a start it is one life.
  book.put(entry("b", None));
  book.record_notice(&entry("b", None), &leaving(), 1_400);
  book.put(entry("b", None));
  assert!(book.check(&entry("b", None), 1_500).is_err());
}

/// Whether an endpoint that said at 10 s that it leaves is taken back.
#[rstest]
#[case::store_not_heard(None, 40_000, false)]
#[case::store_back_just_now(Some(30_000), 40_000, false)]
#[case::heard_for_too_short(Some(1_000), 24_000, false)]
#[case::heard_and_ready(Some(1_000), 26_000, true)]
#[case::heard_since_and_ready(Some(20_000), 36_000, true)]
#[case::ten_minutes_without_the_store(None, 611_000, true)]
fn mistaken_word_of_leaving_holds_until_the_store_has_said_otherwise_for_long(
  #[case] store_since_ms: Option<u64>,
  #[case] now_ms: u64,
  #[case] is_taken_back: bool,
) {
  let mut book = book(&["a"]);
  book.set_store_connected_since(store_since_ms);
  book.record_notice(&entry("a", Some(1)), &leaving(), 10_000);
  assert_eq!(
    book.expire_notices(now_ms).len(),
    usize::from(is_taken_back)
  );
  assert_eq!(chosen(&book, now_ms).is_some(), is_taken_back);
}

#[test]
fn entry_that_has_gone_or_leaves_contradicts_nothing() {
  let mut book = book(&["a", "b"]);
  book.set_store_connected_since(Some(0));
  for id in ["a", "b"] {
    book.record_notice(&entry(id, Some(1)), &leaving(), 0);
  }
  book.remove("a");
  book.put(EndpointEntry {
    leaving: true,
    ..entry("b", Some(1))
  });
  assert!(book.expire_notices(60_000).is_empty());
}

#[test]
fn callers_are_told_when_the_first_pause_ends() {
  let mut book = book(&["a", "b"]);
  book.record_notice(&entry("a", Some(1)), &pause(3_000), 0);
  assert_eq!(book.available_in_ms("portal", 500), None);
  book.record_notice(&entry("b", Some(1)), &pause(2_000), 0);
  assert_eq!(book.available_in_ms("portal", 500), Some(1_500));
  // All of them leave: nobody knows when another comes.
  for id in ["a", "b"] {
    book.record_notice(&entry(id, Some(1)), &leaving(), 600);
  }
  assert_eq!(book.available_in_ms("portal", 700), None);
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
fn wish_for_a_pause_is_read_or_told_to_be_unreadable(
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
fn date_is_read_by_the_senders_own_clock() {
  let mut headers = HeaderMap::new();
  let date = HeaderValue::from_static("Thu, 03 Dec 2026 04:00:10 GMT");
  headers.insert("retry-after", date);
  let sent = HeaderValue::from_static("Thu, 03 Dec 2026 04:00:03 GMT");
  headers.insert("date", sent);
  assert_eq!(retry_after_ms(&headers), Ok(Some(7_000)));
}

/// An endpoint of three turns all away for 9 s, twice; callers were refused while the others served.
#[rstest]
#[case(1)]
#[case(2)]
fn replay_of_an_endpoint_that_turns_all_away_serves_everybody_and_keeps_to_its_pauses(
  #[case] seed: u64,
) {
  let play = |way| replay_notices(NoticePattern::OneSheds, NoticeFleet::SMALL, way, seed);
  let (before, kept) = (play(NoticeWay::Off), play(NoticeWay::OwnBoxSpread));
  assert!(before.most_in_pause > 2 && before.served < before.callers);
  assert!(kept.most_in_pause <= 2 && kept.served == kept.callers);
  assert!(kept.repeats < before.repeats);
}

#[rstest]
#[case(1)]
#[case(2)]
fn replay_of_an_endpoint_that_leaves_unlisted_sends_nothing_late(#[case] seed: u64) {
  let play = |way| replay_notices(NoticePattern::OneLeaves, NoticeFleet::SMALL, way, seed);
  assert!(play(NoticeWay::Off).late_after_word > 0);
  assert_eq!(play(NoticeWay::OwnBoxSpread).late_after_word, 0);
}

/// All endpoints ask for the same pause; boxes that come back one after the other, in place of all at once, serve more.
#[test]
fn replay_of_many_boxes_that_pause_together_serves_more_with_turns() {
  let served = |way| -> u32 {
    let play = |seed| replay_notices(NoticePattern::AllShed, NoticeFleet::WIDE, way, seed).served;
    (1..=2).map(play).sum()
  };
  assert!(served(NoticeWay::OwnBoxSpread) > served(NoticeWay::OwnBox));
}
