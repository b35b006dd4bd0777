//! The command line: plays seeds one after another and prints breaches.

use {
  super::{
    day::Day,
    early_ends::EarlyEnds,
    framing::Framings,
    options::Options,
    plan::FaultSelection,
    play::{Report, play},
    profile::Profile,
    records::Outcome,
    starts::Starts,
  },
  bpaf::{Bpaf, Parser, construct, long},
  std::{
    path::{Path, PathBuf},
    process::ExitCode,
  },
};

/// Injects faults into real gateway boxes and checks their promises.
#[derive(Bpaf, Clone, Debug)]
#[bpaf(options)]
struct Arguments {
  /// Path of the gateway program
  #[bpaf(argument("PATH"), fallback(PathBuf::from("target/release/rillford")))]
  program: PathBuf,
  /// First seed
  #[bpaf(argument("SEED"), fallback(1))]
  seed: u64,
  /// Number of consecutive seeds to play
  #[bpaf(argument("COUNT"), fallback(1))]
  count: u64,
  #[bpaf(external(shape))]
  shape: Shape,
  /// Where endpoints name their starts: everywhere, nowhere, entries, reports or new-ids (nowhere, and each start has a new id).
  /// By default new-ids with --profile, and everywhere without
  #[bpaf(argument("PLACE"), optional)]
  starts: Option<Starts>,
  /// Period in which faults start, in seconds
  #[bpaf(argument("SECONDS"), fallback(30))]
  faults_s: u64,
  /// Additional time in the promises' bounds, in milliseconds
  #[bpaf(argument("MS"), fallback(700))]
  slack_ms: u64,
  #[bpaf(external(fault_selection))]
  faults: FaultSelection,
  #[bpaf(external(framings))]
  framings: Framings,
  #[bpaf(external(early_ends))]
  early_ends: EarlyEnds,
  /// Directory for each seed's settings and logs
  #[bpaf(argument("DIRECTORY"), fallback(PathBuf::from("target/soak")))]
  keep: PathBuf,
  /// Plays the seeds of a file instead: a number at the start of each line
  #[bpaf(argument("FILE"), optional)]
  seeds: Option<PathBuf>,
}

/// The deployment that is played.
#[derive(Bpaf, Clone, Debug)]
enum Shape {
  Size {
    /// Number of boxes
    #[bpaf(argument("COUNT"), fallback(4))]
    boxes: usize,
    /// Number of endpoints
    #[bpaf(argument("COUNT"), fallback(10))]
    endpoints: usize,
    /// Number of callers
    #[bpaf(argument("COUNT"), fallback(24))]
    callers: u64,
  },
  Profile {
    /// A deployment of three halls instead: wide, deep or narrow
    #[bpaf(long("profile"), argument("NAME"))]
    profile: Profile,
  },
}

impl Arguments {
  fn profile(&self) -> Profile {
    let profile = self.shape.profile();
    self
      .starts
      .map_or(profile, |starts| profile.with_starts(starts))
  }
}

impl Shape {
  fn profile(&self) -> Profile {
    match self {
      Self::Size {
        boxes,
        endpoints,
        callers,
      } => Profile::of_size(*boxes, *endpoints, *callers),
      Self::Profile { profile } => *profile,
    }
  }
}

/// Parses how the ends of endpoints' responses are marked.
fn framings() -> impl Parser<Framings> {
  long("usual-framings")
    .help("Send all streams in chunks and all other responses with a length")
    .req_flag(Framings::Usual)
    .fallback(Framings::Mixed)
}

/// Parses where engines that run on end streams early.
fn early_ends() -> impl Parser<EarlyEnds> {
  long("living-ends")
    .help("Have engines that run on end streams without framing between two events, too, which nothing tells from whole streams")
    .req_flag(EarlyEnds::BetweenEvents)
    .fallback(EarlyEnds::WithinEvents)
}

/// Parses the selection of faults.
fn fault_selection() -> impl Parser<FaultSelection> {
  let crashes = long("only-crashes")
    .help("Crash engines, and inject no other faults")
    .req_flag(FaultSelection::Crashes);
  let garbled_answers = long("only-garbled-answers")
    .help("Garble answers, crash engines meanwhile, and inject no other faults")
    .req_flag(FaultSelection::GarbledAnswers);
  let interruptions = long("only-interruptions")
    .help("Interrupt streams, and inject no other faults")
    .req_flag(FaultSelection::Interruptions);
  let partitions = long("only-partitions")
    .help("Cut halls and boxes from each other, and inject no other faults but kills of all boxes")
    .req_flag(FaultSelection::Partitions);
  let silences = long("only-silences")
    .help("Make engines silent beside planned work, and inject no other faults")
    .req_flag(FaultSelection::Silences);
  let releases = long("only-releases")
    .help("Release software versions and kill all boxes at once, and inject no other faults")
    .req_flag(FaultSelection::Releases);
  let restarts = long("only-restarts")
    .help("Restart engines under their id with the other version, and inject no other faults")
    .req_flag(FaultSelection::Restarts);
  let reused_addresses = long("only-reused-addresses")
    .help("Give addresses to endpoints of another service, and inject no other faults")
    .req_flag(FaultSelection::ReusedAddresses);
  let stops = long("only-stops")
    .help("Stop boxes as planned, and inject no other faults")
    .req_flag(FaultSelection::Stops);
  let stops_without_store = long("only-stops-without-store")
    .help("Stop boxes as planned while the store is away, and inject no other faults")
    .req_flag(FaultSelection::StopsWithoutStore);
  let troubles = long("only-troubles")
    .help("Inject what deployments report, two or three kinds at a time")
    .req_flag(FaultSelection::Troubles);
  let day = long("day")
    .help("Play a scripted day instead: crashes, partitions, shifts or store-outages")
    .argument::<Day>("NAME")
    .map(FaultSelection::Day);
  construct!([
    crashes,
    day,
    garbled_answers,
    troubles,
    interruptions,
    partitions,
    silences,
    releases,
    restarts,
    reused_addresses,
    stops,
    stops_without_store
  ])
  .fallback(FaultSelection::All)
}

