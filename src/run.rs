//! From the command line to the subcommand, and from its result to the exit code.

use {crate::subcommand::Subcommand, std::process::ExitCode};

/// Runs the program. A user's mistake ends with a message and a code, never with a stack trace.
pub fn run() -> ExitCode {
  match Subcommand::parse().run() {
    Ok(()) => ExitCode::SUCCESS,
    Err(error) => {
      eprintln!("error: {error}");
      ExitCode::from(error.exit_code())
    }
  }
}
