//! An endpoint that serves on a listener.

use {
  super::{
    box_process::box_index,
    connection::{Connection, EndpointSocket},
    early_ends::EarlyEnds,
    endpoint::{BOX_HEADER, Endpoint, Identity},
    endpoint_kind::EndpointKind,
    exports::Exports,
    framing::Framings,
    garble::GarbledAnswer,
    profile::Profile,
    recorder::Recorder,
    reply::{full_body, parted_body},
    response_draws::ResponseDraws,
    starts::Starts,
  },
  http::{Request, Response},
  hyper::{body::Incoming, server::conn::http1, service::service_fn},
  hyper_util::rt::TokioIo,
  std::{
    future::ready,
    io,
    net::{Ipv4Addr, SocketAddr},
    sync::{
      Arc,
      atomic::{AtomicBool, Ordering},
    },
  },
  tokio::{
    net::{TcpListener, TcpStream},
    sync::mpsc::unbounded_channel,
    task::{JoinHandle, JoinSet},
  },
};

/// An incarnation that serves until this is dropped.
pub(crate) struct RunningEndpoint {
  pub(crate) endpoint: Arc<Endpoint>,
  task: JoinHandle<()>,
}

impl RunningEndpoint {
  pub(crate) fn start(endpoint: Arc<Endpoint>, listener: TcpListener) -> Self {
    let task = tokio::spawn(serve(endpoint.clone(), listener));
    Self { endpoint, task }
  }
}

impl Drop for RunningEndpoint {
  fn drop(&mut self) {
    self.task.abort();
    self.endpoint.drop_exports();
  }
}

/// Serves a connection whose first answer is garbled after one of its parts; the next ones are sound and empty.
pub async fn serve_garbled(
  stream: TcpStream,
  answer: GarbledAnswer,
  parts: &'static [&'static str],
) {
  let connection = Connection::default();
  let socket = EndpointSocket::new(stream, &connection);
  let is_first = AtomicBool::new(true);
  let service = service_fn(move |_: Request<Incoming>| {
    connection.begin_request();
    let response = if is_first.swap(false, Ordering::Relaxed) {
      answer.send(Response::new(parted_body(parts)), 1, &connection)
    } else {
      Response::new(full_body(""))
    };
    ready(Ok::<_, io::Error>(response))
  });
  // The peer sees how the connection ends.
  let _ = http1::Builder::new()
    .serve_connection(TokioIo::new(socket), service)
    .await;
}

/// Serves a connection as an endpoint of a kind, whose incarnation is `i-0`, and that names its starts as given.
pub async fn serve_as(kind: EndpointKind, starts: Starts, stream: TcpStream, recorder: Recorder) {
  let identity = Identity {
    address: SocketAddr::from((Ipv4Addr::LOCALHOST, 0)),
    incarnation: "i-0".into(),
    kind,
    place: 0,
    profile: Profile::of_size(1, 4, 1).with_starts(starts),
    start_number: 1,
    version: "v1",
  };
  let draws = ResponseDraws {
    early_ends: EarlyEnds::WithinEvents,
    framings: Framings::Usual,
    seed: 0,
  };
  let (events, _events) = unbounded_channel();
  let endpoint = Endpoint::new(identity, &recorder, &Exports::default(), events, draws);
  serve_connection(endpoint, stream, 0).await;
}

/// Serves until the task is aborted, which closes all connections.
async fn serve(endpoint: Arc<Endpoint>, listener: TcpListener) {
  let mut connections = JoinSet::new();
  loop {
    let Ok((stream, peer)) = listener.accept().await else {
      return;
    };
    let box_index = box_index(peer.ip());
    connections.spawn(serve_connection(endpoint.clone(), stream, box_index));
    while connections.try_join_next().is_some() {}
  }
}

async fn serve_connection(endpoint: Arc<Endpoint>, stream: TcpStream, box_index: usize) {
  let connection = Connection::default();
  let socket = EndpointSocket::new(stream, &connection);
  let service = service_fn(move |mut request: Request<Incoming>| {
    let headers = request.headers_mut();
    headers.insert(BOX_HEADER, box_index.into());
    if let Some(answer) = connection.begin_request() {
      endpoint.record_garbled(&request, answer);
    }
    endpoint.clone().handle(request, connection.clone())
  });
  // Runs on a lost connection end through their guards.
  let _ = http1::Builder::new()
    .serve_connection(TokioIo::new(socket), service)
    .await;
}
