//! What a box adds over a direct call to the stand-in, side by side in one run.

use {
  crate::{
    Ask, BoxProcess, CALLER_KEY, Caller, Deployment, EndpointPlan, EngineOptions, HallPlan, Plan,
    engine::unix_us,
  },
  bytes::Bytes,
  hdrhistogram::Histogram,
  http_body_util::BodyExt,
  rillford::{
    HttpClient,
    decide::Role,
    endpoint_api::{
      DecodeChunk, DecodeRequest, ImportRequest, ImportResponse, PrefillRequest, PrefillResponse,
    },
  },
  std::{
    fs, io,
    path::Path,
    time::{Duration, Instant},
  },
  tokio::task::JoinSet,
};

const DECODERS: u32 = 4;
const IDLE_DECODERS: [u32; 3] = [2, 14, 28];
const IDLE_TIME: Duration = Duration::from_secs(12);
const LIMIT: Duration = Duration::from_secs(30);
const STREAMS: [u32; 3] = [1, 100, 1_000];
const MOST_US: u64 = 60_000_000;
const SETTLE: Duration = Duration::from_millis(1_500);
const TICKS_PER_S: f64 = 100.0;

/// What callers measured.
struct Measured {
  first_us: Histogram<u64>,
  chunk_us: Histogram<u64>,
  chunks: u64,
}

impl Measured {
  fn new() -> Self {
    let histogram = || Histogram::new_with_bounds(1, MOST_US, 3).expect("bounds are right");
    Self {
      chunk_us: histogram(),
      chunks: 0,
      first_us: histogram(),
    }
  }

  fn add(&mut self, other: &Self) {
    let _ = self.first_us.add(&other.first_us);
    let _ = self.chunk_us.add(&other.chunk_us);
    self.chunks += other.chunks;
  }

  /// Takes in text of stamped tokens.
  fn text(&mut self, text: &str) {
    let now_us = unix_us();
    for token in text.split_whitespace() {
      let stamp = token
        .split('-')
        .next()
        .and_then(|stamp| stamp.parse::<u64>().ok());
      if let Some(stamp) = stamp {
        self.chunks += 1;
        self
          .chunk_us
          .saturating_record(now_us.saturating_sub(stamp).max(1));
      }
    }
  }
}

fn plan(program: &Path, token_ms: u64, slots: u32) -> Plan {
  plan_with(program, token_ms, slots, DECODERS)
}

fn plan_with(program: &Path, token_ms: u64, slots: u32, decoders: u32) -> Plan {
  let engine = |role, slots| {
    EndpointPlan::Engine(EngineOptions {
      prefill_tokens_per_s: 50_000_000,
      role,
      slots,
      stamps_tokens: true,
      token_ms,
      ..EngineOptions::default()
    })
  };
  let mut endpoints = vec![("prefill".to_string(), engine(Role::Prefill, 4_096))];
  for index in 0..decoders {
    endpoints.push((format!("decode-{index}"), engine(Role::Decode, slots)));
  }
  let hall = HallPlan {
    boxes: vec!["box-1".into()],
    endpoints,
    name: "hall".into(),
  };
  let mut plan = Plan::new(program, vec![hall]);
  plan.platform_document =
    "{\"tuning\": {\"organisation_limit\": 4096, \"queue_limit\": 4096}}".into();
  plan.more_settings = "[limits]\nrequests = 4096\nstall_ms = 20000\n".into();
  plan
}

fn ask(index: u32, tokens: u64) -> Ask {
  Ask::new(format!("Question {index}. "), tokens).header("x-rillford-deadline-ms", "30000")
}

async fn through_box(caller: Caller, url: String, ask: Ask) -> Measured {
  let mut measured = Measured::new();
  let began = Instant::now();
  let mut stream = match caller.open(&url, &ask).await {
    Ok(stream) => stream,
    Err(told) => {
      eprintln!("not answered: {told:?}");
      return measured;
    }
  };
  let first_us = u64::try_from(began.elapsed().as_micros()).unwrap_or(MOST_US);
  measured.first_us.saturating_record(first_us.max(1));
  let mut seen = 0;
  loop {
    let told = stream.next().await;
    let text = stream.text();
    measured.text(&text[seen..]);
    seen = text.len();
    if let Some(told) = told {
      if !told.is_answered() {
        eprintln!("not answered whole: {told:?}");
      }
      return measured;
    }
  }
}

