//! Batches of the origins of streams in virtual time, with the boxes' own decisions: what they write and send, and what is found after
//! all boxes were killed.

use {
  rand::{RngExt, SeedableRng},
  rand_chacha::ChaCha8Rng,
  rillford::{
    gateway::{
      BegunStream, BoxEntry, BoxList, BucketWriters, ORIGIN_SEND_INTERVAL_MS,
      ORIGIN_WRITE_INTERVAL_MS, OriginBatch, OriginBucket, OriginOutbox, OriginWrite, OriginWriter,
      RecordedOrigin, SoftwareVersion, StoreLease, StoredOrigins, StreamKey, StreamOrigin,
      TakenLease,
    },
    ids::Name,
  },
  rstest::rstest,
  std::collections::BTreeMap,
};

const END_MS: u64 = 30_000;
/// Longest time for which a stream may be resumed.
const LIFETIME_MS: u64 = 24_000;
/// Streams that begin a second at a box, of one service of 24.
const STREAMS_PER_S: f64 = 1.3;
/// Heads of a message and of its response.
const HEAD_BYTES: usize = 200;
/// A stream that began this long ago is in the store.
const MAX_DELAY_MS: u64 = 600;
const CONTROL_BYTES_PER_S: f64 = 6_000.0;

fn origin(stream: usize) -> StreamOrigin {
  StreamOrigin {
    service: "llm".into(),
    version: SoftwareVersion::new(["v1", "v2"][stream % 2]),
  }
}

fn key(stream: usize) -> StreamKey {
  StreamKey::of(Some("lectures"), &format!("r-{stream}"))
}

fn begun(stream: usize, now_ms: u64) -> BegunStream {
  BegunStream {
    expires_ms: now_ms + LIFETIME_MS,
    key: key(stream),
    origin: origin(stream),
  }
}

fn box_list(boxes: usize) -> BoxList {
  let mut list = BoxList::default();
  for number in 0..boxes {
    let entry = BoxEntry {
      address: ([127, 0, 0, 1], number as u16).into(),
      hall: "north".into(),
    };
    list.put(format!("box-{number:04}").as_str().into(), entry);
  }
  list
}

/// The store's batches, each under a lease.
#[derive(Default)]
struct SimStore {
  batches: BTreeMap<Name, (Vec<u8>, u64)>,
  writes: usize,
  written_bytes: usize,
  leases: Vec<u64>,
}

impl SimStore {
  fn put(&mut self, write: &OriginWrite, lease: u64) {
    self.writes += 1;
    for (name, batch) in &write.batches {
      let value = postcard::to_stdvec(batch).unwrap();
      self.written_bytes += value.len().div_ceil(3) * 4;
      assert!(
        self.batches.insert(name.clone(), (value, lease)).is_none(),
        "{name} overwritten"
      );
    }
  }

  /// The batches of a bucket whose leases have not expired.
  fn read(&self, bucket: OriginBucket, now_ms: u64) -> StoredOrigins {
    let prefixes = bucket.prefixes();
    let mut stored = StoredOrigins::default();
    for (name, (value, lease)) in &self.batches {
      let is_wanted = prefixes.iter().any(|prefix| name.starts_with(&**prefix));
      if is_wanted && now_ms < self.leases[*lease as usize] {
        stored.add(&postcard::from_bytes(value).unwrap(), now_ms);
      }
    }
    stored
  }
}

#[derive(Default)]
struct SimBox {
  outbox: OriginOutbox,
  writer: OriginWriter,
  sent_bytes: usize,
  received_bytes: usize,
}

impl SimBox {
  /// Writes what waits, as the first of the boxes' writes does.
  fn write(&mut self, name: &str, store: &mut SimStore, is_answered: bool, now_ms: u64) {
    let Some(write) = self.writer.take(name, now_ms) else {
      return;
    };
    let lease = self.writer.lease(LIFETIME_MS, now_ms).unwrap_or_else(|| {
      store
        .leases
        .push(now_ms + OriginWriter::lease_ttl_ms(LIFETIME_MS));
      let lease = StoreLease(store.leases.len() as u64 - 1);
      self.writer.set_lease(Some(TakenLease {
        lease,
        lifetime_ms: LIFETIME_MS,
        sent_ms: now_ms,
      }));
      lease
    });
    if is_answered {
      store.put(&write, lease.0);
      self.writer.record_success();
      return;
    }
    for stream in self.writer.record_failure(write, now_ms) {
      self.outbox.put(stream);
    }
  }
}

