//! Garbled answers of the soak's endpoints: the bytes that they send, and that the checks find what a caller gets of them.

use {
  rand::SeedableRng,
  rand_chacha::ChaCha8Rng,
  rstest::rstest,
  soak::{
    Call, CallerKey, EarlyEnds, Fault, FaultSelection, Framing, Garble, GarbledAnswer, Outcome,
    Promise, Records, RequestKind, RequestRecord, Run, Size, breaches, serve_garbled,
  },
  std::time::Duration,
  tokio::{
    io::{AsyncReadExt, AsyncWriteExt},
    net::{TcpListener, TcpStream},
    time::timeout,
  },
};

const PATIENCE: Duration = Duration::from_secs(20);
/// Two requests; the endpoint closes the connection after the second one.
const REQUESTS: &[u8] =
  b"GET / HTTP/1.1\r\nhost: a\r\n\r\nGET / HTTP/1.1\r\nhost: a\r\nconnection: close\r\n\r\n";
const STREAM: &[&str] = &["data: one\n\n", "data: two\n\n", "data: three\n\n"];
/// Its halves are garbled one by one.
const BODY: &[&str] = &["data: onedata: two"];
/// What is looked for in the bytes.
const MARKS: [(&str, &str); 6] = [
  ("HTTP/1.", "H"),
  ("no response", "-"),
  ("data: one", "1"),
  ("data: two", "2"),
  ("data: three", "3"),
  ("\"hold\":\"stray\"", "S"),
];

/// What an endpoint sends to two requests.
async fn sent_text(answer: GarbledAnswer, parts: &'static [&'static str]) -> String {
  let listener = TcpListener::bind("127.0.0.1:0").await.unwrap();
  let address = listener.local_addr().unwrap();
  let mut caller = TcpStream::connect(address).await.unwrap();
  let (stream, _) = timeout(PATIENCE, listener.accept()).await.unwrap().unwrap();
  let endpoint = tokio::spawn(serve_garbled(stream, answer, parts));
  caller.write_all(REQUESTS).await.unwrap();
  timeout(PATIENCE, endpoint).await.unwrap().unwrap();
  let mut bytes = Vec::new();
  let mut piece = [0; 4096];
  // Unread requests make the end of the connection a reset.
  while let Ok(Ok(count @ 1..)) = timeout(PATIENCE, caller.read(&mut piece)).await {
    bytes.extend_from_slice(&piece[..count]);
  }
  String::from_utf8_lossy(&bytes).into_owned()
}

/// The marks in what an endpoint sends to two requests, in order.
async fn sent_marks(answer: GarbledAnswer, parts: &'static [&'static str]) -> String {
  let text = sent_text(answer, parts).await;
  let at = |(mark, name): (&'static str, &'static str)| {
    text.match_indices(mark).map(move |(at, _)| (at, name))
  };
  let mut found: Vec<_> = MARKS.into_iter().flat_map(at).collect();
  found.sort_unstable();
  found.into_iter().map(|(_, name)| name).collect()
}

/// The bytes of a stream of three events that is garbled after the first, in chunks and up to the end of the connection, and of
/// another answer in two halves, with its length.
#[rstest]
#[case::cut_off(Garble::CutOff, "H1", "H1", "H1")]
#[case::cut_within(Garble::CutWithin, "", "H1", "")]
#[case::noise_instead(Garble::NoiseInstead, "-H", "-", "-H")]
#[case::noise_before(Garble::NoiseBefore, "-H123H", "-H123", "-H12H")]
#[case::noise_within(Garble::NoiseWithin, "H1-23H", "H1-23", "H1-2H")]
#[case::noise_in_body(Garble::NoiseInBody, "H1-23H", "", "")]
#[case::noise_behind(Garble::NoiseBehind, "H123-H", "H123-", "H12-H")]
#[case::second_at_once(Garble::SecondAtOnce, "H123HSH", "H123HS", "H12HSH")]
#[case::second_late(Garble::SecondLate, "H123HSH", "H123HS", "H12HSH")]
#[case::event_twice(Garble::EventTwice, "H1123H", "H1123", "")]
#[case::event_left_out(Garble::EventLeftOut, "H13H", "H13", "")]
#[tokio::test]
async fn garbled_answers_are_sent(
  #[case] garble: Garble,
  #[case] chunks: &str,
  #[case] connection_end: &str,
  #[case] length: &str,
) {
  let cells = [
    (Call::Stream, Framing::Chunks, STREAM, chunks),
    (Call::Stream, Framing::ConnectionEnd, STREAM, connection_end),
    (Call::Report, Framing::Length, BODY, length),
  ];
  for (call, framing, parts, marks) in cells {
    let answer = GarbledAnswer {
      call,
      framing,
      garble,
    };
    assert_eq!(answer.is_playable(), !marks.is_empty(), "{answer}");
    if answer.is_playable() {
      assert_eq!(sent_marks(answer, parts).await, marks, "{answer}");
    }
  }
}

