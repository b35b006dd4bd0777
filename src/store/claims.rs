//! Claims on the idempotency keys of non-repeatable requests: written once, never taken over, deleted after the
//! retention period.

use {
  super::key_value_client::{KeyValueClient, SwapOutcome},
  crate::{configuration::hash_key, decide::ClaimOutcome, ids::Name, observe::unix_ms},
  std::time::Duration,
  tokio::time::{Instant, sleep},
};

/// Hours for which a claim prevents another request with the same key from running; promised to callers.
pub const CLAIM_RETENTION_HOURS: u64 = 24;

const BUCKET_PREFIX: &str = "rillford/claim-hours/";
const CLAIM_PREFIX: &str = "rillford/claims/";
const HOUR_MS: u64 = 3_600_000;
const MIN_BACKOFF: Duration = Duration::from_millis(100);
const MAX_BACKOFF: Duration = Duration::from_secs(4);

/// The store key of a claim. The idempotency key is hashed, so it may contain any text.
///
/// ```
/// use rillford::store::claim_key;
/// assert_ne!(claim_key("oslo", "quiz-1"), claim_key("oslo", "quiz-2"));
/// ```
pub fn claim_key(organisation: &str, idempotency_key: &str) -> String {
  format!("{CLAIM_PREFIX}{organisation}/{}", hash_key(idempotency_key))
}

/// The store key under which a claim is indexed by the hour in which it was made, for the sweep.
pub fn claim_bucket(unix_ms: u64, claim: &str) -> String {
  let hour = unix_ms / HOUR_MS;
  format!("{BUCKET_PREFIX}{hour:010}/{}", hash_key(claim))
}

/// Claims an idempotency key with a token unique to the request. If the write gets no response, reads the key back.
pub(super) async fn claim(
  client: &KeyValueClient,
  organisation: &Name,
  idempotency_key: &Name,
  token: &str,
  timeout: Duration,
) -> ClaimOutcome {
  let key = claim_key(organisation, idempotency_key);
  let bucket = claim_bucket(unix_ms(), &key);
  let written = client.create_both((&key, token), (&bucket, &key)).await;
  match written {
    Ok(SwapOutcome::Done(_)) => ClaimOutcome::Held,
    Ok(SwapOutcome::Conflict(_)) => ClaimOutcome::Taken,
    Err(error) => {
      log::info!("claim write without a response, reading back: {error}");
      read_back(client, &key, token, timeout).await
    }
  }
}

/// Reads a claim until it is present. A write without a response may still take effect, so absence proves nothing.
async fn read_back(
  client: &KeyValueClient,
  key: &str,
  token: &str,
  timeout: Duration,
) -> ClaimOutcome {
  let deadline = Instant::now() + timeout;
  let mut backoff = MIN_BACKOFF;
  loop {
    match client.get(key).await {
      Ok(Some(stored)) if stored.value == token => return ClaimOutcome::Held,
      Ok(Some(_)) => return ClaimOutcome::Taken,
      Ok(None) | Err(_) if Instant::now() >= deadline => return ClaimOutcome::Unavailable,
      Ok(None) | Err(_) => back_off(&mut backoff).await,
    }
  }
}

/// Deletes the request's own claim after proof that the work did not run. Retries until it is deleted or `timeout` passes.
pub(super) async fn release(
  client: &KeyValueClient,
  organisation: &Name,
  idempotency_key: &Name,
  token: &str,
  timeout: Duration,
) {
  let key = claim_key(organisation, idempotency_key);
  let deadline = Instant::now() + timeout;
  let mut backoff = MIN_BACKOFF;
  while Instant::now() < deadline {
    let stored = match client.get(&key).await {
      Ok(Some(stored)) if stored.value == token => stored,
      Ok(Some(_)) => return,
      // The claim's own write may still take effect if it got no response.
      Ok(None) | Err(_) => {
        back_off(&mut backoff).await;
        continue;
      }
    };
    if client.remove(&key, stored.revision).await.is_err() {
      back_off(&mut backoff).await;
    }
  }
}

/// Waits with exponential backoff: after an outage many claims are read back at once.
async fn back_off(backoff: &mut Duration) {
  sleep(*backoff).await;
  *backoff = (*backoff * 2).min(MAX_BACKOFF);
}

/// Deletes claims older than the retention period.
pub(super) async fn sweep(client: &KeyValueClient) {
  let Ok((listed, _)) = client.list(BUCKET_PREFIX).await else {
    return;
  };
  let oldest = (unix_ms() / HOUR_MS).saturating_sub(CLAIM_RETENTION_HOURS);
  for bucket in listed {
    let hour = bucket
      .key
      .strip_prefix(BUCKET_PREFIX)
      .and_then(|rest| rest.split('/').next())
      .and_then(|hour| hour.parse::<u64>().ok());
    if hour.is_none_or(|hour| hour >= oldest) {
      continue;
    }
    if let Ok(Some(claim)) = client.get(&bucket.value).await {
      let _ = client.remove(&claim.key, claim.revision).await;
    }
    let _ = client.remove(&bucket.key, bucket.revision).await;
  }
}
