//! The choice among places that the groups of several halls offer for one prompt. Free of I/O.
//!
//! Load pattern: a burst arrives in one hall, and its prefill engines queue while those of other halls are idle.

use super::prefill_place::Place;

/// Least gain for which other halls are asked. Each of them takes three messages, and at uneven speeds an earlier start is no
/// earlier end; callers notice no smaller part of a target of 800 ms and more.
const MIN_GAIN_MS: u64 = 30;

/// A place that a group granted, with what it costs to use it.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub struct PrefillOffer {
  pub place: Place,
  /// Time for the transfer of KV memory to the decode engine beyond that within a hall; 0 in the decode engine's hall.
  pub extra_transfer_ms: u64,
}

impl PrefillOffer {
  /// Time until the KV memory is expected at the decode engine, relative to a prefill engine in its hall.
  pub fn end_in_ms(&self) -> u64 {
    self.place.end_in_ms.saturating_add(self.extra_transfer_ms)
  }
}

/// Time for the transfer of a prompt's KV memory to another hall beyond that within a hall: a transfer between halls takes
/// twice as long. 0 without a link rate.
///
/// ```
/// use rillford::gateway::extra_transfer_ms;
/// assert_eq!(extra_transfer_ms(5_200, 35_136, 550_000), 3);
/// ```
pub fn extra_transfer_ms(prompt_tokens: u64, kv_token_bytes: u64, link_mbps: u64) -> u64 {
  let bits = prompt_tokens
    .saturating_mul(kv_token_bytes)
    .saturating_mul(8);
  let bits_per_ms = link_mbps.saturating_mul(1_000);
  if bits_per_ms == 0 {
    return 0;
  }
  bits.div_ceil(bits_per_ms)
}

/// Whether the groups of other halls should be asked after the first offer: an idle engine there would start notably
/// earlier, with the extra transfer and the round trip of the request.
///
/// ```
/// use rillford::gateway::asks_other_halls;
/// assert!(asks_other_halls(None, 3, 2));
/// ```
pub fn asks_other_halls(first: Option<&Place>, extra_transfer_ms: u64, round_trip_ms: u64) -> bool {
  let gain_from_ms = extra_transfer_ms.saturating_add(round_trip_ms);
  first.is_none_or(|place| place.start_in_ms >= gain_from_ms.saturating_add(MIN_GAIN_MS))
}

/// The index of the offer with the earliest end, the first one of equals; `None` without offers.
///
/// ```
/// use rillford::gateway::best_prefill_offer;
/// assert_eq!(best_prefill_offer(&[]), None);
/// ```
pub fn best_prefill_offer(offers: &[PrefillOffer]) -> Option<usize> {
  (0..offers.len()).min_by_key(|index| offers[*index].end_in_ms())
}
