//! The platform duty: all that this box says to the platform's services, and hears from them.

use {
  super::{
    claims,
    configuration::{Follower, is_watcher, read_all},
    key_value::KeyValue,
    lease,
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
/// A longer list is read less often, in proportion: its bytes a second stay the same.
const BOXES_PER_PERIOD: usize = 24;
const CONFIGURATION_RETRY: Duration = Duration::from_millis(500);
const LEASE_EXTENSIONS: u32 = 3;
const SWEEP_PERIOD: Duration = Duration::from_secs(600);
const CLAIM_LIMIT_CALLS: u32 = 2;
const RELEASE_LIMIT_CALLS: u32 = 30;

/// What the platform duty is told by `decide`.
#[derive(Debug)]
pub(crate) enum StoreInput {
  /// Write a claim.
  Claim(RequestId, Name, Name),
  /// Release a claim.
  Release(RequestId, Name, Name),
}

/// What the platform duty starts with.
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

/// What the tasks of this duty share.
struct Office {
  identity: BoxSettings,
  settings: Platform,
  started: Instant,
  observer: Observer,
  service: KeyValue,
  store: Mutex<Store>,
  keys: Arc<ArcSwap<KeyTable>>,
  phase: Arc<SharedPhase>,
  status: Arc<ArcSwap<Status>>,
  to_decide: Sender<Event>,
  /// Random for each start, so that no other process has the same tokens.
  salt: String,
}

/// Runs the platform duty until the process ends.
pub(crate) async fn run(setup: StoreSetup) {
  let call_limit = Duration::from_millis(setup.settings.call_ms);
  let counter = setup.observer.clone();
  let counted = Arc::new(move || counter.tell(Observation::PlatformCall));
  let office = Arc::new(Office {
    service: KeyValue::new(&setup.settings.key_value, call_limit, counted),
    identity: setup.identity,
    keys: setup.keys,
    observer: setup.observer,
    phase: setup.phase,
    salt: format!("{:032x}", rand::rng().random::<u128>()),
    settings: setup.settings,
    started: setup.started,
    status: setup.status,
    store: Mutex::default(),
    to_decide: setup.to_decide,
  });
  tokio::spawn(office.clone().follow_boxes(setup.to_peers));
  tokio::spawn(office.clone().follow_configuration());
  tokio::spawn(office.clone().be_steward());
  let (mut inputs, mut documents) = (setup.inputs, setup.documents);
  loop {
    let mut idle = true;
    while let Some(input) = inputs.pop() {
      idle = false;
      tokio::spawn(office.clone().settle(input));
    }
    while let Some(documents) = documents.pop() {
      idle = false;
      office.apply(documents).await;
    }
    if idle {
      setup.notify.notified().await;
    }
  }
}

impl Office {
  fn call_limit(&self) -> Duration {
    Duration::from_millis(self.settings.call_ms)
  }

  async fn settle(self: Arc<Self>, input: StoreInput) {
    match input {
      StoreInput::Claim(request, organisation, key) => {
        let token = self.token(request);
        let limit = self.call_limit() * CLAIM_LIMIT_CALLS;
        let outcome = claims::claim(&self.service, &organisation, &key, &token, limit).await;
        self
          .to_decide
          .send(Event::ClaimSettled(request, outcome))
          .await;
        if outcome == ClaimOutcome::Unavailable {
          // The caller is told "not run": a write that takes effect late must not stand.
          self.release(request, &organisation, &key).await;
        }
      }
      StoreInput::Release(request, organisation, key) => {
        self.release(request, &organisation, &key).await;
      }
    }
  }

  async fn release(&self, request: RequestId, organisation: &Name, key: &Name) {
    let limit = self.call_limit() * RELEASE_LIMIT_CALLS;
    let token = self.token(request);
    claims::release(&self.service, organisation, key, &token, limit).await;
  }

  /// The token by which a request's claim is known as its own.
  fn token(&self, request: RequestId) -> String {
    format!("{}/{}/{}", self.identity.name, self.salt, request.0)
  }

  /// Applies documents that are newer than those in force, and tells all who go by them.
  async fn apply(&self, documents: Vec<Document>) {
    let (view, keys) = {
      let mut store = self.store.lock().unwrap_or_else(PoisonError::into_inner);
      let mut changed = false;
      for document in documents {
        let key = document.key.clone();
        match store.apply(document) {
          Ok(news) => changed |= news,
          Err(error) => {
            let note = TimelineEvent::new(EventKind::ConfigurationRefused, key, error.to_string());
            self.observer.note(note);
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

  async fn follow_boxes(self: Arc<Self>, to_peers: Sender<PeersInput>) {
    let http = HttpClient::default();
    let mut periods = 1;
    loop {
      let listed = http
        .get::<BoxList>(&self.settings.box_list, self.call_limit())
        .await;
      match listed {
        Ok(list) => {
          periods = u32::try_from(list.boxes.len().div_ceil(BOXES_PER_PERIOD)).unwrap_or(1);
          to_peers.send(PeersInput::Boxes(list.boxes.clone())).await;
          self.to_decide.send(Event::Boxes(list.boxes)).await;
        }
        Err(error) => log::debug!("box list: {error}"),
      }
      sleep(BOX_LIST_PERIOD * periods.max(1)).await;
    }
  }

  /// The live boxes of the own hall, as `decide` sees them.
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

  /// A new box reads the configuration once, from wherever it comes first; then watchers watch.
  async fn follow_configuration(self: Arc<Self>) {
    let mut down = false;
    loop {
      if is_watcher(&self.identity.name, &self.hall_boxes()) {
        let opened = Follower::open(&self.service).await;
        self.note_outage(&mut down, opened.is_some());
        if let Some((documents, follower)) = opened {
          self.follow(documents, follower).await;
        }
      } else if self.phase.get() == Phase::Unready {
        let read = read_all(&self.service).await;
        self.note_outage(&mut down, read.is_some());
        if let Some((documents, _)) = read {
          self.apply(documents).await;
        }
      }
      sleep(CONFIGURATION_RETRY).await;
    }
  }

  async fn follow(&self, documents: Vec<Document>, mut follower: Follower) {
    self.apply(documents).await;
    while let Some(documents) = follower.next().await {
      self.apply(documents).await;
    }
  }

  fn note_outage(&self, down: &mut bool, reached: bool) {
    if *down == reached {
      *down = !reached;
      let kind = if reached {
        EventKind::PlatformUp
      } else {
        EventKind::PlatformDown
      };
      self.observer.say(kind, "key-value service", "");
    }
  }

  fn is_first(&self) -> bool {
    let boxes = self.hall_boxes();
    let ranked = crate::decide::rendezvous_order(&"steward".into(), &boxes);
    ranked.first() == Some(&self.identity.name)
  }

  fn own_ms(&self, time: Instant) -> u64 {
    u64::try_from(time.saturating_duration_since(self.started).as_millis()).unwrap_or(0)
  }

  /// The first box of the hall tries to hold the steward lease; the key decides between two.
  async fn be_steward(self: Arc<Self>) {
    let ttl = Duration::from_millis(self.settings.lease_ms);
    let mut held: Option<lease::Held> = None;
    let mut swept = Instant::now();
    loop {
      sleep(ttl / LEASE_EXTENSIONS).await;
      let before = held.is_some();
      held = match held {
        Some(held) => lease::extend(&self.service, held, ttl).await,
        None if self.phase.get() == Phase::Ready && self.is_first() => {
          lease::take(&self.service, &self.identity.hall, &self.identity.name, ttl).await
        }
        None => None,
      };
      match (&held, before) {
        (Some(_), false) => self
          .observer
          .say(EventKind::StewardTaken, &self.identity.hall, ""),
        (None, true) => self
          .observer
          .say(EventKind::StewardLost, &self.identity.hall, ""),
        _ => {}
      }
      if let Some(held) = &held {
        let event = Event::LeaseHeld {
          fence: held.fence,
          until_ms: self.own_ms(held.until),
        };
        self.to_decide.send(event).await;
        if swept.elapsed() > SWEEP_PERIOD {
          swept = Instant::now();
          claims::sweep(&self.service).await;
        }
      }
    }
  }
}
