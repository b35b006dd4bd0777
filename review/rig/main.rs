//! Plays one case of the review: `review-rig CASE RECORD`. With `TROUBLE=0` the disruption is left out.
//!
//! The cases are `stop`, `versions` and `silence`; `unanswered`, `rolling`, `stale` and `reborn` are further plays, which the
//! report names.
//!
//! Exits with 0 if the rule held, 1 if it was broken, and 2 if the case couldn't run.

mod case_reborn;
mod case_rolling;
mod case_silence;
mod case_stale;
mod case_stop;
mod case_unanswered;
mod case_versions;
mod client;
mod deployment;
mod engine;
mod gateway_box;
mod http;
mod json;
mod outcome;
mod plain_server;
mod record;
mod store;

use {
  outcome::Outcome,
  record::Record,
  std::{
    env, io,
    path::Path,
    process::{self, ExitCode},
    sync::Arc,
    thread::sleep,
    time::Duration,
  },
};

/// A run that takes longer is ended; the boxes end with it.
const RUN_LIMIT: Duration = Duration::from_secs(110);

/// The exit code of a case that couldn't run.
const FAILED: u8 = 2;

fn main() -> ExitCode {
  match play() {
    Ok(outcome) => {
      println!("{outcome:?}");
      ExitCode::from(outcome.code())
    }
    Err(error) => {
      println!("not run: {error}");
      ExitCode::from(FAILED)
    }
  }
}

fn play() -> io::Result<Outcome> {
  let arguments: Vec<String> = env::args().skip(1).collect();
  let [case, path] = arguments.as_slice() else {
    return Err(io::Error::other("usage: review-rig CASE RECORD"));
  };
  let has_trouble = env::var("TROUBLE").as_deref() != Ok("0");
  let record = Arc::new(Record::create(Path::new(path))?);
  record.line(&format!("case {case}, disruption: {has_trouble}"));
  http::spawn(|| {
    sleep(RUN_LIMIT);
    println!("not run: it took too long");
    process::exit(FAILED.into());
  })?;
  let outcome = match case.as_str() {
    "versions" => case_versions::play(&record, has_trouble),
    "reborn" => case_reborn::play(&record, has_trouble),
    "rolling" => case_rolling::play(&record, has_trouble),
    "stop" => case_stop::play(&record, has_trouble),
    "stale" => case_stale::play(&record, has_trouble),
    "silence" => case_silence::play(&record, has_trouble),
    "unanswered" => case_unanswered::play(&record, has_trouble),
    _ => Err(io::Error::other(format!("no case {case}"))),
  };
  record.flush();
  outcome
}
