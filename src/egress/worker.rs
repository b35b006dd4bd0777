//! The egress worker: runs each command from `decide` in its own task and reports the outcome back.

use {
  super::{
    active_request::ActiveRequest,
    chunk_stream::ChunkStream,
    context::EgressContext,
    endpoint_client::{CommandFailure, EndpointClient},
    latency_recorder::LatencyRecorder,
    response_reader::read_response,
    service_call::{ServiceCall, base_url, call_service},
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

/// Time that a prefill call may take beyond its deadline, for the network and the response.
const PREFILL_MARGIN: Duration = Duration::from_secs(2);
const MIN_PREFILL_DEADLINE: Duration = Duration::from_secs(8);

/// An input to the egress worker.
#[derive(Debug)]
pub(crate) enum EgressInput {
  /// A request body from ingress. It is queued before any command for the request.
  Payload(Payload),
  /// A command from `decide`.
  Command(Action),
}

/// Configuration and channels of the egress worker.
pub(crate) struct EgressSetup {
  pub(crate) endpoints: Vec<EndpointSettings>,
  pub(crate) limits: Limits,
  pub(crate) targets: Targets,
  pub(crate) observer: Observer,
  pub(crate) started: Instant,
  pub(crate) to_decide: Sender<Event>,
  pub(crate) payloads: Receiver<EgressInput>,
  pub(crate) commands: Receiver<EgressInput>,
  pub(crate) notify: Arc<Notify>,
}

#[derive(Clone, Debug, Eq, Hash, PartialEq)]
struct TaskKey {
  attempt: AttemptId,
  endpoint: Name,
}

struct Worker {
  context: Arc<EgressContext>,
  requests: HashMap<RequestId, Arc<ActiveRequest>>,
  tasks: HashMap<TaskKey, AbortHandle>,
  /// Ends the streams that are being read.
  streams: HashMap<TaskKey, Arc<Notify>>,
  /// Position in each engine's cache events.
  cursors: Arc<Mutex<BTreeMap<Name, u64>>>,
}

/// Runs the egress worker until the process exits.
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
        url: base_url(&endpoint.url),
      };
      (endpoint.name.clone(), client)
    })
    .collect();
  let context = EgressContext {
    clients,
    limits: setup.limits,
    observer: setup.observer,
    started: setup.started,
    targets: setup.targets,
    to_decide: setup.to_decide,
  };
  let mut worker = Worker {
    context: Arc::new(context),
    cursors: Arc::default(),
    requests: HashMap::new(),
    streams: HashMap::new(),
    tasks: HashMap::new(),
  };
  let (mut payloads, mut commands) = (setup.payloads, setup.commands);
  loop {
    // A command runs after all payloads that were queued before it, so that its request is known.
    let command = commands.pop();
    while let Some(EgressInput::Payload(payload)) = payloads.pop() {
      worker.add_request(payload);
    }
    match command {
      Some(EgressInput::Command(action)) => worker.run_command(action),
      Some(EgressInput::Payload(payload)) => worker.add_request(payload),
      None => setup.notify.notified().await,
    }
  }
}

impl Worker {
  fn add_request(&mut self, payload: Payload) {
    let request = ActiveRequest {
      joiner: Mutex::default(),
      latencies: Mutex::new(Some(LatencyRecorder::new(payload.arrived))),
      prompt_tokens: Mutex::default(),
      payload,
    };
    self
      .requests
      .insert(request.payload.request, Arc::new(request));
  }

  fn run_command(&mut self, action: Action) {
    match action {
      Action::Prefill(command) => self.prefill(command),
      Action::Import(command) => self.import(command),
      Action::Decode(command) => self.decode(command),
      Action::Call(command) => self.call(command),
      Action::Cancel(attempt, endpoint) => self.cancel(attempt, endpoint),
      Action::AbortStream(attempt, endpoint) => self.abort_stream(attempt, endpoint),
      Action::EndStream(attempt, endpoint) => self.end_stream(attempt, endpoint),
      Action::ExtendHolds(command) => self.extend_holds(command),
      Action::PollLoad(endpoint) => self.poll_load(endpoint),
      Action::ListAttempts(endpoint) => self.list_attempts(endpoint),
      Action::SetRole(command) => self.change_role(command),
      Action::Complete(request, _) => self.remove_request(request),
      Action::Claim(..) | Action::ReleaseClaim(..) | Action::Send(..) | Action::Record(_) => {}
    }
  }

  fn remove_request(&mut self, request: RequestId) {
    self.requests.remove(&request);
    self
      .streams
      .retain(|key, _| key.attempt.request() != request);
    self.tasks.retain(|key, task| {
      let keep = key.attempt.request() != request && !task.is_finished();
      if key.attempt.request() == request {
        task.abort();
      }
      keep
    });
  }

