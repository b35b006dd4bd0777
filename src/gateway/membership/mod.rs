//! The store's side of a box: its listing and watch, this box's own entry, and the changes that boxes of a hall pass on.
//!
//! Imports `state` and what lies below it. Changes come in from the store or from another box, and go out to the state of
//! this box and to the boxes that follow it.

mod listing;
mod own_entry;
mod relay;
mod store_sync;
mod store_view;

pub(crate) use self::{
  own_entry::{maintain_entry, revoke_entry},
  relay::serve_boxes,
  store_sync::sync_store,
};
