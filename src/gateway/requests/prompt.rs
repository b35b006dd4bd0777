//! Having a prompt read by an engine for another one.

use {
  crate::{
    decide::Role,
    gateway::{
      decisions::{Choice, Wanted},
      edge::{EndpointEntry, Stage},
      quarantine::{LostPart, note_lost, note_whole},
      stages::{ExportGuard, OutgoingStage, RoutedRequest, StageError, send_stage},
      state::Gateway,
    },
    ids::Name,
  },
  std::{rc::Rc, time::Duration},
  tokio::time::timeout,
};

/// Time for reading a prompt: this much for queueing, and [`READ_US_PER_TOKEN`] for each token.
const READ_FLOOR_MS: u64 = 900;
/// Microseconds for each token of the prompt, and of the prompts ahead of it.
const READ_US_PER_TOKEN: u64 = 50;
/// Part of the wanted latency that a prompt may be expected to take before some are read by the engines that
/// write the answers. docs/design/platform.md has the shares that were tried.
const READING_SHARE: f64 = 0.7;
/// Engines that may turn out not to be reachable.
const MAX_UNREACHABLE: usize = 3;

/// What became of a prompt.
pub(crate) struct PromptReading {
  /// The prompt as an engine keeps it; nothing when the engine that writes the answer has to read it.
  pub(crate) export: Option<ExportGuard>,
  /// Whether an engine was reached.
  pub(crate) arrived: bool,
}

impl PromptReading {
  fn unread(arrived: bool) -> Self {
    Self {
      arrived,
      export: None,
    }
  }
}

/// Has the prompt read, best in the hall of the engine that writes the answer: a move between halls costs more.
pub(crate) async fn read_prompt(
  gateway: &Rc<Gateway>,
  request: &Rc<RoutedRequest>,
  hall: &str,
) -> PromptReading {
  // Engines that write answers read it themselves, and may survive it.
  if request.is_prefill_blocked(gateway) {
    return PromptReading::unread(false);
  }
  let mut tried = Vec::new();
  for _ in 0..MAX_UNREACHABLE {
    let choice = gateway.choose(Wanted {
      allowed_halls: &request.allowed_halls,
      hall,
      may_retry: true,
      role: Some(Role::Prefill),
      service: &request.service,
      size: request.attributes.prompt_tokens.max(1),
      tried: &tried,
    });
    let Some(choice) = choice else { break };
    if reads_itself(gateway, request, &choice) {
      return PromptReading::unread(false);
    }
    let entry = choice.entry;
    let sent_ms = gateway.now_ms();
    match read_at(gateway, request, &entry, choice.ahead).await {
      Ok(handle) => {
        note_whole(gateway, request, RoutedRequest::prefill_fingerprint);
        let ttl_ms = export_ttl_ms(gateway, request);
        return PromptReading {
          arrived: true,
          export: Some(ExportGuard::new(gateway, &entry, handle, ttl_ms)),
        };
      }
      Err(error) => {
        log::info!(
          "E505 prompt not read: {} at {}: {error}",
          request.id(),
          entry.id
        );
        if let StageError::Lost(error) = &error {
          let error = format!("prompt not read: {error}");
          let lost = LostPart {
            entry: entry.clone(),
            error,
            fingerprint: request.prefill_fingerprint(),
            sent_ms,
          };
          note_lost(gateway, request, lost).await;
        }
        if !error.is_unsent() {
          return PromptReading::unread(true);
        }
        tried.push(entry.id);
      }
    }
  }
  PromptReading::unread(false)
}

/// Whether the engine that writes the answer is to read the prompt, because those for it are behind. The further
/// they are, the more prompts go past them; the rest still shows when they have caught up.
fn reads_itself(gateway: &Gateway, request: &RoutedRequest, choice: &Choice) -> bool {
  let limit_ms = request.route.target_ms as f64 * READING_SHARE;
  if !gateway.settings.mechanisms.prompts_past_readers {
    return false;
  }
  if gateway.draw() >= choice.share_beyond(limit_ms) {
    return false;
  }
  log::info!(
    "E517 prompt goes past its readers: {} is expected to take {:?} ms at {}",
    request.id(),
    choice.expected_ms,
    choice.entry.id
  );
  true
}

/// Has one engine read the prompt; answers with the handle under which it keeps it.
async fn read_at(
  gateway: &Rc<Gateway>,
  request: &Rc<RoutedRequest>,
  entry: &EndpointEntry,
  tokens_ahead: u64,
) -> Result<Name, StageError> {
  let tokens = request.attributes.prompt_tokens.max(1);
  let proxy_headers = request.proxy_headers(entry, Stage::Prefill, gateway.now_ms());
  let work = tokens_ahead + tokens;
  let limit_ms = READ_FLOOR_MS + READ_US_PER_TOKEN * work / 1_000;
  let reading = async {
    let part = OutgoingStage::new(entry, &proxy_headers, tokens, work);
    let head = send_stage(gateway, request, part).await?;
    head.buffer(gateway).await
  };
  let Ok(answer) = timeout(Duration::from_millis(limit_ms), reading).await else {
    gateway.overdue(&entry.id);
    return Err(StageError::Lost(format!("no answer in {limit_ms} ms")));
  };
  let answer = answer?;
  if !answer.status.is_success() {
    return Err(StageError::Lost(format!("status {}", answer.status)));
  }
  gateway
    .codec
    .export_handle(&answer.body)
    .map_err(|error| StageError::Lost(error.to_string()))
}

/// How long an engine of the request's service keeps a prompt; 0 when it is no service of engines.
fn export_ttl_ms(gateway: &Gateway, request: &RoutedRequest) -> u64 {
  let table = gateway.table();
  let engine = table
    .as_ref()
    .and_then(|table| table.service(&request.service))
    .and_then(|service| service.engine);
  engine.map_or(0, |engine| engine.export_ttl_ms)
}
