//! Places at prefill engines, as the coordinator of a group grants them: load patterns and failures, each with the module's
//! own accounting and without a network.

use {
  emulator::prefill::{PrefillPattern, PrefillStrategy, replay_prefills},
  proptest::{collection::vec, prelude::*, proptest},
  rillford::gateway::{
    BoxEntry, BoxList, EndpointIncarnation, Place, PlaceId, PlaceOutcome, PlaceRequest,
    PrefillGroup, PrefillOffer, PrefillQueue, ReportedEngineLoad, asks_other_halls,
    best_prefill_offer, extra_transfer_ms, prefill_shard, prefill_shard_count,
  },
  rstest::rstest,
  std::collections::HashSet,
};

/// The mean prompt.
const TOKENS: u64 = 5_200;
/// Time in which an engine of speed 1 prefills it.
const MEAN_MS: u64 = 95;

fn engines(count: usize) -> Vec<EndpointIncarnation> {
  (0..count)
    .map(|number| EndpointIncarnation::of(&format!("e-{number}"), Some(1)))
    .collect()
}

fn id(sequence: u64) -> PlaceId {
  PlaceId {
    box_incarnation: sequence % 87,
    sequence,
  }
}

fn request(sequence: u64) -> PlaceRequest<'static> {
  PlaceRequest {
    excluded: &[],
    id: id(sequence),
    prompt_tokens: TOKENS,
    target_left_ms: 900,
  }
}

fn completed(took_ms: u64) -> PlaceOutcome {
  PlaceOutcome::Completed {
    load: None,
    took_ms,
  }
}

fn completed_with(
  took_ms: u64,
  running: u32,
  waiting: u32,
  slowdown_percent: Option<u32>,
) -> PlaceOutcome {
  let load = Some(ReportedEngineLoad {
    running,
    slowdown_percent,
    waiting,
  });
  PlaceOutcome::Completed { load, took_ms }
}

/// A group whose engines take known times per mean prompt.
struct Group {
  queue: PrefillQueue,
  engines: Vec<EndpointIncarnation>,
  now_ms: u64,
  sequence: u64,
}

impl Group {
  /// Engines that have each finished `prompts` mean prompts, one after the other, in the time given for each engine.
  fn trained(mean_ms: &[u64], prompts: usize) -> Self {
    let mut group = Self {
      engines: engines(mean_ms.len()),
      now_ms: 1_000,
      queue: PrefillQueue::default(),
      sequence: 0,
    };
    for _ in 0..prompts {
      for (index, took_ms) in mean_ms.iter().enumerate() {
        let engine = group.engines[index];
        group.run_at(engine, TOKENS, completed(*took_ms), *took_ms);
      }
    }
    group
  }

  fn next(&mut self) -> PlaceRequest<'static> {
    self.sequence += 1;
    request(self.sequence)
  }

  fn place(&mut self) -> Option<Place> {
    let next = self.next();
    self.queue.place(&self.engines, next, self.now_ms)
  }

  /// Grants a place at one engine and reports its outcome after a time.
  fn run_at(&mut self, engine: EndpointIncarnation, tokens: u64, outcome: PlaceOutcome, ms: u64) {
    let next = PlaceRequest {
      prompt_tokens: tokens,
      ..self.next()
    };
    let place = self.queue.place(&[engine], next, self.now_ms);
    assert_eq!(place.map(|place| place.engine), Some(engine));
    self.now_ms += ms;
    self.queue.finish(next.id, outcome, self.now_ms);
  }

  fn places(&self) -> u32 {
    let queues = self.queue.engines(self.now_ms);
    queues.iter().map(|queue| queue.places).sum()
  }
}

