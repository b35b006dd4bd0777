//! Ranks requests and divides engines by the operators' policy program, or by the configuration if there is none.

use {
  crate::{
    Error, Result,
    gateway::edge::{CallerAttributes, Organisation, Route, RouteKind},
    ids::Name,
    observe::unix_ms,
    policy::{Clock, PoolStats, Program, RequestAttributes},
  },
  std::{path::Path, sync::Arc},
};

/// The least urgent priority of engines.
const LOWEST_PRIORITY: i64 = 9;

/// A request's priorities and latency target.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub struct RouteRank {
  /// Priority in a box's queue; 0 is the most urgent.
  pub priority: u8,
  /// Priority that is sent to engines; 0 is the most urgent.
  pub engine_priority: u8,
  /// Latency target of the response, or of a stream's first event.
  pub target_ms: u64,
}

/// A gateway box's policy.
#[derive(Clone, Debug, Default)]
pub struct RoutePolicy {
  program: Option<Arc<Program>>,
  utc_offset_minutes: i64,
}

impl RoutePolicy {
  /// Reads a policy program. Fails when the file can't be read or the program does not compile.
  pub fn load(path: &Path, utc_offset_minutes: i64) -> Result<Self> {
    let text = std::fs::read_to_string(path).map_err(|source| Error::Read {
      path: path.into(),
      source,
    })?;
    let program = Program::compile(&text)
      .map_err(|error| Error::Usage(format!("{}: {error}", path.display())))?;
    Ok(Self {
      program: Some(program),
      utc_offset_minutes,
    })
  }

  /// The rank of a request, by the program if there is one, otherwise by the organisation's or the route's priority.
  pub fn rank(
    &self,
    route: &Route,
    service: &Name,
    attributes: &CallerAttributes,
    organisation: Option<&Organisation>,
  ) -> RouteRank {
    let default = RouteRank {
      engine_priority: route.priority,
      priority: organisation
        .and_then(|organisation| organisation.priority)
        .unwrap_or(route.priority),
      target_ms: route.target_ms,
    };
    let Some(program) = &self.program else {
      return default;
    };
    let kind = match route.kind {
      RouteKind::Stream { .. } => "model",
      RouteKind::Retryable | RouteKind::NonRetryable => "service",
    };
    let request = RequestAttributes {
      kind: kind.into(),
      max_tokens: attributes.answer_tokens,
      organisation: organisation.map_or_else(
        || route.host.clone(),
        |organisation| organisation.name.clone(),
      ),
      prompt_tokens: attributes.prompt_tokens,
      subject: service.clone(),
      task: route.name.clone(),
    };
    match program.rank(&request, self.clock()) {
      Ok(rank) => {
        // In the program the highest number is the most urgent, at engines the lowest.
        let priority = (LOWEST_PRIORITY - rank.priority.clamp(0, LOWEST_PRIORITY)) as u8;
        RouteRank {
          engine_priority: priority,
          priority,
          target_ms: rank.first_token_ms.min(route.target_ms),
        }
      }
      Err(error) => {
        log::warn!(
          "E520 policy failed for route {}: {error}: the route's rank is used",
          route.name
        );
        default
      }
    }
  }

  /// The program's target fraction of prefill engines, if it sets one.
  pub fn prefill_share(&self, pool: &PoolStats) -> Option<f64> {
    let program = self.program.as_ref()?;
    match program.shift(self.clock(), std::slice::from_ref(pool)) {
      Ok(splits) => splits
        .into_iter()
        .find(|split| split.model == pool.model)
        .map(|split| split.prefill_share),
      Err(error) => {
        log::warn!(
          "E520 policy failed for the engines of {}: {error}: the settings' share is used",
          pool.model
        );
        None
      }
    }
  }

  fn clock(&self) -> Clock {
    Clock::at(unix_ms(), self.utc_offset_minutes)
  }
}
