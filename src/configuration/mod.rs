//! The operators' configuration: documents that only go forward, and what is made of them.

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
