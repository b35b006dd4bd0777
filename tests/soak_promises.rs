//! The soak's checks: each finds its promise broken in planted records, and nothing in sound ones.

use {
  rstest::rstest,
  soak::{
    AdvertisedLimit, CallerKey, Disturbance, Hall, HallDrain, LeavingReceived, LimitReceived,
    Outcome, PlannedStop, Probe, Promise, Records, Rejection, RequestKind, RequestRecord,
    RoleCommandRecord, Run, Start, Target, breaches,
  },
};

const SLACK_MS: u64 = 500;

fn run(place: usize, began_ms: u64, ended_ms: Option<u64>) -> Run {
  Run {
    began_ms,
    ended_ms,
    incarnation: format!("i-{place}"),
    organisation: "captions".into(),
    place,
  }
}

fn whole(status: u16, receipt: Option<&str>, body: &str) -> Outcome {
  Outcome::Complete {
    body: body.into(),
    receipt: receipt.map(String::from),
    status,
  }
}

fn served(body: &str) -> Outcome {
  whole(200, Some("i-0"), body)
}

fn request(kind: RequestKind, outcome: Outcome, runs: Vec<Run>) -> RequestRecord {
  RequestRecord {
    box_index: 0,
    ended_ms: Some(20_000),
    key: CallerKey::Captions,
    kind,
    outcome: Some(outcome),
    runs,
    sent_ms: 10_000,
  }
}

/// Records of one request with the id "a".
fn one(kind: RequestKind, outcome: Outcome, runs: Vec<Run>) -> Records {
  let mut records = Records::default();
  records.versions.insert(1, 0);
  records
    .requests
    .insert("a".into(), request(kind, outcome, runs));
  records
}

/// The whole answer to the request "a".
fn plain_body() -> String {
  "answer to a\n".repeat(8)
}

/// The events of the stream "a" from one to another.
fn events(first: u64, last: u64) -> String {
  (first..=last)
    .map(|number| format!("id: {number}\ndata: a part {number}\n\n"))
    .collect()
}

/// The stream "a" has so many events: 4, and its letter's code modulo 24.
const EVENTS: u64 = 4 + 97 % 24;

fn found(records: &Records) -> Vec<Promise> {
  let mut found: Vec<Promise> = breaches(records, SLACK_MS)
    .into_iter()
    .map(|breach| breach.promise)
    .collect();
  found.dedup();
  found
}

#[rstest]
#[case::plain(RequestKind::NonRetryable, served(&plain_body()), vec![run(0, 10_010, Some(10_020))])]
#[case::stream(RequestKind::Stream, served(&events(1, EVENTS)), vec![run(0, 10_010, Some(10_900))])]
#[case::repeated(
  RequestKind::ResumableStream,
  served(&events(1, EVENTS)),
  vec![run(0, 10_010, Some(10_100)), run(1, 10_200, Some(10_900))]
)]
#[case::not_run(RequestKind::NonRetryable, whole(503, None, ""), vec![])]
#[case::lost(RequestKind::NonRetryable, whole(502, None, ""), vec![run(0, 10_010, Some(10_020))])]
#[case::cut_stream_that_shows(
  RequestKind::Stream,
  Outcome::ConnectionLost { body: events(1, 3), status: Some(200) },
  vec![run(0, 10_010, Some(10_100))]
)]
#[case::caller_who_left(RequestKind::Stream, Outcome::Disconnected, vec![run(0, 10_010, Some(20_900))])]
fn sound_requests_break_nothing(
  #[case] kind: RequestKind,
  #[case] outcome: Outcome,
  #[case] runs: Vec<Run>,
) {
  assert_eq!(found(&one(kind, outcome, runs)), []);
}

