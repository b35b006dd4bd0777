//! Boxes that follow others, and when they stop doing so.

use {
  rillford::gateway::{
    BoxEntry, BoxList, ChangeLog, StoreChanges, StoreItem, StoreKey, retry_pause_ms,
  },
  rstest::rstest,
};

fn boxes(halls: &[(&str, usize)]) -> BoxList {
  let mut list = BoxList::default();
  for (hall, count) in halls {
    for number in 0..*count {
      let name = format!("{hall}-{number:02}");
      let entry = BoxEntry {
        address: format!("127.0.0.1:{}", 1_000 + list.len()).parse().unwrap(),
        hall: (*hall).into(),
      };
      list.put(name.as_str().into(), entry);
    }
  }
  list
}

#[rstest]
#[case::few_boxes(&[("north", 8)], "north-07", 0)]
#[case::the_first_reader(&[("north", 20)], "north-00", 0)]
#[case::the_second_reader(&[("north", 20)], "north-01", 1)]
#[case::a_follower(&[("north", 20)], "north-02", 2)]
#[case::a_hall_of_one(&[("north", 20), ("south", 1)], "south-00", 0)]
#[case::unknown_box(&[("north", 20)], "south-00", 0)]
fn who_follows_whom(#[case] halls: &[(&str, usize)], #[case] name: &str, #[case] readers: usize) {
  assert_eq!(boxes(halls).readers_for(name).len(), readers);
}

#[rstest]
#[case::few_boxes(&[("north", 8)], "north-00", false)]
#[case::the_first(&[("north", 20), ("south", 20)], "south-00", true)]
#[case::the_second(&[("north", 20), ("south", 20)], "south-01", true)]
#[case::a_follower(&[("north", 20), ("south", 20)], "south-02", false)]
#[case::unknown_box(&[("north", 20)], "south-00", false)]
fn readers_are_the_first_two_of_their_hall(
  #[case] halls: &[(&str, usize)],
  #[case] name: &str,
  #[case] is_reader: bool,
) {
  assert_eq!(boxes(halls).is_reader(name), is_reader);
}

#[test]
fn followers_share_the_readers_of_their_hall() {
  let mut list = boxes(&[("north", 20), ("south", 20)]);
  let preferred = |list: &BoxList, name: &str| list.readers_for(name)[0];
  assert_ne!(preferred(&list, "south-02"), preferred(&list, "south-03"));
  let before = preferred(&list, "south-02");
  list.remove("south-00");
  list.remove("south-01");
  assert!(list.readers_for("south-02").is_empty());
  assert_eq!(list.readers_for("south-03"), [preferred(&list, "south-03")]);
  assert_ne!(preferred(&list, "south-04"), before);
}

fn item(revision: u64) -> StoreItem {
  StoreItem {
    key: StoreKey::Endpoint(format!("e-{revision}").as_str().into()),
    revision,
    value: None,
  }
}

#[test]
fn log_tells_what_follows_and_owns_up_to_gaps() {
  let log = ChangeLog::default();
  assert_eq!(
    log.after(0),
    StoreChanges::Some {
      items: vec![],
      revision: 0
    }
  );
  log.restart(100);
  assert_eq!(log.after(99), StoreChanges::HistoryLost);
  for revision in 101..3_000 {
    log.add(&[item(revision)], revision);
  }
  assert_eq!(log.after(100), StoreChanges::HistoryLost);
  let latest = StoreChanges::Some {
    items: vec![item(2_998), item(2_999)],
    revision: 2_999,
  };
  assert_eq!(log.after(2_997), latest);
  log.restart(5_000);
  assert_eq!(log.after(2_999), StoreChanges::HistoryLost);
  assert_eq!(
    log.after(5_000),
    StoreChanges::Some {
      items: vec![],
      revision: 5_000
    }
  );
}

#[tokio::test]
async fn waiting_ends_with_a_change_and_with_a_new_listing() {
  let log = ChangeLog::default();
  log.restart(10);
  tokio::join!(log.wait_after(10), async { log.add(&[item(11)], 11) });
  tokio::join!(log.wait_after(11), async { log.restart(20) });
}

#[rstest]
#[case::few(8, 3_000)]
#[case::grown(87, 4_000)]
#[case::target(390, 3_000)]
fn store_is_asked_again_well_before_a_box_counts_as_connected(
  #[case] boxes: usize,
  #[case] contact_ms: u64,
) {
  for draw in [0.0, 0.5, 1.0] {
    assert!(retry_pause_ms(boxes, contact_ms, draw) <= contact_ms / 2);
  }
}
