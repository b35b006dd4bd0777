//! The operators' configuration: versioned documents, their validation, and the configuration derived from them.

mod configuration_error;
mod documents;
mod key_table;
mod store;

pub use self::{
  configuration_error::ConfigurationError,
  documents::{
    DocumentKey, OrganisationDocument, ParsedDocument, PlatformDocument, parse_document,
  },
  key_table::{KeyTable, hash_key},
  store::Store,
};
