//! Which engine switches its role next, given the wanted split, a dead band and a minimum dwell time.

use {
  super::Role,
  crate::{ids::Name, policy::RoleSplit},
};

/// An engine that may switch its role.
#[derive(Clone, Debug, PartialEq)]
pub struct Candidate {
  pub engine: Name,
  pub role: Role,
  /// Time in its current role.
  pub dwell_ms: u64,
  /// Requests in progress; the least loaded engine switches first.
  pub used_slots: u32,
}

/// An engine's change of role.
#[derive(Clone, Debug, Eq, PartialEq)]
pub struct RoleSwitch {
  pub engine: Name,
  /// The new role.
  pub role: Role,
}

/// Limits on changes of role.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct RoleSwitchLimits {
  /// Difference between the wanted and the current share up to which no engine switches.
  pub dead_band: f64,
  /// Minimum time in a role.
  pub min_dwell_ms: u64,
}

/// The engine of a model that switches its role now, if any. Each role keeps at least one engine.
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
/// let limits = RoleSwitchLimits { dead_band: 0.1, min_dwell_ms: 60_000 };
/// assert_eq!(next_role_switch(&engines, &split, limits).unwrap().engine, "b".into());
/// ```
pub fn next_role_switch(
  engines: &[Candidate],
  split: &RoleSplit,
  limits: RoleSwitchLimits,
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
  if (split.prefill_share - current).abs() <= limits.dead_band {
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
    .filter(|engine| engine.role == from && engine.dwell_ms >= limits.min_dwell_ms)
    .min_by_key(|engine| (engine.used_slots, engine.engine.clone()))
    .map(|engine| RoleSwitch {
      engine: engine.engine.clone(),
      role: to,
    })
}
