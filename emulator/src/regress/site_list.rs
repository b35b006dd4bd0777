//! The list of sites with their baselines.

use {
  super::RegressError,
  serde::Deserialize,
  std::{
    fs,
    path::{Path, PathBuf},
  },
};

/// A site and its baseline.
#[derive(Clone, Debug, Deserialize, PartialEq)]
#[serde(deny_unknown_fields)]
pub struct BaselineSite {
  /// Name in the table.
  pub name: String,
  /// Site file, relative to the folder of all sites.
  pub file: PathBuf,
  /// Baseline: the mean worth of its standard days with faults at the last landing.
  pub mean: f64,
}

/// All sites of a regression run, in TOML.
///
/// ```
/// use emulator::regress::SiteList;
/// let list = SiteList::parse("[[sites]]\nname = \"large\"\nfile = \"large/site.toml\"\nmean = 0.76\n").unwrap();
/// assert_eq!(list.sites[0].mean, 0.76);
/// assert!(SiteList::parse("[[sites]]\nname = \"large\"\n").unwrap_err().contains("missing field"));
/// ```
#[derive(Clone, Debug, Deserialize, PartialEq)]
#[serde(deny_unknown_fields)]
pub struct SiteList {
  /// Sites in the order in which they are scored.
  pub sites: Vec<BaselineSite>,
}

impl SiteList {
  /// Parses a list.
  pub fn parse(text: &str) -> Result<Self, String> {
    toml::from_str(text).map_err(|error| error.to_string())
  }

  /// Reads a list from a file.
  pub fn read(path: &Path) -> Result<Self, RegressError> {
    let failed = |message| RegressError::List {
      message,
      path: path.into(),
    };
    let text = fs::read_to_string(path).map_err(|error| failed(error.to_string()))?;
    Self::parse(&text).map_err(failed)
  }

  /// Paths of the site files below `folder`. Fails with the first that does not exist.
  pub fn files(&self, folder: &Path) -> Result<Vec<PathBuf>, RegressError> {
    let file = |site: &BaselineSite| {
      let path = folder.join(&site.file);
      path
        .exists()
        .then_some(path.clone())
        .ok_or(RegressError::Missing(path))
    };
    self.sites.iter().map(file).collect()
  }
}
