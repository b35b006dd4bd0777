//! Synchronises a box with the store: a listing, then a watch.

use {
  super::{
    listing::{Listing, ListingKind},
    relay::{READER_STALE_MS, RelayResponse, poll_changes},
    store_view::StoreView,
  },
  crate::{
    CallError, HttpClient,
    gateway::{
      decisions::{VIEW_DELAY_MS, store_retry_delay_ms},
      edge::{Store, StoreChanges, StoreItem},
      state::Gateway,
    },
  },
  futures_util::{StreamExt, stream::FuturesUnordered},
  std::{mem, net::SocketAddr, rc::Rc, time::Duration},
  tokio::time::sleep,
};

/// How long one watch call waits, and so the longest time until a silently broken connection is noticed.
const WATCH_WAIT: Duration = Duration::from_millis(2_500);
/// How long a watch call waits in a large deployment: its return is the proof of contact that followers depend on.
const SHORT_WATCH_WAIT: Duration = Duration::from_millis(500);
/// How long a watch call waits at least.
const MIN_WATCH_WAIT: Duration = Duration::from_millis(100);
/// Pause of a fallback reader between watch calls, which batches changes into one call and one response to each follower.
const READER_PAUSE: Duration = Duration::from_millis(150);
/// The same for any other box that reads the store itself for now: there may be many of them.
const DIRECT_PAUSE: Duration = Duration::from_millis(500);
/// Pause after a watch call that returned nothing but batches of origins: boxes write some each second while versions differ.
const ORIGINS_PAUSE: Duration = Duration::from_millis(500);
/// Attempts at one page of a listing: with the longest pauses they end within the 20 s of history that the store keeps.
const MAX_PAGE_ATTEMPTS: u32 = 8;
/// Spread of simultaneous listings, per box: a listing of the largest supported deployment has 12 pages, and the store takes 2,000
/// reads per second.
const LISTING_MS_PER_BOX: f64 = 4.0;
/// How long a fallback reader reads the store itself after its readers failed.
const DIRECT_MS: u64 = 3_000;
/// Boxes polled at the same time when the store does not answer: with a third of them cut off too, all fail in one round of 27, and
/// the next round polls others.
const MAX_HELPERS: usize = 3;
/// How long a helper is followed before the store is tried again.
const HELPER_MS: u64 = 3_000;
/// Boxes that are started together register within this time of each other.
const JOINT_START: Duration = Duration::from_millis(400);

/// Keeps this box's state synchronised with the store until the process exits.
pub(crate) async fn sync_store<S: Store>(gateway: Rc<Gateway>, store: S) {
  let mut sync = StoreSync {
    direct_until_ms: 0,
    failed_readers: 0,
    gateway: gateway.clone(),
    helper: None,
    http: HttpClient::default(),
    next_helper: 0,
    reader_index: 0,
    reads_once: false,
    returned_origins: false,
    store,
    view: StoreView::new(gateway.clone()),
  };
  loop {
    let is_start = !gateway.has_listed.get();
    let watch_end = match sync.list().await {
      Some(revision) => {
        if is_start {
          sync.await_joint_start().await;
        }
        sync.watch(revision).await
      }
      None if is_start => WatchEnd::CallFailed,
      None => sync.watch_through_helper().await,
    };
    sync.pause(watch_end).await;
  }
}

/// Why a watch ended.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
enum WatchEnd {
  /// The store no longer has the changes after this box's revision. It is reachable, so it is listed without backoff.
  HistoryLost,
  CallFailed,
}

struct StoreSync<S> {
  gateway: Rc<Gateway>,
  store: S,
  view: StoreView,
  http: HttpClient,
  /// Index of the reader to follow; advances when one fails.
  reader_index: usize,
  /// Consecutive failures of readers.
  failed_readers: usize,
  /// Until then this box reads the store itself.
  direct_until_ms: u64,
  /// A box with store contact while this one has none, and until when it is followed.
  helper: Option<(SocketAddr, u64)>,
  /// Index of the first box of the next round of helpers.
  next_helper: usize,
  /// Whether the next changes are read from the store although there are readers to follow.
  reads_once: bool,
  /// Whether the last watch call returned nothing but batches of origins.
  returned_origins: bool,
}

