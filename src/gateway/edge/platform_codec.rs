//! The codec of a platform: header names, JSON formats and paths, without any decisions.

use {
  super::{
    caller_attributes::CallerAttributes, decode_error::DecodeError, endpoint_entry::EndpointEntry,
    endpoint_notice::EndpointNotice, prompt_segment::PromptSegment, route_table::RouteTable,
  },
  crate::{decide::Role, ids::Name},
  bytes::Bytes,
  http::{HeaderMap, HeaderName, Method, StatusCode},
  std::net::SocketAddr,
};

/// Which stage of a request an endpoint is asked to run.
#[derive(Clone, Debug, Eq, PartialEq)]
pub enum Stage {
  /// The whole request.
  Full,
  /// Prefill only: compute the prompt's KV cache and retain it for another engine.
  Prefill,
  /// Decode from a KV cache that another engine exports.
  DecodeFrom(Export),
}

/// The KV cache of a prompt that an engine retains for another one to fetch.
#[derive(Clone, Debug, Eq, PartialEq)]
pub struct Export {
  /// The engine that retains it.
  pub source: SocketAddr,
  /// Its handle there.
  pub handle: Name,
}

/// What the gateway adds to a request for one endpoint, as headers.
#[derive(Clone, Debug, Eq, PartialEq)]
pub struct ProxyHeaders {
  /// Time remaining for the response.
  pub deadline_ms: u64,
  /// The stage to run.
  pub stage: Stage,
  /// Scheduling priority at the endpoint; 0 is the most urgent.
  pub priority: u8,
  /// A reservation at the endpoint that the request consumes.
  pub reservation: Option<Name>,
  /// The last event of the stream that the caller has received.
  pub last_event_id: Option<u64>,
  /// The organisation that the request is from.
  pub organisation: Option<Name>,
}

/// An endpoint's load, as reported with a response.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub struct LoadHeader {
  /// Requests that are running.
  pub running: u32,
  /// Requests that are queued.
  pub waiting: u32,
  /// Requests that may run at once.
  pub slots: u32,
  /// Current duration of work on the endpoint's machine, in percent of the usual duration; `None` when it is not reported.
  pub slowdown_percent: Option<u32>,
}

/// What a response's headers state.
#[derive(Clone, Debug, Default, Eq, PartialEq)]
pub struct ResponseAttributes {
  /// The request that the response is for.
  pub request_id: Option<Name>,
  /// Whether the endpoint states that it did not run the request.
  pub not_run: bool,
  /// Whether the response carries the endpoint's receipt.
  pub has_receipt: bool,
  /// The endpoint's load.
  pub load: Option<LoadHeader>,
}

/// A call that the gateway makes to an endpoint on its own behalf.
#[derive(Clone, Debug, Eq, PartialEq)]
pub struct EndpointCall {
  /// The method.
  pub method: Method,
  /// The path, with its query.
  pub path: String,
  /// A JSON body; may be empty.
  pub body: Bytes,
}

/// A command to an engine to change its role.
#[derive(Clone, Debug, Eq, PartialEq)]
pub struct RoleChange {
  /// The role to take.
  pub role: Role,
  /// The box that sends the command: the role leader.
  pub holder: Name,
  /// The fencing token: the store revision at which the box became leader.
  pub fence: u64,
  /// Commands that the engine must have accepted before; otherwise it rejects this one.
  pub commands_accepted: u64,
}

/// A run in an engine's report.
#[derive(Clone, Debug, Eq, PartialEq)]
pub struct RunReport {
  /// The request's id.
  pub request_id: Name,
  /// The events that it had made when the report was drawn up.
  pub events: u64,
}

/// An engine's report on its role and its runs, as they were some hundred milliseconds before.
#[derive(Clone, Debug, Eq, PartialEq)]
pub struct EngineReport {
  /// When it started, as Unix milliseconds, if reported.
  pub started_ms: Option<u64>,
  /// Its current role.
  pub role: Option<Role>,
  /// Role commands that it has accepted since its start.
  pub commands_accepted: u64,
  /// Whether it is executing a role command.
  pub command_in_progress: bool,
  /// The requests that run, as far as they are reported.
  pub runs: Vec<RunReport>,
}

/// Encodes and decodes the names and formats of a platform.
pub trait PlatformCodec: 'static {
  /// Decodes a caller's headers.
  fn caller_attributes(&self, headers: &HeaderMap) -> CallerAttributes;
  /// Removes the headers that only the gateway may set.
  fn remove_reserved(&self, headers: &mut HeaderMap);
  /// Adds the gateway's headers to a request for an endpoint.
  fn add_proxy_headers(&self, headers: &mut HeaderMap, proxy_headers: &ProxyHeaders);
  /// Sets the endpoint that a request is for; another one at its address rejects the request.
  fn set_expected_endpoint(&self, headers: &mut HeaderMap, endpoint_id: &str);
  /// Sets the id of a call, which its answer repeats.
  fn set_request_id(&self, headers: &mut HeaderMap, id: &str);
  /// Decodes a response's headers.
  fn response_attributes(&self, headers: &HeaderMap) -> ResponseAttributes;
  /// Decodes the load that an endpoint reports in any response.
  fn load(&self, headers: &HeaderMap) -> Option<LoadHeader>;
  /// Whether a response header belongs to the platform's protocol or to HTTP.
  fn is_known_response_header(&self, name: &HeaderName) -> bool;
  /// Decodes what an endpoint states about itself in any response.
  fn notice(&self, status: StatusCode, headers: &HeaderMap) -> EndpointNotice;
  /// Decodes the handle of an exported KV cache from a prefill response.
  fn export_handle(&self, body: &[u8]) -> Result<Name, DecodeError>;
  /// The call that releases an exported KV cache.
  fn release_export_call(&self, handle: &str) -> EndpointCall;
  /// The call that reserves a batch slot with KV memory for some tokens.
  fn reservation_call(&self, tokens: u64, ttl_ms: u64) -> EndpointCall;
  /// Decodes the reservation's id.
  fn reservation(&self, body: &[u8]) -> Result<Name, DecodeError>;
  /// The call that releases a reservation.
  fn release_reservation_call(&self, reservation: &str) -> EndpointCall;
  /// The call that lists an engine's prefix cache.
  fn cached_prompts_call(&self) -> EndpointCall;
  /// Decodes the prompt segments in an engine's prefix cache.
  fn cached_segments(&self, body: &[u8]) -> Result<Vec<PromptSegment>, DecodeError>;
  /// The call that fetches an engine's report.
  fn report_call(&self) -> EndpointCall;
  /// Decodes an engine's report.
  fn report(&self, body: &[u8]) -> Result<EngineReport, DecodeError>;
  /// The call that changes an engine's role.
  fn role_change_call(&self, change: &RoleChange) -> EndpointCall;
  /// Decodes a whole configuration.
  fn route_table(&self, value: &[u8]) -> Result<RouteTable, DecodeError>;
  /// Decodes one endpoint's entry.
  fn endpoint_entry(&self, id: &str, value: &[u8]) -> Result<EndpointEntry, DecodeError>;
}
