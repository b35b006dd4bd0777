//! The platform duty: configuration, claims and the steward lease in the key-value service, and the
//! box list.

mod claims;
mod configuration;
mod desk;
mod key_value_client;
mod lease;

pub(crate) use self::desk::{StoreInput, StoreSetup, run};

pub use self::{
  claims::{CLAIM_RETENTION_HOURS, claim_bucket, claim_key},
  key_value_client::{KeyValueClient, KeyValueError, StoredValue, SwapOutcome, Watch},
};

pub(crate) use self::configuration::stored_key;
