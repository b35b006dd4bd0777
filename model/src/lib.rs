//! A model checker and small specifications of rillford's protocols: states and steps that are explored exhaustively.
//!
//! Each module specifies one protocol with its properties and its mutants: changes to the rules that the search must
//! detect.

pub mod attempts;
pub mod claim;
pub mod configuration;
pub mod leader;
mod search;
pub mod versions;

pub use self::search::{Exploration, Spec, explore};
