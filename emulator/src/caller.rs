//! A caller: sends requests to a box and says what it was told.

use {
  bytes::Bytes,
  http::{Method, Request, StatusCode, header},
  http_body_util::{BodyExt, Full},
  hyper::body::Incoming,
  rillford::{CallError, HttpClient},
  serde_json::{Value, json},
  std::time::{Duration, Instant},
};

/// What a caller was told in the end.
#[derive(Clone, Debug, PartialEq)]
pub enum Told {
  /// A whole answer.
  Answered(String),
  /// The work did not run.
  NotRun {
    /// The status.
    status: u16,
    /// The machine-readable reason.
    code: String,
    /// The `Retry-After` header.
    retry_after_s: Option<u64>,
  },
  /// The work may have run.
  Unknown {
    /// The status; 200 when the answer had begun.
    status: u16,
    /// The machine-readable reason.
    code: String,
  },
  /// The connection was refused, or broke without a word.
  Lost(String),
}

impl Told {
  /// Whether it is a whole answer.
  pub fn is_answered(&self) -> bool {
    matches!(self, Self::Answered(_))
  }
}

/// A completion to ask for.
#[derive(Clone, Debug)]
pub struct Ask {
  /// The model.
  pub model: String,
  /// The prompt.
  pub prompt: String,
  /// Tokens wanted.
  pub max_tokens: u64,
  /// Whether the answer is streamed.
  pub stream: bool,
  /// Further headers.
  pub headers: Vec<(String, String)>,
}

impl Ask {
  /// A streamed completion.
  pub fn new(prompt: impl Into<String>, max_tokens: u64) -> Self {
    Self {
      headers: Vec::new(),
      max_tokens,
      model: "lecture".into(),
      prompt: prompt.into(),
      stream: true,
    }
  }

  /// The same with a header.
  pub fn header(mut self, name: &str, value: &str) -> Self {
    self.headers.push((name.into(), value.into()));
    self
  }

  /// The same, answered whole.
  pub fn whole(mut self) -> Self {
    self.stream = false;
    self
  }
}

/// A streamed answer in progress.
pub struct Stream {
  body: Incoming,
  buffer: Vec<u8>,
  text: String,
  ended: Option<Told>,
}

/// A caller with a bearer key.
#[derive(Clone)]
pub struct Caller {
  http: HttpClient,
  key: String,
}

impl Caller {
  /// A caller with that key.
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

  /// Asks for a completion and reads it to its end.
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

  /// Asks for a completion; answers once the first byte or the refusal has come.
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
    let response = self.http.send(request).await.map_err(lost)?;
    if response.status() != StatusCode::OK {
      return Err(told(response).await);
    }
    let mut stream = Stream {
      body: response.into_body(),
      buffer: Vec::new(),
      ended: None,
      text: String::new(),
    };
    if !ask.stream {
      stream.read_whole().await;
    }
    Ok(stream)
  }

  /// Calls a plain service and reads the answer.
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
      Ok(response) => told(response).await,
      Err(error) => lost(error),
    }
  }

  /// Sends any request; answers with status and body.
  pub async fn raw(&self, request: Request<Full<Bytes>>) -> Result<(StatusCode, String), Told> {
    let response = self.http.send(request).await.map_err(lost)?;
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

  /// Whether a box says that it is ready.
  pub async fn is_ready(&self, base: &str) -> bool {
    let Ok(request) = self.request(Method::GET, &format!("{base}/health"), &[], Bytes::new())
    else {
      return false;
    };
    let answered = tokio::time::timeout(Duration::from_secs(1), self.http.send(request)).await;
    matches!(answered, Ok(Ok(response)) if response.status() == StatusCode::OK)
  }
}

fn lost(error: CallError) -> Told {
  Told::Lost(error.to_string())
}

async fn told(response: http::Response<Incoming>) -> Told {
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
  outcome(status, &body, retry_after_s)
}

fn outcome(status: u16, body: &Value, retry_after_s: Option<u64>) -> Told {
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
  async fn read_whole(&mut self) {
    let mut bytes = Vec::new();
    while let Some(frame) = self.body.frame().await {
      match frame {
        Ok(frame) => bytes.extend_from_slice(&frame.into_data().unwrap_or_default()),
        Err(error) => {
          self.ended = Some(Told::Lost(error.to_string()));
          return;
        }
      }
    }
    let body = serde_json::from_slice::<Value>(&bytes).unwrap_or_default();
    let text = body["choices"][0]["text"].as_str().unwrap_or_default();
    self.ended = Some(Told::Answered(text.into()));
  }

  /// The text so far.
  pub fn text(&self) -> &str {
    &self.text
  }

  /// Reads on; answers with what was told once the end has come.
  pub async fn next(&mut self) -> Option<Told> {
    if let Some(told) = &self.ended {
      return Some(told.clone());
    }
    match self.body.frame().await {
      Some(Ok(frame)) => {
        self
          .buffer
          .extend_from_slice(&frame.into_data().unwrap_or_default());
        self.ended = self.take_events();
      }
      Some(Err(error)) => self.ended = Some(Told::Lost(error.to_string())),
      None => self.ended = Some(Told::Lost("ended without a final event".into())),
    }
    self.ended.clone()
  }

  fn take_events(&mut self) -> Option<Told> {
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
        return Some(outcome(200, &body, None));
      }
      let text = body["choices"][0]["text"].as_str().unwrap_or_default();
      self.text.push_str(text);
    }
    None
  }
}

/// Waits until a condition holds; false when it did not within the bound.
pub async fn eventually(bound: Duration, mut holds: impl AsyncFnMut() -> bool) -> bool {
  let until = Instant::now() + bound;
  while Instant::now() < until {
    if holds().await {
      return true;
    }
    tokio::time::sleep(Duration::from_millis(20)).await;
  }
  false
}
