//! Waiting for a value of a watch channel.

use tokio::sync::watch::Receiver;

/// Waits until the value of a channel meets a condition; returns at once when the sender is gone. Unlike
/// [`Receiver::wait_for`] it returns no guard: one that lives on in a branch of `tokio::select!` blocks the sender, and on a
/// single thread for good.
///
/// ```
/// use {rillford::wait_until, tokio::sync::watch};
/// # let runtime = tokio::runtime::Builder::new_current_thread().build()?;
/// # runtime.block_on(async {
/// let sender = watch::Sender::new(1);
/// let mut receiver = sender.subscribe();
/// tokio::select! {
///   () = wait_until(&mut receiver, |value| *value >= 1) => drop(sender.send_replace(2)),
/// }
/// assert_eq!(*receiver.borrow(), 2);
/// # });
/// # Ok::<(), std::io::Error>(())
/// ```
#[expect(clippy::disallowed_methods, reason = "the guard is dropped here")]
pub async fn wait_until<T>(receiver: &mut Receiver<T>, condition: impl FnMut(&T) -> bool) {
  // An error means that the sender is gone.
  let _ = receiver.wait_for(condition).await;
}
