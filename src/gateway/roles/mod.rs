//! The steward of the engines' roles: the one box that orders engines to read prompts or to write answers.
//!
//! Imports `stages` and what lies below it. What to order is decided in `decisions`; the orders go out from here.

mod role_steward;

pub(crate) use self::role_steward::keep_roles;
