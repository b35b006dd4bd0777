//! The observe duty: stamps events at their source, then logs, counts and keeps them on its own thread.

use {
  super::{HybridClock, MetricSink, StampedEvent, Timeline},
  crate::{
    decide::{Note, NoteKind, Status},
    ids::Name,
    ring::{Receiver, Sender},
  },
  std::{
    sync::{
      Arc,
      atomic::{AtomicU64, Ordering},
    },
    thread,
    time::Duration,
  },
};

const IDLE: Duration = Duration::from_millis(50);

/// What is told to the observe duty.
#[derive(Clone, Debug)]
pub(crate) enum Observation {
  /// An event.
  Event(StampedEvent),
  /// A whole answer's latencies.
  Completed {
    first_token: Duration,
    between_tokens: Duration,
    good: bool,
  },
  /// A call to the platform's service.
  PlatformCall,
  /// The box's own state.
  Status(Arc<Status>),
}

/// A handle by which any duty reports what it does.
#[derive(Clone)]
pub(crate) struct Observer {
  box_name: Name,
  clock: Arc<HybridClock>,
  sender: Sender<Observation>,
  dropped: Arc<AtomicU64>,
}

impl Observer {
  pub(crate) fn new(box_name: Name, clock: Arc<HybridClock>, sender: Sender<Observation>) -> Self {
    Self {
      box_name,
      clock,
      dropped: Arc::default(),
      sender,
    }
  }

  pub(crate) fn clock(&self) -> &HybridClock {
    &self.clock
  }

  pub(crate) fn record(&self, note: Note) {
    let stamped = StampedEvent {
      box_name: self.box_name.clone(),
      detail: note.detail,
      kind: note.kind,
      number: note.kind.number(),
      stamp: self.clock.tick(),
      subject: note.subject,
    };
    self.send(Observation::Event(stamped));
  }

  /// Observations never hold up the work: a full ring drops them, and the drops are counted.
  pub(crate) fn send(&self, observation: Observation) {
    if self.sender.push(observation).is_err() {
      self.dropped.fetch_add(1, Ordering::Relaxed);
    }
  }

  pub(crate) fn record_event(&self, kind: NoteKind, subject: &str, detail: &str) {
    self.record(Note::new(kind, subject, detail));
  }
}

/// Runs the observe duty until the process ends.
pub(crate) fn observe(
  mut receiver: Receiver<Observation>,
  timeline: &Timeline,
  metrics: &MetricSink,
) {
  loop {
    let Some(observation) = receiver.pop() else {
      thread::park_timeout(IDLE);
      continue;
    };
    match observation {
      Observation::Event(note) => {
        write_log(&note);
        metrics.note(note.kind, &note.detail);
        timeline.push(note);
      }
      Observation::Completed {
        first_token,
        between_tokens,
        good,
      } => metrics.completed(first_token, between_tokens, good),
      Observation::PlatformCall => metrics.platform_call(),
      Observation::Status(status) => metrics.status(&status),
    }
  }
}

fn write_log(note: &StampedEvent) {
  let text = note.kind.text();
  let line = format!("E{} {text}: {} {}", note.number, note.subject, note.detail);
  let line = line.trim_end();
  match note.number {
    200..400 => log::debug!("{line}"),
    _ => log::info!("{line}"),
  }
}
