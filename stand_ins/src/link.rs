//! A loopback TCP proxy in front of one listener, at which connections are delayed, blocked in one or both directions, or
//! reset.

#![expect(
  clippy::disallowed_methods,
  reason = "no guard is held across an await"
)]

use {
  super::{
    cut::Cut, fault_guard::FaultGuard, lateness::Lateness, link_fault::LinkFault, overlap::Overlap,
  },
  rand::{RngExt, SeedableRng},
  rand_chacha::ChaCha8Rng,
  socket2::{Domain, SockRef, Socket, Type},
  std::{
    io,
    net::SocketAddr,
    sync::{
      Arc, Mutex, PoisonError,
      atomic::{AtomicU64, Ordering},
    },
    time::Duration,
  },
  tokio::{
    io::{AsyncReadExt, AsyncWriteExt},
    net::{
      TcpListener, TcpSocket, TcpStream,
      tcp::{OwnedReadHalf, OwnedWriteHalf},
    },
    sync::watch,
    task::spawn_blocking,
    time::sleep,
  },
};

/// Time after which a connection attempt shows that a queue is full.
const FULL_TIMEOUT: Duration = Duration::from_millis(20);
const REOPEN_INTERVAL: Duration = Duration::from_millis(20);
/// Parts of a whole, in which shares are given.
const PPM: u32 = 1_000_000;
const CHUNK_BYTES: usize = 16 * 1024;

/// The current state of a link.
#[derive(Clone, Copy, Debug, Default, Eq, PartialEq)]
struct Condition {
  fault: Option<LinkFault>,
  /// Independent of the fault.
  lateness: Option<Lateness>,
  /// Number of resets so far; connections opened before the last one are reset.
  resets: u64,
  /// The last reset of a share of the connections.
  partial_reset: PartialReset,
  /// Whether one side has lost its power: all traffic is lost, whatever other fault begins or ends.
  is_powerless: bool,
}

/// A reset of some of the connections.
#[derive(Clone, Copy, Debug, Default, Eq, PartialEq)]
struct PartialReset {
  /// Number of such resets so far; only connections opened before the last one are reset.
  number: u64,
  seed: u64,
  share_ppm: u32,
}

impl PartialReset {
  fn strikes(self, connection: u64) -> bool {
    let mut draws = ChaCha8Rng::seed_from_u64(self.seed);
    draws.set_stream(connection);
    draws.random_range(0..PPM) < self.share_ppm
  }
}

/// An open connection.
#[derive(Clone, Copy, Debug)]
struct Opened {
  number: u64,
  /// Numbers of resets when it was opened.
  resets: u64,
  partial_resets: u64,
}

impl Opened {
  fn is_reset(self, now: &Condition) -> bool {
    let partial = now.partial_reset;
    now.resets != self.resets
      || partial.number != self.partial_resets && partial.strikes(self.number)
  }
}

#[derive(Clone, Copy, Debug, Eq, PartialEq)]
enum Direction {
  /// Towards the target.
  Forward,
  /// Back from the target.
  Back,
}

impl Condition {
  fn blocks(self, direction: Direction) -> bool {
    match self.fault {
      _ if self.is_powerless => true,
      Some(LinkFault::Blocked) => true,
      Some(LinkFault::BlockedForward) => direction == Direction::Forward,
      Some(LinkFault::BlockedBack) => direction == Direction::Back,
      Some(LinkFault::Delayed { .. } | LinkFault::Reset) | None => false,
    }
  }

  fn delay(self) -> Duration {
    match self.fault {
      Some(LinkFault::Delayed { delay_ms }) => Duration::from_millis(delay_ms),
      _ => Duration::ZERO,
    }
  }

  /// How late the traffic of a direction is.
  fn lateness(self, direction: Direction) -> Option<Lateness> {
    let lateness = self.lateness?;
    (direction == Direction::Back || !lateness.is_back_only).then_some(lateness)
  }
}

