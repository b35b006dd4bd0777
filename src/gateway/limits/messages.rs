//! Messages between boxes on organisations' usage.

use {
  crate::{
    CallError, HttpClient,
    gateway::{
      connections::{message_response, read_message, send_message, status_response},
      decisions::{UsageTotals, UsageVerdict},
      state::Gateway,
    },
    ids::Name,
  },
  bytes::Bytes,
  http::{Request, Response, StatusCode},
  http_body_util::Full,
  hyper::body::Incoming,
  serde::{Deserialize, Serialize, de::DeserializeOwned},
  std::{net::SocketAddr, time::Duration},
};

/// The path on which a coordinator receives usage reports.
pub(crate) const USAGE_PATH: &str = "/use";
/// The path on which coordinators exchange their totals.
pub(crate) const TOTALS_PATH: &str = "/totals";
/// Limit of a message body: room for 4,000 organisations with names of 60 bytes.
const MAX_BODY_BYTES: usize = 256 * 1024;

/// A box's report to a coordinator.
#[derive(Debug, Deserialize, Serialize)]
pub(crate) struct UsageReport {
  pub(crate) box_name: Name,
  /// Units admitted since the last report, by organisation; negative when more were refunded.
  pub(crate) used: Vec<(Name, i64)>,
  /// A request of an organisation that is near its limit, with its units: to be charged if it is within the limit.
  pub(crate) pending: Option<(Name, u64)>,
}

/// A coordinator's response to a report.
#[derive(Debug, Deserialize, Serialize)]
pub(crate) struct UsageResponse {
  /// The organisations near their limits, each with its remaining units.
  pub(crate) near_limit: Vec<(Name, f64)>,
  /// The decision on the request in `pending`.
  pub(crate) verdict: Option<UsageVerdict>,
}

/// Sends a usage report to a coordinator.
pub(super) async fn send_usage(
  http: &HttpClient,
  address: SocketAddr,
  report: &UsageReport,
  timeout: Duration,
) -> Result<UsageResponse, CallError> {
  let body = send_message(http, address, USAGE_PATH, report, timeout).await?;
  postcard::from_bytes(&body).map_err(|error| CallError::InvalidResponse(error.to_string()))
}

/// Sends this coordinator's totals to another one.
pub(super) async fn send_totals(
  http: &HttpClient,
  address: SocketAddr,
  totals: &UsageTotals,
  timeout: Duration,
) -> Result<(), CallError> {
  send_message(http, address, TOTALS_PATH, totals, timeout)
    .await
    .map(drop)
}

/// Charges the usage that another box reports, and decides on the request that it asks for.
pub(crate) async fn handle_usage(
  gateway: &Gateway,
  request: Request<Incoming>,
) -> Response<Full<Bytes>> {
  let Some(report) = decode_message::<UsageReport>(request).await else {
    return status_response(StatusCode::BAD_REQUEST);
  };
  let now_ms = gateway.now_ms();
  let mut usage = gateway.usage_table.borrow_mut();
  usage.record_reporter(&report.box_name, now_ms);
  for (organisation, units) in &report.used {
    usage.charge(organisation, *units, now_ms);
  }
  let verdict = report
    .pending
    .map(|(organisation, units)| usage.admit(&organisation, units, now_ms));
  let response = UsageResponse {
    near_limit: usage.near_limit(now_ms),
    verdict,
  };
  message_response(&response)
}

/// Applies the totals of another coordinator.
pub(crate) async fn handle_totals(
  gateway: &Gateway,
  request: Request<Incoming>,
) -> Response<Full<Bytes>> {
  let Some(totals) = decode_message::<UsageTotals>(request).await else {
    return status_response(StatusCode::BAD_REQUEST);
  };
  let now_ms = gateway.now_ms();
  // `now_ms` counts from the start of this process.
  let uptime_ms = now_ms;
  gateway
    .usage_table
    .borrow_mut()
    .merge_totals(&totals, uptime_ms, now_ms);
  status_response(StatusCode::OK)
}

async fn decode_message<M: DeserializeOwned>(request: Request<Incoming>) -> Option<M> {
  read_message(request, MAX_BODY_BYTES)
    .await
    .inspect_err(|error| log::info!("E609 usage message rejected: {error}"))
    .ok()
}
