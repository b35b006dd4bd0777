//! A path from one box to the store that a test can cut, while other boxes keep theirs.

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

/// How soon a cut is noticed on open connections.
const POLL: Duration = Duration::from_millis(5);

/// A running path.
pub(crate) struct StorePath {
  pub(crate) address: SocketAddr,
  is_cut: Arc<AtomicBool>,
}

impl StorePath {
  pub(crate) async fn to(store: SocketAddr) -> Self {
    let listener = TcpListener::bind("127.0.0.1:0").await.unwrap();
    let address = listener.local_addr().unwrap();
    let is_cut = Arc::new(AtomicBool::new(false));
    let cut = is_cut.clone();
    tokio::spawn(async move {
      while let Ok((stream, _)) = listener.accept().await {
        tokio::spawn(pass(stream, store, cut.clone()));
      }
    });
    Self { address, is_cut }
  }

  /// Closes all connections, and each new one; ends when none is left.
  pub(crate) async fn cut(&self) {
    self.is_cut.store(true, Ordering::Relaxed);
    // Each open connection holds the mark, as do this and the listener.
    while Arc::strong_count(&self.is_cut) > 2 {
      sleep(POLL).await;
    }
  }
}

async fn pass(mut stream: TcpStream, store: SocketAddr, is_cut: Arc<AtomicBool>) {
  let cut = async {
    while !is_cut.load(Ordering::Relaxed) {
      sleep(POLL).await;
    }
  };
  let passed = async {
    let mut onward = TcpStream::connect(store).await?;
    copy_bidirectional(&mut stream, &mut onward).await
  };
  tokio::select! {
    () = cut => {}
    // A connection that ends is the peers' own affair.
    _ = passed => {}
  }
}
