//! The HTTP API of the engine stand-in.

use {
  super::{
    answer_text::{stamped_token, token_text},
    state::{Attempt, EngineStandIn, EngineTally, Export},
  },
  axum::{
    Json, Router,
    body::Body,
    extract::{Query, State},
    response::{IntoResponse, Response},
    routing::{get, post},
  },
  bytes::Bytes,
  http::StatusCode,
  rillford::{
    decide::{CancelAnswer, Role},
    endpoint_api::{
      AttemptsReply, BYTES_PER_TOKEN, CacheEventsReply, CancelReply, CancelRequest,
      CommandRejection, DecodeChunk, DecodeRequest, FinishReason, HoldsReply, HoldsRequest,
      ImportRequest, ImportResponse, PrefillRequest, PrefillResponse, RejectionReply, RoleRequest,
      prefix_blocks,
    },
    ids::AttemptId,
  },
  serde::Deserialize,
  std::{convert::Infallible, sync::Arc, time::Duration},
  tokio::{
    sync::{Notify, mpsc},
    time::{Instant, sleep},
  },
};

const BLOCK_TOKENS: u64 = 128;
const CHUNK_BUFFER: usize = 16;
const STALL_CHECK_PERIOD: Duration = Duration::from_millis(10);

impl EngineStandIn {
  pub fn router(&self) -> Router {
    Router::new()
      .route("/v1/prefill", post(prefill))
      .route("/v1/export", post(export))
      .route("/v1/import", post(import))
      .route("/v1/decode", post(decode))
      .route("/v1/cancel", post(cancel))
      .route("/v1/holds", post(holds))
      .route("/v1/attempts", get(attempts))
      .route("/v1/load", get(load))
      .route("/v1/cache-events", get(cache_events))
      .route("/v1/role", post(role))
      .route("/tally", get(tally))
      .route("/switch", post(switch))
      .with_state(self.clone())
  }
}

fn reject(status: StatusCode, rejection: CommandRejection) -> Response {
  (status, Json(RejectionReply { refusal: rejection })).into_response()
}

fn full() -> Response {
  reject(StatusCode::TOO_MANY_REQUESTS, CommandRejection::Full)
}

fn cancelled() -> Response {
  reject(StatusCode::CONFLICT, CommandRejection::Cancelled)
}

impl EngineStandIn {
  /// Registers an attempt, or returns the response that rejects it.
  fn admit(
    &self,
    attempt: &AttemptId,
    role: Role,
    hold_ms: u64,
  ) -> Result<Arc<Notify>, Box<Response>> {
    let mut inner = self.inner();
    if inner.faults.fail_before {
      return Err(Box::new(StatusCode::INTERNAL_SERVER_ERROR.into_response()));
    }
    if inner.tombstones.contains(attempt) {
      return Err(Box::new(cancelled()));
    }
    if inner.role != role {
      let rejection = reject(
        StatusCode::SERVICE_UNAVAILABLE,
        CommandRejection::NotServing,
      );
      return Err(Box::new(rejection));
    }
    if inner.faults.full || inner.attempts.len() >= self.options.slots as usize {
      return Err(Box::new(full()));
    }
    let cancelled = Arc::new(Notify::new());
    inner.attempts.insert(
      attempt.clone(),
      Attempt {
        began: false,
        cancelled: cancelled.clone(),
        export: None,
        hold_until: Instant::now() + Duration::from_millis(hold_ms),
        imported: None,
      },
    );
    Ok(cancelled)
  }

  fn mark_begun(&self, attempt: &AttemptId) {
    if let Some(held) = self.inner().attempts.get_mut(attempt) {
      held.began = true;
    }
  }

