//! The store worker: all calls of this box to the platform's services.

use {
  super::{
    claims,
    configuration_watch::{ConfigurationWatch, is_watcher, read_all},
    key_value_client::KeyValueClient,
    leader_lease::{self, HeldLease},
  },
  crate::{
    configuration::{KeyTable, Store},
    decide::{BoxEntry, ClaimOutcome, Document, Event, EventKind, Status, TimelineEvent},
    http_client::HttpClient,
    ids::{Name, RequestId},
    ingress::{Phase, SharedPhase},
    observe::{Observation, Observer},
    peers::PeersInput,
    ring::{Receiver, Sender},
    settings::{BoxSettings, Platform},
  },
  arc_swap::ArcSwap,
  rand::RngExt,
  serde::Deserialize,
  std::{
    sync::{Arc, Mutex, PoisonError},
    time::Duration,
  },
  tokio::{
    sync::Notify,
    time::{Instant, sleep},
  },
};

const BOX_LIST_PERIOD: Duration = Duration::from_millis(1_000);
/// A box list longer than this is polled less often, in proportion, to keep its bytes per second constant.
const BOXES_PER_PERIOD: usize = 24;
const CONFIGURATION_RETRY_PERIOD: Duration = Duration::from_millis(500);
/// Attempts to extend the leader lease within its TTL.
const EXTENSIONS_PER_TTL: u32 = 3;
const SWEEP_PERIOD: Duration = Duration::from_secs(600);
/// Timeout of a claim, in call timeouts.
const CLAIM_TIMEOUT_CALLS: u32 = 2;
/// Timeout of the release of a claim, in call timeouts.
const RELEASE_TIMEOUT_CALLS: u32 = 30;

/// A command from `decide`.
#[derive(Debug)]
pub(crate) enum StoreInput {
  /// Claim an idempotency key of an organisation for a request.
  Claim(RequestId, Name, Name),
  /// Release the request's claim on an idempotency key of an organisation.
  Release(RequestId, Name, Name),
}

/// Configuration and channels of the store worker.
pub(crate) struct StoreSetup {
  pub(crate) identity: BoxSettings,
  pub(crate) settings: Platform,
  pub(crate) started: Instant,
  pub(crate) observer: Observer,
  pub(crate) keys: Arc<ArcSwap<KeyTable>>,
  pub(crate) phase: Arc<SharedPhase>,
  pub(crate) status: Arc<ArcSwap<Status>>,
  pub(crate) to_decide: Sender<Event>,
  pub(crate) to_peers: Sender<PeersInput>,
  pub(crate) inputs: Receiver<StoreInput>,
  pub(crate) documents: Receiver<Vec<Document>>,
  pub(crate) notify: Arc<Notify>,
}

#[derive(Debug, Deserialize)]
struct BoxList {
  boxes: Vec<BoxEntry>,
}

/// State shared by all tasks of this worker.
struct StoreContext {
  identity: BoxSettings,
  settings: Platform,
  started: Instant,
  observer: Observer,
  client: KeyValueClient,
  store: Mutex<Store>,
  keys: Arc<ArcSwap<KeyTable>>,
  phase: Arc<SharedPhase>,
  status: Arc<ArcSwap<Status>>,
  to_decide: Sender<Event>,
  /// Random for each process, so that claim tokens are unique.
  token_salt: String,
}

/// Runs the store worker until the process exits.
pub(crate) async fn run(setup: StoreSetup) {
  let call_timeout = Duration::from_millis(setup.settings.call_ms);
  let counter = setup.observer.clone();
  let on_call = Arc::new(move || counter.send(Observation::PlatformCall));
  let context = Arc::new(StoreContext {
    client: KeyValueClient::new(&setup.settings.key_value, call_timeout, on_call),
    identity: setup.identity,
    keys: setup.keys,
    observer: setup.observer,
    phase: setup.phase,
    settings: setup.settings,
    started: setup.started,
    status: setup.status,
    store: Mutex::default(),
    to_decide: setup.to_decide,
    token_salt: format!("{:032x}", rand::rng().random::<u128>()),
  });
  tokio::spawn(context.clone().poll_box_list(setup.to_peers));
  tokio::spawn(context.clone().follow_configuration());
  tokio::spawn(context.clone().run_leader_election());
  let (mut inputs, mut documents) = (setup.inputs, setup.documents);
  loop {
    let mut idle = true;
    while let Some(input) = inputs.pop() {
      idle = false;
      tokio::spawn(context.clone().handle_input(input));
    }
    while let Some(documents) = documents.pop() {
      idle = false;
      context.apply_documents(documents).await;
    }
    if idle {
      setup.notify.notified().await;
    }
  }
}

impl StoreContext {
  fn call_timeout(&self) -> Duration {
    Duration::from_millis(self.settings.call_ms)
  }

  async fn handle_input(self: Arc<Self>, input: StoreInput) {
    match input {
      StoreInput::Claim(request, organisation, key) => {
        let token = self.claim_token(request);
        let timeout = self.call_timeout() * CLAIM_TIMEOUT_CALLS;
        let outcome = claims::claim(&self.client, &organisation, &key, &token, timeout).await;
        self
          .to_decide
          .send(Event::ClaimSettled(request, outcome))
          .await;
        if outcome == ClaimOutcome::Unavailable {
          // The request is rejected as not run, so a claim whose write takes effect late must not remain.
          self.release(request, &organisation, &key).await;
        }
      }
      StoreInput::Release(request, organisation, key) => {
        self.release(request, &organisation, &key).await;
      }
    }
  }

