//! Counters and latency histograms of a box, and their text format.

use {
  crate::gateway::decisions::CheckDenial,
  std::{
    cell::{Cell, RefCell},
    fmt::Write,
  },
};

/// Upper bounds of the latency histograms' buckets.
const BUCKETS_MS: [u64; 12] = [5, 10, 25, 50, 100, 200, 300, 500, 900, 1_500, 3_000, 10_000];

/// A monotonic counter.
#[derive(Debug, Default)]
pub(crate) struct Counter(Cell<u64>);

impl Counter {
  pub(crate) fn inc(&self) {
    self.add(1);
  }

  pub(crate) fn add(&self, count: u64) {
    self.0.set(self.0.get() + count);
  }

  pub(crate) fn get(&self) -> u64 {
    self.0.get()
  }
}

/// A latency histogram.
#[derive(Debug, Default)]
pub(crate) struct Histogram {
  counts: RefCell<[u64; BUCKETS_MS.len() + 1]>,
  sum_ms: Cell<u64>,
}

impl Histogram {
  pub(crate) fn record(&self, took_ms: u64) {
    let bucket = BUCKETS_MS.partition_point(|bound_ms| *bound_ms < took_ms);
    self.counts.borrow_mut()[bucket] += 1;
    self.sum_ms.set(self.sum_ms.get() + took_ms);
  }

  /// Writes the cumulative buckets, the sum and the count.
  fn write(&self, name: &str, text: &mut String) {
    let counts = self.counts.borrow();
    let mut total = 0;
    for (bound_ms, count) in BUCKETS_MS.iter().zip(counts.iter()) {
      total += count;
      let _ = writeln!(text, "{name}_bucket{{le=\"{bound_ms}\"}} {total}");
    }
    total += counts[BUCKETS_MS.len()];
    let _ = writeln!(text, "{name}_bucket{{le=\"+Inf\"}} {total}");
    let _ = writeln!(text, "{name}_sum {}", self.sum_ms.get());
    let _ = writeln!(text, "{name}_count {total}");
  }
}

