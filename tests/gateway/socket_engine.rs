//! A decode engine whose sockets are all in one place, so that they end in one moment, as those of a killed process do.

use {
  super::{
    EndpointStandIn, ReceivedRequest, Reply,
    endpoint::{engine_reply, parse_head, take_request, unsent_bytes},
    stream_framing::is_stream,
  },
  emulator::own_addresses,
  futures_util::FutureExt,
  socket2::SockRef,
  std::{
    net::SocketAddr,
    sync::{
      Arc,
      atomic::{AtomicBool, Ordering},
    },
    time::Duration,
  },
  tokio::{
    io::AsyncWriteExt,
    net::{TcpListener, TcpStream},
    time::sleep,
  },
};

/// The pause of an engine that has nothing to read.
const READ_PAUSE: Duration = Duration::from_millis(1);

/// Size of a receive buffer that the kernel raises to its least.
const SMALLEST_BUFFER_BYTES: usize = 1;
const USUAL_BUFFER_BYTES: usize = 128 * 1024;

/// How an engine ends the connection of a stream.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub(super) enum SocketEnd {
  /// Not at all.
  Kept,
  /// Closes it, and lives on.
  Closed,
  /// Resets it, and lives on.
  Reset,
  /// Ends with all of its sockets at once: those with nothing unread are closed, others are reset.
  Died,
}

/// Whether an engine reads the body of a stream's request.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub(super) enum BodyRead {
  Whole,
  /// Not at all: the kernel resets a connection that is closed with unread bytes.
  Not,
}

/// When a connection ends.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub(super) enum EndTime {
  /// Right after the last byte.
  AtOnce,
  /// When the test tells the engine.
  WhenTold,
}

/// The answer to a stream's request.
#[derive(Clone, Debug)]
pub(super) struct SocketAnswer {
  /// Written one after another.
  pub(super) writes: Vec<Vec<u8>>,
  pub(super) body_read: BodyRead,
  pub(super) end: SocketEnd,
  pub(super) end_time: EndTime,
}

/// What another endpoint at the address of one that has ended answers.
pub(super) type Successor = Arc<dyn Fn(&ReceivedRequest) -> Reply + Send + Sync>;

type Script = Arc<dyn Fn(&ReceivedRequest) -> SocketAnswer + Send + Sync>;

/// A decode engine.
pub(super) struct SocketEngine {
  pub(super) address: SocketAddr,
  is_told_to_end: Arc<AtomicBool>,
}

impl SocketEngine {
  /// An engine; where a successor is given, another endpoint listens at its address as soon as it has ended.
  pub(super) async fn start(
    script: impl Fn(&ReceivedRequest) -> SocketAnswer + Send + Sync + 'static,
    successor: Option<Successor>,
  ) -> Self {
    let [address] = own_addresses();
    let is_told_to_end = Arc::<AtomicBool>::default();
    let listener = TcpListener::bind(address).await.unwrap();
    // Inherited by each connection, so that a box waits in the write of a long request that is not read.
    let socket = SockRef::from(&listener);
    socket.set_recv_buffer_size(SMALLEST_BUFFER_BYTES).unwrap();
    let running = RunningEngine {
      connections: Vec::new(),
      listener,
      script: Arc::new(script),
      is_told_to_end: is_told_to_end.clone(),
    };
    tokio::spawn(async move {
      running.serve_until_death().await;
      if let Some(successor) = successor {
        EndpointStandIn::start_at(address, move |seen| successor(seen), |_, _| ()).await;
      }
    });
    Self {
      address,
      is_told_to_end,
    }
  }

  /// Ends the connections, or the engine, of all answers that wait for it.
  pub(super) fn end(&self) {
    self.is_told_to_end.store(true, Ordering::Relaxed);
  }
}

