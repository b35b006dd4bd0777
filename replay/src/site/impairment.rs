//! A step of planned work, or a fault.

use {serde::Deserialize, std::sync::Arc};

/// A step of planned work, or a fault.
#[derive(Clone, Debug, Default, Deserialize)]
pub struct Impairment {
  /// Its kind.
  pub kind: Arc<str>,
  /// Time from the start of the traffic.
  #[serde(default, rename = "at")]
  pub at_s: f64,
  /// How long it lasts.
  #[serde(default)]
  pub for_s: Option<f64>,
  /// Interval of its steps.
  #[serde(default)]
  pub gap_s: Option<f64>,
  /// Share of the things that it strikes.
  #[serde(default)]
  pub share: Option<f64>,
  /// Number of them.
  #[serde(default)]
  pub count: Option<usize>,
  /// Its strength.
  #[serde(default)]
  pub x: Option<f64>,
  /// The variant: words.
  #[serde(default)]
  pub how: Arc<str>,
  /// The class of machines.
  #[serde(default)]
  pub on: Option<Arc<str>>,
  /// The zone.
  #[serde(default)]
  pub zone: Option<Arc<str>>,
  /// The zone at the other end.
  #[serde(default)]
  pub to_zone: Option<Arc<str>>,
  /// The service.
  #[serde(default)]
  pub service: Option<Arc<str>>,
  /// The kind of request.
  #[serde(default)]
  pub class: Option<Arc<str>>,
}

impl Impairment {
  /// Whether the variant holds a word.
  pub fn has(&self, word: &str) -> bool {
    self.how.split_whitespace().any(|of| of == word)
  }

  /// Checks its figures. `place` stands before what is wrong.
  pub(super) fn check(&self, place: &str) -> Result<(), String> {
    if self
      .share
      .is_some_and(|share| !(0.0..=1.0).contains(&share))
    {
      return Err(format!("{place}: share is not from 0 to 1"));
    }
    let times = [Some(self.at_s), self.for_s, self.gap_s];
    let is_time = |time: f64| time >= 0.0 && time.is_finite();
    if times.into_iter().flatten().any(|time| !is_time(time)) {
      return Err(format!("{place}: at, for_s or gap_s is no time"));
    }
    Ok(())
  }
}
