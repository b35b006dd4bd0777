//! Timestamps events at their source; a separate thread logs and counts them and adds them to the timeline.

use {
  super::{HybridClock, MetricSink, StampedEvent, Timeline},
  crate::{
    decide::{EventKind, Status, TimelineEvent},
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

const IDLE_POLL_PERIOD: Duration = Duration::from_millis(50);

/// An input to the observe thread.
#[derive(Clone, Debug)]
pub(crate) enum Observation {
  /// An event.
  Event(StampedEvent),
  /// The latencies of a complete response, and whether they meet the targets.
  Completed {
    first_token: Duration,
    between_tokens: Duration,
    good: bool,
  },
  /// A call to the platform's key-value service.
  PlatformCall,
  /// The current status of the box.
  Status(Arc<Status>),
}

/// A handle for sending observations to the observe thread.
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

  /// Timestamps an event and sends it.
  pub(crate) fn record(&self, note: TimelineEvent) {
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

  /// Sends an observation without blocking. If the ring is full, it is dropped and counted.
  pub(crate) fn send(&self, observation: Observation) {
    if self.sender.push(observation).is_err() {
      self.dropped.fetch_add(1, Ordering::Relaxed);
    }
  }

  pub(crate) fn record_event(&self, kind: EventKind, subject: &str, detail: &str) {
    self.record(TimelineEvent::new(kind, subject, detail));
  }
}

/// Runs the observe thread until the process exits.
pub(crate) fn observe(
  mut receiver: Receiver<Observation>,
  timeline: &Timeline,
  metrics: &MetricSink,
) {
  loop {
    let Some(observation) = receiver.pop() else {
      thread::park_timeout(IDLE_POLL_PERIOD);
      continue;
    };
    match observation {
      Observation::Event(event) => {
        write_log(&event);
        metrics.record_event(event.kind, &event.detail);
        timeline.push(event);
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

fn write_log(event: &StampedEvent) {
  let text = event.kind.text();
  let line = format!(
    "E{} {text}: {} {}",
    event.number, event.subject, event.detail
  );
  let line = line.trim_end();
  match event.number {
    200..400 => log::debug!("{line}"),
    _ => log::info!("{line}"),
  }
}
