//! A client of the platform: it sends a streaming request, and takes its stream up again after a broken channel.

use {
  super::{
    deployment::{Deployment, ZONES},
    engine::Pace,
    http::{BodyPart, Response},
    record::lock,
  },
  std::{
    io::{self, Write},
    net::TcpStream,
    thread::sleep,
    time::{Duration, Instant},
  },
};

/// A new channel gets this long to come up.
const CONNECT_LIMIT: Duration = Duration::from_millis(1_000);
/// Pause between attempts to open a channel.
const CONNECT_PAUSE: Duration = Duration::from_millis(50);
/// Pause before a retry without a retry-after delay.
const RETRY_PAUSE: Duration = Duration::from_millis(100);

/// What a client asks for.
#[derive(Clone, Copy, Debug)]
pub struct StreamRequest {
  /// The path, below the route's prefix.
  pub path: &'static str,
  /// How long the client waits in all.
  pub budget: Duration,
  /// The gap after which the client gives the stream up.
  pub gap: Duration,
  /// Tries in all.
  pub tries: u32,
  /// Whether the client takes its stream up again.
  pub resumes: bool,
  /// The last event of the stream.
  pub pace: Pace,
}

/// How a try ended.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub enum End {
  /// The whole stream arrived.
  Complete,
  /// The channel ended before the stream did, or before an answer.
  Cut,
  /// Nothing arrived for the client's gap or its time budget, and the client left.
  GaveUp,
  /// A response with another status than 200.
  Status(u16),
  /// No channel came up.
  NoChannel,
}

/// One event that a client received.
#[derive(Clone, Debug, Eq, PartialEq)]
pub struct Event {
  pub id: u64,
  pub engine: String,
  /// The version of the engine's software.
  pub version: String,
}

/// One try of a client.
#[derive(Clone, Debug)]
pub struct Try {
  pub id: String,
  /// Name of the box.
  pub at: String,
  pub sent_ms: u64,
  /// When the head of the response arrived.
  pub answered_ms: Option<u64>,
  pub ended_ms: u64,
  pub events: Vec<Event>,
  pub end: End,
}

/// Sends a request, and retries it as the pages allow; records all tries.
pub fn run_client(deployment: &Deployment, number: u64, request: StreamRequest) {
  let until = Instant::now() + request.budget;
  let mut tries: Vec<Try> = Vec::new();
  let mut first_event_try: Option<String> = None;
  let mut last_event = 0;
  let mut last_box = String::new();
  for attempt in 0..request.tries {
    let left = until.saturating_duration_since(Instant::now());
    if left.is_zero() {
      break;
    }
    let id = format!("r{number:04}-{attempt}");
    let resumed = first_event_try.as_deref().map(|first| (first, last_event));
    let (made, retry_after) = one_try(
      deployment,
      &id,
      (number, attempt),
      request,
      left,
      resumed,
      &last_box,
    );
    last_box.clone_from(&made.at);
    if let Some(event) = made.events.last() {
      last_event = event.id;
      first_event_try.get_or_insert_with(|| made.id.clone());
    }
    let end = made.end;
    tries.push(made);
    let goes_on = match end {
      End::Complete | End::GaveUp => false,
      End::Cut => request.resumes,
      End::Status(status) => status == 503 || (request.resumes && status >= 500),
      End::NoChannel => true,
    };
    if !goes_on {
      break;
    }
    let left = until.saturating_duration_since(Instant::now());
    sleep(retry_after.unwrap_or(RETRY_PAUSE).min(left / 3));
  }
  lock(&deployment.clients).push(tries);
}

/// One try; returns it with the retry-after delay of its response.
fn one_try(
  deployment: &Deployment,
  id: &str,
  (number, attempt): (u64, u32),
  request: StreamRequest,
  left: Duration,
  resumed: Option<(&str, u64)>,
  last_box: &str,
) -> (Try, Option<Duration>) {
  let record = &deployment.record;
  let mut made = Try {
    answered_ms: None,
    at: String::new(),
    end: End::NoChannel,
    ended_ms: 0,
    events: Vec::new(),
    id: id.into(),
    sent_ms: record.now_ms(),
  };
  let mut retry_after = None;
  if let Some((stream, at)) = open_channel(deployment, number, attempt, last_box) {
    made.at = at;
    made.sent_ms = record.now_ms();
    let result = send(&stream, id, request, left, resumed).and_then(|()| {
      receive(
        deployment,
        stream,
        request,
        left,
        &mut made,
        &mut retry_after,
      )
    });
    made.end = match result {
      Ok(end) => end,
      Err(error) if is_timeout(&error) => End::GaveUp,
      Err(_) => End::Cut,
    };
  }
  made.ended_ms = record.now_ms();
  let events = (made.events.first(), made.events.last());
  let (first, last) = (
    events.0.map(|event| event.id),
    events.1.map(|event| event.id),
  );
  let mut versions: Vec<&str> = made
    .events
    .iter()
    .map(|event| event.version.as_str())
    .collect();
  versions.dedup();
  record.line(&format!(
    "client {number}: {id} at {} sent {} ms, resumes {resumed:?}, answered {:?} ms, events {first:?} to {last:?} of versions \
     {versions:?}, ends: {:?}",
    made.at, made.sent_ms, made.answered_ms, made.end
  ));
  (made, retry_after)
}

