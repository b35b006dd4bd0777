//! One part of a request at one endpoint, from the choice of a connection to the answer's head.

use {
  super::{
    notice::{SentPart, hear_notice},
    purpose::Purpose,
    request::RoutedRequest,
  },
  crate::{
    gateway::{
      connections::{Connection, SendError, remove_connection_headers},
      decisions::{AttemptOutcome, Unavailable},
      edge::{AnswerFacts, EndpointEntry, Marks},
      permits::{Permit, acquire_permit, return_permit},
      state::Gateway,
    },
    ids::Name,
  },
  bytes::Bytes,
  http::{
    HeaderMap, Request, Response, StatusCode,
    header::{CONTENT_ENCODING, CONTENT_LENGTH, TRANSFER_ENCODING},
    response,
  },
  http_body_util::{BodyExt, Full, Limited},
  hyper::body::Incoming,
  std::rc::Rc,
};

/// The longest answer that is held whole before it is passed on.
const MOST_WHOLE_BYTES: usize = 4 * 1024 * 1024;
/// The status of an endpoint that is not the incarnation that the request was for (RFC 9110, 15.5.20).
const MISDIRECTED: u16 = 421;

/// Why a part came to nothing.
#[derive(Clone, Debug, Eq, PartialEq, thiserror::Error)]
pub(crate) enum PartError {
  /// The endpoint does not answer at all, and never saw it.
  #[error("unreachable")]
  Unreachable,
  /// The endpoint never saw it.
  #[error("unsent: {0}")]
  Unsent(String),
  /// The endpoint never saw it: it is sent nothing now.
  #[error("not sent: {0}")]
  Unavailable(#[from] Unavailable),
  /// It may not be sent any more: endpoints have ended with it.
  #[error("barred: endpoints ended with it")]
  Barred,
  /// The endpoint says that it did not run.
  #[error("refused by the endpoint with status {0}")]
  NotRun(u16),
  /// It may have run, and no answer can be passed on.
  #[error("lost: {0}")]
  Lost(String),
}

impl PartError {
  /// Whether the endpoint certainly has not run the request.
  pub(crate) fn has_not_run(&self) -> bool {
    !matches!(self, Self::Lost(_))
  }

  /// Whether there was no permit for it within the endpoint's limit.
  pub(crate) fn is_without_permit(&self) -> bool {
    matches!(self, Self::Unavailable(Unavailable::NoPermit { .. }))
  }

  /// Whether the endpoint never saw the request.
  pub(crate) fn is_unsent(&self) -> bool {
    matches!(
      self,
      Self::Unreachable | Self::Unsent(_) | Self::Unavailable(_) | Self::Barred
    )
  }
}

impl From<SendError> for PartError {
  fn from(error: SendError) -> Self {
    match error {
      SendError::Unreachable => Self::Unreachable,
      SendError::Unsent(text) => Self::Unsent(text),
      SendError::Broke(text) => Self::Lost(text),
    }
  }
}

/// The book's entry for one part; counts as dropped unless it is settled.
pub(crate) struct Booking {
  gateway: Rc<Gateway>,
  endpoint: Name,
  size: u64,
  units: u64,
  sent_ms: u64,
  end: AttemptOutcome,
}

impl Booking {
  /// Books work that is about to be sent.
  pub(crate) fn new(gateway: &Rc<Gateway>, endpoint: &Name, size: u64, units: u64) -> Self {
    gateway.endpoints.borrow_mut().record_send(endpoint, size);
    Self {
      end: AttemptOutcome::Cancelled,
      endpoint: endpoint.clone(),
      gateway: gateway.clone(),
      sent_ms: gateway.now_ms(),
      size,
      units,
    }
  }

  /// Says how the part ended; booked when this is dropped.
  pub(crate) fn settle(&mut self, end: AttemptOutcome) {
    self.end = end;
  }

  /// The answer is there, or its first part, as late as now.
  pub(crate) fn answered(&mut self) {
    let took_ms = self.gateway.now_ms() - self.sent_ms;
    self.end = AttemptOutcome::Answered { took_ms };
  }

