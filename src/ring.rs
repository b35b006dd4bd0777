//! A bounded single-producer, single-consumer ring that wakes its consumer.

use {
  rtrb::{Consumer, Producer, RingBuffer},
  std::{
    sync::{Arc, Mutex, PoisonError},
    thread::{self, Thread},
    time::Duration,
  },
  tokio::sync::Notify,
};

const FULL_RETRY_PERIOD: Duration = Duration::from_millis(1);

/// How the consumer is woken.
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

/// The producing end. Clones share the producer behind a mutex.
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
  /// Pushes a value, or returns it when the ring is full.
  ///
  /// ```
  /// use rillford::ring::{ring, Waker};
  /// let (sender, mut receiver) = ring(1, Waker::Thread(std::thread::current()));
  /// assert!(sender.push(7).is_ok());
  /// assert_eq!(sender.push(8), Err(8));
  /// assert_eq!(receiver.pop(), Some(7));
  /// ```
  pub fn push(&self, value: T) -> Result<(), T> {
    self.push_with_reserve(0, value)
  }

  /// Pushes a value if more than `reserved` slots are free, or returns it.
  pub fn push_with_reserve(&self, reserved: usize, value: T) -> Result<(), T> {
    let mut producer = self.producer.lock().unwrap_or_else(PoisonError::into_inner);
    if producer.slots() <= reserved {
      return Err(value);
    }
    let pushed = producer.push(value);
    drop(producer);
    self.waker.wake();
    pushed.map_err(|rtrb::PushError::Full(value)| value)
  }

  /// Pushes a value, waiting while the ring is full.
  pub async fn send(&self, value: T) {
    let mut value = value;
    while let Err(rejected) = self.push(value) {
      value = rejected;
      tokio::time::sleep(FULL_RETRY_PERIOD).await;
    }
  }

  /// Pushes a value from a thread without a runtime, blocking while the ring is full.
  pub fn send_blocking(&self, value: T) {
    let mut value = value;
    while let Err(rejected) = self.push(value) {
      value = rejected;
      thread::sleep(FULL_RETRY_PERIOD);
    }
  }
}

/// The consuming end.
pub struct Receiver<T>(Consumer<T>);

impl<T> Receiver<T> {
  /// Pops the oldest value, if there is one.
  pub fn pop(&mut self) -> Option<T> {
    self.0.pop().ok()
  }

  /// The number of queued values.
  pub fn len(&self) -> usize {
    self.0.slots()
  }

  /// Whether no value is queued.
  pub fn is_empty(&self) -> bool {
    self.0.is_empty()
  }

  /// Waits for the oldest value; `notify` is the one in the sender's [`Waker::Task`].
  pub async fn next(&mut self, notify: &Notify) -> T {
    loop {
      if let Some(value) = self.pop() {
        return value;
      }
      notify.notified().await;
    }
  }
}

/// Creates a ring of `capacity` slots.
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
