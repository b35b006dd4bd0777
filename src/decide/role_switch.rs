//! Which engine changes its role next: wanted split, dead band, least stay.

use {
  super::Role,
  crate::{ids::Name, policy::RoleSplit},
};

/// An engine as the steward sees it.
#[derive(Clone, Debug, PartialEq)]
pub struct Candidate {
  /// The engine.
  pub engine: Name,
  /// Its present role.
  pub role: Role,
  /// How long it has had that role.
  pub dwell_ms: u64,
  /// Requests it holds; the least busy turns first.
  pub used_slots: u32,
}

/// One change of role.
#[derive(Clone, Debug, Eq, PartialEq)]
pub struct RoleSwitch {
  /// The engine.
  pub engine: Name,
  /// The role it is to take.
  pub role: Role,
}

/// Bounds on changes of role.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct RoleSwitchLimits {
  /// Difference between wanted and present share that is left alone.
  pub dead_band: f64,
  /// Least time in a role.
  pub min_dwell_ms: u64,
}

/// The one engine of a model that is to turn now, if any. Each role keeps at least one engine.
///
/// ```
/// use rillford::{decide::{next_role_switch, Candidate, Role, RoleSwitchLimits}, policy::RoleSplit};
/// let engine = |name: &str, role| Candidate {
///   engine: name.into(), role, dwell_ms: 500_000, used_slots: 0,
/// };
/// let engines = [
///   engine("a", Role::Prefill), engine("b", Role::Decode),
///   engine("c", Role::Decode), engine("d", Role::Decode),
/// ];
/// let split = RoleSplit { model: "m".into(), prefill_share: 0.5 };
/// let bounds = RoleSwitchLimits { dead_band: 0.1, min_dwell_ms: 60_000 };
/// assert_eq!(next_role_switch(&engines, &split, bounds).unwrap().engine, "b".into());
/// ```
pub fn next_role_switch(
  engines: &[Candidate],
  split: &RoleSplit,
  bounds: RoleSwitchLimits,
) -> Option<RoleSwitch> {
  let total = engines.len();
  if total < 2 {
    return None;
  }
  let prefill_engines = engines
    .iter()
    .filter(|engine| engine.role == Role::Prefill)
    .count();
  let current = prefill_engines as f64 / total as f64;
  if (split.prefill_share - current).abs() <= bounds.dead_band {
    return None;
  }
  let wanted = (split.prefill_share * total as f64).round() as usize;
  let wanted = wanted.clamp(1, total - 1);
  let (from, to) = match wanted.cmp(&prefill_engines) {
    std::cmp::Ordering::Equal => return None,
    std::cmp::Ordering::Less => (Role::Prefill, Role::Decode),
    std::cmp::Ordering::Greater => (Role::Decode, Role::Prefill),
  };
  engines
    .iter()
    .filter(|engine| engine.role == from && engine.dwell_ms >= bounds.min_dwell_ms)
    .min_by_key(|engine| (engine.used_slots, engine.engine.clone()))
    .map(|engine| RoleSwitch {
      engine: engine.engine.clone(),
      role: to,
    })
}
