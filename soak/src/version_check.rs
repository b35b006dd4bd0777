//! Checks of streams while engines of two software versions serve.

use {
  super::{
    breach::Breach,
    caller_key::CallerKey,
    content,
    promise::Promise,
    records::{Outcome, Records, RequestRecord},
    request_kind::RequestKind,
  },
  std::collections::{BTreeMap, BTreeSet},
};

/// Resumed streams from which on their share is checked.
const MIN_RESUMED: usize = 12;
/// Other engines of the stream's version that must serve.
const MIN_ENGINES: usize = 2;
/// Least share of resumed streams that go on, of that of new ones that begin.
const MIN_RELATIVE_SHARE: f64 = 0.5;

/// Streams of two versions, and resumed streams that go on far less often than new ones begin.
pub(crate) fn version_breaches(records: &Records) -> Vec<Breach> {
  let mut found = mixed_streams(records);
  found.extend(stopped_streams(records));
  found
}

/// Streams with events of two versions, over all requests of their callers.
fn mixed_streams(records: &Records) -> Vec<Breach> {
  let mut versions: BTreeMap<&str, BTreeSet<&str>> = BTreeMap::new();
  for (id, request) in &records.requests {
    if request.kind.is_stream() {
      let (stream, _) = request.stream(id);
      let of_stream = versions.entry(stream).or_default();
      of_stream.extend(content::versions(request.body()));
    }
  }
  let mixed = versions.iter().filter(|(_, versions)| versions.len() > 1);
  mixed
    .map(|(id, versions)| Breach::new(Promise::OneVersion, format!("{id} has {versions:?}")))
    .collect()
}

fn stopped_streams(records: &Records) -> Option<Breach> {
  let resumable = records.requests.values().filter(|request| {
    let sent_ms = request.sent_ms;
    request.kind == RequestKind::ResumableStream
      && request.key != CallerKey::Hot
      && request.outcome != Some(Outcome::Disconnected)
      && records.is_connected(request.box_index, sent_ms, sent_ms)
      && records.is_box_undisturbed(request.box_index, sent_ms, sent_ms)
  });
  let (mut begun, mut resumed) = (Vec::new(), Vec::new());
  for request in resumable {
    match &request.resumes {
      None => begun.push(request),
      Some(stream) if stream.engines >= MIN_ENGINES => resumed.push(request),
      Some(_) => {}
    }
  }
  let (begin, go_on) = (share_with_events(&begun), share_with_events(&resumed));
  if resumed.len() < MIN_RESUMED || go_on >= MIN_RELATIVE_SHARE * begin {
    return None;
  }
  let observed = format!(
    "{go_on:.2} of {} resumed streams go on, {begin:.2} of {} new ones begin",
    resumed.len(),
    begun.len()
  );
  Some(Breach::new(Promise::ResumedStreamsGoOn, observed))
}

/// The share of requests whose callers received an event.
fn share_with_events(requests: &[&RequestRecord]) -> f64 {
  let with_events = requests
    .iter()
    .filter(|request| !content::versions(request.body()).is_empty());
  with_events.count() as f64 / requests.len().max(1) as f64
}
