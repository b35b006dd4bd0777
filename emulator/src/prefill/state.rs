//! The state of a prefill simulation, and its events.

use {
  super::{
    engine::Engine, figures::PrefillFigures, fleet::Fleet, pattern::PrefillPattern,
    strategy::PrefillStrategy,
  },
  crate::queue::Queue,
  rand::RngExt,
  rand_chacha::ChaCha8Rng,
  rillford::gateway::{
    EndpointRegistry, LoadHeader, Place, PlaceOutcome, PrefillOffer, PrefillQueue,
  },
  std::{collections::HashMap, time::Duration},
};

/// Largest delay until a box receives a change of the box list.
const MAX_LIST_DELAY_MS: f64 = 2_000.0;

pub(super) enum Event {
  RequestArrives,
  /// A box sends a prompt to an engine.
  Send {
    request: usize,
    engine: usize,
  },
  AtEngine {
    request: usize,
    engine: usize,
  },
  /// An engine finished its first prompt.
  Finished {
    engine: usize,
  },
  /// A box gets the response with the engine's load after the prompt.
  Response {
    request: usize,
    load: LoadHeader,
    slowdown_percent: u32,
  },
  /// A coordinator receives a request for a place.
  PlaceRequested {
    ask: usize,
  },
  PlaceAnswered {
    ask: usize,
    place: Option<Place>,
  },
  AskTimeout {
    ask: usize,
  },
  /// A coordinator receives a report.
  Reported {
    ask: usize,
    outcome: PlaceOutcome,
  },
}

pub(super) struct Request {
  pub(super) at: usize,
  pub(super) decode_hall: usize,
  pub(super) tokens: u64,
  pub(super) arrived_ms: u64,
  pub(super) sent_ms: u64,
  pub(super) engine: usize,
  pub(super) is_behind: bool,
  /// The ask whose place it uses.
  pub(super) ask: Option<usize>,
}

pub(super) struct PrefillReplay {
  pub(super) pattern: PrefillPattern,
  pub(super) strategy: PrefillStrategy,
  pub(super) fleet: Fleet,
  pub(super) random: ChaCha8Rng,
  pub(super) queue: Queue<Event>,
  pub(super) now_ms: u64,
  pub(super) requests: Vec<Request>,
  pub(super) engines: Vec<Engine>,
  /// By box; created when it first chooses by itself.
  pub(super) registries: Vec<Option<Box<EndpointRegistry>>>,
  pub(super) places: Places,
  pub(super) durations_ms: Vec<u64>,
  pub(super) figures: PrefillFigures,
  /// Messages and bytes that each box sent and received for the choice.
  pub(super) messages: Vec<u64>,
  pub(super) bytes: Vec<u64>,
  pub(super) decision_time: Duration,
  pub(super) decisions: u32,
}

/// A question of a box to a coordinator.
pub(super) struct Ask {
  pub(super) request: usize,
  pub(super) group: usize,
  pub(super) coordinator: usize,
  pub(super) is_first: bool,
  pub(super) is_closed: bool,
}

pub(super) struct Places {
  pub(super) asks: Vec<Ask>,
  /// The places of each group at each box that took itself for its coordinator.
  pub(super) queues: HashMap<(usize, usize), PrefillQueue>,
  /// Open questions and offers of each request that asks.
  pub(super) offers: HashMap<usize, (u32, Vec<(usize, PrefillOffer)>)>,
  /// Until when a box does not ask a coordinator.
  pub(super) unresponsive_until_ms: HashMap<(usize, usize), u64>,
  pub(super) list_delays_ms: Vec<u64>,
}

impl Places {
  pub(super) fn new(fleet: &Fleet, random: &mut ChaCha8Rng) -> Self {
    let delays = (0..fleet.boxes).map(|_| (random.random::<f64>() * MAX_LIST_DELAY_MS) as u64);
    Self {
      asks: Vec::new(),
      list_delays_ms: delays.collect(),
      offers: HashMap::new(),
      queues: HashMap::new(),
      unresponsive_until_ms: HashMap::new(),
    }
  }
}
