//! Unary requests: the response is buffered, and the request is retried at other endpoints as far as its route and the retry
//! budget allow.

use {
  super::{
    response::{LocalReply, ResponseBody, buffered_body, forward_response},
    return_time::retry_after_ms,
  },
  crate::{
    gateway::{
      decisions::{EndpointCriteria, RETRY_AFTER_FULL_MS, RETRY_AFTER_NO_ENDPOINT_MS, RetryNeed},
      edge::{EndpointEntry, ProxyHeaders, Stage},
      quarantine::{LostStage, record_lost_stage, record_sound_segments, record_success},
      retries::{RetryCharge, take_own_retry, take_retry},
      stages::{BufferedResponse, OutgoingStage, RoutedRequest, StageError, send_stage},
      state::Gateway,
    },
    ids::Name,
  },
  futures_util::{FutureExt, StreamExt, future::LocalBoxFuture, stream::FuturesUnordered},
  http::Response,
  std::{rc::Rc, time::Duration},
  tokio::time::sleep,
};

/// Fraction of the latency target after which a retryable request is hedged: sent to a second endpoint too.
const HEDGE_SHARE: f64 = 0.6;

/// Endpoints that may turn out to be unreachable before a request is rejected.
const MAX_UNSENT: u32 = 4;

type Attempt = LocalBoxFuture<'static, (Name, Result<BufferedResponse, StageError>)>;

/// The state of one unary request.
struct UnaryRequest {
  gateway: Rc<Gateway>,
  request: Rc<RoutedRequest>,
  tried: Vec<Name>,
  /// Tried endpoints that never received the request.
  unsent: u32,
  /// Of those, the endpoints whose rate limit left no permit.
  without_permit: u32,
  /// A retry that was taken from the budget, while no endpoint has received the request that it is for.
  unused_retry: Option<RetryCharge>,
  running: FuturesUnordered<Attempt>,
  /// The endpoints that have not responded yet.
  awaited: Vec<Name>,
  /// An endpoint's error response, forwarded when there is no better one.
  failure: Option<BufferedResponse>,
  /// Whether an endpoint may have run the request.
  may_have_run: bool,
}

/// Serves a unary request.
pub(crate) async fn serve_unary(
  gateway: Rc<Gateway>,
  request: Rc<RoutedRequest>,
) -> Response<ResponseBody> {
  gateway.record_new_caller(&request.service);
  let mut unary = UnaryRequest {
    awaited: Vec::new(),
    failure: None,
    gateway,
    may_have_run: false,
    request,
    running: FuturesUnordered::new(),
    tried: Vec::new(),
    unsent: 0,
    unused_retry: None,
    without_permit: 0,
  };
  if !unary.start() {
    return unary.reject(RETRY_AFTER_NO_ENDPOINT_MS);
  }
  unary.run().await
}

impl UnaryRequest {
  /// Waits for a response, the deadline or the time to hedge.
  async fn run(mut self) -> Response<ResponseBody> {
    let now_ms = self.gateway.now_ms();
    let mut deadline =
      sleep(Duration::from_millis(self.request.remaining_ms(now_ms))).boxed_local();
    let hedge_ms = (self.request.route.target_ms as f64 * HEDGE_SHARE) as u64;
    let mut hedge = sleep(Duration::from_millis(hedge_ms)).boxed_local();
    let mut may_hedge = self.request.route.kind.may_retry();
    loop {
      tokio::select! {
        biased;
        Some((endpoint, result)) = self.running.next() => {
          self.awaited.retain(|awaited| *awaited != endpoint);
          if let Some(response) = self.handle_result(&endpoint, result) {
            return response;
          }
          if self.running.is_empty() && !self.retry().await {
            return self.give_up();
          }
        }
        () = &mut deadline => return self.time_out(),
        () = &mut hedge, if may_hedge => {
          may_hedge = false;
          // A second response would need room too.
          if self.gateway.held_memory.accepts_request(0) {
            self.hedge();
          }
        }
      }
    }
  }

