//! Keeps a box's view of the store: one listing, then one watch.

use {
  super::{
    listing::{Listing, ListingKind},
    relay::{READER_STALE_MS, RelayAnswer, follow},
    store_view::StoreView,
  },
  crate::{
    CallError, HttpClient,
    gateway::{
      decisions::store_retry_delay_ms,
      edge::{Store, StoreChanges, StoreItem},
      state::Gateway,
    },
  },
  futures_util::{StreamExt, stream::FuturesUnordered},
  std::{mem, net::SocketAddr, rc::Rc, time::Duration},
  tokio::time::sleep,
};

/// How long one watch waits. A path that is cut without a word is noticed this much later at the most.
const WATCH_WAIT: Duration = Duration::from_millis(2_500);
/// How long a watch of a reader waits: its followers learn from its end that it still hears the store.
const READER_WAIT: Duration = Duration::from_millis(500);
/// Pause of a reader between watches: changes that come together cost one call, and one answer to each follower.
const READER_PAUSE: Duration = Duration::from_millis(150);
/// The same of a box that nobody follows and that follows nobody for now: there may be many of them.
const LONE_PAUSE: Duration = Duration::from_millis(500);
/// Tries at one page of a listing: with the longest pauses they end within the 20 s for which the store keeps its
/// history.
const MOST_PAGE_TRIES: u32 = 8;
/// Boxes that list the store at the same moment spread over this much for each box: a listing at the target has 12
/// pages, and the store takes 2,000 reads a second.
const LISTING_MS_PER_BOX: f64 = 4.0;
/// How long a box that others ask reads the store itself after its readers failed.
const DIRECT_MS: u64 = 3_000;
/// Boxes that are asked at once when the store does not answer: with a third of them turned away too, one try in 27 finds nobody,
/// and the next asks others.
const MOST_HELPERS: usize = 3;
/// How long a box that heard the store is followed before the store is tried again.
const HELPED_MS: u64 = 3_000;
/// Boxes that start together start within 0.3 s, and have entered themselves some milliseconds later.
const JOINT_START: Duration = Duration::from_millis(400);

/// Follows the store until the process ends.
pub(crate) async fn follow_store<S: Store>(gateway: Rc<Gateway>, store: S) {
  let mut sync = StoreSync {
    direct_until_ms: 0,
    failed_readers: 0,
    helper: None,
    helper_turn: 0,
    gateway: gateway.clone(),
    http: HttpClient::default(),
    reader_turn: 0,
    reads_once: false,
    store,
    view: StoreView::new(gateway.clone()),
  };
  loop {
    let is_start = !gateway.has_listed.get();
    let ended = match sync.list().await {
      Some(revision) => {
        if is_start {
          sync.await_the_others().await;
        }
        sync.watch(revision).await
      }
      None if is_start => WatchEnd::CallFailed,
      None => sync.watch_with_help().await,
    };
    sync.pause(ended).await;
  }
}

/// Why a box lists the store again.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
enum WatchEnd {
  /// The store no longer has the changes that this box has not seen. It answers, so nothing is waited for.
  HistoryLost,
  /// A call failed.
  CallFailed,
}

struct StoreSync<S> {
  gateway: Rc<Gateway>,
  store: S,
  view: StoreView,
  http: HttpClient,
  /// Which reader is followed; moves on when one fails.
  reader_turn: usize,
  /// Readers that have failed since one last answered.
  failed_readers: usize,
  /// Until then this box reads the store itself.
  direct_until_ms: u64,
  /// A box that hears the store while this one doesn't, and until when it is followed.
  helper: Option<(SocketAddr, u64)>,
  /// Which box is asked for help next.
  helper_turn: usize,
  /// Whether the next changes are the store's own.
  reads_once: bool,
}

impl<S: Store> StoreSync<S> {
  /// Waits for boxes that start together with this one, if no others are known: those that see each other's entries
  /// follow their readers, and need not watch the store.
  async fn await_the_others(&self) {
    let knows_its_readers = self.gateway.boxes.borrow().is_large();
    if !knows_its_readers {
      sleep(JOINT_START).await;
    }
  }

