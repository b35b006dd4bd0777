//! The `rillford` program.

use std::process::ExitCode;

fn main() -> ExitCode {
  rillford::run()
}
