//! A request that is answered whole: one endpoint after another, as far as its route and the budget allow.

use {
  super::answer::{LocalReply, ResponseBody, forward_response, full_body},
  crate::{
    gateway::{
      decisions::{RETRY_AFTER_FULL_MS, RETRY_AFTER_NO_ENDPOINT_MS, Wanted},
      edge::{EndpointEntry, ProxyHeaders, Stage},
      quarantine::{LostPart, note_lost, note_whole},
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

/// Part of the wanted latency after which a repeatable request is sent to a second endpoint too.
const HEDGE_SHARE: f64 = 0.6;

/// Endpoints that may turn out not to be reachable before a request is refused.
const MAX_UNSENT: u32 = 4;

type Try = LocalBoxFuture<'static, (Name, Result<BufferedResponse, StageError>)>;

/// How a request that is answered whole stands.
struct PlainRequest {
  gateway: Rc<Gateway>,
  request: Rc<RoutedRequest>,
  tried: Vec<Name>,
  /// Of these, the endpoints that never saw it.
  unsent: u32,
  /// Of those, the ones at which there was no place for it.
  without_permit: u32,
  /// Whether a repeat was taken from the budget that no endpoint has seen.
  has_repeat_left: bool,
  running: FuturesUnordered<Try>,
  /// The endpoints that have not answered yet.
  awaited: Vec<Name>,
  /// An endpoint's own failure, passed on when nothing better comes.
  failure: Option<BufferedResponse>,
  /// Whether a lost endpoint may have run it.
  perhaps_run: bool,
}

/// Answers a request.
pub(crate) async fn answer_plain(
  gateway: Rc<Gateway>,
  request: Rc<RoutedRequest>,
) -> Response<ResponseBody> {
  let mut plain = PlainRequest {
    awaited: Vec::new(),
    failure: None,
    gateway,
    has_repeat_left: false,
    perhaps_run: false,
    request,
    running: FuturesUnordered::new(),
    tried: Vec::new(),
    unsent: 0,
    without_permit: 0,
  };
  if !plain.start() {
    return plain.refuse(RETRY_AFTER_NO_ENDPOINT_MS);
  }
  plain.run().await
}

impl PlainRequest {
  /// Waits for an answer, the deadline, or the time to send the request to a second endpoint too.
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
          if let Some(response) = self.judge(&endpoint, result) {
            return response;
          }
          if self.running.is_empty() && !self.start_again() {
            return self.give_up();
          }
        }
        () = &mut deadline => return self.time_out(),
        () = &mut hedge, if may_hedge => {
          may_hedge = false;
          self.start_again();
        }
      }
    }
  }

  /// What an endpoint's answer means; nothing when another endpoint may be asked.
  fn judge(
    &mut self,
    endpoint: &Name,
    result: Result<BufferedResponse, StageError>,
  ) -> Option<Response<ResponseBody>> {
    match result {
      Ok(answer) if !answer.status.is_server_error() => {
        log::info!(
          "E508 answered: {} by {endpoint} with status {}, {} ms after arrival, tried {}",
          self.request.id(),
          answer.status,
          self.gateway.now_ms() - self.request.arrived_ms,
          self.tried.len()
        );
        self.note_slower_endpoints();
        if answer.status.is_success() {
          note_whole(&self.gateway, &self.request, RoutedRequest::fingerprint);
        }
        return Some(pass_on(answer));
      }
      Ok(answer) => {
        log::info!(
          "E502 part failed: {} at {endpoint}: status {}",
          self.request.id(),
          answer.status
        );
        self.gateway.counters.endpoint_failures.inc();
        self.perhaps_run = true;
        self.failure = Some(answer);
      }
      Err(error) => {
        log::info!(
          "E502 part failed: {} at {endpoint}: {error}",
          self.request.id()
        );
        self.perhaps_run |= !error.has_not_run();
        if error.is_unsent() {
          // The endpoint never saw it: it counts as no attempt.
          self.unsent += 1;
          self.without_permit += u32::from(error.is_without_permit());
          self.go_elsewhere();
        } else {
          self.has_repeat_left = false;
        }
      }
    }
    None
  }

  /// Sends the request to a further endpoint as a repeat, if its route and the budget allow.
  fn start_again(&mut self) -> bool {
    let may_have_run = self.perhaps_run || !self.running.is_empty();
    let attempts = self.tried.len() as u32 - self.unsent;
    let route = &self.request.route;
    let allowed = !self.request.is_blocked(&self.gateway)
      && (!may_have_run || (route.kind.may_retry() && attempts < route.max_attempts));
    if !allowed {
      return false;
    }
    let Some(entry) = self.choose() else {
      return false;
    };
    if !self.gateway.take_repeat(&self.request.service) {
      return false;
    }
    self.gateway.counters.repeats.inc();
    self.has_repeat_left = true;
    self.send_to(entry);
    true
  }

  /// Sends what an endpoint never saw to another one. Where there is none, a repeat that was taken for it goes back.
  fn go_elsewhere(&mut self) {
    let may_start = self.unsent - self.without_permit < MAX_UNSENT;
    if may_start && self.start() {
      return;
    }
    if std::mem::take(&mut self.has_repeat_left) {
      self.gateway.give_repeat_back(&self.request.service);
    }
  }

  /// Endpoints that were asked first and have still not answered count as failing, for the choice to come.
  fn note_slower_endpoints(&self) {
    for endpoint in &self.awaited {
      self.gateway.book.borrow_mut().outrun(endpoint);
    }
  }

  /// Sends the request to the best endpoint not tried yet; `false` when there is none.
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

  /// The best endpoint not tried yet.
  fn choose(&self) -> Option<EndpointEntry> {
    let choice = self.gateway.choose(Wanted {
      allowed_halls: &self.request.allowed_halls,
      hall: self.gateway.preferred_hall(),
      may_retry: self.request.route.kind.may_retry(),
      role: None,
      service: &self.request.service,
      size: 1,
      tried: &self.tried,
    });
    choice.map(|choice| choice.entry)
  }

  fn send_to(&mut self, entry: EndpointEntry) {
    let gateway = &self.gateway;
    self.tried.push(entry.id.clone());
    self.awaited.push(entry.id.clone());
    let proxy_headers = self
      .request
      .proxy_headers(&entry, Stage::Full, gateway.now_ms());
    let asking = ask_endpoint(gateway.clone(), self.request.clone(), entry, proxy_headers);
    self.running.push(asking.boxed_local());
  }

  /// The answer when no further endpoint may be asked.
  fn give_up(self) -> Response<ResponseBody> {
    if let Some(answer) = self.failure {
      log::info!(
        "E508 answered: {} with status {}, {} ms after arrival, tried {}",
        self.request.id(),
        answer.status,
        self.gateway.now_ms() - self.request.arrived_ms,
        self.tried.len()
      );
      return pass_on(answer);
    }
    if self.perhaps_run {
      return LocalReply::Unknown.response();
    }
    self.refuse(RETRY_AFTER_FULL_MS)
  }

  /// Tells the caller at once that it has not run, and when to come back.
  fn refuse(&self, otherwise_ms: u64) -> Response<ResponseBody> {
    let service = &self.request.service;
    let retry_after_ms = self.gateway.retry_after_ms(service, otherwise_ms);
    log::info!(
      "E501 refused: {} {service} with status 503, tried {}, {}, to come back in {retry_after_ms} ms",
      self.request.id(),
      self.tried.len(),
      self.gateway.count_endpoints(service)
    );
    LocalReply::NotRun { retry_after_ms }.response()
  }

  /// The answer at the deadline.
  fn time_out(self) -> Response<ResponseBody> {
    for endpoint in &self.awaited {
      self.gateway.overdue(endpoint);
    }
    log::info!("E503 timed out: {} at {:?}", self.request.id(), self.tried);
    match self.failure {
      Some(answer) => pass_on(answer),
      None => LocalReply::TimedOut.response(),
    }
  }
}

async fn ask_endpoint(
  gateway: Rc<Gateway>,
  request: Rc<RoutedRequest>,
  entry: EndpointEntry,
  proxy_headers: ProxyHeaders,
) -> (Name, Result<BufferedResponse, StageError>) {
  let sent_ms = gateway.now_ms();
  let answer = whole_answer(&gateway, &request, &entry, &proxy_headers).await;
  let id = entry.id.clone();
  if let Err(StageError::Lost(error)) = &answer {
    let error = error.clone();
    let lost = LostPart {
      entry,
      error,
      fingerprint: request.fingerprint(),
      sent_ms,
    };
    note_lost(&gateway, &request, lost).await;
  }
  (id, answer)
}

async fn whole_answer(
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
  let answer = head.buffer(gateway).await?;
  if answer.status.is_success() && !has_receipt {
    return Err(StageError::Lost("success without a receipt".into()));
  }
  Ok(answer)
}

fn pass_on(answer: BufferedResponse) -> Response<ResponseBody> {
  forward_response(answer.status, answer.headers, full_body(answer.body))
}
