//! The egress duty: takes orders from `decide`, runs each as a task of its own, reports back.

use {
  super::{
    answer_reader::read_answer,
    calls::{ServiceCall, call, trimmed},
    endpoint_client::{EndpointClient, OrderFailure},
    errand::Errand,
    office::Office,
    pace::Pace,
    streams::ChunkStream,
  },
  crate::{
    chunk::{Body, Payload},
    decide::{
      Action, Began, CallCommand, DecodeCommand, Event, HoldCommand, ImportCommand, LoadReport,
      PrefillCommand, RoleCommand, StageOutcome, StageReport,
    },
    endpoint_api::{DecodeRequest, HoldsRequest, ImportRequest, PrefillRequest},
    http_client::HttpClient,
    ids::{AttemptId, Name, RequestId},
    observe::Observer,
    ring::{Receiver, Sender},
    settings::{EndpointSettings, Limits, Targets},
  },
  std::{
    collections::{BTreeMap, HashMap},
    sync::{Arc, Mutex, PoisonError},
    time::Duration,
  },
  tokio::{
    sync::Notify,
    task::AbortHandle,
    time::{Instant, sleep, timeout},
  },
};

const ORDER_SLACK: Duration = Duration::from_secs(2);
const LEAST_PREFILL: Duration = Duration::from_secs(8);

/// What egress is told.
#[derive(Debug)]
pub(crate) enum EgressInput {
  /// A request's body, from ingress; comes before any order for it.
  Payload(Payload),
  /// An order, from `decide`.
  Order(Action),
}

/// What the egress duty starts with.
pub(crate) struct EgressSetup {
  pub(crate) endpoints: Vec<EndpointSettings>,
  pub(crate) limits: Limits,
  pub(crate) targets: Targets,
  pub(crate) observer: Observer,
  pub(crate) started: Instant,
  pub(crate) to_decide: Sender<Event>,
  pub(crate) payloads: Receiver<EgressInput>,
  pub(crate) orders: Receiver<EgressInput>,
  pub(crate) notify: Arc<Notify>,
}

#[derive(Clone, Debug, Eq, Hash, PartialEq)]
struct TaskKey {
  attempt: AttemptId,
  endpoint: Name,
}

struct Desk {
  office: Arc<Office>,
  errands: HashMap<RequestId, Arc<Errand>>,
  tasks: HashMap<TaskKey, AbortHandle>,
  cursors: Arc<Mutex<BTreeMap<Name, u64>>>,
}

/// Runs the egress duty until the process ends.
pub(crate) async fn run(setup: EgressSetup) {
  let http = HttpClient::default();
  let clients = setup
    .endpoints
    .iter()
    .map(|endpoint| {
      let client = EndpointClient {
        http: http.clone(),
        name: endpoint.name.clone(),
        to_decide: setup.to_decide.clone(),
        url: trimmed(&endpoint.url),
      };
      (endpoint.name.clone(), client)
    })
    .collect();
  let office = Office {
    clients,
    limits: setup.limits,
    observer: setup.observer,
    started: setup.started,
    targets: setup.targets,
    to_decide: setup.to_decide,
  };
  let mut desk = Desk {
    cursors: Arc::default(),
    errands: HashMap::new(),
    office: Arc::new(office),
    tasks: HashMap::new(),
  };
  let (mut payloads, mut orders) = (setup.payloads, setup.orders);
  loop {
    // Orders are taken only after all payloads that were there before them.
    let order = orders.pop();
    while let Some(EgressInput::Payload(payload)) = payloads.pop() {
      desk.keep(payload);
    }
    match order {
      Some(EgressInput::Order(action)) => desk.order(action),
      Some(EgressInput::Payload(payload)) => desk.keep(payload),
      None => setup.notify.notified().await,
    }
  }
}

impl Desk {
  fn keep(&mut self, payload: Payload) {
    let errand = Errand {
      joiner: Mutex::default(),
      pace: Mutex::new(Some(Pace::new(payload.arrived))),
      prompt_tokens: Mutex::default(),
      payload,
    };
    self
      .errands
      .insert(errand.payload.request, Arc::new(errand));
  }

  fn order(&mut self, action: Action) {
    match action {
      Action::Prefill(order) => self.prefill(order),
      Action::Import(order) => self.import(order),
      Action::Decode(order) => self.decode(order),
      Action::Call(order) => self.call(order),
      Action::Cancel(attempt, endpoint) => self.cancel(attempt, endpoint),
      Action::AbortStream(attempt, endpoint) => self.give_up(attempt, endpoint),
      Action::ExtendHolds(order) => self.extend_holds(order),
      Action::PollLoad(endpoint) => self.poll_load(endpoint),
      Action::ListAttempts(endpoint) => self.list_attempts(endpoint),
      Action::SetRole(order) => self.change_role(order),
      Action::Complete(request, _) => self.forget(request),
      Action::Claim(..) | Action::ReleaseClaim(..) | Action::Send(..) | Action::Record(_) => {}
    }
  }