/// Draws of answers to streams, of each framing.
fn drawn_for_streams(ends: EarlyEnds) -> Vec<GarbledAnswer> {
  let draw = |seed| {
    let mut random = ChaCha8Rng::seed_from_u64(seed);
    let framings = [Framing::Chunks, Framing::Length, Framing::ConnectionEnd];
    framings.map(|framing| GarbledAnswer::draw(Call::Stream, framing, ends, &mut random))
  };
  (0..1_000).flat_map(draw).collect()
}

/// Whether a stream without framing ends between two events before its last one.
async fn ends_between_events(answer: GarbledAnswer) -> bool {
  let text = sent_text(answer, STREAM).await;
  let head = text.split_once("HTTP/1.").map(|(_, head)| head);
  let Some((_, body)) = head.and_then(|head| head.split_once("\r\n\r\n")) else {
    return false;
  };
  let ends = |count: usize| body == STREAM[..count].concat();
  answer.framing == Framing::ConnectionEnd && (0..STREAM.len()).any(ends)
}

#[tokio::test]
async fn no_stream_of_an_engine_that_runs_on_ends_between_two_events() {
  let drawn = drawn_for_streams(EarlyEnds::WithinEvents);
  for garble in Garble::ALL {
    let of_garble =
      |answer: &&GarbledAnswer| answer.garble == garble && answer.framing == Framing::ConnectionEnd;
    if let Some(answer) = drawn.iter().find(of_garble) {
      assert!(!ends_between_events(*answer).await, "{answer}");
    }
  }
  assert!(drawn.iter().any(|it| it.garble == Garble::CutWithin));
  assert!(drawn.iter().any(|it| it.garble == Garble::CutOff));
}

/// The former way, which keeps the other draws of a seed.
#[tokio::test]
async fn streams_end_between_two_events_where_they_are_to() {
  let within = drawn_for_streams(EarlyEnds::WithinEvents);
  let between = drawn_for_streams(EarlyEnds::BetweenEvents);
  let mut differing = 0;
  for (within, between) in within.into_iter().zip(between) {
    if within != between {
      differing += 1;
      assert_eq!(within.to_string(), "Stream/ConnectionEnd/CutWithin");
      assert_eq!(between.to_string(), "Stream/ConnectionEnd/CutOff");
      assert!(ends_between_events(between).await);
    }
  }
  assert!(differing > 0);
}

#[test]
fn end_within_an_event_can_be_told() {
  let answer = GarbledAnswer {
    call: Call::Stream,
    framing: Framing::ConnectionEnd,
    garble: Garble::CutWithin,
  };
  let body = events(1, 4);
  let cut = &body[..body.len() - 9];
  let found = breaches(&records_of(RequestKind::Stream, answer, cut), 0);
  let end = found
    .iter()
    .find(|breach| breach.promise == Promise::EndIsComplete);
  let observed = &end.unwrap().observed;
  assert!(!observed.contains("can't be told"), "{observed}");
}

/// Number of events of the stream "a": 4 plus the code of its letter modulo 24.
const EVENTS: u64 = 4 + 97 % 24;
const NOISE: &str = "\u{16}\u{3}\u{1} no response\r\n\r\n";
const SECOND: &str = "HTTP/1.1 200 OK\r\ncontent-length: 19\r\n\r\nid: 1\ndata: stray\n\n";

/// The events `first` to `last` of the stream "a".
fn events(first: u64, last: u64) -> String {
  (first..=last)
    .map(|number| format!("id: {number}\ndata: a part {number}\n\n"))
    .collect()
}

/// Records of a request whose answer was garbled, with what its caller received as a whole answer.
fn records_of(kind: RequestKind, answer: GarbledAnswer, body: &str) -> Records {
  let mut records = Records::default();
  records.versions.insert(1, 0);
  let run = Run {
    began_ms: 10_010,
    box_index: 0,
    ended_ms: Some(10_900),
    first_event_ms: None,
    incarnation: "i-0".into(),
    organisation: "captions".into(),
    place: 0,
  };
  let outcome = Outcome::Complete {
    body: body.into(),
    receipt: Some("i-0".into()),
    status: 200,
  };
  let request = RequestRecord {
    box_index: 0,
    ended_ms: Some(20_000),
    key: CallerKey::Captions,
    kind,
    outcome: Some(outcome),
    resumes: None,
    runs: vec![run],
    sent_ms: 10_000,
  };
  records.requests.insert("a".into(), request);
  records.garbled.insert("a".into(), vec![answer]);
  records
}

