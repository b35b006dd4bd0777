//! `rillford config`: reads and writes configuration documents through the administration API.

use {
  super::admin_client::{AdminCall, AdminClient, admin_client},
  crate::{ConfigurationBody, Error, HistoryBody, Result},
  bpaf::Bpaf,
  http::Method,
  std::{fs, path::PathBuf},
};

/// Read and write configuration documents
#[derive(Clone, Debug, Bpaf)]
pub(crate) enum Config {
  /// Print a document and its revision
  #[bpaf(command)]
  Get {
    #[bpaf(external)]
    admin_client: AdminClient,
    /// `platform` or `organisations/NAME`
    #[bpaf(positional("DOCUMENT"))]
    document: String,
  },
  /// Write a document if it is still at the given revision
  #[bpaf(command)]
  Put {
    #[bpaf(external)]
    admin_client: AdminClient,
    /// Expected revision; 0 for a new document
    #[bpaf(long("if-match"), argument("REVISION"))]
    if_match: u64,
    /// File with the new text
    #[bpaf(long, argument("FILE"))]
    file: PathBuf,
    /// `platform` or `organisations/NAME`
    #[bpaf(positional("DOCUMENT"))]
    document: String,
  },
  /// Print the revisions of a document
  #[bpaf(command)]
  History {
    #[bpaf(external)]
    admin_client: AdminClient,
    /// `platform` or `organisations/NAME`
    #[bpaf(positional("DOCUMENT"))]
    document: String,
  },
}

impl Config {
  pub(crate) fn run(self) -> Result {
    match self {
      Self::Get {
        admin_client,
        document,
      } => {
        let path = format!("/configuration/{document}");
        let call = AdminCall::get("reading configuration", &path);
        let body = admin_client.call::<ConfigurationBody>(call)?;
        eprintln!("revision {}", body.revision);
        println!("{}", body.text);
      }
      Self::Put {
        admin_client,
        if_match,
        file,
        document,
      } => {
        let body =
          fs::read_to_string(&file).map_err(|source| Error::Read { path: file, source })?;
        let call = AdminCall {
          body,
          if_match: Some(if_match),
          method: Method::PUT,
          operation: "writing configuration",
          path: &format!("/configuration/{document}"),
        };
        let body = admin_client.call::<ConfigurationBody>(call)?;
        println!("{} is at revision {}", body.key, body.revision);
      }
      Self::History {
        admin_client,
        document,
      } => {
        let path = format!("/history/{document}");
        let call = AdminCall::get("reading history", &path);
        let body = admin_client.call::<HistoryBody>(call)?;
        for revision in body.revisions {
          println!("revision {}\n{}\n", revision.revision, revision.text);
        }
      }
    }
    Ok(())
  }
}
