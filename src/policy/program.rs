//! Compilation and execution of policy programs.

use {
  super::{Clock, PolicyError, PoolStats, RequestAttributes, RoleSplit},
  crate::{decide::Rank, ids::Name},
  rhai::{AST, Array, Dynamic, Engine, EvalAltResult, ImmutableString, Map, Position, Scope},
  std::sync::Arc,
};

const MAX_ARRAY_ITEMS: usize = 1_024;
const MAX_CALL_LEVELS: usize = 16;
const MAX_EXPRESSION_DEPTH: usize = 32;
const MAX_FIRST_TOKEN_MS: i64 = 600_000;
const MAX_MAP_ITEMS: usize = 256;
const MAX_OPERATIONS: u64 = 20_000;
const MAX_PRIORITY: i64 = 1_000;
const MAX_STRING_BYTES: usize = 4_096;
const MAX_VARIABLES: usize = 64;

const RANK: &str = "rank";
const SHIFT: &str = "shift";

/// A compiled policy program. It has no access beyond its arguments, and its work is limited.
///
/// ```
/// use rillford::policy::{Clock, Program, RequestAttributes};
/// let program = Program::compile(r#"
///   fn rank(request, now) {
///     #{ class: request.task, priority: if now.hour < 8 { 1 } else { 5 } }
///   }
/// "#).unwrap();
/// let attributes = RequestAttributes {
///   organisation: "oslo".into(), subject: "summary-model".into(), kind: "model".into(),
///   task: "summary".into(), prompt_tokens: 900, max_tokens: 100,
/// };
/// let rank = program.rank(&attributes, Clock { minute_of_day: 600, day: 0 }).unwrap();
/// assert_eq!(rank.priority, 5);
/// ```
pub struct Program {
  engine: Engine,
  ast: AST,
  has_shift: bool,
}

impl std::fmt::Debug for Program {
  fn fmt(&self, f: &mut std::fmt::Formatter) -> std::fmt::Result {
    f.debug_struct("Program").finish_non_exhaustive()
  }
}

impl Program {
  /// Compiles a program; `rank` is required, `shift` is optional.
  pub fn compile(text: &str) -> Result<Arc<Self>, PolicyError> {
    let engine = limited_engine();
    let ast = engine.compile(text).map_err(|error| PolicyError::Parse {
      column: error.1.position().unwrap_or(1),
      line: error.1.line().unwrap_or(1),
      message: error.0.to_string(),
    })?;
    let has_function = |name: &str, parameters: usize| {
      ast
        .iter_functions()
        .any(|function| function.name == name && function.params.len() == parameters)
    };
    if !has_function(RANK, 2) {
      return Err(PolicyError::Missing("rank(request, now)"));
    }
    let has_shift = has_function(SHIFT, 2);
    Ok(Arc::new(Self {
      ast,
      engine,
      has_shift,
    }))
  }

  /// Ranks a request.
  pub fn rank(&self, attributes: &RequestAttributes, clock: Clock) -> Result<Rank, PolicyError> {
    let mut request = Map::new();
    request.insert("organisation".into(), text(&attributes.organisation));
    request.insert("subject".into(), text(&attributes.subject));
    request.insert("kind".into(), text(&attributes.kind));
    request.insert("task".into(), text(&attributes.task));
    request.insert("prompt_tokens".into(), number(attributes.prompt_tokens));
    request.insert("max_tokens".into(), number(attributes.max_tokens));
    let result = self.call(RANK, request.into(), clock_map(clock).into())?;
    parse_rank(result)
  }

  /// The wanted splits of roles; none if the program has no `shift`.
  pub fn shift(&self, clock: Clock, pools: &[PoolStats]) -> Result<Vec<RoleSplit>, PolicyError> {
    if !self.has_shift {
      return Ok(Vec::new());
    }
    let pools = pools
      .iter()
      .map(pool_map)
      .map(Dynamic::from)
      .collect::<Array>();
    let result = self.call(SHIFT, clock_map(clock).into(), pools.into())?;
    parse_splits(result)
  }

  fn call(
    &self,
    function: &'static str,
    first: Dynamic,
    second: Dynamic,
  ) -> Result<Dynamic, PolicyError> {
    self
      .engine
      .call_fn::<Dynamic>(&mut Scope::new(), &self.ast, function, (first, second))
      .map_err(|error| runtime_error(function, &error))
  }
}

