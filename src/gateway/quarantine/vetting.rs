//! Whether a request is sent at all, asked when it comes; and what its end means for those that are the same.

use {
  crate::gateway::{
    decisions::{
      Fingerprint, QuarantineKey, QuarantineMark, QuarantineStrategy, QuarantineVerdict,
    },
    stages::{RoutedRequest, SendMode},
    state::{Gateway, MarkOrigin},
  },
  std::rc::Rc,
};

/// Callers come back after this when another box has taken the trial, or the store does not say whose it is.
const CLAIM_WAIT_MS: u64 = 1_000;

/// A request that has ended too many endpoints.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub(crate) struct Held {
  /// When it may be asked for again.
  pub(crate) retry_after_ms: u64,
}

/// Lets a request pass, or takes a trial for it. One that is held is refused at once: no endpoint sees it.
pub(crate) async fn vet(gateway: &Rc<Gateway>, request: &RoutedRequest) -> Result<(), Held> {
  let is_off = gateway.settings.quarantine.strategy == QuarantineStrategy::Off;
  if is_off || gateway.quarantine.book.borrow().is_empty() {
    return Ok(());
  }
  let fingerprint = request.fingerprint();
  let now_ms = gateway.now_ms();
  let (verdict, due) = {
    let book = gateway.quarantine.book.borrow();
    (
      book.verdict(fingerprint, now_ms),
      book.marks_to_refresh(fingerprint, now_ms),
    )
  };
  keep_longer(gateway, &due, now_ms);
  let held = match verdict {
    QuarantineVerdict::Allowed => return Ok(()),
    QuarantineVerdict::Probe { number } => {
      if take_trial(gateway, request, number).await {
        return Ok(());
      }
      Held {
        retry_after_ms: CLAIM_WAIT_MS,
      }
    }
    QuarantineVerdict::Quarantined { retry_after_ms } => Held { retry_after_ms },
  };
  gateway.counters.held.inc();
  log_held(gateway, request, held);
  Err(held)
}

/// What is asked for is kept: its marks are written anew before they lapse.
fn keep_longer(gateway: &Gateway, due: &[QuarantineKey], now_ms: u64) {
  if due.is_empty() {
    return;
  }
  let mut book = gateway.quarantine.book.borrow_mut();
  for key in due {
    book.record(*key, now_ms);
  }
  drop(book);
  share(gateway, due, false);
}

/// Takes a trial, unless another box has it.
async fn take_trial(gateway: &Gateway, request: &RoutedRequest, number: u32) -> bool {
  let key = QuarantineKey {
    fingerprint: request.fingerprint(),
    mark: QuarantineMark::Probe(number),
  };
  let is_own = match gateway.settings.quarantine.strategy {
    QuarantineStrategy::Off => false,
    QuarantineStrategy::OwnBox => true,
    QuarantineStrategy::Shared => gateway.quarantine.claim(key).await,
  };
  // One that is not this box's is another's, or the store does not say: this box waits either way.
  let now_ms = gateway.now_ms();
  gateway.quarantine.book.borrow_mut().record(key, now_ms);
  if is_own {
    request.send_mode.set(SendMode::Probe(number));
    log::info!(
      "E530 trial {number}: {} ({})",
      request.id(),
      request.fingerprint()
    );
  }
  is_own
}

/// Says on what a refusal was decided, and how old that was.
fn log_held(gateway: &Gateway, request: &RoutedRequest, held: Held) {
  let fingerprint = request.fingerprint();
  let (ended, trials) = gateway.quarantine.book.borrow().counts(fingerprint);
  let heard_ms = gateway.store_heard_ms.get();
  log::info!(
    "E529 held: {} ({fingerprint}) was at the end of {ended} endpoints, {trials} trials, store heard {:?} ms ago, to come back in {} ms",
    request.id(),
    heard_ms.map(|heard_ms| gateway.now_ms() - heard_ms),
    held.retry_after_ms
  );
}

/// A trial that no endpoint was sent is there for the next request.
pub(crate) fn release_unsent(gateway: &Gateway, request: &RoutedRequest) {
  if let SendMode::Probe(number) = request.send_mode.get() {
    let key = QuarantineKey {
      fingerprint: request.fingerprint(),
      mark: QuarantineMark::Probe(number),
    };
    gateway.quarantine.book.borrow_mut().remove(key);
    gateway.quarantine.remove(&[key]);
  }
}

/// A request, or the reading of its prompt, came to an end of its own: whatever ended before had another cause. One end is let
/// stand, since it holds nobody, and to remove it costs a call to the store.
pub(crate) fn note_whole(
  gateway: &Gateway,
  request: &RoutedRequest,
  fingerprint: impl FnOnce(&RoutedRequest) -> Fingerprint,
) {
  if gateway.quarantine.book.borrow().is_empty() {
    return;
  }
  let fingerprint = fingerprint(request);
  let (ended, trials) = gateway.quarantine.book.borrow().counts(fingerprint);
  if ended < 2 && trials == 0 {
    return;
  }
  let cleared = gateway.quarantine.book.borrow_mut().clear(fingerprint);
  gateway.quarantine.remove(&cleared);
  log::info!(
    "E531 cleared: {} ({fingerprint}) came back whole after {ended} ends and {trials} trials",
    request.id()
  );
}

/// Tells the other boxes, where boxes share what they know.
pub(super) fn share(gateway: &Gateway, keys: &[QuarantineKey], is_pressing: bool) {
  if gateway.settings.quarantine.strategy == QuarantineStrategy::Shared {
    gateway.quarantine.write(keys, MarkOrigin::Own, is_pressing);
  }
}
