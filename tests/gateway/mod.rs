//! Tests of gateway boxes: processes against stand-ins that implement the platform's published protocol, and unit tests.

mod allowed_regions;
mod answer_bounds;
mod budget;
mod callers;
mod choice;
mod cold_endpoints;
mod configuration;
mod confirmed_ends;
mod crashing_request;
mod crashing_segment;
mod cut_off;
mod early_answers;
mod early_ends;
mod endless_answers;
mod endless_reply;
mod endpoint;
mod endpoint_limits;
mod extra_answers;
mod extra_answers_once;
mod fair_shares;
mod hall_drain;
mod harness;
mod leaving;
mod limited_listener;
mod limits;
mod living_ends;
mod load;
mod notice_tracker;
mod notices;
mod organisations;
mod permits;
mod policy;
mod prefill_directory;
mod prefill_queue;
mod prefill_reservations;
mod proxy_headers;
mod quarantine;
mod raw_caller;
mod relay;
mod responses;
mod restarted_engines;
mod resume;
mod return_order;
mod reused_addresses;
mod review_findings;
mod role_plan;
mod roles;
mod silent_engines;
mod slots;
mod slow_readers;
mod staged_plain_services;
mod store_proxy;
mod stray_answers;
mod stream_ends;
mod stream_framing;
mod streams;
mod takeovers;
mod unframed_ends;
mod unknown_origins;
mod unnamed_endpoints;
mod version_records;
mod versions;

pub(crate) use self::{
  endpoint::{EndpointStandIn, ReceivedRequest, Reply},
  harness::{GatewayBox, GatewayTest, HOST, TIMEOUT},
};