fn limited_engine() -> Engine {
  let mut engine = Engine::new();
  engine.set_max_operations(MAX_OPERATIONS);
  engine.set_max_call_levels(MAX_CALL_LEVELS);
  engine.set_max_expr_depths(MAX_EXPRESSION_DEPTH, MAX_EXPRESSION_DEPTH);
  engine.set_max_string_size(MAX_STRING_BYTES);
  engine.set_max_array_size(MAX_ARRAY_ITEMS);
  engine.set_max_map_size(MAX_MAP_ITEMS);
  engine.set_max_variables(MAX_VARIABLES);
  engine.disable_symbol("eval");
  engine.on_print(|_| {});
  engine.on_debug(|_, _, _| {});
  engine
}

fn runtime_error(function: &'static str, error: &EvalAltResult) -> PolicyError {
  let position = innermost_position(error);
  PolicyError::Run {
    column: position.position().unwrap_or(0),
    function,
    line: position.line().unwrap_or(0),
    message: error.to_string(),
  }
}

fn innermost_position(error: &EvalAltResult) -> Position {
  match error {
    EvalAltResult::ErrorInFunctionCall(_, _, inner, _) => innermost_position(inner),
    other => other.position(),
  }
}

fn text(name: &Name) -> Dynamic {
  ImmutableString::from(name.as_ref()).into()
}

fn number(value: u64) -> Dynamic {
  i64::try_from(value).unwrap_or(i64::MAX).into()
}

fn clock_map(clock: Clock) -> Map {
  let mut map = Map::new();
  map.insert("hour".into(), number(clock.minute_of_day / 60));
  map.insert("minute_of_day".into(), number(clock.minute_of_day));
  map.insert("weekday".into(), number(clock.weekday()));
  map
}

fn pool_map(pool: &PoolStats) -> Map {
  let mut map = Map::new();
  map.insert("model".into(), text(&pool.model));
  map.insert("prefill_engines".into(), number(pool.prefill_engines));
  map.insert("decode_engines".into(), number(pool.decode_engines));
  map.insert("queue_tokens".into(), number(pool.queue_tokens));
  map.insert("seats_used".into(), pool.slots_used.into());
  map
}

fn parse_rank(result: Dynamic) -> Result<Rank, PolicyError> {
  let invalid = |expected| PolicyError::ReturnValue {
    function: RANK,
    expected,
  };
  let map = result
    .try_cast::<Map>()
    .ok_or_else(|| invalid("a map such as #{ class: \"draft\", priority: 1 }"))?;
  for key in map.keys() {
    if !["class", "first_token_ms", "may_wait", "priority", "weight"].contains(&key.as_str()) {
      return Err(invalid(
        "only class, priority, may_wait, weight and first_token_ms",
      ));
    }
  }
  let mut rank = Rank::without_policy();
  if let Some(class) = map.get("class") {
    let class = class.clone().into_string();
    rank.class = class.map_err(|_| invalid("a string as class"))?.into();
  }
  if let Some(priority) = map.get("priority") {
    let priority = priority
      .as_int()
      .map_err(|_| invalid("a whole number as priority"))?;
    rank.priority = priority.clamp(-MAX_PRIORITY, MAX_PRIORITY);
  }
  if let Some(may_wait) = map.get("may_wait") {
    rank.may_wait = may_wait
      .as_bool()
      .map_err(|_| invalid("true or false as may_wait"))?;
  }
  if let Some(weight) = map.get("weight") {
    let weight = weight
      .as_float()
      .or_else(|_| weight.as_int().map(|whole| whole as f64));
    rank.weight = weight
      .ok()
      .filter(|weight| weight.is_finite())
      .ok_or_else(|| invalid("a number as weight"))?;
  }
  if let Some(first_token_ms) = map.get("first_token_ms") {
    let first_token_ms = first_token_ms
      .as_int()
      .map_err(|_| invalid("a whole number as first_token_ms"))?;
    rank.first_token_ms = first_token_ms.clamp(1, MAX_FIRST_TOKEN_MS).unsigned_abs();
  }
  Ok(rank)
}

fn parse_splits(result: Dynamic) -> Result<Vec<RoleSplit>, PolicyError> {
  let invalid = || PolicyError::ReturnValue {
    function: SHIFT,
    expected: "a map from model to a prefill share between 0 and 1",
  };
  let map = result.try_cast::<Map>().ok_or_else(invalid)?;
  map
    .into_iter()
    .map(|(model, share)| {
      let prefill_share = share
        .as_float()
        .or_else(|_| share.as_int().map(|whole| whole as f64))
        .ok()
        .filter(|share| (0.0..=1.0).contains(share))
        .ok_or_else(invalid)?;
      Ok(RoleSplit {
        model: model.as_str().into(),
        prefill_share,
      })
    })
    .collect()
}
