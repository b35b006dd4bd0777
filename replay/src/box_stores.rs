//! The store as the boxes see it.

use {
  super::{
    error::{Error, Result},
    site::Site,
  },
  stand_ins::{PlatformStore, StoreLimits},
  std::{
    collections::BTreeMap,
    net::SocketAddr,
    sync::{Mutex, MutexGuard, PoisonError},
    time::Duration,
  },
};

/// Latency of a call without faults.
pub(crate) const LATENCY: Duration = Duration::from_millis(4);
/// Time for which changes stay in the history.
const HISTORY: Duration = Duration::from_secs(20);
const PAGE_ITEMS: usize = 500;

/// The shared store, and the view that each box has of it.
pub struct BoxStores {
  store: PlatformStore,
  views: Mutex<BTreeMap<usize, PlatformStore>>,
}

impl BoxStores {
  /// Starts a store with the limits of a site, without views. Fails if no port can be opened.
  pub async fn start(site: &Site) -> Result<Self> {
    let store = PlatformStore::start().await.map_err(Error::Listen)?;
    store.set_delay(LATENCY);
    store.set_limits(StoreLimits {
      history: HISTORY,
      page_items: PAGE_ITEMS,
      reads_per_s: site.platform.reads_per_s,
      writes_per_s: site.platform.writes_per_s,
    });
    Ok(Self {
      store,
      views: Mutex::default(),
    })
  }

  /// The shared store.
  pub fn store(&self) -> &PlatformStore {
    &self.store
  }

  /// Opens the view of a box, each value of a key as a function shows it, and returns its address. Fails if no port can be opened.
  pub async fn open_view(
    &self,
    box_index: usize,
    show: impl Fn(&str, Vec<u8>) -> Vec<u8> + Send + Sync + 'static,
  ) -> Result<SocketAddr> {
    let view = self.store.start_view(show).await.map_err(Error::Listen)?;
    let address = view.address;
    self.views().insert(box_index, view);
    Ok(address)
  }

  /// The view of a box.
  pub fn view(&self, box_index: usize) -> Option<PlatformStore> {
    self.views().get(&box_index).cloned()
  }

  /// The boxes that have a view, in order.
  pub fn boxes(&self) -> Vec<usize> {
    self.views().keys().copied().collect()
  }

  /// The boxes that hold a lease, in order: those that run.
  pub fn running_boxes(&self) -> Vec<usize> {
    let views = self.views();
    let running = views.iter().filter(|(_, view)| view.has_leases_of_view());
    running.map(|(index, _)| *index).collect()
  }

  /// The box that last acted as a leader.
  pub fn leader(&self) -> Option<usize> {
    let leader = self.store.last_leader()?;
    let views = self.views();
    let found = views.iter().find(|(_, view)| view.address == leader);
    found.map(|(index, _)| *index)
  }

  fn views(&self) -> MutexGuard<'_, BTreeMap<usize, PlatformStore>> {
    // Each change is one insertion.
    self.views.lock().unwrap_or_else(PoisonError::into_inner)
  }
}
