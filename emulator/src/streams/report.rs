//! The report of the stream simulation as a Markdown table.

use {
  super::{StreamFigures, StreamFleet, StreamPattern, StreamWay, replay_streams},
  bpaf::Bpaf,
};

/// Options of the stream report.
#[derive(Bpaf, Clone, Copy, Debug)]
pub struct StreamReport {
  /// Seeds for each pattern and way
  #[bpaf(long, argument("N"), fallback(4))]
  seeds: u64,
  /// Boxes
  #[bpaf(long, argument("N"), fallback(StreamFleet::SMALL.boxes))]
  boxes: usize,
  /// Data halls
  #[bpaf(long, argument("N"), fallback(StreamFleet::SMALL.halls))]
  halls: usize,
  /// Streams per second and box, of services with two versions
  #[bpaf(long, argument("N"), fallback(StreamFleet::SMALL.streams_per_s))]
  streams_per_s: f64,
}

/// Runs every pattern with every way and prints a table: the least share of known origins over all seeds, the sum of wrong ones,
/// and the mean of the rest.
pub fn print_streams(report: StreamReport) {
  let fleet = StreamFleet {
    boxes: report.boxes,
    halls: report.halls,
    streams_per_s: report.streams_per_s,
  };
  println!(
    "| pattern | way | least share known | mean share known | wrong | resumed | records | lookups | bytes/s of a box | most kept |"
  );
  println!("| --- | --- | ---: | ---: | ---: | ---: | ---: | ---: | ---: | ---: |");
  for pattern in StreamPattern::ALL {
    for way in StreamWay::ALL {
      let runs: Vec<StreamFigures> = (1..=report.seeds)
        .map(|seed| replay_streams(pattern, fleet, way, seed))
        .collect();
      print_row(pattern, way, &runs);
    }
  }
}

fn print_row(pattern: StreamPattern, way: StreamWay, runs: &[StreamFigures]) {
  let mean =
    |figure: fn(&StreamFigures) -> f64| runs.iter().map(figure).sum::<f64>() / runs.len() as f64;
  let least = runs
    .iter()
    .map(StreamFigures::known_share)
    .fold(1.0, f64::min);
  println!(
    "| {pattern:?} | {way:?} | {least:.3} | {:.3} | {} | {:.0} | {:.0} | {:.0} | {:.0} | {} |",
    mean(StreamFigures::known_share),
    runs.iter().map(|run| run.wrong).sum::<u32>(),
    mean(|run| f64::from(run.resumed)),
    mean(|run| f64::from(run.records)),
    mean(|run| f64::from(run.lookups)),
    mean(|run| run.bytes_per_s),
    runs.iter().map(|run| run.most_kept).max().unwrap_or(0)
  );
}
