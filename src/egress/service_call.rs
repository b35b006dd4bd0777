//! Proxies calls to plain services, without retries of its own.

use {
  super::endpoint_client::EndpointClient,
  crate::{
    chunk::{Chunk, Payload},
    decide::{Began, StageOutcome},
    http_client::CallError,
    retry_after_ms,
  },
  bytes::Bytes,
  http::{HeaderMap, HeaderName, Method, Request, Response, header},
  http_body_util::{BodyExt, Full},
  hyper::body::{Body, Incoming},
  std::{sync::Arc, time::Duration},
  tokio::{sync::Notify, time::timeout},
};

const HOP_BY_HOP: [HeaderName; 8] = [
  header::CONNECTION,
  header::PROXY_AUTHENTICATE,
  header::PROXY_AUTHORIZATION,
  header::TE,
  header::TRAILER,
  header::TRANSFER_ENCODING,
  header::UPGRADE,
  HeaderName::from_static("keep-alive"),
];

/// The headers without hop-by-hop ones, including those that `Connection` names.
pub(crate) fn end_to_end_headers(headers: &HeaderMap) -> HeaderMap {
  let named = headers
    .get_all(header::CONNECTION)
    .iter()
    .filter_map(|value| value.to_str().ok())
    .flat_map(|value| value.split(','))
    .filter_map(|name| name.trim().parse::<HeaderName>().ok())
    .collect::<Vec<_>>();
  headers
    .iter()
    .filter(|(name, _)| !HOP_BY_HOP.contains(name) && !named.contains(name))
    .map(|(name, value)| (name.clone(), value.clone()))
    .collect()
}

/// A call to a plain service.
pub(super) struct ServiceCall<'a> {
  pub(super) method: &'a Method,
  pub(super) path: &'a str,
  pub(super) headers: &'a HeaderMap,
  pub(super) body: &'a Bytes,
  /// Time until the response head must have arrived.
  pub(super) head_timeout: Duration,
  /// Silence within the body after which `Stalled` is reported.
  pub(super) stall_timeout: Duration,
}

/// Calls a plain service and relays its response to the caller.
///
/// `on_progress` gets the outcomes before the last one: `FirstChunk` when the response head arrives, `Stalled` after each
/// stall timeout within the body. `ended` ends the body while it is silent. A body without a length or chunks counts as whole if the
/// service reports its load after it.
pub(super) async fn call_service(
  client: &EndpointClient,
  payload: &Payload,
  call: ServiceCall<'_>,
  ended: &Notify,
  on_progress: impl Fn(StageOutcome),
) -> StageOutcome {
  let request = match build_request(client, &call) {
    Ok(request) => request,
    Err(_) => return broke(Began::Never, 0),
  };
  let sent = timeout(call.head_timeout, client.http.send(request)).await;
  let response = match sent {
    Ok(Ok(response)) => response,
    Ok(Err(CallError::NotSent(_))) => return broke(Began::Never, 0),
    Ok(Err(_)) | Err(_) => return broke(Began::Perhaps, 0),
  };
  if let Ok(Some(backoff_ms)) = retry_after_ms(response.headers()) {
    client.report_backoff(response.status(), backoff_ms);
  }
  on_progress(StageOutcome::FirstChunk);
  // The end of the connection ends a body that was cut off, too.
  let has_marked_end = response.body().is_end_stream() || marks_end(response.headers());
  let outcome = relay_response(response, payload, call.stall_timeout, ended, on_progress).await;
  match outcome {
    Relayed::Whole(_) if has_marked_end || client.load().await.is_some() => {
      StageOutcome::Finished { tokens: 0 }
    }
    Relayed::Whole(offset) | Relayed::Broken(offset) => broke(Began::Perhaps, offset),
  }
}

/// Whether a body ends by its length or its last chunk, by the headers of its response.
fn marks_end(headers: &HeaderMap) -> bool {
  headers.contains_key(header::CONTENT_LENGTH) || headers.contains_key(header::TRANSFER_ENCODING)
}

/// How a response's body ended, after a number of bytes.
enum Relayed {
  /// With the end that its framing shows.
  Whole(u64),
  /// Before that.
  Broken(u64),
}

fn build_request(
  client: &EndpointClient,
  call: &ServiceCall,
) -> Result<Request<Full<Bytes>>, http::Error> {
  let mut request = Request::builder()
    .method(call.method.clone())
    .uri(format!("{}{}", client.url, call.path))
    .body(Full::new(call.body.clone()))?;
  *request.headers_mut() = call.headers.clone();
  request.headers_mut().remove(header::HOST);
  request.headers_mut().remove(header::CONTENT_LENGTH);
  Ok(request)
}

async fn relay_response(
  response: Response<Incoming>,
  payload: &Payload,
  stall_timeout: Duration,
  ended: &Notify,
  on_progress: impl Fn(StageOutcome),
) -> Relayed {
  let (head, mut body) = response.into_parts();
  let headers = end_to_end_headers(&head.headers);
  let mut offset = 0;
  let mut silence = Duration::ZERO;
  if payload
    .chunks
    .send(Chunk::Head(head.status, headers))
    .await
    .is_err()
  {
    return Relayed::Broken(offset);
  }
  loop {
    let next = tokio::select! {
      biased;
      next = timeout(stall_timeout, body.frame()) => next,
      () = ended.notified() => return Relayed::Broken(offset),
    };
    let Ok(frame) = next else {
      silence += stall_timeout;
      let silence_ms = u64::try_from(silence.as_millis()).unwrap_or(u64::MAX);
      on_progress(StageOutcome::Stalled { silence_ms });
      continue;
    };
    silence = Duration::ZERO;
    let frame = match frame {
      None => return Relayed::Whole(offset),
      Some(Ok(frame)) => frame,
      Some(Err(_)) => return Relayed::Broken(offset),
    };
    let Ok(data) = frame.into_data() else {
      continue;
    };
    offset += data.len() as u64;
    if payload.chunks.send(Chunk::Body(data)).await.is_err() {
      return Relayed::Broken(offset);
    }
  }
}

fn broke(began: Began, offset: u64) -> StageOutcome {
  StageOutcome::Failed {
    began,
    offset,
    resumable: offset == 0,
  }
}

/// An endpoint's URL without trailing slashes, so that a path can be appended.
pub(super) fn base_url(url: &str) -> Arc<str> {
  url.trim_end_matches('/').into()
}
