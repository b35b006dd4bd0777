//! The soak's judge of streams: it finds each clause of the rules in prepared bytes, and judges the borderline answers as
//! docs/design/soak.md says.

use {
  judge::{Clause, RawConnection, RawRecords, RawRequest, RawRun, ReadEnd, judge},
  rstest::rstest,
  std::ops::RangeInclusive,
};

/// Pieces of a whole stream.
const LAST: u64 = 4;

fn piece(run: &str, number: u64) -> String {
  format!("id: {number}\ndata: part {number} by {run}\n\n")
}

fn pieces(run: &str, numbers: RangeInclusive<u64>) -> String {
  numbers.map(|number| piece(run, number)).collect()
}

/// A run of the engine with this name, which makes all pieces after an event.
fn run(request: &str, engine: &str, last_event_id: Option<u64>) -> RawRun {
  let numbers = last_event_id.unwrap_or_default() + 1..=LAST;
  RawRun {
    incarnation: engine.into(),
    last_event_id,
    last_piece: LAST,
    pieces: numbers
      .map(|number| (number, piece(engine, number).into_bytes()))
      .collect(),
    request: request.into(),
    version: "v1".into(),
  }
}

fn request(id: &str, last_event_id: Option<u64>) -> RawRequest {
  RawRequest {
    id: id.into(),
    last_event_id,
    may_resume: true,
    stream: Some("a".into()),
  }
}

fn head(engine: &str, framing: &str) -> String {
  format!("HTTP/1.1 200 OK\r\nx-response-seal: {engine}\r\n{framing}\r\n")
}

/// An answer in one chunk.
fn chunked(engine: &str, body: &str) -> String {
  unfinished(engine, body) + "0\r\n\r\n"
}

fn unfinished(engine: &str, body: &str) -> String {
  let head = head(engine, "transfer-encoding: chunked\r\n");
  match body.len() {
    0 => head,
    length => format!("{head}{length:x}\r\n{body}\r\n"),
  }
}

fn unframed(engine: &str, body: &str) -> String {
  head(engine, "") + body
}

fn connection(bytes: impl Into<Vec<u8>>, end: ReadEnd, request: usize) -> RawConnection {
  RawConnection {
    bytes: bytes.into(),
    end,
    requests: vec![request],
  }
}

/// One request with these runs, which reads this.
fn single(runs: Vec<RawRun>, bytes: impl Into<Vec<u8>>, end: ReadEnd) -> RawRecords {
  RawRecords {
    connections: vec![connection(bytes, end, 0)],
    requests: vec![request("a", None)],
    runs,
  }
}

/// A stream that is cut after an event, and a second request after that event.
fn resumed(after: u64, run: RawRun, bytes: impl Into<Vec<u8>>) -> RawRecords {
  let begun = unfinished("i-0", &pieces("i-0", 1..=after));
  let mut records = single(
    vec![self::run("a", "i-0", None), run],
    begun,
    ReadEnd::Reset,
  );
  records.requests.push(request("b", Some(after)));
  records
    .connections
    .push(connection(bytes, ReadEnd::Closed, 1));
  records
}

fn clauses(records: &RawRecords) -> Vec<Clause> {
  let findings = judge(records);
  let mut clauses: Vec<Clause> = findings.iter().map(|finding| finding.clause).collect();
  clauses.dedup();
  clauses
}

/// Guards against a breach in an answer that the judge does not see.
#[rstest]
#[case::first_piece(pieces("i-0", 2..=LAST), &[Clause::Absent])]
#[case::piece_within(piece("i-0", 1) + pieces("i-0", 3..=LAST).as_str(), &[Clause::Absent])]
#[case::last_piece(pieces("i-0", 1..=3), &[Clause::EndsEarly])]
#[case::no_piece(String::new(), &[Clause::EndsEarly])]
#[case::part_of_the_last_piece(pieces("i-0", 1..=3) + "id: 4\nda", &[Clause::EndsEarly])]
#[case::twice(pieces("i-0", 1..=2) + pieces("i-0", 2..=LAST).as_str(), &[Clause::Twice])]
#[case::turned_round(piece("i-0", 2) + piece("i-0", 1).as_str() + pieces("i-0", 3..=LAST).as_str(), &[Clause::Absent])]
#[case::changed_data(pieces("i-0", 1..=2) + "id: 3\ndata: part 3 by i-1\n\n" + piece("i-0", 4).as_str(), &[Clause::ForeignBytes, Clause::Absent])]
#[case::changed_id(pieces("i-0", 1..=2) + "id: 9\ndata: part 3 by i-0\n\n" + piece("i-0", 4).as_str(), &[Clause::ForeignBytes, Clause::Absent])]
#[case::lost_line_end(pieces("i-0", 1..=2) + piece("i-0", 3).trim_end() + "\n" + piece("i-0", 4).as_str(), &[Clause::ForeignBytes, Clause::EndsEarly])]
#[case::noise_between(pieces("i-0", 1..=2) + "\u{16}\u{3}\r\n\r\n" + pieces("i-0", 3..=LAST).as_str(), &[Clause::ForeignBytes])]
#[case::noise_behind(pieces("i-0", 1..=LAST) + "\u{16}\u{3}\r\n\r\n", &[Clause::ForeignBytes])]
fn breach_in_an_answer_is_found(#[case] body: String, #[case] expected: &[Clause]) {
  let records = single(
    vec![run("a", "i-0", None)],
    chunked("i-0", &body),
    ReadEnd::Open,
  );
  assert_eq!(clauses(&records), expected);
}