/// Boxes that each know their own prompt only send them to the same engine while others are idle.
#[test]
fn prompts_of_many_boxes_at_once_start_at_idle_engines() {
  let mut group = Group::trained(&[MEAN_MS; 16], 1);
  let first: Vec<Place> = (0..16).filter_map(|_| group.place()).collect();
  let used: HashSet<_> = first.iter().map(|place| place.engine).collect();
  assert_eq!(used.len(), 16);
  assert!(
    first
      .iter()
      .all(|place| place.ahead == 0 && place.start_in_ms == 0)
  );
  let second = group.place().expect("place");
  assert_eq!((second.ahead, second.tokens_ahead), (1, TOKENS));
  assert!(second.start_in_ms > MEAN_MS / 2, "{second:?}");
}

/// Engines of uneven speed: a slow one that is idle finishes later than a fast one with a prompt ahead, and earlier than one
/// with two.
#[test]
fn fast_engine_gets_the_prompts_that_it_finishes_first() {
  let mut group = Group::trained(&[60, 160], 3);
  let (fast, slow) = (group.engines[0], group.engines[1]);
  let chosen: Vec<_> = (0..3).map(|_| group.place().expect("place")).collect();
  let chosen: Vec<_> = chosen.iter().map(|place| place.engine).collect();
  assert_eq!(chosen, [fast, fast, slow]);
}

/// Prompts of other sizes are forecast by their tokens: a queue of short prompts ends before a single long one.
#[test]
fn long_prompt_ahead_counts_by_its_tokens() {
  let mut group = Group::trained(&[MEAN_MS; 2], 3);
  let engines = group.engines.clone();
  let long = PlaceRequest {
    prompt_tokens: 11_000,
    ..group.next()
  };
  group.queue.place(&engines[..1], long, group.now_ms);
  for _ in 0..2 {
    let short = PlaceRequest {
      prompt_tokens: 1_000,
      ..group.next()
    };
    group.queue.place(&engines[1..], short, group.now_ms);
  }
  let place = group.place().expect("place");
  assert_eq!((place.engine, place.ahead), (engines[1], 2));
}

/// A machine that others use slows down for half a second, and is fast again afterwards.
#[test]
fn engine_on_a_slowed_machine_is_avoided_until_the_slowdown_has_decayed() {
  let mut group = Group::trained(&[80, 100], 4);
  let (usually_first, other) = (group.engines[0], group.engines[1]);
  group.run_at(
    usually_first,
    TOKENS,
    completed_with(200, 1, 0, Some(250)),
    200,
  );
  let place = group.place().expect("place");
  assert_eq!(place.engine, other);
  group
    .queue
    .finish(id(group.sequence), PlaceOutcome::Unused, group.now_ms);
  group.now_ms += 600;
  let place = group.place().expect("place");
  assert_eq!(place.engine, usually_first);
}

/// The duration under a slowdown is not taken for the engine's speed: else it would stay unused after the slowdown.
#[test]
fn slowdown_does_not_change_the_learnt_speed() {
  let mut group = Group::trained(&[100; 1], 4);
  let engine = group.engines[0];
  for _ in 0..20 {
    group.run_at(engine, TOKENS, completed_with(250, 1, 0, Some(250)), 250);
  }
  group.now_ms += 600;
  let place = group.place().expect("place");
  assert!((90..=130).contains(&place.end_in_ms), "{place:?}");
}

/// Machines that do not report a slowdown show it in the duration of a prompt.
#[test]
fn unreported_slowdown_is_seen_in_the_duration_and_decays() {
  let mut group = Group::trained(&[80, 100], 10);
  let (usually_first, other) = (group.engines[0], group.engines[1]);
  group.run_at(usually_first, TOKENS, completed(240), 240);
  assert_eq!(group.place().expect("place").engine, other);
  group
    .queue
    .finish(id(group.sequence), PlaceOutcome::Unused, group.now_ms);
  group.now_ms += 600;
  let place = group.place().expect("place");
  assert_eq!(place.engine, usually_first);
}

/// An engine that starts has no samples: without an assumption on it, it would get no prompt until all others queue.
#[test]
fn new_engine_gets_the_next_prompt_while_the_others_work() {
  let mut group = Group::trained(&[MEAN_MS; 4], 5);
  for _ in 0..4 {
    group.place();
  }
  let new = EndpointIncarnation::of("e-new", Some(1));
  group.engines.push(new);
  let place = group.place().expect("place");
  assert_eq!((place.engine, place.ahead), (new, 0));
}

