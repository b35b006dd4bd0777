//! From the command line to the subcommand, and from its result to the exit code.

use {
  crate::{Result, gateway::GatewaySettings, subcommand::Subcommand},
  std::process::ExitCode,
};

/// Runs a gateway box behind one platform's names and formats.
pub type RunGateway = fn(GatewaySettings) -> Result;

/// Runs the program. A user's mistake ends with a message and a code, never with a stack trace.
pub fn run(run_gateway: RunGateway) -> ExitCode {
  match Subcommand::parse().run(run_gateway) {
    Ok(()) => ExitCode::SUCCESS,
    Err(error) => {
      eprintln!("error: {error}");
      ExitCode::from(error.exit_code())
    }
  }
}
