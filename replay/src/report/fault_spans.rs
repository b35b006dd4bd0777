//! When faults were in force, as the timeline tells.

/// A fault, and when it was in force.
#[derive(Clone, Debug, Eq, PartialEq)]
struct FaultSpan {
  number: String,
  description: String,
  begins_ms: u64,
  /// `None` if it did not end.
  ends_ms: Option<u64>,
}

/// The faults of a timeline, from its lines `fault N begins KIND ...` and `fault N ends KIND`.
#[derive(Clone, Debug, Default, Eq, PartialEq)]
pub(super) struct FaultSpans(Vec<FaultSpan>);

impl FaultSpans {
  pub(super) fn of(timeline: &[(u64, String)]) -> Self {
    let mut spans = Self::default();
    for (at_ms, line) in timeline {
      spans.add(*at_ms, line);
    }
    spans
  }

  /// The faults that were in force at some time of a span, described.
  pub(super) fn within(&self, from_ms: u64, to_ms: u64) -> Vec<String> {
    let spans = self.0.iter().filter(|span| {
      span.begins_ms <= to_ms && span.ends_ms.is_none_or(|ends_ms| ends_ms >= from_ms)
    });
    let described = spans.map(|span| {
      let ends = span
        .ends_ms
        .map_or_else(|| "the end".into(), |ends_ms| format!("{ends_ms} ms"));
      format!("{} ({} ms to {ends})", span.description, span.begins_ms)
    });
    described.collect()
  }

  fn add(&mut self, at_ms: u64, line: &str) {
    let Some((number, rest)) = line
      .strip_prefix("fault ")
      .and_then(|rest| rest.split_once(' '))
    else {
      return;
    };
    let (event, kind) = rest.split_once(' ').unwrap_or((rest, ""));
    match event {
      "begins" => self.0.push(FaultSpan {
        begins_ms: at_ms,
        description: format!("fault {number} {kind}"),
        ends_ms: None,
        number: number.into(),
      }),
      "ends" => {
        let mut spans = self.0.iter_mut().rev();
        if let Some(span) = spans.find(|span| span.number == number && span.ends_ms.is_none()) {
          span.ends_ms = Some(at_ms);
        }
      }
      _ => {}
    }
  }
}
