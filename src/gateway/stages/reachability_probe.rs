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
/// Endpoints of a group that are tried at once after one has failed; as many failures make it unreachable.
const SUSPECT_PROBES: usize = 3;

/// Connects to one endpoint of each unreachable group from time to time, until the process exits. Of a group that may be
/// unreachable it tries several: requests may be too few to tell, or find no permits.
pub(crate) async fn probe_unreachable(gateway: Rc<Gateway>) {
  loop {
    sleep(PROBE_INTERVAL).await;
    let now_ms = gateway.now_ms();
    let groups: Vec<(EndpointGroup, usize)> = {
      let reachability = gateway.reachability.borrow();
      let unreachable = reachability.unreachable().map(|group| (group.clone(), 1));
      let suspected = reachability.suspected(now_ms);
      unreachable
        .chain(suspected.map(|(group, failed)| {
          let count = if failed == 0 { 1 } else { SUSPECT_PROBES };
          (group.clone(), count)
        }))
        .collect()
    };
    let probes = groups.iter();
    join_all(probes.map(|(group, count)| probe(&gateway, group, *count))).await;
  }
}

/// Connects to some endpoints of a group; a group without endpoints counts as reachable.
async fn probe(gateway: &Gateway, group: &EndpointGroup, count: usize) {
  let entries = some_entries(gateway, group, count);
  if entries.is_empty() {
    gateway.reachability.borrow_mut().remove(group);
  }
  join_all(entries.iter().map(|entry| connect(gateway, entry))).await;
}

async fn connect(gateway: &Gateway, entry: &EndpointEntry) {
  match Connection::open(
    entry.id.clone(),
    entry.address,
    gateway.held_memory.socket_buffer_bytes(),
    || (),
  )
  .await
  {
    Ok(_) => gateway.record_reached(entry),
    Err(_) => gateway.record_unreached(entry),
  }
}

/// Up to `count` neighbouring entries of a group, from a random one on.
fn some_entries(gateway: &Gateway, group: &EndpointGroup, count: usize) -> Vec<EndpointEntry> {
  let endpoints = gateway.endpoints.borrow();
  let in_group = |entry: &&EndpointEntry| EndpointGroup::of(entry) == *group;
  let known = endpoints.count_group(group);
  let first = (gateway.draw() * known as f64) as usize;
  let entries: Vec<&EndpointEntry> = endpoints.entries().filter(in_group).collect();
  let rotated = entries.iter().cycle().skip(first).take(count.min(known));
  rotated.map(|entry| (*entry).clone()).collect()
}
