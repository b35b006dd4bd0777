//! Messages between boxes on organisations' usage.

use {
  crate::{
    CallError, HttpClient,
    gateway::{
      connections::{message_response, read_message, send_message, status_response},
      decisions::{
        BandDemand, BandRequest, DemandBand, RequestedUnits, ShareState, UsageTotals, UsageVerdict,
      },
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
/// The path on which a coordinator receives usage reports with ranks.
pub(crate) const RANKED_USAGE_PATH: &str = "/use-ranked";
/// The path on which coordinators exchange their demand.
pub(crate) const DEMAND_PATH: &str = "/demand";
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

/// A box's report to a coordinator where fair shares are enabled.
#[derive(Debug, Deserialize, Serialize)]
pub(crate) struct RankedUsageReport {
  pub(crate) report: UsageReport,
  /// The band of the request in `report.pending`.
  pub(crate) band: Option<DemandBand>,
  /// Units requested since the last report, without that request.
  pub(crate) requested: RequestedUnits,
}

/// A coordinator's response to a report with ranks.
#[derive(Debug, Deserialize, Serialize)]
pub(crate) struct RankedUsageResponse {
  pub(crate) response: UsageResponse,
  /// The state behind the decision on the pending request.
  pub(crate) state: Option<ShareState>,
}

/// A coordinator's demand, sent to the others.
#[derive(Debug, Deserialize, Serialize)]
pub(crate) struct DemandMessage {
  pub(crate) box_name: Name,
  /// Organisations without demand are left out.
  pub(crate) demand: Vec<(Name, BandDemand)>,
}

/// Sends a usage report to a coordinator: with ranks if there are any and it supports them. Also returns the state behind the
/// decision, if it was by rank.
pub(super) async fn send_report(
  gateway: &Gateway,
  address: SocketAddr,
  message: &RankedUsageReport,
  timeout: Duration,
) -> Result<(UsageResponse, Option<ShareState>), CallError> {
  let http = &gateway.box_client;
  if gateway.has_fair_shares() && supports_ranks(gateway, address) {
    match send_message(http, address, RANKED_USAGE_PATH, message, timeout).await {
      Err(error) if is_unsupported(&error) => record_unsupported(gateway, address),
      result => {
        let decoded: RankedUsageResponse = decode_response(&result?)?;
        return Ok((decoded.response, decoded.state));
      }
    }
  }
  let response = send_usage(http, address, &message.report, timeout).await?;
  Ok((response, None))
}

/// Sends this coordinator's demand to another one that supports it.
pub(super) async fn send_demand(
  gateway: &Gateway,
  address: SocketAddr,
  demand: &DemandMessage,
  timeout: Duration,
) {
  if !supports_ranks(gateway, address) {
    return;
  }
  let sent = send_message(&gateway.box_client, address, DEMAND_PATH, demand, timeout).await;
  match sent {
    Err(error) if is_unsupported(&error) => record_unsupported(gateway, address),
    Err(error) => log::debug!("demand not sent to {address}: {error}"),
    Ok(_) => {}
  }
}

fn supports_ranks(gateway: &Gateway, address: SocketAddr) -> bool {
  let now_ms = gateway.now_ms();
  let unsupporting = gateway.unsupporting_boxes.borrow();
  unsupporting.is_supported(address, now_ms)
}

fn record_unsupported(gateway: &Gateway, address: SocketAddr) {
  log::info!("E621 fair shares: {address} does not support them, asked in order of arrival");
  let now_ms = gateway.now_ms();
  let mut unsupporting = gateway.unsupporting_boxes.borrow_mut();
  unsupporting.record(address, now_ms);
}

fn is_unsupported(error: &CallError) -> bool {
  matches!(
    error,
    CallError::Status {
      status: StatusCode::NOT_FOUND | StatusCode::CONFLICT,
      ..
    }
  )
}

fn decode_response<M: DeserializeOwned>(body: &[u8]) -> Result<M, CallError> {
  postcard::from_bytes(body).map_err(|error| CallError::InvalidResponse(error.to_string()))
}

/// Sends a usage report to a coordinator.
async fn send_usage(
  http: &HttpClient,
  address: SocketAddr,
  report: &UsageReport,
  timeout: Duration,
) -> Result<UsageResponse, CallError> {
  let body = send_message(http, address, USAGE_PATH, report, timeout).await?;
  decode_response(&body)
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

/// Charges the usage that another box reports, and decides by rank on the request that it asks for.
pub(crate) async fn handle_ranked_usage(
  gateway: &Gateway,
  request: Request<Incoming>,
) -> Response<Full<Bytes>> {
  if !gateway.has_fair_shares() {
    return status_response(StatusCode::NOT_FOUND);
  }
  let Some(message) = decode_message::<RankedUsageReport>(request).await else {
    return status_response(StatusCode::BAD_REQUEST);
  };
  let RankedUsageReport {
    band,
    report,
    requested,
  } = message;
  let now_ms = gateway.now_ms();
  let mut usage = gateway.usage_table.borrow_mut();
  usage.record_reporter(&report.box_name, now_ms);
  for (organisation, units) in &report.used {
    usage.charge(organisation, *units, now_ms);
  }
  for (organisation, band, units) in requested {
    usage.record_demand(&organisation, BandRequest { band, units }, now_ms);
  }
  let decision = report.pending.map(|(organisation, units)| {
    let band = band.unwrap_or(DemandBand::of(units, 0));
    usage.admit_ranked(&organisation, BandRequest { band, units }, now_ms)
  });
  let response = UsageResponse {
    near_limit: usage.near_limit(now_ms),
    verdict: decision.map(|decision| decision.verdict),
  };
  message_response(&RankedUsageResponse {
    response,
    state: decision.map(|decision| decision.state),
  })
}

/// Applies the demand that another coordinator reports.
pub(crate) async fn handle_demand(
  gateway: &Gateway,
  request: Request<Incoming>,
) -> Response<Full<Bytes>> {
  if !gateway.has_fair_shares() {
    return status_response(StatusCode::NOT_FOUND);
  }
  let Some(report) = decode_message::<DemandMessage>(request).await else {
    return status_response(StatusCode::BAD_REQUEST);
  };
  let now_ms = gateway.now_ms();
  let mut usage = gateway.usage_table.borrow_mut();
  usage.set_peer_demand(&report.box_name, report.demand, now_ms);
  status_response(StatusCode::OK)
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