/// An engine that was slow for some prompts is not left unused for ever.
#[test]
fn engine_that_was_slow_is_tried_again() {
  let mut group = Group::trained(&[80, 90], 5);
  let slow = group.engines[1];
  for _ in 0..10 {
    group.run_at(slow, TOKENS, completed(300), 300);
  }
  let fast = group.engines[0];
  let mut has_tried = false;
  for _ in 0..200 {
    group.place();
    let second = group.place().expect("place");
    has_tried |= second.engine == slow;
    for sequence in [group.sequence - 1, group.sequence] {
      group
        .queue
        .finish(id(sequence), PlaceOutcome::Unused, group.now_ms);
    }
    group.run_at(fast, TOKENS, completed(80), 200);
  }
  assert!(has_tried);
}

/// The fixed overhead of a prompt: without it, short prompts are forecast too early and long ones too late.
#[test]
fn fixed_overhead_is_learnt_from_prompts_of_different_length() {
  let mut group = Group::trained(&[], 0);
  group.engines = engines(1);
  let engine = group.engines[0];
  let duration_ms = |tokens: u64| 24 + tokens / 55;
  for number in 0..300 {
    let tokens = [300, 2_000, 5_200, 11_000][number % 4];
    let took_ms = duration_ms(tokens);
    group.run_at(engine, tokens, completed(took_ms), took_ms);
  }
  for tokens in [300, 5_200, 11_000] {
    let next = PlaceRequest {
      prompt_tokens: tokens,
      ..group.next()
    };
    let place = group.queue.place(&group.engines, next, group.now_ms);
    let place = place.expect("place");
    let expected_ms = duration_ms(tokens);
    assert!(place.end_in_ms.abs_diff(expected_ms) <= 3, "{place:?}");
    group
      .queue
      .finish(next.id, PlaceOutcome::Unused, group.now_ms);
  }
}

/// Boxes that found no coordinator send without a place; the engine's load shows their prompts.
#[test]
fn work_of_boxes_without_places_is_seen_in_the_reported_load() {
  let mut group = Group::trained(&[80, 100], 4);
  let (usually_first, other) = (group.engines[0], group.engines[1]);
  group.run_at(usually_first, TOKENS, completed_with(80, 1, 4, None), 80);
  assert_eq!(group.place().expect("place").engine, other);
  // The prompts that it reported are finished meanwhile.
  group
    .queue
    .finish(id(group.sequence), PlaceOutcome::Unused, group.now_ms);
  group.now_ms += 5 * 80;
  assert_eq!(group.place().expect("place").engine, usually_first);
}

/// A load that is reported in error, or was there for a moment, does not block an engine for minutes.
#[test]
fn engine_that_reported_a_huge_load_is_tried_again() {
  let mut group = Group::trained(&[100; 1], 4);
  let engine = group.engines[0];
  let report = completed_with(800, 100_000, 100_000, Some(100_000));
  group.run_at(engine, 1, report, 800);
  group.now_ms += 2_000;
  assert_eq!(group.place().expect("place").start_in_ms, 0);
}

/// The places of the group itself are part of the reported load, and not counted twice.
#[test]
fn known_places_in_the_reported_load_are_not_counted_twice() {
  let mut group = Group::trained(&[100; 1], 4);
  let first = group.next();
  group.queue.place(&group.engines, first, group.now_ms);
  for _ in 0..3 {
    group.place();
  }
  group.now_ms += 100;
  group
    .queue
    .finish(first.id, completed_with(100, 1, 3, None), group.now_ms);
  let queued_ms = group.queue.engines(group.now_ms)[0].queued_ms;
  assert!((280..=320).contains(&queued_ms), "{queued_ms}");
}

