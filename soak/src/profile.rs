//! The shape of a deployment: its halls, boxes, endpoints, callers and streams.

use {
  super::{
    endpoint_kind::EndpointKind, hall::Hall, request_kind::RequestKind, starts::Starts,
    trouble::Trouble,
  },
  std::str::FromStr,
};

/// Boxes and endpoints of a hall, and what callers ask for.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub struct Profile {
  /// Boxes in each hall.
  pub(crate) boxes: [usize; Hall::COUNT],
  /// Halls among which endpoints alternate.
  pub(crate) halls: usize,
  pub(crate) plain_services: usize,
  pub(crate) prefill_engines: usize,
  pub(crate) decode_engines: usize,
  /// Batch slots of an engine.
  pub(crate) slots: usize,
  pub(crate) callers: u64,
  /// Interval between the requests of a caller, at the least and at the most.
  pub(crate) think_time_ms: (u64, u64),
  /// Relative frequency of each kind of request: retryable, not retryable, streams, resumable streams.
  pub(crate) kinds: [u32; 4],
  /// Deadline of a request.
  pub(crate) deadline_ms: u64,
  /// Endpoints that the route of resumable streams allows one request to be sent to.
  pub(crate) stream_attempts: usize,
  /// Interval between the events of a stream.
  pub(crate) event_interval_ms: u64,
  /// Events of a stream, at the least and at the most; `None` if they follow from the request's id.
  pub(crate) events: Option<(u64, u64)>,
  /// The kinds of trouble that the deployment reports besides the common ones.
  pub(crate) more_troubles: &'static [Trouble],
  /// Whether endpoints are cold after their starts.
  pub(crate) has_cold_starts: bool,
  /// Where endpoints name their starts.
  pub(crate) starts: Starts,
}

impl FromStr for Profile {
  type Err = String;

  fn from_str(name: &str) -> Result<Self, String> {
    match name {
      "wide" => Ok(Self::WIDE),
      "deep" => Ok(Self::DEEP),
      "narrow" => Ok(Self::NARROW),
      _ => Err(format!("no profile is named {name}")),
    }
  }
}

impl Profile {
  /// A deployment of a size: endpoints in two halls, and all boxes in the first. A quarter of the endpoints, at least two,
  /// are plain services; of the others a quarter are prefill engines.
  pub fn of_size(boxes: usize, endpoints: usize, callers: u64) -> Self {
    let plain_services = (endpoints / 4).max(2);
    let prefill_engines = ((endpoints - plain_services) / 4).max(1);
    Self {
      boxes: [boxes, 0, 0],
      callers,
      deadline_ms: 4_000,
      decode_engines: endpoints - plain_services - prefill_engines,
      event_interval_ms: 25,
      events: None,
      halls: Hall::USUAL_COUNT,
      has_cold_starts: true,
      kinds: [1; 4],
      plain_services,
      prefill_engines,
      slots: 8,
      starts: Starts::Everywhere,
      stream_attempts: RequestKind::ResumableStream.max_attempts(),
      think_time_ms: (5, 60),
      more_troubles: &[],
    }
  }

  /// Many boxes, and few engines with large batches.
  pub const WIDE: Self = Self {
    boxes: [3, 3, 2],
    callers: 48,
    decode_engines: 6,
    prefill_engines: 3,
    kinds: [80, 146, 28, 76],
    more_troubles: &[Trouble::AllBoxesKilled, Trouble::ConfigurationStorm],
    slots: 128,
    think_time_ms: (20, 720),
    ..Self::LARGE
  };

  /// Few boxes, and many engines with large batches.
  pub const DEEP: Self = Self {
    boxes: [2, 3, 1],
    callers: 84,
    decode_engines: 12,
    prefill_engines: 6,
    kinds: [117, 292, 50, 133],
    more_troubles: &[
      Trouble::BoxesHerded,
      Trouble::BoxesReloaded,
      Trouble::BoxesSlow,
    ],
    slots: 128,
    think_time_ms: (20, 620),
    ..Self::LARGE
  };

  /// Few engines with small batches, and hardly a stream that may not be resumed.
  pub const NARROW: Self = Self {
    boxes: [3, 2, 2],
    callers: 60,
    decode_engines: 6,
    prefill_engines: 3,
    kinds: [121, 302, 12, 92],
    more_troubles: &[
      Trouble::BoxesFrozen,
      Trouble::BoxesHerded,
      Trouble::BoxesReloaded,
      Trouble::BoxesSlow,
      Trouble::ConfigurationStorm,
    ],
    slots: 64,
    think_time_ms: (20, 880),
    ..Self::LARGE
  };

  /// What the deployments of three halls have in common.
  const LARGE: Self = Self {
    boxes: [0; Hall::COUNT],
    callers: 0,
    deadline_ms: 14_000,
    decode_engines: 0,
    event_interval_ms: 45,
    events: Some((10, 132)),
    halls: 3,
    has_cold_starts: false,
    kinds: [0; 4],
    plain_services: 3,
    prefill_engines: 0,
    slots: 0,
    starts: Starts::NewIds,
    stream_attempts: 2,
    think_time_ms: (0, 0),
    more_troubles: &[],
  };

  /// The same deployment, with other numbers of boxes in the halls.
  pub fn with_boxes(self, boxes: [usize; Hall::COUNT]) -> Self {
    Self { boxes, ..self }
  }

  /// The same deployment, whose endpoints are not cold after their starts.
  pub fn with_warm_starts(self) -> Self {
    Self {
      has_cold_starts: false,
      ..self
    }
  }

  /// The same deployment, with starts named elsewhere.
  pub fn with_starts(self, starts: Starts) -> Self {
    Self { starts, ..self }
  }

  /// Number of boxes.
  pub(crate) fn box_count(&self) -> usize {
    self.boxes.iter().sum()
  }

  /// Number of endpoints.
  pub(crate) fn place_count(&self) -> usize {
    self.plain_services + self.prefill_engines + self.decode_engines
  }

  /// Most endpoints that the route of a kind of request allows one request to be sent to.
  pub(crate) fn max_attempts(&self, kind: RequestKind) -> usize {
    match kind {
      RequestKind::ResumableStream | RequestKind::CrashingStream => self.stream_attempts,
      RequestKind::Retryable | RequestKind::NonRetryable | RequestKind::Stream => {
        kind.max_attempts()
      }
    }
  }

  /// The hall of a place.
  pub(crate) fn hall_of_place(&self, place: usize) -> Hall {
    Hall::of_place(place, self.halls)
  }

  /// The kind of endpoint at a place at the start.
  pub(crate) fn kind_of_place(&self, place: usize) -> EndpointKind {
    let engines = self.plain_services + self.prefill_engines;
    if place < self.plain_services {
      EndpointKind::Plain
    } else if place < engines {
      EndpointKind::Prefill
    } else {
      EndpointKind::Decode
    }
  }

  /// The hall of a box.
  pub(crate) fn hall_of_box(&self, index: usize) -> Hall {
    let mut last = 0;
    let halls = Hall::ALL.into_iter().zip(self.boxes);
    let mut halls = halls.skip_while(|(_, count)| {
      last += count;
      last <= index
    });
    halls.next().map_or(Hall::North, |(hall, _)| hall)
  }
}