  /// Spawns a task that runs a command and reports its outcome.
  fn spawn<F>(&mut self, attempt: AttemptId, endpoint: Name, command: F)
  where
    F: Future<Output = StageOutcome> + Send + 'static,
  {
    let context = self.context.clone();
    let key = TaskKey {
      attempt: attempt.clone(),
      endpoint: endpoint.clone(),
    };
    let task = tokio::spawn(async move {
      let outcome = command.await;
      context.report(attempt, endpoint, outcome).await;
    });
    self.tasks.insert(key, task.abort_handle());
  }

  /// The request and the client for a command; if either is unknown, the command is not sent.
  fn prepare(
    &mut self,
    attempt: &AttemptId,
    endpoint: &Name,
  ) -> Option<(Arc<ActiveRequest>, EndpointClient)> {
    let active = self.requests.get(&attempt.request()).cloned();
    let client = self.context.client(endpoint);
    if let (Some(active), Some(client)) = (active, client) {
      return Some((active, client));
    }
    self.spawn(attempt.clone(), endpoint.clone(), async {
      CommandFailure::NeverBegan.outcome(0)
    });
    None
  }

  fn prefill(&mut self, command: PrefillCommand) {
    let PrefillCommand {
      attempt,
      engine,
      priority,
      hold_ms,
      deadline_ms,
    } = command;
    let Some((active, client)) = self.prepare(&attempt, &engine) else {
      return;
    };
    self.spawn(attempt.clone(), engine, async move {
      let Body::Completion {
        model,
        prompt,
        max_tokens,
      } = &active.payload.body
      else {
        return CommandFailure::NeverBegan.outcome(0);
      };
      let request = PrefillRequest {
        answered: active.joiner().text().into(),
        attempt,
        deadline_ms,
        hold_ms,
        max_tokens: *max_tokens,
        model: model.clone(),
        priority,
        prompt: prompt.clone(),
      };
      let timeout = Duration::from_millis(deadline_ms).max(MIN_PREFILL_DEADLINE) + PREFILL_MARGIN;
      match client.prefill(&request, timeout).await {
        Ok(response) => {
          *active
            .prompt_tokens
            .lock()
            .unwrap_or_else(PoisonError::into_inner) = response.prompt_tokens;
          StageOutcome::Prefilled {
            cached_tokens: response.cached_tokens,
            kv_bytes: response.kv_bytes,
            prompt_tokens: response.prompt_tokens,
          }
        }
        Err(failure) => failure.outcome(active.offset()),
      }
    });
  }

  fn import(&mut self, command: ImportCommand) {
    let ImportCommand {
      attempt,
      source,
      engine,
      hold_ms,
      link_wait_ms,
      ..
    } = command;
    let Some((active, client)) = self.prepare(&attempt, &engine) else {
      return;
    };
    let Some(source) = self.context.client(&source) else {
      return;
    };
    let context = self.context.clone();
    self.spawn(attempt.clone(), engine, async move {
      sleep(Duration::from_millis(link_wait_ms)).await;
      let request = ImportRequest {
        attempt,
        hold_ms,
        source_url: source.url,
      };
      match client.import(&request, context.stall_timeout()).await {
        Ok(_) => StageOutcome::Imported,
        Err(failure) => failure.outcome(active.offset()),
      }
    });
  }

  fn decode(&mut self, command: DecodeCommand) {
    let DecodeCommand {
      attempt,
      engine,
      offset,
    } = command;
    let Some((active, client)) = self.prepare(&attempt, &engine) else {
      return;
    };
    active.joiner().start_attempt(&attempt);
    let ended = self.add_stream(&attempt, &engine);
    let context = self.context.clone();
    let (attempt_id, endpoint) = (attempt.clone(), engine.clone());
    self.spawn(attempt.clone(), engine, async move {
      let request = DecodeRequest {
        attempt,
        max_tokens: match &active.payload.body {
          Body::Completion { max_tokens, .. } => *max_tokens,
          Body::Call { .. } => 0,
        },
        offset,
      };
      let opened = timeout(context.stall_timeout(), client.decode(&request)).await;
      let outcome = match opened {
        Ok(Ok(response)) => {
          let stream = ChunkStream::new(response, context.stall_timeout());
          read_response(&context, &active, stream, &attempt_id, &endpoint, &ended).await
        }
        Ok(Err(failure)) => Err(failure),
        Err(_) => Err(CommandFailure::PerhapsBegan),
      };
      match outcome {
        Ok(tokens) => StageOutcome::Finished { tokens },
        Err(failure) => {
          active.joiner().abandon_attempt();
          failure.outcome(active.offset())
        }
      }
    });
  }

