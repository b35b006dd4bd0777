//! The steward lease of a hall: who holds it may order changes of role.

use {
  super::key_value_client::{KeyValueClient, SwapOutcome},
  crate::ids::Name,
  std::time::Duration,
  tokio::time::Instant,
};

const MARGIN_SHARE: u32 = 4;

/// A lease that is held.
pub(super) struct Held {
  lease: Name,
  /// The revision of the lease's key: the fence.
  pub(super) fence: u64,
  /// When the holder must stop, on its own clock, counted from before the call was sent.
  pub(super) until: Instant,
}

fn key(hall: &str) -> String {
  format!("rillford/steward/{hall}")
}

/// Time for which a lease that was asked for at `asked` may be relied on.
fn until(asked: Instant, ttl: Duration) -> Instant {
  asked + ttl - ttl / MARGIN_SHARE
}

/// Tries to take the lease. A new holder of a hall whose engines don't all check fences has to wait
/// the lease and the longest message life before its first order: the key lapses no sooner.
pub(super) async fn take(service: &KeyValueClient, hall: &str, own: &str, ttl: Duration) -> Option<Held> {
  // While another holds it, one reading is all that is asked of the platform.
  if service.get(&key(hall)).await.ok()?.is_some() {
    return None;
  }
  let asked = Instant::now();
  let lease = service.grant_lease(ttl).await.ok()?;
  match service.compare_and_swap(&key(hall), 0, own, Some(&lease)).await {
    Ok(SwapOutcome::Done(fence)) => Some(Held {
      fence,
      lease,
      until: until(asked, ttl),
    }),
    // An answer that was lost leaves a key that lapses by itself.
    Ok(SwapOutcome::Conflict(_)) | Err(_) => None,
  }
}

/// Extends the lease; none when it has lapsed. An outage leaves it as it is until it ends.
pub(super) async fn extend(service: &KeyValueClient, held: Held, ttl: Duration) -> Option<Held> {
  let asked = Instant::now();
  match service.keep_alive(&held.lease).await {
    Ok(true) => Some(Held {
      until: until(asked, ttl),
      ..held
    }),
    Ok(false) => None,
    Err(_) => (held.until > Instant::now()).then_some(held),
  }
}
