//! Endpoints that are cold: they carry few requests of all boxes together until they are warm. Free of I/O.
//!
//! Load pattern: a hall comes back at once, or a drain ends, and each of its endpoints looks the least busy to every box. What a
//! box may send there is given out as for an endpoint that names a limit.

use {crate::ids::Name, std::collections::HashMap};

/// The longest time that is kept at one word: an endpoint that tells hours by mistake is warm after this.
const MAX_COLD_MS: u64 = 5 * 60 * 1_000;

/// For how long an endpoint is cold, and what it carries until then.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct ColdPeriod {
  /// Requests a second of all boxes together.
  pub per_s: f64,
  /// When this was noted.
  pub recorded_ms: u64,
  /// When it is warm.
  pub until_ms: u64,
}

/// The periods of endpoints that are cold, by id; that of an earlier life counts for nothing.
///
/// ```
/// use rillford::gateway::{ColdEndpoints, ColdPeriod};
/// let mut cold = ColdEndpoints::default();
/// cold.record(&"e-1".into(), Some(7), ColdPeriod { per_s: 8.0, recorded_ms: 0, until_ms: 3_000 });
/// // A word that it is warm sooner may be older than the one that is known.
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
  /// Takes over that a life of an endpoint is cold. Of several periods the one that ends last counts.
  pub fn record(&mut self, id: &Name, born_ms: Option<u64>, period: ColdPeriod) {
    let until_ms = period.until_ms.min(period.recorded_ms + MAX_COLD_MS);
    let known = self.periods.get(id).filter(|(known, _)| *known == born_ms);
    if known.is_some_and(|(_, known)| until_ms <= known.until_ms) {
      return;
    }
    let period = ColdPeriod { until_ms, ..period };
    self.periods.insert(id.clone(), (born_ms, period));
  }

  /// The period of a life that is cold at a time.
  pub fn period(&self, id: &str, born_ms: Option<u64>, now_ms: u64) -> Option<ColdPeriod> {
    let (known, period) = self.periods.get(id)?;
    (*known == born_ms && now_ms < period.until_ms).then_some(*period)
  }

  /// The requests a second that a life carries of all boxes together, while it is cold.
  pub fn per_s(&self, id: &str, born_ms: Option<u64>, now_ms: u64) -> Option<f64> {
    self.period(id, born_ms, now_ms).map(|period| period.per_s)
  }

  /// Whether no endpoint is known to be cold.
  pub fn is_empty(&self) -> bool {
    self.periods.is_empty()
  }

  /// Forgets what has become warm.
  pub fn expire(&mut self, now_ms: u64) {
    self
      .periods
      .retain(|_, (_, period)| now_ms < period.until_ms);
  }
}
