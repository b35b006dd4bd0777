//! The gateway's decisions that a simulation uses.

/// Decisions that boxes use.
///
/// ```
/// use emulator::load::Variant;
/// let variant = Variant { notices_cut_halls: false, ..Variant::default() };
/// assert!(variant.heeds_losses);
/// ```
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub struct Variant {
  /// Boxes use the load that an endpoint reports in its responses.
  pub heeds_told_load: bool,
  /// Boxes use lost and unreachable attempts: they back off from endpoints and detect partitioned halls.
  pub heeds_losses: bool,
  /// Boxes treat a hall with several unreachable endpoints as partitioned.
  pub notices_cut_halls: bool,
}

impl Variant {
  /// All decisions, and all but one for each, with the names that the report prints.
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
