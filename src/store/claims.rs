//! Claims on not-repeatable requests: written once, never taken over, swept in bulk by the hour.

use {
  super::key_value_client::{KeyValueClient, SwapOutcome},
  crate::{configuration::hash_key, decide::ClaimOutcome, ids::Name, observe::unix_ms},
  std::time::Duration,
  tokio::time::{Instant, sleep},
};

/// Hours for which a claim keeps a second run away: the promise to callers.
pub const CLAIM_RETENTION_HOURS: u64 = 24;

const BUCKET_PREFIX: &str = "rillford/claim-hours/";
const CLAIM_PREFIX: &str = "rillford/claims/";
const HOUR_MS: u64 = 3_600_000;
const FIRST_PAUSE: Duration = Duration::from_millis(100);
const MOST_PAUSE: Duration = Duration::from_secs(4);

/// The key of a claim. The caller's text is hashed, so any text will do.
///
/// ```
/// use rillford::store::claim_key;
/// assert_ne!(claim_key("oslo", "quiz-1"), claim_key("oslo", "quiz-2"));
/// ```
pub fn claim_key(organisation: &str, idempotency_key: &str) -> String {
  format!("{CLAIM_PREFIX}{organisation}/{}", hash_key(idempotency_key))
}

/// The key by which an hour's claims are found for the sweep.
pub fn claim_bucket(unix_ms: u64, claim: &str) -> String {
  let hour = unix_ms / HOUR_MS;
  format!("{BUCKET_PREFIX}{hour:010}/{}", hash_key(claim))
}

/// Claims a key with a random token; an ambiguous answer is settled by reading back.
pub(super) async fn claim(
  service: &KeyValueClient,
  organisation: &Name,
  idempotency_key: &Name,
  token: &str,
  limit: Duration,
) -> ClaimOutcome {
  let key = claim_key(organisation, idempotency_key);
  let bucket = claim_bucket(unix_ms(), &key);
  let written = service.create_both((&key, token), (&bucket, &key)).await;
  match written {
    Ok(SwapOutcome::Done(_)) => ClaimOutcome::Held,
    Ok(SwapOutcome::Conflict(_)) => ClaimOutcome::Taken,
    Err(error) => {
      log::info!("claim: {error}");
      read_back(service, &key, token, limit).await
    }
  }
}

/// A write without an answer may take effect late: absence settles nothing, presence does.
async fn read_back(service: &KeyValueClient, key: &str, token: &str, limit: Duration) -> ClaimOutcome {
  let until = Instant::now() + limit;
  let mut pause = FIRST_PAUSE;
  loop {
    match service.get(key).await {
      Ok(Some(stored)) if stored.value == token => return ClaimOutcome::Held,
      Ok(Some(_)) => return ClaimOutcome::Taken,
      Ok(None) | Err(_) if Instant::now() >= until => return ClaimOutcome::Unavailable,
      Ok(None) | Err(_) => wait(&mut pause).await,
    }
  }
}

/// Releases our own claim on proof that nothing ran; done again until it is settled.
pub(super) async fn release(
  service: &KeyValueClient,
  organisation: &Name,
  idempotency_key: &Name,
  token: &str,
  limit: Duration,
) {
  let key = claim_key(organisation, idempotency_key);
  let until = Instant::now() + limit;
  let mut pause = FIRST_PAUSE;
  while Instant::now() < until {
    let stored = match service.get(&key).await {
      Ok(Some(stored)) if stored.value == token => stored,
      Ok(Some(_)) => return,
      // Absent now; but a write of ours without an answer may still take effect.
      Ok(None) | Err(_) => {
        wait(&mut pause).await;
        continue;
      }
    };
    if service.remove(&key, stored.revision).await.is_err() {
      wait(&mut pause).await;
    }
  }
}

/// Waits, and for twice as long the next time: after an outage many claims are settled at once.
async fn wait(pause: &mut Duration) {
  sleep(*pause).await;
  *pause = (*pause * 2).min(MOST_PAUSE);
}

/// Deletes the claims of hours that lie beyond the retention.
pub(super) async fn sweep(service: &KeyValueClient) {
  let Ok((listed, _)) = service.list(BUCKET_PREFIX).await else {
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
    if let Ok(Some(claim)) = service.get(&bucket.value).await {
      let _ = service.remove(&claim.key, claim.revision).await;
    }
    let _ = service.remove(&bucket.key, bucket.revision).await;
  }
}
