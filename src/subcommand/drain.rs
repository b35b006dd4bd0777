//! `rillford drain`: an endpoint gets no new work.

use {
  super::admin_client::{AdminCall, AdminClient, admin_client},
  crate::Result,
  bpaf::Bpaf,
  http::Method,
};

/// Stop new work to an endpoint, or take it back
#[derive(Clone, Debug, Bpaf)]
pub(crate) struct Drain {
  #[bpaf(external)]
  admin_client: AdminClient,
  /// Take the endpoint back instead
  #[bpaf(long)]
  undo: bool,
  /// The endpoint
  #[bpaf(positional("ENDPOINT"))]
  endpoint: String,
}

impl Drain {
  pub(crate) fn run(self) -> Result {
    let word = if self.undo { "undrain" } else { "drain" };
    let call = AdminCall {
      body: String::new(),
      if_match: None,
      method: Method::POST,
      operation: "draining",
      path: &format!("/endpoints/{}/{word}", self.endpoint),
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
