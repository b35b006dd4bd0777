//! The soak's links: the ends of an endpoint's connections pass through a link as they are.

use {
  rstest::rstest,
  socket2::SockRef,
  stand_ins::{Cut, Link},
  std::{io::ErrorKind, time::Duration},
  tokio::{
    io::{AsyncReadExt, AsyncWriteExt},
    net::{TcpListener, TcpStream},
    time::{sleep, timeout},
  },
};

const PATIENCE: Duration = Duration::from_secs(20);
/// Time in which a cut takes effect, and no connection arrives.
const CLOSING: Duration = Duration::from_millis(300);
const EVENT: &[u8] = b"id: 1\ndata: first\n\n";

/// How the endpoint's process closes a connection.
enum Close {
  /// In order, as the kernel does for a process that was killed.
  Fin,
  /// By a reset.
  Reset,
}

#[rstest]
#[case::fin(Close::Fin, Ok(0))]
#[case::reset(Close::Reset, Err(ErrorKind::ConnectionReset))]
#[tokio::test]
async fn end_of_a_connection_passes_a_link(
  #[case] close: Close,
  #[case] expected: Result<usize, ErrorKind>,
) {
  let listener = TcpListener::bind("127.0.0.1:0").await.unwrap();
  let link = Link::open(listener.local_addr().unwrap()).await.unwrap();
  let mut caller = TcpStream::connect(link.address).await.unwrap();
  let (mut target, _) = timeout(PATIENCE, listener.accept()).await.unwrap().unwrap();
  target.write_all(EVENT).await.unwrap();
  let mut event = vec![0; EVENT.len()];
  let read = timeout(PATIENCE, caller.read_exact(&mut event)).await;
  read.unwrap().unwrap();
  if matches!(close, Close::Reset) {
    let socket = SockRef::from(&target);
    socket.set_linger(Some(Duration::ZERO)).unwrap();
  }
  drop(target);
  let end = timeout(PATIENCE, caller.read(&mut event)).await.unwrap();
  assert_eq!(end.map_err(|error| error.kind()), expected);
}

#[tokio::test]
async fn connection_to_an_endpoint_that_is_down_is_reset() {
  let listener = TcpListener::bind("127.0.0.1:0").await.unwrap();
  let link = Link::open(listener.local_addr().unwrap()).await.unwrap();
  drop(listener);
  let mut caller = TcpStream::connect(link.address).await.unwrap();
  let mut byte = [0];
  let end = timeout(PATIENCE, caller.read(&mut byte)).await.unwrap();
  assert_eq!(
    end.map_err(|error| error.kind()),
    Err(ErrorKind::ConnectionReset)
  );
}

/// A link to a listener that accepts connections and keeps them open.
async fn open_link() -> (Link, TcpListener) {
  let listener = TcpListener::bind("127.0.0.1:0").await.unwrap();
  let link = Link::open(listener.local_addr().unwrap()).await.unwrap();
  (link, listener)
}

// A hall that is cut from the others keeps a connection to them.
#[rstest]
#[tokio::test]
async fn cut_by_resets_ends_open_connections_and_no_new_one_is_served(
  #[values(Cut::Reset, Cut::ResetAndRefuse, Cut::ResetAll)] cut: Cut,
) {
  let (link, listener) = open_link().await;
  let mut caller = TcpStream::connect(link.address).await.unwrap();
  let (_target, _) = timeout(PATIENCE, listener.accept()).await.unwrap().unwrap();
  link.begin_cut(cut);
  let mut byte = [0];
  let end = timeout(PATIENCE, caller.read(&mut byte)).await.unwrap();
  assert_eq!(
    end.map_err(|error| error.kind()),
    Err(ErrorKind::ConnectionReset)
  );
  sleep(CLOSING).await;
  let attempt = timeout(CLOSING, TcpStream::connect(link.address)).await;
  match (cut, attempt) {
    (Cut::Reset, attempt) => assert!(attempt.is_err(), "{attempt:?}"),
    (Cut::ResetAndRefuse, attempt) => {
      let error = attempt.unwrap().unwrap_err();
      assert_eq!(error.kind(), ErrorKind::ConnectionRefused);
    }
    (_, attempt) => {
      let mut caller = attempt.unwrap().unwrap();
      let end = timeout(PATIENCE, caller.read(&mut byte)).await.unwrap();
      assert_eq!(
        end.map_err(|error| error.kind()),
        Err(ErrorKind::ConnectionReset)
      );
    }
  }
  assert!(timeout(CLOSING, listener.accept()).await.is_err());
}

// A hall stays cut from the others after the cut.
#[rstest]
#[tokio::test]
async fn connections_are_served_after_a_cut(
  #[values(
    Cut::Hang,
    Cut::RefuseNew,
    Cut::Reset,
    Cut::ResetAndRefuse,
    Cut::ResetAll
  )]
  cut: Cut,
) {
  let (link, listener) = open_link().await;
  link.begin_cut(cut);
  sleep(CLOSING).await;
  link.end_cut(cut);
  let caller = timeout(PATIENCE, async {
    loop {
      // The link may not listen again yet.
      if let Ok(mut caller) = TcpStream::connect(link.address).await
        && caller.write_all(EVENT).await.is_ok()
        && let Ok(Ok((mut target, _))) = timeout(CLOSING, listener.accept()).await
      {
        let mut event = vec![0; EVENT.len()];
        target.read_exact(&mut event).await.unwrap();
        return event;
      }
    }
  });
  assert_eq!(caller.await.unwrap(), EVENT);
}