/// All counters and histograms of a box.
#[derive(Debug, Default)]
pub(crate) struct Counters {
  pub(crate) requests: Counter,
  pub(crate) answered: Counter,
  pub(crate) endpoint_failures: Counter,
  /// Requests that did not run.
  pub(crate) not_run: Counter,
  /// Requests whose outcome is unknown.
  pub(crate) unknown: Counter,
  pub(crate) timed_out: Counter,
  pub(crate) rejected: Counter,
  /// Requests rejected because their organisation was over its limit.
  pub(crate) over_limit: Counter,
  /// Requests rejected at once, since no slot was expected in their time.
  pub(crate) rejected_at_once: Counter,
  /// Requests rejected while that is useful to their callers, since no slot was likely in the rest of their wait.
  pub(crate) rejected_soon: Counter,
  /// Callers who returned after a rejection.
  pub(crate) returned: Counter,
  /// Return times that were handed out, and those of them at which no room is forecast.
  pub(crate) return_times: Counter,
  pub(crate) latest_return_times: Counter,
  pub(crate) interrupted_streams: Counter,
  /// Requests rejected by quarantine.
  pub(crate) quarantined: Counter,
  /// Stages that were lost because their endpoint terminated.
  pub(crate) lost_with_endpoint: Counter,
  /// Responses that ended with their connection, and whose endpoint still ran after that.
  pub(crate) ends_confirmed: Counter,
  /// Responses that ended with their connection, and whose endpoint had terminated or did not answer.
  pub(crate) ends_unconfirmed: Counter,
  /// Ends that a further run was to check, and those that none checks, by the reason.
  pub(crate) checks: Counter,
  pub(crate) checks_of_all_tokens: Counter,
  pub(crate) checks_of_checks: Counter,
  pub(crate) checks_not_resumable: Counter,
  pub(crate) checks_quarantined: Counter,
  pub(crate) checks_without_attempt: Counter,
  pub(crate) checks_without_order: Counter,
  pub(crate) checks_without_retry: Counter,
  pub(crate) checks_without_slot: Counter,
  pub(crate) checks_without_version: Counter,
  pub(crate) checks_failed: Counter,
  /// Endpoints that signalled in a response that they are leaving.
  pub(crate) leaving_notices: Counter,
  /// Backoffs that endpoints requested in a response.
  pub(crate) pause_notices: Counter,
  /// Endpoints that began to advertise a limit.
  pub(crate) limit_notices: Counter,
  /// Attempts that got no permit for their endpoint.
  pub(crate) without_permit: Counter,
  /// Permits used by this box's requests.
  pub(crate) permits_taken: Counter,
  /// Permits granted to all boxes, as the coordinator.
  pub(crate) permits_granted: Counter,
  /// Requests for permits rejected as the coordinator.
  pub(crate) permits_rejected: Counter,
  /// Stages and calls that were not sent because their endpoint began to leave or back off after it was chosen.
  pub(crate) not_sent: Counter,
  pub(crate) caller_disconnects: Counter,
  pub(crate) retries: Counter,
  pub(crate) retries_denied: Counter,
  /// Retries that other boxes were asked for, and those that they lent and did not lend.
  pub(crate) loans_asked: Counter,
  pub(crate) loans_granted: Counter,
  pub(crate) loans_refused: Counter,
  /// Borrowed retries that were returned, since they were not sent.
  pub(crate) loans_returned: Counter,
  /// Retries that this box lent to others.
  pub(crate) retries_lent: Counter,
  pub(crate) resumed: Counter,
  /// Requests that another box answered, since this one could not reach their endpoints.
  pub(crate) forwarded: Counter,
  /// Requests that no other box accepted.
  pub(crate) not_forwarded: Counter,
  /// Requests of other boxes' callers that were accepted.
  pub(crate) accepted_from_boxes: Counter,
  /// Streams that callers resume, by how their origins are known: recorded here, recorded by another box, the only version, or not.
  pub(crate) origins_own: Counter,
  pub(crate) origins_asked: Counter,
  pub(crate) origins_only: Counter,
  pub(crate) origins_unknown: Counter,
  /// The same, read from the store.
  pub(crate) origins_stored: Counter,
  /// Origins that this box wrote to the store, and those that it dropped unwritten or unsent.
  pub(crate) origins_written: Counter,
  pub(crate) origins_dropped: Counter,
  /// Writes and reads of origins at the store.
  pub(crate) origin_writes: Counter,
  pub(crate) origin_reads: Counter,
  /// Boxes that were asked where streams began.
  pub(crate) origin_lookups: Counter,
  /// Records of streams that were sent to other boxes, messages with them that failed, and streams that the budget left no copy for.
  pub(crate) stream_copies: Counter,
  pub(crate) stream_copies_failed: Counter,
  pub(crate) streams_not_copied: Counter,
  /// Streams at processes of unknown version that another box held before they began, and those that none held in time.
  pub(crate) streams_held: Counter,
  pub(crate) streams_unheld: Counter,
  /// Requests rejected because the box held too many bytes.
  pub(crate) rejected_for_memory: Counter,
  /// Streams that were read while events of theirs waited for the caller.
  pub(crate) streams_read_ahead: Counter,
  /// Responses that their endpoints aborted since this box had left them unread.
  pub(crate) aborted_unread: Counter,
  /// Callers' connections that were closed because they accepted nothing.
  pub(crate) stalled_callers: Counter,
  /// Answers of endpoints to other calls than the one that waited.
  pub(crate) other_answers: Counter,
  /// Calls and requests that another endpoint at the address rejected, or an engine in another role.
  pub(crate) misdirected: Counter,
  /// Connections to endpoints that were closed since bytes came while no call waited.
  pub(crate) stray_answers: Counter,
  pub(crate) connections: Counter,
  pub(crate) store_calls: Counter,
  pub(crate) store_failures: Counter,
  pub(crate) response_head_ms: Histogram,
  pub(crate) first_event_ms: Histogram,
}

impl Counters {
  /// Counts an end that no further run checks.
  pub(crate) fn count_check_denial(&self, denial: CheckDenial) {
    match denial {
      CheckDenial::AllTokens => self.checks_of_all_tokens.inc(),
      CheckDenial::IsCheck => self.checks_of_checks.inc(),
      CheckDenial::NotResumable => self.checks_not_resumable.inc(),
      CheckDenial::Quarantined => self.checks_quarantined.inc(),
      CheckDenial::NoAttempt => self.checks_without_attempt.inc(),
      CheckDenial::NoOrder => self.checks_without_order.inc(),
      CheckDenial::NoRetry => self.checks_without_retry.inc(),
      CheckDenial::NoSlot => self.checks_without_slot.inc(),
      CheckDenial::NoVersion => self.checks_without_version.inc(),
      CheckDenial::Failed => self.checks_failed.inc(),
    }
  }

