//! Selection of endpoints under worst-case load, replayed in virtual time.

use {
  emulator::load::{
    Figures, Pattern, ReturnFigures, ReturnPattern, ReturnVariant, Variant, replay, replay_returns,
  },
  rstest::rstest,
};

const SEEDS: std::ops::RangeInclusive<u64> = 11..=14;

fn replays(pattern: Pattern, variant: Variant) -> Vec<Figures> {
  SEEDS.map(|seed| replay(pattern, variant, seed)).collect()
}

fn served_share(replays: &[Figures]) -> f64 {
  replays.iter().map(Figures::served_share).sum::<f64>() / replays.len() as f64
}

fn sum(replays: &[Figures], count: impl Fn(&Figures) -> u32) -> u32 {
  replays.iter().map(count).sum()
}

fn ignoring_losses() -> Variant {
  Variant {
    heeds_losses: false,
    ..Variant::default()
  }
}

/// A fifth of the engines is down for 2 s in a burst of 2.3 times the load. The detection of unreachable halls (the test
/// below) is enough for this, without backoff from single endpoints.
#[test]
fn crashed_engines_get_fewer_requests_when_losses_are_honoured() {
  let honoured = replays(Pattern::BurstWithCrash, Variant::default());
  let ignored = replays(Pattern::BurstWithCrash, ignoring_losses());
  let unreachable_sends = |replays: &[Figures]| sum(replays, |replay| replay.unreached_sends);
  assert!(2 * unreachable_sends(&honoured) < unreachable_sends(&ignored));
  assert!(served_share(&honoured) > served_share(&ignored) + 0.02);
}

/// The crashed engines are in all halls; a box that takes their halls for unreachable prefers others.
#[test]
fn unreachable_halls_are_detected_by_engines_that_do_not_answer() {
  let variant = Variant {
    notices_cut_halls: false,
    ..Variant::default()
  };
  let honoured = replays(Pattern::BurstWithCrash, Variant::default());
  let ignored = replays(Pattern::BurstWithCrash, variant);
  let unreachable_sends = |replays: &[Figures]| sum(replays, |replay| replay.unreached_sends);
  assert!(2 * unreachable_sends(&honoured) < unreachable_sends(&ignored));
}

/// Where the observations of one box don't help, honouring them must not harm. Six engines in ten that lose responses for 4
/// s are such a case: a box uses each of them once in minutes.
#[rstest]
#[case::whole_service_fails(Pattern::WholeServiceFails)]
#[case::lost_answers(Pattern::LostAnswers)]
#[case::lost_answers_in_a_burst(Pattern::LostAnswersInBurst)]
#[case::cut_hall(Pattern::CutHall)]
#[case::all_return(Pattern::AllReturn)]
fn honouring_losses_serves_nobody_worse(#[case] pattern: Pattern) {
  let honoured = served_share(&replays(pattern, Variant::default()));
  let ignored = served_share(&replays(pattern, ignoring_losses()));
  assert!(honoured >= ignored - 0.01, "{honoured} {ignored}");
}

#[rstest]
#[case::calm(Pattern::Calm)]
#[case::cut_hall(Pattern::CutHall)]
#[case::all_return(Pattern::AllReturn)]
fn nearly_all_requests_are_served(#[case] pattern: Pattern) {
  let share = served_share(&replays(pattern, Variant::default()));
  assert!(share > 0.99, "{share}");
}

fn replays_of_returns(pattern: ReturnPattern, by_supply: bool) -> Vec<ReturnFigures> {
  let variant = ReturnVariant {
    at_once: by_supply,
    by_schedule: by_supply,
  };
  SEEDS
    .map(|seed| replay_returns(pattern, variant, seed))
    .collect()
}

/// Requests waited for slots that did not become free, and their callers were told too late to return in time. Rejecting them earlier
/// must not reject requests that would have been served.
#[rstest]
#[case::burst(ReturnPattern::Burst)]
#[case::engines_gone(ReturnPattern::EnginesGone)]
fn early_rejections_and_the_return_order_serve_no_fewer_callers_in_time(
  #[case] pattern: ReturnPattern,
) {
  let sum =
    |runs: &[ReturnFigures], count: fn(&ReturnFigures) -> u32| runs.iter().map(count).sum::<u32>();
  let value = |runs: &[ReturnFigures]| runs.iter().map(|run| run.value).sum::<f64>();
  let before = replays_of_returns(pattern, false);
  let after = replays_of_returns(pattern, true);
  let in_time = |run: &ReturnFigures| run.in_time + run.in_time_returned;
  assert!(sum(&after, in_time) >= sum(&before, in_time));
  assert!(2 * sum(&after, |run| run.rejected_late) < sum(&before, |run| run.rejected_late));
  assert!(value(&after) > value(&before));
}

/// Without a shortage of slots nothing is rejected, with either decisions.
#[rstest]
#[case::calm(ReturnPattern::Calm)]
#[case::full(ReturnPattern::Full)]
fn no_request_is_rejected_while_there_are_slots(#[case] pattern: ReturnPattern) {
  for run in replays_of_returns(pattern, true) {
    assert_eq!((run.rejected_soon, run.rejected_late), (0, 0));
  }
}
