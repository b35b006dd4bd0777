//! Handlers for plain services.

use {
  super::{
    IngressState, caller_headers::parse_headers, completions::read_body, response,
    state::RequestAttributes,
  },
  crate::{
    chunk::Body,
    decide::{ServiceWork, Work},
    egress::end_to_end_headers,
  },
  axum::{
    extract::{Path, Request, State},
    response::Response,
  },
  http::{Method, header},
  std::sync::Arc,
};

const PREFIX: &str = "/services/";

pub(super) async fn root(
  State(state): State<Arc<IngressState>>,
  Path(service): Path<String>,
  request: Request,
) -> Response {
  handle(state, &service, request).await
}

pub(super) async fn path(
  State(state): State<Arc<IngressState>>,
  Path((service, _)): Path<(String, String)>,
  request: Request,
) -> Response {
  handle(state, &service, request).await
}

/// The path after the service name with the query, not decoded.
fn inner_path(request: &Request) -> String {
  let whole = request
    .uri()
    .path_and_query()
    .map_or("/", http::uri::PathAndQuery::as_str);
  let rest = whole.strip_prefix(PREFIX).unwrap_or_default();
  let start = rest.find(['/', '?']).unwrap_or(rest.len());
  let path = &rest[start..];
  if path.starts_with('/') {
    path.into()
  } else {
    format!("/{path}")
  }
}

fn is_idempotent(method: &Method) -> bool {
  [
    Method::GET,
    Method::HEAD,
    Method::PUT,
    Method::DELETE,
    Method::OPTIONS,
  ]
  .contains(method)
}

async fn handle(state: Arc<IngressState>, service: &str, request: Request) -> Response {
  let caller = match parse_headers(&state, request.headers()) {
    Ok(headers) => headers,
    Err(rejection) => return *rejection,
  };
  let method = request.method().clone();
  let path = inner_path(&request);
  // The bearer key authenticates the caller to this box only.
  let mut headers = end_to_end_headers(request.headers());
  headers.remove(header::AUTHORIZATION);
  let body = match read_body(&state, request).await {
    Ok(bytes) => bytes,
    Err(rejection) => return *rejection,
  };
  let attributes = RequestAttributes {
    deadline_ms: caller.deadline_ms,
    idempotency_key: caller.idempotency_key,
    not_repeatable: caller.not_repeatable,
    organisation: caller.organisation,
    task: caller.task,
    work: Work::Service(ServiceWork {
      idempotent: is_idempotent(&method),
      service: service.into(),
    }),
  };
  let body = Body::Call {
    body,
    headers,
    method,
    path: path.into(),
  };
  match state.admit(attributes, body) {
    Ok(pending) => response::relayed(pending).await,
    Err(rejection) => *rejection,
  }
}
