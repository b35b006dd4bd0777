//! Runs a deployment under load, injects a series of failures, and prints the outcomes that callers saw and what was leaked.

use {
  crate::{
    ADMIN_KEY, Ask, CALLER_KEY, Caller, Deployment, EngineFaults, HallPlan, KeyValueFaults, Plan,
    Told, answer_text, eventually,
  },
  http::{Method, Request},
  http_body_util::Full,
  std::{
    collections::BTreeMap,
    io,
    path::Path,
    sync::{
      Arc, Mutex, PoisonError,
      atomic::{AtomicBool, AtomicU64, Ordering},
    },
    time::{Duration, Instant},
  },
  tokio::{task::JoinSet, time::sleep},
};

const COMPLETION_TOKENS: u64 = 40;
const TIMEOUT: Duration = Duration::from_secs(40);
const SEND_INTERVAL: Duration = Duration::from_millis(25);
const PHASE_DURATION: Duration = Duration::from_secs(3);

/// Outcomes that callers saw.
#[derive(Debug, Default)]
struct Tally {
  sent: u64,
  answered: u64,
  not_run: u64,
  unknown: u64,
  lost: u64,
  wrong: u64,
  refunds: BTreeMap<String, Told>,
}

impl Tally {
  fn record(&mut self, told: &Told, expected: Option<&str>) {
    self.sent += 1;
    match told {
      Told::Answered(text) => {
        self.answered += 1;
        if expected.is_some_and(|expected| expected != text) {
          self.wrong += 1;
        }
      }
      Told::NotRun { .. } => self.not_run += 1,
      Told::Unknown { .. } => self.unknown += 1,
      Told::Lost(_) => self.lost += 1,
    }
  }
}

/// State shared by the load generator and the scenario.
struct Load {
  tally: Mutex<Tally>,
  urls: Mutex<Vec<String>>,
  stopped: AtomicBool,
  next_number: AtomicU64,
}

impl Load {
  fn tally(&self) -> std::sync::MutexGuard<'_, Tally> {
    self.tally.lock().unwrap_or_else(PoisonError::into_inner)
  }

  /// Request number and box URL of the next request, in rotation.
  fn next_target(&self) -> (u64, String) {
    let number = self.next_number.fetch_add(1, Ordering::Relaxed);
    let urls = self.urls.lock().unwrap_or_else(PoisonError::into_inner);
    let index = usize::try_from(number).unwrap_or(0) % urls.len();
    (number, urls[index].clone())
  }

  async fn send_completion(self: Arc<Self>) {
    let (number, url) = self.next_target();
    let prompt = format!("Question {number}. ");
    let ask = Ask::new(&prompt, COMPLETION_TOKENS);
    let told = Caller::new(CALLER_KEY).complete(&url, &ask).await;
    let expected = answer_text(&prompt, COMPLETION_TOKENS);
    self.tally().record(&told, Some(&expected));
  }

  async fn send_refund(self: Arc<Self>) {
    let (number, url) = self.next_target();
    let key = format!("refund-{number}");
    let headers = [
      ("idempotency-key".to_string(), key.clone()),
      ("x-rillford-not-repeatable".to_string(), "true".to_string()),
    ];
    let caller = Caller::new(CALLER_KEY);
    let told = caller
      .call(&url, Method::POST, "portal/refund", &headers, &key)
      .await;
    let mut tally = self.tally();
    tally.record(&told, None);
    tally.refunds.insert(key, told);
  }

  async fn run(self: Arc<Self>) {
    let mut running = JoinSet::new();
    let mut round = 0_u64;
    while !self.stopped.load(Ordering::Relaxed) {
      round += 1;
      if round.is_multiple_of(5) {
        running.spawn(self.clone().send_refund());
      } else {
        running.spawn(self.clone().send_completion());
      }
      sleep(SEND_INTERVAL).await;
    }
    while running.join_next().await.is_some() {}
  }
}

async fn admin_request(
  deployment: &Deployment,
  name: &str,
  method: Method,
  path: &str,
  body: &str,
) -> String {
  let uri = format!("{}{path}", deployment.boxes[name].admin_url());
  let request = Request::builder()
    .method(method)
    .uri(uri)
    .header("authorization", format!("Bearer {ADMIN_KEY}"))
    .header("if-match", "1")
    .body(Full::new(body.to_string().into()));
  match request {
    Ok(request) => match Caller::new("").raw(request).await {
      Ok((_, body)) => body,
      Err(told) => format!("{told:?}"),
    },
    Err(error) => error.to_string(),
  }
}

async fn digests(deployment: &Deployment) -> Vec<String> {
  let mut digests = Vec::new();
  for (name, process) in &deployment.boxes {
    if process.id().is_some() {
      let status = admin_request(deployment, name, Method::GET, "/status", "").await;
      let status = serde_json::from_str::<serde_json::Value>(&status).unwrap_or_default();
      digests.push(status["configuration_digest"].to_string());
    }
  }
  digests
}

/// Seconds from the leaving signal of an engine to the last decode that started there.
async fn measure_leave_delay(deployment: &Deployment) -> f64 {
  let Some(engine) = deployment.engine("north-decode-1") else {
    return 0.0;
  };
  engine.set_faults(EngineFaults {
    leaving: true,
    ..EngineFaults::default()
  });
  let started = Instant::now();
  let mut seen = engine.tally().decodes;
  let mut last_s = 0.0;
  while started.elapsed() < PHASE_DURATION {
    sleep(Duration::from_millis(10)).await;
    let now = engine.tally().decodes;
    if now > seen {
      seen = now;
      last_s = started.elapsed().as_secs_f64();
    }
  }
  last_s
}

