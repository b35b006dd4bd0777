//! Copies of a checkout, one for each variant.

use {
  super::{ExperimentError, Variant},
  std::{
    fs::{self, File},
    io,
    path::{Path, PathBuf},
  },
};

/// The settings that a variant changes.
const SETTINGS: &str = "deploy/box.toml.template";
/// Where the bench writes its entries.
const JOURNAL: &str = "journal";
/// Not copied: entries of earlier runs, and builds that the bench does not use.
const LEFT_OUT: [&str; 2] = [JOURNAL, "target/debug"];

/// A copy of a checkout with a variant's settings.
#[derive(Clone, Debug)]
pub(super) struct Checkout {
  pub(super) path: PathBuf,
}

impl Checkout {
  /// Copies a checkout below a folder. Times of files are kept, so that nothing is built anew.
  pub(super) fn copy(
    from: &Path,
    below: &Path,
    variant: &Variant,
  ) -> Result<Self, ExperimentError> {
    let path = below.join(variant.name.replace(['/', ' '], "-"));
    copy_folder(from, Path::new(""), &path).map_err(ExperimentError::io("copying the checkout"))?;
    let settings = path.join(SETTINGS);
    let text =
      fs::read_to_string(&settings).map_err(ExperimentError::io("reading the settings"))?;
    fs::write(&settings, variant.apply(&text))
      .and_then(|()| fs::create_dir_all(path.join(JOURNAL)))
      .map_err(ExperimentError::io("writing the settings"))?;
    Ok(Self { path })
  }
}

fn copy_folder(root: &Path, folder: &Path, to: &Path) -> io::Result<()> {
  fs::create_dir_all(to.join(folder))?;
  for entry in fs::read_dir(root.join(folder))? {
    let entry = entry?;
    let path = folder.join(entry.file_name());
    if LEFT_OUT.iter().any(|left_out| path == Path::new(left_out)) {
      continue;
    }
    let kind = entry.file_type()?;
    if kind.is_dir() {
      copy_folder(root, &path, to)?;
    } else if kind.is_file() {
      copy_file(&entry.path(), &to.join(&path))?;
    }
  }
  Ok(())
}

fn copy_file(from: &Path, to: &Path) -> io::Result<()> {
  fs::copy(from, to)?;
  let modified = fs::metadata(from)?.modified()?;
  File::options()
    .append(true)
    .open(to)?
    .set_modified(modified)
}

/// Puts the bench's entries of all copies into the checkout's own journal.
pub(super) fn keep_journals(copies: &[Checkout], checkout: &Path) -> Result<(), ExperimentError> {
  for copy in copies {
    copy_folder(
      &copy.path.join(JOURNAL),
      Path::new(""),
      &checkout.join(JOURNAL),
    )
    .map_err(ExperimentError::io("keeping the journal"))?;
  }
  Ok(())
}
