//! What a server is.

use {
  super::super::site::Service,
  std::{net::SocketAddr, sync::Arc},
};

/// The part that an engine plays.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub enum Stage {
  /// Reads prompts.
  Prefill,
  /// Makes tokens.
  Decode,
}

impl Stage {
  /// Its name in calls, reports and entries.
  pub fn name(self) -> &'static str {
    match self {
      Self::Prefill => "prefill",
      Self::Decode => "decode",
    }
  }

  /// The stage of a name.
  pub fn parse(name: &str) -> Option<Self> {
    match name {
      "prefill" => Some(Self::Prefill),
      "decode" => Some(Self::Decode),
      _ => None,
    }
  }
}

/// Where a server names the moment of its start.
#[derive(Clone, Copy, Debug, Default, Eq, PartialEq)]
pub enum StartNaming {
  /// Nowhere: each start has an id of its own.
  #[default]
  Nowhere,
  /// In its entry and its reports: a start may have the id of an earlier one.
  Everywhere,
}

/// What a server is.
#[derive(Clone, Debug)]
pub struct ServerSpec {
  /// Its id.
  pub id: Arc<str>,
  /// Its service.
  pub service: Arc<Service>,
  /// Its zone.
  pub zone: Arc<str>,
  /// Version of its software.
  pub version: Arc<str>,
  /// Its stage; `None` for a plain service.
  pub stage: Option<Stage>,
  /// Its address, as in its entry.
  pub address: SocketAddr,
  /// How many times as fast as its service's figures it works.
  pub speed: f64,
  /// Seed of its draws.
  pub seed: u64,
  /// Where it names the moment of its start.
  pub starts: StartNaming,
  /// The moment of its start, in milliseconds since the Unix epoch.
  pub born_ms: u64,
  /// Whether its answers say that it leaves, once it does.
  pub says_leaving: bool,
}
