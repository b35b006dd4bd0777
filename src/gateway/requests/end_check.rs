//! Finds out whether the end of an engine's answer is the end of its stream.

use {
  super::stream_request::{StreamFailure, StreamRequest},
  crate::{
    gateway::{
      decisions::{AnswerEnd, CheckDenial, EarlyEnds, EndEvidence, EndVerdict},
      edge::{EndpointEntry, SoftwareVersion},
      stages::{
        ConnectionEnd, EndProof, EndWitness, ResponseHead, UnconfirmedEnd, confirm_end,
        confirm_end_again,
      },
      state::Gateway,
    },
    ids::Name,
  },
  std::{
    fmt,
    time::{Duration, Instant},
  },
  tokio::time::timeout,
};

/// Why an end does not complete its stream.
#[derive(Debug)]
pub(super) enum EndDoubt {
  /// The stream goes on at another engine, if one may: its engine ended early, or a further run is to check the end.
  GoesOn(String),
  /// The stream is aborted: its caller may resume it, or nothing else shows that it is incomplete. Its engine runs.
  Aborted(&'static str),
}

/// An end that a further run checks.
#[derive(Debug)]
struct OpenCheck {
  request: String,
  engine: Name,
  service: Name,
  version: SoftwareVersion,
  last_event_id: Option<u64>,
  evidence: EndEvidence,
  /// The entry of the engine, and when its answer ended.
  entry: EndpointEntry,
  ended_at: Instant,
  /// Shows whether the engine outlives the end.
  witness: Option<EndWitness>,
  /// Whether a run that was to check it was lost.
  is_run_lost: bool,
}

/// How an answer's end was confirmed.
#[derive(Clone, Copy, Debug)]
struct Confirmation {
  proof: EndProof,
  /// The time from the end until that.
  took: Duration,
}

impl fmt::Display for Confirmation {
  fn fmt(&self, formatter: &mut fmt::Formatter<'_>) -> fmt::Result {
    let Self { proof, took } = self;
    write!(
      formatter,
      "confirmed by {proof} after {} ms",
      took.as_millis()
    )
  }
}

/// What has arrived of a stream when its engine's answer ends.
#[derive(Clone, Copy, Debug)]
pub(super) struct Received {
  /// How the answer ended.
  pub(super) end: AnswerEnd,
  /// Events that were forwarded.
  pub(super) events: u64,
  /// Whether as many events were forwarded as the request allows tokens: each event holds one or more.
  pub(super) has_all_tokens: bool,
  /// Whether the caller named an event to continue after, and none came.
  pub(super) is_empty_rest: bool,
  /// Whether another run may continue after the last event.
  pub(super) may_go_on: bool,
}

/// Checks the ends of a stream's answers.
#[derive(Debug, Default)]
pub(super) struct EndCheck {
  open: Option<OpenCheck>,
  /// Whether an answer of the stream was interrupted, or ended early.
  was_interrupted: bool,
}

impl EndCheck {
  /// Whether the stream goes on only to find out whether it is complete.
  pub(super) fn is_open(&self) -> bool {
    self.open.is_some()
  }

  /// No engine responds with the run that was to check an end.
  pub(super) fn record_failure(&mut self, gateway: &Gateway, failure: &StreamFailure) {
    let Some(open) = &mut self.open else {
      return;
    };
    let denial = match failure {
      StreamFailure::NoSlot => CheckDenial::NoSlot,
      StreamFailure::NoRetry => CheckDenial::NoRetry,
      StreamFailure::VersionUnknown => CheckDenial::NoVersion,
      StreamFailure::Failed(_) | StreamFailure::NotStreamed(_) => CheckDenial::Failed,
    };
    open.evidence.caller_may_check = denial.is_left_to_caller();
    gateway.counters.count_check_denial(denial);
    log::info!(
      "E525 end not checked: {} after event {:?} at {} version {}: {denial}",
      open.request,
      open.last_event_id,
      open.engine,
      open.version
    );
  }

