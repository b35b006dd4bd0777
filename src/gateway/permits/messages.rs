//! What boxes ask each other for permits at endpoints, and the answers.

use {
  super::{cold_span_message::ColdSpanMessage, telling::note_told, told_limit::ToldLimit},
  crate::{
    CallError, HttpClient,
    gateway::{
      connections::{message_response, read_message, send_message, status_response},
      decisions::{
        EndpointIncarnation, PermitRequest, PermitVerdict, coordinator_limit, coordinator_order,
      },
      state::Gateway,
    },
    ids::Name,
  },
  bytes::Bytes,
  http::{Request, Response, StatusCode},
  http_body_util::Full,
  hyper::body::Incoming,
  serde::{Deserialize, Serialize},
  std::{net::SocketAddr, time::Duration},
};

/// The path on which the box that counts an endpoint's requests is asked for permits.
pub(crate) const PERMITS_PATH: &str = "/permits";
/// The longest question: two names and some numbers.
const MOST_BYTES: usize = 4 * 1024;

/// A question for permits.
#[derive(Clone, Debug, Deserialize, Serialize)]
pub(super) struct PermitQuestion {
  pub(super) box_name: Name,
  pub(super) endpoint: Name,
  pub(super) started_ms: Option<u64>,
  pub(super) hall: Name,
  /// The endpoint's own word; nothing when it has named no limit.
  pub(super) told: Option<ToldLimit>,
  /// Nothing when it is warm, as far as the box that asks knows.
  pub(super) cold: Option<ColdSpanMessage>,
  pub(super) permits: u32,
  pub(super) unused: u32,
  pub(super) priority: u8,
}

/// What the box that counts answers.
#[derive(Clone, Copy, Debug, Deserialize, Serialize)]
pub(super) struct PermitAnswer {
  pub(super) verdict: PermitVerdict,
  /// The endpoint's newest word that it knows.
  pub(super) told: Option<ToldLimit>,
}

/// Asks the box that counts.
pub(super) async fn ask_for_permits(
  http: &HttpClient,
  address: SocketAddr,
  question: &PermitQuestion,
  limit: Duration,
) -> Result<PermitAnswer, CallError> {
  let answer = send_message(http, address, PERMITS_PATH, question, limit).await?;
  postcard::from_bytes(&answer).map_err(|error| CallError::InvalidResponse(error.to_string()))
}

/// Answers another box's question; with 409 where another box counts, as far as this one knows.
pub(crate) async fn answer_permits(
  gateway: &Gateway,
  request: Request<Incoming>,
) -> Response<Full<Bytes>> {
  match read_message(request, MOST_BYTES).await {
    Ok(question) if !counts_for(gateway, &question) => status_response(StatusCode::CONFLICT),
    Ok(question) => message_response(&answer_question(gateway, &question)),
    Err(error) => {
      log::info!("E609 question for permits not read: {error}");
      status_response(StatusCode::BAD_REQUEST)
    }
  }
}

/// Whether this box is the one that counts an endpoint's requests.
fn counts_for(gateway: &Gateway, question: &PermitQuestion) -> bool {
  let boxes = gateway.boxes.borrow();
  let order = coordinator_order(&boxes, &question.endpoint, &question.hall, 1);
  let is_first = order
    .first()
    .is_some_and(|(name, _)| *name == gateway.settings.identity.name);
  is_first && gateway.settings.mechanisms.endpoint_limits
}

fn answer_question(gateway: &Gateway, question: &PermitQuestion) -> PermitAnswer {
  let now_ms = gateway.now_ms();
  let (id, started_ms) = (&question.endpoint, question.started_ms);
  if let Some(told) = question.told {
    note_told(gateway, id, started_ms, told.heard(now_ms));
  }
  let mut book = gateway.book.borrow_mut();
  if let Some(cold) = question.cold {
    let limits = book.limits_mut();
    limits.record_cold(id, started_ms, cold.span(now_ms));
  }
  let named = book.limits().advertised_by(id, started_ms);
  let per_s = book.limits().lowest_per_s(id, started_ms, now_ms);
  drop(book);
  let permit_request = PermitRequest {
    box_name: question.box_name.clone(),
    permits: question.permits,
    priority: question.priority,
    unused: question.unused,
  };
  PermitAnswer {
    told: named.map(|named| ToldLimit::new(named, now_ms)),
    verdict: give_out(
      gateway,
      EndpointIncarnation::of(id, started_ms),
      per_s,
      &permit_request,
    ),
  }
}

/// Gives out permits as the box that counts; without a limit as many as are wanted.
pub(super) fn give_out(
  gateway: &Gateway,
  life: EndpointIncarnation,
  per_s: Option<f64>,
  permit_request: &PermitRequest,
) -> PermitVerdict {
  let Some(per_s) = per_s else {
    return PermitVerdict::Granted(permit_request.permits);
  };
  let verdict = gateway.permit_book.borrow_mut().request(
    life,
    coordinator_limit(per_s),
    permit_request,
    gateway.now_ms(),
  );
  match verdict {
    PermitVerdict::Granted(permits) => gateway.counters.permits_granted.add(permits.into()),
    PermitVerdict::Rejected { .. } => gateway.counters.permits_refused.inc(),
  }
  verdict
}
