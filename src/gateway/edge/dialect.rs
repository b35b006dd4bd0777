//! How requests, answers and endpoints are spelled by a platform: names and formats, no decisions.

use {
  super::{
    caller_facts::CallerFacts, decode_error::DecodeError, endpoint_entry::EndpointEntry,
    endpoint_notice::EndpointNotice, prompt_part::PromptPart, route_table::RouteTable,
  },
  crate::{decide::Role, ids::Name},
  bytes::Bytes,
  http::{HeaderMap, HeaderName, Method, StatusCode},
  std::net::SocketAddr,
};

/// What part of a request an endpoint is asked to do.
#[derive(Clone, Debug, Eq, PartialEq)]
pub enum Part {
  /// All of it.
  Whole,
  /// Read the prompt, and keep it for another endpoint.
  ReadPrompt,
  /// Answer from a prompt that another engine has read.
  AnswerFrom(Export),
}

/// A prompt that an engine has read and keeps.
#[derive(Clone, Debug, Eq, PartialEq)]
pub struct Export {
  /// The engine that keeps it.
  pub source: SocketAddr,
  /// Its name there.
  pub handle: Name,
}

/// What this router adds to a request for one endpoint.
#[derive(Clone, Debug, Eq, PartialEq)]
pub struct Marks {
  /// The incarnation that the request is for.
  pub endpoint_id: Name,
  /// Time that is left for the answer.
  pub deadline_ms: u64,
  /// The part asked for.
  pub part: Part,
  /// 0 goes first.
  pub priority: u8,
  /// A reservation at the endpoint that the request uses up.
  pub reservation: Option<Name>,
  /// The last event that the caller has of a stream.
  pub last_event_id: Option<u64>,
  /// The organisation that asks.
  pub organisation: Option<Name>,
}

/// An endpoint's load, as it told it with an answer.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub struct ToldLoad {
  /// Requests that it works on.
  pub running: u32,
  /// Requests that wait.
  pub waiting: u32,
  /// Requests that it works on at once.
  pub seats: u32,
}

/// What an answer's headers say.
#[derive(Clone, Debug, Default, Eq, PartialEq)]
pub struct AnswerFacts {
  /// The request that is answered.
  pub request_id: Option<Name>,
  /// Whether the endpoint says that the request did not run.
  pub not_run: bool,
  /// Whether the endpoint's receipt is there.
  pub has_receipt: bool,
  /// The endpoint's load.
  pub load: Option<ToldLoad>,
}

/// A call of the router's own to an endpoint.
#[derive(Clone, Debug, Eq, PartialEq)]
pub struct EndpointCall {
  /// The method.
  pub method: Method,
  /// The path, with its query.
  pub path: String,
  /// A JSON body, or nothing.
  pub body: Bytes,
  /// Headers of the platform's own.
  pub headers: HeaderMap,
}

/// An order to an engine to change its role.
#[derive(Clone, Debug, Eq, PartialEq)]
pub struct RoleChange {
  /// The incarnation that the order is for.
  pub endpoint_id: Name,
  /// The role wanted.
  pub role: Role,
  /// The box that gives the order.
  pub holder: Name,
  /// The fencing token: the revision under which the box holds the stewardship.
  pub fence: u64,
  /// Orders that the engine must have taken before; else it refuses.
  pub orders_taken: u64,
}

/// What an engine says of its orders.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub struct EngineReport {
  /// When it started, as Unix milliseconds, if it says so.
  pub born_ms: Option<u64>,
  /// Its role at present.
  pub role: Option<Role>,
  /// Orders that it has taken since its start.
  pub orders_taken: u64,
  /// Whether one is being carried out.
  pub order_under_way: bool,
}

/// The names and formats of a platform.
pub trait Dialect: 'static {
  /// Reads a caller's headers.
  fn caller_facts(&self, headers: &HeaderMap) -> CallerFacts;
  /// Removes the headers that only this router may set.
  fn remove_reserved(&self, headers: &mut HeaderMap);
  /// Adds what an endpoint has to know.
  fn mark(&self, headers: &mut HeaderMap, marks: &Marks);
  /// Reads an answer's headers.
  fn answer_facts(&self, headers: &HeaderMap) -> AnswerFacts;
  /// Whether a name in an endpoint's answer is one of the platform's, or of the protocol's that both speak.
  fn knows_in_answers(&self, name: &HeaderName) -> bool;
  /// Reads what an endpoint says of itself in any answer.
  fn notice(&self, status: StatusCode, headers: &HeaderMap) -> EndpointNotice;
  /// Reads the name of the prompt that an engine keeps.
  fn export_handle(&self, body: &[u8]) -> Result<Name, DecodeError>;
  /// The call that frees a prompt.
  fn free_export(&self, handle: &str) -> EndpointCall;
  /// The call that reserves a seat with memory.
  fn reserve(&self, tokens: u64, ttl_ms: u64) -> EndpointCall;
  /// Reads the reservation's name.
  fn reservation(&self, body: &[u8]) -> Result<Name, DecodeError>;
  /// The call that gives a reservation back.
  fn free_reservation(&self, reservation: &str) -> EndpointCall;
  /// The call that asks an engine which prompts it keeps.
  fn list_kept(&self) -> EndpointCall;
  /// Reads the prompts that an engine keeps.
  fn kept_parts(&self, body: &[u8]) -> Result<Vec<PromptPart>, DecodeError>;
  /// The call that asks an engine for its report.
  fn ask_report(&self) -> EndpointCall;
  /// Reads an engine's report.
  fn report(&self, body: &[u8]) -> Result<EngineReport, DecodeError>;
  /// The call that changes an engine's role.
  fn change_role(&self, change: &RoleChange) -> EndpointCall;
  /// Reads a whole configuration.
  fn route_table(&self, value: &[u8]) -> Result<RouteTable, DecodeError>;
  /// Reads one endpoint's entry.
  fn endpoint_entry(&self, id: &str, value: &[u8]) -> Result<EndpointEntry, DecodeError>;
}
