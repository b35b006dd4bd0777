//! Sends the streams of services with several versions to the boxes that write their origins to the store.

use {
  super::origin_messages::{OriginsMessage, send_streams, writers_of},
  crate::gateway::{
    decisions::{
      BegunStream, ORIGIN_SEND_INTERVAL_MS, OriginBatch, OriginBucket, StreamKey, StreamOrigin,
    },
    state::Gateway,
  },
  std::{rc::Rc, time::Duration},
  tokio::{task::spawn_local, time::sleep},
};

/// Boxes of a bucket that may fail before its streams are given up.
const MAX_FAILED: usize = 2;

/// Whether a box writes the streams that another one sent.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub(super) enum TakenStreams {
  Taken,
  /// Its last write failed.
  Rejected,
}

/// Has the store keep where a stream began, until a time; does not wait for it.
pub(super) fn keep_origin(
  gateway: &Gateway,
  key: StreamKey,
  origin: &StreamOrigin,
  expires_ms: u64,
) {
  if !gateway.settings.mechanisms.stored_origins || !gateway.is_divided(&origin.service) {
    return;
  }
  let stream = BegunStream {
    expires_ms,
    key,
    origin: origin.clone(),
  };
  let dropped = gateway.origins.outbox.borrow_mut().put(stream);
  gateway.counters.origins_dropped.add(dropped);
  gateway.origins.outbox_filled.notify_one();
}

/// Sends streams to the boxes that write them until the process exits: the first at once, others after an interval.
pub(crate) async fn send_origins(gateway: Rc<Gateway>) {
  loop {
    gateway.origins.outbox_filled.notified().await;
    while let Some((bucket, streams)) = next_message(&gateway) {
      spawn_local(deliver(gateway.clone(), bucket, streams));
      sleep(Duration::from_millis(ORIGIN_SEND_INTERVAL_MS)).await;
    }
  }
}

fn next_message(gateway: &Gateway) -> Option<(OriginBucket, Vec<BegunStream>)> {
  let boxes = gateway.boxes.borrow().len();
  gateway.origins.outbox.borrow_mut().take(boxes)
}

/// Delivers the streams of a bucket to the first box that takes them.
async fn deliver(gateway: Rc<Gateway>, bucket: OriginBucket, streams: Vec<BegunStream>) {
  let own_name = &gateway.settings.identity.name;
  let writers = writers_of(&gateway, bucket);
  let mut failed = 0;
  for (name, address) in &writers {
    if failed == MAX_FAILED {
      break;
    }
    let batch = OriginBatch::new(&streams, gateway.now_ms());
    if name == own_name {
      if take_streams(&gateway, bucket, &batch) == TakenStreams::Taken {
        return;
      }
      failed += 1;
      continue;
    }
    let message = OriginsMessage { bucket, batch };
    match send_streams(&gateway, *address, &message).await {
      Ok(()) => return,
      Err(error) => {
        log::debug!("origins not sent to {address}: {error}");
        failed += 1;
      }
    }
  }
  // No other box takes them.
  if writers.is_empty() || writers.iter().any(|(name, _)| name == own_name) {
    put_streams(
      &gateway,
      bucket,
      &OriginBatch::new(&streams, gateway.now_ms()),
    );
    return;
  }
  gateway.counters.origins_dropped.add(streams.len() as u64);
}

/// Takes streams that are written with the next batch, unless the last write failed.
pub(super) fn take_streams(
  gateway: &Gateway,
  bucket: OriginBucket,
  batch: &OriginBatch,
) -> TakenStreams {
  let accepts = gateway.origins.writer.borrow().accepts(gateway.now_ms());
  if !accepts {
    return TakenStreams::Rejected;
  }
  put_streams(gateway, bucket, batch);
  TakenStreams::Taken
}

fn put_streams(gateway: &Gateway, bucket: OriginBucket, batch: &OriginBatch) {
  let now_ms = gateway.now_ms();
  let mut writer = gateway.origins.writer.borrow_mut();
  for stream in batch.streams() {
    let begun = BegunStream {
      expires_ms: now_ms + stream.remaining_ms,
      key: stream.key,
      origin: stream.origin,
    };
    gateway
      .counters
      .origins_dropped
      .add(writer.put(bucket, begun));
  }
  gateway.origins.writer_filled.notify_one();
}
