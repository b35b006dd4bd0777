//! The handlers for plain services.

use {
  super::{Desk, answer, caller_headers::read_headers, completions::read_body, desk::Asked},
  crate::{
    chunk::Body,
    decide::{ServiceWork, Work},
    egress::end_to_end,
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
  State(desk): State<Arc<Desk>>,
  Path(service): Path<String>,
  request: Request,
) -> Response {
  handle(desk, &service, request).await
}

pub(super) async fn below(
  State(desk): State<Arc<Desk>>,
  Path((service, _)): Path<(String, String)>,
  request: Request,
) -> Response {
  handle(desk, &service, request).await
}

/// The path below the service, as the caller wrote it, with its query.
fn inner_path(request: &Request) -> String {
  let whole = request
    .uri()
    .path_and_query()
    .map_or("/", http::uri::PathAndQuery::as_str);
  let rest = whole.strip_prefix(PREFIX).unwrap_or_default();
  let start = rest.find(['/', '?']).unwrap_or(rest.len());
  let below = &rest[start..];
  if below.starts_with('/') {
    below.into()
  } else {
    format!("/{below}")
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

async fn handle(desk: Arc<Desk>, service: &str, request: Request) -> Response {
  let caller = match read_headers(&desk, request.headers()) {
    Ok(headers) => headers,
    Err(refusal) => return *refusal,
  };
  let method = request.method().clone();
  let path = inner_path(&request);
  // The bearer key is between the caller and rillford.
  let mut headers = end_to_end(request.headers());
  headers.remove(header::AUTHORIZATION);
  let body = match read_body(&desk, request).await {
    Ok(bytes) => bytes,
    Err(refusal) => return *refusal,
  };
  let asked = Asked {
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
  match desk.admit(asked, body) {
    Ok(ticket) => answer::passed(ticket).await,
    Err(refusal) => *refusal,
  }
}
