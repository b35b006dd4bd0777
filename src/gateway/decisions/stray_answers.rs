//! Endpoints that lately sent bytes that belong to no call: another such answer may come on any connection to them that has carried
//! a call. Free of I/O.
//!
//! Load pattern: endpoints that send an answer once more, in the place of the next one on the connection. A request that may run
//! only once is lost then.

use {crate::ids::Name, std::collections::HashMap};

/// Time for which an endpoint counts as faulty after the last stray answer. A fault that outlasts it costs a box
/// [`MIN_FAULTY_ENDPOINTS`] requests at most for each such time.
const FAULTY_MS: u64 = 60_000;
/// Faulty endpoints of a service from which on any of its endpoints may be: the fault is not that of one process. A box of a large
/// fleet sends each endpoint too few requests to learn of each one's fault in time.
const MIN_FAULTY_ENDPOINTS: usize = 2;

/// The endpoints that lately sent bytes that belong to no call.
///
/// ```
/// use rillford::gateway::StrayAnswers;
/// let mut answers = StrayAnswers::default();
/// answers.record("llm", &"e-1".into(), 1_000);
/// assert!(answers.may_follow("llm", "e-1", 60_999));
/// assert!(!answers.may_follow("llm", "e-2", 1_000));
/// assert!(!answers.may_follow("llm", "e-1", 61_000));
/// answers.record("llm", &"e-3".into(), 2_000);
/// assert!(answers.may_follow("llm", "e-2", 2_000));
/// ```
#[derive(Clone, Debug, Default)]
pub struct StrayAnswers {
  /// By service and endpoint, on the box's clock.
  faulty_until_ms: HashMap<Name, HashMap<Name, u64>>,
}

impl StrayAnswers {
  /// An endpoint has sent bytes that belong to no call; returns whether it did not count as faulty before.
  pub fn record(&mut self, service: &str, endpoint: &Name, now_ms: u64) -> bool {
    self.forget_expired(now_ms);
    let of_service = self.faulty_until_ms.entry(service.into()).or_default();
    let former = of_service.insert(endpoint.clone(), now_ms + FAULTY_MS);
    former.is_none()
  }

  /// Whether another stray answer may come on a connection to an endpoint that has carried a call.
  pub fn may_follow(&self, service: &str, endpoint: &str, now_ms: u64) -> bool {
    let Some(of_service) = self.faulty_until_ms.get(service) else {
      return false;
    };
    let is_faulty = |until_ms: &u64| now_ms < *until_ms;
    let mut faulty = of_service.values().filter(|until_ms| is_faulty(until_ms));
    of_service.get(endpoint).is_some_and(is_faulty)
      || faulty.nth(MIN_FAULTY_ENDPOINTS - 1).is_some()
  }

  /// Endpoints that are remembered.
  pub fn endpoint_count(&self) -> usize {
    self.faulty_until_ms.values().map(HashMap::len).sum()
  }

  fn forget_expired(&mut self, now_ms: u64) {
    self.faulty_until_ms.retain(|_, of_service| {
      of_service.retain(|_, until_ms| now_ms < *until_ms);
      !of_service.is_empty()
    });
  }
}
