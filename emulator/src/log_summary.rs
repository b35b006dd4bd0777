//! Where the streams of a gateway's log lose their time: for each stretch of seconds, how many began, what they waited
//! for, how many were refused, and how many broke.

use std::{
  collections::BTreeMap,
  fmt::Write,
  io::{self, BufRead},
};

/// Sums of one stretch of time.
#[derive(Clone, Copy, Debug, Default, Eq, PartialEq)]
struct Stretch {
  streaming: u64,
  seat_ms: u64,
  prompt_ms: u64,
  head_ms: u64,
  no_seat: u64,
  refused_at_once: u64,
  broke: u64,
  kept: u64,
}

/// Reads a log of one or more boxes and answers with a table in Markdown. A line may begin with words of whoever
/// collected it; `seconds` is the length of a stretch.
///
/// ```
/// use emulator::log_summary::log_summary;
/// let log = "5100 INFO E510 streaming: r1 at e with status 200 OK, prefilled by p: seat 4 ms, prompt 90 ms, head 8 ms, \
///   104 ms after arrival, try 1\n5200 INFO E504 no seat: r2 waited 450 of 450 ms\nno line of a box\n";
/// let table = log_summary(log.as_bytes(), 2).unwrap();
/// assert!(table.ends_with("| 0 | 1 | 4 | 90 | 8 | 1 | 0 | 0 | 0 |\n"), "{table}");
/// ```
pub fn log_summary(log: impl BufRead, seconds: u64) -> io::Result<String> {
  let mut stretches: BTreeMap<u64, Stretch> = BTreeMap::new();
  for line in log.lines() {
    let line = line?;
    let Some((time_ms, event, text)) = parse(&line) else {
      continue;
    };
    let length_ms = seconds.max(1) * 1_000;
    let stretch = stretches.entry(time_ms / length_ms).or_default();
    stretch.note(event, text);
  }
  Ok(table(&stretches, seconds.max(1)))
}

/// The time, the event's name and its text, if a line is one of a box.
fn parse(line: &str) -> Option<(u64, &str, &str)> {
  let (before, rest) = line.split_once(" INFO ")?;
  let time_ms = before.rsplit(' ').next()?.parse().ok()?;
  let (event, text) = rest.split_once(' ')?;
  Some((time_ms, event, text))
}

impl Stretch {
  fn note(&mut self, event: &str, text: &str) {
    match event {
      "E510" => {
        self.streaming += 1;
        self.seat_ms += number_after(text, "seat ");
        self.prompt_ms += number_after(text, "prompt ");
        self.head_ms += number_after(text, "head ");
      }
      "E504" => self.no_seat += 1,
      "E506" => self.broke += 1,
      "E521" => self.kept += 1,
      "E524" => self.refused_at_once += 1,
      _ => {}
    }
  }

  fn mean(&self, sum_ms: u64) -> u64 {
    sum_ms / self.streaming.max(1)
  }
}

/// The number that stands behind a word; 0 when there is none.
fn number_after(text: &str, word: &str) -> u64 {
  let found = text
    .split_once(word)
    .and_then(|(_, rest)| rest.split(' ').next());
  found.and_then(|number| number.parse().ok()).unwrap_or(0)
}

fn table(stretches: &BTreeMap<u64, Stretch>, seconds: u64) -> String {
  let mut text = String::from(
    "| from s | streaming | seat ms | prompt ms | head ms | no seat | refused at once | broke | prompt kept |\n\
     | ---: | ---: | ---: | ---: | ---: | ---: | ---: | ---: | ---: |\n",
  );
  let first = stretches.keys().next().copied().unwrap_or(0);
  for (number, one) in stretches {
    // Writing to a string does not fail.
    let _ = writeln!(
      text,
      "| {} | {} | {} | {} | {} | {} | {} | {} | {} |",
      (number - first) * seconds,
      one.streaming,
      one.mean(one.seat_ms),
      one.mean(one.prompt_ms),
      one.mean(one.head_ms),
      one.no_seat,
      one.refused_at_once,
      one.broke,
      one.kept
    );
  }
  text
}
