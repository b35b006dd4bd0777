//! The `rillford` program.

use std::process::ExitCode;

#[path = "../platform/mod.rs"]
mod platform;

fn main() -> ExitCode {
  rillford::run(platform::run_gateway)
}
