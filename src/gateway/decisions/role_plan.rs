//! Which engines of a service have a role that too many have. Free of I/O.

use {
  crate::{decide::Role, gateway::edge::EndpointEntry, ids::Name},
  std::collections::BTreeMap,
};

/// Engines that are to change their role.
#[derive(Clone, Debug, Eq, PartialEq)]
pub struct Surplus {
  /// The role that they are to take.
  pub role: Role,
  /// The engines, first those of the hall that has most of them.
  pub engines: Vec<EndpointEntry>,
}

/// The engines of one service that are to change their role so that about `prefill_share` of them read
/// prompts. Engines that are `missing` for a short while count in their roles. Each role keeps one engine. The same
/// engines give the same answer on every box.
///
/// ```
/// use rillford::{decide::Role, gateway::{EndpointEntry, surplus}};
/// let engine = |id: &str, hall: &str, role| EndpointEntry {
///   address: "127.0.0.1:1".parse().unwrap(), started_ms: None, cold_ms: 0, hall: hall.into(), id: id.into(), leaving: false,
///   role: Some(role), slots: 16, service: "llm".into(),
/// };
/// let engines = [
///   engine("a", "north", Role::Prefill), engine("b", "north", Role::Prefill),
///   engine("c", "south", Role::Prefill), engine("d", "south", Role::Decode),
/// ];
/// let surplus = surplus(&engines, &[], 0.5).unwrap();
/// assert_eq!(surplus.role, Role::Decode);
/// assert_eq!(&*surplus.engines[0].id, "a");
/// assert_eq!(surplus.engines.len(), 1);
/// ```
pub fn surplus(
  engines: &[EndpointEntry],
  missing: &[EndpointEntry],
  prefill_share: f64,
) -> Option<Surplus> {
  let count = |role| with_role(engines, role).count() + with_role(missing, role).count();
  let total = count(Role::Prefill) + count(Role::Decode);
  if total < 2 {
    return None;
  }
  let wanted = ((prefill_share * total as f64).ceil() as usize).clamp(1, total - 1);
  let reading = count(Role::Prefill);
  let (from, to) = if reading > wanted {
    (Role::Prefill, Role::Decode)
  } else {
    (Role::Decode, Role::Prefill)
  };
  // The last one here keeps its role.
  let spare = with_role(engines, from).count().saturating_sub(1);
  let turning = reading.abs_diff(wanted).min(spare);
  if turning == 0 {
    return None;
  }
  Some(Surplus {
    engines: from_fullest_halls(with_role(engines, from), turning)?,
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

/// So many engines, each from the hall that has most of them left; nothing when there are not so many.
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
