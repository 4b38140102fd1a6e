//! Checks a file without submitting it.

use super::args::Form;
use super::{EXIT_REFUSED, read_file, to_strings};
use crate::platform::{Deploy, GatewaySettings};
use crate::text::Text;
use std::path::Path;
use std::process::ExitCode;

/// Prints what a file contains, or its faults.
pub fn check_file(file: &Path, form: Form) -> ExitCode {
    let text = match read_file(file) {
        Ok(text) => text,
        Err(code) => return code,
    };
    let checked = match form {
        Form::Text => Text::parse(&text)
            .map(|t| format!("{} services, {} workspaces", t.services.len(), t.workspaces.len()))
            .map_err(|faults| to_strings(&faults)),
        Form::Settings => GatewaySettings::parse(&text)
            .map(|s| format!("instance {} in {}", s.instance, s.centre))
            .map_err(|e| vec![format!(" {e}")]),
        Form::Deploy => Deploy::parse(&text)
            .map(|d| format!("{} roles", d.roles.len()))
            .map_err(|faults| faults.iter().map(|f| format!(" {f}")).collect()),
    };
    match checked {
        Ok(summary) => {
            println!("{summary}");
            ExitCode::SUCCESS
        }
        Err(faults) => {
            faults.iter().for_each(|f| eprintln!("{}:{f}", file.display()));
            ExitCode::from(EXIT_REFUSED)
        }
    }
}
