//! The connections of the simulated store.

use {
  super::{platform_store::PlatformStore, store_condition::StoreCondition},
  axum::Router,
  hyper::{Request, body::Incoming, server::conn::http1, service::service_fn},
  hyper_util::{rt::TokioIo, service::TowerToHyperService},
  socket2::SockRef,
  std::{sync::Arc, time::Duration},
  tokio::{
    net::{TcpListener, TcpStream},
    sync::Notify,
    time::sleep,
  },
};

/// Pause after a connection could not be accepted.
const ACCEPT_PAUSE: Duration = Duration::from_millis(50);

/// The connection of a call, which the handler of the call may close.
#[derive(Clone, Default)]
pub(crate) struct StoreChannel {
  closing: Arc<Notify>,
}

impl StoreChannel {
  /// Closes the connection without a response.
  pub(crate) fn close(&self) {
    self.closing.notify_one();
  }
}

/// Serves the connections of a view.
pub(crate) async fn serve(store: PlatformStore, router: Router, listener: TcpListener) {
  loop {
    match listener.accept().await {
      Ok((stream, _)) => {
        tokio::spawn(serve_connection(store.clone(), router.clone(), stream));
      }
      // Out of descriptors, or the connection was reset before it was accepted.
      Err(_) => sleep(ACCEPT_PAUSE).await,
    }
  }
}

async fn serve_connection(store: PlatformStore, router: Router, stream: TcpStream) {
  let channel = StoreChannel::default();
  let calls = TowerToHyperService::new(router);
  let service = service_fn(|mut request: Request<Incoming>| {
    request.extensions_mut().insert(channel.clone());
    hyper::service::Service::call(&calls, request)
  });
  let mut connection = http1::Builder::new().serve_connection(TokioIo::new(stream), service);
  tokio::select! {
    // The caller sees a failure of its connection itself.
    _ = &mut connection => return,
    () = channel.closing.notified() => return,
    () = wait_for_reset(&store) => {}
  }
  let stream = connection.into_parts().io.into_inner();
  // A connection that has gone already needs no reset.
  let _ = SockRef::from(&stream).set_linger(Some(Duration::ZERO));
}

async fn wait_for_reset(store: &PlatformStore) {
  let mut conditions = store.conditions.subscribe();
  while store.condition() != StoreCondition::Reset {
    if conditions.changed().await.is_err() {
      return;
    }
  }
}
