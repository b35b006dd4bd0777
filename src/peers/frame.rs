//! Versioned frames with a bound on their size, coded by `postcard`.

use {
  crate::{decide::PeerMessage, ids::Name, observe::Stamp},
  serde::{Deserialize, Serialize},
};

/// Frames of another version are refused.
pub const PROTOCOL_VERSION: u8 = 1;

/// Larger frames are refused; a configuration document may be up to a megabyte.
pub const MOST_FRAME_BYTES: usize = 2 * 1024 * 1024;

/// One message on its way between boxes.
#[derive(Clone, Debug, Deserialize, PartialEq, Serialize)]
pub struct Frame {
  /// The sender.
  pub from: Name,
  /// The sender's clock.
  pub stamp: Stamp,
  /// The message.
  pub message: PeerMessage,
}

/// Why a frame was refused.
#[derive(Clone, Debug, Eq, PartialEq, thiserror::Error)]
pub enum FrameError {
  /// There is nothing in it.
  #[error("frame is empty")]
  Empty,
  /// It is of another version.
  #[error("frame has version {0}, this box speaks {PROTOCOL_VERSION}")]
  Version(u8),
  /// It is too large.
  #[error("frame of {0} bytes is larger than {MOST_FRAME_BYTES}")]
  TooLarge(usize),
  /// It can't be read.
  #[error("frame can't be read: {0}")]
  Malformed(String),
}

/// Codes a frame, its version first.
///
/// ```
/// use rillford::{decide::PeerMessage, observe::Stamp, peers::{decode, encode, Frame}};
/// let frame = Frame {
///   from: "north-1".into(), stamp: Stamp(1), message: PeerMessage::SlotFreed("d-1".into()),
/// };
/// assert_eq!(decode(&encode(&frame).unwrap()).unwrap(), frame);
/// ```
pub fn encode(frame: &Frame) -> Result<Vec<u8>, FrameError> {
  let bytes = postcard::to_extend(frame, vec![PROTOCOL_VERSION])
    .map_err(|error| FrameError::Malformed(error.to_string()))?;
  if bytes.len() > MOST_FRAME_BYTES {
    return Err(FrameError::TooLarge(bytes.len()));
  }
  Ok(bytes)
}

/// Reads a frame; trailing bytes make it malformed.
pub fn decode(bytes: &[u8]) -> Result<Frame, FrameError> {
  if bytes.len() > MOST_FRAME_BYTES {
    return Err(FrameError::TooLarge(bytes.len()));
  }
  let (version, rest) = bytes.split_first().ok_or(FrameError::Empty)?;
  if *version != PROTOCOL_VERSION {
    return Err(FrameError::Version(*version));
  }
  let (frame, rest) = postcard::take_from_bytes::<Frame>(rest)
    .map_err(|error| FrameError::Malformed(error.to_string()))?;
  if !rest.is_empty() {
    return Err(FrameError::Malformed(format!(
      "{} bytes behind it",
      rest.len()
    )));
  }
  Ok(frame)
}