  fn forget(&mut self, request: RequestId) {
    self.errands.remove(&request);
    self.tasks.retain(|key, task| {
      let keep = key.attempt.request() != request && !task.is_finished();
      if key.attempt.request() == request {
        task.abort();
      }
      keep
    });
  }

  /// Runs an order as a task that ends with a report.
  fn spawn<F>(&mut self, attempt: AttemptId, endpoint: Name, work: F)
  where
    F: Future<Output = StageOutcome> + Send + 'static,
  {
    let office = self.office.clone();
    let key = TaskKey {
      attempt: attempt.clone(),
      endpoint: endpoint.clone(),
    };
    let task = tokio::spawn(async move {
      let outcome = work.await;
      office.report(attempt, endpoint, outcome).await;
    });
    self.tasks.insert(key, task.abort_handle());
  }

  /// The errand and the client of an order; without them the order never leaves.
  fn prepare(
    &mut self,
    attempt: &AttemptId,
    endpoint: &Name,
  ) -> Option<(Arc<Errand>, EndpointClient)> {
    let errand = self.errands.get(&attempt.request()).cloned();
    let client = self.office.client(endpoint);
    if let (Some(errand), Some(client)) = (errand, client) {
      return Some((errand, client));
    }
    self.spawn(attempt.clone(), endpoint.clone(), async {
      OrderFailure::NeverBegan.outcome(0)
    });
    None
  }

  fn prefill(&mut self, order: PrefillCommand) {
    let PrefillCommand {
      attempt,
      engine,
      priority,
      hold_ms,
      deadline_ms,
    } = order;
    let Some((errand, client)) = self.prepare(&attempt, &engine) else {
      return;
    };
    self.spawn(attempt.clone(), engine, async move {
      let Body::Completion {
        model,
        prompt,
        max_tokens,
      } = &errand.payload.body
      else {
        return OrderFailure::NeverBegan.outcome(0);
      };
      let request = PrefillRequest {
        answered: errand.joiner().text().into(),
        attempt,
        deadline_ms,
        hold_ms,
        max_tokens: *max_tokens,
        model: model.clone(),
        priority,
        prompt: prompt.clone(),
      };
      let limit = Duration::from_millis(deadline_ms).max(LEAST_PREFILL) + ORDER_SLACK;
      match client.prefill(&request, limit).await {
        Ok(answer) => {
          *errand
            .prompt_tokens
            .lock()
            .unwrap_or_else(PoisonError::into_inner) = answer.prompt_tokens;
          StageOutcome::Prefilled {
            cached_tokens: answer.cached_tokens,
            kv_bytes: answer.kv_bytes,
            prompt_tokens: answer.prompt_tokens,
          }
        }
        Err(failure) => failure.outcome(errand.offset()),
      }
    });
  }

  fn import(&mut self, order: ImportCommand) {
    let ImportCommand {
      attempt,
      source,
      engine,
      hold_ms,
      link_wait_ms,
      ..
    } = order;
    let Some((errand, client)) = self.prepare(&attempt, &engine) else {
      return;
    };
    let Some(source) = self.office.client(&source) else {
      return;
    };
    let office = self.office.clone();
    self.spawn(attempt.clone(), engine, async move {
      sleep(Duration::from_millis(link_wait_ms)).await;
      let request = ImportRequest {
        attempt,
        hold_ms,
        source_url: source.url,
      };
      match client.import(&request, office.stall()).await {
        Ok(_) => StageOutcome::Imported,
        Err(failure) => failure.outcome(errand.offset()),
      }
    });
  }

  fn decode(&mut self, order: DecodeCommand) {
    let DecodeCommand {
      attempt,
      engine,
      offset,
    } = order;
    let Some((errand, client)) = self.prepare(&attempt, &engine) else {
      return;
    };
    errand.joiner().begin(&attempt);
    let office = self.office.clone();
    let reporter = (attempt.clone(), engine.clone());
    self.spawn(attempt.clone(), engine, async move {
      let request = DecodeRequest {
        attempt,
        max_tokens: match &errand.payload.body {
          Body::Completion { max_tokens, .. } => *max_tokens,
          Body::Call { .. } => 0,
        },
        offset,
      };
      let opened = timeout(office.stall(), client.decode(&request)).await;
      let outcome = match opened {
        Ok(Ok(response)) => {
          let stream = ChunkStream::new(response, office.stall());
          read_answer(&office, &errand, stream, &reporter.0, &reporter.1).await
        }
        Ok(Err(failure)) => Err(failure),
        Err(_) => Err(OrderFailure::PerhapsBegan),
      };
      match outcome {
        Ok(tokens) => StageOutcome::Finished { tokens },
        Err(failure) => {
          errand.joiner().abandon();
          failure.outcome(errand.offset())
        }
      }
    });
  }