impl<S: Store> StoreSync<S> {
  /// Waits for boxes that start together with this one, unless the deployment is known to be large: boxes that see each other's
  /// entries follow their readers, and need not watch the store.
  async fn await_joint_start(&self) {
    let knows_readers = self.gateway.boxes.borrow().is_large();
    if !knows_readers {
      sleep(JOINT_START).await;
    }
  }

  /// Waits before the store is listed again.
  async fn pause(&self, watch_end: WatchEnd) {
    let name = &self.gateway.settings.identity.name;
    let (boxes, is_reader) = {
      let list = self.gateway.boxes.borrow();
      (list.len(), list.is_reader(name))
    };
    let draw = self.gateway.draw();
    let pause_ms = match watch_end {
      WatchEnd::HistoryLost => (LISTING_MS_PER_BOX * boxes as f64 * draw) as u64,
      // Readers are few, and all other boxes wait for them.
      WatchEnd::CallFailed if is_reader => store_retry_delay_ms(1, self.contact_ms(), draw),
      WatchEnd::CallFailed => store_retry_delay_ms(boxes, self.contact_ms(), draw),
    };
    sleep(Duration::from_millis(pause_ms)).await;
  }

  /// Time of undisturbed contact after which a box counts as connected.
  fn contact_ms(&self) -> u64 {
    self.gateway.settings.bounds.contact_ms
  }

  /// Lists the store; returns the revision to watch from.
  async fn list(&mut self) -> Option<u64> {
    let known_revision = self.gateway.change_log.latest_revision();
    self.view.expect_changes(self.gateway.now_ms());
    let listing = self.list_pages(known_revision).await?;
    let revision = listing.revision()?;
    let removed = self.view.missing_from(&listing, revision);
    log::info!(
      "E403 store listed: {} endpoints, {} boxes at revision {revision}, {} removed",
      listing.endpoints.len(),
      listing.boxes.len(),
      removed.len()
    );
    for item in &removed {
      self.view.apply(item.clone());
    }
    self.gateway.has_leader.set(listing.has_leader);
    match listing.kind() {
      ListingKind::Initial => self.gateway.change_log.restart(revision),
      // Followers continue from their revisions.
      ListingKind::Relist => {
        let mut changes = listing.changed;
        changes.extend(removed);
        self.gateway.change_log.add(&changes, revision);
      }
    }
    self.gateway.has_listed.set(true);
    self.view.record_applied();
    Some(revision)
  }

  /// Reads all pages and applies their items; `None` when a page keeps failing. Items that changed after `known_revision` are kept for
  /// followers.
  async fn list_pages(&mut self, known_revision: u64) -> Option<Listing> {
    let kind = match self.gateway.has_listed.get() {
      false => ListingKind::Initial,
      true => ListingKind::Relist,
    };
    let mut listing = Listing::new(kind);
    let mut after = None;
    let mut failed_attempts = 0;
    loop {
      self.gateway.counters.store_calls.inc();
      let page = match self
        .store
        .page(after.as_deref(), listing.next_page_age())
        .await
      {
        Ok(page) => page,
        Err(error) => {
          self.view.record_failure("listing", &error);
          failed_attempts += 1;
          if listing.revision().is_none() || failed_attempts == MAX_PAGE_ATTEMPTS {
            return None;
          }
          // Keeps the pages read so far: if all boxes started over after each rejection, an overloaded store would never catch up.
          self.pause(WatchEnd::CallFailed).await;
          continue;
        }
      };
      failed_attempts = 0;
      self.view.record_contact(0);
      listing.record_page(page.revision);
      for item in page.items {
        listing.record_item(&item, known_revision);
        self.view.apply(item);
      }
      after = page.next_after;
      if after.is_none() {
        return Some(listing);
      }
    }
  }

