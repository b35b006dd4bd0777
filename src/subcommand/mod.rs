//! The command line and its subcommands.

mod admin_client;
mod check;
mod config;
mod drain;
mod limits;
mod policy;
mod status;
mod timeline;

use {
  self::{
    check::Check, config::Config, drain::Drain, limits::ShowLimits, policy::Policy,
    status::ShowStatus, timeline::ShowTimeline,
  },
  crate::{Result, gateway::GatewaySettings, run::RunGateway, serve::serve, settings::Settings},
  bpaf::Bpaf,
  std::path::PathBuf,
};

/// A router for separate prefill and decode pools
#[derive(Clone, Debug, Bpaf)]
#[bpaf(options, version, generate(options))]
pub(crate) enum Subcommand {
  /// Run a box
  #[bpaf(command)]
  Serve {
    /// The settings file
    #[bpaf(long, argument("FILE"))]
    settings: PathBuf,
  },
  /// Run a box that routes by host and path to the platform's endpoints
  #[bpaf(command)]
  Gateway {
    /// The settings file
    #[bpaf(long, argument("FILE"))]
    settings: PathBuf,
  },
  /// Check settings, policies and configuration documents without running anything
  #[bpaf(command)]
  Check(#[bpaf(external(check::check))] Check),
  /// Work on policy programs
  #[bpaf(command)]
  Policy(#[bpaf(external(policy::policy))] Policy),
  /// Read and write configuration documents
  #[bpaf(command)]
  Config(#[bpaf(external(config::config))] Config),
  /// Show a box, its endpoints and its peers
  #[bpaf(command)]
  Status(#[bpaf(external(status::show_status))] ShowStatus),
  /// Stop sending new work to an endpoint, or resume it
  #[bpaf(command)]
  Drain(#[bpaf(external(drain::drain))] Drain),
  /// Show the remaining limits of organisations, as a gateway box accounts them
  #[bpaf(command)]
  Limits(#[bpaf(external(limits::show_limits))] ShowLimits),
  /// Merge the events of boxes into one timeline
  #[bpaf(command)]
  Timeline(#[bpaf(external(timeline::show_timeline))] ShowTimeline),
}

impl Subcommand {
  /// Parses the command line. Exits the process after printing help or a usage error.
  pub(crate) fn parse() -> Self {
    options().run()
  }

  pub(crate) fn run(self, run_gateway: RunGateway) -> Result {
    match self {
      Self::Serve { settings } => serve(Settings::load(&settings)?),
      Self::Gateway { settings } => run_gateway(GatewaySettings::load(&settings)?),
      Self::Check(check) => check.run(),
      Self::Policy(policy) => policy.run(),
      Self::Config(config) => config.run(),
      Self::Status(status) => status.run(),
      Self::Drain(drain) => drain.run(),
      Self::Limits(limits) => limits.run(),
      Self::Timeline(timeline) => timeline.run(),
    }
  }
}
