//! `rillford timeline`: merges the events of several boxes in causal order.

use {
  super::admin_client::{AdminCall, AdminClient},
  crate::{
    Error, Result,
    observe::{EventPage, chrome_trace, merge},
  },
  bpaf::Bpaf,
  std::{fs, path::PathBuf},
};

/// Merge the events of boxes into one timeline
#[derive(Clone, Debug, Bpaf)]
pub(crate) struct ShowTimeline {
  /// Base URL of a box's administration API; give one for each box
  #[bpaf(long, argument("URL"), some("give --server for each box"))]
  server: Vec<String>,
  /// Administration key
  #[bpaf(long, env("RILLFORD_KEY"), argument("KEY"))]
  key: String,
  /// Write a Chrome trace to this file instead of printing text
  #[bpaf(long, argument("FILE"))]
  trace: Option<PathBuf>,
}

impl ShowTimeline {
  pub(crate) fn run(self) -> Result {
    let mut pages = Vec::new();
    for server in &self.server {
      let client = AdminClient {
        key: self.key.clone(),
        server: server.clone(),
      };
      match fetch_events(&client) {
        Ok(fetched) => pages.extend(fetched),
        // An unreachable box must not hide the events of the others.
        Err(error) => eprintln!("warning: {error}"),
      }
    }
    if pages.is_empty() {
      return Err(Error::Usage("no box responded".into()));
    }
    let events = merge(pages);
    let Some(path) = self.trace else {
      for event in events {
        println!("{}", event.line());
      }
      return Ok(());
    };
    let trace = chrome_trace(&events).to_string();
    fs::write(&path, trace).map_err(|source| Error::Read { path, source })
  }
}

fn fetch_events(client: &AdminClient) -> Result<Vec<EventPage>> {
  let mut pages = Vec::new();
  let mut cursor = 0;
  loop {
    let path = format!("/events?since={cursor}");
    let page = client.call::<EventPage>(AdminCall::get("reading events", &path))?;
    if page.lost > 0 {
      eprintln!(
        "warning: {} events of {} were dropped",
        page.lost, client.server
      );
    }
    if page.events.is_empty() {
      return Ok(pages);
    }
    cursor = page.next;
    pages.push(page);
  }
}