  async fn run_prefill(&self, request: PrefillRequest, cancelled: Arc<Notify>) -> Response {
    let text = format!("{}{}", request.prompt, request.answered);
    let prompt_tokens = (text.len() as u64).div_ceil(BYTES_PER_TOKEN);
    let blocks = prefix_blocks(&request.prompt);
    let cached_tokens = {
      let inner = self.inner();
      let found = blocks
        .iter()
        .take_while(|block| inner.cached.contains(block));
      found.count() as u64 * BLOCK_TOKENS
    };
    let uncached = prompt_tokens.saturating_sub(cached_tokens);
    self.inner().queue_tokens += uncached;
    let work = async {
      let _guard = self.prefill_lock.lock().await;
      self.mark_begun(&request.attempt);
      self.inner().tally.prefills += 1;
      if self.inner().faults.stall_prefill {
        std::future::pending::<()>().await;
      }
      let prefill_us = uncached * 1_000_000 / self.options.prefill_tokens_per_s.max(1);
      sleep(Duration::from_micros(prefill_us)).await;
      self.inner().tally.prefilled_tokens += uncached;
    };
    let done = tokio::select! {
      () = work => true,
      () = cancelled.notified() => false,
    };
    let mut inner = self.inner();
    inner.queue_tokens = inner.queue_tokens.saturating_sub(uncached);
    if !done {
      return self::cancelled();
    }
    if inner.faults.fail_after {
      return StatusCode::INTERNAL_SERVER_ERROR.into_response();
    }
    for block in blocks {
      if inner.cached.insert(block) {
        inner.cache_events.push(block);
      }
    }
    let kv_bytes = prompt_tokens * self.options.kv_bytes_per_token;
    let Some(held) = inner.attempts.get_mut(&request.attempt) else {
      return self::cancelled();
    };
    held.export = Some(Export {
      answered: request.answered.to_string(),
      kv_bytes,
      prompt: request.prompt.to_string(),
    });
    drop(inner);
    self.schedule_export_expiry(request.attempt);
    Json(PrefillResponse {
      cached_tokens,
      kv_bytes,
      prompt_tokens,
    })
    .into_response()
  }

  /// Drops the export of an attempt once its retention period is over.
  fn schedule_export_expiry(&self, attempt: AttemptId) {
    let engine = self.clone();
    tokio::spawn(async move {
      sleep(Duration::from_millis(engine.options.export_ttl_ms)).await;
      let mut inner = engine.inner();
      if inner.attempts.remove(&attempt).is_some() {
        inner.tally.expired_exports += 1;
      }
    });
  }
}

async fn prefill(
  State(engine): State<EngineStandIn>,
  Json(request): Json<PrefillRequest>,
) -> Response {
  let admitted = engine.admit(&request.attempt, Role::Prefill, request.hold_ms);
  let cancelled = match admitted {
    Ok(cancelled) => cancelled,
    Err(rejection) => return *rejection,
  };
  // The work continues when the connection closes: only a cancel stops it.
  let work = tokio::spawn(async move { engine.run_prefill(request, cancelled).await });
  work
    .await
    .unwrap_or_else(|_| StatusCode::INTERNAL_SERVER_ERROR.into_response())
}

async fn export(
  State(engine): State<EngineStandIn>,
  Json(request): Json<CancelRequest>,
) -> Response {
  let mut inner = engine.inner();
  let export = inner
    .attempts
    .get(&request.attempt)
    .and_then(|held| held.export.clone());
  match export {
    Some(export) => {
      inner.attempts.remove(&request.attempt);
      Json(export).into_response()
    }
    None => reject(StatusCode::GONE, CommandRejection::ExportGone),
  }
}

async fn import(
  State(engine): State<EngineStandIn>,
  Json(request): Json<ImportRequest>,
) -> Response {
  let admitted = engine.admit(&request.attempt, Role::Decode, request.hold_ms);
  let cancelled = match admitted {
    Ok(cancelled) => cancelled,
    Err(rejection) => return *rejection,
  };
  let work = tokio::spawn(async move { transfer_kv(&engine, &request, &cancelled).await });
  work
    .await
    .unwrap_or_else(|_| StatusCode::INTERNAL_SERVER_ERROR.into_response())
}

