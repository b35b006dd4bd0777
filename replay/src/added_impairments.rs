//! Impairments that are added to a day.

use {
  super::{
    error::{Error, Result},
    impairment_kind::ImpairmentKind,
    site::{Day, Impairment, Site},
  },
  rand::{RngExt, SeedableRng},
  rand_chacha::ChaCha8Rng,
};

/// Number of the sequence of draws.
const STREAM: u64 = 45;
/// Share of a site's length in which they begin.
const BEGINNINGS: f64 = 0.8;

/// Adds impairments to the faults of a day, each with the usual figures of its kind, at random moments. What the day holds stays as it
/// is. The same seed gives the same moments.
///
/// # Errors
///
/// Fails if a kind can't be played.
///
/// ```
/// let site = replay::Site::read("../tests/data/two_halls.toml".as_ref())?;
/// let mut day = site.day("quiet").cloned().ok_or("no such day")?;
/// replay::add_impairments(&mut day, &site, &["late_links".into()], 1)?;
/// assert_eq!(&*day.faults[0].kind, "late_links");
/// # Ok::<(), Box<dyn std::error::Error>>(())
/// ```
pub fn add_impairments(day: &mut Day, site: &Site, kinds: &[String], seed: u64) -> Result {
  let mut random = ChaCha8Rng::seed_from_u64(seed);
  random.set_stream(STREAM);
  for kind in kinds {
    kind.parse::<ImpairmentKind>().map_err(Error::Impairment)?;
    day.faults.push(Impairment {
      at_s: random.random_range(0.0..site.length_s * BEGINNINGS),
      kind: kind.as_str().into(),
      ..Impairment::default()
    });
  }
  Ok(())
}
