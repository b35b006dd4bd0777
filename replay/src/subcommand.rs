//! The command line.

use {
  super::{
    added_impairments::add_impairments,
    drawn_day::{drawn_day, undrawn_kinds},
    error::{Error, Result},
    play::{PlayOptions, play, unplayable_kinds},
    server::StartNaming,
    server_versions::ServedVersions,
    site::{Day, Site},
  },
  bpaf::{Parser, construct, long},
  std::{collections::BTreeSet, path::PathBuf, process::ExitCode},
};

/// What the command line asks for.
#[derive(Clone, Debug)]
struct Arguments {
  site: PathBuf,
  day: Option<String>,
  drawn: Option<u64>,
  added: Vec<String>,
  seed: u64,
  program: PathBuf,
  repository: PathBuf,
  directory: Option<PathBuf>,
  has_cpu_quota: bool,
  omits_streams: bool,
  names_starts: bool,
  versions: ServedVersions,
}

/// Runs the command line. Exits with 1 if there are findings, with 2 if the day can't be played.
pub fn run() -> ExitCode {
  let arguments = arguments().to_options();
  let arguments = arguments
    .descr("Plays a day of a site file with real gateway processes")
    .run();
  let runtime = tokio::runtime::Builder::new_multi_thread()
    .enable_all()
    .build();
  let played = match runtime {
    Ok(runtime) => runtime.block_on(play_day(&arguments)),
    Err(error) => Err(Error::Threads(error)),
  };
  match played {
    Ok(true) => ExitCode::SUCCESS,
    Ok(false) => ExitCode::from(1),
    Err(error) => {
      eprintln!("{error}");
      ExitCode::from(2)
    }
  }
}

fn arguments() -> impl Parser<Arguments> {
  let site = long("site")
    .help("The site file")
    .argument::<PathBuf>("FILE");
  let day = long("day")
    .help("A standard day of the site")
    .argument::<String>("NAME")
    .optional();
  let drawn = long("drawn")
    .help("Draw a day from the site's list of troubles")
    .argument::<u64>("SEED")
    .optional();
  let added = long("add")
    .help("Add an impairment of this kind to the day; may be given several times")
    .argument::<String>("KIND")
    .many();
  let seed = long("seed")
    .help("Seed of all other draws")
    .argument::<u64>("SEED")
    .fallback(1);
  let program = long("program")
    .help("The gateway program")
    .argument::<PathBuf>("FILE")
    .fallback("target/release/rillford".into());
  let repository = long("repository")
    .help("The repository whose deploy file the program has")
    .argument::<PathBuf>("DIRECTORY")
    .fallback(".".into());
  let directory = long("directory")
    .help("Keep settings, logs and findings here")
    .argument::<PathBuf>("DIRECTORY")
    .optional();
  let has_cpu_quota = long("cpu-quota")
    .help("Hold each box to its share of a core")
    .switch();
  let omits_streams = long("no-resumes")
    .help("Callers do not name the stream that they resume")
    .switch();
  let names_starts = long("born").help("Servers name their starts").switch();
  let versions = long("versions")
    .help("Versions of the engines of a service that serve side by side: one or both")
    .argument::<ServedVersions>("one|both")
    .fallback(ServedVersions::One);
  construct!(Arguments {
    site,
    day,
    drawn,
    added,
    seed,
    program,
    repository,
    directory,
    has_cpu_quota,
    omits_streams,
    names_starts,
    versions,
  })
}

/// Plays the day that the arguments name. Returns whether nothing was found.
async fn play_day(arguments: &Arguments) -> Result<bool> {
  let site = Site::read(&arguments.site)?;
  let mut day = day(arguments, &site)?;
  add_impairments(&mut day, &site, &arguments.added, arguments.seed)?;
  println!("{}", kinds_line(&day));
  if arguments.drawn.is_some() {
    let kinds = Vec::from_iter(undrawn_kinds(&site));
    println!("never drawn, since not played: {}", kinds.join(", "));
  }
  let temporary = tempfile::tempdir().map_err(|source| Error::File {
    path: std::env::temp_dir(),
    source,
  })?;
  let directory = arguments.directory.clone();
  let directory = directory.unwrap_or_else(|| temporary.path().into());
  std::fs::create_dir_all(&directory).map_err(|source| Error::File {
    path: directory.clone(),
    source,
  })?;
  let options = PlayOptions {
    directory,
    has_cpu_quota: arguments.has_cpu_quota,
    names_streams: !arguments.omits_streams,
    program: arguments.program.clone(),
    repository: arguments.repository.clone(),
    seed: arguments.seed,
    starts: if arguments.names_starts {
      StartNaming::Everywhere
    } else {
      StartNaming::Nowhere
    },
    versions: arguments.versions,
  };
  let report = play(&site, &day, &options).await?;
  println!("{report}");
  Ok(report.is_clean())
}

/// The kinds of a day's impairments and closing, and those of them that are not played.
fn kinds_line(day: &Day) -> String {
  let impairments = day.plan.iter().chain(&day.faults);
  let kinds = impairments.map(|impairment| &*impairment.kind);
  let closing = day.closing.iter().map(|closing| &*closing.kind);
  let kinds: BTreeSet<&str> = kinds.chain(closing).collect();
  let unplayable = Vec::from_iter(unplayable_kinds(day)).join(", ");
  let kinds = Vec::from_iter(kinds).join(", ");
  format!("day {}: {kinds}; not played: {unplayable}", day.name)
}

/// The day that the arguments name.
fn day(arguments: &Arguments, site: &Site) -> Result<Day> {
  let fail = |reason: String| Error::Site {
    path: arguments.site.clone(),
    reason,
  };
  match (&arguments.day, arguments.drawn) {
    (Some(name), None) => {
      let found = site.day(name).cloned();
      found.ok_or_else(|| {
        let names: Vec<&str> = site.days.iter().map(|day| &*day.name).collect();
        fail(format!("no day {name}; it has {}", names.join(", ")))
      })
    }
    (None, Some(seed)) if site.troubles.is_empty() => {
      Err(fail(format!("no troubles to draw day {seed} from")))
    }
    (None, Some(seed)) => Ok(drawn_day(site, seed)),
    _ => Err(fail("give one of --day and --drawn".into())),
  }
}