struct SocketConnection {
  stream: TcpStream,
  bytes: Vec<u8>,
  /// Whether the head of a request has arrived whose body is read.
  reads_body: bool,
  /// How a connection ends that has an answer.
  end: Option<(SocketEnd, EndTime)>,
}

struct RunningEngine {
  listener: TcpListener,
  connections: Vec<SocketConnection>,
  script: Script,
  is_told_to_end: Arc<AtomicBool>,
}

impl RunningEngine {
  async fn serve_until_death(mut self) {
    loop {
      while let Some(Ok((stream, _))) = self.listener.accept().now_or_never() {
        stream.set_nodelay(true).unwrap();
        self.connections.push(SocketConnection {
          bytes: Vec::new(),
          end: None,
          reads_body: false,
          stream,
        });
      }
      for mut connection in std::mem::take(&mut self.connections) {
        if connection.serve(&self.script).await {
          self.connections.push(connection);
        }
      }
      if self.end_connections() {
        // Drops all sockets.
        return;
      }
      sleep(READ_PAUSE).await;
    }
  }

  /// Ends the connections that are to end now; returns whether the engine dies.
  fn end_connections(&mut self) -> bool {
    let is_told = self.is_told_to_end.load(Ordering::Relaxed);
    let mut dies = false;
    self.connections.retain(|connection| {
      let Some((end, end_time)) = connection.end else {
        return true;
      };
      if end_time == EndTime::WhenTold && !is_told {
        return true;
      }
      match end {
        SocketEnd::Kept => return true,
        SocketEnd::Died => {
          dies = true;
          return true;
        }
        SocketEnd::Closed => {}
        SocketEnd::Reset => SockRef::from(&connection.stream)
          .set_linger(Some(Duration::ZERO))
          .unwrap(),
      }
      false
    });
    dies
  }
}

impl SocketConnection {
  /// Reads and answers requests, as far as they have arrived; `false` when the peer has closed the connection.
  async fn serve(&mut self, script: &Script) -> bool {
    let mut buffer = [0; 4096];
    loop {
      if self.end.is_some_and(|(end, _)| end != SocketEnd::Kept) {
        return true;
      }
      // Nothing behind a head is read before it is known whether the body is to be read.
      let room = if self.reads_body { buffer.len() } else { 1 };
      match self.stream.try_read(&mut buffer[..room]) {
        Ok(0) => return false,
        Ok(count) => self.bytes.extend_from_slice(&buffer[..count]),
        Err(error) => return error.kind() == std::io::ErrorKind::WouldBlock,
      }
      if !self.answer(script).await {
        return false;
      }
    }
  }

  /// Goes on to read a long body.
  fn read_body(&mut self) {
    let socket = SockRef::from(&self.stream);
    socket.set_recv_buffer_size(USUAL_BUFFER_BYTES).unwrap();
    self.reads_body = true;
  }

  /// Answers a request that has arrived.
  async fn answer(&mut self, script: &Script) -> bool {
    let peer = self.stream.peer_addr().unwrap();
    let Some(head) = parse_head(&self.bytes, peer, 1) else {
      return true;
    };
    if !is_stream(&head) {
      let Some(request) = take_request(&mut self.bytes, peer, 1) else {
        return true;
      };
      let Reply::Write(text) = engine_reply(&request, "") else {
        panic!("a reply that is no text");
      };
      return self.stream.write_all(text.as_bytes()).await.is_ok();
    }
    let answer = script(&head);
    if answer.body_read == BodyRead::Whole {
      if take_request(&mut self.bytes, peer, 1).is_none() {
        self.read_body();
        return true;
      }
      self.reads_body = false;
    }
    for bytes in &answer.writes {
      if self.stream.write_all(bytes).await.is_err() {
        return false;
      }
    }
    // A reset discards what the peer's kernel has not taken yet.
    while unsent_bytes(&self.stream) > 0 {
      sleep(READ_PAUSE).await;
    }
    self.end = Some((answer.end, answer.end_time));
    true
  }
}
