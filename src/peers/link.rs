//! One direction of a link: frames over a unidirectional QUIC stream, reconnected when it breaks.

use {
  super::frame::{Frame, MAX_FRAME_BYTES, decode, encode},
  super::tls::SharedClientConfig,
  bytes::Bytes,
  futures_util::{SinkExt, StreamExt},
  quinn::{Connection, Endpoint, RecvStream, SendStream},
  std::{net::SocketAddr, time::Duration},
  tokio::{sync::mpsc, time::timeout},
  tokio_util::codec::{FramedRead, FramedWrite, LengthDelimitedCodec},
};

const CONNECT_TIMEOUT: Duration = Duration::from_secs(1);
const MIN_BACKOFF: Duration = Duration::from_millis(50);
const MAX_BACKOFF: Duration = Duration::from_secs(2);

fn codec() -> LengthDelimitedCodec {
  LengthDelimitedCodec::builder()
    .max_frame_length(MAX_FRAME_BYTES)
    .new_codec()
}

/// The peer at the other end of a link.
#[derive(Clone, Debug)]
pub(super) struct Target {
  pub(super) name: String,
  pub(super) address: SocketAddr,
}

/// Sends frames to a peer until the channel is closed. Delivery is best effort: frames that are queued while the
/// link is down are dropped, because later frames supersede them.
pub(super) async fn send_frames(
  endpoint: Endpoint,
  client: SharedClientConfig,
  target: Target,
  mut frames: mpsc::Receiver<Frame>,
) {
  let mut backoff = MIN_BACKOFF;
  loop {
    match connect(&endpoint, &client, &target).await {
      Ok((connection, stream)) => {
        backoff = MIN_BACKOFF;
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
        backoff = (backoff * 2).min(MAX_BACKOFF);
      }
    }
  }
}

/// Why a link could not be established.
#[derive(Debug, thiserror::Error)]
enum LinkError {
  #[error("connecting: {0}")]
  Connect(#[from] quinn::ConnectError),
  #[error("connection: {0}")]
  Connection(#[from] quinn::ConnectionError),
  #[error("connecting timed out")]
  TimedOut,
}

async fn connect(
  endpoint: &Endpoint,
  client: &SharedClientConfig,
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

/// Drops frames until the channel is closed.
async fn drop_frames(frames: &mut mpsc::Receiver<Frame>) {
  while frames.recv().await.is_some() {}
}

/// Writes frames until the link breaks; returns false when the channel was closed.
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

/// Reads the frames of one incoming stream.
pub(super) struct FrameReader(FramedRead<RecvStream, LengthDelimitedCodec>);

impl FrameReader {
  pub(super) fn new(stream: RecvStream) -> Self {
    Self(FramedRead::new(stream, codec()))
  }

  /// The next frame; `None` when the stream has ended or sent an invalid frame.
  pub(super) async fn next(&mut self) -> Option<Frame> {
    let bytes = self.0.next().await?.ok()?;
    match decode(&bytes) {
      Ok(frame) => Some(frame),
      Err(error) => {
        log::warn!("frame rejected: {error}");
        None
      }
    }
  }
}
