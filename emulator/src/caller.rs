//! A caller: sends requests to a box and returns the outcome that the box reported.

use {
  bytes::Bytes,
  http::{Method, Request, StatusCode, header},
  http_body_util::{BodyExt, Full},
  hyper::body::Incoming,
  rillford::{CallError, HttpClient},
  serde_json::{Value, json},
  std::time::{Duration, Instant},
};

/// The outcome of a request as its caller sees it.
#[derive(Clone, Debug, PartialEq)]
pub enum Told {
  /// A complete response, with its text.
  Answered(String),
  /// An error that guarantees that the work did not run.
  NotRun {
    /// HTTP status.
    status: u16,
    /// Machine-readable error code.
    code: String,
    /// Value of the `Retry-After` header.
    retry_after_s: Option<u64>,
  },
  /// An error that leaves open whether the work ran.
  Unknown {
    /// HTTP status; 200 when the response had started.
    status: u16,
    /// Machine-readable error code.
    code: String,
  },
  /// The connection was refused or lost, or the response carried no outcome.
  Lost(String),
}

impl Told {
  pub fn is_answered(&self) -> bool {
    matches!(self, Self::Answered(_))
  }
}

/// A completion request.
#[derive(Clone, Debug)]
pub struct Ask {
  /// Model name.
  pub model: String,
  /// Prompt.
  pub prompt: String,
  /// Maximum number of tokens.
  pub max_tokens: u64,
  /// Whether the response is streamed.
  pub stream: bool,
  /// Additional headers.
  pub headers: Vec<(String, String)>,
}

impl Ask {
  /// A request for a streamed completion from the model `lecture`.
  pub fn new(prompt: impl Into<String>, max_tokens: u64) -> Self {
    Self {
      headers: Vec::new(),
      max_tokens,
      model: "lecture".into(),
      prompt: prompt.into(),
      stream: true,
    }
  }

  /// Adds a header.
  pub fn header(mut self, name: &str, value: &str) -> Self {
    self.headers.push((name.into(), value.into()));
    self
  }

  /// Requests a single response instead of a stream.
  pub fn whole(mut self) -> Self {
    self.stream = false;
    self
  }
}

/// A response in progress.
pub struct Stream {
  body: Incoming,
  buffer: Vec<u8>,
  text: String,
  outcome: Option<Told>,
}

/// A caller that authenticates with a bearer key.
#[derive(Clone)]
pub struct Caller {
  http: HttpClient,
  key: String,
}

impl Caller {
  pub fn new(key: &str) -> Self {
    Self {
      http: HttpClient::default(),
      key: key.into(),
    }
  }

  fn request(
    &self,
    method: Method,
    uri: &str,
    headers: &[(String, String)],
    body: Bytes,
  ) -> Result<Request<Full<Bytes>>, http::Error> {
    let mut request = Request::builder()
      .method(method)
      .uri(uri)
      .header(header::AUTHORIZATION, format!("Bearer {}", self.key));
    for (name, value) in headers {
      request = request.header(name, value);
    }
    request.body(Full::new(body))
  }

  /// Requests a completion and reads the response to its end.
  pub async fn complete(&self, base: &str, ask: &Ask) -> Told {
    match self.open(base, ask).await {
      Ok(mut stream) => loop {
        if let Some(told) = stream.next().await {
          return told;
        }
      },
      Err(told) => told,
    }
  }

  /// Requests a completion. Returns when the response headers (without streaming: the full response) or an error have arrived.
  pub async fn open(&self, base: &str, ask: &Ask) -> Result<Stream, Told> {
    let body = json!({
      "max_tokens": ask.max_tokens,
      "model": ask.model,
      "prompt": ask.prompt,
      "stream": ask.stream,
    });
    let uri = format!("{base}/v1/completions");
    let request = self
      .request(Method::POST, &uri, &ask.headers, body.to_string().into())
      .map_err(|error| Told::Lost(error.to_string()))?;
    let response = self.http.send(request).await.map_err(connection_error)?;
    if response.status() != StatusCode::OK {
      return Err(error_outcome(response).await);
    }
    let mut stream = Stream {
      body: response.into_body(),
      buffer: Vec::new(),
      outcome: None,
      text: String::new(),
    };
    if !ask.stream {
      stream.read_full_response().await;
    }
    Ok(stream)
  }

  /// Calls a plain service and reads the response.
  pub async fn call(
    &self,
    base: &str,
    method: Method,
    path: &str,
    headers: &[(String, String)],
    body: &str,
  ) -> Told {
    let uri = format!("{base}/services/{path}");
    let request = match self.request(method, &uri, headers, body.to_string().into()) {
      Ok(request) => request,
      Err(error) => return Told::Lost(error.to_string()),
    };
    match self.http.send(request).await {
      Ok(response) if response.status() == StatusCode::OK => {
        match response.into_body().collect().await {
          Ok(body) => Told::Answered(String::from_utf8_lossy(&body.to_bytes()).to_string()),
          Err(error) => Told::Lost(error.to_string()),
        }
      }
      Ok(response) => error_outcome(response).await,
      Err(error) => connection_error(error),
    }
  }

