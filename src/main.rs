//! The `skylarkthread` binary, which runs the daemons and the operators' client.

fn main() -> std::process::ExitCode {
    skylarkthread::cli::run()
}
