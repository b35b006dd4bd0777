//! Two rings read as one, in which nothing comes before what led to it.

use crate::ring::Receiver;

/// Reads two rings with a producer each. What the producer of `effects` puts there may follow from what stood in `causes` before,
/// over a way outside of the rings: a caller asks again after an answer that told of a pause as well. Read in turn, the ring of
/// effects could yield it first.
///
/// ```
/// use rillford::{CauseFirst, ring::{Waker, ring}};
/// let waker = Waker::Thread(std::thread::current());
/// let (pauses, causes) = ring(2, waker.clone());
/// let (calls, effects) = ring(2, waker);
/// let mut both = CauseFirst::new(causes, effects);
/// assert!(pauses.push("a pause").is_ok());
/// assert!(calls.push("the next call").is_ok());
/// assert_eq!(both.pop(), Some("a pause"));
/// assert_eq!(both.pop(), Some("the next call"));
/// ```
pub struct CauseFirst<T> {
  causes: Receiver<T>,
  effects: Receiver<T>,
  /// An effect that waits for so many causes: those that were there when it was taken.
  held: Option<(T, usize)>,
}

impl<T> CauseFirst<T> {
  /// Joins the two rings.
  pub fn new(causes: Receiver<T>, effects: Receiver<T>) -> Self {
    Self {
      causes,
      effects,
      held: None,
    }
  }

  /// The next value, if there is one.
  pub fn pop(&mut self) -> Option<T> {
    if self.held.is_none() {
      let effect = self.effects.pop();
      // Looked at after the effect was taken: what led to it is in its ring by now.
      self.held = effect.map(|effect| (effect, self.causes.len()));
    }
    match self.held.take() {
      None => self.causes.pop(),
      Some((effect, 0)) => Some(effect),
      Some((effect, ahead)) => {
        self.held = Some((effect, ahead - 1));
        self.causes.pop()
      }
    }
  }
}
