//! The speed of one prefill engine, as learnt from finished prompts. Free of I/O.
//!
//! Load pattern: engines of a group differ in speed by a factor of three, and their machines slow down for fractions of a
//! second. The duration of a prompt is proportional to its tokens plus a fixed overhead; the unit of work is a token.

/// Weight of the newest sample in the time per unit once there are several: a change of speed shows after some ten prompts,
/// and one outlier shifts it by a tenth.
const NEWEST_WEIGHT: f64 = 0.12;
/// Bounds of a sample relative to the estimate: a message that is late at the wrong moment makes no engine useless.
const SAMPLE_RANGE: (f64, f64) = (0.3, 4.0);
/// An engine that is taken for slower than its peers gets few prompts. Without samples for this long, it is taken for as fast
/// as they are, and tried again.
const MAX_SLOW_MS: f64 = 30_000.0;
/// Time over which a slowdown decays: the usual duration of one.
const SLOWDOWN_VALIDITY_MS: f64 = 600.0;
/// Bounds of a slowdown: a machine with a higher one is no better than a lost one.
const SLOWDOWN_RANGE: (f64, f64) = (0.5, 8.0);
/// Where machines do not report their slowdown, a prompt that takes longer than expected by this factor shows one.
const MIN_INFERRED_SLOWDOWN: f64 = 1.5;
/// Shorter prompts do not show a slowdown: a chunk of an engine has this many tokens, and its fixed overhead may exceed the
/// work of a prompt that does not fill one.
const MIN_INFERENCE_TOKENS: u64 = 2_048;

/// What all engines of a group have in common.
#[derive(Clone, Copy, Debug)]
pub(super) struct PrefillModel {
  /// Mean time per unit over the engines.
  pub(super) ms_per_unit: f64,
  /// The fixed overhead of a prompt in units.
  pub(super) overhead_units: f64,
}

/// The speed and the slowdown of one engine.
#[derive(Clone, Debug, Default)]
pub(super) struct PrefillSpeed {
  /// Moving average of the time per unit without slowdown.
  ms_per_unit: f64,
  samples: u32,
  sampled_ms: u64,
  /// A slowdown factor and when it was seen.
  slowdown: Option<(f64, u64)>,
}

impl PrefillSpeed {
  /// The measured time per unit; `None` before the first prompt.
  pub(super) fn measured(&self) -> Option<f64> {
    (self.samples > 0).then_some(self.ms_per_unit)
  }

  /// Expected duration of a prompt that is worked on now.
  pub(super) fn work_ms(&self, tokens: u64, model: PrefillModel, now_ms: u64) -> f64 {
    let units = tokens as f64 + model.overhead_units;
    units * self.ms_per_unit(model, now_ms) * self.slowdown(now_ms)
  }

  fn ms_per_unit(&self, model: PrefillModel, now_ms: u64) -> f64 {
    if self.samples == 0 || self.ms_per_unit <= model.ms_per_unit {
      return self.measured().unwrap_or(model.ms_per_unit);
    }
    let age_ms = now_ms.saturating_sub(self.sampled_ms) as f64;
    let excess = (self.ms_per_unit - model.ms_per_unit) * (1.0 - age_ms / MAX_SLOW_MS).max(0.0);
    model.ms_per_unit + excess
  }

  /// The current slowdown factor; it decays with its age.
  fn slowdown(&self, now_ms: u64) -> f64 {
    let Some((factor, at_ms)) = self.slowdown else {
      return 1.0;
    };
    let age_ms = now_ms.saturating_sub(at_ms) as f64;
    1.0 + (factor - 1.0) * (1.0 - age_ms / SLOWDOWN_VALIDITY_MS).max(0.0)
  }

  /// Records a slowdown that the machine reported.
  pub(super) fn record_slowdown(&mut self, percent: u32, now_ms: u64) {
    let factor = f64::from(percent) / 100.0;
    self.set_slowdown(factor, now_ms);
  }

  fn set_slowdown(&mut self, factor: f64, now_ms: u64) {
    let factor = factor.clamp(SLOWDOWN_RANGE.0, SLOWDOWN_RANGE.1);
    self.slowdown = Some((factor, now_ms));
  }

  /// Learns from a finished prompt; returns its duration in units of this engine. Without a reported slowdown, a long
  /// duration is taken for a temporary one.
  pub(super) fn learn(
    &mut self,
    tokens: u64,
    work_ms: f64,
    has_slowdown: bool,
    model: PrefillModel,
    now_ms: u64,
  ) -> f64 {
    let units = tokens as f64 + model.overhead_units;
    let usual_ms = work_ms / self.slowdown(now_ms);
    let measured = usual_ms / units;
    let expected = self.measured().unwrap_or(measured);
    let bounded = measured.clamp(expected * SAMPLE_RANGE.0, expected * SAMPLE_RANGE.1);
    let is_long = tokens >= MIN_INFERENCE_TOKENS;
    if !has_slowdown && is_long && bounded > expected * MIN_INFERRED_SLOWDOWN {
      self.set_slowdown(bounded / expected, now_ms);
    }
    self.samples = self.samples.saturating_add(1);
    self.sampled_ms = now_ms;
    let weight = NEWEST_WEIGHT.max(1.0 / f64::from(self.samples));
    self.ms_per_unit = expected + weight * (bounded - expected);
    usual_ms / self.ms_per_unit
  }
}
