//! Random names of hosts, paths and routes.

use {
  rand::RngExt,
  rand_chacha::ChaCha8Rng,
  std::{collections::BTreeSet, sync::Arc},
};

const CONSONANTS: &[u8] = b"bcdfghjklmnprstvwz";
const VOWELS: &[u8] = b"aeiou";
/// Characters of a route's name after its prefix.
const ROUTE_NAME_LENGTH: usize = 7;
const ALPHANUMERICS: &[u8] = b"abcdefghijklmnopqrstuvwxyz0123456789";

/// Draws names, each of them once.
#[derive(Debug)]
pub(crate) struct NameDraws {
  draws: ChaCha8Rng,
  taken: BTreeSet<Arc<str>>,
}

impl NameDraws {
  /// Draws from a sequence; the names in `taken` don't come up.
  pub(crate) fn new(draws: ChaCha8Rng, taken: impl IntoIterator<Item = Arc<str>>) -> Self {
    Self {
      draws,
      taken: taken.into_iter().collect(),
    }
  }

  /// A host.
  pub(crate) fn host(&mut self) -> Arc<str> {
    self.fresh(|draws| format!("{}{}.example", word(draws), draws.random_range(10..100)))
  }

  /// A path prefix, which begins and ends with a slash.
  pub(crate) fn path_prefix(&mut self) -> Arc<str> {
    self.fresh(|draws| format!("/{}{}/", word(draws), draws.random_range(100..1_000)))
  }

  /// The name of a route.
  pub(crate) fn route_name(&mut self) -> Arc<str> {
    self.fresh(|draws| {
      let letters = (0..ROUTE_NAME_LENGTH).map(|_| letter(draws, ALPHANUMERICS));
      format!("r-{}", letters.collect::<String>())
    })
  }

  fn fresh(&mut self, draw: impl Fn(&mut ChaCha8Rng) -> String) -> Arc<str> {
    loop {
      let name: Arc<str> = draw(&mut self.draws).into();
      if self.taken.insert(name.clone()) {
        return name;
      }
    }
  }
}

/// A word of four letters.
fn word(draws: &mut ChaCha8Rng) -> String {
  let sets = [CONSONANTS, VOWELS, CONSONANTS, VOWELS];
  sets.iter().map(|set| letter(draws, set)).collect()
}

fn letter(draws: &mut ChaCha8Rng, set: &[u8]) -> char {
  char::from(set[draws.random_range(0..set.len())])
}
