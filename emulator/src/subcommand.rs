//! The command line of the emulator.

use {
  crate::{
    BoxListStandIn, EngineOptions, EngineStandIn, Host, KeyValueStandIn, ServiceStandIn,
    bound::{BoundOptions, bound_options, print_bound},
    decisions::{Report, run_report},
    demo,
    experiment::{self, ExperimentOptions, experiment_options},
    failures,
    forwarding::{ForwardingReport, forwarding_report, print_forwarding},
    limits::{LimitReport, limit_report, print_limits},
    load::{LoadReport, load_report, print_report},
    log_summary::log_summary,
    notices::{NoticeReport, notice_report, print_notices},
    path_bench,
    places::{PlaceReport, place_report, print_places},
    prefill::{PrefillReport, prefill_report, print_prefills},
    quarantine::{CrashReport, crash_report, print_crashes},
    regress::{RegressOptions, regress, regress_options},
    slopes,
    streams::{StreamReport, print_streams, stream_report},
  },
  bpaf::Bpaf,
  rillford::decide::Role,
  std::{io, net::SocketAddr, path::PathBuf, process::ExitCode, thread},
};

/// Stand-ins, load and experiments for rillford
#[derive(Clone, Debug, Bpaf)]
#[bpaf(options, version, generate(options))]
enum Subcommand {
  /// Run a key-value service (etcd v3 JSON gateway)
  #[bpaf(command("key-value"))]
  KeyValue {
    /// Address to listen on
    #[bpaf(long, argument("ADDRESS"))]
    listen: SocketAddr,
  },
  /// Run a box list
  #[bpaf(command("box-list"))]
  BoxList {
    /// Address to listen on
    #[bpaf(long, argument("ADDRESS"))]
    listen: SocketAddr,
  },
  /// Run a model engine
  #[bpaf(command)]
  Engine {
    /// Address to listen on
    #[bpaf(long, argument("ADDRESS"))]
    listen: SocketAddr,
    /// Start in the prefill role
    #[bpaf(long)]
    prefill: bool,
    /// Requests it can hold at once
    #[bpaf(long, argument("N"), fallback(16))]
    seats: u32,
    /// Decode time of one token
    #[bpaf(long("token-ms"), argument("MS"), fallback(20))]
    token_ms: u64,
  },
  /// Run a plain service
  #[bpaf(command)]
  Service {
    /// Address to listen on
    #[bpaf(long, argument("ADDRESS"))]
    listen: SocketAddr,
  },
  /// Compare decision strategies in virtual time and print the tables
  #[bpaf(command)]
  Decisions {
    /// Seeds per variant
    #[bpaf(long, argument("N"), fallback(5))]
    seeds: u64,
    /// Folder for plots
    #[bpaf(long, argument("FOLDER"))]
    plots: Option<PathBuf>,
    /// Only tables whose title contains this, such as `Oslo: ways`
    #[bpaf(long, argument("TEXT"))]
    only: Option<String>,
  },
  /// Compare variants of the gateway's settings on days of the users' bench, paired by seed
  #[bpaf(command)]
  Experiment {
    #[bpaf(external(experiment_options))]
    options: ExperimentOptions,
  },
  /// Score a list of sites with the users' bench and compare each mean with the last landing
  #[bpaf(command)]
  Regress {
    #[bpaf(external(regress_options))]
    options: RegressOptions,
  },
  /// Compute the most that an ideal router could have earned on a day of the users' bench
  #[bpaf(command)]
  Bound {
    #[bpaf(external(bound_options))]
    options: BoundOptions,
  },
  /// Replay peak load in virtual time, with and without each mechanism, and print the table
  #[bpaf(command)]
  Load {
    #[bpaf(external(load_report))]
    report: LoadReport,
  },
  /// Replay load at the limits of organisations in virtual time with each enforcement strategy, and print the table
  #[bpaf(command)]
  Limits {
    #[bpaf(external(limit_report))]
    report: LimitReport,
  },
  /// Replay requests that crash engines in virtual time with each quarantine strategy, and print the table
  #[bpaf(command)]
  Crashes {
    #[bpaf(external(crash_report))]
    report: CrashReport,
  },
  /// Replay endpoints that signal leaving or backoff in virtual time with each way of honouring it, and print the table
  #[bpaf(command)]
  Notices {
    #[bpaf(external(notice_report))]
    report: NoticeReport,
  },
  /// Replay an endpoint that advertises a limit for all boxes in virtual time with each enforcement strategy, and print the table
  #[bpaf(command)]
  Places {
    #[bpaf(external(place_report))]
    report: PlaceReport,
  },
  /// Replay prefill engines that many boxes share, in virtual time with each way to choose one, and print the table
  #[bpaf(command)]
  Prefill {
    #[bpaf(external(prefill_report))]
    report: PrefillReport,
  },
  /// Replay streams that callers resume while boxes fail, in virtual time with each way to learn where they began, and print the table
  #[bpaf(command)]
  Streams {
    #[bpaf(external(stream_report))]
    report: StreamReport,
  },
  /// Replay boxes that are cut off from all endpoints, in virtual time with each way to find one that is not, and print the table
  #[bpaf(command)]
  Forwarding {
    #[bpaf(external(forwarding_report))]
    report: ForwardingReport,
  },
  /// Read logs of gateway boxes from standard input and print where streams lose time
  #[bpaf(command("log-summary"))]
  LogSummary {
    /// Seconds per row
    #[bpaf(long, argument("N"), fallback(2))]
    seconds: u64,
  },
  /// Inject a series of failures under load and print the outcomes
  #[bpaf(command)]
  Failures {
    /// The program `rillford`; by default the one in the same folder
    #[bpaf(long, argument("FILE"))]
    program: Option<PathBuf>,
  },
  /// Measure the latency that a box adds to a direct call; build with --release first
  #[bpaf(command("path-bench"))]
  PathBench {
    /// The program `rillford`; by default the one in the same folder
    #[bpaf(long, argument("FILE"))]
    program: Option<PathBuf>,
  },
  /// Measure the cost of the control loop at several fleet sizes; build with --release first
  #[bpaf(command)]
  Slopes,
  /// Start stand-ins and three boxes in two halls, send requests, kill a box, print the timeline
  #[bpaf(command)]
  Demo {
    /// The program `rillford`; by default the one in the same folder
    #[bpaf(long, argument("FILE"))]
    program: Option<PathBuf>,
  },
}

