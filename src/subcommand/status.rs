//! `rillford status`: shows a box, its endpoints and its peers.

use {
  super::admin_client::{AdminCall, AdminClient, admin_client},
  crate::{Result, decide::Status},
  bpaf::Bpaf,
};

/// Show a box, its endpoints and its peers
#[derive(Clone, Debug, Bpaf)]
pub(crate) struct ShowStatus {
  #[bpaf(external)]
  admin_client: AdminClient,
  /// Print JSON
  #[bpaf(long)]
  json: bool,
}

impl ShowStatus {
  pub(crate) fn run(self) -> Result {
    let call = AdminCall::get("reading status", "/status");
    let status = self.admin_client.call::<Status>(call)?;
    if self.json {
      let text = serde_json::to_string_pretty(&status).unwrap_or_default();
      println!("{text}");
      return Ok(());
    }
    println!(
      "ready {}, stopping {}, steward {}, {} in progress, {} waiting, {} orders open, configuration {:016x}",
      status.ready,
      status.stopping,
      status.steward,
      status.in_progress,
      status.waiting,
      status.open_orders,
      status.configuration_digest
    );
    for endpoint in status.endpoints {
      println!(
        "endpoint {:<16} hall {:<10} {:<8} role {:<8} seats {}/{} home {}",
        endpoint.name,
        endpoint.hall,
        format!("{:?}", endpoint.state),
        endpoint.role.map_or("-".into(), |role| format!("{role:?}")),
        endpoint.used_seats,
        endpoint.seats,
        endpoint.home.as_deref().unwrap_or("-")
      );
    }
    for peer in status.peers {
      println!(
        "peer     {:<16} hall {:<10} live {} leaving {}",
        peer.name, peer.hall, peer.live, peer.leaving
      );
    }
    Ok(())
  }
}
