//! A loopback TCP proxy before one listener: the place where connections are delayed, cut one way, silenced or
//! reset.

use {
  super::fault::LinkFault,
  socket2::SockRef,
  std::{
    io,
    net::SocketAddr,
    sync::{Arc, Mutex, PoisonError},
    time::Duration,
  },
  tokio::{
    io::{AsyncReadExt, AsyncWriteExt},
    net::{
      TcpListener, TcpStream,
      tcp::{OwnedReadHalf, OwnedWriteHalf},
    },
    sync::watch,
    time::sleep,
  },
};

/// Bytes that are moved at once.
const CHUNK_BYTES: usize = 16 * 1024;

/// What a link does with bytes now.
#[derive(Clone, Copy, Debug, Default, Eq, PartialEq)]
struct Condition {
  fault: Option<LinkFault>,
  /// Connections made before it rose are reset.
  resets: u64,
}

/// Which way bytes go.
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
}

/// A proxied way to one target.
#[derive(Clone)]
pub(crate) struct Link {
  /// Where connections are taken.
  pub(crate) address: SocketAddr,
  target: Arc<Mutex<SocketAddr>>,
  condition: watch::Sender<Condition>,
}

impl Link {
  /// Opens a link on a free loopback port.
  pub(crate) async fn open(target: SocketAddr) -> io::Result<Self> {
    let listener = TcpListener::bind("127.0.0.1:0").await?;
    let link = Self {
      address: listener.local_addr()?,
      condition: watch::Sender::default(),
      target: Arc::new(Mutex::new(target)),
    };
    tokio::spawn(accept(listener, link.clone()));
    Ok(link)
  }

  /// New connections go elsewhere.
  pub(crate) fn set_target(&self, target: SocketAddr) {
    *self.target.lock().unwrap_or_else(PoisonError::into_inner) = target;
  }

  fn target(&self) -> SocketAddr {
    *self.target.lock().unwrap_or_else(PoisonError::into_inner)
  }

  /// Begins a fault; a reset strikes once.
  pub(crate) fn begin(&self, fault: LinkFault) {
    self.condition.send_modify(|condition| {
      if fault == LinkFault::Reset {
        condition.resets += 1;
      } else {
        condition.fault = Some(fault);
      }
    });
  }

  /// Ends the present fault; bytes that were held pass.
  pub(crate) fn clear(&self) {
    self
      .condition
      .send_modify(|condition| condition.fault = None);
  }
}

async fn accept(listener: TcpListener, link: Link) {
  while let Ok((caller, _)) = listener.accept().await {
    tokio::spawn(proxy_connection(caller, link.clone()));
  }
}

/// Carries one connection to its end, or until it is reset.
async fn proxy_connection(caller: TcpStream, link: Link) {
  let mut condition = link.condition.subscribe();
  let resets = condition.borrow().resets;
  // A connection through a cut comes up once the cut is mended, if its caller still waits.
  if condition
    .wait_for(|now| !now.blocks(Direction::Forward) || now.resets != resets)
    .await
    .is_err()
  {
    return;
  }
  let Ok(target) = TcpStream::connect(link.target()).await else {
    reset(&caller);
    return;
  };
  let small_packets = caller.set_nodelay(true).and(target.set_nodelay(true));
  if small_packets.is_err() {
    return;
  }
  let sockets = [&caller, &target].map(|stream| SockRef::from(stream).try_clone());
  if copy_both_ways(caller, target, &link, resets).await == CloseKind::Reset {
    for socket in sockets.into_iter().flatten() {
      // A socket that has closed by itself needs no reset.
      let _ = socket.set_linger(Some(Duration::ZERO));
    }
  }
}

/// Moves bytes until both directions have ended, or one is reset.
async fn copy_both_ways(
  caller: TcpStream,
  target: TcpStream,
  link: &Link,
  resets: u64,
) -> CloseKind {
  let (caller_read, caller_write) = caller.into_split();
  let (target_read, target_write) = target.into_split();
  let copier = |from, to, direction| Copier {
    condition: link.condition.subscribe(),
    direction,
    from,
    resets,
    to,
  };
  let forward = copier(caller_read, target_write, Direction::Forward);
  let back = copier(target_read, caller_write, Direction::Back);
  match tokio::join!(forward.run(), back.run()) {
    (CloseKind::Closed, CloseKind::Closed) => CloseKind::Closed,
    _ => CloseKind::Reset,
  }
}

fn reset(stream: &TcpStream) {
  // A socket that has closed by itself needs no reset.
  let _ = SockRef::from(stream).set_linger(Some(Duration::ZERO));
}

/// How one direction ended.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
enum CloseKind {
  /// With an end of the bytes.
  Closed,
  /// By a reset of the link, or of the connection on one side.
  Reset,
}

/// One direction of a connection.
struct Copier {
  from: OwnedReadHalf,
  to: OwnedWriteHalf,
  condition: watch::Receiver<Condition>,
  direction: Direction,
  /// The link's resets when the connection was made.
  resets: u64,
}

impl Copier {
  /// Moves bytes until the end, as far as the link's condition allows.
  async fn run(mut self) -> CloseKind {
    match self.copy_all().await {
      Ok(()) => CloseKind::Closed,
      Err(_) => {
        // Dropped, it would say an orderly end before the reset.
        self.to.forget();
        CloseKind::Reset
      }
    }
  }

  /// Fails when the connection or the link was reset.
  async fn copy_all(&mut self) -> io::Result<()> {
    let mut buffer = vec![0; CHUNK_BYTES];
    let mut watched = self.condition.clone();
    let resets = self.resets;
    loop {
      let count = tokio::select! {
        count = self.from.read(&mut buffer) => count?,
        _ = watched.wait_for(|now| now.resets != resets) => 0,
      };
      let direction = self.direction;
      let now = *self
        .condition
        .wait_for(|now| !now.blocks(direction) || now.resets != resets)
        .await
        .map_err(io::Error::other)?;
      if now.resets != resets {
        return Err(io::ErrorKind::ConnectionReset.into());
      }
      sleep(now.delay()).await;
      if count == 0 {
        return self.to.shutdown().await;
      }
      self.to.write_all(&buffer[..count]).await?;
    }
  }
}