/// Report and request use different connections: a request that arrives after its report must not occupy the engine.
#[rstest]
#[case(PlaceOutcome::Unused)]
#[case(PlaceOutcome::Cancelled)]
#[case(PlaceOutcome::Lost)]
#[case(completed(70))]
fn report_that_overtakes_its_request_cancels_the_place(#[case] outcome: PlaceOutcome) {
  let mut group = Group::trained(&[MEAN_MS; 2], 1);
  let late = group.next();
  group.queue.finish(late.id, outcome, group.now_ms);
  assert_eq!(group.queue.place(&group.engines, late, group.now_ms), None);
  assert_eq!(group.places(), 0);
}

/// A repeated request must not reserve the engine twice.
#[test]
fn repeated_request_gets_the_place_that_it_has() {
  let mut group = Group::trained(&[MEAN_MS; 2], 1);
  let next = group.next();
  let first = group.queue.place(&group.engines, next, group.now_ms);
  let second = group.queue.place(&group.engines, next, group.now_ms);
  assert_eq!(first, second);
  assert_eq!(group.places(), 1);
}

/// A repeated report must not release the place of another request.
#[test]
fn repeated_report_counts_once() {
  let mut group = Group::trained(&[MEAN_MS; 1], 1);
  let first = group.next();
  group.queue.place(&group.engines, first, group.now_ms);
  group.place();
  for _ in 0..3 {
    group
      .queue
      .finish(first.id, PlaceOutcome::Cancelled, group.now_ms);
  }
  assert_eq!(group.places(), 1);
}

/// A box that terminates never reports: its places must not occupy engines for long.
#[test]
fn places_of_a_box_that_terminated_expire() {
  let mut group = Group::trained(&[MEAN_MS; 2], 1);
  for _ in 0..4 {
    group.place();
  }
  group.now_ms += 2_000;
  assert_eq!(group.queue.expire(group.now_ms), 4);
  assert_eq!(group.places(), 0);
  let place = group.place().expect("place");
  assert_eq!((place.ahead, place.start_in_ms), (0, 0));
}

/// A prompt that is late is not expired while its box still waits for it: the loss would go unnoticed.
#[test]
fn place_is_kept_until_its_box_gives_up() {
  let mut group = Group::trained(&[MEAN_MS; 1], 1);
  group.place();
  // The box's timeout for a mean prompt.
  group.now_ms += 900 + TOKENS / 20;
  assert_eq!(group.queue.expire(group.now_ms), 0);
}

/// A coordinator that was frozen reads seconds-old messages at once: they must not change what it knows of the engines.
#[test]
fn reports_from_before_a_freeze_do_not_falsify_speeds() {
  let mut group = Group::trained(&[MEAN_MS; 1], 5);
  let requests: Vec<_> = (0..5).map(|_| group.next()).collect();
  for one in &requests {
    group.queue.place(&group.engines, *one, group.now_ms);
  }
  // Shorter than the time after which the places expire.
  group.now_ms += 1_400;
  for (position, one) in requests.iter().enumerate() {
    let took_ms = MEAN_MS * (position as u64 + 1);
    let report = completed_with(took_ms, 9, 9, Some(800));
    group.queue.finish(one.id, report, group.now_ms);
  }
  let place = group.place().expect("place");
  assert_eq!(place.start_in_ms, 0);
  assert!(place.end_in_ms.abs_diff(MEAN_MS) <= 3, "{place:?}");
}

/// Reports that are sent in batches, so that several arrive at once, tell the durations all the same.
#[test]
fn batched_reports_tell_the_durations_of_queued_prompts() {
  let mut group = Group::trained(&[100; 1], 1);
  for _ in 0..10 {
    let requests: Vec<_> = (0..3).map(|_| group.next()).collect();
    for one in &requests {
      group.queue.place(&group.engines, *one, group.now_ms);
    }
    group.now_ms += 330;
    for (position, one) in requests.iter().enumerate() {
      let took_ms = 110 * (position as u64 + 1);
      group.queue.finish(one.id, completed(took_ms), group.now_ms);
    }
  }
  let place = group.place().expect("place");
  assert!((100..=112).contains(&place.end_in_ms), "{place:?}");
}

