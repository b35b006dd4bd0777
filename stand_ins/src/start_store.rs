//! Starting the simulated store.

use {
  super::{platform_store::PlatformStore, store_calls, store_channel},
  axum::{
    Router,
    routing::{delete, get, post},
  },
  std::{
    io,
    sync::Arc,
    time::{Duration, Instant},
  },
  tokio::{net::TcpListener, sync::watch, time::sleep},
};

/// Interval between checks for expired leases.
const LEASE_CHECK_INTERVAL: Duration = Duration::from_millis(100);

impl PlatformStore {
  /// Starts a store on a free loopback port. Fails if no port can be opened.
  pub async fn start() -> io::Result<Self> {
    let listener = TcpListener::bind("127.0.0.1:0").await?;
    let store = Self {
      address: listener.local_addr()?,
      changed: watch::Sender::new(0),
      conditions: watch::Sender::new(0),
      contents: Arc::default(),
      show: None,
      watch_cuts: watch::Sender::new(0),
    };
    store.serve(listener);
    tokio::spawn(run_lease_expiry(store.clone()));
    Ok(store)
  }

  /// Serves the same contents at another address, each value of a key as a function shows it. Fails if no port can be opened.
  pub async fn start_view(
    &self,
    show: impl Fn(&str, Vec<u8>) -> Vec<u8> + Send + Sync + 'static,
  ) -> io::Result<Self> {
    let listener = TcpListener::bind("127.0.0.1:0").await?;
    let view = Self {
      address: listener.local_addr()?,
      show: Some(Arc::new(show)),
      ..self.clone()
    };
    view.serve(listener);
    Ok(view)
  }

  fn serve(&self, listener: TcpListener) {
    let router = Router::new()
      .route("/kv-range", get(store_calls::range))
      .route("/kv-key", get(store_calls::key))
      .route("/kv-watch", get(store_calls::changes))
      .route("/kv-txn", post(store_calls::transact))
      .route("/kv-lease", post(store_calls::grant))
      .route("/kv-keep/{lease}", post(store_calls::renew))
      .route("/kv-lease-end/{lease}", delete(store_calls::revoke_lease))
      .with_state(self.clone());
    tokio::spawn(store_channel::serve(self.clone(), router, listener));
  }
}

async fn run_lease_expiry(store: PlatformStore) {
  loop {
    sleep(LEASE_CHECK_INTERVAL).await;
    let now = Instant::now();
    let expired = {
      let mut contents = store.contents();
      contents.forget(now);
      contents.expired_leases(now)
    };
    for lease in expired {
      store.update(|contents| contents.revoke_lease(lease));
    }
  }
}
