//! A caller's request, read whole and matched to its route.

use {
  super::sending::Sending,
  crate::{
    gateway::{
      decisions::{AllowedHalls, Fingerprint, RequestIdentity},
      edge::{CallerFacts, Dialect, EndpointEntry, Marks, Organisation, Part, Route},
      permits::PermitCaller,
      settings::RouteRank,
    },
    ids::Name,
  },
  bytes::Bytes,
  http::{HeaderMap, Method, Request, Uri, header::HOST},
  http_body_util::Full,
  std::{
    cell::{Cell, OnceCell},
    rc::Rc,
  },
};

/// Part of the longest answer that is reserved where the caller gives no estimate: answers are a third of it at the
/// mean, and grow while others end.
const EXPECTED_ANSWER_SHARE: f64 = 0.5;
/// Part of the caller's estimate that is reserved. Half is what a stream holds on the mean over its life, but engines that are
/// short of memory preempt then, and read prompts anew.
const ESTIMATE_SHARE: f64 = 0.8;
/// Part of the longest answer that is reserved besides an estimate: estimates are right at the median, and often far off.
const BESIDES_ESTIMATE_SHARE: f64 = 0.1;

/// The priority of a stream that goes on: what was read for it is lost otherwise.
const MOST_URGENT: u8 = 0;

/// A caller's request on its way.
#[derive(Debug)]
pub(crate) struct RoutedRequest {
  pub(crate) method: Method,
  pub(crate) uri: Uri,
  /// The caller's headers, without those of its connection and those that only this router sets.
  pub(crate) headers: HeaderMap,
  pub(crate) body: Bytes,
  pub(crate) facts: CallerFacts,
  /// Who asks; nothing where callers belong to none.
  pub(crate) organisation: Option<Rc<Organisation>>,
  pub(crate) route: Rc<Route>,
  /// The halls that the homes of its route and its organisation leave.
  pub(crate) allowed_halls: AllowedHalls,
  pub(crate) service: Name,
  pub(crate) rank: RouteRank,
  /// When it came, on the box's clock.
  pub(crate) arrived_ms: u64,
  /// When its final answer is due at the latest.
  pub(crate) until_ms: u64,
  /// Whether it may be sent as often as its route allows.
  pub(crate) sending: Cell<Sending>,
  /// Worked out when it is first asked for.
  pub(crate) fingerprint: OnceCell<Fingerprint>,
}

impl RoutedRequest {
  /// What one endpoint has to know of a part; without a reservation or an event to go on after.
  pub(crate) fn marks(&self, entry: &EndpointEntry, part: Part, now_ms: u64) -> Marks {
    Marks {
      deadline_ms: self.left_ms(now_ms),
      endpoint_id: entry.id.clone(),
      last_event_id: None,
      organisation: self
        .organisation
        .as_ref()
        .map(|organisation| organisation.name.clone()),
      part,
      priority: self.rank.mark,
      reservation: None,
    }
  }

  /// The request as one endpoint gets it.
  pub(crate) fn for_endpoint(&self, dialect: &dyn Dialect, marks: &Marks) -> Request<Full<Bytes>> {
    let mut request = Request::new(Full::new(self.body.clone()));
    *request.method_mut() = self.method.clone();
    *request.uri_mut() = self.uri.clone();
    *request.headers_mut() = self.headers.clone();
    dialect.mark(request.headers_mut(), marks);
    request
  }

  /// What it shares with its repeats, whatever their ids.
  pub(crate) fn fingerprint(&self) -> Fingerprint {
    *self.fingerprint.get_or_init(|| {
      let host = self.headers.get(HOST).and_then(|host| host.to_str().ok());
      Fingerprint::of(RequestIdentity {
        body: &self.body,
        host: host.unwrap_or_default(),
        method: self.method.as_str(),
        organisation: self
          .organisation
          .as_ref()
          .map(|organisation| &*organisation.name),
        path: self
          .uri
          .path_and_query()
          .map_or(self.uri.path(), |path| path.as_str()),
      })
    })
  }

  /// What reading its prompt apart shares with that of its repeats.
  pub(crate) fn reading_fingerprint(&self) -> Fingerprint {
    self.fingerprint().of_prefill()
  }

  /// Its id, for logs.
  pub(crate) fn id(&self) -> &str {
    self.facts.request_id.as_deref().unwrap_or("-")
  }

  /// Who wants a place at an endpoint.
  pub(crate) fn permit_caller(&self) -> PermitCaller<'_> {
    let goes_on = self.facts.last_event_id.is_some();
    PermitCaller {
      priority: if goes_on {
        MOST_URGENT
      } else {
        self.rank.priority
      },
      request: self.id(),
    }
  }

  /// Time that is left.
  pub(crate) fn left_ms(&self, now_ms: u64) -> u64 {
    self.until_ms.saturating_sub(now_ms)
  }

  /// Tokens that it is expected to take in an engine's memory: the prompt, and part of the longest answer.
  pub(crate) fn tokens(&self) -> u64 {
    self.facts.prompt_tokens + self.expected_answer_tokens()
  }

  /// Tokens that the answer is expected to take there.
  pub(crate) fn expected_answer_tokens(&self) -> u64 {
    let longest = self.facts.answer_tokens as f64;
    let expected = match self.facts.answer_estimate {
      Some(estimate) => {
        (estimate as f64).min(longest) * ESTIMATE_SHARE + longest * BESIDES_ESTIMATE_SHARE
      }
      None => longest * EXPECTED_ANSWER_SHARE,
    };
    expected as u64
  }
}