/// Guards against joined runs that the judge does not see, and against resumptions that it takes for joined.
#[rstest]
#[case::goes_on(Some(2), pieces("i-0", 1..=2) + pieces("i-1", 3..=LAST).as_str(), true, &[])]
#[case::repeats_events_that_its_box_drops(Some(1), pieces("i-0", 1..=2) + pieces("i-1", 3..=LAST).as_str(), true, &[])]
#[case::repeats_events(Some(1), pieces("i-0", 1..=2) + pieces("i-1", 2..=LAST).as_str(), true, &[Clause::Twice])]
#[case::continues_later(Some(3), pieces("i-0", 1..=2) + piece("i-1", 4).as_str(), true, &[Clause::Absent, Clause::Joined])]
#[case::may_not_be_resumed(Some(2), pieces("i-0", 1..=2) + pieces("i-1", 3..=LAST).as_str(), false, &[Clause::Joined])]
#[case::goes_back_to_the_first(Some(2), pieces("i-0", 1..=2) + piece("i-1", 3).as_str() + piece("i-0", 4).as_str(), true, &[Clause::Joined])]
fn joined_runs_are_found(
  #[case] last_event_id: Option<u64>,
  #[case] body: String,
  #[case] may_resume: bool,
  #[case] expected: &[Clause],
) {
  let runs = vec![run("a", "i-0", None), run("a", "i-1", last_event_id)];
  let mut records = single(runs, chunked("i-0", &body), ReadEnd::Open);
  records.requests[0].may_resume = may_resume;
  let mut found = clauses(&records);
  found.sort();
  assert_eq!(found, expected);
}

/// Guards against an answer of another request's run, and a head that is not that of a run of the request.
#[rstest]
#[case::events(chunked("i-0", &pieces("i-1", 1..=LAST)), &[Clause::Joined])]
#[case::receipt(chunked("i-1", &pieces("i-0", 1..=LAST)), &[Clause::ForeignHead])]
#[case::no_receipt(chunked("i-0", &pieces("i-0", 1..=LAST)).replace("x-response-seal", "x-other"), &[Clause::ForeignHead])]
#[case::request_id(chunked("i-0", &pieces("i-0", 1..=LAST)).replace("x-response-seal", "x-request-id: b\r\nx-response-seal"), &[Clause::ForeignHead])]
#[case::second_answer(chunked("i-0", &pieces("i-0", 1..=LAST)).repeat(2), &[Clause::NoAnswer])]
#[case::no_answer("\u{16}\u{3} no response\r\n\r\n".into(), &[Clause::NoAnswer])]
fn answer_of_another_request_is_found(#[case] bytes: String, #[case] expected: &[Clause]) {
  let runs = vec![run("a", "i-0", None), run("other", "i-1", None)];
  assert_eq!(clauses(&single(runs, bytes, ReadEnd::Open)), expected);
}