/// Seconds until a written configuration applies on all boxes; infinite if it does not within `TIMEOUT`.
async fn measure_configuration_delay(deployment: &Deployment) -> f64 {
  let old = digests(deployment).await;
  let started = Instant::now();
  let text = "{\"tuning\": {\"hold_ms\": 2000, \"queue_limit\": 500}}";
  admin_request(
    deployment,
    "north-2",
    Method::PUT,
    "/configuration/platform",
    text,
  )
  .await;
  let agreed = eventually(TIMEOUT, async || {
    let now = digests(deployment).await;
    now
      .iter()
      .all(|digest| *digest == now[0] && *digest != old[0])
  });
  if agreed.await {
    started.elapsed().as_secs_f64()
  } else {
    f64::INFINITY
  }
}

/// Runs the scenario and prints its results.
pub(crate) fn run(program: &Path) -> io::Result<()> {
  tokio::runtime::Builder::new_multi_thread()
    .worker_threads(3)
    .enable_all()
    .build()?
    .block_on(scenario(program))
}

async fn scenario(program: &Path) -> io::Result<()> {
  let halls = vec![
    HallPlan::small("north", &["north-1", "north-2", "north-3"]),
    HallPlan::small("south", &["south-1", "south-2"]),
  ];
  let mut plan = Plan::new(program, halls);
  plan.platform_document = "{\"tuning\": {\"hold_ms\": 2000}}".into();
  let mut deployment = Deployment::start(&plan)?;
  if !deployment.ready(TIMEOUT).await {
    return Err(io::Error::other("the boxes did not become ready"));
  }
  sleep(PHASE_DURATION).await;
  let load = Arc::new(Load {
    stopped: AtomicBool::new(false),
    next_number: AtomicU64::new(0),
    tally: Mutex::default(),
    urls: Mutex::new(
      deployment
        .boxes
        .values()
        .map(|process| process.url())
        .collect(),
    ),
  });
  let running = tokio::spawn(load.clone().run());
  sleep(PHASE_DURATION).await;

  println!("a box is killed and an engine dies, at once");
  let killed_url = deployment.boxes["north-1"].url();
  if let Some(process) = deployment.boxes.get_mut("north-1") {
    process.kill();
  }
  if let Some(host) = deployment.hosts.get_mut("south-decode-1") {
    host.kill();
  }
  // Like a load balancer that removes the failed box.
  load
    .urls
    .lock()
    .unwrap_or_else(PoisonError::into_inner)
    .retain(|url| *url != killed_url);
  sleep(PHASE_DURATION).await;

  println!("an engine leaves");
  let left_s = measure_leave_delay(&deployment).await;
  println!("a configuration is written");
  let configured_s = measure_configuration_delay(&deployment).await;

  println!("the key-value service is away, and the halls are cut from each other");
  for door in deployment.doors.values() {
    door.set(KeyValueFaults {
      down: true,
      ..KeyValueFaults::default()
    });
  }
  deployment.cut_halls("north", "south");
  sleep(PHASE_DURATION).await;
  for door in deployment.doors.values() {
    door.set(KeyValueFaults::default());
  }
  deployment.mend_links();

  println!("a box is frozen for longer than its holds, and wakes");
  deployment.boxes["north-2"].signal(libc::SIGSTOP);
  sleep(PHASE_DURATION).await;
  deployment.boxes["north-2"].signal(libc::SIGCONT);
  sleep(PHASE_DURATION).await;

  load.stopped.store(true, Ordering::Relaxed);
  let _ = running.await;
  println!("quiet");
  let all_released = eventually(TIMEOUT, async || {
    let engines = deployment
      .endpoints
      .keys()
      .filter(|name| *name != "south-decode-1");
    engines
      .filter_map(|name| deployment.engine(name))
      .all(|engine| engine.held().is_empty())
  })
  .await;
  let idle_calls = deployment.key_value.calls();
  sleep(Duration::from_secs(15)).await;
  let idle_calls = (deployment.key_value.calls() - idle_calls) * 4;
  print_results(&deployment, &load, all_released);
  println!("| seconds until a leaving engine gets nothing | {left_s:.2} |");
  println!("| seconds until a configuration is in force everywhere | {configured_s:.2} |");
  println!("| key-value calls a minute without claims, all boxes | {idle_calls} |");
  Ok(())
}

fn print_results(deployment: &Deployment, load: &Load, all_released: bool) {
  let tally = load.tally();
  let runs = deployment
    .endpoints
    .keys()
    .filter_map(|name| deployment.service(name))
    .flat_map(|service| service.runs())
    .filter(|(key, _)| key.starts_with("refund-"))
    .fold(BTreeMap::<String, u64>::new(), |mut runs, (key, count)| {
      *runs.entry(key).or_default() += count;
      runs
    });
  let twice = runs.values().filter(|count| **count > 1).count();
  let misreported = tally
    .refunds
    .iter()
    .filter(|(key, told)| matches!(told, Told::NotRun { .. }) && runs.contains_key(*key))
    .count();
  println!("\n| figure | value |\n| --- | ---: |");
  println!("| requests sent | {} |", tally.sent);
  println!("| answered whole | {} |", tally.answered);
  println!("| told not run | {} |", tally.not_run);
  println!("| told unknown | {} |", tally.unknown);
  println!(
    "| connection lost with a dead or frozen box | {} |",
    tally.lost
  );
  println!("| wrong or doubled answers | {} |", tally.wrong);
  println!("| refunds run twice | {twice} |");
  println!("| refunds told not run that ran | {misreported} |");
  println!("| engines free of all memory when quiet | {all_released} |");
}