#[rstest]
#[case::run_twice(
  RequestKind::NonRetryable,
  served(&plain_body()),
  vec![run(0, 10_010, Some(10_020)), run(1, 10_030, Some(10_040))],
  Promise::RunsOnce
)]
#[case::told_not_run(RequestKind::Stream, whole(503, None, ""), vec![run(0, 10_010, None)], Promise::NotRunIsTrue)]
#[case::foreign_receipt(
  RequestKind::Retryable,
  whole(200, Some("i-9"), &plain_body()),
  vec![run(0, 10_010, Some(10_020))],
  Promise::OwnCompleteResponse
)]
#[case::no_receipt(
  RequestKind::Retryable,
  whole(200, None, &plain_body()),
  vec![run(0, 10_010, Some(10_020))],
  Promise::OwnCompleteResponse
)]
#[case::missing_event(
  RequestKind::Stream,
  served(&[events(1, 2), events(4, EVENTS)].concat()),
  vec![run(0, 10_010, Some(10_900))],
  Promise::OwnCompleteResponse
)]
#[case::event_twice(
  RequestKind::ResumableStream,
  served(&[events(1, 5), events(5, EVENTS)].concat()),
  vec![run(0, 10_010, Some(10_900))],
  Promise::OwnCompleteResponse
)]
#[case::cut_that_looks_whole(
  RequestKind::Stream,
  served(&events(1, 3)),
  vec![run(0, 10_010, Some(10_100))],
  Promise::OwnCompleteResponse
)]
#[case::too_many_endpoints(
  RequestKind::Retryable,
  served(&plain_body()),
  (0..4).map(|place| run(place, 10_010, Some(10_020))).collect(),
  Promise::AttemptLimit
)]
#[case::one_endpoint_too_many(
  RequestKind::Retryable,
  served(&plain_body()),
  (0..3).map(|place| run(place, 10_010, Some(10_020))).collect(),
  Promise::AttemptLimit
)]
#[case::never_ended(RequestKind::Retryable, Outcome::Unanswered, vec![], Promise::DeadlineKept)]
#[case::at_work_for_nobody(
  RequestKind::Stream,
  Outcome::Disconnected,
  vec![run(0, 10_010, Some(21_100))],
  Promise::StopsAfterDisconnect
)]
fn broken_requests_are_found(
  #[case] kind: RequestKind,
  #[case] outcome: Outcome,
  #[case] runs: Vec<Run>,
  #[case] promise: Promise,
) {
  assert_eq!(found(&one(kind, outcome, runs)), [promise]);
}

#[rstest]
#[case::its_box(Target::Box(0), true)]
#[case::another_box(Target::Box(1), false)]
#[case::its_endpoint(Target::Endpoint(0), true)]
#[case::another_endpoint(Target::Endpoint(1), false)]
fn bounds_on_time_hold_for_the_undisturbed(#[case] target: Target, #[case] excused: bool) {
  let mut records = one(
    RequestKind::Stream,
    Outcome::Disconnected,
    vec![run(0, 10_010, Some(22_000))],
  );
  records.disturbances.push(Disturbance {
    from_ms: 9_000,
    target,
    until_ms: Some(9_500),
  });
  assert_eq!(found(&records).is_empty(), excused);
}

#[rstest]
#[case::in_time(12_400, vec![])]
#[case::late(12_600, vec![Promise::Drained])]
fn leaving_endpoints_get_nothing_new(#[case] began_ms: u64, #[case] promises: Vec<Promise>) {
  let mut records = one(
    RequestKind::Stream,
    served(&events(1, EVENTS)),
    vec![run(0, began_ms, Some(13_000))],
  );
  records.leaving.insert("i-0".into(), 10_000);
  assert_eq!(found(&records), promises);
}

fn probe(version: u64, sent_ms: u64, in_force: Option<bool>) -> Probe {
  Probe {
    box_index: 0,
    in_force,
    process_number: 1,
    sent_ms,
    version,
  }
}

#[rstest]
#[case::in_force(vec![probe(5, 11_000, Some(true))], vec![])]
#[case::not_yet(vec![probe(5, 12_400, Some(false))], vec![])]
#[case::too_late(vec![probe(5, 12_600, Some(false))], vec![Promise::ConfigurationInTime])]
#[case::no_answer(vec![probe(5, 12_600, None)], vec![])]
#[case::gone_back(
  vec![probe(5, 11_000, Some(true)), probe(5, 11_500, Some(false))],
  vec![Promise::ConfigurationMonotonic]
)]
fn configurations_come_in_time_and_stay(
  #[case] probes: Vec<Probe>,
  #[case] promises: Vec<Promise>,
) {
  let mut records = Records::default();
  records.versions.insert(5, 10_000);
  records.probes = probes;
  assert_eq!(found(&records), promises);
}

