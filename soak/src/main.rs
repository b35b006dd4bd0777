//! The command line program of the soak.

fn main() -> std::process::ExitCode {
  soak::run()
}
