//! Merges two rings so that no effect is read before its cause.

use crate::ring::Receiver;

/// Merges two rings with a producer each. A value in `effects` may be a consequence of a value that was pushed to `causes` before
/// it: for example, a caller's next request, sent after a response that also set a backoff. Popping the rings in turn could yield
/// the effect first.
///
/// ```
/// use rillford::{CausalMerge, ring::{Waker, ring}};
/// let waker = Waker::Thread(std::thread::current());
/// let (backoffs, causes) = ring(2, waker.clone());
/// let (requests, effects) = ring(2, waker);
/// let mut merge = CausalMerge::new(causes, effects);
/// assert!(backoffs.push("backoff").is_ok());
/// assert!(requests.push("next request").is_ok());
/// assert_eq!(merge.pop(), Some("backoff"));
/// assert_eq!(merge.pop(), Some("next request"));
/// ```
pub struct CausalMerge<T> {
  causes: Receiver<T>,
  effects: Receiver<T>,
  /// An effect that was popped, and the number of causes that must be returned before it.
  pending_effect: Option<(T, usize)>,
}

impl<T> CausalMerge<T> {
  /// Merges two rings.
  pub fn new(causes: Receiver<T>, effects: Receiver<T>) -> Self {
    Self {
      causes,
      effects,
      pending_effect: None,
    }
  }

  /// Pops the next value, if there is one.
  pub fn pop(&mut self) -> Option<T> {
    if self.pending_effect.is_none() {
      let effect = self.effects.pop();
      // Read after the effect was popped, so that its causes are already in their ring.
      self.pending_effect = effect.map(|effect| (effect, self.causes.len()));
    }
    match self.pending_effect.take() {
      None => self.causes.pop(),
      Some((effect, 0)) => Some(effect),
      Some((effect, causes_before)) => {
        self.pending_effect = Some((effect, causes_before - 1));
        self.causes.pop()
      }
    }
  }
}
