//! The fields of a box's settings file.

use {
  super::site::Site,
  serde_json::{Value, json},
  std::{collections::BTreeMap, net::SocketAddr, sync::Arc},
};

/// Ports after the boxes' port that are free for the box, too.
const INTERNAL_PORTS: u16 = 10;

/// The place of a box in a deployment.
#[derive(Clone, Debug)]
pub struct BoxPlace {
  /// Its index, which gives it its host.
  pub index: usize,
  /// Its name.
  pub name: String,
  /// Its zone.
  pub zone: Arc<str>,
  /// The region of its zone.
  pub region: Arc<str>,
}

/// The listen addresses of a box.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub struct BoxAddresses {
  /// For callers.
  pub callers: SocketAddr,
  /// For the load balancer's readiness checks.
  pub ready: SocketAddr,
  /// For the other boxes.
  pub boxes: SocketAddr,
  /// For metrics.
  pub metrics: SocketAddr,
}

/// All fields of a box's settings file. `store` is the address at which the box sees the store; `is_first_start` holds for the first
/// start of the whole system only.
pub fn box_values(
  site: &Site,
  place: &BoxPlace,
  addresses: &BoxAddresses,
  store: SocketAddr,
  is_first_start: bool,
) -> Value {
  let zones = site.zones.iter();
  let zones: BTreeMap<_, _> = zones.map(|zone| (&zone.name, &zone.region)).collect();
  let boxes_port = addresses.boxes.port();
  json!({
    "nodeName": place.name,
    "role": "gateway",
    "machineClass": "front",
    "serves": ["front"],
    "ip": addresses.callers.ip().to_string(),
    "zone": place.zone,
    "region": place.region,
    "zones": zones,
    "listen": {
      "front": addresses.callers.to_string(),
      "ready": addresses.ready.to_string(),
    },
    "internalPorts": [boxes_port, boxes_port.saturating_add(INTERNAL_PORTS)],
    "seeds": [],
    "firstStart": is_first_start,
    "countsTowardLoss": false,
    "limits": limits(site, &place.zone),
    "dataDir": null,
    "discovery": "platform",
    "entry": "vip",
    "heartbeatMs": site.discovery.beat_ms,
    "contracts": site.contracts,
    "tolerate": {
      "machines": site.tolerate.machines,
      "zones": site.tolerate.zones,
      "regions": site.tolerate.regions,
    },
    "bounds": bounds(site),
    "platform": {
      "address": store.to_string(),
      "form": "kv",
      "writesPerS": number(site.platform.writes_per_s),
      "readsPerS": number(site.platform.reads_per_s),
      "historyS": 20,
      "valueBytes": 1_048_576,
      "ttlMinMs": 1_000,
    },
  })
}

/// The limits of the machines of a zone.
fn limits(site: &Site, zone: &str) -> Value {
  let Some(machines) = site.fronts_of(zone) else {
    return Value::Null;
  };
  json!({
    "cpuShare": machines.cpu_share,
    "cores": machines.cores,
    "memoryMb": machines.memory_mb,
    "maxFds": machines.fds,
    "linkMbps": machines.link_mbps,
    "diskMb": 0,
  })
}

/// The bounds. A site file doesn't give those that are figures here.
fn bounds(site: &Site) -> Value {
  let (bounds, timing) = (&site.bounds, &site.timing);
  json!({
    "seedLagS": 3,
    "reuseAfterS": 2,
    "contactMs": bounds.touch_ms,
    "ackTimeoutMs": bounds.ack_ms,
    "catchUpS": timing.catch_up_s.map(number),
    "drainMs": bounds.drain_ms,
    "graceS": number(bounds.grace_s),
    "lossSlackMs": 200,
    "configApplyMs": bounds.config_ms,
    "rollbackSlackMs": 250,
    "maxStretchMs": bounds.outer_ms,
    "retryBudgetRatio": 0.2,
    "budgetWindowS": 10,
    "budgetSlack": number(bounds.budget_slack),
    "recoverS": number(bounds.recover_s),
    "transitMs": timing.pass_ms.map(number),
    "retryAfterS": timing.again_s.map(number),
    "requireFence": bounds.fenced,
    "leaseMs": 3_000,
    "thawMs": 300,
  })
}

/// A figure; a whole number has no fraction.
fn number(value: f64) -> Value {
  let whole = value as i64;
  if whole as f64 == value {
    json!(whole)
  } else {
    json!(value)
  }
}
