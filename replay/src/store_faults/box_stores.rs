//! The store as the boxes see it.

use {
  super::super::{
    error::{Error, Result},
    site::Site,
  },
  stand_ins::{PlatformStore, StoreLimits},
  std::time::Duration,
};

/// Latency of a call without faults.
pub(super) const LATENCY: Duration = Duration::from_millis(4);
/// Time for which changes stay in the history.
const HISTORY: Duration = Duration::from_secs(20);
const PAGE_ITEMS: usize = 500;

/// The shared store, and the view that each box has of it.
pub struct BoxStores {
  store: PlatformStore,
  views: Vec<PlatformStore>,
  seed: u64,
}

impl BoxStores {
  /// Starts a store with the limits of a site. Fails if no port can be opened.
  pub async fn start_store(site: &Site) -> Result<PlatformStore> {
    let store = PlatformStore::start().await.map_err(Error::Listen)?;
    store.set_delay(LATENCY);
    store.set_limits(StoreLimits {
      history: HISTORY,
      page_items: PAGE_ITEMS,
      reads_per_s: site.platform.reads_per_s,
      writes_per_s: site.platform.writes_per_s,
    });
    Ok(store)
  }

  /// A store and its views, by the index of their boxes.
  pub fn new(store: PlatformStore, views: Vec<PlatformStore>) -> Self {
    Self {
      seed: 0,
      store,
      views,
    }
  }

  /// Draws the faults from a seed.
  #[must_use]
  pub fn seeded(self, seed: u64) -> Self {
    Self { seed, ..self }
  }

  /// The shared store.
  pub fn store(&self) -> &PlatformStore {
    &self.store
  }

  /// The view of a box.
  pub fn view(&self, box_index: usize) -> Option<&PlatformStore> {
    self.views.get(box_index)
  }

  /// The box that last became a leader.
  pub fn leader(&self) -> Option<usize> {
    let leader = self.store.last_leader()?;
    self.views.iter().position(|view| view.address == leader)
  }

  pub(super) fn seed(&self) -> u64 {
    self.seed
  }
}
