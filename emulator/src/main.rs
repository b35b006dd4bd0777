//! The `emulator` program.

use std::process::ExitCode;

fn main() -> ExitCode {
  emulator::run()
}