  /// Sends a request as it is. Returns status and body.
  pub async fn raw(&self, request: Request<Full<Bytes>>) -> Result<(StatusCode, String), Told> {
    let response = self.http.send(request).await.map_err(connection_error)?;
    let status = response.status();
    let body = response
      .into_body()
      .collect()
      .await
      .map_err(|error| Told::Lost(error.to_string()))?;
    Ok((
      status,
      String::from_utf8_lossy(&body.to_bytes()).to_string(),
    ))
  }

  /// Whether the health check of a box succeeds within 1 s.
  pub async fn is_ready(&self, base: &str) -> bool {
    let Ok(request) = self.request(Method::GET, &format!("{base}/health"), &[], Bytes::new())
    else {
      return false;
    };
    let response = tokio::time::timeout(Duration::from_secs(1), self.http.send(request)).await;
    matches!(response, Ok(Ok(response)) if response.status() == StatusCode::OK)
  }
}

fn connection_error(error: CallError) -> Told {
  Told::Lost(error.to_string())
}

async fn error_outcome(response: http::Response<Incoming>) -> Told {
  let status = response.status().as_u16();
  let retry_after_s = response
    .headers()
    .get(header::RETRY_AFTER)
    .and_then(|value| value.to_str().ok())
    .and_then(|text| text.parse().ok());
  let body = match response.into_body().collect().await {
    Ok(body) => body.to_bytes(),
    Err(error) => return Told::Lost(error.to_string()),
  };
  let body = serde_json::from_slice::<Value>(&body).unwrap_or_default();
  parse_outcome(status, &body, retry_after_s)
}

fn parse_outcome(status: u16, body: &Value, retry_after_s: Option<u64>) -> Told {
  let code = body["error"]["code"]
    .as_str()
    .unwrap_or_default()
    .to_string();
  match body["error"]["outcome"].as_str() {
    Some("not_run") => Told::NotRun {
      code,
      retry_after_s,
      status,
    },
    Some("unknown") => Told::Unknown { code, status },
    _ => Told::Lost(format!("status {status} without an outcome: {body}")),
  }
}

impl Stream {
  async fn read_full_response(&mut self) {
    let mut bytes = Vec::new();
    while let Some(frame) = self.body.frame().await {
      match frame {
        Ok(frame) => bytes.extend_from_slice(&frame.into_data().unwrap_or_default()),
        Err(error) => {
          self.outcome = Some(Told::Lost(error.to_string()));
          return;
        }
      }
    }
    let body = serde_json::from_slice::<Value>(&bytes).unwrap_or_default();
    let text = body["choices"][0]["text"].as_str().unwrap_or_default();
    self.outcome = Some(Told::Answered(text.into()));
  }

  /// The text received so far.
  pub fn text(&self) -> &str {
    &self.text
  }

  /// Reads the next frame. Returns the outcome once the response has ended.
  pub async fn next(&mut self) -> Option<Told> {
    if let Some(told) = &self.outcome {
      return Some(told.clone());
    }
    match self.body.frame().await {
      Some(Ok(frame)) => {
        self
          .buffer
          .extend_from_slice(&frame.into_data().unwrap_or_default());
        self.outcome = self.parse_events();
      }
      Some(Err(error)) => self.outcome = Some(Told::Lost(error.to_string())),
      None => self.outcome = Some(Told::Lost("ended without a final event".into())),
    }
    self.outcome.clone()
  }

  fn parse_events(&mut self) -> Option<Told> {
    while let Some(end) = self.buffer.windows(2).position(|pair| pair == b"\n\n") {
      let event = self.buffer.drain(..end + 2).collect::<Vec<_>>();
      let event = String::from_utf8_lossy(&event).to_string();
      let is_error = event.starts_with("event: error");
      let Some(data) = event.lines().find_map(|line| line.strip_prefix("data: ")) else {
        continue;
      };
      if data == "[DONE]" {
        return Some(Told::Answered(self.text.clone()));
      }
      let body = serde_json::from_str::<Value>(data).unwrap_or_default();
      if is_error {
        return Some(parse_outcome(200, &body, None));
      }
      let text = body["choices"][0]["text"].as_str().unwrap_or_default();
      self.text.push_str(text);
    }
    None
  }
}

/// Polls a condition until it holds. Returns false if it does not within `timeout`.
pub async fn eventually(timeout: Duration, mut holds: impl AsyncFnMut() -> bool) -> bool {
  let deadline = Instant::now() + timeout;
  while Instant::now() < deadline {
    if holds().await {
      return true;
    }
    tokio::time::sleep(Duration::from_millis(20)).await;
  }
  false
}
