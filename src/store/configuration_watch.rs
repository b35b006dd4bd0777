//! Watches the configuration documents. Two boxes of each hall watch the store; their peers relay changes to the rest.

use {
  super::key_value_client::{KeyValueClient, StoredValue, Watch},
  crate::{decide::Document, ids::Name},
  std::time::Duration,
  tokio::time::{Instant, timeout_at},
};

/// A watch is reopened after this time, because a lost connection may go unnoticed.
const WATCH_LIFETIME: Duration = Duration::from_secs(30);

const CONFIGURATION_PREFIX: &str = "rillford/configuration/";

/// The store key of a document.
pub(crate) fn stored_key(key: &str) -> String {
  format!("{CONFIGURATION_PREFIX}{key}")
}

fn document(stored: StoredValue) -> Option<Document> {
  let key = stored.key.strip_prefix(CONFIGURATION_PREFIX)?;
  Some(Document {
    key: key.into(),
    revision: stored.revision,
    text: stored.value.into(),
  })
}

fn documents(stored: Vec<StoredValue>) -> Vec<Document> {
  stored.into_iter().filter_map(document).collect()
}

/// Reads all documents; also returns the revision from which to watch.
pub(super) async fn read_all(client: &KeyValueClient) -> Option<(Vec<Document>, u64)> {
  match client.list(CONFIGURATION_PREFIX).await {
    Ok((stored, revision)) => Some((documents(stored), revision + 1)),
    Err(error) => {
      log::info!("configuration not read: {error}");
      None
    }
  }
}

/// An open watch on all documents.
pub(super) struct ConfigurationWatch {
  watch: Watch,
  reopen_at: Instant,
}

impl ConfigurationWatch {
  /// Reads all documents and opens a watch for later changes.
  pub(super) async fn open(client: &KeyValueClient) -> Option<(Vec<Document>, Self)> {
    let (all, from) = read_all(client).await?;
    let watch = client.watch(CONFIGURATION_PREFIX, from).await.ok()?;
    let reopen_at = Instant::now() + WATCH_LIFETIME;
    Some((all, Self { reopen_at, watch }))
  }

  /// The next changed documents; `None` when the watch must be reopened.
  pub(super) async fn next(&mut self) -> Option<Vec<Document>> {
    let changes = timeout_at(self.reopen_at, self.watch.next()).await.ok()??;
    // A deletion has an empty text. Operators close documents instead of deleting them, so it is ignored.
    let changes = documents(changes)
      .into_iter()
      .filter(|document| !document.text.is_empty());
    Some(changes.collect())
  }
}

/// Whether a box is one of the watchers of its hall, by rendezvous hashing over the hall's live boxes.
pub(super) fn is_watcher(own: &Name, hall_boxes: &[Name]) -> bool {
  const WATCHERS: usize = 2;
  crate::decide::rendezvous_order(&"configuration".into(), hall_boxes)
    .iter()
    .take(WATCHERS)
    .any(|name| name == own)
}