  /// Handles an endpoint's result; `None` when another endpoint may be tried.
  fn handle_result(
    &mut self,
    endpoint: &Name,
    result: Result<BufferedResponse, StageError>,
  ) -> Option<Response<ResponseBody>> {
    match result {
      Ok(response) if !response.status.is_server_error() => {
        log::info!(
          "E508 answered: {} by {endpoint} with status {}, {} ms after arrival, tried {}",
          self.request.id(),
          response.status,
          self.gateway.now_ms() - self.request.arrived_ms,
          self.tried.len()
        );
        self.mark_slower_endpoints();
        self.gateway.record_slot(&self.request.service);
        if response.status.is_success() {
          record_success(&self.gateway, &self.request, RoutedRequest::fingerprint);
          record_sound_segments(
            &self.gateway,
            &self.request,
            RoutedRequest::segment_fingerprints,
          );
        }
        return Some(forward(response));
      }
      Ok(response) => {
        log::info!(
          "E502 stage failed: {} at {endpoint}: status {}",
          self.request.id(),
          response.status
        );
        self.gateway.counters.endpoint_failures.inc();
        self.may_have_run = true;
        self.failure = Some(response);
      }
      Err(error) => {
        log::info!(
          "E502 stage failed: {} at {endpoint}: {error}",
          self.request.id()
        );
        self.may_have_run |= !error.has_not_run();
        if matches!(error, StageError::NotRun(_)) {
          self.gateway.record_full(&self.request.service);
        }
        if error.is_unsent() {
          // Not an attempt: the endpoint never received it.
          self.unsent += 1;
          self.without_permit += u32::from(error.is_without_permit());
          self.reroute();
        } else {
          self.unused_retry = None;
        }
      }
    }
    None
  }

  /// Sends the request to a further endpoint, if its route and the retry budget allow.
  async fn retry(&mut self) -> bool {
    let Some(entry) = self.choose_for_retry() else {
      return false;
    };
    let charge = take_retry(&self.gateway, &self.request, RetryNeed::Required).await;
    self.send_charged(entry, charge)
  }

  /// Sends the request to a second endpoint while it runs at the first, if its route and this box's share of the budget allow.
  fn hedge(&mut self) {
    if let Some(entry) = self.choose_for_retry() {
      let charge = take_own_retry(&self.gateway, &self.request);
      self.send_charged(entry, charge);
    }
  }

  /// The endpoint for a retry, if the request may be sent again.
  fn choose_for_retry(&self) -> Option<EndpointEntry> {
    let may_have_run = self.may_have_run || !self.running.is_empty();
    let attempts = self.tried.len() as u32 - self.unsent;
    let route = &self.request.route;
    let allowed = !self.request.is_blocked(&self.gateway)
      && (!may_have_run || (route.kind.may_retry() && attempts < route.max_attempts));
    if !allowed {
      return None;
    }
    self.choose()
  }

  fn send_charged(&mut self, entry: EndpointEntry, charge: Option<RetryCharge>) -> bool {
    let Some(charge) = charge else {
      return false;
    };
    self.gateway.counters.retries.inc();
    self.unused_retry = Some(charge);
    self.send_to(entry);
    true
  }

  /// Sends a request that an endpoint never received to another one. If there is none, returns an unused retry to the budget.
  fn reroute(&mut self) {
    let may_start = self.unsent - self.without_permit < MAX_UNSENT;
    if may_start && self.start() {
      return;
    }
    if let Some(charge) = self.unused_retry.take() {
      charge.give_back(&self.gateway, &self.request.service);
    }
  }

  /// Records the endpoints that were sent the request but have not responded yet as slower than the one that has.
  fn mark_slower_endpoints(&self) {
    for endpoint in &self.awaited {
      self.gateway.endpoints.borrow_mut().mark_outrun(endpoint);
    }
  }

  /// Sends the request to the best untried endpoint; `false` when there is none.
  fn start(&mut self) -> bool {
    if self.request.is_blocked(&self.gateway) {
      return false;
    }
    let Some(entry) = self.choose() else {
      return false;
    };
    self.send_to(entry);
    true
  }