/// An engine that prefers urgent prompts finishes one before an earlier one: the earlier one's duration contains both.
#[test]
fn prompt_that_was_passed_does_not_falsify_the_speed() {
  let mut group = Group::trained(&[100; 1], 4);
  for _ in 0..10 {
    let (passed, urgent) = (group.next(), group.next());
    for one in [passed, urgent] {
      group.queue.place(&group.engines, one, group.now_ms);
    }
    group.now_ms += 100;
    group.queue.finish(urgent.id, completed(100), group.now_ms);
    group.now_ms += 100;
    group.queue.finish(passed.id, completed(200), group.now_ms);
  }
  let place = group.place().expect("place");
  assert!((95..=105).contains(&place.end_in_ms), "{place:?}");
}

/// An engine that crashed refuses prompts at once, and would otherwise look idle and attract all of them.
#[test]
fn engine_that_lost_a_prompt_is_avoided_and_then_probed_with_one() {
  let mut group = Group::trained(&[80, 100], 4);
  let (crashed, other) = (group.engines[0], group.engines[1]);
  let lost = group.next();
  group.queue.place(&[crashed], lost, group.now_ms);
  group.now_ms += 5;
  group
    .queue
    .finish(lost.id, PlaceOutcome::Lost, group.now_ms);
  for _ in 0..4 {
    assert_eq!(group.place().expect("place").engine, other);
  }
  group.now_ms += 700;
  let probe = group.place().expect("place");
  assert_eq!(probe.engine, crashed);
  let next = group.next();
  assert_eq!(group.queue.place(&[crashed], next, group.now_ms), None);
  // It still fails: it is avoided for longer.
  group
    .queue
    .finish(id(group.sequence - 1), PlaceOutcome::Lost, group.now_ms);
  group.now_ms += 1_000;
  assert_eq!(group.queue.place(&[crashed], next, group.now_ms), None);
  group.now_ms += 400;
  assert!(group.queue.place(&[crashed], next, group.now_ms).is_some());
  group.now_ms += 80;
  group.queue.finish(next.id, completed(80), group.now_ms);
  let next = [group.next(), group.next()];
  for one in next {
    assert!(group.queue.place(&[crashed], one, group.now_ms).is_some());
  }
}

/// One box that is cut off from an engine loses its prompts there: the engine still works for all others.
#[test]
fn engine_that_finishes_prompts_of_other_boxes_is_not_avoided() {
  let mut group = Group::trained(&[MEAN_MS; 1], 4);
  let cut_off = group.next();
  group.queue.place(&group.engines, cut_off, group.now_ms);
  group.now_ms += 10;
  let other = group.next();
  group.queue.place(&group.engines, other, group.now_ms);
  group.now_ms += MEAN_MS;
  group
    .queue
    .finish(other.id, completed(MEAN_MS), group.now_ms);
  group
    .queue
    .finish(cut_off.id, PlaceOutcome::Lost, group.now_ms);
  assert!(group.place().is_some());
}

/// An engine that hangs: the first prompt there is overdue, and further ones go elsewhere before any box gives up.
#[test]
fn engine_with_an_overdue_prompt_is_not_preferred() {
  let mut group = Group::trained(&[60, 160], 4);
  let (hung, other) = (group.engines[0], group.engines[1]);
  assert_eq!(group.place().expect("place").engine, hung);
  group.now_ms += 500;
  assert_eq!(group.place().expect("place").engine, other);
}

/// A prompt that a box never sent: the next one at the engine was worked on meanwhile.
#[test]
fn unused_place_at_the_head_does_not_delay_the_next() {
  let mut group = Group::trained(&[100; 1], 4);
  let unused = group.next();
  group.queue.place(&group.engines, unused, group.now_ms);
  group.place();
  group.now_ms += 60;
  group
    .queue
    .finish(unused.id, PlaceOutcome::Unused, group.now_ms);
  let queued_ms = group.queue.engines(group.now_ms)[0].queued_ms;
  assert!((30..=50).contains(&queued_ms), "{queued_ms}");
}

