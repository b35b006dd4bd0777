//! `rillford drain`: stops sending new work to an endpoint, or resumes it.

use {
  super::admin_client::{AdminCall, AdminClient, admin_client},
  crate::Result,
  bpaf::Bpaf,
  http::Method,
};

/// Stop sending new work to an endpoint, or resume it
#[derive(Clone, Debug, Bpaf)]
pub(crate) struct Drain {
  #[bpaf(external)]
  admin_client: AdminClient,
  /// Resume sending work to the endpoint instead
  #[bpaf(long)]
  undo: bool,
  /// The endpoint
  #[bpaf(positional("ENDPOINT"))]
  endpoint: String,
}

impl Drain {
  pub(crate) fn run(self) -> Result {
    let action = if self.undo { "undrain" } else { "drain" };
    let call = AdminCall {
      body: String::new(),
      if_match: None,
      method: Method::POST,
      operation: "draining",
      path: &format!("/endpoints/{}/{action}", self.endpoint),
    };
    self.admin_client.call::<serde_json::Value>(call)?;
    if self.undo {
      println!("{} gets new work again once it reports", self.endpoint);
    } else {
      println!("{} gets no new work", self.endpoint);
    }
    Ok(())
  }
}
