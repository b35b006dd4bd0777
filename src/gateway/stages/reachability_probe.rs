//! Finds out when endpoints that this box could not reach can be reached again, without a caller's request.

use {
  crate::gateway::{
    connections::Connection, decisions::EndpointGroup, edge::EndpointEntry, state::Gateway,
  },
  futures_util::future::join_all,
  std::{rc::Rc, time::Duration},
  tokio::time::sleep,
};

/// Interval of connection attempts to a group of endpoints.
const PROBE_INTERVAL: Duration = Duration::from_millis(500);

/// Connects to one endpoint of each unreachable group from time to time, until the process exits.
pub(crate) async fn probe_unreachable(gateway: Rc<Gateway>) {
  loop {
    sleep(PROBE_INTERVAL).await;
    let groups: Vec<EndpointGroup> = {
      let reachability = gateway.reachability.borrow();
      reachability.unreachable().cloned().collect()
    };
    join_all(groups.iter().map(|group| probe(&gateway, group))).await;
  }
}

/// Connects to an endpoint of a group; a group without endpoints counts as reachable.
async fn probe(gateway: &Gateway, group: &EndpointGroup) {
  let Some(entry) = random_entry(gateway, group) else {
    gateway.reachability.borrow_mut().remove(group);
    return;
  };
  if Connection::open(entry.id.clone(), entry.address)
    .await
    .is_ok()
  {
    gateway.record_reached(&entry);
  }
}

fn random_entry(gateway: &Gateway, group: &EndpointGroup) -> Option<EndpointEntry> {
  let endpoints = gateway.endpoints.borrow();
  let in_group = |entry: &&EndpointEntry| EndpointGroup::of(entry) == *group;
  let count = endpoints.count_group(group);
  let index = (gateway.draw() * count as f64) as usize;
  endpoints.entries().filter(in_group).nth(index).cloned()
}