/// A box that tried an engine, or does not list it, gets another one, or none.
#[test]
fn excluded_engines_are_not_granted() {
  let mut group = Group::trained(&[80, 100], 2);
  let engines = group.engines.clone();
  let next = PlaceRequest {
    excluded: &engines[..1],
    ..group.next()
  };
  let place = group.queue.place(&engines, next, group.now_ms);
  assert_eq!(place.map(|place| place.engine), Some(engines[1]));
  let next = PlaceRequest {
    excluded: &engines,
    ..group.next()
  };
  assert_eq!(group.queue.place(&engines, next, group.now_ms), None);
}

/// Reports of places that another coordinator granted, for days: what is kept of them is bounded.
#[test]
fn memory_of_reports_and_engines_is_bounded() {
  let mut group = Group::trained(&[MEAN_MS; 4], 1);
  let first = group.next();
  group
    .queue
    .finish(first.id, PlaceOutcome::Unused, group.now_ms);
  for _ in 0..10_000 {
    let next = group.next();
    group
      .queue
      .finish(next.id, PlaceOutcome::Unused, group.now_ms);
  }
  // Forgotten, like all but the latest.
  assert!(
    group
      .queue
      .place(&group.engines, first, group.now_ms)
      .is_some()
  );
  group.now_ms += 60_000;
  group.queue.expire(group.now_ms);
  assert!(group.queue.engines(group.now_ms).is_empty());
}

/// The coordinator must not queue prompts without end while engines hang.
#[test]
fn engine_queue_is_bounded() {
  let mut group = Group::trained(&[MEAN_MS; 1], 1);
  let granted = (0..500).filter(|_| group.place().is_some()).count();
  assert!(granted < 100, "{granted}");
}

#[rstest]
#[case(0, 1)]
#[case(16, 1)]
#[case(17, 2)]
#[case(33, 4)]
#[case(520, 64)]
fn shards_have_at_most_16_engines_on_average(#[case] engines: usize, #[case] shards: u32) {
  assert_eq!(prefill_shard_count(engines), shards);
  assert!(engines <= shards as usize * 16);
  assert!((0..engines).all(|number| prefill_shard(&format!("e-{number}"), shards) < shards));
}

/// Boxes that see the number of engines at different times: half of the engines keep their shard when it doubles.
#[test]
fn engines_spread_over_shards_and_half_keep_theirs() {
  let ids: Vec<String> = (0..1_600).map(|number| format!("e-{number}")).collect();
  let in_first = ids.iter().filter(|id| prefill_shard(id, 16) == 0).count();
  assert!((60..=140).contains(&in_first), "{in_first}");
  let kept = ids
    .iter()
    .filter(|id| prefill_shard(id, 16) == prefill_shard(id, 32))
    .count();
  assert!((700..=900).contains(&kept), "{kept}");
}

fn box_list(boxes: usize) -> BoxList {
  let mut list = BoxList::default();
  for number in 0..boxes {
    let entry = BoxEntry {
      address: ([127, 0, 0, 1], 7_000 + number as u16).into(),
      hall: format!("hall-{}", number % 3).as_str().into(),
    };
    list.put(format!("box-{number}").as_str().into(), entry);
  }
  list
}

fn group(hall: &str, shard: u32) -> PrefillGroup {
  PrefillGroup {
    hall: hall.into(),
    service: "chat".into(),
    shard,
  }
}

/// A coordinator in another hall would be cut off from the engines together with that hall.
#[test]
fn coordinator_is_a_box_of_the_hall_or_none() {
  let boxes = box_list(9);
  for shard in 0..20 {
    let (name, _) = group("hall-1", shard)
      .coordinator(&boxes)
      .expect("coordinator");
    let hall = boxes.entries().find(|(other, _)| **other == name);
    assert_eq!(&*hall.expect("entry").1.hall, "hall-1");
  }
  assert_eq!(group("hall-9", 0).coordinator(&boxes), None);
}

