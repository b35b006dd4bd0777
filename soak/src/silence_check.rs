//! Checks that boxes keep the streams of engines that are sound, even while these are silent.

use super::{
  breach::Breach,
  promise::Promise,
  records::{Outcome, Records, RequestRecord, Run},
  request_kind::RequestKind,
};

/// Shortest deadline of a profile.
const SHORTEST_DEADLINE_MS: u64 = 4_000;

/// Streams that ended before their deadline without their whole response, although an engine that had them was sound.
/// Excludes boxes that were disturbed.
pub(crate) fn silence_breaches(records: &Records) -> Vec<Breach> {
  let streams = records
    .requests
    .iter()
    .filter(|(_, request)| request.kind.is_stream() && request.kind != RequestKind::CrashingStream);
  streams
    .filter_map(|(id, request)| given_up_stream(records, id, request))
    .collect()
}

fn given_up_stream(records: &Records, id: &str, request: &RequestRecord) -> Option<Breach> {
  let ended_ms = request.ended_ms?;
  if !is_given_up(request)
    || ended_ms - request.sent_ms >= SHORTEST_DEADLINE_MS
    || !are_boxes_undisturbed(records, request, ended_ms)
  {
    return None;
  }
  let mut runs = request.runs.iter();
  let run = runs.find(|run| is_dropped(records, request, run, ended_ms))?;
  let observed = format!(
    "{id} sent at {} ms, given up at {ended_ms} ms, while {} was sound: {:?}{}",
    request.sent_ms,
    run.incarnation,
    request.runs,
    records.garbled_note(id)
  );
  Some(Breach::new(Promise::SilentEngineKeepsItsStreams, observed))
}

/// Whether the caller's box, and those that it forwarded the request to, were undisturbed.
fn are_boxes_undisturbed(records: &Records, request: &RequestRecord, ended_ms: u64) -> bool {
  let senders = request.runs.iter().map(|run| run.box_index);
  let mut boxes = senders.chain([request.box_index]);
  boxes.all(|index| {
    records.is_box_undisturbed(index, request.sent_ms, ended_ms)
      && (!request.is_forwarded() || records.is_in_touch(index, request.sent_ms, ended_ms))
  })
}

/// Whether the caller received a cut response or an error.
fn is_given_up(request: &RequestRecord) -> bool {
  match request.outcome {
    Some(Outcome::ConnectionLost { .. }) => true,
    Some(Outcome::Complete { status, .. }) => !(200..300).contains(&status),
    Some(Outcome::Unanswered | Outcome::Disconnected | Outcome::Moved { .. }) | None => false,
  }
}

/// Whether an engine was sound for as long as it had the stream, and no other one had continued the stream before it lost it.
fn is_dropped(records: &Records, request: &RequestRecord, run: &Run, ended_ms: u64) -> bool {
  let lost_ms = run.ended_ms.unwrap_or(ended_ms);
  let is_sound = records.is_run_undisturbed(run, run.began_ms, lost_ms);
  let mut others = request.runs.iter().filter(|other| *other != run);
  let is_continued = others.any(|other| {
    other.began_ms > run.began_ms
      && other
        .first_event_ms
        .is_some_and(|event_ms| event_ms <= lost_ms)
  });
  is_sound && !is_continued
}
