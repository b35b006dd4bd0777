//! A finding with its circumstances.

use {
  super::fault_spans::FaultSpans,
  crate::recorder::RequestNote,
  judge::{Finding, RawRecords, RawRequest, RawRun},
  std::{
    collections::{BTreeMap, BTreeSet},
    fmt,
    sync::Arc,
  },
};

/// A finding with its circumstances.
#[derive(Clone, Debug)]
pub(super) struct FindingDetails {
  pub(super) finding: Finding,
  /// Kind of the request, if it is known.
  pub(super) class: Option<Arc<str>>,
  /// Ids of the tries.
  pub(super) tries: BTreeSet<String>,
  lines: Vec<String>,
  faults: Vec<String>,
  ended_ms: u64,
}

impl FindingDetails {
  pub(super) fn new(
    finding: Finding,
    records: &RawRecords,
    notes: &BTreeMap<String, RequestNote>,
    faults: &FaultSpans,
  ) -> Self {
    let tries = tries(&finding.stream, records);
    let ids: BTreeSet<String> = tries.iter().map(|request| request.id.clone()).collect();
    let known: Vec<&RequestNote> = tries.iter().filter_map(|of| notes.get(&of.id)).collect();
    let sent_ms = known.iter().map(|note| note.sent_ms).min();
    let ended_ms = known.iter().map(|note| ended_ms(note)).max();
    let mut lines = Vec::new();
    for request in &tries {
      lines.push(try_line(request, notes.get(&request.id)));
      let runs = records.runs.iter();
      let runs = runs.filter(|run| run.request == request.id);
      lines.extend(runs.map(run_line));
    }
    Self {
      class: known.first().map(|note| note.class.clone()),
      ended_ms: ended_ms.unwrap_or_default(),
      faults: faults.within(sent_ms.unwrap_or_default(), ended_ms.unwrap_or(u64::MAX)),
      finding,
      lines,
      tries: ids,
    }
  }
}

impl fmt::Display for FindingDetails {
  fn fmt(&self, formatter: &mut fmt::Formatter) -> fmt::Result {
    let Finding {
      clause,
      observed,
      stream,
    } = &self.finding;
    let class = self.class.as_deref().unwrap_or("unknown");
    let ended_ms = self.ended_ms;
    writeln!(
      formatter,
      "{clause:?}: {class} {stream}, ended at {ended_ms} ms"
    )?;
    writeln!(formatter, "  {observed}")?;
    for line in &self.lines {
      writeln!(formatter, "  {line}")?;
    }
    if self.faults.is_empty() {
      writeln!(formatter, "  no fault in force")?;
    }
    for fault in &self.faults {
      writeln!(formatter, "  in force: {fault}")?;
    }
    Ok(())
  }
}

/// The tries of the stream that a finding names by the id of any of them.
fn tries<'a>(id: &str, records: &'a RawRecords) -> Vec<&'a RawRequest> {
  let named = records.requests.iter().find(|request| request.id == id);
  let stream = named.and_then(|request| request.stream.as_deref());
  let stream = stream.unwrap_or(id);
  let requests = records.requests.iter();
  requests
    .filter(|request| request.id == id || request.stream.as_deref() == Some(stream))
    .collect()
}

fn ended_ms(note: &RequestNote) -> u64 {
  note
    .ended
    .as_ref()
    .map_or(note.sent_ms, |(ended_ms, _)| *ended_ms)
}

fn try_line(request: &RawRequest, note: Option<&RequestNote>) -> String {
  let RawRequest {
    id, last_event_id, ..
  } = request;
  let Some(note) = note else {
    return format!("try {id} after {last_event_id:?}");
  };
  let how = note.ended.as_ref().map_or_else(
    || "not ended".into(),
    |(at_ms, how)| format!("{how} at {at_ms} ms"),
  );
  let RequestNote {
    box_index, sent_ms, ..
  } = note;
  format!("try {id} after {last_event_id:?} at box {box_index}, sent at {sent_ms} ms: {how}")
}

fn run_line(run: &RawRun) -> String {
  let RawRun {
    incarnation,
    last_event_id,
    last_piece,
    pieces,
    version,
    ..
  } = run;
  let made = pieces.len();
  format!(
    "  run at {incarnation} version {version} after {last_event_id:?}: {made} pieces made, the last is {last_piece}"
  )
}