  /// Watches until the history is lost or a call fails.
  async fn watch(&mut self, mut revision: u64) -> WatchEnd {
    loop {
      let source = self.source();
      let changes = match source {
        Some(reader) => match self.poll_reader(reader, revision).await {
          Some(changes) => changes,
          None => continue,
        },
        None => match self.watch_store(revision).await {
          Some(changes) => changes,
          None => match self.poll_helpers(revision).await {
            Some(changes) => changes,
            None => return WatchEnd::CallFailed,
          },
        },
      };
      let (items, next) = match changes {
        StoreChanges::Some { items, revision } => (items, revision),
        StoreChanges::HistoryLost if source.is_some() => {
          // The store keeps a longer history than the reader's change log.
          self.reads_once = true;
          continue;
        }
        StoreChanges::HistoryLost => {
          log::warn!("E404 store has no history after revision {revision}: listing again");
          return WatchEnd::HistoryLost;
        }
      };
      revision = next.max(revision);
      self.apply_changes(items, revision);
    }
  }

  /// Applies changes up to a revision, and keeps them for followers.
  fn apply_changes(&mut self, items: Vec<StoreItem>, revision: u64) {
    self.gateway.change_log.add(&items, revision);
    for item in items {
      self.view.apply(item);
    }
    self.view.record_applied();
    self
      .gateway
      .endpoints
      .borrow_mut()
      .remove_lapsed(self.gateway.now_ms());
  }

  /// Continues from the known revision through another box, when the store can't be listed.
  async fn watch_through_helper(&mut self) -> WatchEnd {
    let revision = self.gateway.change_log.latest_revision();
    let Some(StoreChanges::Some { items, revision }) = self.poll_helpers(revision).await else {
      return WatchEnd::CallFailed;
    };
    self.apply_changes(items, revision);
    self.watch(revision).await
  }

  /// Polls other boxes for the changes after a revision while the store does not answer this one; `None` when none of them has store
  /// contact. So a box that the store rejects still learns of revoked API keys.
  async fn poll_helpers(&mut self, revision: u64) -> Option<StoreChanges> {
    let identity = &self.gateway.settings.identity;
    let helpers = self
      .gateway
      .boxes
      .borrow()
      .fallback_readers_for(&identity.name, &identity.hall);
    let count = helpers.len().min(MAX_HELPERS);
    let mut polls: FuturesUnordered<_> = (0..count)
      .map(|offset| helpers[(self.next_helper + offset) % helpers.len()])
      .map(|address| {
        let http = self.http.clone();
        async move { (address, poll_changes(&http, address, revision).await) }
      })
      .collect();
    while let Some((address, response)) = polls.next().await {
      if let Some((age_ms, changes)) = fresh_changes(address, response) {
        let until_ms = self.gateway.now_ms() + HELPER_MS;
        self.helper = Some((address, until_ms));
        self.view.record_contact(age_ms);
        self.expect_relayed(age_ms);
        return Some(changes);
      }
    }
    self.next_helper += count;
    None
  }

  /// The box to follow; `None` while this box reads the store itself, as it does once all readers have failed.
  fn source(&mut self) -> Option<SocketAddr> {
    if mem::take(&mut self.reads_once) || self.gateway.now_ms() < self.direct_until_ms {
      return None;
    }
    if let Some((address, until_ms)) = self.helper
      && self.gateway.now_ms() < until_ms
    {
      return Some(address);
    }
    let identity = &self.gateway.settings.identity;
    let readers = self
      .gateway
      .boxes
      .borrow()
      .readers_for(&identity.name, &identity.hall);
    if !readers.is_empty() && self.failed_readers >= readers.len() {
      self.read_directly();
      return None;
    }
    readers
      .get(self.reader_index % readers.len().max(1))
      .copied()
  }

  /// Falls back to the store after all readers have failed: a fallback reader for a while, any other box once, since by then a fallback
  /// reader has store contact.
  fn read_directly(&mut self) {
    self.failed_readers = 0;
    let boxes = self.gateway.boxes.borrow();
    if boxes.is_fallback_reader(&self.gateway.settings.identity.name) {
      self.direct_until_ms = self.gateway.now_ms() + DIRECT_MS;
    }
  }