/// Parses the command line and runs the subcommand.
pub fn run() -> ExitCode {
  match options().run().run() {
    Ok(()) => ExitCode::SUCCESS,
    Err(error) => {
      eprintln!("error: {error}");
      ExitCode::FAILURE
    }
  }
}

/// Serves until the process is terminated.
fn serve_forever(host: io::Result<Host>) -> io::Result<()> {
  let host = host?;
  println!("listening on {}", host.url());
  loop {
    thread::park();
  }
}

impl Subcommand {
  fn run(self) -> io::Result<()> {
    match self {
      Self::KeyValue { listen } => {
        let (router, _) = KeyValueStandIn::default().door();
        serve_forever(Host::start_at(listen, router))
      }
      Self::BoxList { listen } => {
        serve_forever(Host::start_at(listen, BoxListStandIn::default().router()))
      }
      Self::Engine {
        listen,
        prefill,
        seats,
        token_ms,
      } => {
        let options = EngineOptions {
          role: if prefill { Role::Prefill } else { Role::Decode },
          slots: seats,
          token_ms,
          ..EngineOptions::default()
        };
        serve_forever(Host::start_at(listen, EngineStandIn::new(options).router()))
      }
      Self::Service { listen } => {
        serve_forever(Host::start_at(listen, ServiceStandIn::new(32).router()))
      }
      Self::Decisions { seeds, plots, only } => run_report(&Report { only, plots, seeds }),
      Self::Experiment { options } => experiment::run(&options).map_err(io::Error::other),
      Self::Regress { options } => regress(&options).map_err(io::Error::other),
      Self::Bound { options } => print_bound(&options),
      Self::Load { report } => {
        print_report(&report);
        Ok(())
      }
      Self::Limits { report } => {
        print_limits(report);
        Ok(())
      }
      Self::Crashes { report } => {
        print_crashes(report);
        Ok(())
      }
      Self::Notices { report } => {
        print_notices(report);
        Ok(())
      }
      Self::Places { report } => {
        print_places(report);
        Ok(())
      }
      Self::Prefill { report } => {
        print_prefills(&report);
        Ok(())
      }
      Self::Streams { report } => {
        print_streams(report);
        Ok(())
      }
      Self::Forwarding { report } => {
        print_forwarding(report);
        Ok(())
      }
      Self::LogSummary { seconds } => {
        print!("{}", log_summary(io::stdin().lock(), seconds)?);
        Ok(())
      }
      Self::Failures { program } => failures::run(&demo::find_program(program)?),
      Self::PathBench { program } => path_bench::run(&demo::find_program(program)?),
      Self::Slopes => {
        slopes::run();
        Ok(())
      }
      Self::Demo { program } => demo::run(program),
    }
  }
}
