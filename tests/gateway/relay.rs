//! Boxes that follow store readers, and when they stop.

use {
  super::{EndpointStandIn, GatewayBox, GatewayTest, Reply, TIMEOUT},
  bytes::Bytes,
  emulator::eventually,
  futures_util::poll,
  http::Request,
  http_body_util::Full,
  rillford::{
    HttpClient,
    gateway::{
      BoxEntry, BoxList, ChangeLog, StoreChanges, StoreItem, StoreKey, store_retry_delay_ms,
    },
  },
  rstest::rstest,
  std::pin::pin,
};

pub(super) fn boxes(halls: &[(&str, usize)]) -> BoxList {
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

/// The hall in a box's name.
fn hall_of(name: &str) -> &str {
  name.split('-').next().unwrap()
}

#[rstest]
#[case::few_boxes(&[("north", 8)], "north-07", 0)]
#[case::the_first_reader(&[("north", 20)], "north-00", 0)]
#[case::the_second_reader(&[("north", 20)], "north-01", 1)]
#[case::a_follower(&[("north", 20)], "north-02", 2)]
#[case::a_later_follower(&[("north", 20)], "north-07", 4)]
#[case::a_hall_of_one(&[("north", 20), ("south", 1)], "south-00", 0)]
#[case::unknown_hall(&[("north", 20)], "south-00", 0)]
#[case::without_an_entry(&[("north", 20)], "north-99", 4)]
fn who_follows_whom(#[case] halls: &[(&str, usize)], #[case] name: &str, #[case] readers: usize) {
  assert_eq!(boxes(halls).readers_for(name, hall_of(name)).len(), readers);
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
  let preferred = |list: &BoxList, name: &str| list.readers_for(name, hall_of(name))[0];
  assert_ne!(preferred(&list, "south-02"), preferred(&list, "south-03"));
  let before = preferred(&list, "south-02");
  list.remove("south-00");
  list.remove("south-01");
  assert!(list.readers_for("south-02", "south").is_empty());
  assert_eq!(
    list.readers_for("south-03", "south"),
    [preferred(&list, "south-03")]
  );
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
fn change_log_returns_later_changes_and_reports_gaps() {
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

/// Guards against followers that poll again with each batch of origins, which changes nothing for them.
#[tokio::test]
async fn revision_without_a_change_wakes_no_follower() {
  let log = ChangeLog::default();
  log.restart(10);
  let mut waiting = pin!(log.wait_after(10));
  assert!(poll!(&mut waiting).is_pending());
  log.add(&[], 11);
  assert!(poll!(&mut waiting).is_pending());
  // The follower goes on from there with its next poll.
  assert_eq!(log.latest_revision(), 11);
  log.add(&[item(12)], 12);
  waiting.await;
}

#[rstest]
#[case::few(8, 3_000)]
#[case::grown(87, 4_000)]
#[case::target(390, 3_000)]
fn store_call_is_retried_well_before_a_box_counts_as_connected(
  #[case] boxes: usize,
  #[case] contact_ms: u64,
) {
  for draw in [0.0, 0.5, 1.0] {
    assert!(store_retry_delay_ms(boxes, contact_ms, draw) <= contact_ms / 2);
  }
}

#[rstest]
#[case::few_boxes(&[("north", 8)], "north-07", true)]
#[case::a_reader(&[("north", 20), ("south", 20)], "south-01", true)]
#[case::a_follower(&[("north", 20), ("south", 20)], "south-02", false)]
#[case::unknown_box(&[("north", 20)], "south-00", false)]
fn in_a_large_deployment_only_readers_are_candidates_for_role_leader(
  #[case] halls: &[(&str, usize)],
  #[case] name: &str,
  #[case] is_leader_candidate: bool,
) {
  assert_eq!(boxes(halls).is_leader_candidate(name), is_leader_candidate);
}

#[test]
fn followers_turn_to_the_next_boxes_when_both_readers_fail() {
  let list = boxes(&[("north", 20)]);
  let addresses = |name: &str| list.readers_for(name, hall_of(name));
  let (even, odd) = (addresses("north-08"), addresses("north-09"));
  assert_eq!(even[..2], [odd[1], odd[0]]);
  assert_eq!(even[2..], odd[2..]);
  // These next boxes follow each other, so that one of them reads the store.
  assert_eq!(addresses("north-03")[2], even[2]);
}

#[rstest]
#[case::few_boxes(&[("north", 8)], "north-07", true)]
#[case::a_reader(&[("north", 20)], "north-01", true)]
#[case::the_last_that_is_followed(&[("north", 20)], "north-03", true)]
#[case::a_follower(&[("north", 20)], "north-04", false)]
#[case::without_an_entry(&[("north", 20)], "south-00", false)]
fn which_boxes_fall_back_to_the_store(
  #[case] halls: &[(&str, usize)],
  #[case] name: &str,
  #[case] is_fallback_reader: bool,
) {
  assert_eq!(boxes(halls).is_fallback_reader(name), is_fallback_reader);
}

/// The response to a follower at a revision.
async fn changes_after(gateway: &GatewayBox, revision: u64) -> StoreChanges {
  let uri = format!("http://{}/changes/{revision}", gateway.boxes);
  let request = Request::get(uri).body(Full::new(Bytes::new())).unwrap();
  let body = HttpClient::default()
    .fetch_bytes(request, TIMEOUT)
    .await
    .unwrap();
  let (changes, _store_age_ms): (StoreChanges, Option<u64>) = postcard::from_bytes(&body).unwrap();
  changes
}

/// The latest revision that a box knows.
async fn latest_revision(gateway: &GatewayBox) -> u64 {
  for revision in 0..1_000 {
    if let StoreChanges::Some { revision, .. } = changes_after(gateway, revision).await {
      return revision;
    }
  }
  panic!("no changes after any revision");
}

/// When a reader loses the store's history and lists it again, its followers must not have to.
#[tokio::test]
async fn followers_continue_when_their_reader_lists_the_store_again() {
  let one = EndpointStandIn::start(|seen| Reply::ok(seen, "one")).await;
  let test = GatewayTest::new().await;
  test.enter("p-2", "portal", None, &one);
  let gateway = test.with_portal(&one).await;
  let before = latest_revision(&gateway).await;
  let listings = gateway.test.store.listings();
  gateway.test.store.set_down(true);
  gateway.test.store.remove("servers/p-1");
  gateway.test.enter("p-3", "portal", None, &one);
  gateway.test.store.compact_history();
  gateway.test.store.set_down(false);
  assert!(eventually(TIMEOUT, async || gateway.test.store.listings() > listings).await);
  let has_all_changes = async || match changes_after(&gateway, before).await {
    StoreChanges::HistoryLost => panic!("the follower has to list the store"),
    StoreChanges::Some { items, .. } => {
      let has = |id: &str, is_there: bool| {
        let key = StoreKey::Endpoint(id.into());
        items
          .iter()
          .any(|item| item.key == key && item.value.is_some() == is_there)
      };
      has("p-1", false) && has("p-3", true) && !has("p-2", true)
    }
  };
  assert!(eventually(TIMEOUT, has_all_changes).await);
}
