//! Paired experiments: variants of a gateway's settings, run by the users' bench on the same simulated days with the same
//! seeds. Each variant gets a copy of the checkout; measurements taken before a failure are kept.

mod bench_report;
mod checkout;
mod experiment_error;
mod options;
mod plot;
mod summary;
mod trial;
mod variant;

pub use self::{
  experiment_error::ExperimentError,
  options::ExperimentOptions,
  summary::{Summary, summarise},
  trial::{Measurement, Trial},
  variant::Variant,
};

pub(crate) use self::options::experiment_options;

use {
  self::{
    checkout::{Checkout, merge_journals},
    plot::write_plot,
    summary::markdown_table,
    trial::Bench,
  },
  std::{
    collections::VecDeque,
    io::{IsTerminal, stderr},
    sync::{Mutex, PoisonError, mpsc},
    thread,
  },
};

/// Runs an experiment and prints its table. Fails at once on invalid options, and after printing the table when a trial failed.
pub fn run(options: &ExperimentOptions) -> Result<(), ExperimentError> {
  options.check()?;
  let variants = options.variants()?;
  let scratch = tempfile::tempdir().map_err(ExperimentError::io("scratch folder"))?;
  let checkouts = variants
    .iter()
    .map(|variant| Checkout::copy(&options.checkout, scratch.path(), variant))
    .collect::<Result<Vec<_>, _>>()?;
  let bench = Bench {
    program: options.bench.clone(),
    reason: options.why.clone(),
  };
  for checkout in &checkouts {
    bench.build(checkout)?;
  }
  let trials = options.trials(&variants);
  let (measured, failure) = run_trials(&bench, &checkouts, trials, options);
  merge_journals(&checkouts, &options.checkout)?;
  let summaries = summarise(&variants[0].name, &measured);
  print!("{}", markdown_table(&summaries));
  if let Some(path) = &options.plot {
    write_plot(path, &summaries)?;
  }
  failure.map_or(Ok(()), Err)
}

/// Runs trials on `options.jobs` threads until one fails. Measurements are written to the JSON file after each trial.
fn run_trials(
  bench: &Bench,
  checkouts: &[Checkout],
  trials: Vec<Trial>,
  options: &ExperimentOptions,
) -> (Vec<Measurement>, Option<ExperimentError>) {
  let total = trials.len();
  let queue = Mutex::new(VecDeque::from(trials));
  let next = || {
    let mut queue = queue.lock().unwrap_or_else(PoisonError::into_inner);
    queue.pop_front()
  };
  let (sender, results) = mpsc::channel();
  let mut measured = Vec::new();
  let mut failure = None;
  thread::scope(|scope| {
    for _ in 0..options.jobs {
      let (sender, next) = (sender.clone(), &next);
      scope.spawn(move || {
        while let Some(trial) = next() {
          if sender.send(bench.run_trial(checkouts, &trial)).is_err() {
            return;
          }
        }
      });
    }
    drop(sender);
    for result in results {
      match result {
        Ok(measurement) => measured.push(measurement),
        Err(error) => {
          queue.lock().unwrap_or_else(PoisonError::into_inner).clear();
          failure.get_or_insert(error);
        }
      }
      show_progress(measured.len(), total);
      if let Err(error) = options.write_json(&measured) {
        failure.get_or_insert(error);
      }
    }
  });
  (measured, failure)
}

fn show_progress(done: usize, total: usize) {
  if stderr().is_terminal() {
    eprint!("\r{done} of {total} trials");
    if done == total {
      eprintln!();
    }
  }
}
