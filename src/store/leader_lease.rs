//! The leader lease of a hall: its holder may change the roles of engines.

use {
  super::key_value_client::{KeyValueClient, SwapOutcome},
  crate::ids::Name,
  std::time::Duration,
  tokio::time::Instant,
};

/// A holder stops relying on its lease when one part in this many of the TTL is left.
const MARGIN_DIVISOR: u32 = 4;

/// A lease that this box holds.
pub(super) struct HeldLease {
  lease: Name,
  /// The revision of the lease's key.
  pub(super) fence: u64,
  /// When this box must stop acting as the leader.
  pub(super) valid_until: Instant,
}

fn key(hall: &str) -> String {
  format!("rillford/steward/{hall}")
}

/// When a lease expires, less the margin. Counted from before the call was sent.
fn valid_until(sent: Instant, ttl: Duration) -> Instant {
  sent + ttl - ttl / MARGIN_DIVISOR
}

/// Tries to acquire the lease. Returns `None` while another box holds it.
///
/// In a hall with an engine that doesn't check fences, a new holder must wait for the TTL and the longest delivery time
/// of a command before its first command: an earlier holder may act until then.
pub(super) async fn acquire(
  client: &KeyValueClient,
  hall: &str,
  own_name: &str,
  ttl: Duration,
) -> Option<HeldLease> {
  // Avoids granting a store lease while another box is the leader.
  if client.get(&key(hall)).await.ok()?.is_some() {
    return None;
  }
  let sent = Instant::now();
  let lease = client.grant_lease(ttl).await.ok()?;
  match client
    .compare_and_swap(&key(hall), 0, own_name, Some(&lease))
    .await
  {
    Ok(SwapOutcome::Done(fence)) => Some(HeldLease {
      fence,
      lease,
      valid_until: valid_until(sent, ttl),
    }),
    // If the response was lost, the key may have been written; it expires with its lease.
    Ok(SwapOutcome::Conflict(_)) | Err(_) => None,
  }
}

/// Extends the lease; `None` when it has expired. If the store does not respond, the lease is kept until it expires.
pub(super) async fn extend(
  client: &KeyValueClient,
  held: HeldLease,
  ttl: Duration,
) -> Option<HeldLease> {
  let sent = Instant::now();
  match client.keep_alive(&held.lease).await {
    Ok(true) => Some(HeldLease {
      valid_until: valid_until(sent, ttl),
      ..held
    }),
    Ok(false) => None,
    Err(_) => (held.valid_until > Instant::now()).then_some(held),
  }
}