/// Guards against ends that are taken for complete, or for incomplete, against the rules' words.
#[rstest]
#[case::unframed_whole(unframed("i-0", &pieces("i-0", 1..=LAST)), ReadEnd::Closed, &[])]
#[case::unframed_early(unframed("i-0", &pieces("i-0", 1..=3)), ReadEnd::Closed, &[Clause::EndsEarly])]
#[case::unframed_early_old_protocol(unframed("i-0", &pieces("i-0", 1..=3)).replace("1.1", "1.0"), ReadEnd::Closed, &[Clause::EndsEarly])]
#[case::unframed_reset(unframed("i-0", &pieces("i-0", 1..=3)), ReadEnd::Reset, &[])]
#[case::unframed_within_an_event(unframed("i-0", &(pieces("i-0", 1..=3) + "id: 4\n")), ReadEnd::Closed, &[])]
#[case::unframed_caller_left(unframed("i-0", &pieces("i-0", 1..=3)), ReadEnd::Open, &[])]
#[case::chunks_caller_left(unfinished("i-0", &pieces("i-0", 1..=3)), ReadEnd::Open, &[])]
#[case::chunks_closed(unfinished("i-0", &pieces("i-0", 1..=3)), ReadEnd::Closed, &[])]
#[case::within_the_head("HTTP/1.1 200 OK\r\nx-resp".into(), ReadEnd::Closed, &[])]
#[case::rejected("HTTP/1.1 503 Service Unavailable\r\ncontent-length: 0\r\n\r\n".into(), ReadEnd::Open, &[])]
#[case::length_early(head("i-0", "content-length: 0\r\n"), ReadEnd::Open, &[Clause::EndsEarly])]
#[case::length_closed_within(head("i-0", "content-length: 999\r\n") + pieces("i-0", 1..=3).as_str(), ReadEnd::Closed, &[])]
fn ends_are_judged_by_framing(
  #[case] bytes: String,
  #[case] end: ReadEnd,
  #[case] expected: &[Clause],
) {
  let records = single(vec![run("a", "i-0", None)], bytes, end);
  assert_eq!(clauses(&records), expected);
}

/// Guards against requests of one stream that are judged apart from each other.
#[rstest]
#[case::goes_on(3, Some(3), piece("i-1", 4), &[])]
#[case::skips(2, Some(2), piece("i-1", 4), &[Clause::Absent])]
#[case::repeats(2, Some(1), pieces("i-1", 2..=LAST), &[Clause::Twice])]
#[case::empty_rest_of_a_whole_stream(LAST, Some(LAST), String::new(), &[])]
#[case::empty_rest_of_another(3, Some(3), String::new(), &[Clause::EndsEarly])]
fn requests_of_a_stream_are_judged_together(
  #[case] after: u64,
  #[case] given: Option<u64>,
  #[case] body: String,
  #[case] expected: &[Clause],
) {
  let records = resumed(after, run("b", "i-1", given), chunked("i-1", &body));
  assert_eq!(clauses(&records), expected);
}

/// Guards against an event that the third request of a stream lacks, or brings again.
#[rstest]
#[case::whole(4, &[])]
#[case::twice(3, &[Clause::Twice])]
fn third_request_of_a_stream_is_judged(#[case] from: u64, #[case] expected: &[Clause]) {
  let second = unfinished("i-1", &pieces("i-1", 2..=3));
  let mut records = resumed(1, run("b", "i-1", Some(1)), second);
  records.requests.push(request("c", Some(3)));
  records.runs.push(run("c", "i-2", Some(from - 1)));
  let third = chunked("i-2", &pieces("i-2", from..=LAST));
  records
    .connections
    .push(connection(third, ReadEnd::Open, 2));
  assert_eq!(clauses(&records), expected);
}

/// Guards against events that count as repeated although their caller had left before it read them, and asks for them.
#[test]
fn events_after_the_one_that_a_caller_names_do_not_arrive_twice() {
  let mut records = resumed(
    3,
    run("b", "i-1", Some(1)),
    chunked("i-1", &pieces("i-1", 2..=LAST)),
  );
  records.requests[1].last_event_id = Some(1);
  assert_eq!(clauses(&records), []);
}

/// Guards against streams of two versions that the judge does not see, in one answer or over requests.
#[test]
fn streams_of_two_versions_are_found() {
  let mut later = run("b", "i-1", Some(2));
  later.version = "v2".into();
  let over_requests = resumed(2, later.clone(), chunked("i-1", &pieces("i-1", 3..=LAST)));
  assert_eq!(clauses(&over_requests), [Clause::TwoVersions]);
  later.request = "a".into();
  let body = pieces("i-0", 1..=2) + pieces("i-1", 3..=LAST).as_str();
  let runs = vec![run("a", "i-0", None), later];
  let in_one_answer = single(runs, chunked("i-0", &body), ReadEnd::Open);
  assert_eq!(clauses(&in_one_answer), [Clause::TwoVersions]);
}

/// Guards against an answer that is taken for that of another request on its connection.
#[test]
fn answers_on_one_connection_belong_to_its_requests_in_order() {
  let plain = "HTTP/1.1 200 OK\r\ncontent-length: 2\r\n\r\nok";
  let stream = chunked("i-0", &pieces("i-0", 1..=LAST));
  let mut records = single(
    vec![run("a", "i-0", None)],
    plain.to_owned() + stream.as_str(),
    ReadEnd::Open,
  );
  records.requests.insert(
    0,
    RawRequest {
      stream: None,
      ..request("p", None)
    },
  );
  records.connections[0].requests = vec![0, 1];
  assert_eq!(clauses(&records), []);
}
