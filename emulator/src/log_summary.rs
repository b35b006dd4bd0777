//! Summary of a gateway's log by interval: how many streams started, what they waited for, how many were rejected, and how
//! many broke.

use std::{
  collections::BTreeMap,
  fmt::Write,
  io::{self, BufRead},
};

/// Counters and sums of one interval.
#[derive(Clone, Copy, Debug, Default, Eq, PartialEq)]
struct Interval {
  streaming: u64,
  slot_wait_ms: u64,
  prefill_ms: u64,
  headers_ms: u64,
  slot_timeouts: u64,
  rejected_at_once: u64,
  broken: u64,
  prompt_cached: u64,
}

/// Reads the log of one or more boxes and returns a table in Markdown. Lines may carry a prefix of the log collector; `seconds` is
/// the length of an interval.
///
/// ```
/// use emulator::log_summary::log_summary;
/// let log = "5100 INFO E510 streaming: r1 at e with status 200 OK, prefilled by p: seat 4 ms, prompt 90 ms, head 8 ms, \
///   104 ms after arrival, try 1\n5200 INFO E504 no seat: r2 waited 450 of 450 ms\nno line of a box\n";
/// let table = log_summary(log.as_bytes(), 2).unwrap();
/// assert!(table.ends_with("| 0 | 1 | 4 | 90 | 8 | 1 | 0 | 0 | 0 |\n"), "{table}");
/// ```
pub fn log_summary(log: impl BufRead, seconds: u64) -> io::Result<String> {
  let mut intervals: BTreeMap<u64, Interval> = BTreeMap::new();
  for line in log.lines() {
    let line = line?;
    let Some((time_ms, event, text)) = parse(&line) else {
      continue;
    };
    let length_ms = seconds.max(1) * 1_000;
    let interval = intervals.entry(time_ms / length_ms).or_default();
    interval.record(event, text);
  }
  Ok(markdown_table(&intervals, seconds.max(1)))
}

/// Parses a log line of a box into time, event and text. `None` for other lines.
fn parse(line: &str) -> Option<(u64, &str, &str)> {
  let (before, rest) = line.split_once(" INFO ")?;
  let time_ms = before.rsplit(' ').next()?.parse().ok()?;
  let (event, text) = rest.split_once(' ')?;
  Some((time_ms, event, text))
}

impl Interval {
  fn record(&mut self, event: &str, text: &str) {
    match event {
      "E510" => {
        self.streaming += 1;
        self.slot_wait_ms += number_after(text, "seat ");
        self.prefill_ms += number_after(text, "prompt ");
        self.headers_ms += number_after(text, "head ");
      }
      "E504" => self.slot_timeouts += 1,
      "E506" => self.broken += 1,
      "E521" => self.prompt_cached += 1,
      "E524" => self.rejected_at_once += 1,
      _ => {}
    }
  }

  fn mean(&self, sum_ms: u64) -> u64 {
    sum_ms / self.streaming.max(1)
  }
}

/// The number that follows `word`; 0 if there is none.
fn number_after(text: &str, word: &str) -> u64 {
  let found = text
    .split_once(word)
    .and_then(|(_, rest)| rest.split(' ').next());
  found.and_then(|number| number.parse().ok()).unwrap_or(0)
}

fn markdown_table(intervals: &BTreeMap<u64, Interval>, seconds: u64) -> String {
  let mut text = String::from(
    "| from s | streaming | seat ms | prompt ms | head ms | no seat | refused at once | broke | prompt kept |\n\
     | ---: | ---: | ---: | ---: | ---: | ---: | ---: | ---: | ---: |\n",
  );
  let first = intervals.keys().next().copied().unwrap_or(0);
  for (number, one) in intervals {
    // Writing to a string can't fail.
    let _ = writeln!(
      text,
      "| {} | {} | {} | {} | {} | {} | {} | {} | {} |",
      (number - first) * seconds,
      one.streaming,
      one.mean(one.slot_wait_ms),
      one.mean(one.prefill_ms),
      one.mean(one.headers_ms),
      one.slot_timeouts,
      one.rejected_at_once,
      one.broken,
      one.prompt_cached
    );
  }
  text
}
