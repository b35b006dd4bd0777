//! The peers duty: a link to each peer that `decide` talks to, and all links that peers make.

use {
  super::{
    frame::Frame,
    keys::{KeyTimes, LinkConfigs, SharedClient, load},
    link::{FrameSource, Target, send_frames},
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

/// What the peers duty is told.
#[derive(Debug)]
pub(crate) enum PeersInput {
  /// Send a message.
  Send(Name, PeerMessage),
  /// The platform's box list.
  Boxes(Vec<BoxEntry>),
}

/// What the peers duty starts with.
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

struct Desk {
  name: Name,
  endpoint: Endpoint,
  client: SharedClient,
  observer: Observer,
  addresses: HashMap<Name, SocketAddr>,
  links: HashMap<Name, Link>,
}

/// Checks that the keys can be used; done before the process says that it has started.
pub(crate) fn check_keys(keys: &PeerKeys) -> crate::Result {
  load(keys).map(|_| ())
}

/// Runs the peers duty until the process ends.
pub(crate) async fn run(setup: PeersSetup) {
  let (endpoint, client) = match open(&setup) {
    Ok(opened) => opened,
    Err(error) => {
      log::error!("peers: {error}");
      return;
    }
  };
  tokio::spawn(accept(
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
  let mut desk = Desk {
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
        desk.take(input);
      }
    }
    if idle {
      setup.notify.notified().await;
    }
  }
}

fn open(setup: &PeersSetup) -> crate::Result<(Endpoint, SharedClient)> {
  let LinkConfigs { client, server } = load(&setup.keys)?;
  let listen_error = |source| crate::Error::Listen {
    peer: setup.name.to_string(),
    source,
    step: "peers",
  };
  let socket = setup.socket.try_clone().map_err(listen_error)?;
  let runtime = Arc::new(TokioRuntime);
  let endpoint = Endpoint::new(EndpointConfig::default(), Some(server), socket, runtime)
    .map_err(listen_error)?;
  Ok((endpoint, Arc::new(ArcSwap::from_pointee(client))))
}

impl Desk {
  fn take(&mut self, input: PeersInput) {
    match input {
      PeersInput::Boxes(entries) => self.list(&entries),
      PeersInput::Send(to, message) => self.send(to, message),
    }
  }

  fn list(&mut self, entries: &[BoxEntry]) {
    for entry in entries {
      match entry.peer_address.parse() {
        Ok(address) => {
          self.addresses.insert(entry.name.clone(), address);
        }
        Err(error) => log::warn!("box list: {}: {error}", entry.name),
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
    // A full link drops the frame: all that is said between boxes is soft.
    let _ = link.frames.try_send(frame);
  }
}

async fn accept(
  endpoint: Endpoint,
  observer: Observer,
  to_decide: Sender<Event>,
  to_platform: Sender<Vec<Document>>,
) {
  while let Some(incoming) = endpoint.accept().await {
    tokio::spawn(serve_peer(
      incoming,
      observer.clone(),
      to_decide.clone(),
      to_platform.clone(),
    ));
  }
}

async fn serve_peer(
  incoming: Incoming,
  observer: Observer,
  to_decide: Sender<Event>,
  to_platform: Sender<Vec<Document>>,
) {
  let address = incoming.remote_address();
  let connection: Connection = match incoming.await {
    Ok(connection) => connection,
    Err(error) => {
      log::warn!("peer at {address} refused: {error}");
      return;
    }
  };
  while let Ok(stream) = connection.accept_uni().await {
    let mut frames = FrameSource::new(stream);
    while let Some(frame) = frames.next().await {
      observer.clock().update(frame.stamp);
      match frame.message {
        PeerMessage::Documents(documents) => to_platform.send(documents).await,
        message => to_decide.send(Event::Peer(frame.from, message)).await,
      }
    }
  }
}

/// New keys are taken up without a restart; broken ones leave the old in force.
async fn reload_keys(endpoint: Endpoint, shared: SharedClient, keys: PeerKeys) {
  let mut known = KeyTimes::read(&keys);
  loop {
    tokio::time::sleep(KEY_CHECK_PERIOD).await;
    let times = KeyTimes::read(&keys);
    if times == known {
      continue;
    }
    known = times;
    match load(&keys) {
      Ok(LinkConfigs { client, server }) => {
        endpoint.set_server_config(Some(server));
        shared.store(Arc::new(client));
        log::info!("peer keys reloaded");
      }
      Err(error) => log::error!("peer keys not reloaded: {error}"),
    }
  }
}