struct Play {
  store: SimStore,
  boxes: Vec<SimBox>,
  /// When each stream began.
  began_ms: Vec<u64>,
}

/// Plays streams of a service with two versions. The store answers no write while `is_silent` holds.
fn play(boxes: usize, is_silent: impl Fn(u64) -> bool) -> Play {
  let list = box_list(boxes);
  let names = list.names();
  let mut writers = BucketWriters::default();
  let mut random = ChaCha8Rng::seed_from_u64(7);
  let mut play = Play {
    began_ms: Vec::new(),
    boxes: (0..boxes).map(|_| SimBox::default()).collect(),
    store: SimStore::default(),
  };
  let chance = STREAMS_PER_S * ORIGIN_SEND_INTERVAL_MS as f64 / 1_000.0;
  for now_ms in (0..END_MS).step_by(ORIGIN_SEND_INTERVAL_MS as usize) {
    for number in 0..boxes {
      if random.random_bool(chance) {
        let stream = begun(play.began_ms.len(), now_ms);
        play.began_ms.push(now_ms);
        assert_eq!(play.boxes[number].outbox.put(stream), 0);
      }
      if let Some((bucket, streams)) = play.boxes[number].outbox.take(boxes) {
        let order = writers.of(bucket, &list);
        let of = |name: &Name| names.binary_search(name).unwrap();
        let taking = order
          .iter()
          .map(|(name, _)| of(name))
          .find(|at| play.boxes[*at].writer.accepts(now_ms));
        let taking = taking.unwrap_or(of(&order[0].0));
        if taking != number {
          let bytes = HEAD_BYTES
            + postcard::to_stdvec(&OriginBatch::new(&streams, now_ms))
              .unwrap()
              .len();
          play.boxes[number].sent_bytes += bytes;
          play.boxes[taking].received_bytes += bytes;
        }
        for stream in streams {
          assert_eq!(play.boxes[taking].writer.put(bucket, stream), 0);
        }
      }
    }
    if now_ms.is_multiple_of(ORIGIN_WRITE_INTERVAL_MS) {
      for (name, sim) in names.iter().zip(&mut play.boxes) {
        sim.write(name, &mut play.store, !is_silent(now_ms), now_ms);
      }
    }
  }
  play
}

/// Reads where each stream began that may still be resumed, as boxes do that know each other.
fn find_all(play: &Play, boxes: usize, now_ms: u64) -> Vec<RecordedOrigin> {
  let mut reads: BTreeMap<OriginBucket, StoredOrigins> = BTreeMap::new();
  let streams = 0..play.began_ms.len();
  let found = streams.map(|stream| {
    let bucket = OriginBucket::of(&key(stream), boxes);
    let stored = reads
      .entry(bucket)
      .or_insert_with(|| play.store.read(bucket, now_ms));
    stored.find(&key(stream), now_ms)
  });
  found.collect()
}

/// Guards against streams whose origins are lost with all boxes, and against costs that grow with the boxes.
#[rstest]
#[case::small(8, 5.0)]
#[case::target(985, 80.0)]
#[case::twice_the_target(1_970, 160.0)]
fn all_origins_are_found_after_a_loss_of_all_boxes(
  #[case] boxes: usize,
  #[case] max_writes_per_s: f64,
) {
  let play = play(boxes, |_| false);
  // Boxes that have just started may know fewer or more others.
  for known in [boxes, boxes / 2, boxes * 2] {
    let found = find_all(&play, known, END_MS + 1_000);
    for (stream, (began_ms, found)) in play.began_ms.iter().zip(found).enumerate() {
      if (END_MS + 1_000 - LIFETIME_MS..END_MS - MAX_DELAY_MS).contains(began_ms) {
        assert_eq!(
          found,
          RecordedOrigin::Known(origin(stream)),
          "{known} boxes known"
        );
      }
    }
  }
  let seconds = END_MS as f64 / 1_000.0;
  let per_s = |count: usize| count as f64 / seconds;
  let sums = play
    .boxes
    .iter()
    .map(|sim| sim.sent_bytes + sim.received_bytes);
  let mean = per_s(sums.clone().sum()) / boxes as f64;
  println!(
    "{boxes} boxes: {:.1} streams, {:.1} writes, {:.0} bytes written a second, {} leases; a box {mean:.0} bytes a second, the most {:.0}",
    per_s(play.began_ms.len()),
    per_s(play.store.writes),
    per_s(play.store.written_bytes),
    play.store.leases.len(),
    per_s(sums.max().unwrap()),
  );
  assert!(per_s(play.store.writes) <= max_writes_per_s);
  assert!(mean <= CONTROL_BYTES_PER_S);
}