#[rstest]
#[case::read_and_cut(vec![run(0, 10_010, Some(20_000))], None, vec![Promise::GracefulStop])]
#[case::its_endpoint_crashed(vec![run(0, 10_010, Some(20_000))], Some(Target::Endpoint(0)), vec![])]
#[case::another_endpoint_crashed(
  vec![run(0, 10_010, Some(20_000))],
  Some(Target::Endpoint(1)),
  vec![Promise::GracefulStop]
)]
#[case::told_to_stop_again(
  vec![run(0, 10_010, Some(20_000))],
  Some(Target::Leaving(0)),
  vec![Promise::GracefulStop]
)]
fn planned_stops_cut_nothing(
  #[case] runs: Vec<Run>,
  #[case] disturbed: Option<Target>,
  #[case] promises: Vec<Promise>,
) {
  let cut = Outcome::ConnectionLost {
    body: String::new(),
    status: None,
  };
  let mut records = one(RequestKind::Stream, cut, runs);
  records.stops.push(PlannedStop {
    box_index: 0,
    gone_ms: 20_000,
    is_clean: true,
    signalled_ms: 15_000,
  });
  records
    .disturbances
    .extend(disturbed.map(|target| Disturbance {
      from_ms: 16_000,
      target,
      until_ms: Some(17_000),
    }));
  assert_eq!(found(&records), promises);
}

#[rstest]
#[case::one_after_the_other(&[("north", 3), ("south", 5)], vec![])]
#[case::passed(&[("south", 5), ("north", 3)], vec![Promise::SingleRoleLeader])]
#[case::shared_fence(&[("north", 3), ("south", 3)], vec![Promise::SingleRoleLeader])]
fn orders_of_two_boxes_never_pass(
  #[case] role_commands: &[(&str, u64)],
  #[case] promises: Vec<Promise>,
) {
  let mut records = Records::default();
  records.role_commands.extend(
    role_commands
      .iter()
      .map(|(holder, fence)| RoleCommandRecord {
        fence: *fence,
        holder: (*holder).into(),
        incarnation: "i-0".into(),
      }),
  );
  assert_eq!(found(&records), promises);
}

/// The third engine ended at 10 s; contact and slack make 13.5 s.
#[rstest]
#[case::three_more(&[9_000, 14_000, 15_000, 16_000], None, vec![])]
#[case::four_more(&[14_000, 15_000, 16_000, 17_000], None, vec![Promise::QuarantineHonoured])]
#[case::four_while_the_store_was_away(&[14_000, 15_000, 16_000, 17_000], Some(Target::Store), vec![])]
#[case::four_right_after_the_third(&[10_100, 11_000, 12_000, 13_000], None, vec![])]
fn crashing_request_that_is_sent_on_is_found(
  #[case] began_ms: &[u64],
  #[case] disturbed: Option<Target>,
  #[case] promises: Vec<Promise>,
) {
  let mut records = Records::default();
  records.versions.insert(1, 0);
  records.crashes = vec![8_000, 9_000, 10_000];
  for (number, began_ms) in began_ms.iter().enumerate() {
    let runs = vec![run(0, *began_ms, Some(began_ms + 40))];
    let broken = Outcome::ConnectionLost {
      body: String::new(),
      status: Some(200),
    };
    let request = request(RequestKind::CrashingStream, broken, runs);
    records.requests.insert(format!("c-{number}"), request);
  }
  records
    .disturbances
    .extend(disturbed.map(|target| Disturbance {
      from_ms: 11_000,
      target,
      until_ms: Some(18_000),
    }));
  assert_eq!(found(&records), promises);
}

#[test]
fn what_is_held_and_what_is_not_served_at_the_end_is_found() {
  let mut records = one(RequestKind::Retryable, whole(503, None, ""), vec![]);
  records.faults_ended_ms = Some(1_000);
  records.held_at_end.push("slot h1 at i-0".into());
  assert_eq!(
    found(&records),
    [Promise::ResourcesReleased, Promise::Recovered]
  );
  records.unrequested_runs.push("b at i-0".into());
  assert!(found(&records).contains(&Promise::OnlyRequestedWork));
}

