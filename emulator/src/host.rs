//! Runs a stand-in on a runtime of its own, so that killing it also drops all its connections.

use {
  axum::Router,
  std::{io, net::SocketAddr},
  tokio::{net::TcpListener, runtime::Runtime},
};

/// A running HTTP server.
pub struct Host {
  address: SocketAddr,
  runtime: Option<Runtime>,
}

impl Host {
  /// Serves a router on a free loopback port.
  pub fn start(router: Router) -> io::Result<Self> {
    Self::start_at(([127, 0, 0, 1], 0).into(), router)
  }

  /// Serves a router on an address.
  pub fn start_at(address: SocketAddr, router: Router) -> io::Result<Self> {
    let runtime = tokio::runtime::Builder::new_multi_thread()
      .worker_threads(1)
      .enable_all()
      .build()?;
    let listener = std::net::TcpListener::bind(address)?;
    listener.set_nonblocking(true)?;
    let address = listener.local_addr()?;
    runtime.spawn(async move { axum::serve(TcpListener::from_std(listener)?, router).await });
    Ok(Self {
      address,
      runtime: Some(runtime),
    })
  }

  /// Address that it listens on.
  pub fn address(&self) -> SocketAddr {
    self.address
  }

  /// Base URL.
  pub fn url(&self) -> String {
    format!("http://{}", self.address)
  }

  /// Stops the server at once and drops its connections.
  pub fn kill(&mut self) {
    if let Some(runtime) = self.runtime.take() {
      runtime.shutdown_background();
    }
  }
}

impl Drop for Host {
  fn drop(&mut self) {
    self.kill();
  }
}
