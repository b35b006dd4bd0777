//! The part of the applied configuration that `decide` uses.

use {
  super::{Document, DocumentRevision, Tuning},
  crate::{ids::Name, policy::Program},
  sha2::{Digest, Sha256},
  std::{collections::BTreeMap, sync::Arc},
};

#[derive(Clone, Debug, Eq, PartialEq)]
pub struct OrganisationLimits {
  /// Maximum requests in progress on one box.
  pub in_progress: Option<usize>,
}

/// The configuration that this box has applied.
#[derive(Clone, Debug, Default)]
pub struct ConfigurationView {
  pub documents: Vec<Document>,
  pub policy: Option<Arc<Program>>,
  pub organisations: BTreeMap<Name, OrganisationLimits>,
  pub tuning: Tuning,
  /// Offset of local time from UTC, for the policy program.
  pub utc_offset_minutes: i64,
}

impl ConfigurationView {
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

  /// Digest of the applied revisions: equal on boxes that have applied the same configuration.
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

  /// The highest applied revision. The store numbers the revisions of all its documents in one sequence.
  pub fn latest_revision(&self) -> u64 {
    let revisions = self.documents.iter().map(|document| document.revision);
    revisions.max().unwrap_or(0)
  }

  pub fn after(&self, revision: u64) -> Vec<Document> {
    let documents = self.documents.iter();
    documents
      .filter(|document| document.revision > revision)
      .cloned()
      .collect()
  }

  /// The documents of which a peer with these revisions has no or an older version.
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