#[rstest]
#[case::left_alone(None, vec![Promise::GracefulStop])]
#[case::killed_meanwhile(Some(Target::Box(0)), vec![])]
fn box_that_does_not_stop_by_itself_is_found(
  #[case] disturbed: Option<Target>,
  #[case] promises: Vec<Promise>,
) {
  let mut records = Records::default();
  records.stops.push(PlannedStop {
    box_index: 0,
    gone_ms: 20_000,
    is_clean: false,
    signalled_ms: 15_000,
  });
  records
    .disturbances
    .extend(disturbed.map(|target| Disturbance {
      from_ms: 16_000,
      target,
      until_ms: Some(17_000),
    }));
  assert_eq!(found(&records), promises);
}

#[test]
fn request_that_is_still_open_at_the_end_is_found() {
  let mut records = one(RequestKind::Retryable, Outcome::Unanswered, vec![]);
  let request = records.requests.get_mut("a").unwrap();
  request.ended_ms = None;
  request.outcome = None;
  assert_eq!(found(&records), [Promise::DeadlineKept]);
}

#[test]
fn calm_without_a_request_shows_nothing() {
  let records = Records {
    faults_ended_ms: Some(1_000),
    ..Records::default()
  };
  assert_eq!(found(&records), [Promise::Recovered]);
}

/// A request with a key that ran once, in the name of an organisation.
fn keyed(key: CallerKey, organisation: &str, sent_ms: u64) -> Records {
  let runs = vec![Run {
    organisation: organisation.into(),
    ..run(0, sent_ms + 10, Some(sent_ms + 20))
  }];
  let mut records = one(RequestKind::NonRetryable, served(&plain_body()), runs);
  if let Some(request) = records.requests.get_mut("a") {
    request.key = key;
    request.sent_ms = sent_ms;
  }
  records.versions = [(1, 0), (2, 5_000), (3, 8_000), (4, 20_000)].into();
  records
}

#[rstest]
#[case::lasting(CallerKey::Lectures, "lectures", 10_000)]
#[case::passed_before(CallerKey::Transferred, "captions", 10_000)]
#[case::passed_after(CallerKey::Transferred, "lectures", 10_000)]
#[case::taken_just_now(CallerKey::ForVersion(1), "captions", 8_100)]
fn sound_keys_break_nothing(
  #[case] key: CallerKey,
  #[case] organisation: &str,
  #[case] sent_ms: u64,
) {
  assert_eq!(found(&keyed(key, organisation, sent_ms)), []);
}

#[rstest]
#[case::other_holder(CallerKey::Lectures, "captions", 10_000, Promise::OrganisationNamed)]
#[case::claimed(CallerKey::Lectures, "claimed", 10_000, Promise::OrganisationNamed)]
#[case::nobody(CallerKey::Captions, "", 10_000, Promise::OrganisationNamed)]
#[case::taken_long_ago(CallerKey::ForVersion(1), "captions", 11_000, Promise::KeysHonoured)]
fn wrong_holder_or_lost_key_is_found(
  #[case] key: CallerKey,
  #[case] organisation: &str,
  #[case] sent_ms: u64,
  #[case] promise: Promise,
) {
  assert_eq!(found(&keyed(key, organisation, sent_ms)), [promise]);
}

#[test]
fn taken_key_is_no_breach_at_a_box_that_was_cut_off() {
  let mut records = keyed(CallerKey::ForVersion(1), "captions", 11_000);
  records.disturbances.push(Disturbance {
    from_ms: 7_000,
    target: Target::StoreLink(0),
    until_ms: Some(9_000),
  });
  assert_eq!(found(&records), []);
}

#[test]
fn held_key_that_is_refused_is_found() {
  let records = one(RequestKind::NonRetryable, whole(401, None, ""), vec![]);
  assert_eq!(found(&records), [Promise::KeysHonoured]);
  let mut lost = records;
  lost.requests.get_mut("a").unwrap().key = CallerKey::ForVersion(1);
  assert_eq!(found(&lost), []);
}

#[test]
fn key_that_an_endpoint_saw_is_found() {
  let mut records = Records::default();
  records.leaked_keys.push("a at i-0".into());
  assert_eq!(found(&records), [Promise::KeysHonoured]);
}

