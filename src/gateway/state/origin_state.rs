//! The origins of streams that a box sends, writes to the store and has read from it.

use {
  super::{shared_read::SharedRead, unsupporting_boxes::UnsupportingBoxes},
  crate::gateway::decisions::{
    BucketWriters, OriginBucket, OriginOutbox, OriginWriter, StoredOrigins,
  },
  std::{cell::RefCell, collections::BTreeSet, rc::Rc},
  tokio::sync::Notify,
};

/// What a box has of the batches of origins.
#[derive(Default)]
pub(crate) struct OriginState {
  /// Streams that are still to be sent to the boxes that write them.
  pub(crate) outbox: RefCell<OriginOutbox>,
  /// Notified when a stream is added to the outbox.
  pub(crate) outbox_filled: Notify,
  /// Streams that this box writes.
  pub(crate) writer: RefCell<OriginWriter>,
  /// Notified when a stream is added to them.
  pub(crate) writer_filled: Notify,
  pub(crate) bucket_writers: RefCell<BucketWriters>,
  /// Boxes that don't know the messages about origins.
  pub(crate) unsupporting_boxes: RefCell<UnsupportingBoxes>,
  /// Reads of the buckets that are wanted; `None` if the store does not answer.
  pub(crate) reads: SharedRead<Option<Rc<StoredOrigins>>>,
  pub(crate) wanted: RefCell<BTreeSet<OriginBucket>>,
  /// The last read.
  pub(crate) stored: RefCell<Rc<StoredOrigins>>,
}