/// Guards against streams that are given up while the store answers nobody for some seconds.
#[rstest]
#[case::small(8)]
#[case::large(300)]
fn origins_are_written_when_the_store_answers_again(#[case] boxes: usize) {
  let play = play(boxes, |now_ms| (10_000..18_000).contains(&now_ms));
  let found = find_all(&play, boxes, END_MS);
  for (stream, (began_ms, found)) in play.began_ms.iter().zip(found).enumerate() {
    if (END_MS - LIFETIME_MS + 100..END_MS - 5_000).contains(began_ms) {
      assert_eq!(found, RecordedOrigin::Known(origin(stream)));
    }
  }
}

/// Guards against a batch that is gone while one of its streams may be resumed.
#[test]
fn lease_outlasts_the_streams_that_are_written_last_under_it() {
  let mut writer = OriginWriter::default();
  assert!(writer.lease(LIFETIME_MS, 0).is_none());
  writer.set_lease(Some(TakenLease {
    lease: StoreLease(3),
    lifetime_ms: LIFETIME_MS,
    sent_ms: 1_000,
  }));
  let last_ms = (0..60_000)
    .rev()
    .find(|now_ms| writer.lease(LIFETIME_MS, *now_ms).is_some())
    .unwrap();
  assert!(last_ms + LIFETIME_MS < 1_000 + OriginWriter::lease_ttl_ms(LIFETIME_MS));
  // Longer streams need another one.
  assert!(writer.lease(LIFETIME_MS + 1, 1_000).is_none());
}

/// Guards against an outbox and a writer that grow without bound while nothing is sent or written.
#[test]
fn oldest_streams_are_dropped_and_counted() {
  let mut outbox = OriginOutbox::default();
  let dropped: u64 = (0..5_000).map(|stream| outbox.put(begun(stream, 0))).sum();
  assert_eq!(dropped, 1_000);
  assert_eq!(outbox.take(8).unwrap().1[0].key, key(1_000));
  let mut writer = OriginWriter::default();
  let bucket = OriginBucket::of(&key(0), 8);
  let put = |stream| writer.put(bucket, begun(stream, 0));
  let dropped: u64 = (0..21_000).map(put).sum();
  assert_eq!(dropped, 1_000);
  let write = writer.take("box-1", 100).unwrap();
  assert_eq!(write.batches[0].1.streams().next().unwrap().key, key(1_000));
}

/// Guards against streams that are written although they can't be resumed any more.
#[test]
fn expired_streams_are_not_written() {
  let mut writer = OriginWriter::default();
  writer.put(OriginBucket::of(&key(0), 8), begun(0, 0));
  assert!(writer.take("box-1", LIFETIME_MS).is_none());
}

/// Guards against a batch of another build, or a spoilt one, that stops a read.
#[test]
fn streams_without_an_origin_are_left_out() {
  let batch = OriginBatch::new(&[begun(0, 0), begun(1, 0)], 0);
  let mut bytes = postcard::to_stdvec(&batch).unwrap();
  assert_eq!(postcard::from_bytes::<OriginBatch>(&bytes).unwrap(), batch);
  // The index of the last stream's origin, before its remaining time.
  let at = bytes.len() - 2;
  bytes[at] = 9;
  let spoilt: OriginBatch = postcard::from_bytes(&bytes).unwrap();
  assert_eq!(spoilt.streams().count(), 1);
  assert!(postcard::from_bytes::<OriginBatch>(&bytes[..at]).is_err());
}