/// When the coordinator terminates, the next one takes over its groups, and the other groups keep theirs.
#[test]
fn groups_of_a_terminated_coordinator_move_to_others() {
  let mut boxes = box_list(90);
  let before: Vec<_> = (0..50)
    .map(|shard| group("hall-0", shard).coordinator(&boxes))
    .collect();
  let gone = before[0].clone().expect("coordinator").0;
  boxes.remove(&gone);
  for (shard, before) in before.iter().enumerate() {
    let after = group("hall-0", shard as u32).coordinator(&boxes);
    if before.as_ref().is_some_and(|(name, _)| *name == gone) {
      assert!(after.is_some_and(|(name, _)| name != gone));
    } else {
      assert_eq!(after, *before);
    }
  }
}

fn place(start_in_ms: u64, end_in_ms: u64) -> Place {
  Place {
    ahead: 0,
    end_in_ms,
    engine: engines(1)[0],
    start_in_ms,
    tokens_ahead: 0,
  }
}

/// A hall that is hit by a burst queues while others are idle: they are asked as soon as they would be faster.
#[test]
fn other_halls_are_asked_when_an_idle_engine_there_would_be_faster() {
  let extra_ms = extra_transfer_ms(TOKENS, 35_136, 550_000);
  assert_eq!(extra_ms, 3);
  assert!(!asks_other_halls(Some(&place(0, 95)), extra_ms, 2));
  assert!(asks_other_halls(Some(&place(60, 155)), extra_ms, 2));
  // A transfer that takes longer than the queue.
  assert!(!asks_other_halls(Some(&place(60, 155)), 70, 2));
  assert!(asks_other_halls(None, extra_ms, 2));
  assert_eq!(extra_transfer_ms(TOKENS, 35_136, 0), 0);
}

/// Messages to other halls for a few milliseconds: at many boxes they are most of what a coordinator gets.
#[test]
fn other_halls_are_not_asked_for_a_small_gain() {
  assert!(!asks_other_halls(Some(&place(15, 110)), 3, 2));
}

/// The transfer between halls counts: an equal end in another hall is later for the caller.
#[test]
fn earliest_end_with_the_transfer_is_taken() {
  let offer = |end_in_ms, extra_transfer_ms| PrefillOffer {
    extra_transfer_ms,
    place: place(0, end_in_ms),
  };
  assert_eq!(
    best_prefill_offer(&[offer(100, 0), offer(98, 3), offer(99, 3)]),
    Some(0)
  );
  assert_eq!(
    best_prefill_offer(&[offer(100, 0), offer(90, 3), offer(80, 30)]),
    Some(1)
  );
}

/// 87 boxes with one prompt per second each, uneven engines, waves and bursts: slow prefills that start behind others while an
/// engine is idle are nearly all gone, and late streams are at most half of those of the choice without places.
#[rstest]
fn boxes_with_coordinators_do_not_queue_beside_idle_engines(
  #[values(
    PrefillPattern::Waves,
    PrefillPattern::Burst,
    PrefillPattern::BusyBurst
  )]
  pattern: PrefillPattern,
) {
  let run = |strategy| replay_prefills(pattern, 87, strategy, 1).0;
  let before = run(PrefillStrategy::Registry);
  let after = run(PrefillStrategy::Coordinators);
  assert!(before.behind_share() > 0.75, "{before:?}");
  assert!(after.behind_share() < 0.1, "{after:?}");
  assert!(
    2.0 * after.late_share() <= before.late_share(),
    "{after:?} {before:?}"
  );
}