  async fn release(&self, request: RequestId, organisation: &Name, key: &Name) {
    let timeout = self.call_timeout() * RELEASE_TIMEOUT_CALLS;
    let token = self.claim_token(request);
    claims::release(&self.client, organisation, key, &token, timeout).await;
  }

  /// The value that identifies a claim as made by this request.
  fn claim_token(&self, request: RequestId) -> String {
    format!("{}/{}/{}", self.identity.name, self.token_salt, request.0)
  }

  /// Applies documents that are newer than those in force, and publishes the resulting configuration.
  async fn apply_documents(&self, documents: Vec<Document>) {
    let (view, keys) = {
      let mut store = self.store.lock().unwrap_or_else(PoisonError::into_inner);
      let mut changed = false;
      for document in documents {
        let key = document.key.clone();
        match store.apply(document) {
          Ok(is_newer) => changed |= is_newer,
          Err(error) => {
            let note = TimelineEvent::new(EventKind::ConfigurationRefused, key, error.to_string());
            self.observer.record(note);
          }
        }
      }
      if !changed {
        return;
      }
      (store.view(), store.keys())
    };
    self.keys.store(keys);
    self.to_decide.send(Event::Configured(Arc::new(view))).await;
    self.phase.advance(Phase::Ready);
  }

  async fn poll_box_list(self: Arc<Self>, to_peers: Sender<PeersInput>) {
    let http = HttpClient::default();
    let mut periods = 1;
    loop {
      let listed = http
        .get::<BoxList>(&self.settings.box_list, self.call_timeout())
        .await;
      match listed {
        Ok(list) => {
          periods = u32::try_from(list.boxes.len().div_ceil(BOXES_PER_PERIOD)).unwrap_or(1);
          to_peers.send(PeersInput::Boxes(list.boxes.clone())).await;
          self.to_decide.send(Event::Boxes(list.boxes)).await;
        }
        Err(error) => log::debug!("box list not read: {error}"),
      }
      sleep(BOX_LIST_PERIOD * periods.max(1)).await;
    }
  }

  /// The live boxes of this box's hall, including itself.
  fn hall_boxes(&self) -> Vec<Name> {
    let status = self.status.load();
    let mut boxes = status
      .peers
      .iter()
      .filter(|peer| peer.hall == self.identity.hall && peer.live && !peer.leaving)
      .map(|peer| peer.name.clone())
      .collect::<Vec<_>>();
    boxes.push(self.identity.name.clone());
    boxes
  }

  /// Watches the configuration while this box is a watcher; otherwise only reads it until the box is ready.
  async fn follow_configuration(self: Arc<Self>) {
    let mut is_down = false;
    loop {
      if is_watcher(&self.identity.name, &self.hall_boxes()) {
        let opened = ConfigurationWatch::open(&self.client).await;
        self.record_outage(&mut is_down, opened.is_some());
        if let Some((documents, watch)) = opened {
          self.run_watch(documents, watch).await;
        }
      } else if self.phase.get() == Phase::Unready {
        let read = read_all(&self.client).await;
        self.record_outage(&mut is_down, read.is_some());
        if let Some((documents, _)) = read {
          self.apply_documents(documents).await;
        }
      }
      sleep(CONFIGURATION_RETRY_PERIOD).await;
    }
  }

  async fn run_watch(&self, documents: Vec<Document>, mut watch: ConfigurationWatch) {
    self.apply_documents(documents).await;
    while let Some(documents) = watch.next().await {
      self.apply_documents(documents).await;
    }
  }

  /// Records an event when the store becomes unreachable or reachable again.
  fn record_outage(&self, is_down: &mut bool, is_reachable: bool) {
    if *is_down == is_reachable {
      *is_down = !is_reachable;
      let kind = if is_reachable {
        EventKind::PlatformUp
      } else {
        EventKind::PlatformDown
      };
      self.observer.record_event(kind, "key-value service", "");
    }
  }

  /// Whether this box is the preferred leader of its hall.
  fn is_candidate(&self) -> bool {
    let boxes = self.hall_boxes();
    let ranked = crate::decide::rendezvous_order(&"steward".into(), &boxes);
    ranked.first() == Some(&self.identity.name)
  }

  /// A time in milliseconds since this box started.
  fn since_start_ms(&self, time: Instant) -> u64 {
    u64::try_from(time.saturating_duration_since(self.started).as_millis()).unwrap_or(0)
  }

  /// The preferred leader of the hall acquires and extends the leader lease; the store allows one holder at a time.
  async fn run_leader_election(self: Arc<Self>) {
    let ttl = Duration::from_millis(self.settings.lease_ms);
    let mut held: Option<HeldLease> = None;
    let mut last_sweep = Instant::now();
    loop {
      sleep(ttl / EXTENSIONS_PER_TTL).await;
      let was_leader = held.is_some();
      held = match held {
        Some(held) => leader_lease::extend(&self.client, held, ttl).await,
        None if self.phase.get() == Phase::Ready && self.is_candidate() => {
          leader_lease::acquire(&self.client, &self.identity.hall, &self.identity.name, ttl).await
        }
        None => None,
      };
      match (&held, was_leader) {
        (Some(_), false) => {
          self
            .observer
            .record_event(EventKind::StewardTaken, &self.identity.hall, "")
        }
        (None, true) => self
          .observer
          .record_event(EventKind::StewardLost, &self.identity.hall, ""),
        _ => {}
      }
      if let Some(held) = &held {
        let event = Event::LeaseHeld {
          fence: held.fence,
          until_ms: self.since_start_ms(held.valid_until),
        };
        self.to_decide.send(event).await;
        if last_sweep.elapsed() > SWEEP_PERIOD {
          last_sweep = Instant::now();
          claims::sweep(&self.client).await;
        }
      }
    }
  }
}
