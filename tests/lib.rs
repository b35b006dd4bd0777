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
mod replay_boxes;
mod replay_callers;
mod replay_play;
mod replay_quota;
mod replay_servers;
mod replay_settings;
mod replay_site;
mod replay_store;
mod roles;
mod soak_days;
mod soak_endpoints;
mod soak_garbled;
mod soak_links;
mod soak_play;
mod soak_promises;
mod specification;
mod test;
mod two_at_once;
mod unframed_services;

pub(crate) use test::Test;
