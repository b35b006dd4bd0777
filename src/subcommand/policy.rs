//! `rillford policy try`: evaluates a policy for a request at a given hour.

use {
  crate::{
    Error, Result,
    policy::{Clock, Program, RequestAttributes},
  },
  bpaf::Bpaf,
  std::{fs, path::PathBuf},
};

const MINUTES_PER_HOUR: u64 = 60;
const HOURS_PER_DAY: u64 = 24;

/// Work on policy programs
#[derive(Clone, Debug, Bpaf)]
pub(crate) enum Policy {
  /// Evaluate a policy for a request
  #[bpaf(command)]
  Try {
    /// The policy program
    #[bpaf(long, argument("FILE"))]
    policy: PathBuf,
    /// Local hour, 0 to 23
    #[bpaf(long, argument("HOUR"), fallback(12))]
    hour: u64,
    /// Organisation of the caller
    #[bpaf(long, argument("NAME"), fallback("example".into()))]
    organisation: String,
    /// `model` or `service`
    #[bpaf(long, argument("KIND"), fallback("model".into()))]
    kind: String,
    /// Requested model or plain service
    #[bpaf(long, argument("NAME"), fallback("example".into()))]
    subject: String,
    /// Prompt tokens
    #[bpaf(long("prompt-tokens"), argument("N"), fallback(1000))]
    prompt_tokens: u64,
    /// Maximum tokens of the response
    #[bpaf(long("max-tokens"), argument("N"), fallback(200))]
    max_tokens: u64,
    /// Tasks to evaluate
    #[bpaf(positional("TASK"))]
    tasks: Vec<String>,
  },
}

impl Policy {
  pub(crate) fn run(self) -> Result {
    let Self::Try {
      policy,
      hour,
      organisation,
      kind,
      subject,
      prompt_tokens,
      max_tokens,
      tasks,
    } = self;
    if hour >= HOURS_PER_DAY {
      return Err(Error::Usage(format!(
        "--hour {hour}: must lie between 0 and 23"
      )));
    }
    let text = fs::read_to_string(&policy).map_err(|source| Error::Read {
      path: policy.clone(),
      source,
    })?;
    let invalid = |error| Error::Usage(format!("{}: {error}", policy.display()));
    let program = Program::compile(&text).map_err(invalid)?;
    let clock = Clock {
      day: 0,
      minute_of_day: hour * MINUTES_PER_HOUR,
    };
    for task in tasks {
      let facts = RequestAttributes {
        kind: kind.as_str().into(),
        max_tokens,
        organisation: organisation.as_str().into(),
        prompt_tokens,
        subject: subject.as_str().into(),
        task: task.as_str().into(),
      };
      let rank = program.rank(&facts, clock).map_err(invalid)?;
      println!(
        "{task}: class {}, priority {}, may wait {}, weight {}, first token within {} ms",
        rank.class, rank.priority, rank.may_wait, rank.weight, rank.first_token_ms
      );
    }
    Ok(())
  }
}
