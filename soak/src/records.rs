//! What callers, endpoints and the operator observed during a run. The promises are checked against these records only.

use {
  super::{
    caller_key::CallerKey,
    disturbance::Disturbance,
    garble::GarbledAnswer,
    hall::Hall,
    request_kind::RequestKind,
    work::{RequestContent, Work},
  },
  std::collections::BTreeMap,
};

/// The outcome of a request for its caller.
#[derive(Clone, Debug, Eq, PartialEq)]
pub enum Outcome {
  /// The response was complete as far as the caller can tell.
  Complete {
    /// HTTP status.
    status: u16,
    /// The endpoint's receipt.
    receipt: Option<String>,
    /// Response body.
    body: String,
  },
  /// The connection was refused or lost.
  ConnectionLost {
    /// HTTP status, if the response head arrived.
    status: Option<u16>,
    /// Response body received so far.
    body: String,
  },
  /// The request did not end within the caller's deadline and a margin.
  Unanswered,
  /// The caller left for another box while the response was being written, and read no more of it.
  Moved {
    /// Response body received so far.
    body: String,
  },
  /// The caller disconnected early.
  Disconnected,
}

/// A run of a request at an endpoint.
#[derive(Clone, Debug, Eq, PartialEq)]
pub struct Run {
  /// The endpoint's place, which is the same for later incarnations at its address.
  pub place: usize,
  /// The endpoint's incarnation.
  pub incarnation: String,
  /// Index of the box that sent it: another one than the caller's if that forwarded the request.
  pub box_index: usize,
  /// The organisation named in the request that the endpoint received.
  pub organisation: String,
  /// Start of the run.
  pub began_ms: u64,
  /// Time of its first event, if it is a stream.
  pub first_event_ms: Option<u64>,
  /// End of the run; `None` while it lasts.
  pub ended_ms: Option<u64>,
}

/// The stream that a request resumes.
#[derive(Clone, Debug, Eq, PartialEq)]
pub struct ResumedStream {
  /// The id of the request that brought its first event.
  pub first_id: String,
  /// The last event that the caller has.
  pub last_event: u64,
  /// The number of other engines of the version that began it, when it was resumed.
  pub engines: usize,
}

/// A caller's request.
#[derive(Clone, Debug, Eq, PartialEq)]
pub struct RequestRecord {
  /// Kind of request.
  pub kind: RequestKind,
  /// The stream that it resumes.
  pub resumes: Option<ResumedStream>,
  /// API key of the request.
  pub key: CallerKey,
  /// Index of the box that received it.
  pub box_index: usize,
  /// Time at which it was sent.
  pub sent_ms: u64,
  /// Time at which it ended for the caller.
  pub ended_ms: Option<u64>,
  /// Outcome for the caller; `None` while it is open.
  pub outcome: Option<Outcome>,
  /// Runs at endpoints.
  pub runs: Vec<Run>,
}

impl RequestRecord {
  /// The id of the stream that it begins or resumes, and the last event that its caller has before it.
  pub(crate) fn stream<'a>(&'a self, id: &'a str) -> (&'a str, u64) {
    match &self.resumes {
      Some(resumed) => (&resumed.first_id, resumed.last_event),
      None => (id, 0),
    }
  }

  /// The part of the response that the caller received.
  pub(crate) fn body(&self) -> &str {
    match &self.outcome {
      Some(
        Outcome::Complete { body, .. }
        | Outcome::ConnectionLost { body, .. }
        | Outcome::Moved { body },
      ) => body,
      _ => "",
    }
  }

  /// Whether the caller left before the end.
  pub(crate) fn has_left(&self) -> bool {
    matches!(
      self.outcome,
      Some(Outcome::Disconnected | Outcome::Moved { .. })
    )
  }

  /// Whether the caller received a successful response.
  pub(crate) fn is_served(&self) -> bool {
    matches!(&self.outcome, Some(Outcome::Complete { status, .. }) if (200..300).contains(status))
  }
}

/// A probe of whether a box has applied a version of the configuration.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub struct Probe {
  /// Index of the box.
  pub box_index: usize,
  /// Number of the process of that box.
  pub process_number: u64,
  /// Version that the probe asked for.
  pub version: u64,
  /// Time at which the probe was sent.
  pub sent_ms: u64,
  /// Whether the box had applied the version; `None` without a usable response.
  pub in_force: Option<bool>,
}

/// A role command that reached an engine, accepted or not.
#[derive(Clone, Debug, Eq, PartialEq)]
pub struct RoleCommandRecord {
  /// The engine's incarnation.
  pub incarnation: String,
  /// The box that sent the command.
  pub holder: String,
  /// Fencing token.
  pub fence: u64,
}

/// A response with the leaving signal of its endpoint, passed through a box to a caller.
#[derive(Clone, Debug, Eq, PartialEq)]
pub struct LeavingReceived {
  /// Index of the box.
  pub box_index: usize,
  /// The endpoint's incarnation.
  pub incarnation: String,
  /// Time at which the caller received it.
  pub at_ms: u64,
}