  /// The metrics as text, one line each.
  pub(crate) fn text(&self) -> String {
    let counters = [
      ("rillford_requests_total", &self.requests),
      ("rillford_answered_total", &self.answered),
      ("rillford_endpoint_failures_total", &self.endpoint_failures),
      ("rillford_not_run_total", &self.not_run),
      ("rillford_unknown_total", &self.unknown),
      ("rillford_timed_out_total", &self.timed_out),
      ("rillford_refused_total", &self.rejected),
      ("rillford_beyond_limit_total", &self.over_limit),
      ("rillford_rejected_at_once_total", &self.rejected_at_once),
      ("rillford_rejected_soon_total", &self.rejected_soon),
      ("rillford_returned_total", &self.returned),
      ("rillford_return_times_total", &self.return_times),
      (
        "rillford_return_times_latest_total",
        &self.latest_return_times,
      ),
      ("rillford_broken_streams_total", &self.interrupted_streams),
      ("rillford_held_total", &self.quarantined),
      (
        "rillford_lost_with_endpoint_total",
        &self.lost_with_endpoint,
      ),
      ("rillford_ends_confirmed_total", &self.ends_confirmed),
      ("rillford_ends_unconfirmed_total", &self.ends_unconfirmed),
      ("rillford_checks_total", &self.checks),
      (
        "rillford_checks_of_all_tokens_total",
        &self.checks_of_all_tokens,
      ),
      ("rillford_checks_of_checks_total", &self.checks_of_checks),
      (
        "rillford_checks_not_resumable_total",
        &self.checks_not_resumable,
      ),
      (
        "rillford_checks_quarantined_total",
        &self.checks_quarantined,
      ),
      (
        "rillford_checks_without_attempt_total",
        &self.checks_without_attempt,
      ),
      (
        "rillford_checks_without_order_total",
        &self.checks_without_order,
      ),
      (
        "rillford_checks_without_retry_total",
        &self.checks_without_retry,
      ),
      (
        "rillford_checks_without_slot_total",
        &self.checks_without_slot,
      ),
      (
        "rillford_checks_without_version_total",
        &self.checks_without_version,
      ),
      ("rillford_checks_failed_total", &self.checks_failed),
      ("rillford_leaving_notices_total", &self.leaving_notices),
      ("rillford_pause_notices_total", &self.pause_notices),
      ("rillford_limit_notices_total", &self.limit_notices),
      ("rillford_without_place_total", &self.without_permit),
      ("rillford_places_taken_total", &self.permits_taken),
      ("rillford_places_granted_total", &self.permits_granted),
      ("rillford_places_refused_total", &self.permits_rejected),
      ("rillford_not_sent_total", &self.not_sent),
      ("rillford_callers_gone_total", &self.caller_disconnects),
      ("rillford_repeats_total", &self.retries),
      ("rillford_repeats_denied_total", &self.retries_denied),
      ("rillford_loans_asked_total", &self.loans_asked),
      ("rillford_loans_granted_total", &self.loans_granted),
      ("rillford_loans_refused_total", &self.loans_refused),
      ("rillford_loans_returned_total", &self.loans_returned),
      ("rillford_retries_lent_total", &self.retries_lent),
      ("rillford_resumed_total", &self.resumed),
      ("rillford_forwarded_total", &self.forwarded),
      ("rillford_not_forwarded_total", &self.not_forwarded),
      (
        "rillford_accepted_from_boxes_total",
        &self.accepted_from_boxes,
      ),
      ("rillford_origins_own_total", &self.origins_own),
      ("rillford_origins_asked_total", &self.origins_asked),
      ("rillford_origins_only_total", &self.origins_only),
      ("rillford_origins_unknown_total", &self.origins_unknown),
      ("rillford_origins_stored_total", &self.origins_stored),
      ("rillford_origins_written_total", &self.origins_written),
      ("rillford_origins_dropped_total", &self.origins_dropped),
      ("rillford_origin_writes_total", &self.origin_writes),
      ("rillford_origin_reads_total", &self.origin_reads),
      ("rillford_origin_lookups_total", &self.origin_lookups),
      ("rillford_stream_copies_total", &self.stream_copies),
      (
        "rillford_stream_copies_failed_total",
        &self.stream_copies_failed,
      ),
      (
        "rillford_streams_not_copied_total",
        &self.streams_not_copied,
      ),
      ("rillford_streams_held_total", &self.streams_held),
      ("rillford_streams_unheld_total", &self.streams_unheld),
      (
        "rillford_rejected_for_memory_total",
        &self.rejected_for_memory,
      ),
      (
        "rillford_streams_read_ahead_total",
        &self.streams_read_ahead,
      ),
      ("rillford_aborted_unread_total", &self.aborted_unread),
      ("rillford_stalled_callers_total", &self.stalled_callers),
      ("rillford_other_answers_total", &self.other_answers),
      ("rillford_misdirected_total", &self.misdirected),
      ("rillford_stray_answers_total", &self.stray_answers),
      ("rillford_connections_total", &self.connections),
      ("rillford_store_calls_total", &self.store_calls),
      ("rillford_store_failures_total", &self.store_failures),
    ];
    let mut text = String::new();
    for (name, counter) in counters {
      let _ = writeln!(text, "{name} {}", counter.0.get());
    }
    self
      .response_head_ms
      .write("rillford_answer_head_ms", &mut text);
    self
      .first_event_ms
      .write("rillford_first_event_ms", &mut text);
    text
  }
}