/// Runs the program.
pub fn run() -> ExitCode {
  let arguments = arguments().run();
  match play_all(&arguments) {
    Ok(0) => ExitCode::SUCCESS,
    Ok(failed) => {
      println!("{failed} seeds had breaches");
      ExitCode::FAILURE
    }
    Err(error) => {
      eprintln!("soak: {error}");
      ExitCode::FAILURE
    }
  }
}

fn play_all(arguments: &Arguments) -> Result<usize, String> {
  let seeds = match &arguments.seeds {
    Some(file) => read_seeds(file)?,
    None => (arguments.seed..arguments.seed + arguments.count).collect(),
  };
  let mut failed = 0;
  for seed in seeds {
    let report = play_seed(arguments, seed)?;
    failed += usize::from(!report.is_sound());
  }
  Ok(failed)
}

/// Reads a seed from the first word of each line that is neither empty nor a comment.
fn read_seeds(file: &Path) -> Result<Vec<u64>, String> {
  let text =
    std::fs::read_to_string(file).map_err(|error| format!("{}: {error}", file.display()))?;
  let lines = text
    .lines()
    .filter(|line| !line.is_empty() && !line.starts_with('#'));
  lines
    .map(|line| {
      let seed = line.split_whitespace().next().unwrap_or_default();
      seed
        .parse()
        .map_err(|error| format!("{}: {seed}: {error}", file.display()))
    })
    .collect()
}

fn play_seed(arguments: &Arguments, seed: u64) -> Result<Report, String> {
  let directory = arguments.keep.join(seed.to_string());
  // Logs of an earlier run of this seed would mix with the new ones.
  if directory.exists() {
    std::fs::remove_dir_all(&directory).map_err(|error| error.to_string())?;
  }
  std::fs::create_dir_all(&directory).map_err(|error| error.to_string())?;
  let options = Options {
    directory: directory.clone(),
    early_ends: arguments.early_ends,
    faults: arguments.faults,
    faults_ms: arguments.faults_s * 1_000,
    framings: arguments.framings,
    profile: arguments.profile(),
    program: arguments.program.clone(),
    seed,
    slack_ms: arguments.slack_ms,
  };
  let runtime = tokio::runtime::Runtime::new().map_err(|error| error.to_string())?;
  let report = runtime
    .block_on(play(&options))
    .map_err(|error| error.to_string())?;
  print_report(seed, &report);
  let records = format!("{:#?}\n{:#?}\n", report.faults, report.records);
  std::fs::write(directory.join("records.txt"), records).map_err(|error| error.to_string())?;
  let raw_records = report.raw_records.to_string();
  std::fs::write(directory.join("raw-records.txt"), raw_records)
    .map_err(|error| error.to_string())?;
  Ok(report)
}

fn print_report(seed: u64, report: &Report) {
  let completed = |statuses: std::ops::Range<u16>| {
    report.count(
      |outcome| matches!(outcome, Outcome::Complete { status, .. } if statuses.contains(status)),
    )
  };
  println!(
    "seed {seed}: {} faults, {} requests: {} served, {} rejected as not run, {} other errors, \
     {} connections lost, {} disconnected, {} moved to another box, {} unanswered; {} role commands, {} planned stops; {} breaches",
    report.faults.len(),
    report.records.requests.len(),
    completed(200..300),
    completed(503..504),
    completed(400..503) + completed(504..600),
    report.count(|outcome| matches!(outcome, Outcome::ConnectionLost { .. })),
    report.count(|outcome| *outcome == Outcome::Disconnected),
    report.count(|outcome| matches!(outcome, Outcome::Moved { .. })),
    report.count(|outcome| *outcome == Outcome::Unanswered),
    report.records.role_commands.len(),
    report.records.stops.len(),
    report.breaches.len()
  );
  for breach in &report.breaches {
    println!("  {breach}");
  }
  for finding in &report.findings {
    println!("  judged {finding}");
  }
  for difference in &report.differences {
    println!("  difference: {difference}");
  }
}
