//! Shows what is left of organisations' limits, the limits that endpoints name, and the halls that operators drain.

use {
  crate::{Error, HttpClient, Result},
  bpaf::Bpaf,
  http::Request,
  http_body_util::Full,
  std::time::Duration,
};

const OPERATION: &str = "limits";
const LIMIT: Duration = Duration::from_secs(10);
/// What a line on an organisation begins with in a box's figures.
const LINE_START: &str = "rillford_limit_left_units{organisation=\"";

/// What a line on an endpoint begins with there.
const ENDPOINT_LINE_START: &str = "rillford_endpoint_limit_per_s{endpoint=\"";

/// What a line on a drained hall begins with there.
const HALL_LINE_START: &str = "rillford_hall_drained{hall=\"";

/// Which box to ask.
#[derive(Clone, Debug, Bpaf)]
pub(crate) struct ShowLimits {
  /// Where a gateway box shows its figures; the first two boxes of a hall count organisations' use
  #[bpaf(long, argument("URL"))]
  metrics: String,
}

impl ShowLimits {
  /// Prints a line for each organisation, the one nearest to its limit first, for each endpoint that names a limit, the lowest
  /// first, and for each hall that is drained.
  pub(crate) fn run(self) -> Result {
    let figures = self.figures()?;
    print_organisations(figures.lines().filter_map(LimitRow::parse).collect());
    print_endpoints(
      figures
        .lines()
        .filter_map(EndpointLimitRow::parse)
        .collect(),
    );
    print_drained_halls(figures.lines().filter_map(drained_hall));
    Ok(())
  }

  fn figures(&self) -> Result<String> {
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
      .block_on(async { HttpClient::default().fetch_bytes(request, LIMIT).await })
      .map_err(|error| failed(error.to_string()))?;
    Ok(String::from_utf8_lossy(&bytes).into_owned())
  }
}

fn print_organisations(rows: Vec<LimitRow>) {
  if rows.is_empty() {
    println!("this box counts no organisation's use");
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

/// The hall of a line on one that is drained.
fn drained_hall(line: &str) -> Option<&str> {
  let (hall, _) = line.strip_prefix(HALL_LINE_START)?.split_once("\"} ")?;
  Some(hall)
}

/// One organisation in a box's figures.
#[derive(Debug, Eq, PartialEq)]
struct LimitRow<'a> {
  organisation: &'a str,
  rate_per_s: &'a str,
  burst: &'a str,
  left: &'a str,
}

impl<'a> LimitRow<'a> {
  fn parse(line: &'a str) -> Option<Self> {
    let rest = line.strip_prefix(LINE_START)?;
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

/// One endpoint that names a limit in a box's figures.
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