  fn call(&mut self, order: CallCommand) {
    let CallCommand {
      attempt,
      deadline_ms,
      endpoint,
    } = order;
    let Some((errand, client)) = self.prepare(&attempt, &endpoint) else {
      return;
    };
    let office = self.office.clone();
    let reporter = (attempt.clone(), endpoint.clone());
    self.spawn(attempt, endpoint, async move {
      let Body::Call {
        method,
        path,
        headers,
        body,
      } = &errand.payload.body
      else {
        return OrderFailure::NeverBegan.outcome(0);
      };
      let what = ServiceCall {
        body,
        headers,
        limit: Duration::from_millis(deadline_ms).max(office.stall()),
        method,
        path,
      };
      let began = || {
        let report = StageReport {
          attempt: reporter.0.clone(),
          endpoint: reporter.1.clone(),
          outcome: StageOutcome::FirstChunk,
        };
        office.to_decide.push(Event::Stage(report)).ok();
      };
      tokio::select! {
        outcome = call(&client, &errand.payload, what, office.stall(), began) => outcome,
        () = errand.payload.chunks.closed() => StageOutcome::Failed {
          began: Began::Perhaps,
          offset: 0,
          resumable: false,
        },
      }
    });
  }

  fn cancel(&mut self, attempt: AttemptId, endpoint: Name) {
    let key = TaskKey {
      attempt: attempt.clone(),
      endpoint: endpoint.clone(),
    };
    if let Some(task) = self.tasks.remove(&key) {
      task.abort();
    }
    let Some(client) = self.office.client(&endpoint) else {
      return;
    };
    let office = self.office.clone();
    tokio::spawn(async move {
      let answer = client.cancel(attempt.clone()).await;
      let event = Event::CancelSettled(attempt, endpoint, answer);
      office.to_decide.send(event).await;
    });
  }

  fn give_up(&mut self, attempt: AttemptId, endpoint: Name) {
    let key = TaskKey {
      attempt: attempt.clone(),
      endpoint: endpoint.clone(),
    };
    if let Some(task) = self.tasks.remove(&key) {
      task.abort();
    }
    let Some(errand) = self.errands.get(&attempt.request()).cloned() else {
      return;
    };
    errand.joiner().abandon();
    let outcome = OrderFailure::PerhapsBegan.outcome(errand.offset());
    self.spawn(attempt, endpoint, async move { outcome });
  }

  fn extend_holds(&mut self, order: HoldCommand) {
    let HoldCommand {
      engine: endpoint,
      attempts,
      hold_ms,
    } = order;
    let Some(client) = self.office.client(&endpoint) else {
      return;
    };
    let office = self.office.clone();
    tokio::spawn(async move {
      let request = HoldsRequest { attempts, hold_ms };
      let event = match client.extend_holds(&request).await {
        Some(_) => Event::HoldsExtended(endpoint),
        None => Event::HoldExtensionFailed(endpoint),
      };
      office.to_decide.send(event).await;
    });
  }

  fn poll_load(&mut self, endpoint: Name) {
    let Some(client) = self.office.client(&endpoint) else {
      return;
    };
    let office = self.office.clone();
    let cursors = self.cursors.clone();
    tokio::spawn(async move {
      let asked_ms = office.now_ms();
      let Some(reply) = client.load().await else {
        office.to_decide.send(Event::PollFailed(endpoint)).await;
        return;
      };
      let has_cache = reply.role.is_some();
      let report = LoadReport {
        age_ms: reply.age_ms + office.now_ms().saturating_sub(asked_ms),
        endpoint: endpoint.clone(),
        incarnation: reply.incarnation,
        leaving: reply.leaving,
        queue_tokens: reply.queue_tokens,
        role: reply.role,
        slots: reply.seats,
        used_slots: reply.used_seats,
      };
      office.to_decide.send(Event::LoadReported(report)).await;
      if has_cache {
        read_cache_events(&office, &client, endpoint, &cursors).await;
      }
    });
  }

  fn list_attempts(&mut self, endpoint: Name) {
    let Some(client) = self.office.client(&endpoint) else {
      return;
    };
    let office = self.office.clone();
    tokio::spawn(async move {
      if let Some(reply) = client.attempts().await {
        let event = Event::AttemptsListed(endpoint, reply.attempts);
        office.to_decide.send(event).await;
      }
    });
  }

  /// The lease is checked on the monotonic clock directly before the order is sent.
  fn change_role(&mut self, order: RoleCommand) {
    let Some(client) = self.office.client(&order.engine) else {
      return;
    };
    let office = self.office.clone();
    tokio::spawn(async move {
      if office.now_ms() < order.valid_until_ms {
        client.change_role(order.role, order.fence).await;
      }
    });
  }
}

async fn read_cache_events(
  office: &Office,
  client: &EndpointClient,
  endpoint: Name,
  cursors: &Mutex<BTreeMap<Name, u64>>,
) {
  let since = cursors
    .lock()
    .unwrap_or_else(PoisonError::into_inner)
    .get(&endpoint)
    .copied()
    .unwrap_or(0);
  let Some(reply) = client.cache_events(since).await else {
    return;
  };
  cursors
    .lock()
    .unwrap_or_else(PoisonError::into_inner)
    .insert(endpoint.clone(), reply.next);
  if !reply.blocks.is_empty() {
    let event = Event::CacheReported(endpoint, reply.blocks);
    office.to_decide.send(event).await;
  }
}
