//! A request that is answered by a stream of events.

use {
  super::{
    answer::{LocalReply, ResponseBody, forward_response, full_body},
    event_source::EventSource,
    stream_request::{NoStream, StreamRequest},
  },
  crate::gateway::{
    decisions::RETRY_AFTER_FULL_MS,
    stages::RoutedRequest,
    state::{Gateway, InFlight},
  },
  http::Response,
  std::{rc::Rc, time::Duration},
  tokio::time::timeout,
};

/// Answers a request.
pub(crate) async fn answer_stream(
  gateway: Rc<Gateway>,
  request: Rc<RoutedRequest>,
  in_flight: InFlight,
) -> Response<ResponseBody> {
  let left = Duration::from_millis(request.remaining_ms(gateway.now_ms()));
  let mut stream = StreamRequest::new(gateway.clone(), request.clone());
  match timeout(left, stream.begin()).await {
    Ok(Ok(head)) => {
      let headers = head.headers();
      let status = head.status;
      forward_response(
        status,
        headers,
        EventSource::new(stream, head, in_flight).into_body(),
      )
    }
    Ok(Err(no_stream)) => {
      answer_without_stream(&gateway, &request, no_stream, stream.may_have_run()).await
    }
    Err(_) if !stream.may_have_run() => {
      log::info!(
        "E503 timed out: {} before any endpoint ran it",
        request.id()
      );
      LocalReply::NotRun {
        retry_after_ms: gateway
          .seat_forecast
          .borrow()
          .retry_after_ms(gateway.draw()),
      }
      .response()
    }
    Err(_) => {
      log::info!("E503 timed out: {} at {:?}", request.id(), stream.tried());
      LocalReply::TimedOut.response()
    }
  }
}

/// The answer when no endpoint streams: an endpoint's own, or this box's.
async fn answer_without_stream(
  gateway: &Gateway,
  request: &RoutedRequest,
  no_stream: NoStream,
  may_have_run: bool,
) -> Response<ResponseBody> {
  let own = match no_stream {
    NoStream::Answered(head) => match head.buffer(gateway).await {
      Ok(answer) => return forward_response(answer.status, answer.headers, full_body(answer.body)),
      Err(_) => LocalReply::Unknown,
    },
    _ if may_have_run => LocalReply::Unknown,
    NoStream::Failed => not_run(gateway, request, RETRY_AFTER_FULL_MS),
    NoStream::NoSeat => {
      let forecast_ms = gateway
        .seat_forecast
        .borrow()
        .retry_after_ms(gateway.draw());
      not_run(gateway, request, forecast_ms)
    }
  };
  log::info!(
    "E501 refused: {} {} with status {}, {}",
    request.id(),
    request.service,
    own.status(),
    gateway.count_endpoints(&request.service)
  );
  own.response()
}

/// The request has not run; its caller may come back when the first pause ends where all endpoints pause.
fn not_run(gateway: &Gateway, request: &RoutedRequest, otherwise_ms: u64) -> LocalReply {
  LocalReply::NotRun {
    retry_after_ms: gateway.retry_after_ms(&request.service, otherwise_ms),
  }
}