struct Direct {
  http: HttpClient,
  prefill: String,
  decode: String,
}

async fn direct(to: Direct, index: u32, tokens: u64) -> Measured {
  let mut measured = Measured::new();
  let began = Instant::now();
  let attempt: rillford::ids::AttemptId = format!("direct/1/{index}/1").parse().expect("an id");
  let prefill = PrefillRequest {
    answered: "".into(),
    attempt: attempt.clone(),
    deadline_ms: 30_000,
    hold_ms: 60_000,
    max_tokens: tokens,
    model: "lecture".into(),
    priority: 0,
    prompt: format!("Question {index}. ").into(),
  };
  let uri = format!("{}/v1/prefill", to.prefill);
  if to
    .http
    .post::<_, PrefillResponse>(&uri, &prefill, LIMIT)
    .await
    .is_err()
  {
    return measured;
  }
  let import = ImportRequest {
    attempt: attempt.clone(),
    hold_ms: 60_000,
    source_url: to.prefill.as_str().into(),
  };
  let uri = format!("{}/v1/import", to.decode);
  if to
    .http
    .post::<_, ImportResponse>(&uri, &import, LIMIT)
    .await
    .is_err()
  {
    return measured;
  }
  let decode = DecodeRequest {
    attempt,
    max_tokens: tokens,
    offset: 0,
  };
  let uri = format!("{}/v1/decode", to.decode);
  let Ok(response) = to.http.post_stream(&uri, &decode).await else {
    return measured;
  };
  let mut body = response.into_body();
  let mut buffer = Vec::new();
  let mut first = true;
  while let Some(Ok(frame)) = body.frame().await {
    if std::mem::take(&mut first) {
      let first_us = u64::try_from(began.elapsed().as_micros()).unwrap_or(MOST_US);
      measured.first_us.saturating_record(first_us.max(1));
    }
    buffer.extend_from_slice(&frame.into_data().unwrap_or_else(|_| Bytes::new()));
    while let Some(end) = buffer.iter().position(|byte| *byte == b'\n') {
      let line = buffer.drain(..=end).collect::<Vec<_>>();
      if let Ok(chunk) = serde_json::from_slice::<DecodeChunk>(&line) {
        measured.text(&chunk.text);
      }
    }
  }
  measured
}

async fn all(mut streams: JoinSet<Measured>) -> Measured {
  let mut total = Measured::new();
  while let Some(measured) = streams.join_next().await {
    if let Ok(measured) = measured {
      total.add(&measured);
    }
  }
  total
}

/// Resident memory of a process.
fn resident_kb(id: u32) -> u64 {
  let status = fs::read_to_string(format!("/proc/{id}/status")).unwrap_or_default();
  status
    .lines()
    .find_map(|line| line.strip_prefix("VmRSS:"))
    .and_then(|rest| rest.split_whitespace().next())
    .and_then(|number| number.parse().ok())
    .unwrap_or(0)
}

/// Processor time of a process so far.
fn processor_s(id: u32) -> f64 {
  let stat = fs::read_to_string(format!("/proc/{id}/stat")).unwrap_or_default();
  let fields = stat.rsplit(')').next().unwrap_or_default();
  let number = |index: usize| {
    let field = fields.split_whitespace().nth(index);
    field
      .and_then(|field| field.parse::<f64>().ok())
      .unwrap_or(0.0)
  };
  (number(11) + number(12)) / TICKS_PER_S
}

fn row(name: &str, streams: u32, measured: &Measured) {
  let us = |histogram: &Histogram<u64>, share| histogram.value_at_quantile(share);
  println!(
    "| {name} | {streams} | {} | {} / {} | {} / {} |",
    measured.chunks,
    us(&measured.first_us, 0.5),
    us(&measured.first_us, 0.99),
    us(&measured.chunk_us, 0.5),
    us(&measured.chunk_us, 0.99)
  );
}

