//! One direction of a link: frames over a unidirectional QUIC stream, made anew when it breaks.

use {
  super::frame::{Frame, MAX_FRAME_BYTES, decode, encode},
  super::keys::SharedClient,
  bytes::Bytes,
  futures_util::{SinkExt, StreamExt},
  quinn::{Connection, Endpoint, RecvStream, SendStream},
  std::{net::SocketAddr, time::Duration},
  tokio::{sync::mpsc, time::timeout},
  tokio_util::codec::{FramedRead, FramedWrite, LengthDelimitedCodec},
};

const CONNECT_TIMEOUT: Duration = Duration::from_secs(1);
const LEAST_BACKOFF: Duration = Duration::from_millis(50);
const MOST_BACKOFF: Duration = Duration::from_secs(2);

fn codec() -> LengthDelimitedCodec {
  LengthDelimitedCodec::builder()
    .max_frame_length(MAX_FRAME_BYTES)
    .new_codec()
}

/// Whom a link goes to.
#[derive(Clone, Debug)]
pub(super) struct Target {
  pub(super) name: String,
  pub(super) address: SocketAddr,
}

/// Sends frames to a peer until the desk drops the sender. Frames are soft: those that wait while
/// the link is down are dropped, since what they say is outdated by the next.
pub(super) async fn send_frames(
  endpoint: Endpoint,
  client: SharedClient,
  target: Target,
  mut frames: mpsc::Receiver<Frame>,
) {
  let mut backoff = LEAST_BACKOFF;
  loop {
    match connect(&endpoint, &client, &target).await {
      Ok((connection, stream)) => {
        backoff = LEAST_BACKOFF;
        if !write_frames(stream, &mut frames).await {
          return;
        }
        connection.close(0_u32.into(), b"");
      }
      Err(error) => {
        log::debug!("link to {}: {error}", target.name);
        let waited = timeout(backoff, drop_frames(&mut frames)).await;
        if waited.is_ok() {
          return;
        }
        backoff = (backoff * 2).min(MOST_BACKOFF);
      }
    }
  }
}

/// Why a link could not be made.
#[derive(Debug, thiserror::Error)]
enum LinkError {
  #[error("connecting: {0}")]
  Connect(#[from] quinn::ConnectError),
  #[error("connection: {0}")]
  Connection(#[from] quinn::ConnectionError),
  #[error("no answer in time")]
  TimedOut,
}

async fn connect(
  endpoint: &Endpoint,
  client: &SharedClient,
  target: &Target,
) -> Result<(Connection, SendStream), LinkError> {
  let config = client.load().as_ref().clone();
  let connecting = endpoint.connect_with(config, target.address, &target.name)?;
  let connection = timeout(CONNECT_TIMEOUT, connecting)
    .await
    .map_err(|_| LinkError::TimedOut)??;
  let stream = connection.open_uni().await?;
  Ok((connection, stream))
}

/// Drops frames until the desk drops the sender.
async fn drop_frames(frames: &mut mpsc::Receiver<Frame>) {
  while frames.recv().await.is_some() {}
}

/// Writes frames until the link breaks; false when the desk dropped the sender.
async fn write_frames(stream: SendStream, frames: &mut mpsc::Receiver<Frame>) -> bool {
  let mut sink = FramedWrite::new(stream, codec());
  while let Some(frame) = frames.recv().await {
    let bytes = match encode(&frame) {
      Ok(bytes) => bytes,
      Err(error) => {
        log::warn!("frame not sent: {error}");
        continue;
      }
    };
    if sink.send(Bytes::from(bytes)).await.is_err() {
      return true;
    }
  }
  false
}

/// The frames of one incoming stream.
pub(super) struct FrameSource(FramedRead<RecvStream, LengthDelimitedCodec>);

impl FrameSource {
  pub(super) fn new(stream: RecvStream) -> Self {
    Self(FramedRead::new(stream, codec()))
  }

  /// The next frame; none when the stream has ended or was refused.
  pub(super) async fn next(&mut self) -> Option<Frame> {
    let bytes = self.0.next().await?.ok()?;
    match decode(&bytes) {
      Ok(frame) => Some(frame),
      Err(error) => {
        log::warn!("frame refused: {error}");
        None
      }
    }
  }
}