/// A proxy in front of one target.
#[derive(Clone)]
pub struct Link {
  /// Listen address.
  pub address: SocketAddr,
  target: Target,
  condition: watch::Sender<Condition>,
  latenesses: Arc<Mutex<Overlap<Lateness>>>,
  /// Number of connections so far.
  connections: Arc<AtomicU64>,
  /// Whether connection attempts fail, and how.
  closed: watch::Sender<Option<Closed>>,
}

/// The target of links, which may change.
pub type Target = Arc<Mutex<SocketAddr>>;

/// How connection attempts fail.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
enum Closed {
  Refused,
  Unanswered,
  /// Connections are established, and reset at once.
  Reset,
}

impl Link {
  /// Opens a link on a free loopback port. Fails if it can't listen.
  pub async fn open(target: SocketAddr) -> io::Result<Self> {
    let listener = TcpListener::bind("127.0.0.1:0").await?;
    Self::serve(listener, Arc::new(Mutex::new(target)))
  }

  /// Opens a link at an address, to a target that other links share.
  pub async fn open_at(address: SocketAddr, target: &Target) -> io::Result<Self> {
    Self::serve(TcpListener::bind(address).await?, target.clone())
  }

  fn serve(listener: TcpListener, target: Target) -> io::Result<Self> {
    let link = Self {
      address: listener.local_addr()?,
      closed: watch::Sender::default(),
      condition: watch::Sender::default(),
      connections: Arc::default(),
      latenesses: Arc::default(),
      target,
    };
    tokio::spawn(run(listener, link.clone()));
    Ok(link)
  }

  /// Cuts the link until [`end_cut`](Self::end_cut).
  pub fn begin_cut(&self, cut: Cut) {
    if cut == Cut::Hang {
      self.begin_fault(LinkFault::Blocked);
    } else if cut.resets_open() {
      self.begin_fault(LinkFault::Reset);
    }
    let closed = match cut {
      Cut::Hang | Cut::Reset => Closed::Unanswered,
      Cut::RefuseNew | Cut::ResetAndRefuse => Closed::Refused,
      Cut::ResetAll => Closed::Reset,
    };
    self.closed.send_replace(Some(closed));
  }

  /// Connections are possible again.
  pub fn end_cut(&self, cut: Cut) {
    if cut == Cut::Hang {
      self.clear_fault();
    }
    self.closed.send_replace(None);
  }

  /// Forwards new connections to another target.
  pub fn set_target(&self, target: SocketAddr) {
    *self.target.lock().unwrap_or_else(PoisonError::into_inner) = target;
  }

  fn target(&self) -> SocketAddr {
    *self.target.lock().unwrap_or_else(PoisonError::into_inner)
  }

  /// Starts a fault; a reset happens once.
  pub fn begin_fault(&self, fault: LinkFault) {
    self.condition.send_modify(|condition| {
      if fault == LinkFault::Reset {
        condition.resets += 1;
      } else {
        condition.fault = Some(fault);
      }
    });
  }

  /// Resets a share, from 0 to 1, of the open connections, once.
  pub fn reset_share(&self, share: f64, seed: u64) {
    let share_ppm = (share.clamp(0.0, 1.0) * f64::from(PPM)) as u32;
    self.condition.send_modify(|condition| {
      condition.partial_reset = PartialReset {
        number: condition.partial_reset.number + 1,
        seed,
        share_ppm,
      };
    });
  }

  /// Traffic is late until the guard is dropped, whatever other fault begins or ends. Of overlapping ones the last counts.
  pub fn begin_lateness(&self, lateness: Lateness) -> FaultGuard {
    let number = self.change_lateness(|latenesses| latenesses.begin(lateness));
    let link = self.clone();
    FaultGuard::new(move || link.change_lateness(|latenesses| latenesses.end(number)))
  }

  fn change_lateness<T>(&self, change: impl FnOnce(&mut Overlap<Lateness>) -> T) -> T {
    let mut latenesses = self
      .latenesses
      .lock()
      .unwrap_or_else(PoisonError::into_inner);
    let result = change(&mut latenesses);
    let current = latenesses.current().copied();
    self
      .condition
      .send_modify(|condition| condition.lateness = current);
    result
  }