async fn transfer_kv(
  engine: &EngineStandIn,
  request: &ImportRequest,
  cancelled: &Notify,
) -> Response {
  let fetch = async {
    if engine.inner().faults.stall_transfer {
      std::future::pending::<()>().await;
    }
    let _guard = engine.link_lock.lock().await;
    let export_request = CancelRequest {
      attempt: request.attempt.clone(),
    };
    let uri = format!("{}/v1/export", request.source_url);
    let timeout = Duration::from_secs(2);
    let export = rillford::HttpClient::default()
      .post::<_, Export>(&uri, &export_request, timeout)
      .await
      .ok()?;
    let transfer_us = export.kv_bytes * 1_000_000 / engine.options.link_bytes_per_s.max(1);
    sleep(Duration::from_micros(transfer_us)).await;
    Some(export)
  };
  let fetched = tokio::select! {
    fetched = fetch => fetched,
    () = cancelled.notified() => return self::cancelled(),
  };
  let mut inner = engine.inner();
  let Some(export) = fetched else {
    inner.attempts.remove(&request.attempt);
    return reject(StatusCode::GONE, CommandRejection::ExportGone);
  };
  let kv_bytes = export.kv_bytes;
  match inner.attempts.get_mut(&request.attempt) {
    Some(held) => held.imported = Some(export),
    None => return self::cancelled(),
  }
  Json(ImportResponse { kv_bytes }).into_response()
}

async fn decode(
  State(engine): State<EngineStandIn>,
  Json(request): Json<DecodeRequest>,
) -> Response {
  let (cancelled, export) = {
    let mut inner = engine.inner();
    let Some(held) = inner.attempts.get_mut(&request.attempt) else {
      return reject(StatusCode::GONE, CommandRejection::ExportGone);
    };
    let Some(export) = held.imported.clone() else {
      return reject(StatusCode::GONE, CommandRejection::ExportGone);
    };
    held.began = true;
    let cancelled = held.cancelled.clone();
    inner.tally.decodes += 1;
    (cancelled, export)
  };
  let (sender, receiver) = mpsc::channel::<Bytes>(CHUNK_BUFFER);
  tokio::spawn(async move {
    tokio::select! {
      () = stream_tokens(&engine, &request, &export, sender) => {}
      () = cancelled.notified() => {}
    }
  });
  let lines = futures_util::stream::unfold(receiver, |mut receiver| async move {
    let bytes = receiver.recv().await?;
    Some((Ok::<_, Infallible>(bytes), receiver))
  });
  Body::from_stream(lines).into_response()
}

fn ndjson_line(chunk: &DecodeChunk) -> Bytes {
  let mut bytes = serde_json::to_vec(chunk).unwrap_or_default();
  bytes.push(b'\n');
  bytes.into()
}

/// Streams the completion token by token. Generation continues after the caller disconnects: failed sends are ignored.
async fn stream_tokens(
  engine: &EngineStandIn,
  request: &DecodeRequest,
  export: &Export,
  sender: mpsc::Sender<Bytes>,
) {
  let mut offset = 0;
  let mut held_back = None;
  for index in 0..request.max_tokens {
    let text = if engine.options.stamps_tokens {
      stamped_token(index)
    } else {
      token_text(&export.prompt, index)
    };
    let begin = offset;
    offset += text.len() as u64;
    if offset <= request.offset {
      continue;
    }
    sleep(Duration::from_millis(engine.options.token_ms)).await;
    let text = if engine.options.stamps_tokens {
      stamped_token(index)
    } else {
      text
    };
    while engine.stalls_decode(index) {
      sleep(STALL_CHECK_PERIOD).await;
    }
    let faults = engine.inner().faults.clone();
    if faults.cut_decode_after.is_some_and(|after| index >= after) {
      return;
    }
    let last = index + 1 == request.max_tokens;
    let chunk = DecodeChunk {
      attempt: request.attempt.clone(),
      finish: last.then_some(FinishReason::Stop),
      offset: begin + faults.shift_offset,
      text,
      tokens: 1,
    };
    if faults.malformed_line {
      let _ = sender.send("{\"attempt\": 7}\n".into()).await;
    }
    if faults.endless_line {
      let _ = sender.send(vec![b'x'; 128 * 1024].into()).await;
    }
    if faults.foreign_chunks {
      let foreign = DecodeChunk {
        attempt: AttemptId {
          attempt: chunk.attempt.attempt + 70,
          ..chunk.attempt.clone()
        },
        text: "foreign ".into(),
        ..chunk.clone()
      };
      let _ = sender.send(ndjson_line(&foreign)).await;
    }
    if faults.swap_chunks && !last && held_back.is_none() {
      held_back = Some(chunk);
      continue;
    }
    let _ = sender.send(ndjson_line(&chunk)).await;
    if faults.double_chunks {
      let _ = sender.send(ndjson_line(&chunk)).await;
    }
    if let Some(earlier) = held_back.take() {
      let _ = sender.send(ndjson_line(&earlier)).await;
    }
  }
  let mut inner = engine.inner();
  inner.attempts.remove(&request.attempt);
  inner.tally.finished += 1;
}

