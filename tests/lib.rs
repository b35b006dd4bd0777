//! The integration tests: a module a feature.

mod path;
mod test;

pub(crate) use test::Test;
