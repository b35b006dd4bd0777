//! The sites that have landed, with their means then.

use {
  super::RegressError,
  serde::Deserialize,
  std::{
    fs,
    path::{Path, PathBuf},
  },
};

/// A site as it stood at the last landing.
#[derive(Clone, Debug, Deserialize, PartialEq)]
#[serde(deny_unknown_fields)]
pub struct LandedSite {
  /// Its name, for the table.
  pub name: String,
  /// Its site file, below the folder of all sites.
  pub file: PathBuf,
  /// The mean worth of its days with trouble.
  pub mean: f64,
}

/// All sites of a regression run.
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
  /// In the order in which they are played.
  pub sites: Vec<LandedSite>,
}

impl SiteList {
  /// Reads a list from text.
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

  /// The site files below a folder; an error names the first that is not there.
  pub fn files(&self, folder: &Path) -> Result<Vec<PathBuf>, RegressError> {
    let file = |site: &LandedSite| {
      let path = folder.join(&site.file);
      path
        .exists()
        .then_some(path.clone())
        .ok_or(RegressError::Missing(path))
    };
    self.sites.iter().map(file).collect()
  }
}
