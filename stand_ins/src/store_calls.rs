//! HTTP handlers of the simulated store.

use {
  super::{
    platform_store::PlatformStore,
    store_channel::StoreChannel,
    store_contents::{Contents, Item, Lease, StaleItems, item_json},
    store_limits::CallCost,
    store_watch::WatchEnd,
  },
  axum::{
    Extension, Json,
    extract::{Path, Query, State},
    response::{IntoResponse, Response},
  },
  http::StatusCode,
  serde_json::{Value, json},
  std::{
    collections::HashMap,
    future::pending,
    net::SocketAddr,
    time::{Duration, Instant},
  },
  tokio::time::sleep,
};

/// Longest time of a lease, in milliseconds.
const MAX_LEASE_MS: u64 = 600_000;
/// Bytes of the values of a page; the first item comes whatever its size.
const PAGE_BYTES: usize = 1_000_000;
/// Prefixes of the keys that callers may not write.
const FOREIGN_PREFIXES: [&str; 2] = ["op/", "servers/"];

/// Query parameters of a call.
type Params = HashMap<String, String>;

pub(crate) async fn range(
  State(store): State<PlatformStore>,
  Query(params): Query<Params>,
) -> Result<Response, Response> {
  store.admit(read_cost(&params)).await?;
  store.contents().listings += 1;
  if !params.contains_key("after") {
    store.contents().first_pages += 1;
  } else if store.takes_rejection() {
    return Ok(StatusCode::TOO_MANY_REQUESTS.into_response());
  }
  while params.contains_key("after") && store.contents().withholds_pages {
    sleep(Duration::from_millis(5)).await;
  }
  let mut contents = store.contents();
  contents.stale_pages += usize::from(may_be_stale(&params));
  let aged = aged_items(&contents, &params);
  let (items, revision) = match (&aged, &contents.stale) {
    (Some(aged), _) => (&aged.items, aged.revision),
    (None, Some(stale)) if may_be_stale(&params) => (&stale.items, stale.revision),
    _ => (&contents.items, contents.revision),
  };
  let prefix = params.get("pathPrefix").map_or("", String::as_str);
  let after = params.get("after").map_or("", String::as_str);
  let rows: Vec<_> = items
    .iter()
    .filter(|(key, _)| key.starts_with(prefix) && key.as_str() > after)
    .collect();
  let count = page_length(&rows, contents.page_items());
  let items: Vec<Value> = rows[..count]
    .iter()
    .map(|(key, item)| store.shown(item_json(key, item)))
    .collect();
  let has_more = rows.len() > count;
  Ok(Json(json!({"items": items, "hasMore": has_more, "timestamp": revision})).into_response())
}

/// Number of rows that fit on a page.
fn page_length(rows: &[(&String, &Item)], limit: usize) -> usize {
  let mut bytes = 0;
  let fitting = rows.iter().take(limit).take_while(|(_, item)| {
    bytes += item.value.len();
    bytes <= PAGE_BYTES
  });
  fitting.count().max(rows.len().min(1))
}

fn may_be_stale(params: &Params) -> bool {
  params.get("serializable").is_some_and(|text| text == "1")
}

fn read_cost(params: &Params) -> CallCost {
  if may_be_stale(params) {
    CallCost::StaleRead
  } else {
    CallCost::Read
  }
}

/// The earlier items that a read gets while reads are stale.
fn aged_items(contents: &Contents, params: &Params) -> Option<StaleItems> {
  let age = *contents.faults.stale_ages.current()?;
  let moment = Instant::now().checked_sub(age)?;
  may_be_stale(params).then(|| contents.items_at(moment))
}

pub(crate) async fn key(
  State(store): State<PlatformStore>,
  Query(params): Query<Params>,
) -> Result<Response, Response> {
  store.admit(read_cost(&params)).await?;
  let contents = store.contents();
  let requested = params.get("key").map_or("", String::as_str);
  let aged = aged_items(&contents, &params);
  let items = aged.as_ref().map_or(&contents.items, |aged| &aged.items);
  let Some((key, item)) = items.get_key_value(requested) else {
    return Err(StatusCode::NOT_FOUND.into_response());
  };
  let mut shown = store.shown(item_json(key, item));
  let revision = aged
    .as_ref()
    .map_or(contents.revision, |aged| aged.revision);
  shown["timestamp"] = revision.into();
  Ok(Json(shown).into_response())
}

pub(crate) async fn changes(
  State(store): State<PlatformStore>,
  Extension(channel): Extension<StoreChannel>,
  Query(params): Query<Params>,
) -> Result<Response, Response> {
  store.admit(CallCost::Read).await?;
  let number = |name: &str| params.get(name).and_then(|text| text.parse::<u64>().ok());
  let (Some(after), Some(wait_ms)) = (number("after"), number("waitMs")) else {
    return Err(StatusCode::BAD_REQUEST.into_response());
  };
  let prefix = params.get("pathPrefix").map_or("", String::as_str);
  let wait = Duration::from_millis(wait_ms);
  if store.wait_for_news(prefix, after, wait).await == WatchEnd::Cut {
    channel.close();
    pending::<()>().await;
  }
  let contents = store.contents();
  if contents.is_down {
    return Err(StatusCode::SERVICE_UNAVAILABLE.into_response());
  }
  if after < contents.compacted_revision {
    return Err(StatusCode::GONE.into_response());
  }
  let events: Vec<Value> = contents
    .events(prefix, after)
    .map(|event| store.shown(event.json.clone()))
    .collect();
  Ok(Json(json!({"events": events, "timestamp": contents.revision})).into_response())
}

