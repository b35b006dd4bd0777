//! What boxes tell each other of organisations' use, and the answers.

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

/// The path on which a box that counts is told of use.
pub(crate) const USE_PATH: &str = "/use";
/// The path on which boxes that count tell each other their totals.
pub(crate) const TOTALS_PATH: &str = "/totals";
/// The longest message: 4,000 organisations with names of 60 bytes.
const MOST_BYTES: usize = 256 * 1024;

/// What a box tells one that counts.
#[derive(Debug, Deserialize, Serialize)]
pub(crate) struct UseReport {
  /// The box.
  pub(crate) box_name: Name,
  /// Units admitted since its last report, by organisation; below 0 when more were given back.
  pub(crate) used: Vec<(Name, i64)>,
  /// A request of an organisation that is short, to be counted if it is within the limit.
  pub(crate) asks: Option<(Name, u64)>,
}

/// What the box that counts answers.
#[derive(Debug, Deserialize, Serialize)]
pub(crate) struct UseAnswer {
  /// The organisations that are short, each with the units that are left.
  pub(crate) short: Vec<(Name, f64)>,
  /// What becomes of the request that was asked for.
  pub(crate) verdict: Option<UsageVerdict>,
}

/// Tells a box that counts of use, and asks it.
pub(super) async fn report(
  http: &HttpClient,
  address: SocketAddr,
  message: &UseReport,
  limit: Duration,
) -> Result<UseAnswer, CallError> {
  let body = send_message(http, address, USE_PATH, message, limit).await?;
  postcard::from_bytes(&body).map_err(|error| CallError::InvalidResponse(error.to_string()))
}

/// Tells another box that counts this one's totals.
pub(super) async fn tell_totals(
  http: &HttpClient,
  address: SocketAddr,
  totals: &UsageTotals,
  limit: Duration,
) -> Result<(), CallError> {
  send_message(http, address, TOTALS_PATH, totals, limit)
    .await
    .map(drop)
}

/// Counts what another box reports, and answers it.
pub(crate) async fn answer_use(
  gateway: &Gateway,
  request: Request<Incoming>,
) -> Response<Full<Bytes>> {
  let Some(report) = read::<UseReport>(request).await else {
    return status_response(StatusCode::BAD_REQUEST);
  };
  let now_ms = gateway.now_ms();
  let mut book = gateway.use_book.borrow_mut();
  book.record_reporter(&report.box_name, now_ms);
  for (organisation, units) in &report.used {
    book.charge(organisation, *units, now_ms);
  }
  let verdict = report
    .asks
    .map(|(organisation, units)| book.admit(&organisation, units, now_ms));
  let answer = UseAnswer {
    short: book.near_limit(now_ms),
    verdict,
  };
  message_response(&answer)
}

/// Takes over the totals of another box that counts.
pub(crate) async fn answer_totals(
  gateway: &Gateway,
  request: Request<Incoming>,
) -> Response<Full<Bytes>> {
  let Some(totals) = read::<UsageTotals>(request).await else {
    return status_response(StatusCode::BAD_REQUEST);
  };
  let now_ms = gateway.now_ms();
  // This box's clock starts with its process.
  let uptime_ms = now_ms;
  gateway
    .use_book
    .borrow_mut()
    .merge_totals(&totals, uptime_ms, now_ms);
  status_response(StatusCode::OK)
}

async fn read<M: DeserializeOwned>(request: Request<Incoming>) -> Option<M> {
  read_message(request, MOST_BYTES)
    .await
    .inspect_err(|error| log::info!("E609 counts not read: {error}"))
    .ok()
}
