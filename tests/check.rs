//! The `check` command, run as an operator would.

use rstest::rstest;
use std::path::{Path, PathBuf};
use std::process::Command;

const SETTINGS: &str = "node=n-1\nzone=z-a\nlimits.max_fds=4100\nlimits.memory_mb=110\n\
    bounds.grace_s=8\nbounds.retry_budget_ratio=0.2\nplatform.address=127.0.0.1:1\n";

const DEPLOY: &str = r#"build = "cargo build"
[roles.entry]
run = "target/release/skylarkthread gateway --metrics 9464"
on = "front"
share = 1.0
serves = ["front"]
metrics = "9464/metrics"
"#;

fn write_file(name: &str, text: &str) -> PathBuf {
    let file = std::env::temp_dir().join(format!("check-{}-{name}", std::process::id()));
    std::fs::write(&file, text).expect("the temporary directory is writable");
    file
}

/// Returns the exit code and the output, with the path replaced by `FILE`.
fn run_check(form: &str, file: &Path) -> (Option<i32>, String) {
    let out = Command::new(env!("CARGO_BIN_EXE_skylarkthread"))
        .args(["check", "--form", form])
        .arg(file)
        .output()
        .expect("the binary runs");
    let text = [out.stdout, out.stderr].concat();
    let text = String::from_utf8(text).expect("the output is UTF-8");
    (out.status.code(), text.replace(&*file.to_string_lossy(), "FILE"))
}

#[rstest]
#[case::valid("node", "node", 0, "instance n-1 in z-a\n")]
#[case::missing_equals_sign(
    "bounds.grace_s=8",
    "bounds.grace_s",
    1,
    "FILE: line 5 is not of the form name=value\n"
)]
#[case::missing_node("node=n-1\n", "", 1, "FILE: node is missing\n")]
#[case::invalid_number(
    "=4100",
    "=many",
    1,
    "FILE: limits.max_fds has the invalid value \"many\"\n"
)]
#[case::negative_duration(
    "grace_s=8",
    "grace_s=-1",
    1,
    "FILE: bounds.grace_s has the invalid value \"-1: cannot convert float seconds to Duration: value is negative\"\n"
)]
fn settings_check_reports_exit_code_and_output(
    #[case] old: &str,
    #[case] new: &str,
    #[case] code: i32,
    #[case] output: &str,
) {
    let file = write_file(&format!("{}-{}", old.len(), new.len()), &SETTINGS.replacen(old, new, 1));
    assert_eq!(run_check("settings", &file), (Some(code), output.to_owned()));
}

#[rstest]
#[case::valid("share = 1.0", "share = 1.0", 0, "1 roles\n")]
#[case::unknown_machine_class(
    "\"front\"\nshare",
    "\"edge\"\nshare",
    1,
    "FILE: role entry: on: unknown machine class \"edge\"\n"
)]
#[case::share_above_1("1.0", "1.5", 1, "FILE: role entry: share: must be above 0 and at most 1\n")]
#[case::neither_share_nor_count(
    "share = 1.0\n",
    "",
    1,
    "FILE: role entry: exactly one of share and count must be set\n"
)]
#[case::unknown_caller(
    "[\"front\"]",
    "[\"all\"]",
    1,
    "FILE: role entry: serves: unknown caller \"all\"\n"
)]
#[case::other_metrics_port(
    "9464/",
    "9465/",
    1,
    "FILE: role entry: metrics: port is 9465, but --metrics is 9464\n"
)]
fn deploy_check_reports_exit_code_and_output(
    #[case] old: &str,
    #[case] new: &str,
    #[case] code: i32,
    #[case] output: &str,
) {
    let name = format!("{}.toml", old.len() * 100 + new.len());
    let file = write_file(&name, &DEPLOY.replacen(old, new, 1));
    assert_eq!(run_check("deploy", &file), (Some(code), output.to_owned()));
}

#[test]
fn deploy_file_of_repository_is_valid() {
    let file = Path::new(env!("CARGO_MANIFEST_DIR")).join("deploy/system.toml");
    assert_eq!(run_check("deploy", &file), (Some(0), "1 roles\n".to_owned()));
}

#[test]
fn toml_syntax_error_reports_line_and_column() {
    let file = write_file("syntax.toml", "build = \n");
    let (code, output) = run_check("deploy", &file);
    assert_eq!(code, Some(1));
    assert!(output.contains("line 1, column 9"), "{output}");
}
