//! Which engines of a service are to change their role. Free of I/O.

use {
  crate::{decide::Role, gateway::edge::EndpointEntry, ids::Name},
  std::collections::BTreeMap,
};

/// A planned change of roles.
#[derive(Clone, Debug, Eq, PartialEq)]
pub struct RolePlan {
  /// The new role.
  pub role: Role,
  /// The engines that change, those of the hall with the most candidates first.
  pub engines: Vec<EndpointEntry>,
}

/// Plans role changes of one service's engines so that about `prefill_share` of them are prefill engines. Engines that are
/// `missing` for a short while count in their roles. Each role keeps at least one engine. The plan is the same on every box.
///
/// ```
/// use rillford::{decide::Role, gateway::{EndpointEntry, SoftwareVersion, plan_roles}};
/// let engine = |id: &str, hall: &str, role| EndpointEntry {
///   address: "127.0.0.1:1".parse().unwrap(), started_ms: None, cold_ms: 0, hall: hall.into(), id: id.into(), leaving: false,
///   role: Some(role), slots: 16, service: "llm".into(), version: SoftwareVersion::default(),
/// };
/// let engines = [
///   engine("a", "north", Role::Prefill), engine("b", "north", Role::Prefill),
///   engine("c", "south", Role::Prefill), engine("d", "south", Role::Decode),
/// ];
/// let plan = plan_roles(&engines, &[], 0.5).unwrap();
/// assert_eq!(plan.role, Role::Decode);
/// assert_eq!(&*plan.engines[0].id, "a");
/// assert_eq!(plan.engines.len(), 1);
/// ```
pub fn plan_roles(
  engines: &[EndpointEntry],
  missing: &[EndpointEntry],
  prefill_share: f64,
) -> Option<RolePlan> {
  let count = |role| with_role(engines, role).count() + with_role(missing, role).count();
  let total = count(Role::Prefill) + count(Role::Decode);
  if total < 2 {
    return None;
  }
  let wanted = ((prefill_share * total as f64).ceil() as usize).clamp(1, total - 1);
  let prefill = count(Role::Prefill);
  let (from, to) = if prefill > wanted {
    (Role::Prefill, Role::Decode)
  } else {
    (Role::Decode, Role::Prefill)
  };
  // The last listed engine of a role keeps it.
  let spare = with_role(engines, from).count().saturating_sub(1);
  let changing = prefill.abs_diff(wanted).min(spare);
  if changing == 0 {
    return None;
  }
  Some(RolePlan {
    engines: from_fullest_halls(with_role(engines, from), changing)?,
    role: to,
  })
}

/// The engines with a role.
pub(crate) fn with_role(
  engines: &[EndpointEntry],
  role: Role,
) -> impl Iterator<Item = &EndpointEntry> {
  engines
    .iter()
    .filter(move |engine| engine.role == Some(role))
}

/// Takes `count` engines, each from the hall with the most remaining ones; `None` when there are too few.
fn from_fullest_halls<'a>(
  engines: impl Iterator<Item = &'a EndpointEntry>,
  count: usize,
) -> Option<Vec<EndpointEntry>> {
  let mut by_hall: BTreeMap<Name, Vec<&EndpointEntry>> = BTreeMap::new();
  for engine in engines {
    by_hall.entry(engine.hall.clone()).or_default().push(engine);
  }
  for hall in by_hall.values_mut() {
    hall.sort_by(|one, other| other.id.cmp(&one.id));
  }
  let mut chosen = Vec::new();
  while chosen.len() < count {
    let fullest = by_hall.values_mut().rev().max_by_key(|hall| hall.len())?;
    chosen.push(fullest.pop()?.clone());
  }
  Some(chosen)
}