  /// One side loses its power: connections stay open and silent.
  pub fn begin_power_loss(&self) {
    self
      .condition
      .send_modify(|condition| condition.is_powerless = true);
  }

  /// That side is back, and knows none of the open connections.
  pub fn end_power_loss(&self) {
    self.condition.send_modify(|condition| {
      condition.is_powerless = false;
      condition.resets += 1;
    });
  }

  /// Ends the current fault; traffic that was blocked is delivered.
  pub fn clear_fault(&self) {
    self
      .condition
      .send_modify(|condition| condition.fault = None);
  }
}

/// Accepts connections, except while the link is cut.
async fn run(mut listener: TcpListener, link: Link) {
  let mut closed = link.closed.subscribe();
  loop {
    tokio::select! {
      _ = closed.wait_for(Option::is_some) => {}
      () = accept(&listener, &link) => return,
    }
    let now = *closed.borrow();
    if now == Some(Closed::Reset) {
      tokio::select! {
        _ = closed.wait_for(|now| *now != Some(Closed::Reset)) => {}
        () = reset_new(&listener) => return,
      }
      continue;
    }
    drop(listener);
    let blocker = match now {
      Some(Closed::Unanswered) => FullListener::open(link.address).await,
      _ => None,
    };
    if closed.wait_for(Option::is_none).await.is_err() {
      return;
    }
    drop(blocker);
    listener = reopen(link.address).await;
  }
}

/// Listens again at an address; another socket may hold it for a moment.
async fn reopen(address: SocketAddr) -> TcpListener {
  loop {
    if let Ok(listener) = TcpListener::bind(address).await {
      return listener;
    }
    sleep(REOPEN_INTERVAL).await;
  }
}

async fn accept(listener: &TcpListener, link: &Link) {
  while let Ok((caller, _)) = listener.accept().await {
    tokio::spawn(proxy_connection(caller, link.clone()));
  }
}

async fn reset_new(listener: &TcpListener) {
  while let Ok((caller, _)) = listener.accept().await {
    reset(&caller);
  }
}

/// A listener whose queue is full, so that further connection attempts are dropped.
struct FullListener {
  _listener: Option<Socket>,
  _queued: Vec<std::net::TcpStream>,
}

impl FullListener {
  /// Opens it. Attempts are refused if that fails.
  async fn open(address: SocketAddr) -> Option<Self> {
    spawn_blocking(move || Self::fill(address)).await.ok()
  }

  fn fill(address: SocketAddr) -> Self {
    let listener = Self::listen(address).ok();
    let mut queued = Vec::new();
    while let Ok(stream) = std::net::TcpStream::connect_timeout(&address, FULL_TIMEOUT) {
      queued.push(stream);
    }
    Self {
      _listener: listener,
      _queued: queued,
    }
  }

  fn listen(address: SocketAddr) -> io::Result<Socket> {
    let socket = Socket::new(Domain::IPV4, Type::STREAM, None)?;
    socket.set_reuse_address(true)?;
    socket.bind(&address.into())?;
    socket.listen(0)?;
    Ok(socket)
  }
}

/// Forwards one connection until it is closed or reset.
async fn proxy_connection(caller: TcpStream, link: Link) {
  let mut condition = link.condition.subscribe();
  let opened = {
    let now = condition.borrow();
    Opened {
      number: link.connections.fetch_add(1, Ordering::Relaxed),
      partial_resets: now.partial_reset.number,
      resets: now.resets,
    }
  };
  // A connection opened while the link is blocked is established once it is unblocked, if its caller still waits.
  if condition
    .wait_for(|now| !now.blocks(Direction::Forward) || opened.is_reset(now))
    .await
    .is_err()
  {
    return;
  }
  let Ok(target) = connect(&link).await else {
    reset(&caller);
    return;
  };
  let nodelay = caller.set_nodelay(true).and(target.set_nodelay(true));
  if nodelay.is_err() {
    return;
  }
  let sockets = [&caller, &target].map(|stream| SockRef::from(stream).try_clone());
  if copy_both_ways(caller, target, &link, opened).await == CloseKind::Reset {
    for socket in sockets.into_iter().flatten() {
      // The socket may already be closed.
      let _ = socket.set_linger(Some(Duration::ZERO));
    }
  }
}

