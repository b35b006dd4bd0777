//! Checks the order of streams: each event once, in order, of the right runs, up to an end that is complete.

use {
  super::{
    breach::Breach,
    content::{self, ReceivedEvent},
    promise::Promise,
    records::{Outcome, Records, RequestRecord},
  },
  std::collections::{BTreeMap, BTreeSet},
};

/// The breaches of each clause of the order, in single responses and over all requests of a caller for one stream.
pub(crate) fn order_breaches(records: &Records) -> Vec<Breach> {
  let mut tries: BTreeMap<&str, Vec<Try>> = BTreeMap::new();
  for (id, request) in &records.requests {
    if request.kind.is_stream() {
      let (stream, _) = request.stream(id);
      let of_stream = tries.entry(stream).or_default();
      of_stream.push(Try {
        id,
        request,
        note: records.garbled_note(id),
      });
    }
  }
  let mut found = Vec::new();
  for (stream, mut tries) in tries {
    tries.sort_by_key(Try::sequence);
    found.extend(tries.iter().filter_map(Try::foreign_runs));
    found.extend(tries.iter().filter_map(Try::early_end));
    let events = tries.iter().flat_map(Try::events);
    let ids = events.map(|event| event.id).collect();
    let note = tries.iter().map(|of_try| of_try.note.as_str()).collect();
    found.extend(Sequence { stream, ids, note }.breaches());
  }
  found
}

/// A request for a stream.
struct Try<'a> {
  id: &'a str,
  request: &'a RequestRecord,
  /// What endpoints did to its answers.
  note: String,
}

impl<'a> Try<'a> {
  /// Sorts the requests of a caller by time. Those of one millisecond have ids with ascending numbers.
  fn sequence(&self) -> (u64, usize, &'a str) {
    (self.request.sent_ms, self.id.len(), self.id)
  }

  fn events(&self) -> Vec<ReceivedEvent<'a>> {
    content::events(self.request.body())
  }

  /// Events of another request's run, or of two runs although the stream may not be resumed.
  fn foreign_runs(&self) -> Option<Breach> {
    let events = self.events();
    let mut writers = events.iter().filter_map(|event| event.writer);
    let runs: BTreeSet<String> = writers.clone().map(|writer| writer.to_string()).collect();
    let is_foreign = writers.any(|writer| writer.request_id != self.id);
    let is_joined = runs.len() > 1 && !self.request.kind.may_resume();
    if !is_foreign && !is_joined {
      return None;
    }
    let observed = format!("{} has events of {runs:?}{}", self.id, self.note);
    Some(Breach::new(Promise::OneRun, observed))
  }

  /// A successful end before the stream's last event.
  fn early_end(&self) -> Option<Breach> {
    let Some(Outcome::Complete {
      status: 200..300, ..
    }) = self.request.outcome
    else {
      return None;
    };
    let (stream, before) = self.request.stream(self.id);
    let last = content::last_event(self.request.body()).unwrap_or(before);
    let count = content::event_count(stream);
    if last >= count {
      return None;
    }
    let observed = format!(
      "{} complete after event {last} of {count}{}",
      self.id, self.note
    );
    Some(Breach::new(Promise::EndIsComplete, observed))
  }
}

/// The events of a stream over all requests of its caller, in the order of receipt.
struct Sequence<'a> {
  stream: &'a str,
  ids: Vec<u64>,
  /// What endpoints did to its answers.
  note: String,
}

impl Sequence<'_> {
  fn breaches(&self) -> Vec<Breach> {
    let clauses = [
      (Promise::NoEventMissing, self.missing()),
      (Promise::EachEventOnce, self.doubled()),
      (Promise::EventsInOrder, self.turned_back()),
    ];
    let broken = clauses.into_iter().filter(|(_, ids)| !ids.is_empty());
    broken
      .map(|(promise, ids)| {
        let observed = format!("{} at {ids:?} of {:?}{}", self.stream, self.ids, self.note);
        Breach::new(promise, observed)
      })
      .collect()
  }

  /// Ids of the stream before the highest one that never arrived.
  fn missing(&self) -> Vec<u64> {
    let received: BTreeSet<u64> = self.ids.iter().copied().collect();
    let last = received.last().copied().unwrap_or_default();
    let ids = 1..last.min(content::event_count(self.stream) + 1);
    ids.filter(|id| !received.contains(id)).collect()
  }

  /// Ids that arrived before.
  fn doubled(&self) -> Vec<u64> {
    let mut received = BTreeSet::new();
    let ids = self.ids.iter().copied();
    ids.filter(|id| !received.insert(*id)).collect()
  }

  /// Ids that are lower than the one before them.
  fn turned_back(&self) -> Vec<u64> {
    let pairs = self.ids.windows(2);
    let pairs = pairs.filter(|pair| pair[1] < pair[0]);
    pairs.map(|pair| pair[1]).collect()
  }
}