/// So many requests of the hot organisation, all run within 8 s.
fn hot_requests(count: u64) -> Records {
  let mut records = Records::default();
  records.versions.insert(2, 0);
  for number in 0..count {
    let began_ms = 10_000 + number * 8_000 / count;
    let mut hot = request(RequestKind::NonRetryable, Outcome::Disconnected, vec![]);
    hot.key = CallerKey::Hot;
    hot.runs = vec![Run {
      organisation: "hot".into(),
      ..run(0, began_ms, Some(began_ms + 10))
    }];
    records.requests.insert(format!("h{number}"), hot);
  }
  records
}

#[test]
fn use_beyond_the_limit_is_found() {
  assert_eq!(found(&hot_requests(150)), []);
  assert_eq!(found(&hot_requests(170)), [Promise::QuotaLimitHonoured]);
}

/// A request that was sent at 10 s and ran at an endpoint which had told its box at a time that it leaves.
fn sent_after_word(told_ms: u64) -> Records {
  let run = run(0, 10_050, Some(10_100));
  let mut records = one(RequestKind::NonRetryable, served(&plain_body()), vec![run]);
  records.leaving_received.push(LeavingReceived {
    at_ms: told_ms,
    box_index: 0,
    incarnation: "i-0".into(),
  });
  records
}

#[test]
fn request_to_an_endpoint_that_had_told_its_box_that_it_leaves_is_found() {
  assert_eq!(found(&sent_after_word(8_000)), []);
  let late = sent_after_word(7_000);
  assert_eq!(found(&late), [Promise::LeavingSignalHonoured]);
  let mut of_another_box = late.clone();
  of_another_box.leaving_received[0].box_index = 1;
  assert_eq!(found(&of_another_box), []);
  let mut started_again = late.clone();
  started_again.starts.push(Start {
    at_ms: 9_000,
    incarnation: "i-0".into(),
  });
  assert_eq!(found(&started_again), []);
  let mut stood_still = late;
  stood_still.disturbances.push(Disturbance {
    from_ms: 8_000,
    target: Target::Box(0),
    until_ms: Some(9_000),
  });
  assert_eq!(found(&stood_still), []);
}

/// So many requests that an endpoint turned away, one each 100 ms from 10 s on, the first of them with a pause of 3 s.
fn rejections(count: u64) -> Records {
  let mut records = Records::default();
  records.versions.insert(1, 0);
  for number in 0..count {
    let id = format!("t{number}");
    let sent = request(RequestKind::NonRetryable, whole(503, None, ""), vec![]);
    records.requests.insert(id.clone(), sent);
    records.rejections.push(Rejection {
      at_ms: 10_000 + number * 100,
      id,
      incarnation: "i-0".into(),
      retry_after_ms: if number == 0 { 3_000 } else { 0 },
    });
  }
  records
}

#[test]
fn requests_in_a_pause_are_found() {
  // Those within a second are on their way, with the slack of these checks.
  assert_eq!(found(&rejections(12)), []);
  let three = rejections(13);
  assert_eq!(found(&three), [Promise::BackoffHonoured]);
  let mut of_another_box = three.clone();
  of_another_box.requests.get_mut("t12").unwrap().box_index = 1;
  assert_eq!(found(&of_another_box), []);
  let mut with_run = rejections(12);
  let run = run(0, 11_500, Some(11_550));
  let served = request(RequestKind::NonRetryable, Outcome::Disconnected, vec![run]);
  with_run.requests.insert("r".into(), served);
  assert_eq!(found(&with_run), [Promise::BackoffHonoured]);
}

/// An endpoint that named a limit of 2 a second at 10 s, and got a request each `pause_ms` from then on, by two boxes in turn.
fn requests_at_limited(pause_ms: u64) -> Records {
  let mut records = Records::default();
  records.versions.insert(1, 0);
  records.advertised_limits.push(AdvertisedLimit {
    from_ms: 10_000,
    incarnation: "i-0".into(),
    per_s: 2,
    until_ms: Some(25_000),
  });
  for box_index in 0..2 {
    records.limits_received.push(LimitReceived {
      at_ms: 10_100,
      box_index,
      incarnation: "i-0".into(),
    });
  }
  for number in 0..15_000 / pause_ms {
    let began_ms = 10_000 + number * pause_ms;
    let run = run(0, began_ms, Some(began_ms + 5));
    let mut sent = request(RequestKind::NonRetryable, Outcome::Disconnected, vec![run]);
    sent.box_index = usize::from(number.is_multiple_of(2));
    sent.sent_ms = began_ms;
    sent.ended_ms = Some(began_ms + 10);
    records.requests.insert(format!("l{number}"), sent);
  }
  records
}

