//! The calls that the platform's store answers.

use {
  super::{
    platform_store::PlatformStore,
    store_contents::{Contents, Lease, shown},
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

/// Items of a page: so few that every listing has pages.
const PAGE_ITEMS: usize = 2;

/// The query of a call.
type Ask = HashMap<String, String>;

pub(crate) async fn range(State(store): State<PlatformStore>, Query(ask): Query<Ask>) -> Response {
  if !store.takes_call().await {
    return down();
  }
  store.contents().listings += 1;
  if !ask.contains_key("after") {
    store.contents().first_pages += 1;
  } else if store.takes_refusal() {
    return StatusCode::TOO_MANY_REQUESTS.into_response();
  }
  while ask.contains_key("after") && store.contents().holds_pages {
    sleep(Duration::from_millis(5)).await;
  }
  let mut contents = store.contents();
  let may_lag = ask.get("serializable").is_some_and(|text| text == "1");
  contents.old_pages += usize::from(may_lag);
  let (items, revision) = match &contents.old {
    Some(old) if may_lag => (&old.items, old.revision),
    _ => (&contents.items, contents.revision),
  };
  let prefix = ask.get("pathPrefix").map_or("", String::as_str);
  let after = ask.get("after").map_or("", String::as_str);
  let rows: Vec<_> = items
    .iter()
    .filter(|(key, _)| key.starts_with(prefix) && key.as_str() > after)
    .collect();
  let items: Vec<Value> = rows
    .iter()
    .take(PAGE_ITEMS)
    .map(|(key, item)| shown(key, item))
    .collect();
  let has_more = rows.len() > PAGE_ITEMS;
  Json(json!({"items": items, "hasMore": has_more, "timestamp": revision})).into_response()
}

pub(crate) async fn key(State(store): State<PlatformStore>, Query(ask): Query<Ask>) -> Response {
  if !store.takes_call().await {
    return down();
  }
  let contents = store.contents();
  let wanted = ask.get("key").map_or("", String::as_str);
  match contents.items.get_key_value(wanted) {
    Some((key, item)) => Json(shown(key, item)).into_response(),
    None => StatusCode::NOT_FOUND.into_response(),
  }
}

pub(crate) async fn changes(
  State(store): State<PlatformStore>,
  Query(ask): Query<Ask>,
) -> Response {
  if !store.takes_call().await {
    return down();
  }
  let number = |name: &str| ask.get(name).and_then(|text| text.parse::<u64>().ok());
  let (Some(after), Some(wait_ms)) = (number("after"), number("waitMs")) else {
    return StatusCode::BAD_REQUEST.into_response();
  };
  store.wait_past(after, Duration::from_millis(wait_ms)).await;
  let contents = store.contents();
  if contents.is_down {
    return down();
  }
  if after < contents.history_from {
    return StatusCode::GONE.into_response();
  }
  let events: Vec<&Value> = contents
    .history
    .iter()
    .filter(|(revision, _)| *revision > after)
    .map(|(_, event)| event)
    .collect();
  Json(json!({"events": events, "timestamp": contents.revision})).into_response()
}

pub(crate) async fn change(
  State(store): State<PlatformStore>,
  Json(call): Json<Value>,
) -> Response {
  if !store.takes_call().await {
    return down();
  }
  let answer = store.alter(|contents| carry_out(contents, &call));
  store.answer(answer).await
}

/// Carries out a change whole, or not at all.
fn carry_out(contents: &mut Contents, call: &Value) -> Response {
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
  let is_over = |row: &Value| lease(row) > 0 && !contents.leases.contains_key(&lease(row));
  if rows("setKeys").iter().any(is_over) {
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
  if !store.takes_call().await {
    return down();
  }
  let ttl_ms = call["ttlMs"].as_u64().unwrap_or(0);
  let lease = store.alter(|contents| {
    contents.last_lease += 1;
    let ttl = Duration::from_millis(ttl_ms);
    let lease = Lease {
      ends: Instant::now() + ttl,
      ttl,
    };
    contents.leases.insert(contents.last_lease, lease);
    contents.last_lease
  });
  let answer = Json(json!({"lease": lease, "ttlMs": ttl_ms})).into_response();
  store.answer(answer).await
}

pub(crate) async fn renew(State(store): State<PlatformStore>, Path(lease): Path<u64>) -> Response {
  if !store.takes_call().await {
    return down();
  }
  let renewed = store.contents().leases.get_mut(&lease).map(|lease| {
    lease.ends = Instant::now() + lease.ttl;
    lease.ttl.as_millis()
  });
  let answer = match renewed {
    Some(ttl_ms) => {
      Json(json!({"ttlMs": u64::try_from(ttl_ms).unwrap_or(u64::MAX)})).into_response()
    }
    None => StatusCode::NOT_FOUND.into_response(),
  };
  store.answer(answer).await
}

pub(crate) async fn end_lease(
  State(store): State<PlatformStore>,
  Path(lease): Path<u64>,
) -> Response {
  if !store.takes_call().await {
    return down();
  }
  store.alter(|contents| contents.end_lease(lease));
  store.answer(Json(json!({})).into_response()).await
}

fn down() -> Response {
  StatusCode::SERVICE_UNAVAILABLE.into_response()
}
