//! A TCP proxy between one box and the store, which a test can cut while other boxes keep their connections.

use {
  std::{
    net::SocketAddr,
    sync::{
      Arc,
      atomic::{AtomicBool, Ordering},
    },
    time::Duration,
  },
  tokio::{
    io::copy_bidirectional,
    net::{TcpListener, TcpStream},
    time::sleep,
  },
};

/// How often an open connection checks for a cut.
const POLL_INTERVAL: Duration = Duration::from_millis(5);

pub(crate) struct StoreProxy {
  pub(crate) address: SocketAddr,
  is_cut: Arc<AtomicBool>,
}

impl StoreProxy {
  pub(crate) async fn to(store: SocketAddr) -> Self {
    let listener = TcpListener::bind("127.0.0.1:0").await.unwrap();
    let address = listener.local_addr().unwrap();
    let is_cut = Arc::new(AtomicBool::new(false));
    let cut = is_cut.clone();
    tokio::spawn(async move {
      while let Ok((stream, _)) = listener.accept().await {
        tokio::spawn(forward(stream, store, cut.clone()));
      }
    });
    Self { address, is_cut }
  }

  /// Closes all open connections and every new one; returns when none is open.
  pub(crate) async fn cut(&self) {
    self.is_cut.store(true, Ordering::Relaxed);
    // Each open connection holds a reference, besides `self` and the listener.
    while Arc::strong_count(&self.is_cut) > 2 {
      sleep(POLL_INTERVAL).await;
    }
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
