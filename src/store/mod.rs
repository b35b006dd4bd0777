//! The store worker: configuration, claims and the leader lease in the platform's key-value service, and the
//! box list.

mod claims;
mod configuration_watch;
mod key_value_client;
mod leader_lease;
mod worker;

pub(crate) use self::{
  configuration_watch::stored_key,
  worker::{StoreInput, StoreSetup, run},
};

pub use self::{
  claims::{CLAIM_RETENTION_HOURS, claim_bucket, claim_key},
  key_value_client::{KeyValueClient, KeyValueError, StoredValue, SwapOutcome, Watch},
};
