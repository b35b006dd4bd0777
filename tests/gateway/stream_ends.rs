//! Which ends of answers count as ends of their streams, by what is known of them.

use {
  rillford::gateway::{
    AnswerEnd, CheckDenial, CheckedEnds, EarlyEnds, EndEvidence, EndVerdict, SoftwareVersion,
  },
  rillford::ids::Name,
  rstest::rstest,
};

/// When outcomes are recorded, and a time at which they still count.
const SHOWN_MS: u64 = 1_000;
const SOON_MS: u64 = 30_000;
/// A time at which they no longer count.
const LATER_MS: u64 = 31_000;

fn service() -> Name {
  "llm".into()
}

/// The end of an answer of which nothing else is known.
fn end(end: AnswerEnd) -> EndEvidence {
  EndEvidence {
    caller_may_check: false,
    end,
    has_all_tokens: false,
    is_empty_rest: false,
    may_check: false,
    early_ends: EarlyEnds::None,
    may_be_resumed: false,
    others_are_whole: false,
    was_interrupted: false,
    was_repeated: false,
  }
}

/// The same, where a further run may show whether it was early.
fn checkable(answer_end: AnswerEnd) -> EndEvidence {
  EndEvidence {
    may_check: true,
    ..end(answer_end)
  }
}

const ALL_ENDS: [AnswerEnd; 3] = [
  AnswerEnd::Framed,
  AnswerEnd::Connection,
  AnswerEnd::NextAnswer,
];

#[rstest]
#[case::nothing_speaks_against_it(end(AnswerEnd::Connection), EndVerdict::Complete)]
#[case::a_run_may_show_it(checkable(AnswerEnd::Connection), EndVerdict::Check)]
#[case::a_run_may_show_it_behind_an_answer(checkable(AnswerEnd::NextAnswer), EndVerdict::Check)]
#[case::others_were_early(EndEvidence { early_ends: EarlyEnds::Most, ..end(AnswerEnd::Connection) }, EndVerdict::Incomplete)]
#[case::others_were_early_and_a_run_may_show_it(
  EndEvidence { early_ends: EarlyEnds::Most, ..checkable(AnswerEnd::Connection) }, EndVerdict::Check)]
#[case::one_other_was_early(EndEvidence { early_ends: EarlyEnds::Some, ..end(AnswerEnd::Connection) }, EndVerdict::Complete)]
#[case::one_other_was_early_and_the_caller_may_resume(
  EndEvidence { early_ends: EarlyEnds::Some, may_be_resumed: true, ..end(AnswerEnd::Connection) }, EndVerdict::Incomplete)]
#[case::the_engine_had_ended_it(EndEvidence { early_ends: EarlyEnds::Most, ..end(AnswerEnd::NextAnswer) }, EndVerdict::Complete)]
#[case::the_stream_was_interrupted(EndEvidence { was_interrupted: true, ..end(AnswerEnd::Connection) }, EndVerdict::Incomplete)]
#[case::the_stream_was_interrupted_and_others_are_whole(
  EndEvidence { others_are_whole: true, was_interrupted: true, ..end(AnswerEnd::Connection) }, EndVerdict::Incomplete)]
#[case::only_the_caller_may_check(EndEvidence { caller_may_check: true, may_be_resumed: true, ..end(AnswerEnd::Connection) }, EndVerdict::Incomplete)]
#[case::only_the_caller_may_check_and_others_are_whole(
  EndEvidence { caller_may_check: true, may_be_resumed: true, others_are_whole: true, ..end(AnswerEnd::Connection) },
  EndVerdict::Complete)]
#[case::only_the_caller_may_check_what_the_engine_had_ended(
  EndEvidence { caller_may_check: true, may_be_resumed: true, ..end(AnswerEnd::NextAnswer) }, EndVerdict::Complete)]
#[case::nobody_may_check(EndEvidence { may_be_resumed: true, ..end(AnswerEnd::Connection) }, EndVerdict::Complete)]
#[case::a_run_before_ended_there(EndEvidence { is_empty_rest: true, early_ends: EarlyEnds::Most, ..end(AnswerEnd::Connection) }, EndVerdict::Complete)]
#[case::a_run_may_show_that_the_rest_is_empty(
  EndEvidence { is_empty_rest: true, ..checkable(AnswerEnd::Connection) }, EndVerdict::Check)]