#[test]
fn sum_over_boxes_beyond_an_endpoints_limit_is_found() {
  assert_eq!(found(&requests_at_limited(240)), []);
  let beyond = requests_at_limited(220);
  assert_eq!(found(&beyond), [Promise::EndpointLimitHonoured]);
  let mut one_was_not_told = beyond.clone();
  one_was_not_told.limits_received.pop();
  assert_eq!(found(&one_was_not_told), []);
  let mut one_stood_still = beyond.clone();
  one_stood_still.disturbances.push(Disturbance {
    from_ms: 12_000,
    target: Target::Box(0),
    until_ms: Some(12_500),
  });
  assert_eq!(found(&one_stood_still), []);
  let mut ended = beyond;
  ended.advertised_limits[0].until_ms = Some(15_000);
  assert_eq!(found(&ended), []);
}

/// A request that began at a place at a time, while the hall of the even places was drained from 1,000 ms on.
fn run_while_drained(place: usize, began_ms: u64) -> Records {
  let run = run(place, began_ms, Some(began_ms + 5));
  let mut records = one(RequestKind::NonRetryable, Outcome::Disconnected, vec![run]);
  records.hall_drains.push(HallDrain {
    from_ms: 1_000,
    hall: Hall::North,
    until_ms: Some(18_000),
  });
  let request = records.requests.get_mut("a").unwrap();
  request.sent_ms = began_ms;
  request.ended_ms = Some(began_ms + 10);
  records
}

#[test]
fn run_in_a_hall_that_was_drained_long_before_is_found() {
  let late = run_while_drained(0, 7_000);
  assert_eq!(found(&late), [Promise::HallDrained]);
  assert_eq!(found(&run_while_drained(1, 7_000)), []);
  assert_eq!(found(&run_while_drained(0, 5_500)), []);
  assert_eq!(found(&run_while_drained(0, 18_500)), []);
  let mut out_of_reach = late;
  out_of_reach.disturbances.push(Disturbance {
    from_ms: 2_000,
    target: Target::StoreLink(0),
    until_ms: Some(2_500),
  });
  assert_eq!(found(&out_of_reach), []);
}

/// Requests that began one after the other, with pauses, at an endpoint that started at 1,000 ms.
fn requests_after_start(pause_ms: u64) -> Records {
  let mut records = Records::default();
  records.versions.insert(1, 0);
  records.starts.push(Start {
    at_ms: 1_000,
    incarnation: "i-0".into(),
  });
  for number in 0..3_000 / pause_ms {
    let began_ms = 1_000 + number * pause_ms;
    let run = run(0, began_ms, Some(began_ms + 5));
    let mut sent = request(RequestKind::NonRetryable, Outcome::Disconnected, vec![run]);
    sent.box_index = usize::from(number.is_multiple_of(2));
    sent.sent_ms = began_ms;
    sent.ended_ms = Some(began_ms + 10);
    records.requests.insert(format!("c{number}"), sent);
  }
  records
}

#[test]
fn sum_over_boxes_beyond_what_a_cold_endpoint_carries_is_found() {
  assert_eq!(found(&requests_after_start(95)), []);
  let beyond = requests_after_start(80);
  assert_eq!(found(&beyond), [Promise::ColdRateHonoured]);
  let mut under_its_id = beyond.clone();
  under_its_id.starts.push(Start {
    at_ms: 500,
    incarnation: "i-0".into(),
  });
  assert_eq!(found(&under_its_id), []);
  let mut one_was_out_of_reach = beyond;
  one_was_out_of_reach.disturbances.push(Disturbance {
    from_ms: 500,
    target: Target::StoreLink(0),
    until_ms: Some(900),
  });
  assert_eq!(found(&one_was_out_of_reach), []);
}
