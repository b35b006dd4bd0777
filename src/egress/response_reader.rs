//! Reads a decode engine's response stream and forwards its text to the caller.

use {
  super::{
    active_request::ActiveRequest,
    chunk_stream::{ChunkStream, Next},
    context::EgressContext,
    endpoint_client::CommandFailure,
    joiner::Joined,
  },
  crate::{
    chunk::{Chunk, Usage},
    decide::StageOutcome,
    endpoint_api::FinishReason,
    ids::{AttemptId, Name},
  },
  std::sync::PoisonError,
  tokio::sync::Notify,
};

/// Reads a decode stream until its finish marker; returns the number of completion tokens.
///
/// A stream that ends before all text up to the finish marker was delivered is a failure, and one that is ended from
/// outside while it is silent.
pub(super) async fn read_response(
  context: &EgressContext,
  request: &ActiveRequest,
  mut stream: ChunkStream,
  attempt: &AttemptId,
  endpoint: &Name,
  ended: &Notify,
) -> Result<u64, CommandFailure> {
  let mut first = true;
  loop {
    let next = tokio::select! {
      biased;
      next = stream.next() => next?,
      () = ended.notified() => Next::End,
    };
    let chunk = match next {
      Next::Chunk(chunk) => chunk,
      Next::End => return Err(CommandFailure::PerhapsBegan),
      Next::Silent(silence) => {
        let silence_ms = u64::try_from(silence.as_millis()).unwrap_or(u64::MAX);
        let outcome = StageOutcome::Stalled { silence_ms };
        context
          .report(attempt.clone(), endpoint.clone(), outcome)
          .await;
        continue;
      }
    };
    let tokens = chunk.tokens;
    let joined = request.joiner().push(chunk);
    match joined {
      Joined::Invalid => return Err(CommandFailure::PerhapsBegan),
      Joined::Nothing => {}
      Joined::Text(text) => {
        if std::mem::take(&mut first) {
          let outcome = StageOutcome::FirstChunk;
          context
            .report(attempt.clone(), endpoint.clone(), outcome)
            .await;
        }
        if let Some(latencies) = request
          .latencies
          .lock()
          .unwrap_or_else(PoisonError::into_inner)
          .as_mut()
        {
          latencies.record_chunk(tokens);
        }
        if request
          .payload
          .chunks
          .send(Chunk::Text(text))
          .await
          .is_err()
        {
          return Err(CommandFailure::PerhapsBegan);
        }
      }
    }
    let finished = {
      let joiner = request.joiner();
      joiner.finished().map(|finish| (finish, joiner.tokens()))
    };
    if let Some((finish, completion_tokens)) = finished {
      finish_response(context, request, finish, completion_tokens).await;
      return Ok(completion_tokens);
    }
  }
}

async fn finish_response(
  context: &EgressContext,
  request: &ActiveRequest,
  finish: FinishReason,
  completion_tokens: u64,
) {
  let usage = Usage {
    completion_tokens,
    finish,
    prompt_tokens: *request
      .prompt_tokens
      .lock()
      .unwrap_or_else(PoisonError::into_inner),
  };
  // If the caller has disconnected, ingress notifies `decide`.
  let _ = request.payload.chunks.send(Chunk::Usage(usage)).await;
  let latencies = request
    .latencies
    .lock()
    .unwrap_or_else(PoisonError::into_inner)
    .take();
  if let Some(latencies) = latencies {
    context.observer.send(latencies.finish(&context.targets));
  }
}