/// A limit that an endpoint advertises in its responses.
#[derive(Clone, Debug, Eq, PartialEq)]
pub struct AdvertisedLimit {
  /// The endpoint's incarnation.
  pub incarnation: String,
  /// Requests per second, for all boxes together.
  pub per_s: u32,
  /// Start of the period.
  pub from_ms: u64,
  /// End of the period; `None` while it lasts.
  pub until_ms: Option<u64>,
}

/// A response with the advertised limit of its endpoint, passed through a box to a caller.
#[derive(Clone, Debug, Eq, PartialEq)]
pub struct LimitReceived {
  /// Index of the box.
  pub box_index: usize,
  /// The endpoint's incarnation.
  pub incarnation: String,
  /// Time at which the caller received it.
  pub at_ms: u64,
}

/// A drain of a data hall by operators.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub struct HallDrain {
  /// The hall.
  pub hall: Hall,
  /// Time at which the store accepted the drain.
  pub from_ms: u64,
  /// Time at which the operators ended the drain; `None` while it lasts.
  pub until_ms: Option<u64>,
}

/// A request that an endpoint rejected with a retry-after delay.
#[derive(Clone, Debug, Eq, PartialEq)]
pub struct Rejection {
  /// Request id.
  pub id: String,
  /// The endpoint's incarnation.
  pub incarnation: String,
  /// Time of the rejection.
  pub at_ms: u64,
  /// Retry-after delay.
  pub retry_after_ms: u64,
}

/// A start of an endpoint, possibly with an incarnation id that was used before.
#[derive(Clone, Debug, Eq, PartialEq)]
pub struct Start {
  /// The incarnation.
  pub incarnation: String,
  /// Time of the start.
  pub at_ms: u64,
}

/// A planned stop of a box.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub struct PlannedStop {
  /// Index of the box.
  pub box_index: usize,
  /// Time of the stop signal.
  pub signalled_ms: u64,
  /// Time at which the process had exited.
  pub exited_ms: u64,
  /// Whether the process exited in time by itself, with success.
  pub is_clean: bool,
}

/// All records of one run.
#[derive(Clone, Debug, Default, Eq, PartialEq)]
pub struct Records {
  /// Requests by id.
  pub requests: BTreeMap<String, RequestRecord>,
  /// What callers, and the run's own probes, sent, by id. Endpoints may run it after its sender has given up.
  pub sent: BTreeMap<String, RequestContent>,
  /// What endpoints worked on.
  pub work: Vec<Work>,
  /// API keys that reached endpoints.
  pub leaked_keys: Vec<String>,
  /// Prompts that were used for another request.
  pub mismatched_prompts: Vec<String>,
  /// Configuration probes.
  pub probes: Vec<Probe>,
  /// Time at which the store acknowledged each version.
  pub versions: BTreeMap<u64, u64>,
  /// Time at which each draining incarnation was marked in the store.
  pub draining: BTreeMap<String, u64>,
  /// Responses with a leaving signal.
  pub leaving_received: Vec<LeavingReceived>,
  /// Advertised limits.
  pub advertised_limits: Vec<AdvertisedLimit>,
  /// Responses with an advertised limit.
  pub limits_received: Vec<LimitReceived>,
  /// Drains of data halls.
  pub hall_drains: Vec<HallDrain>,
  /// Halls among which places alternate, if not the usual number.
  pub halls: Option<usize>,
  /// Rejections with a retry-after delay.
  pub rejections: Vec<Rejection>,
  /// Whether endpoints are as fast after their start as later.
  pub has_warm_starts: bool,
  /// Endpoints that the route of resumable streams allows one request to be sent to, if not the usual number.
  pub stream_attempts: Option<usize>,
  /// Answers that endpoints garbled, by the id of the request that they received.
  pub garbled: BTreeMap<String, Vec<GarbledAnswer>>,
  /// Starts of endpoints.
  pub starts: Vec<Start>,
  /// Role commands in order of arrival.
  pub role_commands: Vec<RoleCommandRecord>,
  /// Times of engine crashes caused by the crashing request.
  pub crashes: Vec<u64>,
  /// Planned stops.
  pub stops: Vec<PlannedStop>,
  /// Disturbances.
  pub disturbances: Vec<Disturbance>,
  /// Resources that engines still held after the traffic had ended.
  pub unreleased_resources: Vec<String>,
  /// Time since which no fault is active and all boxes are ready.
  pub faults_ended_ms: Option<u64>,
}

impl Records {
  /// The answers to a request that endpoints garbled, for the text of its breaches.
  pub(crate) fn garbled_note(&self, id: &str) -> String {
    let Some(answers) = self.garbled.get(id) else {
      return String::new();
    };
    let may_resume = self
      .requests
      .get(id)
      .is_some_and(|request| request.kind.may_resume());
    let resumes = if may_resume {
      "may be resumed"
    } else {
      "may not be resumed"
    };
    let names: Vec<String> = answers.iter().map(GarbledAnswer::to_string).collect();
    let can_be_told = answers.iter().all(|answer| answer.can_be_told(may_resume));
    let told = if can_be_told { "" } else { ", can't be told" };
    format!(" [{}, {resumes}{told}]", names.join(" "))
  }
}
