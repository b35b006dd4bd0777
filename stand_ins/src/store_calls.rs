//! HTTP handlers of the simulated store.

use {
  super::{
    platform_store::PlatformStore,
    store_contents::{Contents, Lease, item_json},
  },
  axum::{
    Json,
    extract::{Path, Query, State},
    response::{IntoResponse, Response},
  },
  http::StatusCode,
  serde_json::{Value, json},
  std::{
    collections::HashMap,
    time::{Duration, Instant},
  },
  tokio::time::sleep,
};

/// Items per page; small, so that every listing has several pages.
const PAGE_ITEMS: usize = 2;

/// Query parameters of a call.
type Params = HashMap<String, String>;

pub(crate) async fn range(
  State(store): State<PlatformStore>,
  Query(params): Query<Params>,
) -> Response {
  if !store.admit_call().await {
    return unavailable();
  }
  store.contents().listings += 1;
  if !params.contains_key("after") {
    store.contents().first_pages += 1;
  } else if store.takes_rejection() {
    return StatusCode::TOO_MANY_REQUESTS.into_response();
  }
  while params.contains_key("after") && store.contents().withholds_pages {
    sleep(Duration::from_millis(5)).await;
  }
  let mut contents = store.contents();
  let may_be_stale = params.get("serializable").is_some_and(|text| text == "1");
  contents.stale_pages += usize::from(may_be_stale);
  let (items, revision) = match &contents.stale {
    Some(stale) if may_be_stale => (&stale.items, stale.revision),
    _ => (&contents.items, contents.revision),
  };
  let prefix = params.get("pathPrefix").map_or("", String::as_str);
  let after = params.get("after").map_or("", String::as_str);
  let rows: Vec<_> = items
    .iter()
    .filter(|(key, _)| key.starts_with(prefix) && key.as_str() > after)
    .collect();
  let items: Vec<Value> = rows
    .iter()
    .take(PAGE_ITEMS)
    .map(|(key, item)| store.shown(item_json(key, item)))
    .collect();
  let has_more = rows.len() > PAGE_ITEMS;
  Json(json!({"items": items, "hasMore": has_more, "timestamp": revision})).into_response()
}

pub(crate) async fn key(
  State(store): State<PlatformStore>,
  Query(params): Query<Params>,
) -> Response {
  if !store.admit_call().await {
    return unavailable();
  }
  let contents = store.contents();
  let requested = params.get("key").map_or("", String::as_str);
  match contents.items.get_key_value(requested) {
    Some((key, item)) => Json(store.shown(item_json(key, item))).into_response(),
    None => StatusCode::NOT_FOUND.into_response(),
  }
}

pub(crate) async fn changes(
  State(store): State<PlatformStore>,
  Query(params): Query<Params>,
) -> Response {
  if !store.admit_call().await {
    return unavailable();
  }
  let number = |name: &str| params.get(name).and_then(|text| text.parse::<u64>().ok());
  let (Some(after), Some(wait_ms)) = (number("after"), number("waitMs")) else {
    return StatusCode::BAD_REQUEST.into_response();
  };
  store
    .wait_for_revision_after(after, Duration::from_millis(wait_ms))
    .await;
  let contents = store.contents();
  if contents.is_down {
    return unavailable();
  }
  if after < contents.compacted_revision {
    return StatusCode::GONE.into_response();
  }
  let events: Vec<Value> = contents
    .history
    .iter()
    .filter(|(revision, _)| *revision > after)
    .map(|(_, event)| store.shown(event.clone()))
    .collect();
  Json(json!({"events": events, "timestamp": contents.revision})).into_response()
}

pub(crate) async fn transact(
  State(store): State<PlatformStore>,
  Json(call): Json<Value>,
) -> Response {
  if !store.admit_call().await {
    return unavailable();
  }
  let response = store.update(|contents| apply_transaction(contents, &call));
  store.respond(response).await
}

/// Applies a transaction if all of its conditions hold.
fn apply_transaction(contents: &mut Contents, call: &Value) -> Response {
  let rows = |name: &str| call[name].as_array().cloned().unwrap_or_default();
  let text = |row: &Value, name: &str| row[name].as_str().unwrap_or_default().to_string();
  let differs = |condition: &Value| {
    let present = contents.items.get(&text(condition, "key"));
    condition["revision"] != json!(present.map_or(0, |item| item.revision))
  };
  if rows("prevRevision").iter().any(differs) {
    return (StatusCode::PRECONDITION_FAILED, Json(json!({"items": []}))).into_response();
  }
  let lease = |row: &Value| row["lease"].as_u64().unwrap_or(0);
  let has_expired = |row: &Value| lease(row) > 0 && !contents.leases.contains_key(&lease(row));
  if rows("setKeys").iter().any(has_expired) {
    return StatusCode::NOT_FOUND.into_response();
  }
  for row in rows("setKeys") {
    contents.write(&text(&row, "key"), text(&row, "value"), lease(&row));
  }
  for key in rows("remove") {
    contents.remove(key.as_str().unwrap_or_default());
  }
  Json(json!({"revision": contents.revision})).into_response()
}

pub(crate) async fn grant(State(store): State<PlatformStore>, Json(call): Json<Value>) -> Response {
  if !store.admit_call().await {
    return unavailable();
  }
  let ttl_ms = call["ttlMs"].as_u64().unwrap_or(0);
  let lease = store.update(|contents| {
    contents.last_lease += 1;
    let ttl = Duration::from_millis(ttl_ms);
    let lease = Lease {
      expires: Instant::now() + ttl,
      ttl,
    };
    contents.leases.insert(contents.last_lease, lease);
    contents.last_lease
  });
  let response = Json(json!({"lease": lease, "ttlMs": ttl_ms})).into_response();
  store.respond(response).await
}

pub(crate) async fn renew(State(store): State<PlatformStore>, Path(lease): Path<u64>) -> Response {
  if !store.admit_call().await {
    return unavailable();
  }
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
  store.respond(response).await
}

pub(crate) async fn revoke_lease(
  State(store): State<PlatformStore>,
  Path(lease): Path<u64>,
) -> Response {
  if !store.admit_call().await {
    return unavailable();
  }
  store.update(|contents| contents.revoke_lease(lease));
  store.respond(Json(json!({})).into_response()).await
}

fn unavailable() -> Response {
  StatusCode::SERVICE_UNAVAILABLE.into_response()
}
