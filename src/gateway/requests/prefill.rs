//! Prefills a prompt at one engine for the engine that decodes.

use {
  crate::{
    decide::Role,
    gateway::{
      decisions::{Choice, EndpointCriteria, share_over},
      edge::{EndpointEntry, LoadHeader, Stage},
      prefill_queue::{NoPlace, ReservedPlace, reserve_place},
      quarantine::{LostStage, record_lost_stage, record_sound_segments, record_success},
      stages::{ExportGuard, OutgoingStage, RoutedRequest, StageError, send_stage},
      state::Gateway,
    },
    ids::Name,
  },
  std::{rc::Rc, time::Duration},
  tokio::time::timeout,
};

/// Timeout of a prefill: this much for queueing, and [`PREFILL_TIMEOUT_US_PER_TOKEN`] for each token.
const PREFILL_BASE_TIMEOUT_MS: u64 = 900;
/// Microseconds for each token of the prompt and of the prompts queued before it.
const PREFILL_TIMEOUT_US_PER_TOKEN: u64 = 50;
/// Fraction of the latency target that a prefill may be expected to take before some prompts bypass the prefill engines.
const MAX_PREFILL_SHARE: f64 = 0.7;
/// Engines that may turn out to be unreachable.
const MAX_UNREACHABLE: usize = 3;

/// The result of a separate prefill.
pub(crate) struct PrefillResult {
  /// The exported KV cache; `None` when the decode engine has to prefill the prompt itself.
  pub(crate) export: Option<ExportGuard>,
  /// Whether a prefill engine received the request.
  pub(crate) was_received: bool,
  /// The place in the engine's queue, or why there was none, for logs; `None` when places are not used.
  pub(crate) queue_note: Option<String>,
}

impl PrefillResult {
  fn without_export(was_received: bool) -> Self {
    Self {
      export: None,
      queue_note: None,
      was_received,
    }
  }
}

/// The engine that a prompt is sent to.
struct PrefillTarget {
  entry: EndpointEntry,
  tokens_ahead: u64,
  place: Result<ReservedPlace, NoPlace>,
}

impl PrefillTarget {
  fn queue_note(&self) -> Option<String> {
    match &self.place {
      Ok(place) => Some(place.summary()),
      Err(NoPlace::Off) => None,
      Err(reason) => Some(format!("no queue place: {reason}")),
    }
  }
}

/// Prefills the prompt, preferably in the hall of the decode engine: a transfer between halls is slower.
pub(crate) async fn prefill(
  gateway: &Rc<Gateway>,
  request: &Rc<RoutedRequest>,
  hall: &Name,
) -> PrefillResult {
  // The prompt's prefill is quarantined, but a decode engine may still run the whole request.
  if request.is_prefill_blocked(gateway) {
    return PrefillResult::without_export(false);
  }
  let mut tried = Vec::new();
  for _ in 0..MAX_UNREACHABLE {
    let Some(mut target) = choose_target(gateway, request, hall, &tried).await else {
      break;
    };
    let sent_ms = gateway.now_ms();
    let result = prefill_at(gateway, request, &mut target).await;
    let queue_note = target.queue_note();
    // What became of the place is reported before a loss is examined, which takes a while.
    let PrefillTarget { entry, place, .. } = target;
    drop(place);
    match result {
      Ok(handle) => {
        record_success(gateway, request, RoutedRequest::prefill_fingerprint);
        record_sound_segments(
          gateway,
          request,
          RoutedRequest::prefill_segment_fingerprints,
        );
        let ttl_ms = export_ttl_ms(gateway, request);
        return PrefillResult {
          was_received: true,
          queue_note,
          export: Some(ExportGuard::new(gateway, &entry, handle, ttl_ms)),
        };
      }
      Err(error) => {
        log::info!(
          "E505 prefill failed: {} at {}: {error}",
          request.id(),
          entry.id
        );
        if let StageError::Lost(error) = &error {
          let error = format!("prefill failed: {error}");
          let lost = LostStage {
            answering_ms: None,
            entry: entry.clone(),
            error,
            fingerprint: request.prefill_fingerprint(),
            segments: request.prefill_segment_fingerprints(),
            sent_ms,
          };
          record_lost_stage(gateway, request, lost).await;
        }
        if !error.is_unsent() {
          return PrefillResult::without_export(true);
        }
        tried.push(entry.id);
      }
    }
  }
  PrefillResult::without_export(false)
}

/// The engine where a place is reserved, or the one that is best by what this box knows; `None` when there is none, or the prefill
/// engines are bypassed.
async fn choose_target(
  gateway: &Rc<Gateway>,
  request: &Rc<RoutedRequest>,
  hall: &Name,
  tried: &[Name],
) -> Option<PrefillTarget> {
  let no_place = match reserve_place(gateway, request, hall, tried).await {
    Ok(place) if bypasses_place(gateway, request, &place) => return None,
    Ok(place) => {
      return Some(PrefillTarget {
        entry: place.entry.clone(),
        tokens_ahead: place.offer.place.tokens_ahead,
        place: Ok(place),
      });
    }
    Err(reason) => reason,
  };
  let choice = gateway.choose(EndpointCriteria {
    allowed_halls: &request.allowed_halls,
    hall,
    is_retryable: true,
    role: Some(Role::Prefill),
    service: &request.service,
    size: request.attributes.prompt_tokens.max(1),
    tried,
    version: None,
  })?;
  if bypasses_prefill(gateway, request, &choice) {
    return None;
  }
  Some(PrefillTarget {
    entry: choice.entry,
    place: Err(no_place),
    tokens_ahead: choice.queued_ahead,
  })
}

