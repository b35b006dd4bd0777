//! Runs the subcommand on the command line and maps its result to an exit code.

use {
  crate::{Result, gateway::GatewaySettings, subcommand::Subcommand},
  std::process::ExitCode,
};

/// Runs a gateway box with one platform's names and formats.
pub type RunGateway = fn(GatewaySettings) -> Result;

/// Runs the program. An error is printed to standard error and sets the exit code.
pub fn run(run_gateway: RunGateway) -> ExitCode {
  match Subcommand::parse().run(run_gateway) {
    Ok(()) => ExitCode::SUCCESS,
    Err(error) => {
      eprintln!("error: {error}");
      ExitCode::from(error.exit_code())
    }
  }
}
