//! The part of the configuration in force that `decide` goes by.

use {
  super::{Document, DocumentRevision, Tuning},
  crate::{ids::Name, policy::Program},
  sha2::{Digest, Sha256},
  std::{collections::BTreeMap, sync::Arc},
};

/// What an organisation may do.
#[derive(Clone, Debug, Eq, PartialEq)]
pub struct OrganisationLimits {
  /// Requests in progress on one box.
  pub in_progress: Option<usize>,
}

/// The configuration in force on this box.
#[derive(Clone, Debug, Default)]
pub struct ConfigurationView {
  /// The documents, as stored.
  pub documents: Vec<Document>,
  /// The policy program, if the platform's document has one.
  pub policy: Option<Arc<Program>>,
  /// Limits by organisation.
  pub organisations: BTreeMap<Name, OrganisationLimits>,
  /// The knobs.
  pub tuning: Tuning,
  /// Local time less UTC, for policy.
  pub utc_offset_minutes: i64,
}

impl ConfigurationView {
  /// The revisions in force.
  pub fn revisions(&self) -> Vec<DocumentRevision> {
    self
      .documents
      .iter()
      .map(|document| DocumentRevision {
        key: document.key.clone(),
        revision: document.revision,
      })
      .collect()
  }

  /// A digest of the revisions in force: equal on boxes that apply the same configuration.
  ///
  /// ```
  /// use rillford::decide::ConfigurationView;
  /// assert_eq!(ConfigurationView::default().digest(), ConfigurationView::default().digest());
  /// ```
  pub fn digest(&self) -> u64 {
    let mut hasher = Sha256::new();
    for document in &self.documents {
      hasher.update(document.key.as_bytes());
      hasher.update([0]);
      hasher.update(document.revision.to_be_bytes());
    }
    let mut bytes = [0; 8];
    bytes.copy_from_slice(&hasher.finalize()[..8]);
    u64::from_be_bytes(bytes)
  }

  /// The highest revision in force; revisions count up over all documents of the service.
  pub fn latest_revision(&self) -> u64 {
    let revisions = self.documents.iter().map(|document| document.revision);
    revisions.max().unwrap_or(0)
  }

  /// The documents of higher revisions than this.
  pub fn after(&self, revision: u64) -> Vec<Document> {
    let documents = self.documents.iter();
    documents
      .filter(|document| document.revision > revision)
      .cloned()
      .collect()
  }

  /// The documents that somebody with these revisions lacks.
  pub fn newer_than(&self, revisions: &[DocumentRevision]) -> Vec<Document> {
    self
      .documents
      .iter()
      .filter(|document| {
        !revisions
          .iter()
          .any(|known| known.key == document.key && known.revision >= document.revision)
      })
      .cloned()
      .collect()
  }
}
