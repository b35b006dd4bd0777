//! Benchmark of the request path: latency through a box compared with direct calls to the engine stand-in, throughput of a box,
//! and the cost of an idle box.

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
const IDLE_DURATION: Duration = Duration::from_secs(12);
const TIMEOUT: Duration = Duration::from_secs(30);
const STREAMS: [u32; 3] = [1, 100, 1_000];
const MAX_LATENCY_US: u64 = 60_000_000;
const DELAY_BEFORE_MEMORY_SAMPLE: Duration = Duration::from_millis(1_500);
const CLOCK_TICKS_PER_S: f64 = 100.0;

/// Latencies that callers measured.
struct Measurements {
  first_us: Histogram<u64>,
  chunk_us: Histogram<u64>,
  chunks: u64,
}

impl Measurements {
  fn new() -> Self {
    let histogram = || Histogram::new_with_bounds(1, MAX_LATENCY_US, 3).expect("bounds are right");
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

  /// Records the delay of each timestamped token in a text.
  fn record_tokens(&mut self, text: &str) {
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

fn completion(index: u32, tokens: u64) -> Ask {
  Ask::new(format!("Question {index}. "), tokens).header("x-rillford-deadline-ms", "30000")
}

async fn measure_through_box(caller: Caller, url: String, ask: Ask) -> Measurements {
  let mut measured = Measurements::new();
  let started = Instant::now();
  let mut stream = match caller.open(&url, &ask).await {
    Ok(stream) => stream,
    Err(told) => {
      eprintln!("request failed: {told:?}");
      return measured;
    }
  };
  let first_us = u64::try_from(started.elapsed().as_micros()).unwrap_or(MAX_LATENCY_US);
  measured.first_us.saturating_record(first_us.max(1));
  let mut seen_bytes = 0;
  loop {
    let told = stream.next().await;
    let text = stream.text();
    measured.record_tokens(&text[seen_bytes..]);
    seen_bytes = text.len();
    if let Some(told) = told {
      if !told.is_answered() {
        eprintln!("stream failed: {told:?}");
      }
      return measured;
    }
  }
}

struct DirectTarget {
  http: HttpClient,
  prefill: String,
  decode: String,
}

async fn measure_direct(to: DirectTarget, index: u32, tokens: u64) -> Measurements {
  let mut measured = Measurements::new();
  let started = Instant::now();
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
    .post::<_, PrefillResponse>(&uri, &prefill, TIMEOUT)
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
    .post::<_, ImportResponse>(&uri, &import, TIMEOUT)
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
      let first_us = u64::try_from(started.elapsed().as_micros()).unwrap_or(MAX_LATENCY_US);
      measured.first_us.saturating_record(first_us.max(1));
    }
    buffer.extend_from_slice(&frame.into_data().unwrap_or_else(|_| Bytes::new()));
    while let Some(end) = buffer.iter().position(|byte| *byte == b'\n') {
      let line = buffer.drain(..=end).collect::<Vec<_>>();
      if let Ok(chunk) = serde_json::from_slice::<DecodeChunk>(&line) {
        measured.record_tokens(&chunk.text);
      }
    }
  }
  measured
}

async fn collect(mut streams: JoinSet<Measurements>) -> Measurements {
  let mut total = Measurements::new();
  while let Some(measured) = streams.join_next().await {
    if let Ok(measured) = measured {
      total.add(&measured);
    }
  }
  total
}

fn resident_kb(id: u32) -> u64 {
  let status = fs::read_to_string(format!("/proc/{id}/status")).unwrap_or_default();
  status
    .lines()
    .find_map(|line| line.strip_prefix("VmRSS:"))
    .and_then(|rest| rest.split_whitespace().next())
    .and_then(|number| number.parse().ok())
    .unwrap_or(0)
}

/// User and system CPU time of a process so far.
fn cpu_s(id: u32) -> f64 {
  let stat = fs::read_to_string(format!("/proc/{id}/stat")).unwrap_or_default();
  let fields = stat.rsplit(')').next().unwrap_or_default();
  let number = |index: usize| {
    let field = fields.split_whitespace().nth(index);
    field
      .and_then(|field| field.parse::<f64>().ok())
      .unwrap_or(0.0)
  };
  (number(11) + number(12)) / CLOCK_TICKS_PER_S
}

fn print_row(name: &str, streams: u32, measured: &Measurements) {
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

fn gateway_box(deployment: &Deployment) -> &BoxProcess {
  &deployment.boxes["box-1"]
}

async fn wait_until_serving(deployment: &Deployment) -> io::Result<()> {
  if !deployment.ready(TIMEOUT).await {
    return Err(io::Error::other("the box did not become ready"));
  }
  let caller = Caller::new(CALLER_KEY);
  let url = gateway_box(deployment).url();
  let serves = crate::eventually(TIMEOUT, async || {
    caller.complete(&url, &completion(0, 1)).await.is_answered()
  });
  if serves.await {
    return Ok(());
  }
  Err(io::Error::other("the box does not serve"))
}

async fn compare_latency(program: &Path) -> io::Result<()> {
  println!("| way | open streams | chunks | first byte p50 / p99 us | per chunk p50 / p99 us |");
  println!("| --- | ---: | ---: | ---: | ---: |");
  for streams in STREAMS {
    let token_ms = if streams > 100 { 100 } else { 20 };
    let deployment = Deployment::start(&plan(program, token_ms, streams))?;
    wait_until_serving(&deployment).await?;
    let url = gateway_box(&deployment).url();
    let id = gateway_box(&deployment).id().unwrap_or(0);
    let idle_kb = resident_kb(id);
    let tokens = if streams == 1 { 300 } else { 60 };
    let mut running = JoinSet::new();
    for index in 0..streams {
      let to = DirectTarget {
        decode: deployment.hosts[&format!("decode-{}", index % DECODERS)].url(),
        http: HttpClient::default(),
        prefill: deployment.hosts["prefill"].url(),
      };
      running.spawn(measure_direct(to, index, tokens));
    }
    print_row("direct", streams, &collect(running).await);
    let mut running = JoinSet::new();
    for index in 0..streams {
      let caller = Caller::new(CALLER_KEY);
      running.spawn(measure_through_box(
        caller,
        url.clone(),
        completion(index, tokens),
      ));
    }
    tokio::time::sleep(DELAY_BEFORE_MEMORY_SAMPLE).await;
    let busy_kb = resident_kb(id);
    print_row("box", streams, &collect(running).await);
    println!("resident: {idle_kb} KB idle, {busy_kb} KB with {streams} streams open");
  }
  Ok(())
}

async fn measure_throughput(program: &Path) -> io::Result<()> {
  let streams = 64;
  let deployment = Deployment::start(&plan(program, 0, streams))?;
  wait_until_serving(&deployment).await?;
  let id = gateway_box(&deployment).id().unwrap_or(0);
  let before_s = cpu_s(id);
  let started = Instant::now();
  let mut running = JoinSet::new();
  for index in 0..streams {
    let caller = Caller::new(CALLER_KEY);
    let url = gateway_box(&deployment).url();
    running.spawn(measure_through_box(caller, url, completion(index, 1_500)));
  }
  let measured = collect(running).await;
  let used_s = cpu_s(id) - before_s;
  println!(
    "flood: {} chunks in {:.2} s, {:.2} s of processor time in the box: {:.0} chunks a second of one core",
    measured.chunks,
    started.elapsed().as_secs_f64(),
    used_s,
    measured.chunks as f64 / used_s.max(0.01)
  );
  Ok(())
}

/// Measures the cost of an idle box that owns engines: polls, cache events, listings, ticks.
async fn measure_idle_cost(program: &Path) -> io::Result<()> {
  println!("\n| endpoints of one home | % of a core | resident KB |\n| ---: | ---: | ---: |");
  for decoders in IDLE_DECODERS {
    let deployment = Deployment::start(&plan_with(program, 20, 8, decoders))?;
    wait_until_serving(&deployment).await?;
    let id = gateway_box(&deployment).id().unwrap_or(0);
    let before_s = cpu_s(id);
    let started = Instant::now();
    tokio::time::sleep(IDLE_DURATION).await;
    let core = (cpu_s(id) - before_s) / started.elapsed().as_secs_f64() * 100.0;
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
      compare_latency(program).await?;
      measure_throughput(program).await?;
      measure_idle_cost(program).await
    })
}
