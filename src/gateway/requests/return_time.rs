//! Retry-after delays of requests that have not run, by the schedule of returns.

use crate::gateway::{
  decisions::{RETRY_AFTER_FULL_MS, ReturningCaller},
  stages::RoutedRequest,
  state::Gateway,
};

/// Units of a request at an endpoint.
const REQUEST_UNITS: f64 = 1.0;

/// The retry-after delay of a rejected request: by the schedule of returns if it is in use and room is forecast, otherwise until
/// the first backoff of the service's endpoints ends, or `default_ms` when none backs off.
pub(super) fn retry_after_ms(gateway: &Gateway, request: &RoutedRequest, default_ms: u64) -> u64 {
  let service = &request.service;
  if !gateway.orders_returns() {
    return gateway.retry_after_ms(service, default_ms);
  }
  let now_ms = gateway.now_ms();
  let caller = ReturningCaller {
    priority: request.permit_caller().priority,
    refused_for_ms: request.refused_for_ms,
    remaining_ms: request.remaining_ms(now_ms),
    units: REQUEST_UNITS,
  };
  let available_in_ms = gateway.endpoints.borrow().available_in_ms(service, now_ms);
  let Some(rate_per_s) = forecast_rate_per_s(gateway, request) else {
    let default_ms = gateway.retry_after_ms(service, default_ms);
    return default_ms.min(caller.latest_ms());
  };
  let retry_after_ms = gateway.service_returns(service, |returns| {
    let earliest_ms = available_in_ms.unwrap_or(0);
    let draw = gateway.draw();
    returns
      .schedule
      .assign(caller, rate_per_s, earliest_ms, now_ms, draw)
  });
  let is_latest = retry_after_ms >= caller.latest_ms();
  let counters = &gateway.counters;
  counters.return_times.inc();
  counters.latest_return_times.add(u64::from(is_latest));
  log::info!(
    "E580 return time: {} {service} priority {}, refused for {} ms, {} ms left: returns after {retry_after_ms} ms, \
     room from {available_in_ms:?} ms, {rate_per_s:.2} per s",
    request.id(),
    caller.priority,
    caller.refused_for_ms,
    caller.remaining_ms,
  );
  retry_after_ms
}

/// The rate at which a caller who returns finds room; `None` when it is not known.
fn forecast_rate_per_s(gateway: &Gateway, request: &RoutedRequest) -> Option<f64> {
  let now_ms = gateway.now_ms();
  let room_per_s = gateway.service_returns(&request.service, |returns| {
    returns.supply.room_per_s(now_ms)
  })?;
  if request.route.kind.is_stream() {
    return Some(room_per_s);
  }
  // Plain endpoints answer in a fraction of a second, and a box's own answers show only what it asked for: the first caller
  // returns no later than without the schedule.
  Some(room_per_s.max(1_000.0 / RETRY_AFTER_FULL_MS as f64))
}