fn the_box(deployment: &Deployment) -> &BoxProcess {
  &deployment.boxes["box-1"]
}

async fn ready(deployment: &Deployment) -> io::Result<()> {
  if !deployment.ready(LIMIT).await {
    return Err(io::Error::other("the box is not ready"));
  }
  let caller = Caller::new(CALLER_KEY);
  let url = the_box(deployment).url();
  let serves = crate::eventually(LIMIT, async || {
    caller.complete(&url, &ask(0, 1)).await.is_answered()
  });
  if serves.await {
    return Ok(());
  }
  Err(io::Error::other("the box does not serve"))
}

async fn side_by_side(program: &Path) -> io::Result<()> {
  println!("| way | open streams | chunks | first byte p50 / p99 us | per chunk p50 / p99 us |");
  println!("| --- | ---: | ---: | ---: | ---: |");
  for streams in STREAMS {
    let token_ms = if streams > 100 { 100 } else { 20 };
    let deployment = Deployment::start(&plan(program, token_ms, streams))?;
    ready(&deployment).await?;
    let url = the_box(&deployment).url();
    let id = the_box(&deployment).id().unwrap_or(0);
    let idle_kb = resident_kb(id);
    let tokens = if streams == 1 { 300 } else { 60 };
    let mut running = JoinSet::new();
    for index in 0..streams {
      let to = Direct {
        decode: deployment.hosts[&format!("decode-{}", index % DECODERS)].url(),
        http: HttpClient::default(),
        prefill: deployment.hosts["prefill"].url(),
      };
      running.spawn(direct(to, index, tokens));
    }
    row("direct", streams, &all(running).await);
    let mut running = JoinSet::new();
    for index in 0..streams {
      let caller = Caller::new(CALLER_KEY);
      running.spawn(through_box(caller, url.clone(), ask(index, tokens)));
    }
    tokio::time::sleep(SETTLE).await;
    let busy_kb = resident_kb(id);
    row("box", streams, &all(running).await);
    println!("resident: {idle_kb} KB idle, {busy_kb} KB with {streams} streams open");
  }
  Ok(())
}

async fn flood(program: &Path) -> io::Result<()> {
  let streams = 64;
  let deployment = Deployment::start(&plan(program, 0, streams))?;
  ready(&deployment).await?;
  let id = the_box(&deployment).id().unwrap_or(0);
  let before_s = processor_s(id);
  let began = Instant::now();
  let mut running = JoinSet::new();
  for index in 0..streams {
    let caller = Caller::new(CALLER_KEY);
    let url = the_box(&deployment).url();
    running.spawn(through_box(caller, url, ask(index, 1_500)));
  }
  let measured = all(running).await;
  let used_s = processor_s(id) - before_s;
  println!(
    "flood: {} chunks in {:.2} s, {:.2} s of processor time in the box: {:.0} chunks a second of one core",
    measured.chunks,
    began.elapsed().as_secs_f64(),
    used_s,
    measured.chunks as f64 / used_s.max(0.01)
  );
  Ok(())
}

/// What an idle box costs as home of some engines: polls, cache events, listings, ticks.
async fn idle(program: &Path) -> io::Result<()> {
  println!("\n| endpoints of one home | % of a core | resident KB |\n| ---: | ---: | ---: |");
  for decoders in IDLE_DECODERS {
    let deployment = Deployment::start(&plan_with(program, 20, 8, decoders))?;
    ready(&deployment).await?;
    let id = the_box(&deployment).id().unwrap_or(0);
    let before_s = processor_s(id);
    let began = Instant::now();
    tokio::time::sleep(IDLE_TIME).await;
    let core = (processor_s(id) - before_s) / began.elapsed().as_secs_f64() * 100.0;
    println!("| {} | {core:.2} | {} |", decoders + 1, resident_kb(id));
  }
  Ok(())
}

/// Runs the benchmark and prints its tables.
pub(crate) fn run(program: &Path) -> io::Result<()> {
  tokio::runtime::Builder::new_multi_thread()
    .worker_threads(3)
    .enable_all()
    .build()?
    .block_on(async {
      side_by_side(program).await?;
      flood(program).await?;
      idle(program).await
    })
}
