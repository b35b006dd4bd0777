//! Prefills a prompt at one engine for the engine that decodes.

use {
  crate::{
    decide::Role,
    gateway::{
      decisions::{Choice, EndpointCriteria},
      edge::{EndpointEntry, Stage},
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
}

impl PrefillResult {
  fn without_export(was_received: bool) -> Self {
    Self {
      export: None,
      was_received,
    }
  }
}

/// Prefills the prompt, preferably in the hall of the decode engine: a transfer between halls is slower.
pub(crate) async fn prefill(
  gateway: &Rc<Gateway>,
  request: &Rc<RoutedRequest>,
  hall: &str,
) -> PrefillResult {
  // The prompt's prefill is quarantined, but a decode engine may still run the whole request.
  if request.is_prefill_blocked(gateway) {
    return PrefillResult::without_export(false);
  }
  let mut tried = Vec::new();
  for _ in 0..MAX_UNREACHABLE {
    let choice = gateway.choose(EndpointCriteria {
      allowed_halls: &request.allowed_halls,
      hall,
      is_retryable: true,
      role: Some(Role::Prefill),
      service: &request.service,
      size: request.attributes.prompt_tokens.max(1),
      tried: &tried,
      version: None,
    });
    let Some(choice) = choice else { break };
    if bypasses_prefill(gateway, request, &choice) {
      return PrefillResult::without_export(false);
    }
    let entry = choice.entry;
    let sent_ms = gateway.now_ms();
    match prefill_at(gateway, request, &entry, choice.queued_ahead).await {
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

/// Whether the decode engine is to prefill the prompt, because the prefill engines are overloaded. The longer their queues, the
/// more prompts bypass them; the remaining ones show when the queues are short again.
fn bypasses_prefill(gateway: &Gateway, request: &RoutedRequest, choice: &Choice) -> bool {
  let max_ms = request.route.target_ms as f64 * MAX_PREFILL_SHARE;
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

/// Prefills the prompt at one engine and returns the handle of the exported KV cache.
async fn prefill_at(
  gateway: &Rc<Gateway>,
  request: &Rc<RoutedRequest>,
  entry: &EndpointEntry,
  tokens_ahead: u64,
) -> Result<Name, StageError> {
  let tokens = request.attributes.prompt_tokens.max(1);
  let proxy_headers = request.proxy_headers(entry, Stage::Prefill, gateway.now_ms());
  let work = tokens_ahead + tokens;
  let timeout_ms = PREFILL_BASE_TIMEOUT_MS + PREFILL_TIMEOUT_US_PER_TOKEN * work / 1_000;
  let prefill = async {
    let stage = OutgoingStage::new(entry, &proxy_headers, tokens, work);
    let head = send_stage(gateway, request, stage).await?;
    head.buffer(gateway, request).await
  };
  let Ok(response) = timeout(Duration::from_millis(timeout_ms), prefill).await else {
    gateway.mark_overdue(&entry.id);
    return Err(StageError::Lost(format!("no response in {timeout_ms} ms")));
  };
  let response = response?;
  if !response.status.is_success() {
    return Err(StageError::Lost(format!("status {}", response.status)));
  }
  gateway
    .codec
    .export_handle(&response.body.to_bytes())
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
