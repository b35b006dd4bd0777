//! The integration tests: a module a feature.

mod answers;
mod at_most_once;
mod configuration;
mod leaving;
mod memory;
mod path;
mod roles;
mod test;

pub(crate) use test::Test;
