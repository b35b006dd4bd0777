//! What may import what: the folders of the gateway stand in an order, its decisions do no input or output, and the
//! files of a folder don't import each other in a loop.

use std::{
  collections::{BTreeMap, BTreeSet},
  ffi::OsStr,
  fs,
  path::{Path, PathBuf},
};

/// The gateway's folders; each may import those of the rows before its own.
const GATEWAY_ROWS: [&[&str]; 10] = [
  &["edge"],
  &["decisions"],
  &["settings"],
  &["connections"],
  &["state"],
  &["permits"],
  &["stages"],
  &[
    "limits",
    "prefill_queue",
    "quarantine",
    "resumption",
    "retries",
  ],
  &["membership", "requests", "roles"],
  &["process"],
];
/// What would let a decision wait, ask, read a clock or write a log line.
const IO: [&str; 8] = [
  "tokio",
  "hyper",
  "hyper_util",
  "http",
  "log",
  "std::fs",
  "std::io",
  "std::time::Instant",
];
/// Folders with Rust sources, from the root of the repository.
const SOURCES: [&str; 8] = [
  "src",
  "platform",
  "emulator/src",
  "judge/src",
  "soak/src",
  "model/src",
  "replay/src",
  "stand_ins/src",
];

/// The paths that a file's `use` declarations name, such as `super::seat::reserve_seat`.
fn imports(text: &str) -> Vec<String> {
  let mut paths = Vec::new();
  let starts = ["\nuse ", "\npub use ", "\npub(crate) use "];
  for start in starts {
    for (at, _) in text.match_indices(start) {
      let rest = &text[at + start.len()..];
      let end = rest.find(';').unwrap_or(rest.len());
      let tree: String = rest[..end].split_whitespace().collect();
      expand("", &tree, &mut paths);
    }
  }
  paths
}

/// Writes out a tree of imports as whole paths.
fn expand(prefix: &str, tree: &str, paths: &mut Vec<String>) {
  for branch in split(tree) {
    match branch.split_once('{') {
      Some((head, rest)) => {
        let inner = rest.strip_suffix('}').unwrap_or(rest);
        expand(&format!("{prefix}{head}"), inner, paths);
      }
      None => paths.push(format!("{prefix}{branch}")),
    }
  }
}

/// The branches of a tree, split at the commas outside of all braces.
fn split(tree: &str) -> Vec<&str> {
  let mut depth = 0_i32;
  let mut branches = Vec::new();
  let mut start = 0;
  for (at, character) in tree.char_indices() {
    match character {
      '{' => depth += 1,
      '}' => depth -= 1,
      ',' if depth == 0 => {
        branches.push(&tree[start..at]);
        start = at + 1;
      }
      _ => {}
    }
  }
  branches.push(&tree[start..]);
  branches.retain(|branch| !branch.is_empty());
  branches
}

fn root() -> &'static Path {
  Path::new(env!("CARGO_MANIFEST_DIR"))
}

/// The Rust files below a folder.
fn rust_files(folder: &Path) -> Vec<PathBuf> {
  let mut files = Vec::new();
  for entry in fs::read_dir(folder).unwrap() {
    let path = entry.unwrap().path();
    if path.is_dir() {
      files.extend(rust_files(&path));
    } else if path.extension().is_some_and(|extension| extension == "rs") {
      files.push(path);
    }
  }
  files
}

fn read(path: &Path) -> String {
  format!("\n{}", fs::read_to_string(path).unwrap())
}

fn row(folder: &str) -> usize {
  GATEWAY_ROWS
    .iter()
    .position(|row| row.contains(&folder))
    .unwrap_or_else(|| panic!("the folder {folder} has no place in the order"))
}

#[test]
fn folders_of_the_gateway_import_those_before_them() {
  let gateway = root().join("src/gateway");
  let mut wrong = Vec::new();
  for file in rust_files(&gateway) {
    let inside = file.strip_prefix(&gateway).unwrap();
    // A folder within a folder stands in its row.
    let mut parts = inside.components().map(|part| part.as_os_str());
    let (Some(folder), Some(_)) = (parts.next().and_then(OsStr::to_str), parts.next()) else {
      continue;
    };
    for path in imports(&read(&file)) {
      let Some(rest) = path.strip_prefix("crate::gateway::") else {
        continue;
      };
      let wanted = rest.split("::").next().unwrap_or(rest);
      if wanted != folder && row(wanted) >= row(folder) {
        wrong.push(format!("{} imports {path}", inside.display()));
      }
    }
  }
  assert!(wrong.is_empty(), "{wrong:#?}");
}

#[test]
fn decisions_do_no_input_or_output() {
  let decisions = root().join("src/gateway/decisions");
  let mut wrong = Vec::new();
  for file in rust_files(&decisions) {
    let text = read(&file);
    for path in imports(&text) {
      if IO
        .iter()
        .any(|io| path == *io || path.starts_with(&format!("{io}::")))
      {
        wrong.push(format!("{} imports {path}", file.display()));
      }
    }
    if text.contains("log::") {
      wrong.push(format!("{} writes a log line", file.display()));
    }
  }
  assert!(wrong.is_empty(), "{wrong:#?}");
}

/// Which files beside it each file of a folder imports. The module page is left out: it names them all.
fn neighbours(folder: &Path) -> BTreeMap<String, BTreeSet<String>> {
  let stem = |path: &Path| path.file_stem().unwrap().to_string_lossy().into_owned();
  let files: Vec<PathBuf> = fs::read_dir(folder)
    .unwrap()
    .map(|entry| entry.unwrap().path())
    .filter(|path| path.extension().is_some_and(|extension| extension == "rs"))
    .filter(|path| !["mod", "lib", "main"].contains(&stem(path).as_str()))
    .collect();
  let names: BTreeSet<String> = files.iter().map(|path| stem(path)).collect();
  let imported = |path: &Path| {
    imports(&read(path))
      .iter()
      .filter_map(|import| import.strip_prefix("super::"))
      .map(|rest| rest.split("::").next().unwrap_or(rest).to_string())
      .filter(|name| names.contains(name))
      .collect()
  };
  files
    .iter()
    .map(|path| (stem(path), imported(path)))
    .collect()
}

/// The files that can be reached from themselves.
fn in_loops(graph: &BTreeMap<String, BTreeSet<String>>) -> Vec<String> {
  let reached = |start: &String| {
    let mut seen: BTreeSet<&String> = BTreeSet::new();
    let mut open: Vec<&String> = graph[start].iter().collect();
    while let Some(name) = open.pop() {
      if seen.insert(name) {
        open.extend(&graph[name]);
      }
    }
    seen.contains(start)
  };
  graph.keys().filter(|name| reached(name)).cloned().collect()
}

#[test]
fn files_of_a_folder_import_each_other_in_no_loop() {
  let mut folders: BTreeSet<PathBuf> = BTreeSet::new();
  for source in SOURCES {
    for file in rust_files(&root().join(source)) {
      folders.extend(file.parent().map(Path::to_path_buf));
    }
  }
  let mut wrong = Vec::new();
  for folder in folders {
    let looped = in_loops(&neighbours(&folder));
    if !looped.is_empty() {
      let folder = folder.strip_prefix(root()).unwrap().display();
      wrong.push(format!("{folder}: {}", looped.join(", ")));
    }
  }
  assert!(wrong.is_empty(), "{wrong:#?}");
}