  /// Watches the store for one call; `None` when it fails.
  async fn watch_store(&mut self, revision: u64) -> Option<StoreChanges> {
    let (is_large, is_fallback_reader) = {
      let boxes = self.gateway.boxes.borrow();
      (
        boxes.is_large(),
        boxes.is_fallback_reader(&self.gateway.settings.identity.name),
      )
    };
    let pause = match (is_large, is_fallback_reader) {
      (true, true) => READER_PAUSE,
      (true, false) => DIRECT_PAUSE,
      (false, _) => Duration::ZERO,
    };
    let pause = match mem::take(&mut self.returned_origins) {
      // The version of a process may become known before.
      true => pause.max(ORIGINS_PAUSE.min(self.watch_wait())),
      false => pause,
    };
    if !pause.is_zero() {
      sleep(pause).await;
    }
    let wait = match is_large {
      true => SHORT_WATCH_WAIT,
      false => self.watch_wait(),
    };
    self.gateway.counters.store_calls.inc();
    let called_ms = self.gateway.now_ms();
    match self.store.changes(revision, wait).await {
      Ok(mut changes) => {
        self.view.record_contact(0);
        self.expect(&changes, called_ms, wait);
        self.returned_origins = changes.remove_origins();
        Some(changes)
      }
      Err(error) => {
        self.view.record_failure("watching", &error);
        None
      }
    }
  }

  /// Records when the changes of a watch call were made. A call that waits returns with the first one, or with none at its end.
  fn expect(&mut self, changes: &StoreChanges, called_ms: u64, wait: Duration) {
    let has_waited = self.gateway.now_ms() > called_ms + VIEW_DELAY_MS;
    let is_empty = matches!(changes, StoreChanges::Some { items, .. } if items.is_empty());
    let wait_ms = u64::try_from(wait.as_millis()).unwrap_or(u64::MAX);
    match (is_empty, has_waited) {
      (true, _) => {
        let until_ms = self.gateway.now_ms().min(called_ms + wait_ms);
        self.view.expect_changes(until_ms);
      }
      (false, true) => self.view.expect_new_changes(called_ms),
      (false, false) => self.view.expect_changes(called_ms),
    }
  }

  /// Records when changes were made that another box relays, whose contact with the store was `age_ms` ago.
  fn expect_relayed(&mut self, age_ms: u64) {
    let until_ms = self.gateway.now_ms().saturating_sub(age_ms + VIEW_DELAY_MS);
    self.view.expect_changes(until_ms);
  }

  /// How long a watch call waits: until its return shows the version of an endpoint's process, if that is sooner.
  fn watch_wait(&self) -> Duration {
    let next_ms = self.gateway.endpoints.borrow().next_settle_ms();
    let Some(next_ms) = next_ms else {
      return WATCH_WAIT;
    };
    let wait_ms = next_ms.saturating_sub(self.gateway.now_ms());
    Duration::from_millis(wait_ms).clamp(MIN_WATCH_WAIT, WATCH_WAIT)
  }

  /// Polls a reader; `None` when it fails or has no recent store contact.
  async fn poll_reader(&mut self, reader: SocketAddr, revision: u64) -> Option<StoreChanges> {
    let response = poll_changes(&self.http, reader, revision).await;
    let Some((age_ms, changes)) = fresh_changes(reader, response) else {
      self.helper = None;
      self.reader_index += 1;
      self.failed_readers += 1;
      return None;
    };
    self.failed_readers = 0;
    self.view.record_contact(age_ms);
    self.expect_relayed(age_ms);
    Some(changes)
  }
}

/// A box's response, with the age of its store contact; `None` when the poll failed or the contact is too old.
fn fresh_changes(
  address: SocketAddr,
  response: Result<RelayResponse, CallError>,
) -> Option<(u64, StoreChanges)> {
  match response {
    Ok(response) => response
      .store_age_ms
      .filter(|age_ms| *age_ms <= READER_STALE_MS)
      .map(|age_ms| (age_ms, response.changes)),
    Err(error) => {
      log::info!("E431 box at {address} did not relay changes: {error}");
      None
    }
  }
}