  /// The end that was to be checked, if it completes the stream although no run can check it, and its engine still runs.
  pub(super) async fn complete_unchecked(&self, stream: &StreamRequest) -> Option<AnswerEnd> {
    let open = self.open.as_ref().filter(|open| !open.is_run_lost)?;
    let evidence = EndEvidence {
      may_check: false,
      ..open.evidence
    };
    if evidence.verdict() != EndVerdict::Complete {
      return None;
    }
    if evidence.end == AnswerEnd::Connection {
      let witness = open.witness.as_ref();
      let end = ConnectionEnd::of_former(stream.request.id(), &open.entry, witness, open.ended_at);
      let confirmed = confirm_end_again(&stream.gateway, end);
      confirm_in_time(stream, confirmed).await.ok()?;
    }
    Some(evidence.end)
  }

  /// The current run is lost. One that was to check an end shows nothing.
  pub(super) fn record_lost_run(&mut self) {
    self.was_interrupted = true;
    if let Some(open) = &mut self.open {
      open.is_run_lost = true;
    }
  }

  /// A further event has arrived, or a part of one: an end that is checked was early.
  pub(super) fn record_event(&mut self, gateway: &Gateway) {
    self.was_interrupted |= self.is_open();
    self.resolve(gateway, true);
  }

  /// Checks the end of an answer; fails if the stream is to go on after it, or is incomplete.
  pub(super) async fn check(
    &mut self,
    stream: &StreamRequest,
    head: &ResponseHead,
    received: Received,
  ) -> Result<(), EndDoubt> {
    // Ids may begin at 0.
    let forwarded = stream.last_event_id.max(Some(received.events));
    let answer_end = head.answer_end(stream.request.id(), forwarded);
    let is_unframed = received.end == AnswerEnd::Connection && !received.has_all_tokens;
    let mut confirmation = None;
    if is_unframed {
      let confirmed = confirm_end(&stream.gateway, answer_end);
      let confirmed = confirm_in_time(stream, confirmed).await;
      confirmation = Some(confirmed.map_err(EndDoubt::GoesOn)?);
    }
    let (evidence, denial) = self.evidence(stream, head, received);
    let verdict = evidence.verdict();
    if evidence.end != AnswerEnd::Framed {
      let counters = &stream.gateway.counters;
      match denial {
        Some(denial) => counters.count_check_denial(denial),
        None => counters.checks.inc(),
      }
      let reason = denial.map_or_else(String::new, |denial| format!(", not checked: {denial}"));
      let confirmed = confirmation.map_or_else(
        || ", not confirmed".into(),
        |confirmation| format!(", {confirmation}"),
      );
      log::info!(
        "E592 end judged: {} after event {:?} at {} version {}, {verdict:?} by {evidence:?}{reason}{confirmed}",
        stream.request.id(),
        stream.last_event_id,
        head.entry.id,
        head.entry.version
      );
    }
    match verdict {
      EndVerdict::Complete => {
        if is_unframed {
          let confirmed = confirm_end_again(&stream.gateway, answer_end);
          let confirmed = confirm_in_time(stream, confirmed).await;
          confirmed.map_err(EndDoubt::GoesOn)?;
        }
        if evidence.is_empty_rest && !self.is_open() {
          record_whole_end(stream, head);
        }
        self.resolve(&stream.gateway, false);
        Ok(())
      }
      EndVerdict::Check => {
        self.open = Some(OpenCheck {
          ended_at: Instant::now(),
          engine: head.entry.id.clone(),
          entry: head.entry.clone(),
          evidence,
          is_run_lost: false,
          last_event_id: stream.last_event_id,
          request: stream.request.id().to_owned(),
          service: head.entry.service.clone(),
          version: head.entry.version.clone(),
          witness: head.witness(),
        });
        let reason = "the end of its answer is to be checked";
        Err(EndDoubt::GoesOn(reason.into()))
      }
      EndVerdict::Incomplete => Err(EndDoubt::Aborted(
        "nothing shows that it was whole when its answer ended",
      )),
    }
  }

