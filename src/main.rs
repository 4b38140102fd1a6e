//! The `skylarkthread` binary, which runs the daemons and the operators' client.

/// Runs before the startup code of the language, which takes longer than the way from `main` to the
/// handlers of signals.
#[used]
// SAFETY: the loader calls the functions of this section once, before `main`, and this one needs nothing
// that is set up later.
#[unsafe(link_section = ".init_array")]
static IGNORE_STRAYS: extern "C" fn() = skylarkthread::shutdown::ignore_strays;

fn main() -> std::process::ExitCode {
    skylarkthread::cli::run()
}
