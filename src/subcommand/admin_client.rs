//! A client of the administration API of a box.

use {
  crate::{CallError, Error, HttpClient, ProblemBody, Result},
  bpaf::Bpaf,
  bytes::Bytes,
  http::{Method, Request, header},
  http_body_util::Full,
  serde::de::DeserializeOwned,
  std::time::Duration,
};

const CALL_TIMEOUT: Duration = Duration::from_secs(10);

/// The box to call, and the administration key.
#[derive(Clone, Debug, Bpaf)]
pub(crate) struct AdminClient {
  /// Base URL of a box's administration API
  #[bpaf(long, argument("URL"))]
  pub(crate) server: String,
  /// Administration key
  #[bpaf(long, env("RILLFORD_KEY"), argument("KEY"))]
  pub(crate) key: String,
}

/// A call to the administration API.
pub(super) struct AdminCall<'a> {
  pub(super) operation: &'static str,
  pub(super) method: Method,
  pub(super) path: &'a str,
  pub(super) if_match: Option<u64>,
  pub(super) body: String,
}

impl<'a> AdminCall<'a> {
  pub(super) fn get(operation: &'static str, path: &'a str) -> Self {
    Self {
      body: String::new(),
      if_match: None,
      method: Method::GET,
      operation,
      path,
    }
  }
}

impl AdminClient {
  /// Makes a call and parses the JSON response.
  pub(super) fn call<T: DeserializeOwned>(&self, call: AdminCall) -> Result<T> {
    let operation = call.operation;
    let failed = |message: String| Error::Call {
      message,
      operation,
      server: self.server.clone(),
    };
    let runtime = tokio::runtime::Builder::new_current_thread()
      .enable_all()
      .build()
      .map_err(|source| Error::Thread {
        name: operation,
        source,
      })?;
    let request = self
      .request(call)
      .map_err(|error| failed(error.to_string()))?;
    runtime
      .block_on(async {
        HttpClient::default()
          .fetch_json(request, CALL_TIMEOUT)
          .await
      })
      .map_err(|error| failed(error_message(&error)))
  }

  fn request(&self, call: AdminCall) -> Result<Request<Full<Bytes>>, http::Error> {
    let server = self.server.trim_end_matches('/');
    let mut request = Request::builder()
      .method(call.method)
      .uri(format!("{server}{}", call.path))
      .header(header::AUTHORIZATION, format!("Bearer {}", self.key));
    if let Some(revision) = call.if_match {
      request = request.header(header::IF_MATCH, revision);
    }
    request.body(Full::new(call.body.into()))
  }
}

fn error_message(error: &CallError) -> String {
  if let CallError::Status { status, text, .. } = error
    && let Ok(problem) = serde_json::from_str::<ProblemBody>(text)
  {
    return format!("{status}: {}", problem.error);
  }
  error.to_string()
}
