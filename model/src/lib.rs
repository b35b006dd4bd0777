//! A small specification of rillford's core protocol: plain states and steps, explored in full.
//!
//! Each module is one part of the protocol with its properties and its mutants: changes to the rules
//! of which each must be found out by the search.

pub mod attempts;
pub mod claim;
pub mod configuration;
mod search;
pub mod steward;

pub use self::search::{Exploration, Spec, explore};
