//! `rillford limits`: shows the remaining limits of organisations, the limits that endpoints advertise, and drained halls.

use {
  crate::{Error, HttpClient, Result},
  bpaf::Bpaf,
  http::Request,
  http_body_util::Full,
  std::time::Duration,
};

const OPERATION: &str = "limits";
const CALL_TIMEOUT: Duration = Duration::from_secs(10);
/// Start of the metric line of an organisation.
const ORGANISATION_LINE_START: &str = "rillford_limit_left_units{organisation=\"";

/// Start of the metric line of an endpoint that advertises a limit.
const ENDPOINT_LINE_START: &str = "rillford_endpoint_limit_per_s{endpoint=\"";

/// Start of the metric line of a drained hall.
const HALL_LINE_START: &str = "rillford_hall_drained{hall=\"";

/// The box to query.
#[derive(Clone, Debug, Bpaf)]
pub(crate) struct ShowLimits {
  /// URL of a gateway box's metrics; the first two boxes of a hall account organisations' usage
  #[bpaf(long, argument("URL"))]
  metrics: String,
}

impl ShowLimits {
  /// Prints a line for each organisation (the one nearest to its limit first), for each endpoint that advertises a
  /// limit (the lowest first), and for each drained hall.
  pub(crate) fn run(self) -> Result {
    let metrics = self.fetch_metrics()?;
    print_organisations(
      metrics
        .lines()
        .filter_map(OrganisationLimitRow::parse)
        .collect(),
    );
    print_endpoints(
      metrics
        .lines()
        .filter_map(EndpointLimitRow::parse)
        .collect(),
    );
    print_drained_halls(metrics.lines().filter_map(parse_drained_hall));
    Ok(())
  }

  fn fetch_metrics(&self) -> Result<String> {
    let failed = |message: String| Error::Call {
      message,
      operation: OPERATION,
      server: self.metrics.clone(),
    };
    let runtime = tokio::runtime::Builder::new_current_thread()
      .enable_all()
      .build()
      .map_err(|source| Error::Thread {
        name: OPERATION,
        source,
      })?;
    let request = Request::get(self.metrics.as_str())
      .body(Full::default())
      .map_err(|error| failed(error.to_string()))?;
    let bytes = runtime
      .block_on(async {
        HttpClient::default()
          .fetch_bytes(request, CALL_TIMEOUT)
          .await
      })
      .map_err(|error| failed(error.to_string()))?;
    Ok(String::from_utf8_lossy(&bytes).into_owned())
  }
}

fn print_organisations(rows: Vec<OrganisationLimitRow>) {
  if rows.is_empty() {
    println!("this box accounts no organisation's usage");
    return;
  }
  println!(
    "{:<32} {:>14} {:>14} {:>14}",
    "organisation", "left", "burst", "rate a second"
  );
  for row in rows {
    println!(
      "{:<32} {:>14} {:>14} {:>14}",
      row.organisation, row.left, row.burst, row.rate_per_s
    );
  }
}

fn print_endpoints(rows: Vec<EndpointLimitRow>) {
  if rows.is_empty() {
    return;
  }
  println!(
    "{:<32} {:>14} {:>14} {:>14}",
    "endpoint", "rate a second", "heard by", "ms ago"
  );
  for row in rows {
    println!(
      "{:<32} {:>14} {:>14} {:>14}",
      row.endpoint, row.per_s, row.heard_by, row.age_ms
    );
  }
}

fn print_drained_halls<'a>(halls: impl Iterator<Item = &'a str>) {
  for hall in halls {
    println!("hall {hall} is drained: its endpoints are sent nothing new");
  }
}

/// The hall in the metric line of a drained hall.
fn parse_drained_hall(line: &str) -> Option<&str> {
  let (hall, _) = line.strip_prefix(HALL_LINE_START)?.split_once("\"} ")?;
  Some(hall)
}

/// The limit of one organisation in a box's metrics.
#[derive(Debug, Eq, PartialEq)]
struct OrganisationLimitRow<'a> {
  organisation: &'a str,
  rate_per_s: &'a str,
  burst: &'a str,
  left: &'a str,
}

impl<'a> OrganisationLimitRow<'a> {
  fn parse(line: &'a str) -> Option<Self> {
    let rest = line.strip_prefix(ORGANISATION_LINE_START)?;
    let (organisation, rest) = rest.split_once("\",rate_per_s=\"")?;
    let (rate_per_s, rest) = rest.split_once("\",burst=\"")?;
    let (burst, left) = rest.split_once("\"} ")?;
    Some(Self {
      burst,
      left,
      organisation,
      rate_per_s,
    })
  }
}

/// The advertised limit of one endpoint in a box's metrics.
#[derive(Debug, Eq, PartialEq)]
struct EndpointLimitRow<'a> {
  endpoint: &'a str,
  heard_by: &'a str,
  age_ms: &'a str,
  per_s: &'a str,
}

impl<'a> EndpointLimitRow<'a> {
  fn parse(line: &'a str) -> Option<Self> {
    let rest = line.strip_prefix(ENDPOINT_LINE_START)?;
    let (endpoint, rest) = rest.split_once("\",heard_by=\"")?;
    let (heard_by, rest) = rest.split_once("\",age_ms=\"")?;
    let (age_ms, per_s) = rest.split_once("\"} ")?;
    Some(Self {
      age_ms,
      endpoint,
      heard_by,
      per_s,
    })
  }
}