/// Opens a channel to a box that is in, another one than before if there is one.
fn open_channel(
  deployment: &Deployment,
  number: u64,
  attempt: u32,
  last_box: &str,
) -> Option<(TcpStream, String)> {
  let until = Instant::now() + CONNECT_LIMIT;
  // Clients of a zone are spread over its boxes.
  let mut turn = number as usize / ZONES.len() + attempt as usize;
  loop {
    let node = deployment.pick_box(number, turn, last_box);
    if let Ok(stream) = TcpStream::connect_timeout(&node.front, CONNECT_LIMIT) {
      return Some((stream, node.name.clone()));
    }
    if Instant::now() > until {
      return None;
    }
    turn += 1;
    sleep(CONNECT_PAUSE);
  }
}

fn send(
  mut stream: &TcpStream,
  id: &str,
  request: StreamRequest,
  left: Duration,
  resumed: Option<(&str, u64)>,
) -> io::Result<()> {
  stream.set_nodelay(true)?;
  let resumption = resumed.map_or_else(String::new, |(first, last)| {
    format!("Last-Event-Id: {last}\r\nResumes: {first}\r\n")
  });
  let body = "{\"prompt\":\"Summarise the chapter.\"}";
  let head = format!(
    "POST {} HTTP/1.1\r\nHost: lectures.example\r\nX-Request-Id: {id}\r\n{resumption}X-Model: m\r\n\
     X-Token-Counts: 1460,{}\r\nX-Prompt-Prefix: 5c1e07a2:800,{:08x}:660\r\nX-Deadline-Ms: {}\r\n\
     Content-Type: application/json\r\nContent-Length: {}\r\n\r\n",
    request.path,
    request.pace.events,
    hash(id),
    left.as_millis(),
    body.len()
  );
  stream.write_all(format!("{head}{body}").as_bytes())
}

/// An id for the part of the prompt that belongs to one client.
fn hash(id: &str) -> u32 {
  let client = id.split('-').next().unwrap_or_default();
  client.bytes().fold(2_166_136_261, |hash: u32, byte| {
    (hash ^ u32::from(byte)).wrapping_mul(16_777_619)
  })
}

/// Receives a response until its end, or until the client leaves.
fn receive(
  deployment: &Deployment,
  stream: TcpStream,
  request: StreamRequest,
  left: Duration,
  made: &mut Try,
  retry_after: &mut Option<Duration>,
) -> io::Result<End> {
  let until = Instant::now() + left;
  let set_limit = |stream: &TcpStream| {
    let left = until.saturating_duration_since(Instant::now());
    let limit = left.min(request.gap).max(Duration::from_millis(1));
    stream.set_read_timeout(Some(limit))
  };
  let control = stream.try_clone()?;
  set_limit(&control)?;
  let mut response = Response::read(stream)?;
  made.answered_ms = Some(deployment.record.now_ms());
  if response.status != 200 {
    let delay = response.headers.get("retry-after");
    let delay = delay.and_then(|text| text.parse::<f64>().ok());
    *retry_after = delay.map(Duration::from_secs_f64);
    return Ok(End::Status(response.status));
  }
  let has_receipt = response.headers.get("x-response-seal").is_some();
  if !has_receipt || !response.is_chunked() {
    return Err(io::Error::other("no stream"));
  }
  let mut text = String::new();
  loop {
    set_limit(&control)?;
    match response.next_chunk()? {
      BodyPart::Data(data) => {
        text.push_str(&String::from_utf8_lossy(&data));
        while let Some(end) = text.find("\n\n") {
          made.events.extend(parse_event(&text[..end]));
          text.drain(..end + 2);
        }
      }
      BodyPart::End => {
        let last = made.events.last().map(|event| event.id);
        let is_whole = last == Some(request.pace.events);
        return Ok(if is_whole { End::Complete } else { End::Cut });
      }
    }
  }
}

fn parse_event(text: &str) -> Option<Event> {
  let id = text.lines().find_map(|line| line.strip_prefix("id: "))?;
  let data = text.lines().find_map(|line| line.strip_prefix("data: "))?;
  let (engine, version) = data.split_once(' ')?;
  Some(Event {
    engine: engine.into(),
    id: id.parse().ok()?,
    version: version.into(),
  })
}

fn is_timeout(error: &io::Error) -> bool {
  matches!(
    error.kind(),
    io::ErrorKind::WouldBlock | io::ErrorKind::TimedOut
  )
}

/// Sends one request to a plain service on a channel of its own.
pub fn run_plain_client(deployment: &Deployment, number: u64, path: &str, budget: Duration) {
  let record = &deployment.record;
  let node = deployment.pick_box(number, number as usize / ZONES.len(), "");
  let id = format!("u{number:04}");
  let sent_ms = record.now_ms();
  let response = TcpStream::connect_timeout(&node.front, CONNECT_LIMIT).and_then(|mut stream| {
    stream.set_read_timeout(Some(budget))?;
    let request = format!(
      "POST {path} HTTP/1.1\r\nHost: lectures.example\r\nX-Request-Id: {id}\r\nX-Deadline-Ms: {}\r\nContent-Length: 2\r\n\r\n{{}}",
      budget.as_millis()
    );
    stream.write_all(request.as_bytes())?;
    Response::read(stream)
  });
  let end = match &response {
    Ok(response) if response.status == 200 => End::Complete,
    Ok(response) => End::Status(response.status),
    Err(error) if is_timeout(error) => End::GaveUp,
    Err(_) => End::Cut,
  };
  let ended_ms = record.now_ms();
  record.line(&format!(
    "client: {id} at {} sent {sent_ms} ms, ends: {end:?}",
    node.name
  ));
  let made = Try {
    answered_ms: response.ok().map(|_| ended_ms),
    at: node.name.clone(),
    end,
    ended_ms,
    events: Vec::new(),
    id,
    sent_ms,
  };
  lock(&deployment.clients).push(vec![made]);
}
