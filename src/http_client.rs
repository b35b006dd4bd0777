//! A small pooled HTTP client over `hyper-util`, mostly for JSON: it calls endpoints, the platform, other boxes
//! and, from the command line, a running box.

use {
  crate::retry_after_ms,
  bytes::Bytes,
  http::{Method, Request, Response, StatusCode, Uri, header::CONTENT_TYPE},
  http_body_util::{BodyExt, Full, Limited},
  hyper::body::Incoming,
  hyper_util::{
    client::legacy::{Client, connect::HttpConnector},
    rt::{TokioExecutor, TokioTimer},
  },
  serde::{Serialize, de::DeserializeOwned},
  std::time::Duration,
  tokio::time::timeout,
};

/// Time for a connection to be made.
const CONNECT_TIMEOUT: Duration = Duration::from_secs(1);
/// The longest answer that is read whole.
const MOST_ANSWER_BYTES: usize = 4 * 1024 * 1024;
/// How long a connection rests before it is closed.
const POOL_IDLE: Duration = Duration::from_secs(20);

/// Why a call came to nothing.
#[derive(Debug, thiserror::Error)]
pub enum CallError {
  /// No connection was made, or the request could not be built: the peer never saw the call.
  #[error("no connection: {0}")]
  NotSent(String),
  /// The connection broke after the call may have been seen, or the answer is too long.
  #[error("connection broke: {0}")]
  Broke(String),
  /// No answer in time.
  #[error("no answer within {0} ms")]
  TimedOut(u128),
  /// The peer answered with an error status.
  #[error("status {status}: {text}")]
  Status {
    /// The status.
    status: StatusCode,
    /// The start of the body.
    text: String,
    /// For how long the peer wants to be left alone, if it says so.
    retry_after_ms: Option<u64>,
  },
  /// The answer can't be read.
  #[error("answer can't be read: {0}")]
  Answer(String),
}

/// A pooled HTTP/1 client.
#[derive(Clone)]
pub struct HttpClient {
  inner: Client<HttpConnector, Full<Bytes>>,
}

impl Default for HttpClient {
  fn default() -> Self {
    let mut connector = HttpConnector::new();
    connector.set_nodelay(true);
    connector.set_connect_timeout(Some(CONNECT_TIMEOUT));
    let inner = Client::builder(TokioExecutor::new())
      .pool_idle_timeout(POOL_IDLE)
      .pool_timer(TokioTimer::new())
      .retry_canceled_requests(false)
      .build(connector);
    Self { inner }
  }
}

impl HttpClient {
  /// Sends a request and answers with the response's head, body unread.
  pub async fn send(&self, request: Request<Full<Bytes>>) -> Result<Response<Incoming>, CallError> {
    self.inner.request(request).await.map_err(|error| {
      let text = error_text(&error);
      if error.is_connect() {
        CallError::NotSent(text)
      } else {
        CallError::Broke(text)
      }
    })
  }

  /// Posts JSON and answers with the response's head, body unread.
  pub async fn post_stream<Q: Serialize>(
    &self,
    uri: &str,
    question: &Q,
  ) -> Result<Response<Incoming>, CallError> {
    let request = json_request(Method::POST, uri, question)?;
    let response = self.send(request).await?;
    if response.status().is_success() {
      return Ok(response);
    }
    Err(status_error(response).await)
  }

  /// Posts JSON and reads the whole JSON answer.
  pub async fn post<Q: Serialize, A: DeserializeOwned>(
    &self,
    uri: &str,
    question: &Q,
    limit: Duration,
  ) -> Result<A, CallError> {
    self
      .whole(json_request(Method::POST, uri, question)?, limit)
      .await
  }

  /// Reads the whole JSON answer to a GET.
  pub async fn get<A: DeserializeOwned>(&self, uri: &str, limit: Duration) -> Result<A, CallError> {
    let request = Request::get(parse_uri(uri)?)
      .body(Full::default())
      .map_err(|error| CallError::NotSent(error.to_string()))?;
    self.whole(request, limit).await
  }

  /// Sends a request and reads the whole JSON answer of a success, all within a time.
  pub async fn whole<A: DeserializeOwned>(
    &self,
    request: Request<Full<Bytes>>,
    limit: Duration,
  ) -> Result<A, CallError> {
    let bytes = self.bytes(request, limit).await?;
    serde_json::from_slice(&bytes).map_err(|error| CallError::Answer(error.to_string()))
  }

  /// Sends a request and reads the whole answer of a success, all within a time.
  pub async fn bytes(
    &self,
    request: Request<Full<Bytes>>,
    limit: Duration,
  ) -> Result<Bytes, CallError> {
    let answer = async {
      let response = self.send(request).await?;
      if !response.status().is_success() {
        return Err(status_error(response).await);
      }
      read_whole(response).await
    };
    timeout(limit, answer)
      .await
      .unwrap_or_else(|_| Err(CallError::TimedOut(limit.as_millis())))
  }
}

async fn read_whole(response: Response<Incoming>) -> Result<Bytes, CallError> {
  Limited::new(response.into_body(), MOST_ANSWER_BYTES)
    .collect()
    .await
    .map(http_body_util::Collected::to_bytes)
    .map_err(|error| CallError::Broke(error.to_string()))
}

async fn status_error(response: Response<Incoming>) -> CallError {
  let status = response.status();
  let retry_after_ms = retry_after_ms(response.headers()).unwrap_or_default();
  let bytes = read_whole(response).await.unwrap_or_default();
  CallError::Status {
    retry_after_ms,
    status,
    text: String::from_utf8_lossy(&bytes).trim().to_string(),
  }
}

fn parse_uri(uri: &str) -> Result<Uri, CallError> {
  uri
    .parse()
    .map_err(|error| CallError::NotSent(format!("`{uri}`: {error}")))
}

fn json_request<Q: Serialize>(
  method: Method,
  uri: &str,
  question: &Q,
) -> Result<Request<Full<Bytes>>, CallError> {
  let body = serde_json::to_vec(question).map_err(|error| CallError::NotSent(error.to_string()))?;
  Request::builder()
    .method(method)
    .uri(parse_uri(uri)?)
    .header(CONTENT_TYPE, "application/json")
    .body(Full::new(body.into()))
    .map_err(|error| CallError::NotSent(error.to_string()))
}

fn error_text(error: &dyn std::error::Error) -> String {
  let mut text = error.to_string();
  let mut source = error.source();
  while let Some(inner) = source {
    text = format!("{text}: {inner}");
    source = inner.source();
  }
  text
}
