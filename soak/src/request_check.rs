//! Checks of single requests.

use super::{
  breach::Breach,
  content,
  promise::Promise,
  records::{Outcome, PlannedStop, Records, RequestRecord, Run},
};

/// Time after a caller's disconnect at which the endpoint must have stopped.
const DISCONNECT_MS: u64 = 500;
/// Time after which a draining endpoint receives no new requests.
const DRAIN_MS: u64 = 2_000;
/// Time in which a request may cross the close of an idle connection, and be lost without having run.
const CLOSE_RACE_MS: u64 = 200;

/// Context of the checks of one request.
pub(crate) struct RequestCheck<'a> {
  pub(crate) id: &'a str,
  pub(crate) records: &'a Records,
  pub(crate) request: &'a RequestRecord,
  pub(crate) slack_ms: u64,
}

impl RequestCheck<'_> {
  /// The breaches of this request, except those by planned stops.
  pub(crate) fn breaches(&self) -> Vec<Breach> {
    [
      self.runs_once(),
      self.not_run_is_true(),
      self.own_complete_response(),
      self.attempts(),
      self.meets_deadline(),
      self.stops_after_disconnect(),
      self.sent_while_draining(),
    ]
    .into_iter()
    .flatten()
    .collect()
  }

  fn runs_once(&self) -> Option<Breach> {
    let Self { id, request, .. } = self;
    if request.kind.may_retry() || request.runs.len() <= 1 {
      return None;
    }
    let note = self.records.garbled_note(id);
    let observed = format!("{id} ran at {:?}{note}", request.runs);
    Some(Breach::new(Promise::RunsOnce, observed))
  }

  fn not_run_is_true(&self) -> Option<Breach> {
    let Self { id, request, .. } = self;
    let Some(Outcome::Complete { status, .. }) = request.outcome else {
      return None;
    };
    let says_not_run = matches!(status, 408 | 421 | 429 | 503);
    if !says_not_run || request.kind.may_retry() || request.runs.is_empty() {
      return None;
    }
    let observed = format!("{id} rejected with {status}, but ran at {:?}", request.runs);
    Some(Breach::new(Promise::NotRunIsTrue, observed))
  }

  fn own_complete_response(&self) -> Option<Breach> {
    let id = self.id;
    let observed = match self.request.outcome.as_ref()? {
      Outcome::Complete {
        status: 200..300,
        receipt,
        ..
      } if !self.has_run_with(receipt.as_deref()) => format!("{id} has the receipt {receipt:?}"),
      Outcome::Complete {
        status: 200..300,
        body,
        ..
      } if !self.is_expected(body) => format!("{id} complete, but got {body:?}"),
      Outcome::ConnectionLost {
        status: Some(200),
        body,
      }
      | Outcome::Moved { body }
        if !self.is_expected_beginning(body) =>
      {
        format!("{id} cut, but got {body:?}")
      }
      _ => return None,
    };
    let note = self.records.garbled_note(id);
    Some(Breach::new(
      Promise::OwnCompleteResponse,
      format!("{observed}{note}"),
    ))
  }

  /// Whether the endpoint with this receipt ran the request.
  fn has_run_with(&self, receipt: Option<&str>) -> bool {
    let is_its_run = |run: &Run| receipt == Some(&run.incarnation);
    self.request.runs.iter().any(is_its_run)
  }

  fn is_expected(&self, body: &str) -> bool {
    self.without_writers(body) == self.expected_body()
  }

  fn is_expected_beginning(&self, body: &str) -> bool {
    self
      .expected_body()
      .starts_with(&self.without_writers(body))
  }

  fn without_writers(&self, body: &str) -> String {
    if self.request.kind.is_stream() {
      content::without_writers(body)
    } else {
      body.into()
    }
  }

  fn expected_body(&self) -> String {
    if self.request.kind.is_stream() {
      let (stream, last_event) = self.request.stream(self.id);
      content::stream_after(stream, last_event)
    } else {
      content::plain_response(self.id)
    }
  }

  fn attempts(&self) -> Option<Breach> {
    let Self { id, request, .. } = self;
    // A second run of a request that must not be retried is reported by `runs_once`.
    if !request.kind.may_retry() || request.runs.len() <= self.max_attempts() {
      return None;
    }
    let observed = format!("{id} ran at {:?}", request.runs);
    Some(Breach::new(Promise::AttemptLimit, observed))
  }

  fn max_attempts(&self) -> usize {
    let kind = self.request.kind;
    let of_streams = self.records.stream_attempts;
    let of_streams = of_streams.filter(|_| kind.may_resume());
    of_streams.unwrap_or(kind.max_attempts())
  }

  fn meets_deadline(&self) -> Option<Breach> {
    let Self { id, request, .. } = self;
    // A request without an outcome was still open when its caller was stopped.
    let is_open = matches!(request.outcome, None | Some(Outcome::Unanswered));
    let ended_ms = request.ended_ms.unwrap_or(u64::MAX);
    if !is_open
      || !self
        .records
        .is_request_undisturbed(request, request.sent_ms, ended_ms)
    {
      return None;
    }
    let observed = format!(
      "{id} sent at {} ms, open at {:?} ms",
      request.sent_ms, request.ended_ms
    );
    Some(Breach::new(Promise::DeadlineKept, observed))
  }

  fn stops_after_disconnect(&self) -> Option<Breach> {
    let Self { id, request, .. } = self;
    let left_ms = request.ended_ms?;
    if !request.has_left() {
      return None;
    }
    let due_ms = left_ms + DISCONNECT_MS + self.slack_ms;
    let is_late = |run: &&Run| run.ended_ms.is_none_or(|ended_ms| ended_ms > due_ms);
    let run = request.runs.iter().find(is_late)?;
    if !self
      .records
      .is_request_undisturbed(request, request.sent_ms, due_ms)
    {
      return None;
    }
    let observed = format!(
      "{id} left at {left_ms} ms, {} running until {:?}",
      run.incarnation, run.ended_ms
    );
    Some(Breach::new(Promise::StopsAfterDisconnect, observed))
  }

  fn sent_while_draining(&self) -> Option<Breach> {
    let mut runs = self.request.runs.iter();
    runs.find_map(|run| self.began_while_draining(run))
  }

  /// A run that started at a draining endpoint after the bound.
  fn began_while_draining(&self, run: &Run) -> Option<Breach> {
    let Self { id, request, .. } = self;
    let draining_ms = *self.records.draining.get(&run.incarnation)?;
    let due_ms = draining_ms + DRAIN_MS + self.slack_ms;
    let began_ms = run.began_ms;
    if began_ms <= due_ms
      || !self
        .records
        .is_connected(request.box_index, draining_ms, began_ms)
      || !self
        .records
        .is_request_undisturbed(request, draining_ms, began_ms)
    {
      return None;
    }
    let observed = format!(
      "{id} began at {began_ms} ms at {}, which has been draining since {draining_ms} ms",
      run.incarnation
    );
    Some(Breach::new(Promise::Drained, observed))
  }

  /// Finds a cut of the request by a planned stop.
  pub(crate) fn cut_by_stop(&self, stop: &PlannedStop) -> Option<Breach> {
    let Self { id, request, .. } = self;
    let ended_ms = request.ended_ms?;
    let cut = matches!(request.outcome, Some(Outcome::ConnectionLost { .. }));
    let was_received =
      !request.runs.is_empty() || ended_ms > request.sent_ms + CLOSE_RACE_MS + self.slack_ms;
    let overlaps_stop = request.box_index == stop.box_index
      && request.sent_ms < stop.exited_ms
      && ended_ms > stop.signalled_ms;
    if !cut || !was_received || !overlaps_stop || !self.records.is_undisturbed_except_stops(request)
    {
      return None;
    }
    let observed = format!(
      "{id} sent at {} ms, cut at {ended_ms} ms: {stop:?}",
      request.sent_ms
    );
    Some(Breach::new(Promise::GracefulStop, observed))
  }
}
