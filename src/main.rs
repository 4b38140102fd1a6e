//! The one binary of the system.

fn main() -> std::process::ExitCode {
    skylarkthread::cli::run()
}
