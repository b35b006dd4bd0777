//! The buckets of streams whose origins are written together, and the boxes that write each.

use {
  crate::{
    gateway::decisions::{box_list::BoxList, rendezvous::rendezvous_order, stream_key::StreamKey},
    ids::Name,
  },
  serde::{Deserialize, Serialize},
  std::{
    collections::BTreeMap,
    fmt::{self, Display, Formatter},
    net::SocketAddr,
  },
};

/// Boxes whose streams one box writes.
const BOXES_PER_BUCKET: usize = 64;
const MAX_BITS: u32 = 8;
/// Boxes of a bucket that are tried in turn: some may be down, or of an older build.
const MAX_WRITERS: usize = 8;

/// The streams whose keys begin with some bits. The number of bits follows from the number of boxes: a small deployment has one bucket.
#[derive(Clone, Copy, Debug, Deserialize, Eq, Ord, PartialEq, PartialOrd, Serialize)]
pub struct OriginBucket {
  bits: u32,
  value: u32,
}

impl OriginBucket {
  /// The bucket of a stream while a number of boxes is listed.
  ///
  /// ```
  /// use rillford::gateway::{OriginBucket, StreamKey};
  /// let key = StreamKey::of(None, "r-1");
  /// assert!(OriginBucket::of(&key, 64).is_only());
  /// assert_eq!(OriginBucket::of(&key, 985).to_string().len(), "b0000".len());
  /// ```
  pub fn of(key: &StreamKey, boxes: usize) -> Self {
    let buckets = boxes.div_ceil(BOXES_PER_BUCKET).max(1);
    let bits = buckets.next_power_of_two().trailing_zeros().min(MAX_BITS);
    let first = key.as_bytes().first().copied().unwrap_or(0);
    Self {
      bits,
      value: u32::from(first) >> (MAX_BITS - bits),
    }
  }

  /// Whether it has all streams.
  pub fn is_only(self) -> bool {
    self.bits == 0
  }

  /// The prefixes of the names of all batches that may have its streams, also those that were written while there were more boxes, or
  /// half as many.
  ///
  /// ```
  /// use rillford::gateway::{OriginBucket, StreamKey};
  /// let key = StreamKey::of(None, "r-1");
  /// assert_eq!(OriginBucket::of(&key, 6).prefixes(), ["b".into()]);
  /// let larger = OriginBucket::of(&key, 985);
  /// let prefixes = larger.prefixes();
  /// assert!(format!("{}/", OriginBucket::of(&key, 1_970)).starts_with(&*prefixes[0]));
  /// assert_eq!(*prefixes[1], format!("{}/", OriginBucket::of(&key, 400)));
  /// ```
  pub fn prefixes(self) -> Vec<Name> {
    let mut prefixes = vec![self.to_string().into()];
    if let Some(bits) = self.bits.checked_sub(1) {
      let value = self.value >> 1;
      prefixes.push(format!("{}/", Self { bits, value }).into());
    }
    prefixes
  }
}

impl Display for OriginBucket {
  fn fmt(&self, f: &mut Formatter) -> fmt::Result {
    f.write_str("b")?;
    (0..self.bits)
      .rev()
      .try_for_each(|bit| write!(f, "{}", (self.value >> bit) & 1))
  }
}

/// The boxes that write each bucket, in the order in which they are tried; computed once for each list of boxes.
///
/// ```
/// use rillford::gateway::{BoxEntry, BoxList, BucketWriters, OriginBucket, StreamKey};
/// let mut boxes = BoxList::default();
/// for number in 0..12_u16 {
///   boxes.put(format!("box-{number}").as_str().into(), BoxEntry { address: ([127, 0, 0, 1], number).into(), hall: "north".into() });
/// }
/// let bucket = OriginBucket::of(&StreamKey::of(None, "r-1"), boxes.len());
/// let mut writers = BucketWriters::default();
/// let first = writers.of(bucket, &boxes)[0].clone();
/// boxes.remove(&first.0);
/// assert!(!writers.of(bucket, &boxes).contains(&first));
/// ```
#[derive(Clone, Debug, Default)]
pub struct BucketWriters {
  /// The revision of the list of boxes.
  revision: Option<u64>,
  by_bucket: BTreeMap<OriginBucket, Vec<(Name, SocketAddr)>>,
}

impl BucketWriters {
  /// The boxes that write a bucket.
  pub fn of(&mut self, bucket: OriginBucket, boxes: &BoxList) -> &[(Name, SocketAddr)] {
    if self.revision != Some(boxes.revision()) {
      self.revision = Some(boxes.revision());
      self.by_bucket.clear();
    }
    self.by_bucket.entry(bucket).or_insert_with(|| {
      let mut order = rendezvous_order(boxes.entries(), bucket.to_string().as_bytes());
      order.truncate(MAX_WRITERS);
      order
    })
  }
}
