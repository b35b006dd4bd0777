//! The peers worker: sends messages from `decide` over a link to each peer and accepts links from peers.

use {
  super::{
    frame::Frame,
    link::{FrameReader, Target, send_frames},
    tls::{KeyFileTimes, LinkConfigs, SharedClientConfig, load_configs},
  },
  crate::{
    decide::{BoxEntry, Document, Event, PeerMessage},
    ids::Name,
    observe::Observer,
    ring::{Receiver, Sender},
    settings::PeerKeys,
  },
  arc_swap::ArcSwap,
  quinn::{Connection, Endpoint, EndpointConfig, Incoming, TokioRuntime},
  std::{collections::HashMap, net::SocketAddr, sync::Arc, time::Duration},
  tokio::sync::{Notify, mpsc},
};

const FRAMES_IN_FLIGHT: usize = 256;
const KEY_CHECK_PERIOD: Duration = Duration::from_secs(5);

/// An input to the peers worker.
#[derive(Debug)]
pub(crate) enum PeersInput {
  /// A message to send to a peer.
  Send(Name, PeerMessage),
  /// The platform's box list.
  Boxes(Vec<BoxEntry>),
}

/// Configuration and channels of the peers worker.
pub(crate) struct PeersSetup {
  pub(crate) name: Name,
  pub(crate) socket: std::net::UdpSocket,
  pub(crate) keys: PeerKeys,
  pub(crate) observer: Observer,
  pub(crate) to_decide: Sender<Event>,
  pub(crate) to_platform: Sender<Vec<Document>>,
  pub(crate) inputs: Vec<Receiver<PeersInput>>,
  pub(crate) notify: Arc<Notify>,
}

struct Link {
  address: SocketAddr,
  frames: mpsc::Sender<Frame>,
}

struct Worker {
  name: Name,
  endpoint: Endpoint,
  client: SharedClientConfig,
  observer: Observer,
  addresses: HashMap<Name, SocketAddr>,
  links: HashMap<Name, Link>,
}

/// Checks at startup that the certificate and key files are usable.
pub(crate) fn check_keys(keys: &PeerKeys) -> crate::Result {
  load_configs(keys).map(|_| ())
}

/// Runs the peers worker until the process exits.
pub(crate) async fn run(setup: PeersSetup) {
  let (endpoint, client) = match open_endpoint(&setup) {
    Ok(opened) => opened,
    Err(error) => {
      log::error!("peers worker not started: {error}");
      return;
    }
  };
  tokio::spawn(accept_links(
    endpoint.clone(),
    setup.observer.clone(),
    setup.to_decide.clone(),
    setup.to_platform.clone(),
  ));
  tokio::spawn(reload_keys(
    endpoint.clone(),
    client.clone(),
    setup.keys.clone(),
  ));
  let mut worker = Worker {
    addresses: HashMap::new(),
    client,
    endpoint,
    links: HashMap::new(),
    name: setup.name,
    observer: setup.observer,
  };
  let mut inputs = setup.inputs;
  loop {
    let mut idle = true;
    for input in &mut inputs {
      while let Some(input) = input.pop() {
        idle = false;
        worker.handle_input(input);
      }
    }
    if idle {
      setup.notify.notified().await;
    }
  }
}

fn open_endpoint(setup: &PeersSetup) -> crate::Result<(Endpoint, SharedClientConfig)> {
  let LinkConfigs { client, server } = load_configs(&setup.keys)?;
  let listen_error = |source| crate::Error::Listen {
    address: setup.name.to_string(),
    purpose: "peers",
    source,
  };
  let socket = setup.socket.try_clone().map_err(listen_error)?;
  let runtime = Arc::new(TokioRuntime);
  let endpoint = Endpoint::new(EndpointConfig::default(), Some(server), socket, runtime)
    .map_err(listen_error)?;
  Ok((endpoint, Arc::new(ArcSwap::from_pointee(client))))
}

impl Worker {
  fn handle_input(&mut self, input: PeersInput) {
    match input {
      PeersInput::Boxes(entries) => self.update_addresses(&entries),
      PeersInput::Send(to, message) => self.send(to, message),
    }
  }

  fn update_addresses(&mut self, entries: &[BoxEntry]) {
    for entry in entries {
      match entry.peer_address.parse() {
        Ok(address) => {
          self.addresses.insert(entry.name.clone(), address);
        }
        Err(error) => log::warn!("box list: invalid peer address of {}: {error}", entry.name),
      }
    }
    let addresses = &self.addresses;
    self
      .links
      .retain(|name, link| addresses.get(name) == Some(&link.address));
  }

  fn send(&mut self, to: Name, message: PeerMessage) {
    let Some(address) = self.addresses.get(&to).copied() else {
      return;
    };
    let frame = Frame {
      from: self.name.clone(),
      message,
      stamp: self.observer.clock().tick(),
    };
    let endpoint = self.endpoint.clone();
    let client = self.client.clone();
    let link = self.links.entry(to.clone()).or_insert_with(|| {
      let (frames, receiver) = mpsc::channel(FRAMES_IN_FLIGHT);
      let target = Target {
        address,
        name: to.to_string(),
      };
      tokio::spawn(send_frames(endpoint, client, target, receiver));
      Link { address, frames }
    });
    // Delivery between boxes is best effort: a frame is dropped when the link's queue is full.
    let _ = link.frames.try_send(frame);
  }
}

async fn accept_links(
  endpoint: Endpoint,
  observer: Observer,
  to_decide: Sender<Event>,
  to_platform: Sender<Vec<Document>>,
) {
  while let Some(incoming) = endpoint.accept().await {
    tokio::spawn(serve_link(
      incoming,
      observer.clone(),
      to_decide.clone(),
      to_platform.clone(),
    ));
  }
}

async fn serve_link(
  incoming: Incoming,
  observer: Observer,
  to_decide: Sender<Event>,
  to_platform: Sender<Vec<Document>>,
) {
  let address = incoming.remote_address();
  let connection: Connection = match incoming.await {
    Ok(connection) => connection,
    Err(error) => {
      log::warn!("peer link from {address} refused: {error}");
      return;
    }
  };
  while let Ok(stream) = connection.accept_uni().await {
    let mut frames = FrameReader::new(stream);
    while let Some(frame) = frames.next().await {
      observer.clock().update(frame.stamp);
      match frame.message {
        PeerMessage::Documents(documents) => to_platform.send(documents).await,
        message => to_decide.send(Event::Peer(frame.from, message)).await,
      }
    }
  }
}

/// Reloads certificates and keys when their files change; keeps the old ones if the new ones are unusable.
async fn reload_keys(endpoint: Endpoint, shared: SharedClientConfig, keys: PeerKeys) {
  let mut known = KeyFileTimes::read(&keys);
  loop {
    tokio::time::sleep(KEY_CHECK_PERIOD).await;
    let times = KeyFileTimes::read(&keys);
    if times == known {
      continue;
    }
    known = times;
    match load_configs(&keys) {
      Ok(LinkConfigs { client, server }) => {
        endpoint.set_server_config(Some(server));
        shared.store(Arc::new(client));
        log::info!("peer keys reloaded");
      }
      Err(error) => log::error!("peer keys not reloaded, the previous ones stay in use: {error}"),
    }
  }
}
