//! What becomes of an answer.

use {
  super::condition_cell::{ConditionCell, GarbleKind},
  rand::RngExt,
  rand_chacha::ChaCha8Rng,
};

/// Where bytes that are no answer stand.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub(super) enum NoisePlace {
  /// Instead of the answer.
  Instead,
  /// Before it.
  Before,
  /// Before one of its parts, where a chunk would begin.
  Within,
  /// Behind it.
  Behind,
}

/// What becomes of an answer.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub(super) enum AnswerFault {
  /// It is made and not sent; the connection is closed, or reset.
  Lost { resets: bool },
  /// It is broken off inside a part.
  BrokenOff { resets: bool },
  /// Bytes that are no answer.
  Spoilt(NoisePlace),
  /// A second answer follows at once.
  Extra,
  /// A second answer stands in the place of the next.
  Late,
  /// It ends with its connection.
  Unframed,
}

impl AnswerFault {
  /// Draws what becomes of the answer to a request, which was run or not.
  pub(super) fn draw(
    conditions: &ConditionCell,
    was_run: bool,
    random: &mut ChaCha8Rng,
  ) -> Option<Self> {
    if was_run && let Some(resets) = conditions.draw_loss(random) {
      return Some(Self::Lost { resets });
    }
    let fault = match conditions.draw_garble(random)? {
      GarbleKind::Extra => Self::Extra,
      GarbleKind::Late => Self::Late,
      GarbleKind::Unframed => Self::Unframed,
      GarbleKind::Broken => match random.random_range(0..8_u32) {
        0 => Self::Spoilt(NoisePlace::Instead),
        1 => Self::Spoilt(NoisePlace::Before),
        2 => Self::Spoilt(NoisePlace::Within),
        3 => Self::Spoilt(NoisePlace::Behind),
        part => Self::BrokenOff { resets: part < 6 },
      },
    };
    Some(fault)
  }
}

/// Bytes that are no answer, no chunk and no event.
pub(super) fn noise(random: &mut ChaCha8Rng) -> Vec<u8> {
  let mut noise = b"\x00\x16garbled ".to_vec();
  let length = random.random_range(1..48_usize);
  let bytes = (0..length).map(|_| random.random_range(0x80..=0xff_u8));
  noise.extend(bytes);
  noise.extend_from_slice(b"\r\n");
  noise
}
