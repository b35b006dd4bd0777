//! A process that is stopped while someone holds it.

use {
  std::{io, process::ExitStatus, time::Duration},
  tokio::process::Child,
};

/// Who holds a process.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub(crate) enum Holder {
  /// A fault: the machine stands still.
  Fault,
  /// The quota of processor time is used up.
  Quota,
}

/// A child process. It is stopped while a fault or the quota holds it, and killed when this is dropped.
#[derive(Debug)]
pub(crate) struct HeldProcess {
  child: Child,
  /// Tells this process from the others of its box.
  pub(crate) number: u64,
  /// Whether it was told to terminate.
  pub(crate) is_leaving: bool,
  is_held_by_fault: bool,
  is_held_by_quota: bool,
}

impl HeldProcess {
  /// A process that runs.
  pub(crate) fn new(child: Child, number: u64) -> Self {
    Self {
      child,
      number,
      is_leaving: false,
      is_held_by_fault: false,
      is_held_by_quota: false,
    }
  }

  /// Its process id; `None` once it has been waited for.
  pub(crate) fn id(&self) -> Option<u32> {
    self.child.id()
  }

  /// Sends a signal.
  pub(crate) fn signal(&self, signal: i32) {
    let Some(id) = self.id() else {
      return;
    };
    // SAFETY: the process is a child of this one and has not been waited for. A process that has just ended ignores signals.
    unsafe { libc::kill(id.cast_signed(), signal) };
  }

  /// Begins or ends a hold.
  pub(crate) fn set_hold(&mut self, holder: Holder, is_held: bool) {
    let was_stopped = self.is_stopped();
    match holder {
      Holder::Fault => self.is_held_by_fault = is_held,
      Holder::Quota => self.is_held_by_quota = is_held,
    }
    match (was_stopped, self.is_stopped()) {
      (false, true) => self.signal(libc::SIGSTOP),
      (true, false) => self.signal(libc::SIGCONT),
      (false, false) | (true, true) => {}
    }
  }

  fn is_stopped(&self) -> bool {
    self.is_held_by_fault || self.is_held_by_quota
  }

  /// Processor time that all its threads have used; `None` once it has ended.
  pub(crate) fn cpu_time(&self) -> Option<Duration> {
    let id = self.id()?.cast_signed();
    let mut clock: libc::clockid_t = 0;
    let mut time = libc::timespec {
      tv_sec: 0,
      tv_nsec: 0,
    };
    // SAFETY: both calls write to the locals that they are given.
    let failed = unsafe {
      libc::clock_getcpuclockid(id, &raw mut clock) != 0
        || libc::clock_gettime(clock, &raw mut time) != 0
    };
    if failed {
      return None;
    }
    let seconds = Duration::from_secs(time.tv_sec.cast_unsigned());
    Some(seconds + Duration::from_nanos(time.tv_nsec.cast_unsigned()))
  }

  /// How it ended, if it has.
  pub(crate) fn try_wait(&mut self) -> io::Result<Option<ExitStatus>> {
    self.child.try_wait()
  }

  /// Kills it, unless it has ended, and waits for its end.
  pub(crate) async fn kill(mut self) -> io::Result<()> {
    if self.try_wait()?.is_some() {
      return Ok(());
    }
    self.child.kill().await
  }
}
