//! The soak's links: the ends of an endpoint's connections pass through a link as they are.

use {
  rstest::rstest,
  soak::Link,
  socket2::SockRef,
  std::{io::ErrorKind, time::Duration},
  tokio::{
    io::{AsyncReadExt, AsyncWriteExt},
    net::{TcpListener, TcpStream},
    time::timeout,
  },
};

const PATIENCE: Duration = Duration::from_secs(20);
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