/// Connects to the target from the link's own host, by which an endpoint recognizes the box.
async fn connect(link: &Link) -> io::Result<TcpStream> {
  let socket = TcpSocket::new_v4()?;
  socket.bind(SocketAddr::new(link.address.ip(), 0))?;
  socket.connect(link.target()).await
}

/// Copies bytes until both directions are closed, or one is reset.
async fn copy_both_ways(
  caller: TcpStream,
  target: TcpStream,
  link: &Link,
  opened: Opened,
) -> CloseKind {
  let (caller_read, caller_write) = caller.into_split();
  let (target_read, target_write) = target.into_split();
  let copier = |from, to, direction| Copier {
    condition: link.condition.subscribe(),
    delays: delays(link.address.port(), opened.number, direction),
    direction,
    from,
    opened,
    to,
  };
  let mut forward = copier(caller_read, target_write, Direction::Forward);
  let mut back = copier(target_read, caller_write, Direction::Back);
  let copied = tokio::try_join!(forward.copy_all(), back.copy_all());
  if copied.is_ok() {
    return CloseKind::Closed;
  }
  for copier in [forward, back] {
    // Dropping the half would send a FIN before the reset.
    copier.to.forget();
  }
  CloseKind::Reset
}

/// The draws of a connection's delays.
fn delays(port: u16, connection: u64, direction: Direction) -> ChaCha8Rng {
  let mut draws = ChaCha8Rng::seed_from_u64(u64::from(port));
  let direction = u64::from(direction == Direction::Back);
  draws.set_stream(2 * connection + direction);
  draws
}

fn reset(stream: &TcpStream) {
  // The socket may already be closed.
  let _ = SockRef::from(stream).set_linger(Some(Duration::ZERO));
}

/// How a connection was closed.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
enum CloseKind {
  /// By the end of both directions.
  Closed,
  /// By a reset of the link, or of the connection on one side.
  Reset,
}

/// One direction of a connection.
struct Copier {
  from: OwnedReadHalf,
  to: OwnedWriteHalf,
  condition: watch::Receiver<Condition>,
  delays: ChaCha8Rng,
  direction: Direction,
  opened: Opened,
}

impl Copier {
  /// Copies bytes until the end of the stream, subject to the link's condition. Fails when the connection or the link was
  /// reset.
  async fn copy_all(&mut self) -> io::Result<()> {
    let mut buffer = vec![0; CHUNK_BYTES];
    let mut watched = self.condition.clone();
    let opened = self.opened;
    loop {
      let count = tokio::select! {
        count = self.from.read(&mut buffer) => count?,
        _ = watched.wait_for(|now| opened.is_reset(now)) => 0,
      };
      let late = self.read_while_late().await;
      let direction = self.direction;
      let now = *self
        .condition
        .wait_for(|now| !now.blocks(direction) || opened.is_reset(now))
        .await
        .map_err(io::Error::other)?;
      if opened.is_reset(&now) {
        return Err(io::ErrorKind::ConnectionReset.into());
      }
      sleep(now.delay()).await;
      if count == 0 {
        return self.to.shutdown().await;
      }
      self.to.write_all(&buffer[..count]).await?;
      self.to.write_all(&late).await?;
    }
  }

  /// Waits while what was read is late. Returns what has arrived behind it meanwhile.
  async fn read_while_late(&mut self) -> Vec<u8> {
    let mut behind = Vec::new();
    let lateness = self.condition.borrow().lateness(self.direction);
    let Some(lateness) = lateness else {
      return behind;
    };
    let delay_ms = self
      .delays
      .random_range(lateness.least_ms..=lateness.most_ms.max(lateness.least_ms));
    sleep(Duration::from_millis(delay_ms)).await;
    // An end or an error is found again by the next read.
    while matches!(self.from.try_read_buf(&mut behind), Ok(1..)) {}
    behind
  }
}
