//! The callers of a replay: an open loop of requests by zone, whose tries and resumptions follow the rules for clients.

mod answer_reader;
mod arrivals;
mod attempt;
mod channel;
mod client;
mod drawn_request;
mod event_reader;
mod habits;
mod outcome;
mod retry_rules;
mod unread_request;

pub use self::{
  answer_reader::{AnswerHead, AnswerProgress, AnswerReader},
  habits::{Habit, HabitGuard, Habits},
  outcome::{ClassOutcome, Outcome},
};

use {
  self::{
    arrivals::Arrivals,
    client::{Client, ClientRequest},
    drawn_request::DrawnRequest,
  },
  super::{
    balancer::Balancer,
    recorder::Recorder,
    routes::Routes,
    site::{RequestKind, Site, Traffic},
  },
  rand::{RngExt, SeedableRng},
  rand_chacha::ChaCha8Rng,
  std::{sync::Arc, time::Duration},
  tokio::{
    task::JoinSet,
    time::{Instant, sleep_until},
  },
};

/// Number of the first random stream of the callers; each zone has its own.
const RANDOM_STREAM: u64 = 0x6361_6c6c_0000;
/// Requests of a zone have numbers from the zone's index times this.
const NUMBERS_OF_ZONE: u32 = 1 << 24;

/// What callers send.
#[derive(Clone)]
pub struct CallerPlan {
  /// The deployment.
  pub site: Arc<Site>,
  /// The traffic of the day.
  pub traffic: Vec<Traffic>,
  /// How long new requests are sent.
  pub length: Duration,
  /// The seed.
  pub seed: u64,
  /// Chooses the boxes.
  pub balancer: Arc<Balancer>,
  /// What callers do otherwise than usual.
  pub habits: Habits,
  /// What happens.
  pub recorder: Recorder,
  /// Whether a caller that takes up a stream names the try that brought its first event.
  pub names_streams: bool,
  /// Where the requests of each kind go.
  pub routes: Arc<Routes>,
}

/// Sends the requests of a day. Returns once the last one has ended.
pub async fn run_callers(plan: CallerPlan) -> Outcome {
  let plan = Arc::new(plan);
  let mut zones = JoinSet::new();
  for index in 0..plan.traffic.len() {
    zones.spawn(run_zone(plan.clone(), index));
  }
  let mut outcome = Outcome::default();
  let classes = plan.site.classes.iter();
  let streams = classes.filter(|class| class.kind == RequestKind::Stream);
  outcome.stream_classes = streams.map(|class| class.name.clone()).collect();
  while let Some(zone) = zones.join_next().await {
    match zone {
      Ok(results) => add_all(&mut outcome, results),
      Err(error) => plan
        .recorder
        .note(format!("callers of a zone failed: {error}")),
    }
  }
  outcome
}

type RequestResult = (Arc<str>, ClassOutcome);

fn add_all(outcome: &mut Outcome, results: Vec<RequestResult>) {
  for (class, result) in results {
    outcome.classes.entry(class).or_default().add(&result);
  }
}

async fn run_zone(plan: Arc<CallerPlan>, index: usize) -> Vec<RequestResult> {
  let Some(traffic) = plan.traffic.get(index) else {
    return Vec::new();
  };
  let zone_number = u32::try_from(index).unwrap_or_default();
  let mut random = ChaCha8Rng::seed_from_u64(plan.seed);
  random.set_stream(RANDOM_STREAM + u64::from(zone_number));
  let clients = (0..traffic.clients.max(1)).map(|_| {
    let client = Client::new(traffic.zone.clone(), random.random());
    Arc::new(client)
  });
  let clients: Vec<Arc<Client>> = clients.collect();
  let arrivals = Arrivals {
    habits: &plan.habits,
    traffic,
  };
  let mut running = JoinSet::new();
  let started = Instant::now();
  let mut at_s = 0.0;
  let mut number = zone_number.wrapping_mul(NUMBERS_OF_ZONE);
  loop {
    at_s += arrivals.gap_s(at_s, &mut random);
    if at_s >= plan.length.as_secs_f64() {
      break;
    }
    sleep_until(started + Duration::from_secs_f64(at_s)).await;
    number = number.wrapping_add(1);
    let client = clients[random.random_range(0..clients.len())].clone();
    let Some(request) = draw_request(&plan, &arrivals, number, &mut random) else {
      continue;
    };
    running.spawn(send(plan.clone(), client, request));
  }
  let mut results = Vec::new();
  while let Some(result) = running.join_next().await {
    match result {
      Ok(result) => results.push(result),
      Err(error) => plan.recorder.note(format!("a caller failed: {error}")),
    }
  }
  for client in clients {
    client.close();
  }
  results
}

fn draw_request(
  plan: &CallerPlan,
  arrivals: &Arrivals<'_>,
  number: u32,
  random: &mut ChaCha8Rng,
) -> Option<ClientRequest> {
  let name = arrivals.class(random)?;
  let mut random = ChaCha8Rng::seed_from_u64(random.random());
  let class = plan.site.class(&name)?.clone();
  let content = DrawnRequest::draw(&plan.site, &class, &plan.routes, &mut random)?;
  Some(ClientRequest {
    class,
    content,
    number,
    random,
  })
}

async fn send(plan: Arc<CallerPlan>, client: Arc<Client>, request: ClientRequest) -> RequestResult {
  let class = request.class.name.clone();
  (class, client.send(&plan, request).await)
}