  fn settle_error(&mut self, error: &PartError) {
    self.end = match error {
      PartError::Unreachable => AttemptOutcome::Unreachable,
      PartError::NotRun(MISDIRECTED) | PartError::Unsent(_) | PartError::Lost(_) => {
        AttemptOutcome::Lost
      }
      PartError::Barred | PartError::Unavailable(_) => AttemptOutcome::Cancelled,
      PartError::NotRun(_) => AttemptOutcome::Full,
    };
  }
}

impl Drop for Booking {
  fn drop(&mut self) {
    self
      .gateway
      .finish_stage(&self.endpoint, self.size, self.units, self.end);
  }
}

/// An answer's head that belongs to the request.
pub(crate) struct Head {
  /// The endpoint as it was when the request was sent there.
  pub(crate) entry: EndpointEntry,
  pub(crate) sent_ms: u64,
  pub(crate) status: StatusCode,
  /// As they came, those of the connection included.
  pub(crate) raw_headers: HeaderMap,
  pub(crate) facts: AnswerFacts,
  pub(crate) body: Incoming,
  pub(crate) connection: Connection,
  pub(crate) booking: Booking,
}

impl Head {
  /// The headers that are passed on.
  pub(crate) fn headers(&self) -> HeaderMap {
    let mut headers = self.raw_headers.clone();
    remove_connection_headers(&mut headers);
    headers
  }

  /// Whether its end can be told from a connection that broke.
  pub(crate) fn is_framed(&self) -> bool {
    self.raw_headers.contains_key(CONTENT_LENGTH)
      || self.raw_headers.contains_key(TRANSFER_ENCODING)
  }

  /// Reads the body whole and lets the connection rest.
  pub(crate) async fn whole(mut self, gateway: &Gateway) -> Result<WholeAnswer, PartError> {
    let headers = self.headers();
    let read = Limited::new(&mut self.body, MOST_WHOLE_BYTES)
      .collect()
      .await;
    let body = match read {
      Ok(body) => body.to_bytes(),
      Err(error) => {
        self.booking.settle(AttemptOutcome::Lost);
        return Err(PartError::Lost(format!("answer broke off: {error}")));
      }
    };
    if self.status.is_server_error() {
      self.booking.settle(AttemptOutcome::Failed);
    } else {
      self.booking.answered();
    }
    gateway.keep_alive(self.connection, &self.raw_headers);
    Ok(WholeAnswer {
      body,
      headers,
      status: self.status,
    })
  }
}

/// An answer that is there as a whole.
pub(crate) struct WholeAnswer {
  pub(crate) status: StatusCode,
  pub(crate) headers: HeaderMap,
  pub(crate) body: Bytes,
}

/// What one endpoint is sent of a request.
#[derive(Clone, Copy, Debug)]
pub(crate) struct OutgoingPart<'a> {
  pub(crate) entry: &'a EndpointEntry,
  pub(crate) marks: &'a Marks,
  /// What it weighs in the endpoint's load.
  pub(crate) size: u64,
  /// What the time until its answer is measured by.
  pub(crate) units: u64,
  /// What a reservation before it took already.
  pub(crate) permit: Permit,
}

impl<'a> OutgoingPart<'a> {
  /// A part of which an endpoint has heard nothing yet.
  pub(crate) fn new(entry: &'a EndpointEntry, marks: &'a Marks, size: u64, units: u64) -> Self {
    Self {
      entry,
      marks,
      permit: Permit::NotNeeded,
      size,
      units,
    }
  }
}

/// Sends one part of a request to an endpoint, within its limit, and reads the answer's head.
pub(crate) async fn send_part(
  gateway: &Rc<Gateway>,
  request: &RoutedRequest,
  part: OutgoingPart<'_>,
) -> Result<Head, PartError> {
  let entry = part.entry;
  let permit = match part.permit {
    Permit::Taken => Permit::Taken,
    Permit::NotNeeded => acquire_permit(gateway, entry, request.permit_caller()).await?,
  };
  let sent = send_permitted(gateway, request, part).await;
  let never_seen = matches!(&sent, Err(error) if error.is_unsent());
  if never_seen && permit == Permit::Taken {
    return_permit(gateway, entry);
  }
  sent
}

/// Sends a part that has its permit.
async fn send_permitted(
  gateway: &Rc<Gateway>,
  request: &RoutedRequest,
  part: OutgoingPart<'_>,
) -> Result<Head, PartError> {
  let OutgoingPart {
    entry,
    marks,
    size,
    units,
    ..
  } = part;
  // A request that ends what runs it comes again under other ids, at other boxes: attempts bound one try alone.
  let before = request.sending.get();
  if !request.begin_sending(gateway, &marks.part) {
    return Err(PartError::Barred);
  }
  let mut booking = Booking::new(gateway, &entry.id, size, units);
  let sent_ms = gateway.now_ms();
  let sent = request.for_endpoint(&*gateway.dialect, marks);
  let answered = exchange(gateway, entry, sent, Purpose::Request)
    .await
    .and_then(|(connection, response)| {
      let (head, body) = response.into_parts();
      let facts = check(gateway, request, entry, &head)?;
      Ok((connection, head, body, facts))
    });
  match answered {
    Ok((connection, head, body, facts)) => Ok(Head {
      body,
      booking,
      connection,
      entry: entry.clone(),
      facts,
      raw_headers: head.headers,
      sent_ms,
      status: head.status,
    }),
    Err(error) => {
      if error.is_unsent() {
        request.undo_sending(before);
      }
      booking.settle_error(&error);
      Err(error)
    }
  }
}

