//! A proxy between callers and a box that plants breaches in streams.

use {
  judge::Clause,
  std::{
    io,
    net::SocketAddr,
    sync::{
      Arc, Mutex,
      atomic::{AtomicUsize, Ordering},
    },
    time::Duration,
  },
  tokio::{
    io::{AsyncReadExt, AsyncWriteExt},
    net::{TcpListener, TcpStream},
    task::JoinSet,
  },
};

const LAST_CHUNK: &[u8] = b"0\r\n\r\n";
/// The event at which a breach is planted, counted from 0.
const STRUCK_EVENT: usize = 3;

/// What is planted in a stream.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub(super) enum Breach {
  /// An event is left out.
  Drop,
  /// An event comes twice.
  Repeat,
  /// The answer ends as if it were whole.
  EndEarly,
}

impl Breach {
  const ALL: [Self; 3] = [Self::Drop, Self::Repeat, Self::EndEarly];

  /// The clause that it breaks.
  pub(super) fn clause(self) -> Clause {
    match self {
      Self::Drop => Clause::Absent,
      Self::Repeat => Clause::Twice,
      Self::EndEarly => Clause::EndsEarly,
    }
  }
}

/// A breach in the answer to a request.
#[derive(Clone, Debug)]
pub(super) struct Planted {
  pub(super) breach: Breach,
  pub(super) request: String,
  /// Whether the answer was passed on to its end.
  pub(super) is_whole: bool,
}

/// The breaches planted by all proxies of a test.
#[derive(Clone, Default)]
pub(super) struct Plants {
  list: Arc<Mutex<Vec<Planted>>>,
  count: Arc<AtomicUsize>,
}

impl Plants {
  pub(super) fn list(&self) -> Vec<Planted> {
    self.list.lock().unwrap().clone()
  }

  fn next(&self) -> Breach {
    Breach::ALL[self.count.fetch_add(1, Ordering::Relaxed) % Breach::ALL.len()]
  }

  fn add(&self, breach: Breach, request: &str) {
    self.list.lock().unwrap().push(Planted {
      breach,
      is_whole: false,
      request: request.into(),
    });
  }

  fn end(&self, request: &str) {
    let mut list = self.list.lock().unwrap();
    for planted in list.iter_mut().filter(|of| of.request == request) {
      planted.is_whole = true;
    }
  }
}

/// Passes connections on to a box. Each stream of its answers that resumes no other one gets a breach.
pub(super) async fn start(at: SocketAddr, to: SocketAddr, plants: Plants, tasks: &mut JoinSet<()>) {
  let listener = TcpListener::bind(at).await.unwrap();
  tasks.spawn(async move {
    let mut connections = JoinSet::new();
    while let Ok((caller, _)) = listener.accept().await {
      let plants = plants.clone();
      connections.spawn(async move {
        // Like the box, it closes or resets the connection; the box is not up at first.
        let _ = pass_on(caller, to, plants).await;
      });
    }
  });
}

async fn pass_on(mut caller: TcpStream, to: SocketAddr, plants: Plants) -> io::Result<()> {
  let mut target = TcpStream::connect(to).await?;
  caller.set_nodelay(true)?;
  let mut editor = Editor::new(plants);
  let (mut sent, mut received) = (Vec::new(), Vec::new());
  loop {
    tokio::select! {
      read = caller.read_buf(&mut sent) => {
        if read? == 0 {
          return Ok(());
        }
        target.write_all(&sent).await?;
        editor.request.append(&mut sent);
      }
      read = target.read_buf(&mut received) => match read {
        Ok(0) => return Ok(()),
        Ok(_) => {
          caller.write_all(&editor.edit(&mut received)).await?;
          editor.passed_on();
        }
        Err(error) => {
          socket2::SockRef::from(&caller).set_linger(Some(Duration::ZERO))?;
          return Err(error);
        }
      },
    }
  }
}

/// How far an answer has been read.
#[derive(Clone, Copy, Debug)]
enum Reading {
  Head,
  Chunks,
  Length(usize),
}

/// Edits the answers of one connection.
struct Editor {
  plants: Plants,
  /// What the caller has sent since the last answer's head.
  request: Vec<u8>,
  reading: Reading,
  id: String,
  breach: Option<Breach>,
  /// Bytes of the current event.
  event: Vec<u8>,
  /// Events of the answer so far.
  count: usize,
  /// Whether the answer has ended for the caller, while the box goes on.
  is_over: bool,
  /// The answer whose end is to be passed on next.
  ended: Option<String>,
}

