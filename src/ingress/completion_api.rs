//! The supported subset of the OpenAI-compatible completion API.

use {
  crate::{endpoint_api::FinishReason, ids::Name},
  serde::{Deserialize, Serialize},
};

/// Which completion API the caller used.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub(super) enum CompletionApi {
  /// `/v1/chat/completions`.
  Chat,
  /// `/v1/completions`.
  Text,
}

/// One message of a chat.
#[derive(Clone, Debug, Deserialize)]
pub(super) struct Message {
  pub(super) role: Name,
  pub(super) content: Name,
}

/// `POST /v1/chat/completions`. Unsupported fields are ignored, as clients expect.
#[derive(Clone, Debug, Deserialize)]
pub(super) struct ChatRequest {
  pub(super) model: Name,
  pub(super) messages: Vec<Message>,
  #[serde(alias = "max_completion_tokens")]
  pub(super) max_tokens: Option<u64>,
  #[serde(default)]
  pub(super) stream: bool,
}

/// `POST /v1/completions`.
#[derive(Clone, Debug, Deserialize)]
pub(super) struct PlainRequest {
  pub(super) model: Name,
  pub(super) prompt: Name,
  pub(super) max_tokens: Option<u64>,
  #[serde(default)]
  pub(super) stream: bool,
}

impl ChatRequest {
  /// The messages rendered as one prompt.
  pub(super) fn prompt(&self) -> Name {
    self
      .messages
      .iter()
      .map(|message| format!("{}: {}\n", message.role, message.content))
      .collect::<String>()
      .into()
  }
}

/// A message, or a part of one, in a chat response.
#[derive(Debug, Default, Serialize)]
pub(super) struct MessageText {
  #[serde(skip_serializing_if = "Option::is_none")]
  pub(super) role: Option<&'static str>,
  #[serde(skip_serializing_if = "Option::is_none")]
  pub(super) content: Option<String>,
}

/// A choice of a response; there is always exactly one.
#[derive(Debug, Default, Serialize)]
pub(super) struct Choice {
  pub(super) index: u32,
  #[serde(skip_serializing_if = "Option::is_none")]
  pub(super) message: Option<MessageText>,
  #[serde(skip_serializing_if = "Option::is_none")]
  pub(super) delta: Option<MessageText>,
  #[serde(skip_serializing_if = "Option::is_none")]
  pub(super) text: Option<String>,
  pub(super) finish_reason: Option<FinishReason>,
}

/// Token counts of a response.
#[derive(Debug, Serialize)]
pub(super) struct UsageBody {
  pub(super) prompt_tokens: u64,
  pub(super) completion_tokens: u64,
  pub(super) total_tokens: u64,
}

/// A complete response, or one event of a streamed response.
#[derive(Debug, Serialize)]
pub(super) struct CompletionBody {
  pub(super) id: Name,
  pub(super) object: &'static str,
  pub(super) created: u64,
  pub(super) model: Name,
  pub(super) choices: Vec<Choice>,
  #[serde(skip_serializing_if = "Option::is_none")]
  pub(super) usage: Option<UsageBody>,
}
