//! Following the configuration: two boxes of a hall watch, the rest hear it from their peers.

use {
  super::key_value::{KeyValue, Stored, Watch},
  crate::{decide::Document, ids::Name},
  std::time::Duration,
  tokio::time::{Instant, timeout_at},
};

/// A watch is made anew after this time: a cut may have silenced it without ending it.
const WATCH_RENEWAL: Duration = Duration::from_secs(30);

/// Where configuration lives in the key-value service.
const CONFIGURATION_PREFIX: &str = "rillford/configuration/";

/// The key in the service of a document.
pub(crate) fn stored_key(key: &str) -> String {
  format!("{CONFIGURATION_PREFIX}{key}")
}

fn document(stored: Stored) -> Option<Document> {
  let key = stored.key.strip_prefix(CONFIGURATION_PREFIX)?;
  Some(Document {
    key: key.into(),
    revision: stored.revision,
    text: stored.value.into(),
  })
}

fn documents(stored: Vec<Stored>) -> Vec<Document> {
  stored.into_iter().filter_map(document).collect()
}

/// Reads all documents, and the revision to watch from.
pub(super) async fn read_all(service: &KeyValue) -> Option<(Vec<Document>, u64)> {
  match service.list(CONFIGURATION_PREFIX).await {
    Ok((stored, revision)) => Some((documents(stored), revision + 1)),
    Err(error) => {
      log::info!("configuration: {error}");
      None
    }
  }
}

/// A running watch on all documents.
pub(super) struct Follower {
  watch: Watch,
  until: Instant,
}

impl Follower {
  /// Reads all documents and watches for changes after that.
  pub(super) async fn open(service: &KeyValue) -> Option<(Vec<Document>, Self)> {
    let (all, from) = read_all(service).await?;
    let watch = service.watch(CONFIGURATION_PREFIX, from).await.ok()?;
    let until = Instant::now() + WATCH_RENEWAL;
    Some((all, Self { until, watch }))
  }

  /// The next changes; none when the watch has to be made anew.
  pub(super) async fn next(&mut self) -> Option<Vec<Document>> {
    let changes = timeout_at(self.until, self.watch.next()).await.ok()??;
    // A deletion has an empty text; documents are closed, never deleted, so it is passed over.
    let changes = documents(changes)
      .into_iter()
      .filter(|document| !document.text.is_empty());
    Some(changes.collect())
  }
}

/// Whether a box is one of its hall's two watchers, by rendezvous order over the live boxes.
pub(super) fn is_watcher(own: &Name, hall_boxes: &[Name]) -> bool {
  const WATCHERS: usize = 2;
  crate::decide::rendezvous_order(&"configuration".into(), hall_boxes)
    .iter()
    .take(WATCHERS)
    .any(|name| name == own)
}
