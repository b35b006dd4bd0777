//! Metrics over statsd; docs/OPERATORS.md lists them with their units.

use {
  crate::{
    Error, Result,
    decide::{EventKind, Status},
  },
  cadence::{BufferedUdpMetricSink, Counted, Gauged, NopMetricSink, StatsdClient, Timed},
  std::{
    net::{SocketAddr, UdpSocket},
    time::Duration,
  },
};

const PREFIX: &str = "rillford";

/// Sends metrics.
pub(crate) struct MetricSink(StatsdClient);

impl MetricSink {
  /// Sends to a statsd address, or discards all metrics if there is none.
  pub(crate) fn open(statsd: Option<SocketAddr>) -> Result<Self> {
    let Some(address) = statsd else {
      return Ok(Self(StatsdClient::from_sink(PREFIX, NopMetricSink)));
    };
    let error = |message: String| Error::Metrics {
      address: address.to_string(),
      message,
    };
    let local = if address.is_ipv4() {
      "0.0.0.0:0"
    } else {
      "[::]:0"
    };
    let socket = UdpSocket::bind(local).map_err(|source| error(source.to_string()))?;
    let sink =
      BufferedUdpMetricSink::from(address, socket).map_err(|source| error(source.to_string()))?;
    Ok(Self(StatsdClient::from_sink(PREFIX, sink)))
  }

  pub(crate) fn record_event(&self, kind: EventKind, detail: &str) {
    let name = match kind {
      EventKind::RequestAnswered => "requests.answered",
      EventKind::RequestNotRun => "requests.not_run",
      EventKind::RequestUnknown => "requests.unknown",
      EventKind::RequestAbandoned => "requests.abandoned",
      EventKind::DecodeResumed => "retries.resumed",
      EventKind::RetryDenied => "retries.denied",
      EventKind::CancelSent => "cancels.sent",
      EventKind::CancelSettled => "cancels.settled",
      EventKind::PrefillWasted => "prefill.wasted_tokens",
      _ => return,
    };
    let amount = match kind {
      EventKind::PrefillWasted => detail.parse().unwrap_or(0),
      _ => 1,
    };
    let _ = self.0.count(name, amount);
  }

  pub(crate) fn completed(&self, first_token: Duration, between_tokens: Duration, good: bool) {
    let _ = self.0.time("first_token_ms", first_token);
    let _ = self.0.time("between_token_ms", between_tokens);
    if good {
      let _ = self.0.count("goodput.requests", 1);
    }
  }

  pub(crate) fn platform_call(&self) {
    let _ = self.0.count("platform.calls", 1);
  }

  pub(crate) fn status(&self, status: &Status) {
    let _ = self.0.gauge("queue.requests", status.waiting as u64);
    let _ = self
      .0
      .gauge("requests.in_progress", status.in_progress as u64);
    let _ = self.0.gauge("orders.open", status.open_orders as u64);
    let _ = self.0.gauge("seats.granted", status.seats_granted as u64);
  }
}
