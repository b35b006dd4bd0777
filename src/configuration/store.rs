//! The configuration in force on this box. The revision of a document never decreases.

use {
  super::{ConfigurationError, KeyTable, ParsedDocument, parse_document},
  crate::{
    decide::{ConfigurationView, Document, OrganisationLimits},
    ids::Name,
  },
  std::{collections::BTreeMap, sync::Arc},
};

#[derive(Debug)]
struct Entry {
  document: Document,
  parsed: ParsedDocument,
}

/// The documents in force.
///
/// ```
/// use rillford::{configuration::Store, decide::Document};
/// let document = |revision| Document { key: "platform".into(), revision, text: "{}".into() };
/// let mut store = Store::default();
/// assert_eq!(store.apply(document(7)), Ok(true));
/// assert_eq!(store.apply(document(6)), Ok(false));
/// ```
#[derive(Debug, Default)]
pub struct Store {
  entries: BTreeMap<Name, Entry>,
}

impl Store {
  /// Applies a document if it is newer than the one in force; returns whether it is. Fails if the document is invalid.
  pub fn apply(&mut self, document: Document) -> Result<bool, ConfigurationError> {
    let known = self.entries.get(&document.key);
    if known.is_some_and(|known| known.document.revision >= document.revision) {
      return Ok(false);
    }
    let parsed = parse_document(&document.key, &document.text)?;
    let entry = Entry { document, parsed };
    self.entries.insert(entry.document.key.clone(), entry);
    Ok(true)
  }

  /// Whether no document was applied yet.
  pub fn is_empty(&self) -> bool {
    self.entries.is_empty()
  }

  /// The document in force under a key.
  pub fn get(&self, key: &str) -> Option<&Document> {
    self.entries.get(key).map(|entry| &entry.document)
  }

  /// The configuration for `decide`.
  pub fn view(&self) -> ConfigurationView {
    let mut view = ConfigurationView::default();
    for entry in self.entries.values() {
      view.documents.push(entry.document.clone());
      match &entry.parsed {
        ParsedDocument::Platform(document, policy) => {
          view.policy = policy.clone();
          view.tuning = document.tuning.clone();
          view.utc_offset_minutes = document.utc_offset_minutes;
        }
        ParsedDocument::Organisation(name, document) => {
          let in_progress = if document.closed {
            Some(0)
          } else {
            document.in_progress
          };
          view
            .organisations
            .insert(name.clone(), OrganisationLimits { in_progress });
        }
      }
    }
    view
  }

  /// The bearer keys of all organisations.
  pub fn keys(&self) -> Arc<KeyTable> {
    let mut table = KeyTable::default();
    for entry in self.entries.values() {
      if let ParsedDocument::Organisation(name, document) = &entry.parsed {
        for key in &document.keys_sha256 {
          table.insert_hash(key, name.clone());
        }
      }
    }
    Arc::new(table)
  }
}