/// Whether the decode engine is to prefill the prompt although a place is reserved: it is expected to miss the latency target. The
/// later it is expected to end, the more prompts bypass the prefill engines.
fn bypasses_place(gateway: &Gateway, request: &RoutedRequest, reserved: &ReservedPlace) -> bool {
  let expected_ms = reserved.offer.end_in_ms();
  let due_ms = request.arrived_ms + request.route.target_ms;
  if gateway.now_ms().saturating_add(expected_ms) <= due_ms
    || !gateway.settings.mechanisms.prefill_bypass
  {
    return false;
  }
  if gateway.draw() >= share_over(expected_ms, max_prefill_ms(request)) {
    return false;
  }
  log::info!(
    "E517 prefill engines bypassed: {} was expected to take {expected_ms} ms at {}, the earliest queue place",
    request.id(),
    reserved.entry.id
  );
  true
}

/// How long a prefill may be expected to take before some prompts bypass the prefill engines.
fn max_prefill_ms(request: &RoutedRequest) -> f64 {
  request.route.target_ms as f64 * MAX_PREFILL_SHARE
}

/// Whether the decode engine is to prefill the prompt, because the prefill engines are overloaded. The longer their queues, the
/// more prompts bypass them; the remaining ones show when the queues are short again.
fn bypasses_prefill(gateway: &Gateway, request: &RoutedRequest, choice: &Choice) -> bool {
  let max_ms = max_prefill_ms(request);
  if !gateway.settings.mechanisms.prefill_bypass {
    return false;
  }
  if gateway.draw() >= choice.share_over(max_ms) {
    return false;
  }
  log::info!(
    "E517 prefill engines bypassed: {} was expected to take {:?} ms at {}",
    request.id(),
    choice.expected_ms,
    choice.entry.id
  );
  true
}

/// Prefills the prompt at one engine and returns the handle of the exported KV cache; sets the outcome of its place.
async fn prefill_at(
  gateway: &Rc<Gateway>,
  request: &Rc<RoutedRequest>,
  target: &mut PrefillTarget,
) -> Result<Name, StageError> {
  let Ok(place) = &mut target.place else {
    let sent = send_prefill(gateway, request, &target.entry, target.tokens_ahead, 0).await;
    return sent.map(|(handle, _)| handle);
  };
  place.set_sent();
  let expected_ms = place.offer.place.end_in_ms;
  let sent = send_prefill(
    gateway,
    request,
    &target.entry,
    target.tokens_ahead,
    expected_ms,
  )
  .await;
  match &sent {
    Ok((_, load)) => place.complete(*load),
    Err(StageError::Unavailable(_) | StageError::Blocked) => place.release(),
    Err(_) => place.lose(),
  }
  sent.map(|(handle, _)| handle)
}

/// Sends the prompt to one engine; returns the handle of the exported KV cache and the load that the engine reported.
async fn send_prefill(
  gateway: &Rc<Gateway>,
  request: &Rc<RoutedRequest>,
  entry: &EndpointEntry,
  tokens_ahead: u64,
  expected_ms: u64,
) -> Result<(Name, Option<LoadHeader>), StageError> {
  let tokens = request.attributes.prompt_tokens.max(1);
  let proxy_headers = request.proxy_headers(Stage::Prefill, gateway.now_ms());
  let work = tokens_ahead + tokens;
  // The coordinator knows engines that are slower than the usual time per token.
  let usual_ms = PREFILL_TIMEOUT_US_PER_TOKEN * work / 1_000;
  let timeout_ms = PREFILL_BASE_TIMEOUT_MS.saturating_add(usual_ms.max(expected_ms));
  let prefill = async {
    let stage = OutgoingStage::new(entry, &proxy_headers, tokens, work);
    let head = send_stage(gateway, request, stage).await?;
    let load = head.attributes.load;
    let response = head.buffer_json(gateway, request).await;
    response.map(|response| (response, load))
  };
  let Ok(response) = timeout(Duration::from_millis(timeout_ms), prefill).await else {
    gateway.mark_overdue(&entry.id);
    return Err(StageError::Lost(format!("no response in {timeout_ms} ms")));
  };
  let (response, load) = response?;
  if !response.status.is_success() {
    return Err(StageError::Lost(format!("status {}", response.status)));
  }
  gateway
    .codec
    .export_handle(&response.body.to_bytes())
    .map(|handle| (handle, load))
    .map_err(|error| StageError::Lost(error.to_string()))
}

/// How long an engine of the request's service retains an exported KV cache; 0 when its endpoints are not engines.
fn export_ttl_ms(gateway: &Gateway, request: &RoutedRequest) -> u64 {
  let table = gateway.route_table();
  let engine = table
    .as_ref()
    .and_then(|table| table.service(&request.service))
    .and_then(|service| service.engine);
  engine.map_or(0, |engine| engine.export_ttl_ms)
}
