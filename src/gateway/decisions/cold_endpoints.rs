//! Endpoints that are cold: they accept few requests over all boxes until they are warm. Free of I/O.
//!
//! Load pattern: a hall returns at once, or a drain ends, and each of its endpoints looks the least busy to every box.
//! Permits for them are granted as for an endpoint that advertises a limit.

use {crate::ids::Name, std::collections::HashMap};

/// Longest cold period honoured: an endpoint that reports hours by mistake counts as warm after this.
const MAX_COLD_MS: u64 = 5 * 60 * 1_000;

/// The period in which an endpoint is cold, and its rate until then.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct ColdPeriod {
  /// Requests per second over all boxes.
  pub per_s: f64,
  /// When the period was recorded.
  pub recorded_ms: u64,
  /// When the endpoint is warm.
  pub until_ms: u64,
}

/// The periods of cold endpoints by id; those of an earlier incarnation are ignored.
///
/// ```
/// use rillford::gateway::{ColdEndpoints, ColdPeriod};
/// let mut cold = ColdEndpoints::default();
/// cold.record(&"e-1".into(), Some(7), ColdPeriod { per_s: 8.0, recorded_ms: 0, until_ms: 3_000 });
/// // A report that it is warm sooner may be older than the recorded one.
/// cold.record(&"e-1".into(), Some(7), ColdPeriod { per_s: 8.0, recorded_ms: 100, until_ms: 200 });
/// assert_eq!(cold.per_s("e-1", Some(7), 2_999), Some(8.0));
/// assert_eq!(cold.per_s("e-1", Some(7), 3_000), None);
/// assert_eq!(cold.per_s("e-1", Some(8), 0), None);
/// ```
#[derive(Clone, Debug, Default)]
pub struct ColdEndpoints {
  periods: HashMap<Name, (Option<u64>, ColdPeriod)>,
}

impl ColdEndpoints {
  /// Records that an incarnation of an endpoint is cold; the period that ends last wins.
  pub fn record(&mut self, id: &Name, started_ms: Option<u64>, period: ColdPeriod) {
    let until_ms = period.until_ms.min(period.recorded_ms + MAX_COLD_MS);
    let known = self
      .periods
      .get(id)
      .filter(|(known, _)| *known == started_ms);
    if known.is_some_and(|(_, known)| until_ms <= known.until_ms) {
      return;
    }
    let period = ColdPeriod { until_ms, ..period };
    self.periods.insert(id.clone(), (started_ms, period));
  }

  /// The period of an incarnation that is cold at a time.
  pub fn period(&self, id: &str, started_ms: Option<u64>, now_ms: u64) -> Option<ColdPeriod> {
    let (known, period) = self.periods.get(id)?;
    (*known == started_ms && now_ms < period.until_ms).then_some(*period)
  }

  /// The requests per second that an incarnation accepts over all boxes while it is cold.
  pub fn per_s(&self, id: &str, started_ms: Option<u64>, now_ms: u64) -> Option<f64> {
    self
      .period(id, started_ms, now_ms)
      .map(|period| period.per_s)
  }

  /// Whether no endpoint is cold.
  pub fn is_empty(&self) -> bool {
    self.periods.is_empty()
  }

  /// Evicts the periods that have ended.
  pub fn expire(&mut self, now_ms: u64) {
    self
      .periods
      .retain(|_, (_, period)| now_ms < period.until_ms);
  }
}