#[case::a_further_run_ended_there(EndEvidence { was_repeated: true, was_interrupted: true, ..end(AnswerEnd::Connection) }, EndVerdict::Complete)]
fn verdict_follows_the_evidence(#[case] evidence: EndEvidence, #[case] expected: EndVerdict) {
  assert_eq!(evidence.verdict(), expected);
}

/// Guards against whole streams that are run again or aborted although their end is known.
#[test]
fn known_ends_are_not_checked() {
  for answer_end in ALL_ENDS {
    for may_check in [false, true] {
      let evidence = EndEvidence {
        has_all_tokens: true,
        may_check,
        early_ends: EarlyEnds::Most,
        ..end(answer_end)
      };
      assert_eq!(evidence.verdict(), EndVerdict::Complete);
    }
  }
  let framed = EndEvidence {
    early_ends: EarlyEnds::Most,
    was_interrupted: true,
    ..checkable(AnswerEnd::Framed)
  };
  assert_eq!(framed.verdict(), EndVerdict::Complete);
}

/// The ends of one version that further runs have checked.
fn checked_ends(outcomes: &[bool]) -> CheckedEnds {
  let version = SoftwareVersion::new("v1");
  let mut ends = CheckedEnds::default();
  for was_early in outcomes {
    ends.record(&service(), &version, *was_early, SHOWN_MS);
  }
  ends
}

#[rstest]
#[case::nothing_known(&[], EarlyEnds::None)]
#[case::one_was_early(&[true], EarlyEnds::Some)]
#[case::two_were_early(&[true, true], EarlyEnds::Most)]
#[case::most_were_early(&[true, true, false], EarlyEnds::Most)]
#[case::half_were_early(&[true, true, false, false], EarlyEnds::Some)]
#[case::the_last_ones_were_whole(&[true, true, true, false, false, false, false], EarlyEnds::None)]
#[case::all_were_whole(&[false, false], EarlyEnds::None)]
fn early_ends_are_those_of_the_last_checks(#[case] outcomes: &[bool], #[case] expected: EarlyEnds) {
  let ends = checked_ends(outcomes);
  let early =
    |version: &str, now_ms: u64| ends.early(&service(), &SoftwareVersion::new(version), now_ms);
  assert_eq!(early("v1", SOON_MS), expected);
  assert_eq!(early("v2", SOON_MS), EarlyEnds::None);
}

#[rstest]
#[case::nothing_known(&[], false)]
#[case::one_was_whole(&[false], false)]
#[case::few_were_whole(&[false; 3], false)]
#[case::four_were_whole(&[false; 4], true)]
#[case::one_was_early(&[true, false, false, false, false, false, false, false, false, false, false, false, false, false, false, false], false)]
#[case::the_last_ones_were_whole(&[true, false, false, false, false, false, false, false, false, false, false, false, false, false, false, false, false], true)]
fn others_are_whole_by_the_last_checks(#[case] outcomes: &[bool], #[case] expected: bool) {
  let ends = checked_ends(outcomes);
  let are_whole =
    |version: &str, now_ms: u64| ends.are_whole(&service(), &SoftwareVersion::new(version), now_ms);
  assert_eq!(are_whole("v1", SOON_MS), expected);
  assert!(!are_whole("v2", SOON_MS));
  assert!(!are_whole("v1", LATER_MS));
}

/// Guards against an early end that looks complete, because the run that was to check it did not know the stream's version.
#[rstest]
#[case::version_not_known(CheckDenial::NoVersion, EndVerdict::Incomplete)]
#[case::no_retry(CheckDenial::NoRetry, EndVerdict::Incomplete)]
#[case::no_slot(CheckDenial::NoSlot, EndVerdict::Complete)]
#[case::run_failed(CheckDenial::Failed, EndVerdict::Incomplete)]
fn end_whose_check_was_denied_is_left_to_a_caller_who_may_check_it(
  #[case] denial: CheckDenial,
  #[case] expected: EndVerdict,
) {
  let evidence = EndEvidence {
    caller_may_check: denial.is_left_to_caller(),
    may_be_resumed: true,
    ..end(AnswerEnd::Connection)
  };
  assert_eq!(evidence.verdict(), expected);
}

/// Guards against a judgement that outlives the behaviour that it came from.
#[test]
fn early_ends_do_not_count_for_long() {
  let ends = checked_ends(&[true, true]);
  let early = ends.early(&service(), &SoftwareVersion::new("v1"), LATER_MS);
  assert_eq!(early, EarlyEnds::None);
}
