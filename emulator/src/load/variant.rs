//! Which decisions of the gateway a replay uses.

/// Decisions that are in use.
///
/// ```
/// use emulator::load::Variant;
/// let variant = Variant { notices_cut_halls: false, ..Variant::default() };
/// assert!(variant.heeds_losses);
/// ```
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub struct Variant {
  /// Boxes heed the load that an endpoint tells with its answers.
  pub heeds_told_load: bool,
  /// Losses and silence are heeded at all: endpoints are left alone for a while, and cut halls are noticed.
  pub heeds_losses: bool,
  /// A hall of which several endpoints don't answer counts as cut off.
  pub notices_cut_halls: bool,
}

impl Variant {
  /// All decisions, and each of them switched off, with a name.
  pub fn ablation() -> [(&'static str, Self); 4] {
    let all = Self::default();
    [
      ("all", all),
      (
        "told load not heeded",
        Self {
          heeds_told_load: false,
          ..all
        },
      ),
      (
        "losses not heeded",
        Self {
          heeds_losses: false,
          ..all
        },
      ),
      (
        "cut halls not noticed",
        Self {
          notices_cut_halls: false,
          ..all
        },
      ),
    ]
  }
}

impl Default for Variant {
  fn default() -> Self {
    Self {
      heeds_told_load: true,
      heeds_losses: true,
      notices_cut_halls: true,
    }
  }
}
