//! A box's link to the store: listing and watch, this box's own entry, and the relay of changes between boxes of a hall. In a large
//! deployment only the store readers of each hall watch the store; the other boxes follow them, and fall back to a few further boxes
//! when all readers fail.
//!
//! Imports `state` and the folders below it. Changes come from the store or from another box, and are applied to the state of
//! this box and relayed to its followers.

mod listing;
mod own_entry;
mod relay;
mod store_sync;
mod store_view;

pub(crate) use self::{own_entry::maintain_entry, relay::handle_message, store_sync::sync_store};
