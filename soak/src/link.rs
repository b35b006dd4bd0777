//! A loopback TCP proxy in front of one listener, at which connections are delayed, blocked in one or both directions, or
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

const CHUNK_BYTES: usize = 16 * 1024;

/// The current state of a link.
#[derive(Clone, Copy, Debug, Default, Eq, PartialEq)]
struct Condition {
  fault: Option<LinkFault>,
  /// Number of resets so far; connections opened before the last one are reset.
  resets: u64,
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

/// A proxy in front of one target.
#[derive(Clone)]
pub(crate) struct Link {
  /// Listen address.
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

  /// Forwards new connections to another target.
  pub(crate) fn set_target(&self, target: SocketAddr) {
    *self.target.lock().unwrap_or_else(PoisonError::into_inner) = target;
  }

  fn target(&self) -> SocketAddr {
    *self.target.lock().unwrap_or_else(PoisonError::into_inner)
  }

  /// Starts a fault; a reset happens once.
  pub(crate) fn begin_fault(&self, fault: LinkFault) {
    self.condition.send_modify(|condition| {
      if fault == LinkFault::Reset {
        condition.resets += 1;
      } else {
        condition.fault = Some(fault);
      }
    });
  }

  /// Ends the current fault; traffic that was blocked is delivered.
  pub(crate) fn clear_fault(&self) {
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

/// Forwards one connection until it is closed or reset.
async fn proxy_connection(caller: TcpStream, link: Link) {
  let mut condition = link.condition.subscribe();
  let resets = condition.borrow().resets;
  // A connection opened while the link is blocked is established once it is unblocked, if its caller still waits.
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
  let nodelay = caller.set_nodelay(true).and(target.set_nodelay(true));
  if nodelay.is_err() {
    return;
  }
  let sockets = [&caller, &target].map(|stream| SockRef::from(stream).try_clone());
  if copy_both_ways(caller, target, &link, resets).await == CloseKind::Reset {
    for socket in sockets.into_iter().flatten() {
      // The socket may already be closed.
      let _ = socket.set_linger(Some(Duration::ZERO));
    }
  }
}

/// Copies bytes until both directions are closed, or one is reset.
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
  // The socket may already be closed.
  let _ = SockRef::from(stream).set_linger(Some(Duration::ZERO));
}

/// How one direction was closed.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
enum CloseKind {
  /// By the end of the stream.
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
  /// Number of resets of the link when the connection was opened.
  resets: u64,
}

impl Copier {
  /// Copies bytes until the end of the stream, subject to the link's condition.
  async fn run(mut self) -> CloseKind {
    match self.copy_all().await {
      Ok(()) => CloseKind::Closed,
      Err(_) => {
        // Dropping the half would send a FIN before the reset.
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