/// Sends a request on a resting connection, or on a new one when none is left or it closed unused.
pub(crate) async fn exchange(
  gateway: &Rc<Gateway>,
  entry: &EndpointEntry,
  request: Request<Full<Bytes>>,
  purpose: Purpose,
) -> Result<(Connection, Response<Incoming>), PartError> {
  // Time has passed since the endpoint was chosen; a connection may rest whose request outlasted the notice.
  check_available(gateway, entry, purpose)?;
  let mut sent = SentPart {
    entry,
    purpose,
    sent_ms: gateway.now_ms(),
  };
  if let Some(mut connection) = gateway.pool.take(&entry.id, gateway.now_ms()) {
    match connection.send(request.clone()).await {
      Ok(response) => return Ok((connection, heard(gateway, sent, response))),
      Err(SendError::Broke(text)) => return Err(PartError::Lost(text)),
      Err(SendError::Unreachable | SendError::Unsent(_)) => {}
    }
  }
  gateway.counters.connections.inc();
  let opened = Connection::open(entry.id.clone(), entry.address).await;
  let mut connection = opened?;
  check_available(gateway, entry, purpose)?;
  sent.sent_ms = gateway.now_ms();
  let response = connection.send(request).await?;
  Ok((connection, heard(gateway, sent, response)))
}

/// The answer, once what the endpoint says of itself in its head was taken over: callers may wait for its end for long.
fn heard(gateway: &Rc<Gateway>, sent: SentPart, answer: Response<Incoming>) -> Response<Incoming> {
  let (head, body) = answer.into_parts();
  hear_notice(gateway, sent, &head);
  Response::from_parts(head, body)
}

/// Refuses an endpoint whose entry has gone, and for work one that leaves or wants none.
fn check_available(
  gateway: &Gateway,
  entry: &EndpointEntry,
  purpose: Purpose,
) -> Result<(), PartError> {
  let now_ms = gateway.now_ms();
  let mut book = gateway.endpoints.borrow_mut();
  match (book.check(entry, now_ms), purpose) {
    (Ok(()), Purpose::Request | Purpose::Call) => {
      if let Some(asked_ms) = book.record_probe(&entry.id, now_ms) {
        log::info!(
          "E537 first after its pause: {}, asked for {} ms ago",
          entry.id,
          now_ms - asked_ms
        );
      }
      Ok(())
    }
    (Err(Unavailable::Unlisted), _) => Err(Unavailable::Unlisted.into()),
    (_, Purpose::GiveBack) => Ok(()),
    (Err(unavailable), Purpose::Request | Purpose::Call) => {
      gateway.counters.not_sent.inc();
      Err(unavailable.into())
    }
  }
}

/// Believes an answer only when it is this request's own.
fn check(
  gateway: &Gateway,
  request: &RoutedRequest,
  entry: &EndpointEntry,
  head: &response::Parts,
) -> Result<AnswerFacts, PartError> {
  let facts = gateway.dialect.answer_facts(&head.headers);
  if facts.request_id != request.facts.request_id {
    return Err(PartError::Lost("answer to another request".into()));
  }
  if let Some(load) = facts.load {
    gateway
      .endpoints
      .borrow_mut()
      .record_load(&entry.id, load, gateway.now_ms());
  }
  if facts.not_run {
    return Err(PartError::NotRun(head.status.as_u16()));
  }
  if head.status.as_u16() == MISDIRECTED {
    return Err(PartError::NotRun(MISDIRECTED));
  }
  // These promise that the request has not run, which this endpoint does not say.
  if matches!(head.status.as_u16(), 408 | 429 | 503) {
    return Err(PartError::Lost(format!(
      "status {} without a word on running",
      head.status
    )));
  }
  if head.headers.contains_key(CONTENT_ENCODING) {
    return Err(PartError::Lost(
      "answer with an encoding that was not asked for".into(),
    ));
  }
  Ok(facts)
}
