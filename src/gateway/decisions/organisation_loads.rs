//! Which organisations send a box more than usual. Free of I/O.
//!
//! Load pattern: one organisation sends several times its usual load while all compete for full engines. In order of arrival its
//! requests fill the queue for slots, and organisations with their usual load wait behind them. Requests of an organisation above its
//! usual load wait behind those of organisations within theirs, priority by priority. The usual load is an average over half a
//! minute, so that a lasting increase becomes usual. A box gets a few requests per second of an organisation, so some more than
//! usual are allowed before it counts as above.

use {crate::ids::Name, std::collections::HashMap};

/// Time constant of the usual load.
const USUAL_MS: f64 = 30_000.0;
/// Time constant of the present load.
const PRESENT_MS: f64 = 2_000.0;
/// A box that counts for less than this long knows no usual load.
const MIN_AGE_MS: u64 = 10_000;
/// An organisation is above its usual load from this multiple of it on.
const FACTOR: f64 = 1.5;
/// Requests that may come at once in addition.
const ALLOWED_REQUESTS: f64 = 3.0;
/// Organisations without requests for this long are forgotten.
const IDLE_MS: u64 = 300_000;

/// Whether an organisation sends more than usual.
#[derive(Clone, Copy, Debug, Default, Eq, Ord, PartialEq, PartialOrd)]
pub enum OrganisationLoad {
  #[default]
  Usual,
  AboveUsual,
}

/// The loads of the organisations at a box.
///
/// ```
/// use rillford::gateway::{OrganisationLoad, OrganisationLoads};
/// let mut loads = OrganisationLoads::default();
/// let (lectures, captions) = ("lectures".into(), "captions".into());
/// for second in 0..30 {
///   loads.record(&lectures, second * 1_000);
///   loads.record(&captions, second * 1_000);
/// }
/// for _ in 0..20 {
///   loads.record(&lectures, 30_000);
/// }
/// assert_eq!(loads.load(&lectures, 30_000), OrganisationLoad::AboveUsual);
/// assert_eq!(loads.load(&captions, 30_000), OrganisationLoad::Usual);
/// ```
#[derive(Clone, Debug, Default)]
pub struct OrganisationLoads {
  started_ms: Option<u64>,
  requests: HashMap<Name, RequestCounts>,
}

/// Counts of requests that decay with their age.
#[derive(Clone, Copy, Debug, Default)]
struct RequestCounts {
  usual: f64,
  present: f64,
  at_ms: u64,
}

impl RequestCounts {
  fn at(self, now_ms: u64) -> Self {
    let age_ms = now_ms.saturating_sub(self.at_ms) as f64;
    Self {
      at_ms: self.at_ms.max(now_ms),
      present: self.present * (-age_ms / PRESENT_MS).exp(),
      usual: self.usual * (-age_ms / USUAL_MS).exp(),
    }
  }
}

impl OrganisationLoads {
  /// Records a request.
  pub fn record(&mut self, organisation: &Name, now_ms: u64) {
    self.started_ms.get_or_insert(now_ms);
    if !self.requests.contains_key(organisation) {
      self
        .requests
        .retain(|_, counts| now_ms <= counts.at_ms + IDLE_MS);
    }
    let counts = self.requests.entry(organisation.clone()).or_default();
    *counts = counts.at(now_ms);
    counts.usual += 1.0;
    counts.present += 1.0;
  }

  /// Whether an organisation sends more than usual now.
  pub fn load(&self, organisation: &str, now_ms: u64) -> OrganisationLoad {
    let age_ms = now_ms.saturating_sub(self.started_ms.unwrap_or(now_ms));
    let Some(counts) = self.requests.get(organisation) else {
      return OrganisationLoad::Usual;
    };
    if age_ms < MIN_AGE_MS {
      return OrganisationLoad::Usual;
    }
    let counts = counts.at(now_ms);
    // The average of a box that started recently is over its age.
    let counted_ms = USUAL_MS * (1.0 - (-(age_ms as f64) / USUAL_MS).exp());
    let expected = counts.usual / counted_ms * PRESENT_MS;
    if counts.present > expected * FACTOR + ALLOWED_REQUESTS {
      OrganisationLoad::AboveUsual
    } else {
      OrganisationLoad::Usual
    }
  }
}
