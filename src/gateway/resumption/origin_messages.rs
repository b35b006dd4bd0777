//! Messages about the origins that are kept in the store: to the boxes that write them, and that read them for others.

use {
  crate::{
    CallError,
    gateway::{
      connections::send_message,
      decisions::{OriginBatch, OriginBucket, RecordedOrigin, StreamKey},
      state::Gateway,
    },
    ids::Name,
  },
  bytes::Bytes,
  http::StatusCode,
  serde::{Deserialize, Serialize},
  std::{net::SocketAddr, time::Duration},
};

/// The path on which a box gets the streams that it writes.
pub(crate) const ORIGINS_PATH: &str = "/streams/origins";
/// The path on which a box is asked to read where a stream began.
pub(crate) const FIND_ORIGIN_PATH: &str = "/streams/origins/find";
const SEND_TIMEOUT: Duration = Duration::from_millis(150);
/// The box that is asked reads the store first.
const FIND_TIMEOUT: Duration = Duration::from_millis(400);

/// Streams for a box that writes them.
#[derive(Clone, Debug, Deserialize, Serialize)]
pub(super) struct OriginsMessage {
  pub(super) bucket: OriginBucket,
  pub(super) batch: OriginBatch,
}

/// Asks which origin of a stream the store has.
#[derive(Clone, Copy, Debug, Deserialize, Serialize)]
pub(super) struct FindOriginMessage {
  pub(super) bucket: OriginBucket,
  pub(super) key: StreamKey,
}

/// The boxes that write a bucket and know these messages, in the order in which they are tried.
pub(super) fn writers_of(gateway: &Gateway, bucket: OriginBucket) -> Vec<(Name, SocketAddr)> {
  let now_ms = gateway.now_ms();
  let boxes = gateway.boxes.borrow();
  let mut writers = gateway.origins.bucket_writers.borrow_mut();
  let unsupporting = gateway.origins.unsupporting_boxes.borrow();
  let writers = writers.of(bucket, &boxes).iter();
  writers
    .filter(|(_, address)| unsupporting.is_supported(*address, now_ms))
    .cloned()
    .collect()
}

/// Sends streams to a box that writes them.
pub(super) async fn send_streams(
  gateway: &Gateway,
  address: SocketAddr,
  message: &OriginsMessage,
) -> Result<(), CallError> {
  let result = send_message(
    &gateway.box_client,
    address,
    ORIGINS_PATH,
    message,
    SEND_TIMEOUT,
  );
  let result = result.await;
  record_support(gateway, address, &result);
  result.map(drop)
}

/// Asks a box which origin of a stream the store has.
pub(super) async fn ask_reader(
  gateway: &Gateway,
  address: SocketAddr,
  message: &FindOriginMessage,
) -> Result<RecordedOrigin, CallError> {
  let result = send_message(
    &gateway.box_client,
    address,
    FIND_ORIGIN_PATH,
    message,
    FIND_TIMEOUT,
  );
  let result = result.await;
  record_support(gateway, address, &result);
  postcard::from_bytes(&result?).map_err(|error| CallError::InvalidResponse(error.to_string()))
}

/// A box of an older build does not know the path.
fn record_support(gateway: &Gateway, address: SocketAddr, result: &Result<Bytes, CallError>) {
  if let Err(CallError::Status {
    status: StatusCode::NOT_FOUND,
    ..
  }) = result
  {
    let mut unsupporting = gateway.origins.unsupporting_boxes.borrow_mut();
    unsupporting.record(address, gateway.now_ms());
  }
}