/// A coordinator that terminates, freezes or is cut off from some boxes: no more late streams than without places.
#[rstest]
fn failing_coordinator_makes_no_more_streams_late(
  #[values(
    PrefillPattern::CoordinatorKilled,
    PrefillPattern::CoordinatorFrozen,
    PrefillPattern::CoordinatorCutOff
  )]
  pattern: PrefillPattern,
) {
  let run = |strategy| replay_prefills(pattern, 87, strategy, 1).0;
  let before = run(PrefillStrategy::Registry);
  let after = run(PrefillStrategy::Coordinators);
  assert!(
    after.late_share() <= before.late_share(),
    "{after:?} {before:?}"
  );
}

/// One message to a coordinator, or a time that passes.
#[derive(Clone, Debug)]
enum Step {
  Place {
    sequence: u64,
    tokens: u64,
  },
  Finish {
    sequence: u64,
    outcome: PlaceOutcome,
  },
  Wait {
    ms: u64,
  },
}

fn outcomes() -> impl Strategy<Value = PlaceOutcome> {
  let percent = prop_oneof![Just(None), (0_u32..100_000).prop_map(Some)];
  let load = (0_u32..200, 0_u32..200, percent).prop_map(|(running, waiting, slowdown_percent)| {
    ReportedEngineLoad {
      running,
      slowdown_percent,
      waiting,
    }
  });
  prop_oneof![
    (0_u64..3_000, proptest::option::of(load))
      .prop_map(|(took_ms, load)| PlaceOutcome::Completed { load, took_ms }),
    Just(PlaceOutcome::Unused),
    Just(PlaceOutcome::Lost),
    Just(PlaceOutcome::Cancelled),
  ]
}

fn steps() -> impl Strategy<Value = Vec<Step>> {
  // Few sequences, so that requests and reports are repeated and overtake each other.
  let step = prop_oneof![
    4 => (0_u64..40, 1_u64..11_000)
      .prop_map(|(sequence, tokens)| Step::Place { sequence, tokens }),
    3 => (0_u64..40, outcomes())
      .prop_map(|(sequence, outcome)| Step::Finish { sequence, outcome }),
    2 => (0_u64..800).prop_map(|ms| Step::Wait { ms }),
  ];
  vec(step, 1..150)
}

proptest! {
  /// In whatever order requests, repeated ones, reports and time arrive: a place is counted once and only until its report,
  /// no forecast is before now or without end, and all places are gone once they have expired.
  #[test]
  fn any_order_of_messages_keeps_the_account(steps in steps()) {
    let engines = engines(3);
    let mut queue = PrefillQueue::default();
    let mut now_ms = 1_000;
    let mut open: HashSet<u64> = HashSet::new();
    let mut finished: HashSet<u64> = HashSet::new();
    let mut latest_end_ms = now_ms;
    for step in steps {
      match step {
        Step::Wait { ms } => now_ms += ms,
        Step::Finish { sequence, outcome } => {
          queue.finish(id(sequence), outcome, now_ms);
          open.remove(&sequence);
          finished.insert(sequence);
        }
        Step::Place { sequence, tokens } => {
          let next = PlaceRequest { prompt_tokens: tokens, ..request(sequence) };
          let place = queue.place(&engines, next, now_ms);
          prop_assert!(!(finished.contains(&sequence) && place.is_some()));
          if let Some(place) = place {
            open.insert(sequence);
            prop_assert!(place.start_in_ms <= place.end_in_ms);
            prop_assert!(place.end_in_ms < 3_600_000, "{place:?}");
            prop_assert_eq!(place.ahead == 0, place.tokens_ahead == 0);
            latest_end_ms = latest_end_ms.max(now_ms + place.end_in_ms);
          }
        }
      }
      let queues = queue.engines(now_ms);
      let places: u32 = queues.iter().map(|queue| queue.places).sum();
      prop_assert!(places as usize <= open.len());
      prop_assert!(queues.iter().all(|queue| queue.places > 0 || queue.oldest_ms == 0));
    }
    queue.expire(latest_end_ms + 1_501);
    let queues = queue.engines(latest_end_ms + 1_501);
    prop_assert!(queues.iter().all(|queue| queue.places == 0));
  }
}
