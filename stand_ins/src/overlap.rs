//! Faults of one kind that overlap in time and end apart.

/// The faults of one kind in effect; the one that began last counts.
#[derive(Debug)]
pub(crate) struct Overlap<T> {
  active: Vec<(u64, T)>,
  last: u64,
}

impl<T> Default for Overlap<T> {
  fn default() -> Self {
    Self {
      active: Vec::new(),
      last: 0,
    }
  }
}

impl<T> Overlap<T> {
  /// Begins a fault; returns its number.
  pub(crate) fn begin(&mut self, fault: T) -> u64 {
    self.last += 1;
    self.active.push((self.last, fault));
    self.last
  }

  /// Ends a fault by its number.
  pub(crate) fn end(&mut self, number: u64) {
    self.active.retain(|(of, _)| *of != number);
  }

  /// The fault that counts.
  pub(crate) fn current(&self) -> Option<&T> {
    self.active.last().map(|(_, fault)| fault)
  }

  /// The fault that counts.
  pub(crate) fn current_mut(&mut self) -> Option<&mut T> {
    self.active.last_mut().map(|(_, fault)| fault)
  }
}