  /// Waits before the store is listed again.
  async fn pause(&self, ended: WatchEnd) {
    let name = &self.gateway.settings.identity.name;
    let (boxes, is_reader) = {
      let list = self.gateway.boxes.borrow();
      (list.len(), list.is_reader(name))
    };
    let draw = self.gateway.draw();
    let pause_ms = match ended {
      WatchEnd::HistoryLost => (LISTING_MS_PER_BOX * boxes as f64 * draw) as u64,
      // The others wait for the readers, of which there are few.
      WatchEnd::CallFailed if is_reader => store_retry_delay_ms(1, self.contact_ms(), draw),
      WatchEnd::CallFailed => store_retry_delay_ms(boxes, self.contact_ms(), draw),
    };
    sleep(Duration::from_millis(pause_ms)).await;
  }

  /// Time without trouble after which a box counts as connected.
  fn contact_ms(&self) -> u64 {
    self.gateway.settings.bounds.contact_ms
  }

  /// Lists everything; answers with the revision to watch from.
  async fn list(&mut self) -> Option<u64> {
    let known_to = self.gateway.change_log.known_to();
    let listing = self.list_pages(known_to).await?;
    let revision = listing.revision()?;
    let removed = self.view.missing_from(&listing, revision);
    log::info!(
      "E403 store listed: {} endpoints, {} boxes at revision {revision}, {} gone",
      listing.endpoints.len(),
      listing.boxes.len(),
      removed.len()
    );
    for item in &removed {
      self.view.apply(item.clone());
    }
    self.gateway.has_steward.set(listing.has_steward);
    match listing.kind() {
      ListingKind::First => self.gateway.change_log.restart(revision),
      // Followers go on from where they were.
      ListingKind::Again => {
        let mut changes = listing.newer;
        changes.extend(removed);
        self.gateway.change_log.add(&changes, revision);
      }
    }
    self.gateway.has_listed.set(true);
    Some(revision)
  }

  /// Reads all pages and applies their items; nothing when a call fails. Those after a revision are kept for followers.
  async fn list_pages(&mut self, known_to: u64) -> Option<Listing> {
    let kind = match self.gateway.has_listed.get() {
      false => ListingKind::First,
      true => ListingKind::Again,
    };
    let mut listing = Listing::new(kind);
    let mut after = None;
    let mut failed_tries = 0;
    loop {
      self.gateway.counters.store_calls.inc();
      let page = match self
        .store
        .page(after.as_deref(), listing.next_page_age())
        .await
      {
        Ok(page) => page,
        Err(error) => {
          self.view.failed("listing", &error);
          failed_tries += 1;
          if listing.revision().is_none() || failed_tries == MOST_PAGE_TRIES {
            return None;
          }
          // What was read stays read: boxes that all begin anew after each refusal never come to an end.
          self.pause(WatchEnd::CallFailed).await;
          continue;
        }
      };
      failed_tries = 0;
      self.view.heard(0);
      listing.note_page(page.revision);
      for item in page.items {
        listing.note(&item, known_to);
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
        Some(reader) => match self.follow(reader, revision).await {
          Some(changes) => changes,
          None => continue,
        },
        None => match self.changes(revision).await {
          Some(changes) => changes,
          None => match self.ask_for_help(revision).await {
            Some(changes) => changes,
            None => return WatchEnd::CallFailed,
          },
        },
      };
      let (items, next) = match changes {
        StoreChanges::Some { items, revision } => (items, revision),
        StoreChanges::HistoryLost if source.is_some() => {
          // The store's history goes further back than the reader's.
          self.reads_once = true;
          continue;
        }
        StoreChanges::HistoryLost => {
          log::warn!("E404 store history lost after revision {revision}: listing again");
          return WatchEnd::HistoryLost;
        }
      };
      revision = next.max(revision);
      self.take_over(items, revision);
    }
  }

  /// Applies changes up to a revision, and keeps them for followers.
  fn take_over(&mut self, items: Vec<StoreItem>, revision: u64) {
    self.gateway.change_log.add(&items, revision);
    for item in items {
      self.view.apply(item);
    }
    self
      .gateway
      .book
      .borrow_mut()
      .remove_lapsed(self.gateway.now_ms());
  }