  fn call(&mut self, command: CallCommand) {
    let CallCommand {
      attempt,
      deadline_ms,
      endpoint,
    } = command;
    let Some((active, client)) = self.prepare(&attempt, &endpoint) else {
      return;
    };
    let context = self.context.clone();
    let ended = self.add_stream(&attempt, &endpoint);
    let (attempt_id, endpoint_name) = (attempt.clone(), endpoint.clone());
    self.spawn(attempt, endpoint, async move {
      let Body::Call {
        method,
        path,
        headers,
        body,
      } = &active.payload.body
      else {
        return CommandFailure::NeverBegan.outcome(0);
      };
      let service_call = ServiceCall {
        body,
        head_timeout: Duration::from_millis(deadline_ms).max(context.stall_timeout()),
        headers,
        method,
        path,
        stall_timeout: context.stall_timeout(),
      };
      let on_progress = |outcome| {
        let report = StageReport {
          attempt: attempt_id.clone(),
          endpoint: endpoint_name.clone(),
          outcome,
        };
        context.to_decide.push(Event::Stage(report)).ok();
      };
      tokio::select! {
        outcome = call_service(&client, &active.payload, service_call, &ended, on_progress) => outcome,
        () = active.payload.chunks.closed() => StageOutcome::Failed {
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
    let Some(client) = self.context.client(&endpoint) else {
      return;
    };
    let context = self.context.clone();
    tokio::spawn(async move {
      let answer = client.cancel(attempt.clone()).await;
      let event = Event::CancelSettled(attempt, endpoint, answer);
      context.to_decide.send(event).await;
    });
  }

  fn abort_stream(&mut self, attempt: AttemptId, endpoint: Name) {
    let key = TaskKey {
      attempt: attempt.clone(),
      endpoint: endpoint.clone(),
    };
    if let Some(task) = self.tasks.remove(&key) {
      task.abort();
    }
    let Some(active) = self.requests.get(&attempt.request()).cloned() else {
      return;
    };
    active.joiner().abandon_attempt();
    let outcome = CommandFailure::PerhapsBegan.outcome(active.offset());
    self.spawn(attempt, endpoint, async move { outcome });
  }

  /// Registers a stream; the result ends it.
  fn add_stream(&mut self, attempt: &AttemptId, endpoint: &Name) -> Arc<Notify> {
    let ended = Arc::new(Notify::new());
    let key = TaskKey {
      attempt: attempt.clone(),
      endpoint: endpoint.clone(),
    };
    self.streams.insert(key, ended.clone());
    ended
  }

  fn end_stream(&mut self, attempt: AttemptId, endpoint: Name) {
    if let Some(ended) = self.streams.remove(&TaskKey { attempt, endpoint }) {
      ended.notify_one();
    }
  }

  fn extend_holds(&mut self, command: HoldCommand) {
    let Some(client) = self.context.client(&command.engine) else {
      return;
    };
    let context = self.context.clone();
    tokio::spawn(async move {
      let request = HoldsRequest {
        attempts: command.attempts.clone(),
        hold_ms: command.hold_ms,
      };
      let event = match client.extend_holds(&request).await {
        Some(_) => Event::HoldsExtended(command),
        None => Event::HoldExtensionFailed(command.engine),
      };
      context.to_decide.send(event).await;
    });
  }

  fn poll_load(&mut self, endpoint: Name) {
    let Some(client) = self.context.client(&endpoint) else {
      return;
    };
    let context = self.context.clone();
    let cursors = self.cursors.clone();
    tokio::spawn(async move {
      let sent_ms = context.now_ms();
      let Some(reply) = client.load().await else {
        context.to_decide.send(Event::PollFailed(endpoint)).await;
        return;
      };
      let has_cache = reply.role.is_some();
      let report = LoadReport {
        age_ms: reply.age_ms + context.now_ms().saturating_sub(sent_ms),
        endpoint: endpoint.clone(),
        incarnation: reply.incarnation,
        leaving: reply.leaving,
        queue_tokens: reply.queue_tokens,
        role: reply.role,
        slots: reply.seats,
        used_slots: reply.used_seats,
      };
      context.to_decide.send(Event::LoadReported(report)).await;
      if has_cache {
        read_cache_events(&context, &client, endpoint, &cursors).await;
      }
    });
  }

  fn list_attempts(&mut self, endpoint: Name) {
    let Some(client) = self.context.client(&endpoint) else {
      return;
    };
    let context = self.context.clone();
    tokio::spawn(async move {
      if let Some(reply) = client.attempts().await {
        let event = Event::AttemptsListed(endpoint, reply.attempts);
        context.to_decide.send(event).await;
      }
    });
  }

  /// Checks that the lease is still valid directly before the command is sent.
  fn change_role(&mut self, command: RoleCommand) {
    let Some(client) = self.context.client(&command.engine) else {
      return;
    };
    let context = self.context.clone();
    tokio::spawn(async move {
      if context.now_ms() < command.valid_until_ms {
        client.change_role(command.role, command.fence).await;
      }
    });
  }
}

async fn read_cache_events(
  context: &EgressContext,
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
    context.to_decide.send(event).await;
  }
}
