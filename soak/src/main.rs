//! The soak's program.

fn main() -> std::process::ExitCode {
  soak::run()
}
