//! Versioned frames of bounded size, encoded with `postcard`.

use {
  crate::{decide::PeerMessage, ids::Name, observe::Stamp},
  serde::{Deserialize, Serialize},
};

/// Frames of any other version are rejected.
pub const PROTOCOL_VERSION: u8 = 1;

/// The largest frame that is sent or accepted; a configuration document may take up to a megabyte.
pub const MAX_FRAME_BYTES: usize = 2 * 1024 * 1024;

/// One message between two boxes.
#[derive(Clone, Debug, Deserialize, PartialEq, Serialize)]
pub struct Frame {
  /// The name of the sending box.
  pub from: Name,
  /// The sender's hybrid clock when it sent the frame.
  pub stamp: Stamp,
  /// The payload.
  pub message: PeerMessage,
}

/// Why a frame was rejected.
#[derive(Clone, Debug, Eq, PartialEq, thiserror::Error)]
pub enum FrameError {
  /// It has no bytes.
  #[error("frame is empty")]
  Empty,
  /// It has an unsupported version.
  #[error("frame has version {0}, this box supports {PROTOCOL_VERSION}")]
  Version(u8),
  /// It is too large.
  #[error("frame of {0} bytes is larger than {MAX_FRAME_BYTES}")]
  TooLarge(usize),
  /// It could not be encoded or decoded.
  #[error("malformed frame: {0}")]
  Malformed(String),
}

/// Encodes a frame, starting with the protocol version.
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
  if bytes.len() > MAX_FRAME_BYTES {
    return Err(FrameError::TooLarge(bytes.len()));
  }
  Ok(bytes)
}

/// Decodes a frame. Fails on trailing bytes.
pub fn decode(bytes: &[u8]) -> Result<Frame, FrameError> {
  if bytes.len() > MAX_FRAME_BYTES {
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
      "{} trailing bytes",
      rest.len()
    )));
  }
  Ok(frame)
}
