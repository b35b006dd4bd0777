//! Copies of the checkout, one per variant.

use {
  super::{ExperimentError, Variant},
  std::{
    fs::{self, File},
    io,
    path::{Path, PathBuf},
  },
};

/// Template of the settings that a variant changes, relative to the checkout.
const SETTINGS_PATH: &str = "deploy/box.toml.template";
/// Folder of the bench's journal, relative to the checkout.
const JOURNAL_PATH: &str = "journal";
/// Paths that are not copied: journal entries of earlier runs, and build output that the bench does not use.
const EXCLUDED_PATHS: [&str; 2] = [JOURNAL_PATH, "target/debug"];

/// A copy of a checkout with a variant's settings.
#[derive(Clone, Debug)]
pub(super) struct Checkout {
  pub(super) path: PathBuf,
}

impl Checkout {
  /// Copies a checkout into a subfolder of `parent` and applies the variant. Modification times are preserved, so that cargo
  /// rebuilds nothing.
  pub(super) fn copy(
    from: &Path,
    parent: &Path,
    variant: &Variant,
  ) -> Result<Self, ExperimentError> {
    let path = parent.join(variant.name.replace(['/', ' '], "-"));
    copy_folder(from, Path::new(""), &path).map_err(ExperimentError::io("copying the checkout"))?;
    let settings = path.join(SETTINGS_PATH);
    let text =
      fs::read_to_string(&settings).map_err(ExperimentError::io("reading the settings"))?;
    fs::write(&settings, variant.apply(&text))
      .and_then(|()| fs::create_dir_all(path.join(JOURNAL_PATH)))
      .map_err(ExperimentError::io("writing the settings"))?;
    Ok(Self { path })
  }
}

fn copy_folder(root: &Path, folder: &Path, to: &Path) -> io::Result<()> {
  fs::create_dir_all(to.join(folder))?;
  for entry in fs::read_dir(root.join(folder))? {
    let entry = entry?;
    let path = folder.join(entry.file_name());
    if EXCLUDED_PATHS
      .iter()
      .any(|excluded| path == Path::new(excluded))
    {
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

/// Copies the bench's journal entries of all copies into the journal of the original checkout.
pub(super) fn merge_journals(copies: &[Checkout], checkout: &Path) -> Result<(), ExperimentError> {
  for copy in copies {
    copy_folder(
      &copy.path.join(JOURNAL_PATH),
      Path::new(""),
      &checkout.join(JOURNAL_PATH),
    )
    .map_err(ExperimentError::io("copying the journal"))?;
  }
  Ok(())
}