async fn cancel(
  State(engine): State<EngineStandIn>,
  Json(request): Json<CancelRequest>,
) -> Response {
  let drops_response = {
    let mut inner = engine.inner();
    let drops_response = inner.faults.lose_cancel_answers > 0;
    inner.faults.lose_cancel_answers = inner.faults.lose_cancel_answers.saturating_sub(1);
    drops_response
  };
  let answer = {
    let mut inner = engine.inner();
    inner.tombstones.insert(request.attempt.clone());
    match inner.attempts.remove(&request.attempt) {
      Some(held) => {
        held.cancelled.notify_one();
        inner.tally.cancels += 1;
        if held.began {
          CancelAnswer::Cancelled
        } else {
          CancelAnswer::NeverBegan
        }
      }
      None => CancelAnswer::UnknownAttempt,
    }
  };
  if drops_response {
    std::future::pending::<()>().await;
  }
  Json(CancelReply { answer }).into_response()
}

async fn holds(State(engine): State<EngineStandIn>, Json(request): Json<HoldsRequest>) -> Response {
  if engine.inner().faults.deaf_to_holds {
    return StatusCode::SERVICE_UNAVAILABLE.into_response();
  }
  let until = Instant::now() + Duration::from_millis(request.hold_ms);
  let mut unknown = Vec::new();
  let mut inner = engine.inner();
  for attempt in request.attempts {
    match inner.attempts.get_mut(&attempt) {
      Some(held) => held.hold_until = until,
      None => unknown.push(attempt),
    }
  }
  Json(HoldsReply { unknown }).into_response()
}

async fn attempts(State(engine): State<EngineStandIn>) -> Json<AttemptsReply> {
  Json(AttemptsReply {
    attempts: engine.held_attempts(),
  })
}

async fn load(State(engine): State<EngineStandIn>) -> Response {
  if engine.inner().faults.reject_load_polls {
    return StatusCode::SERVICE_UNAVAILABLE.into_response();
  }
  Json(engine.load()).into_response()
}

#[derive(Deserialize)]
struct Since {
  #[serde(default)]
  since: u64,
}

async fn cache_events(
  State(engine): State<EngineStandIn>,
  Query(query): Query<Since>,
) -> Json<CacheEventsReply> {
  let inner = engine.inner();
  let skip = usize::try_from(query.since).unwrap_or(usize::MAX);
  Json(CacheEventsReply {
    blocks: inner.cache_events.iter().skip(skip).copied().collect(),
    next: inner.cache_events.len() as u64,
  })
}

async fn role(State(engine): State<EngineStandIn>, Json(request): Json<RoleRequest>) -> Response {
  let mut inner = engine.inner();
  if engine.options.checks_fence && request.fence < inner.fence {
    inner.tally.stale_fences += 1;
    return reject(StatusCode::CONFLICT, CommandRejection::OldFence);
  }
  inner.fence = inner.fence.max(request.fence);
  inner.tally.role_orders.push(request.fence);
  inner.role = request.role;
  inner.last_report = None;
  Json(serde_json::json!({})).into_response()
}

async fn tally(State(engine): State<EngineStandIn>) -> Json<EngineTally> {
  Json(engine.tally())
}

async fn switch(
  State(engine): State<EngineStandIn>,
  Json(faults): Json<super::EngineFaults>,
) -> StatusCode {
  engine.set_faults(faults);
  StatusCode::NO_CONTENT
}
