//! What the operators' policy program says of a request and of the engines' roles; the routes' own words where
//! there is none.

use {
  crate::{
    Error, Result,
    gateway::edge::{CallerAttributes, Organisation, Route, RouteKind},
    ids::Name,
    observe::unix_ms,
    policy::{Clock, PoolFacts, Program, RequestFacts},
  },
  std::{path::Path, sync::Arc},
};

/// The least urgent priority that engines know.
const LEAST_URGENT: i64 = 9;

/// How a request is treated.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub struct RouteRank {
  /// 0 goes first, among the requests of a box.
  pub priority: u8,
  /// 0 goes first, among the requests of an engine.
  pub engine_priority: u8,
  /// The time within which its answer, or first event, is wanted.
  pub target_ms: u64,
}

/// The policy of a gateway box.
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

  /// The rank of a request: the organisation's priority, else the route's own, unless the program says otherwise.
  pub fn rank(
    &self,
    route: &Route,
    service: &Name,
    facts: &CallerAttributes,
    organisation: Option<&Organisation>,
  ) -> RouteRank {
    let own = RouteRank {
      engine_priority: route.priority,
      priority: organisation
        .and_then(|organisation| organisation.priority)
        .unwrap_or(route.priority),
      target_ms: route.target_ms,
    };
    let Some(program) = &self.program else {
      return own;
    };
    let kind = match route.kind {
      RouteKind::Stream { .. } => "model",
      RouteKind::Retryable | RouteKind::NonRetryable => "service",
    };
    let told = RequestFacts {
      kind: kind.into(),
      max_tokens: facts.answer_tokens,
      organisation: organisation.map_or_else(|| route.host.clone(), |asks| asks.name.clone()),
      prompt_tokens: facts.prompt_tokens,
      subject: service.clone(),
      task: route.name.clone(),
    };
    match program.rank(&told, self.clock()) {
      Ok(rank) => {
        // The program's higher goes first, the engines' lower.
        let priority = (LEAST_URGENT - rank.priority.clamp(0, LEAST_URGENT)) as u8;
        RouteRank {
          engine_priority: priority,
          priority,
          target_ms: rank.first_token_ms.min(route.target_ms),
        }
      }
      Err(error) => {
        log::warn!(
          "E520 policy failed for route {}: {error}: the route's own rank is used",
          route.name
        );
        own
      }
    }
  }

  /// The wanted share of engines that read prompts, if the program says.
  pub fn prefill_share(&self, pool: &PoolFacts) -> Option<f64> {
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
