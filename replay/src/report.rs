//! The report of a replay: what the judge found, with its circumstances.

mod fault_spans;
mod finding_details;

use {
  self::{fault_spans::FaultSpans, finding_details::FindingDetails},
  super::{
    caller::{ClassOutcome, Outcome},
    error::{Error, Result},
    recorder::{Recorder, RequestNote},
  },
  judge::{Clause, Finding, RawRecords},
  std::{
    collections::{BTreeMap, BTreeSet},
    fmt,
    fmt::Write,
    path::Path,
  },
};

/// Streams to which rates of findings refer.
const RATE_STREAMS: f64 = 10_000.0;

/// What was replayed.
#[derive(Clone, Debug)]
pub struct ReportTitle {
  /// Name of the site.
  pub site: String,
  /// Name of the day.
  pub day: String,
  /// The seed.
  pub seed: u64,
  /// Label of the program's build.
  pub build: String,
}

/// The report of a replay.
#[derive(Clone, Debug)]
pub struct Report {
  title: ReportTitle,
  outcome: Outcome,
  findings: Vec<FindingDetails>,
  requests: BTreeMap<String, RequestNote>,
  timeline: Vec<(u64, String)>,
  /// Those of streams with findings.
  raw: RawRecords,
}

impl Report {
  /// Reports on findings of the judge, and what else happened.
  pub fn new(
    title: ReportTitle,
    findings: Vec<Finding>,
    outcome: Outcome,
    recorder: &Recorder,
  ) -> Self {
    let requests = recorder.requests();
    let timeline = recorder.timeline();
    let faults = FaultSpans::of(&timeline);
    let records = recorder.raw.records();
    let findings = findings.into_iter();
    let findings: Vec<FindingDetails> = findings
      .map(|finding| FindingDetails::new(finding, &records, &requests, &faults))
      .collect();
    Self {
      raw: raw_of(&findings, &records),
      findings,
      outcome,
      requests,
      timeline,
      title,
    }
  }

  /// Whether the judge found nothing.
  pub fn is_clean(&self) -> bool {
    self.findings.is_empty()
  }

  /// Writes `findings.txt`, `raw.txt` (bytes of streams with findings), `timeline.txt` and `requests.csv` to a directory, which is
  /// created if need be. Fails if one can't be written.
  pub fn write(&self, directory: &Path) -> Result {
    let files = [
      ("findings.txt", self.findings_text()),
      ("raw.txt", self.raw.to_string()),
      ("timeline.txt", self.timeline_text()),
      ("requests.csv", self.requests_text()),
    ];
    let at = |path: &Path, source| Error::File {
      path: path.into(),
      source,
    };
    std::fs::create_dir_all(directory).map_err(|source| at(directory, source))?;
    for (name, text) in files {
      let path = directory.join(name);
      std::fs::write(&path, text).map_err(|source| at(&path, source))?;
    }
    Ok(())
  }

  /// The findings with their circumstances.
  pub fn findings_text(&self) -> String {
    let findings = self.findings.iter();
    findings.map(|finding| format!("{finding}\n")).collect()
  }

  fn timeline_text(&self) -> String {
    let lines = self.timeline.iter();
    lines
      .map(|(at_ms, line)| format!("{at_ms:>8} {line}\n"))
      .collect()
  }

  fn requests_text(&self) -> String {
    let mut text =
      String::from("id,class,box,resumes,sent_ms,first_event_ms,ended_ms,is_served,end\n");
    for (id, note) in &self.requests {
      text += &request_line(id, note);
    }
    text
  }

  fn clauses(&self) -> String {
    let mut counts: BTreeMap<Clause, usize> = BTreeMap::new();
    for details in &self.findings {
      *counts.entry(details.finding.clause).or_default() += 1;
    }
    let counts = counts.iter();
    let counts: Vec<String> = counts
      .map(|(clause, count)| format!("{clause:?} {count}"))
      .collect();
    if counts.is_empty() {
      return "none".into();
    }
    counts.join(", ")
  }

  /// Streams with findings for each 10,000 of a kind.
  fn rates(&self) -> String {
    let mut text = String::new();
    for class in &self.outcome.stream_classes {
      let sent = self.outcome.classes.get(class).map_or(0, |of| of.requests);
      let findings = self.findings.iter();
      let streams: BTreeSet<&BTreeSet<String>> = findings
        .filter(|details| details.class.as_ref() == Some(class))
        .map(|details| &details.tries)
        .collect();
      let rate = match sent {
        0 => 0.0,
        sent => RATE_STREAMS * as_f64(streams.len()) / as_f64(sent),
      };
      // Writing to a string does not fail.
      let _ = write!(text, " {class} {rate:.1}");
    }
    text
  }
}

/// The summary, on one line.
impl fmt::Display for Report {
  fn fmt(&self, formatter: &mut fmt::Formatter) -> fmt::Result {
    let ReportTitle {
      site,
      day,
      seed,
      build,
    } = &self.title;
    let ClassOutcome {
      requests,
      begun,
      served,
      resumed,
      gone_on,
      ..
    } = self.outcome.streams();
    let (clauses, rates) = (self.clauses(), self.rates());
    write!(
      formatter,
      "{site} {day} seed {seed} build {build}: {requests} streams sent, {begun} begun, {served} complete, {resumed} resumed, {gone_on} gone on; findings: {clauses}; streams with findings per 10,000:{rates}"
    )
  }
}

/// Records of the streams with findings.
fn raw_of(findings: &[FindingDetails], records: &RawRecords) -> RawRecords {
  let tries = findings.iter().flat_map(|details| &details.tries);
  let ids: BTreeSet<&String> = tries.collect();
  let is_of = |request: &usize| ids.contains(&records.requests[*request].id);
  let connections = records.connections.iter();
  let connections = connections.filter(|connection| connection.requests.iter().any(is_of));
  let runs = records.runs.iter();
  let runs = runs.filter(|run| ids.contains(&run.request));
  RawRecords {
    connections: connections.cloned().collect(),
    // All of them, since connections refer to them by index.
    requests: records.requests.clone(),
    runs: runs.cloned().collect(),
  }
}

fn request_line(id: &str, note: &RequestNote) -> String {
  let RequestNote {
    class,
    box_index,
    resumes,
    sent_ms,
    ended,
    is_served,
    first_event_ms,
  } = note;
  let resumes = resumes.as_deref().unwrap_or_default();
  let first_event_ms = first_event_ms.map_or_else(String::new, |at_ms| at_ms.to_string());
  let (ended_ms, end) = match ended {
    Some((ended_ms, end)) => (ended_ms.to_string(), end.replace(',', ";")),
    None => (String::new(), String::new()),
  };
  format!(
    "{id},{class},{box_index},{resumes},{sent_ms},{first_event_ms},{ended_ms},{is_served},{end}\n"
  )
}

fn as_f64(count: impl TryInto<u32>) -> f64 {
  count.try_into().map_or(f64::MAX, f64::from)
}
