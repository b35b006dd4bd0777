//! Plays one case of the second review: boxes as processes, with a store, servers and clients as threads of this process.
//!
//! Exits with 1 if the rule was broken, 0 if it held, and 2 if the case could not run.

mod deadly;
mod endless;
mod fleet;
mod http;
mod json;
mod limit;
mod server;
mod stop;
mod store;
mod world;

use std::{env, process::exit, sync::Arc, thread, time::Duration};

/// What a case found.
pub enum Outcome {
  Held,
  Broken,
}

pub struct Options {
  pub trouble: bool,
  pub program: String,
}

/// No case may take longer.
const MAX_S: u64 = 115;

fn main() {
  let arguments: Vec<String> = env::args().skip(1).collect();
  let [case, record] = arguments.as_slice() else {
    eprintln!("usage: rig CASE RECORD");
    exit(2);
  };
  let program = env::var("RILLFORD").unwrap_or_else(|_| "target/release/rillford".into());
  let options = Options {
    trouble: env::var("TROUBLE").map_or(true, |trouble| trouble != "0"),
    program,
  };
  let world = Arc::new(world::World::new());
  let result = {
    let (case, world) = (case.clone(), world.clone());
    let played = thread::spawn(move || match case.as_str() {
      "limit" => limit::play(&options, &world),
      "endless" => endless::play(&options, &world),
      "stop" => stop::play(&options, &world),
      "many-parts" => deadly::many_parts(&options, &world),
      "few-parts" => deadly::few_parts(&options, &world),
      "tenants" => deadly::tenants(&options, &world),
      "one-tenant" => deadly::one_tenant(&options, &world),
      other => Err(format!("no case {other}")),
    });
    let mut waited_s = 0;
    while !played.is_finished() && waited_s < MAX_S * 10 {
      thread::sleep(Duration::from_millis(100));
      waited_s += 1;
    }
    match played.is_finished() {
      true => played.join().unwrap_or(Err("the case panicked".into())),
      false => Err("the case takes too long".into()),
    }
  };
  let code = match result {
    Ok(Outcome::Held) => {
      world.say("the rule held");
      0
    }
    Ok(Outcome::Broken) => {
      world.say("the rule is broken");
      1
    }
    Err(error) => {
      world.say(format!("not played: {error}"));
      2
    }
  };
  fleet::end_all();
  world.write(record);
  exit(code);
}
