//! A bounded single-producer ring with a wake-up beside it: the joint between two filters.

use {
  rtrb::{Consumer, Producer, RingBuffer},
  std::{
    sync::{Arc, Mutex, PoisonError},
    thread::{self, Thread},
    time::Duration,
  },
  tokio::sync::Notify,
};

const RETRY_WHEN_FULL: Duration = Duration::from_millis(1);

/// How the consumer's thread is woken.
#[derive(Clone)]
pub enum Waker {
  /// The consumer parks its thread.
  Thread(Thread),
  /// The consumer awaits a notification.
  Task(Arc<Notify>),
}

impl Waker {
  fn wake(&self) {
    match self {
      Self::Thread(thread) => thread.unpark(),
      Self::Task(notify) => notify.notify_one(),
    }
  }
}

/// The producing end. Clones share one slot in the ring's single-producer order.
pub struct Sender<T> {
  producer: Arc<Mutex<Producer<T>>>,
  waker: Waker,
}

impl<T> Clone for Sender<T> {
  fn clone(&self) -> Self {
    Self {
      producer: self.producer.clone(),
      waker: self.waker.clone(),
    }
  }
}

impl<T> Sender<T> {
  /// Puts a value in the ring, or gives it back when the ring is full.
  ///
  /// ```
  /// use rillford::ring::{ring, Waker};
  /// let (sender, mut receiver) = ring(1, Waker::Thread(std::thread::current()));
  /// assert!(sender.push(7).is_ok());
  /// assert_eq!(sender.push(8), Err(8));
  /// assert_eq!(receiver.pop(), Some(7));
  /// ```
  pub fn push(&self, value: T) -> Result<(), T> {
    self.push_leaving(0, value)
  }

  /// Puts a value in the ring only while more than `spare` slots stay free for others.
  pub fn push_leaving(&self, spare: usize, value: T) -> Result<(), T> {
    let mut producer = self.producer.lock().unwrap_or_else(PoisonError::into_inner);
    if producer.slots() <= spare {
      return Err(value);
    }
    let pushed = producer.push(value);
    drop(producer);
    self.waker.wake();
    pushed.map_err(|rtrb::PushError::Full(value)| value)
  }

  /// Puts a value in the ring, waiting for room; for what must not be lost.
  pub async fn send(&self, value: T) {
    let mut value = value;
    while let Err(back) = self.push(value) {
      value = back;
      tokio::time::sleep(RETRY_WHEN_FULL).await;
    }
  }

  /// Puts a value in the ring from a plain thread, waiting for room.
  pub fn send_blocking(&self, value: T) {
    let mut value = value;
    while let Err(back) = self.push(value) {
      value = back;
      thread::sleep(RETRY_WHEN_FULL);
    }
  }
}

/// The consuming end.
pub struct Receiver<T>(Consumer<T>);

impl<T> Receiver<T> {
  /// The oldest value, if there is one.
  pub fn pop(&mut self) -> Option<T> {
    self.0.pop().ok()
  }

  /// How many values wait.
  pub fn len(&self) -> usize {
    self.0.slots()
  }

  /// Whether nothing waits.
  pub fn is_empty(&self) -> bool {
    self.0.is_empty()
  }

  /// Awaits the oldest value; `notify` is the one in the sender's [`Waker::Task`].
  pub async fn next(&mut self, notify: &Notify) -> T {
    loop {
      if let Some(value) = self.pop() {
        return value;
      }
      notify.notified().await;
    }
  }
}

/// Makes a ring of `capacity` slots.
pub fn ring<T>(capacity: usize, waker: Waker) -> (Sender<T>, Receiver<T>) {
  let (producer, consumer) = RingBuffer::new(capacity);
  (
    Sender {
      producer: Arc::new(Mutex::new(producer)),
      waker,
    },
    Receiver(consumer),
  )
}