  fn evidence(
    &self,
    stream: &StreamRequest,
    head: &ResponseHead,
    received: Received,
  ) -> (EndEvidence, Option<CheckDenial>) {
    let gateway = &stream.gateway;
    let (service, version) = (&head.entry.service, &head.entry.version);
    let ends = gateway.checked_ends.borrow();
    let was_resumed = stream.may_retry() && stream.request.attributes.last_event_id.is_some();
    let unchecked = EndEvidence {
      caller_may_check: true,
      early_ends: ends.early(service, version, gateway.now_ms()),
      end: received.end,
      has_all_tokens: received.has_all_tokens,
      is_empty_rest: received.is_empty_rest,
      may_be_resumed: stream.may_retry() && received.may_go_on,
      may_check: false,
      others_are_whole: ends.are_whole(service, version, gateway.now_ms()),
      was_interrupted: self.was_interrupted || was_resumed,
      was_repeated: self.is_open(),
    };
    let denial = check_denial(stream, service, received, unchecked);
    let evidence = EndEvidence {
      caller_may_check: denial.is_some_and(CheckDenial::is_left_to_caller),
      may_check: denial.is_none(),
      ..unchecked
    };
    (evidence, denial)
  }

  fn resolve(&mut self, gateway: &Gateway, was_early: bool) {
    let Some(open) = self.open.take() else {
      return;
    };
    log::info!(
      "E525 end checked: {} after event {:?} at {} version {}, early: {was_early}",
      open.request,
      open.last_event_id,
      open.engine,
      open.version
    );
    let mut ends = gateway.checked_ends.borrow_mut();
    ends.record(&open.service, &open.version, was_early, gateway.now_ms());
  }
}

/// A caller's own request has shown that the stream was whole when its former answer ended.
fn record_whole_end(stream: &StreamRequest, head: &ResponseHead) {
  let gateway = &stream.gateway;
  let (service, version) = (&head.entry.service, &head.entry.version);
  let mut ends = gateway.checked_ends.borrow_mut();
  ends.record(service, version, false, gateway.now_ms());
}

/// Why no further run may check an end; `None` if one may.
fn check_denial(
  stream: &StreamRequest,
  service: &Name,
  received: Received,
  unchecked: EndEvidence,
) -> Option<CheckDenial> {
  let gateway = &stream.gateway;
  let is_needed =
    unchecked.early_ends != EarlyEnds::None || unchecked.verdict() == EndVerdict::Incomplete;
  if received.has_all_tokens {
    Some(CheckDenial::AllTokens)
  } else if unchecked.was_repeated {
    Some(CheckDenial::IsCheck)
  } else if !stream.may_retry() {
    Some(CheckDenial::NotResumable)
  } else if !received.may_go_on {
    Some(CheckDenial::NoOrder)
  } else if stream.request.is_blocked(gateway) {
    Some(CheckDenial::Quarantined)
  } else if !stream.has_attempts_left() {
    Some(CheckDenial::NoAttempt)
  } else if !stream.may_check_end(service, is_needed) {
    Some(CheckDenial::NoRetry)
  } else {
    None
  }
}

/// Waits for the confirmation of an end until the request's deadline.
async fn confirm_in_time(
  stream: &StreamRequest,
  confirmed: impl Future<Output = Result<EndProof, UnconfirmedEnd>>,
) -> Result<Confirmation, String> {
  let remaining_ms = stream.request.remaining_ms(stream.gateway.now_ms());
  let since = Instant::now();
  match timeout(Duration::from_millis(remaining_ms), confirmed).await {
    Ok(Ok(proof)) => Ok(Confirmation {
      proof,
      took: since.elapsed(),
    }),
    Ok(Err(error)) => Err(error.to_string()),
    Err(_) => Err("deadline exceeded before the end was confirmed".into()),
  }
}
