//! A pooled HTTP client over `hyper-util`, mostly for JSON: it calls endpoints, the platform, other boxes
//! and, from the command line, a running box.

use {
  crate::{bounded_body::buffer_body, retry_after_ms},
  bytes::Bytes,
  http::{Method, Request, Response, StatusCode, Uri, header::CONTENT_TYPE},
  http_body_util::Full,
  hyper::body::Incoming,
  hyper_util::{
    client::legacy::{Client, connect::HttpConnector},
    rt::{TokioExecutor, TokioTimer},
  },
  serde::{Serialize, de::DeserializeOwned},
  std::time::Duration,
  tokio::time,
};

const CONNECT_TIMEOUT: Duration = Duration::from_secs(1);
/// The largest response body that is buffered in memory.
const MAX_RESPONSE_BYTES: usize = 4 * 1024 * 1024;
/// Buffer of a connection, and the longest head of a response.
const BUFFER_BYTES: usize = 16 * 1024;
const POOL_IDLE_TIMEOUT: Duration = Duration::from_secs(20);

/// Why a call failed.
#[derive(Debug, thiserror::Error)]
pub enum CallError {
  /// No connection was made, or the request could not be built: the server did not receive the call.
  #[error("no connection: {0}")]
  NotSent(String),
  /// The connection broke after the server may have received the call, or the response is too large.
  #[error("connection broke: {0}")]
  ConnectionLost(String),
  /// No complete response within this many milliseconds.
  #[error("no answer within {0} ms")]
  TimedOut(u128),
  /// The server responded with an error status.
  #[error("status {status}: {text}")]
  Status {
    status: StatusCode,
    /// The start of the body.
    text: String,
    /// The retry-after delay, if the server sent one.
    retry_after_ms: Option<u64>,
  },
  /// The response body could not be parsed.
  #[error("answer can't be read: {0}")]
  InvalidResponse(String),
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
      .pool_idle_timeout(POOL_IDLE_TIMEOUT)
      .pool_timer(TokioTimer::new())
      .retry_canceled_requests(false)
      .http1_max_buf_size(BUFFER_BYTES)
      .build(connector);
    Self { inner }
  }
}

impl HttpClient {
  /// Sends a request and returns the response head, with the body unread.
  pub async fn send(&self, request: Request<Full<Bytes>>) -> Result<Response<Incoming>, CallError> {
    self.inner.request(request).await.map_err(|error| {
      let text = error_text(&error);
      if error.is_connect() {
        CallError::NotSent(text)
      } else {
        CallError::ConnectionLost(text)
      }
    })
  }

  /// Posts JSON and returns the response head, with the body unread. Fails on an error status.
  pub async fn post_stream<T: Serialize>(
    &self,
    uri: &str,
    body: &T,
  ) -> Result<Response<Incoming>, CallError> {
    let request = json_request(Method::POST, uri, body)?;
    let response = self.send(request).await?;
    if response.status().is_success() {
      return Ok(response);
    }
    Err(status_error(response).await)
  }

  /// Posts JSON and parses the JSON response.
  pub async fn post<T: Serialize, A: DeserializeOwned>(
    &self,
    uri: &str,
    body: &T,
    timeout: Duration,
  ) -> Result<A, CallError> {
    self
      .fetch_json(json_request(Method::POST, uri, body)?, timeout)
      .await
  }

  /// Sends a GET request and parses the JSON response.
  pub async fn get<A: DeserializeOwned>(
    &self,
    uri: &str,
    timeout: Duration,
  ) -> Result<A, CallError> {
    let request = Request::get(parse_uri(uri)?)
      .body(Full::default())
      .map_err(|error| CallError::NotSent(error.to_string()))?;
    self.fetch_json(request, timeout).await
  }

  /// Sends a request and parses the JSON response. Fails on an error status, or when `timeout` has passed.
  pub async fn fetch_json<A: DeserializeOwned>(
    &self,
    request: Request<Full<Bytes>>,
    timeout: Duration,
  ) -> Result<A, CallError> {
    let bytes = self.fetch_bytes(request, timeout).await?;
    serde_json::from_slice(&bytes).map_err(|error| CallError::InvalidResponse(error.to_string()))
  }

  /// Sends a request and buffers the response body. Fails on an error status, or when `timeout` has passed.
  pub async fn fetch_bytes(
    &self,
    request: Request<Full<Bytes>>,
    timeout: Duration,
  ) -> Result<Bytes, CallError> {
    let body = async {
      let response = self.send(request).await?;
      if !response.status().is_success() {
        return Err(status_error(response).await);
      }
      read_body(response).await
    };
    time::timeout(timeout, body)
      .await
      .unwrap_or_else(|_| Err(CallError::TimedOut(timeout.as_millis())))
  }
}

async fn read_body(response: Response<Incoming>) -> Result<Bytes, CallError> {
  buffer_body(response.into_body(), MAX_RESPONSE_BYTES)
    .await
    .map_err(|error| CallError::ConnectionLost(error.to_string()))
}

async fn status_error(response: Response<Incoming>) -> CallError {
  let status = response.status();
  let retry_after_ms = retry_after_ms(response.headers()).unwrap_or_default();
  let bytes = read_body(response).await.unwrap_or_default();
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

fn json_request<T: Serialize>(
  method: Method,
  uri: &str,
  body: &T,
) -> Result<Request<Full<Bytes>>, CallError> {
  let body = serde_json::to_vec(body).map_err(|error| CallError::NotSent(error.to_string()))?;
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
