//! A request that is answered by a stream of events.

use {
  super::{
    answer::{AnswerBody, OwnAnswer, passed_on, whole_body},
    event_source::EventSource,
    stream_request::{NoStream, StreamRequest},
  },
  crate::gateway::{
    decisions::RETRY_AFTER_FULL_MS,
    parts::RoutedRequest,
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
) -> Response<AnswerBody> {
  let left = Duration::from_millis(request.left_ms(gateway.now_ms()));
  let mut stream = StreamRequest::new(gateway.clone(), request.clone());
  match timeout(left, stream.begin()).await {
    Ok(Ok(head)) => {
      let headers = head.headers();
      let status = head.status;
      passed_on(
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
      OwnAnswer::NotRun {
        retry_after_ms: gateway
          .slot_forecast
          .borrow()
          .retry_after_ms(gateway.draw()),
      }
      .response()
    }
    Err(_) => {
      log::info!("E503 timed out: {} at {:?}", request.id(), stream.tried());
      OwnAnswer::TimedOut.response()
    }
  }
}

/// The answer when no endpoint streams: an endpoint's own, or this box's.
async fn answer_without_stream(
  gateway: &Gateway,
  request: &RoutedRequest,
  no_stream: NoStream,
  may_have_run: bool,
) -> Response<AnswerBody> {
  let own = match no_stream {
    NoStream::Answered(head) => match head.whole(gateway).await {
      Ok(answer) => return passed_on(answer.status, answer.headers, whole_body(answer.body)),
      Err(_) => OwnAnswer::Unknown,
    },
    _ if may_have_run => OwnAnswer::Unknown,
    NoStream::Failed => not_run(gateway, request, RETRY_AFTER_FULL_MS),
    NoStream::NoSeat => {
      let forecast_ms = gateway
        .slot_forecast
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
fn not_run(gateway: &Gateway, request: &RoutedRequest, otherwise_ms: u64) -> OwnAnswer {
  OwnAnswer::NotRun {
    retry_after_ms: gateway.retry_after_ms(&request.service, otherwise_ms),
  }
}
