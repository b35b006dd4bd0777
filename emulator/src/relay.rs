//! A UDP relay before a box's peer address: the place where links between boxes can be cut.

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

const MOST_DATAGRAM: usize = 65_536;
const READ_TIMEOUT: Duration = Duration::from_millis(50);

/// A relay to one box. Senders are known by their own peer addresses.
pub struct Relay {
  address: SocketAddr,
  cut: Arc<Mutex<BTreeSet<SocketAddr>>>,
  ended: Arc<AtomicBool>,
}

impl Relay {
  /// Relays to a target until dropped.
  pub fn start(target: SocketAddr) -> io::Result<Self> {
    let socket = UdpSocket::bind(("127.0.0.1", 0))?;
    socket.set_read_timeout(Some(READ_TIMEOUT))?;
    let relay = Self {
      address: socket.local_addr()?,
      cut: Arc::default(),
      ended: Arc::default(),
    };
    let (cut, ended) = (relay.cut.clone(), relay.ended.clone());
    thread::spawn(move || forward(&socket, target, &cut, &ended));
    Ok(relay)
  }

  /// Where senders reach the target.
  pub fn address(&self) -> SocketAddr {
    self.address
  }

  /// Drops all that comes from, and goes back to, these senders.
  pub fn cut(&self, senders: impl IntoIterator<Item = SocketAddr>) {
    let mut cut = self.cut.lock().unwrap_or_else(PoisonError::into_inner);
    *cut = senders.into_iter().collect();
  }
}

impl Drop for Relay {
  fn drop(&mut self) {
    self.ended.store(true, Ordering::Relaxed);
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
  ended: &Arc<AtomicBool>,
) {
  let mut buffer = vec![0; MOST_DATAGRAM];
  let mut ways = HashMap::<SocketAddr, UdpSocket>::new();
  while !ended.load(Ordering::Relaxed) {
    let Ok((length, sender)) = socket.recv_from(&mut buffer) else {
      continue;
    };
    if is_cut(cut, &sender) {
      continue;
    }
    let way = match ways.entry(sender) {
      Entry::Occupied(way) => way.into_mut(),
      Entry::Vacant(place) => match open_way(socket, sender, target, cut, ended) {
        Ok(way) => place.insert(way),
        Err(_) => continue,
      },
    };
    let _ = way.send(&buffer[..length]);
  }
}

/// A socket of its own for each sender, so that answers find their way back.
fn open_way(
  socket: &UdpSocket,
  sender: SocketAddr,
  target: SocketAddr,
  cut: &Arc<Mutex<BTreeSet<SocketAddr>>>,
  ended: &Arc<AtomicBool>,
) -> io::Result<UdpSocket> {
  let way = UdpSocket::bind(("127.0.0.1", 0))?;
  way.connect(target)?;
  way.set_read_timeout(Some(READ_TIMEOUT))?;
  let back = way.try_clone()?;
  let front = socket.try_clone()?;
  let (cut, ended) = (cut.clone(), ended.clone());
  thread::spawn(move || {
    let mut buffer = vec![0; MOST_DATAGRAM];
    while !ended.load(Ordering::Relaxed) {
      if let Ok(length) = back.recv(&mut buffer)
        && !is_cut(&cut, &sender)
      {
        let _ = front.send_to(&buffer[..length], sender);
      }
    }
  });
  Ok(way)
}
