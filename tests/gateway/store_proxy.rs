//! A TCP proxy between one box and the store, which a test can cut while other boxes keep their connections.

use {
  super::endless_reply::{EndlessEnd, EndlessReply},
  std::{
    net::SocketAddr,
    sync::{
      Arc, Mutex,
      atomic::{AtomicBool, Ordering},
    },
    time::Duration,
  },
  tokio::{
    io::{AsyncReadExt, copy_bidirectional},
    net::{TcpListener, TcpStream},
    time::sleep,
  },
};

/// How often an open connection checks for a cut.
const POLL_INTERVAL: Duration = Duration::from_millis(5);
/// More than the head of a call.
const CALL_BYTES: usize = 4 * 1024;

pub(crate) struct StoreProxy {
  pub(crate) address: SocketAddr,
  is_cut: Arc<AtomicBool>,
  flood: Arc<Flood>,
}

/// Endless responses in place of the store's.
#[derive(Default)]
struct Flood {
  reply: Mutex<Option<EndlessReply>>,
  ends: Mutex<Vec<EndlessEnd>>,
}

impl Flood {
  fn reply(&self) -> Option<EndlessReply> {
    self.reply.lock().unwrap().clone()
  }

  /// Answers the call on a connection without end.
  async fn answer(&self, mut stream: TcpStream, reply: EndlessReply) {
    let mut call = [0; CALL_BYTES];
    if stream.read(&mut call).await.is_ok_and(|count| count > 0) {
      let end = reply.write_until_closed(&mut stream).await;
      self.ends.lock().unwrap().push(end);
    }
  }
}

impl StoreProxy {
  pub(crate) async fn to(store: SocketAddr) -> Self {
    let listener = TcpListener::bind("127.0.0.1:0").await.unwrap();
    let address = listener.local_addr().unwrap();
    let is_cut = Arc::new(AtomicBool::new(false));
    let cut = is_cut.clone();
    let flood = Arc::<Flood>::default();
    let flooded = flood.clone();
    tokio::spawn(async move {
      while let Ok((stream, _)) = listener.accept().await {
        if let Some(reply) = flooded.reply() {
          let flooded = flooded.clone();
          tokio::spawn(async move { flooded.answer(stream, reply).await });
        } else {
          tokio::spawn(forward(stream, store, cut.clone()));
        }
      }
    });
    Self {
      address,
      flood,
      is_cut,
    }
  }

  /// Closes all open connections and every new one; returns when none is open.
  pub(crate) async fn cut(&self) {
    self.is_cut.store(true, Ordering::Relaxed);
    // Each open connection holds a reference, besides `self` and the listener.
    while Arc::strong_count(&self.is_cut) > 2 {
      sleep(POLL_INTERVAL).await;
    }
  }

  /// Closes all open connections, and answers the calls on new ones without end.
  pub(crate) async fn flood(&self, reply: EndlessReply) {
    *self.flood.reply.lock().unwrap() = Some(reply);
    self.cut().await;
    self.restore();
  }

  /// Forwards the calls on new connections again.
  pub(crate) fn end_flood(&self) {
    *self.flood.reply.lock().unwrap() = None;
  }

  /// How the endless responses ended whose connection is closed.
  pub(crate) fn endless_ends(&self) -> Vec<EndlessEnd> {
    self.flood.ends.lock().unwrap().clone()
  }

  /// Accepts connections again.
  pub(crate) fn restore(&self) {
    self.is_cut.store(false, Ordering::Relaxed);
  }
}

async fn forward(mut stream: TcpStream, store: SocketAddr, is_cut: Arc<AtomicBool>) {
  let cut = async {
    while !is_cut.load(Ordering::Relaxed) {
      sleep(POLL_INTERVAL).await;
    }
  };
  let copy = async {
    let mut upstream = TcpStream::connect(store).await?;
    copy_bidirectional(&mut stream, &mut upstream).await
  };
  tokio::select! {
    () = cut => {}
    // Errors are handled by the peers.
    _ = copy => {}
  }
}
