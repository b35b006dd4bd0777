//! Reading one answer to its end: from a decode engine's chunks to the caller's pieces.

use {
  super::{
    endpoint_client::OrderFailure, errand::Errand, joiner::Piece, office::Office,
    streams::ChunkStream,
  },
  crate::{
    chunk::{Chunk, Usage},
    decide::StageOutcome,
    endpoint_api::FinishReason,
    ids::{AttemptId, Name},
  },
  std::sync::PoisonError,
};

/// Reads an answer to its end; only its normal end with all of it delivered counts.
pub(super) async fn read_answer(
  office: &Office,
  errand: &Errand,
  mut stream: ChunkStream,
  attempt: &AttemptId,
  endpoint: &Name,
) -> Result<u64, OrderFailure> {
  let mut first = true;
  loop {
    let Some(chunk) = stream.next().await? else {
      return Err(OrderFailure::PerhapsBegan);
    };
    let tokens = chunk.tokens;
    let piece = errand.joiner().take(chunk);
    match piece {
      Piece::Wrong => return Err(OrderFailure::PerhapsBegan),
      Piece::Nothing => {}
      Piece::Text(text) => {
        if std::mem::take(&mut first) {
          let outcome = StageOutcome::FirstChunk;
          office
            .report(attempt.clone(), endpoint.clone(), outcome)
            .await;
        }
        if let Some(pace) = errand
          .pace
          .lock()
          .unwrap_or_else(PoisonError::into_inner)
          .as_mut()
        {
          pace.piece(tokens);
        }
        if errand.payload.chunks.send(Chunk::Text(text)).await.is_err() {
          return Err(OrderFailure::PerhapsBegan);
        }
      }
    }
    let finished = {
      let joiner = errand.joiner();
      joiner.finished().map(|finish| (finish, joiner.tokens()))
    };
    if let Some((finish, completion_tokens)) = finished {
      finish_answer(office, errand, finish, completion_tokens).await;
      return Ok(completion_tokens);
    }
  }
}

async fn finish_answer(
  office: &Office,
  errand: &Errand,
  finish: FinishReason,
  completion_tokens: u64,
) {
  let usage = Usage {
    completion_tokens,
    finish,
    prompt_tokens: *errand
      .prompt_tokens
      .lock()
      .unwrap_or_else(PoisonError::into_inner),
  };
  // A caller who has gone is told to `decide` by ingress.
  let _ = errand.payload.chunks.send(Chunk::Usage(usage)).await;
  let pace = errand
    .pace
    .lock()
    .unwrap_or_else(PoisonError::into_inner)
    .take();
  if let Some(pace) = pace {
    office.observer.send(pace.completed(&office.targets));
  }
}