#[rstest]
#[case::cut_off(Garble::CutOff, &[events(1, 3)], vec![Promise::EndIsComplete])]
#[case::noise_instead(Garble::NoiseInstead, &[NOISE.into()], vec![Promise::EndIsComplete])]
#[case::noise_before(Garble::NoiseBefore, &[NOISE.into(), events(1, EVENTS)], vec![])]
#[case::noise_within(Garble::NoiseWithin, &[events(1, 3), NOISE.into(), events(4, EVENTS)], vec![])]
#[case::noise_in_body(Garble::NoiseInBody, &[events(1, 3), NOISE.into(), events(4, EVENTS)], vec![])]
#[case::noise_behind(Garble::NoiseBehind, &[events(1, EVENTS), NOISE.into()], vec![])]
#[case::second_at_once(
  Garble::SecondAtOnce,
  &[events(1, EVENTS), SECOND.into()],
  vec![Promise::EndIsComplete, Promise::EachEventOnce, Promise::EventsInOrder]
)]
#[case::second_late(
  Garble::SecondLate,
  &[events(1, EVENTS), SECOND.into()],
  vec![Promise::EndIsComplete, Promise::EachEventOnce, Promise::EventsInOrder]
)]
#[case::event_twice(
  Garble::EventTwice,
  &[events(1, 3), events(3, EVENTS)],
  vec![Promise::EachEventOnce]
)]
#[case::event_left_out(
  Garble::EventLeftOut,
  &[events(1, 3), events(5, EVENTS)],
  vec![Promise::NoEventMissing]
)]
fn garbled_answers_that_reach_a_caller_are_found(
  #[case] garble: Garble,
  #[case] body: &[String],
  #[case] of_the_order: Vec<Promise>,
) {
  let answer = GarbledAnswer {
    call: Call::Stream,
    framing: Framing::Chunks,
    garble,
  };
  let records = records_of(RequestKind::Stream, answer, &body.concat());
  let found = breaches(&records, 0);
  let note = format!("[{answer}, may not be resumed]");
  let mut promises = vec![Promise::OwnCompleteResponse];
  promises.extend(of_the_order);
  let noted: Vec<_> = found
    .into_iter()
    .map(|breach| (breach.promise, breach.observed.contains(&note)))
    .collect();
  let expected: Vec<_> = promises
    .into_iter()
    .map(|promise| (promise, true))
    .collect();
  assert_eq!(noted, expected);
}

#[rstest]
#[case::not_resumable(RequestKind::Stream, Framing::ConnectionEnd, true)]
#[case::resumable(RequestKind::ResumableStream, Framing::ConnectionEnd, false)]
#[case::in_chunks(RequestKind::Stream, Framing::Chunks, false)]
fn early_end_that_can_not_be_told_counts_and_is_marked(
  #[case] kind: RequestKind,
  #[case] framing: Framing,
  #[case] is_marked: bool,
) {
  let answer = GarbledAnswer {
    call: Call::Stream,
    framing,
    garble: Garble::CutOff,
  };
  let found = breaches(&records_of(kind, answer, &events(1, 3)), 0);
  let end = found
    .iter()
    .find(|breach| breach.promise == Promise::EndIsComplete);
  let observed = &end.unwrap().observed;
  assert_eq!(observed.contains("can't be told"), is_marked, "{observed}");
}

#[test]
fn endpoints_garble_in_a_run_and_some_crash() {
  let size = Size {
    boxes: 4,
    faults_ms: 30_000,
    more_troubles: &[],
    places: 10,
  };
  let drawn = FaultSelection::GarbledAnswers.draw(7, size);
  assert_eq!(drawn, FaultSelection::GarbledAnswers.draw(7, size));
  let count = |is_kind: fn(&Fault) -> bool| drawn.iter().filter(|it| is_kind(&it.fault)).count();
  assert!(count(|fault| matches!(fault, Fault::AnswersGarbled { .. })) >= 4);
  assert!(count(|fault| matches!(fault, Fault::EnginesCrashed { .. })) >= 1);
}
