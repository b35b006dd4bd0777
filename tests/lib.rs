//! The integration tests: a module a feature.

mod answers;
mod architecture;
mod at_most_once;
mod causal_merge;
mod command_line;
mod configuration;
mod contracts;
mod experiment;
mod gateway;
mod judged_streams;
mod leaving;
mod machine;
mod membership;
mod memory;
mod path;
mod regress;
mod roles;
mod soak_days;
mod soak_endpoints;
mod soak_garbled;
mod soak_links;
mod soak_play;
mod soak_promises;
mod soak_starts;
mod specification;
mod test;
mod two_at_once;
mod unframed_services;

pub(crate) use test::Test;
