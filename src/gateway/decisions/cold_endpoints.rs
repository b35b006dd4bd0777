//! Endpoints that are cold: they carry few requests of all boxes together until they are warm. Free of I/O.
//!
//! Load pattern: a hall comes back at once, or a drain ends, and each of its endpoints looks the least busy to every box. What a
//! box may send there is given out as for an endpoint that names a limit.

use {crate::ids::Name, std::collections::HashMap};

/// The longest time that is kept at one word: an endpoint that tells hours by mistake is warm after this.
const MOST_COLD_MS: u64 = 5 * 60 * 1_000;

/// For how long an endpoint is cold, and what it carries until then.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct ColdSpan {
  /// Requests a second of all boxes together.
  pub per_s: f64,
  /// When this was noted.
  pub noted_ms: u64,
  /// When it is warm.
  pub until_ms: u64,
}

/// The spans of endpoints that are cold, by id; that of an earlier life counts for nothing.
///
/// ```
/// use rillford::gateway::{ColdEndpoints, ColdSpan};
/// let mut cold = ColdEndpoints::default();
/// cold.note(&"e-1".into(), Some(7), ColdSpan { per_s: 8.0, noted_ms: 0, until_ms: 3_000 });
/// // A word that it is warm sooner may be older than the one that is known.
/// cold.note(&"e-1".into(), Some(7), ColdSpan { per_s: 8.0, noted_ms: 100, until_ms: 200 });
/// assert_eq!(cold.per_s("e-1", Some(7), 2_999), Some(8.0));
/// assert_eq!(cold.per_s("e-1", Some(7), 3_000), None);
/// assert_eq!(cold.per_s("e-1", Some(8), 0), None);
/// ```
#[derive(Clone, Debug, Default)]
pub struct ColdEndpoints {
  spans: HashMap<Name, (Option<u64>, ColdSpan)>,
}

impl ColdEndpoints {
  /// Takes over that a life of an endpoint is cold. Of several spans the one that ends last counts.
  pub fn note(&mut self, id: &Name, started_ms: Option<u64>, span: ColdSpan) {
    let until_ms = span.until_ms.min(span.noted_ms + MOST_COLD_MS);
    let known = self.spans.get(id).filter(|(known, _)| *known == started_ms);
    if known.is_some_and(|(_, known)| until_ms <= known.until_ms) {
      return;
    }
    let span = ColdSpan { until_ms, ..span };
    self.spans.insert(id.clone(), (started_ms, span));
  }

  /// The span of a life that is cold at a time.
  pub fn span(&self, id: &str, started_ms: Option<u64>, now_ms: u64) -> Option<ColdSpan> {
    let (known, span) = self.spans.get(id)?;
    (*known == started_ms && now_ms < span.until_ms).then_some(*span)
  }

  /// The requests a second that a life carries of all boxes together, while it is cold.
  pub fn per_s(&self, id: &str, started_ms: Option<u64>, now_ms: u64) -> Option<f64> {
    self.span(id, started_ms, now_ms).map(|span| span.per_s)
  }

  /// Whether no endpoint is known to be cold.
  pub fn is_empty(&self) -> bool {
    self.spans.is_empty()
  }

  /// Forgets what has become warm.
  pub fn forget_old(&mut self, now_ms: u64) {
    self.spans.retain(|_, (_, span)| now_ms < span.until_ms);
  }
}
