//! Entry point.

fn main() -> std::process::ExitCode {
  replay::run()
}
