//! A UDP relay in front of a box's peer address, which can drop the datagrams of chosen senders to simulate partitions.

use std::{
  collections::{BTreeSet, HashMap, hash_map::Entry},
  io,
  net::{SocketAddr, UdpSocket},
  sync::{
    Arc, Mutex, PoisonError,
    atomic::{AtomicBool, Ordering},
  },
  thread,
  time::Duration,
};

const MAX_DATAGRAM_BYTES: usize = 65_536;
const READ_TIMEOUT: Duration = Duration::from_millis(50);

/// A relay to one box. Senders are identified by their peer address.
pub struct Relay {
  address: SocketAddr,
  cut: Arc<Mutex<BTreeSet<SocketAddr>>>,
  stopped: Arc<AtomicBool>,
}

impl Relay {
  /// Starts to relay to `target`, until dropped.
  pub fn start(target: SocketAddr) -> io::Result<Self> {
    let socket = UdpSocket::bind(("127.0.0.1", 0))?;
    socket.set_read_timeout(Some(READ_TIMEOUT))?;
    let relay = Self {
      address: socket.local_addr()?,
      cut: Arc::default(),
      stopped: Arc::default(),
    };
    let (cut, stopped) = (relay.cut.clone(), relay.stopped.clone());
    thread::spawn(move || forward(&socket, target, &cut, &stopped));
    Ok(relay)
  }

  /// Address at which senders reach the target.
  pub fn address(&self) -> SocketAddr {
    self.address
  }

  /// Drops datagrams from and to these senders only; earlier cuts are replaced.
  pub fn cut(&self, senders: impl IntoIterator<Item = SocketAddr>) {
    let mut cut = self.cut.lock().unwrap_or_else(PoisonError::into_inner);
    *cut = senders.into_iter().collect();
  }
}

impl Drop for Relay {
  fn drop(&mut self) {
    self.stopped.store(true, Ordering::Relaxed);
  }
}

fn is_cut(cut: &Mutex<BTreeSet<SocketAddr>>, sender: &SocketAddr) -> bool {
  cut
    .lock()
    .unwrap_or_else(PoisonError::into_inner)
    .contains(sender)
}

fn forward(
  socket: &UdpSocket,
  target: SocketAddr,
  cut: &Arc<Mutex<BTreeSet<SocketAddr>>>,
  stopped: &Arc<AtomicBool>,
) {
  let mut buffer = vec![0; MAX_DATAGRAM_BYTES];
  let mut sockets = HashMap::<SocketAddr, UdpSocket>::new();
  while !stopped.load(Ordering::Relaxed) {
    let Ok((length, sender)) = socket.recv_from(&mut buffer) else {
      continue;
    };
    if is_cut(cut, &sender) {
      continue;
    }
    let upstream = match sockets.entry(sender) {
      Entry::Occupied(upstream) => upstream.into_mut(),
      Entry::Vacant(entry) => match connect_for_sender(socket, sender, target, cut, stopped) {
        Ok(upstream) => entry.insert(upstream),
        Err(_) => continue,
      },
    };
    let _ = upstream.send(&buffer[..length]);
  }
}

/// Opens a socket to the target for one sender, so that replies can be routed back to it.
fn connect_for_sender(
  socket: &UdpSocket,
  sender: SocketAddr,
  target: SocketAddr,
  cut: &Arc<Mutex<BTreeSet<SocketAddr>>>,
  stopped: &Arc<AtomicBool>,
) -> io::Result<UdpSocket> {
  let upstream = UdpSocket::bind(("127.0.0.1", 0))?;
  upstream.connect(target)?;
  upstream.set_read_timeout(Some(READ_TIMEOUT))?;
  let replies = upstream.try_clone()?;
  let downstream = socket.try_clone()?;
  let (cut, stopped) = (cut.clone(), stopped.clone());
  thread::spawn(move || {
    let mut buffer = vec![0; MAX_DATAGRAM_BYTES];
    while !stopped.load(Ordering::Relaxed) {
      if let Ok(length) = replies.recv(&mut buffer)
        && !is_cut(&cut, &sender)
      {
        let _ = downstream.send_to(&buffer[..length], sender);
      }
    }
  });
  Ok(upstream)
}