  /// Goes on from what is known with another box's help, when the store can't be listed.
  async fn watch_with_help(&mut self) -> WatchEnd {
    let revision = self.gateway.change_log.known_to();
    let Some(StoreChanges::Some { items, revision }) = self.ask_for_help(revision).await else {
      return WatchEnd::CallFailed;
    };
    self.take_over(items, revision);
    self.watch(revision).await
  }

  /// Asks other boxes for the changes after a revision, since the store does not answer this one; nothing when none of them
  /// hears it. A store that turns some boxes away is heard through the others: keys that were taken away hold here too.
  async fn ask_for_help(&mut self, revision: u64) -> Option<StoreChanges> {
    let identity = &self.gateway.settings.identity;
    let helpers = self
      .gateway
      .boxes
      .borrow()
      .fallback_readers_for(&identity.name, &identity.hall);
    let at_once = helpers.len().min(MOST_HELPERS);
    let mut asked: FuturesUnordered<_> = (0..at_once)
      .map(|number| helpers[(self.helper_turn + number) % helpers.len()])
      .map(|address| {
        let http = self.http.clone();
        async move { (address, follow(&http, address, revision).await) }
      })
      .collect();
    while let Some((address, answer)) = asked.next().await {
      if let Some((age_ms, changes)) = fresh(address, answer) {
        let until_ms = self.gateway.now_ms() + HELPED_MS;
        self.helper = Some((address, until_ms));
        self.view.heard(age_ms);
        return Some(changes);
      }
    }
    self.helper_turn += at_once;
    None
  }

  /// The box to follow; nothing while this box reads the store itself, as it does once all readers have failed.
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
      .get(self.reader_turn % readers.len().max(1))
      .copied()
  }

  /// All boxes that are followed have failed. Those that others ask read the store for a while, the rest once: by then
  /// one of the former hears it.
  fn read_directly(&mut self) {
    self.failed_readers = 0;
    let boxes = self.gateway.boxes.borrow();
    if boxes.is_fallback_reader(&self.gateway.settings.identity.name) {
      self.direct_until_ms = self.gateway.now_ms() + DIRECT_MS;
    }
  }

  /// Waits for the store's own word of changes; nothing when the call fails.
  async fn changes(&mut self, revision: u64) -> Option<StoreChanges> {
    let (is_large, is_asked) = {
      let boxes = self.gateway.boxes.borrow();
      (
        boxes.is_large(),
        boxes.is_fallback_reader(&self.gateway.settings.identity.name),
      )
    };
    let wait = if is_large {
      sleep(if is_asked { READER_PAUSE } else { LONE_PAUSE }).await;
      READER_WAIT
    } else {
      WATCH_WAIT
    };
    self.gateway.counters.store_calls.inc();
    match self.store.changes(revision, wait).await {
      Ok(changes) => {
        self.view.heard(0);
        Some(changes)
      }
      Err(error) => {
        self.view.failed("watching", &error);
        None
      }
    }
  }

  /// Asks a reader; nothing when it fails or has not heard the store itself.
  async fn follow(&mut self, reader: SocketAddr, revision: u64) -> Option<StoreChanges> {
    let answer = follow(&self.http, reader, revision).await;
    let Some((age_ms, changes)) = fresh(reader, answer) else {
      self.helper = None;
      self.reader_turn += 1;
      self.failed_readers += 1;
      return None;
    };
    self.failed_readers = 0;
    self.view.heard(age_ms);
    Some(changes)
  }
}

/// What a box told that hears the store, and how long ago that heard it; nothing of one that doesn't.
fn fresh(
  address: SocketAddr,
  answer: Result<RelayAnswer, CallError>,
) -> Option<(u64, StoreChanges)> {
  match answer {
    Ok(answer) => answer
      .store_age_ms
      .filter(|age_ms| *age_ms <= READER_STALE_MS)
      .map(|age_ms| (age_ms, answer.changes)),
    Err(error) => {
      log::info!("E431 reader at {address} lost: {error}");
      None
    }
  }
}