impl Editor {
  fn new(plants: Plants) -> Self {
    Self {
      breach: None,
      count: 0,
      ended: None,
      event: Vec::new(),
      id: String::new(),
      is_over: false,
      plants,
      reading: Reading::Head,
      request: Vec::new(),
    }
  }

  /// Takes all that is whole from what was received, and gives what the caller gets.
  fn edit(&mut self, received: &mut Vec<u8>) -> Vec<u8> {
    let mut output = Vec::new();
    loop {
      let taken = match self.reading {
        Reading::Head => self.head(received, &mut output),
        Reading::Chunks => self.chunk(received, &mut output),
        Reading::Length(left) => {
          let length = left.min(received.len());
          output.extend_from_slice(&received[..length]);
          self.reading = match left - length {
            0 => Reading::Head,
            left => Reading::Length(left),
          };
          length
        }
      };
      if taken == 0 {
        return output;
      }
      received.drain(..taken);
    }
  }

  /// What `edit` gave has been written.
  fn passed_on(&mut self) {
    if let Some(request) = self.ended.take() {
      self.plants.end(&request);
    }
  }

  fn head(&mut self, received: &[u8], output: &mut Vec<u8>) -> usize {
    let Some(at) = find(received, b"\r\n\r\n") else {
      return 0;
    };
    let head = &received[..at + 4];
    output.extend_from_slice(head);
    let head = String::from_utf8_lossy(head).to_lowercase();
    let request = String::from_utf8_lossy(&self.request).into_owned();
    let id = request.rsplit_once("X-Request-Id: ");
    self.id = id.unwrap().1.lines().next().unwrap().trim().into();
    self.request.clear();
    let is_stream = head.contains("text/event-stream") && head.starts_with("http/1.1 200");
    let is_first = !request.contains("Last-Event-Id");
    self.breach = (is_stream && is_first).then(|| self.plants.next());
    self.event.clear();
    (self.count, self.is_over) = (0, false);
    self.reading = if head.contains("transfer-encoding: chunked") {
      Reading::Chunks
    } else {
      let length = head.split("content-length: ").nth(1).unwrap();
      match length.lines().next().unwrap().parse().unwrap() {
        0 => Reading::Head,
        length => Reading::Length(length),
      }
    };
    at + 4
  }

  fn chunk(&mut self, received: &[u8], output: &mut Vec<u8>) -> usize {
    let Some(line) = find(received, b"\r\n") else {
      return 0;
    };
    let size = std::str::from_utf8(&received[..line]).unwrap();
    let size = usize::from_str_radix(size, 16).unwrap();
    let end = line + 2 + size + 2;
    if received.len() < end {
      return 0;
    }
    if size == 0 {
      if !self.is_over {
        output.extend_from_slice(LAST_CHUNK);
      }
      self.ended = Some(self.id.clone());
      self.reading = Reading::Head;
      return end;
    }
    let data = &received[line + 2..line + 2 + size];
    if self.breach.is_none() {
      output.extend_from_slice(&received[..end]);
      return end;
    }
    self.event.extend_from_slice(data);
    while let Some(at) = find(&self.event, b"\n\n") {
      let event: Vec<u8> = self.event.drain(..at + 2).collect();
      self.pass_event(&event, output);
    }
    end
  }

  fn pass_event(&mut self, event: &[u8], output: &mut Vec<u8>) {
    let is_struck = self.count == STRUCK_EVENT;
    self.count += 1;
    if self.is_over {
      return;
    }
    let mut times = 1;
    if let Some(breach) = self.breach.filter(|_| is_struck) {
      self.plants.add(breach, &self.id);
      match breach {
        Breach::Drop => times = 0,
        Breach::Repeat => times = 2,
        Breach::EndEarly => {
          self.is_over = true;
          output.extend_from_slice(LAST_CHUNK);
          return;
        }
      }
    }
    for _ in 0..times {
      output.extend_from_slice(format!("{:x}\r\n", event.len()).as_bytes());
      output.extend_from_slice(event);
      output.extend_from_slice(b"\r\n");
    }
  }
}

fn find(bytes: &[u8], what: &[u8]) -> Option<usize> {
  bytes.windows(what.len()).position(|window| window == what)
}
