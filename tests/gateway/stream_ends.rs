//! The trust in streams that end with their connection, by how others of their version ended.

use {
  rillford::gateway::{EndTrust, SoftwareVersion, StreamEnds},
  rillford::ids::Name,
  rstest::rstest,
};

fn service() -> Name {
  "llm".into()
}

/// The ends of one version's streams.
fn ends(shown: u32, with_connection: u32, checked: &[bool]) -> StreamEnds {
  let version = SoftwareVersion::new("v1");
  let mut ends = StreamEnds::default();
  for _ in 0..shown {
    ends.record_shown(&service(), &version);
  }
  for _ in 0..with_connection {
    ends.record_with_connection(&service(), &version);
  }
  for was_early in checked {
    ends.record_checked(&service(), &version, *was_early);
  }
  ends
}

#[rstest]
#[case::nothing_known(0, 0, &[], EndTrust::Believed)]
#[case::few_known(7, 0, &[], EndTrust::Believed)]
#[case::never_so_far(8, 0, &[], EndTrust::Doubted)]
#[case::twice_of_few(8, 2, &[], EndTrust::Doubted)]
#[case::often_of_few(8, 3, &[], EndTrust::Believed)]
#[case::seldom(57, 3, &[], EndTrust::Doubted)]
#[case::often(56, 4, &[], EndTrust::Believed)]
#[case::always(0, 60, &[], EndTrust::Believed)]
#[case::one_was_whole(57, 3, &[false], EndTrust::Believed)]
#[case::one_was_early(0, 60, &[true], EndTrust::Doubted)]
#[case::two_were_early(57, 3, &[true, true], EndTrust::Disbelieved)]
#[case::both_occur(57, 3, &[true, true, false], EndTrust::Doubted)]
#[case::most_were_whole(57, 3, &[true, false, false], EndTrust::Believed)]
fn trust_follows_the_ends_of_other_streams(
  #[case] shown: u32,
  #[case] with_connection: u32,
  #[case] checked: &[bool],
  #[case] expected: EndTrust,
) {
  let ends = ends(shown, with_connection, checked);
  let trust = |version: &str| ends.trust(&service(), &SoftwareVersion::new(version));
  assert_eq!(trust("v1"), expected);
  assert_eq!(trust("v2"), EndTrust::Believed);
}

/// Guards against a judgement that outlives the behaviour that it came from.
#[test]
fn trust_returns_when_ends_were_whole_for_long() {
  let version = SoftwareVersion::new("v1");
  let mut ends = ends(57, 3, &[true, true]);
  for _ in 0..10_000 {
    ends.record_with_connection(&service(), &version);
  }
  assert_eq!(ends.trust(&service(), &version), EndTrust::Believed);
}
