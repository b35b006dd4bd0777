//! The end of a fault.

use std::fmt;

/// A fault in effect; it ends when the guard is dropped.
#[must_use = "the fault ends when the guard is dropped"]
pub struct FaultGuard {
  end: Option<Box<dyn FnOnce() + Send>>,
}

impl FaultGuard {
  pub(crate) fn new(end: impl FnOnce() + Send + 'static) -> Self {
    Self {
      end: Some(Box::new(end)),
    }
  }
}

impl fmt::Debug for FaultGuard {
  fn fmt(&self, formatter: &mut fmt::Formatter<'_>) -> fmt::Result {
    formatter.debug_struct("FaultGuard").finish_non_exhaustive()
  }
}

impl Drop for FaultGuard {
  fn drop(&mut self) {
    if let Some(end) = self.end.take() {
      end();
    }
  }
}
