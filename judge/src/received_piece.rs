//! The pieces in a body, as a reader of server-sent events finds them.

use {super::raw_records::RawRun, std::collections::BTreeMap};

/// A piece that a run made.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub(super) struct ReceivedPiece {
  /// Index of the run.
  pub(super) run: usize,
  pub(super) number: u64,
}

/// What a body holds.
#[derive(Debug, Default)]
pub(super) struct Content {
  pub(super) pieces: Vec<ReceivedPiece>,
  /// Blocks that no run made.
  pub(super) foreign: Vec<Vec<u8>>,
  /// Bytes after the last blank line.
  pub(super) tail: Vec<u8>,
}

/// The pieces of all runs, by their bytes.
#[derive(Debug, Default)]
pub(super) struct MadePieces<'a>(BTreeMap<&'a [u8], ReceivedPiece>);

impl<'a> MadePieces<'a> {
  pub(super) fn of(runs: &'a [RawRun]) -> Self {
    let runs = runs.iter().enumerate();
    let pieces = runs.flat_map(|(run, of_run)| {
      let pieces = of_run.pieces.iter();
      pieces.map(move |(number, bytes)| {
        let number = *number;
        (bytes.as_slice(), ReceivedPiece { run, number })
      })
    });
    Self(pieces.collect())
  }

  /// Finds the pieces in a body. Each begins after a blank line.
  pub(super) fn in_body(&self, mut body: &[u8]) -> Content {
    let mut content = Content::default();
    while let Some(length) = block_length(body) {
      let (block, rest) = body.split_at(length);
      body = rest;
      match self.0.get(block) {
        Some(piece) => content.pieces.push(*piece),
        None => content.foreign.push(block.to_vec()),
      }
    }
    content.tail = body.to_vec();
    content
  }
}

/// The length of the first block with its blank line.
fn block_length(bytes: &[u8]) -> Option<usize> {
  let ends = [&b"\n\n"[..], b"\r\n\r\n", b"\r\r"];
  let ends = ends.into_iter().filter_map(|end| {
    let at = bytes.windows(end.len()).position(|window| window == end)?;
    Some(at + end.len())
  });
  ends.min()
}