  /// The best untried endpoint.
  fn choose(&self) -> Option<EndpointEntry> {
    let choice = self.gateway.choose(EndpointCriteria {
      allowed_halls: &self.request.allowed_halls,
      hall: self.gateway.preferred_hall(),
      is_retryable: self.request.route.kind.may_retry(),
      role: None,
      service: &self.request.service,
      size: 1,
      tried: &self.tried,
      version: None,
    });
    choice.map(|choice| choice.entry)
  }

  fn send_to(&mut self, entry: EndpointEntry) {
    let gateway = &self.gateway;
    self.tried.push(entry.id.clone());
    self.awaited.push(entry.id.clone());
    let proxy_headers = self.request.proxy_headers(Stage::Full, gateway.now_ms());
    let attempt = send_attempt(gateway.clone(), self.request.clone(), entry, proxy_headers);
    self.running.push(attempt.boxed_local());
  }

  /// The response when no further endpoint may be tried.
  fn give_up(self) -> Response<ResponseBody> {
    if let Some(response) = self.failure {
      log::info!(
        "E508 answered: {} with status {}, {} ms after arrival, tried {}",
        self.request.id(),
        response.status,
        self.gateway.now_ms() - self.request.arrived_ms,
        self.tried.len()
      );
      return forward(response);
    }
    if self.may_have_run {
      return LocalReply::Unknown.response();
    }
    self.reject(RETRY_AFTER_FULL_MS)
  }

  /// Rejects a request that has not run, with a retry-after delay.
  fn reject(&self, default_ms: u64) -> Response<ResponseBody> {
    let service = &self.request.service;
    let retry_after_ms = retry_after_ms(&self.gateway, &self.request, default_ms);
    log::info!(
      "E501 rejected: {} {service} with status 503, tried {}, {}, retry after {retry_after_ms} ms",
      self.request.id(),
      self.tried.len(),
      self.gateway.endpoint_summary(service)
    );
    LocalReply::NotRun { retry_after_ms }.response()
  }

  /// The response at the deadline.
  fn time_out(self) -> Response<ResponseBody> {
    let waits_for_memory = self.request.waits_for_memory.get() > 0;
    if waits_for_memory {
      log::info!(
        "E586 response waited for memory until the deadline: {}",
        self.request.id()
      );
    } else {
      for endpoint in &self.awaited {
        self.gateway.mark_overdue(endpoint);
      }
    }
    log::info!("E503 timed out: {} at {:?}", self.request.id(), self.tried);
    match self.failure {
      Some(response) => forward(response),
      None => LocalReply::TimedOut.response(),
    }
  }
}

async fn send_attempt(
  gateway: Rc<Gateway>,
  request: Rc<RoutedRequest>,
  entry: EndpointEntry,
  proxy_headers: ProxyHeaders,
) -> (Name, Result<BufferedResponse, StageError>) {
  let sent_ms = gateway.now_ms();
  let result = fetch_response(&gateway, &request, &entry, &proxy_headers).await;
  let id = entry.id.clone();
  if let Err(StageError::Lost(error)) = &result {
    let error = error.clone();
    let lost = LostStage {
      answering_ms: None,
      entry,
      error,
      fingerprint: request.fingerprint(),
      segments: request.segment_fingerprints(),
      sent_ms,
    };
    record_lost_stage(&gateway, &request, lost).await;
  }
  (id, result)
}

async fn fetch_response(
  gateway: &Rc<Gateway>,
  request: &RoutedRequest,
  entry: &EndpointEntry,
  proxy_headers: &ProxyHeaders,
) -> Result<BufferedResponse, StageError> {
  let head = send_stage(
    gateway,
    request,
    OutgoingStage::new(entry, proxy_headers, 1, 1),
  )
  .await?;
  let has_receipt = head.attributes.has_receipt;
  let response = head.buffer(gateway, request).await?;
  if response.status.is_success() && !has_receipt {
    return Err(StageError::Lost("success without a receipt".into()));
  }
  Ok(response)
}

fn forward(response: BufferedResponse) -> Response<ResponseBody> {
  forward_response(
    &response.entry,
    response.status,
    response.headers,
    buffered_body(response.body),
  )
}
