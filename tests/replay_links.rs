//! The replay's links: late traffic arrives whole and in order, whatever other faults of a link begin and end.

use {
  rstest::rstest,
  stand_ins::{Cut, Lateness, Link, LinkFault},
  std::{
    io::ErrorKind,
    time::{Duration, Instant},
  },
  tokio::{
    io::{AsyncReadExt, AsyncWriteExt},
    net::{TcpListener, TcpStream},
    time::{sleep, timeout},
  },
};

const PATIENCE: Duration = Duration::from_secs(30);
/// Time in which nothing arrives.
const QUIET: Duration = Duration::from_millis(300);
const WORD: &[u8] = b"word";
/// Later than any test lasts.
const NEVER_MS: u64 = 3_600_000;

fn lateness(least_ms: u64, most_ms: u64) -> Lateness {
  Lateness {
    is_back_only: false,
    least_ms,
    most_ms,
  }
}

/// A link, and both ends of a connection through it.
async fn connect() -> (Link, TcpStream, TcpStream) {
  let listener = TcpListener::bind("127.0.0.1:0").await.unwrap();
  let link = Link::open(listener.local_addr().unwrap()).await.unwrap();
  let caller = TcpStream::connect(link.address).await.unwrap();
  let (target, _) = timeout(PATIENCE, listener.accept()).await.unwrap().unwrap();
  (link, caller, target)
}

async fn read_word(from: &mut TcpStream) {
  let mut word = [0; WORD.len()];
  let read = timeout(PATIENCE, from.read_exact(&mut word)).await;
  read.unwrap().unwrap();
  assert_eq!(word, WORD);
}

async fn assert_quiet(from: &mut TcpStream) {
  let mut byte = [0];
  assert!(timeout(QUIET, from.read(&mut byte)).await.is_err());
}

#[tokio::test]
async fn late_traffic_arrives_after_its_delay() {
  let (link, mut caller, mut target) = connect().await;
  let least_ms = 200;
  let _late = link.begin_lateness(lateness(least_ms, 250));
  for _ in 0..3 {
    let sent_at = Instant::now();
    caller.write_all(WORD).await.unwrap();
    read_word(&mut target).await;
    target.write_all(WORD).await.unwrap();
    read_word(&mut caller).await;
    assert!(sent_at.elapsed() >= Duration::from_millis(2 * least_ms));
  }
}

/// Guards against late bytes that are lost, or overtaken by those behind them.
#[tokio::test]
async fn late_traffic_is_whole_and_in_order() {
  let (link, mut caller, mut target) = connect().await;
  let _late = link.begin_lateness(lateness(1, 20));
  let sent: Vec<u8> = (0..1_000_000_u64).map(|at| (at * at % 251) as u8).collect();
  let expected = sent.clone();
  let writing = tokio::spawn(async move {
    for part in sent.chunks(9_973) {
      caller.write_all(part).await.unwrap();
      sleep(Duration::from_millis(1)).await;
    }
    caller
  });
  let mut received = Vec::new();
  while received.len() < expected.len() {
    let read = timeout(PATIENCE, target.read_buf(&mut received)).await;
    assert_ne!(read.unwrap().unwrap(), 0);
  }
  assert!(received == expected);
  drop(writing.await.unwrap());
  assert_eq!(target.read_buf(&mut received).await.unwrap(), 0);
}

#[tokio::test]
async fn traffic_towards_the_target_is_in_time_where_only_answers_are_late() {
  let (link, mut caller, mut target) = connect().await;
  let late = link.begin_lateness(Lateness {
    is_back_only: true,
    ..lateness(NEVER_MS, NEVER_MS)
  });
  caller.write_all(WORD).await.unwrap();
  read_word(&mut target).await;
  target.write_all(WORD).await.unwrap();
  assert_quiet(&mut caller).await;
  drop(late);
}

/// Guards against a reset that strikes connections that were opened after it, or one direction alone.
#[rstest]
#[case::none(0.0, 0, 0)]
#[case::half(0.5, 5, 25)]
#[case::all(1.0, 30, 30)]
#[tokio::test]
async fn share_of_the_open_connections_is_reset(
  #[case] share: f64,
  #[case] least: usize,
  #[case] most: usize,
) {
  let listener = TcpListener::bind("127.0.0.1:0").await.unwrap();
  let link = Link::open(listener.local_addr().unwrap()).await.unwrap();
  let mut pairs = Vec::new();
  for _ in 0..31 {
    if pairs.len() == 30 {
      link.reset_share(share, 7);
    }
    let caller = TcpStream::connect(link.address).await.unwrap();
    let accepted = timeout(PATIENCE, listener.accept()).await.unwrap();
    pairs.push((caller, accepted.unwrap().0));
  }
  let mut resets = 0;
  for (number, (mut caller, mut target)) in pairs.into_iter().enumerate() {
    let written = caller.write_all(WORD).await;
    if is_word(&mut target).await {
      target.write_all(WORD).await.unwrap();
      assert!(is_word(&mut caller).await);
      continue;
    }
    assert!(number < 30);
    // A reset is told once: to the write, if it has arrived before.
    match written {
      Ok(()) => assert!(!is_word(&mut caller).await),
      Err(error) => assert_eq!(error.kind(), ErrorKind::ConnectionReset),
    }
    resets += 1;
  }
  assert!((least..=most).contains(&resets), "{resets}");
}

/// Whether a word arrives. Otherwise the connection is reset.
async fn is_word(from: &mut TcpStream) -> bool {
  let mut word = [0; WORD.len()];
  let read = timeout(PATIENCE, from.read_exact(&mut word)).await.unwrap();
  match read {
    Ok(_) => word == WORD,
    Err(error) => {
      assert_eq!(error.kind(), ErrorKind::ConnectionReset);
      false
    }
  }
}

/// Guards against a lateness that ends with another fault of its link.
#[rstest]
#[case::cut(|link: &Link| {
  link.begin_cut(Cut::Hang);
  link.end_cut(Cut::Hang);
})]
#[case::delay(|link: &Link| {
  link.begin_fault(LinkFault::Delayed { delay_ms: 1 });
  link.clear_fault();
})]
#[case::lateness(|link: &Link| drop(link.begin_lateness(lateness(0, 0))))]
#[tokio::test]
async fn lateness_outlasts_other_faults(#[case] disturb: fn(&Link)) {
  let (link, mut caller, mut target) = connect().await;
  let late = link.begin_lateness(lateness(NEVER_MS, NEVER_MS));
  disturb(&link);
  caller.write_all(WORD).await.unwrap();
  assert_quiet(&mut target).await;
  drop(late);
}

#[tokio::test]
async fn traffic_is_in_time_once_a_lateness_has_ended() {
  let (link, mut caller, mut target) = connect().await;
  let first = link.begin_lateness(lateness(NEVER_MS, NEVER_MS));
  let second = link.begin_lateness(lateness(NEVER_MS, NEVER_MS));
  drop(first);
  drop(second);
  caller.write_all(WORD).await.unwrap();
  read_word(&mut target).await;
}