pub(crate) async fn transact(
  State(store): State<PlatformStore>,
  Json(call): Json<Value>,
) -> Result<Response, Response> {
  store.admit(CallCost::Write).await?;
  let view = store.address;
  let write = move |contents: &mut Contents| apply_transaction(contents, &call, view);
  Ok(store.carry_out(write).await)
}

fn rows(call: &Value, name: &str) -> Vec<Value> {
  call[name].as_array().cloned().unwrap_or_default()
}

fn key_of(row: &Value) -> &str {
  row["key"].as_str().unwrap_or_default()
}

/// Applies a transaction if all of its conditions hold.
fn apply_transaction(contents: &mut Contents, call: &Value, view: SocketAddr) -> Response {
  let conditions = rows(call, "prevRevision");
  let sets = rows(call, "setKeys");
  let removed = rows(call, "remove");
  let removed = removed.iter().map(|key| key.as_str().unwrap_or_default());
  let mut written = sets.iter().map(key_of).chain(removed.clone());
  if written.any(|key| FOREIGN_PREFIXES.iter().any(|of| key.starts_with(of))) {
    return StatusCode::FORBIDDEN.into_response();
  }
  let differs = |condition: &Value| {
    let present = contents.items.get(key_of(condition));
    condition["revision"] != json!(present.map_or(0, |item| item.revision))
  };
  if conditions.iter().any(differs) {
    return failed_conditions(contents, &conditions);
  }
  let lease = |row: &Value| row["lease"].as_u64().unwrap_or(0);
  let has_expired = |row: &Value| lease(row) > 0 && !contents.leases.contains_key(&lease(row));
  if sets.iter().any(has_expired) {
    return StatusCode::NOT_FOUND.into_response();
  }
  if !conditions.is_empty() && sets.iter().any(|row| lease(row) > 0) {
    contents.last_leader = Some(view);
  }
  for row in &sets {
    let value = row["value"].as_str().unwrap_or_default();
    contents.write(key_of(row), value.into(), lease(row));
  }
  for key in removed {
    contents.remove(key);
  }
  Json(json!({"revision": contents.revision})).into_response()
}

/// The response with the current items of the conditions.
fn failed_conditions(contents: &Contents, conditions: &[Value]) -> Response {
  let items: Vec<Value> = conditions
    .iter()
    .filter_map(|condition| contents.items.get_key_value(key_of(condition)))
    .map(|(key, item)| item_json(key, item))
    .collect();
  (
    StatusCode::PRECONDITION_FAILED,
    Json(json!({"items": items})),
  )
    .into_response()
}

pub(crate) async fn grant(
  State(store): State<PlatformStore>,
  Json(call): Json<Value>,
) -> Result<Response, Response> {
  store.admit(CallCost::Write).await?;
  let ttl_ms = call["ttlMs"].as_u64().unwrap_or(0).min(MAX_LEASE_MS);
  let view = store.address;
  let write = move |contents: &mut Contents| {
    let ttl = Duration::from_millis(ttl_ms);
    let lease = Lease {
      expires: Instant::now() + ttl,
      ttl,
      view,
    };
    contents.last_lease += 1;
    contents.leases.insert(contents.last_lease, lease);
    Json(json!({"lease": contents.last_lease, "ttlMs": ttl_ms})).into_response()
  };
  Ok(store.carry_out(write).await)
}

pub(crate) async fn renew(
  State(store): State<PlatformStore>,
  Path(lease): Path<u64>,
) -> Result<Response, Response> {
  store.admit(CallCost::Renewal).await?;
  let renewed = store.contents().leases.get_mut(&lease).map(|lease| {
    lease.expires = Instant::now() + lease.ttl;
    lease.ttl.as_millis()
  });
  let response = match renewed {
    Some(ttl_ms) => {
      Json(json!({"ttlMs": u64::try_from(ttl_ms).unwrap_or(u64::MAX)})).into_response()
    }
    None => StatusCode::NOT_FOUND.into_response(),
  };
  Ok(store.respond(response).await)
}

pub(crate) async fn revoke_lease(
  State(store): State<PlatformStore>,
  Path(lease): Path<u64>,
) -> Result<Response, Response> {
  store.admit(CallCost::Write).await?;
  let write = move |contents: &mut Contents| {
    contents.revoke_lease(lease);
    Json(json!({})).into_response()
  };
  Ok(store.carry_out(write).await)
}
