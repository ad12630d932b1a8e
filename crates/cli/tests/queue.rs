//! Runs the `pollenfall queue` commands as processes and checks their output and exit codes.
//!
//! Guards against commands that report a failure with the wrong exit code or without a message.

use std::process::{Command, Output};

use rstest::rstest;

fn run_command(arguments: &[&str]) -> Output {
    let mut command = Command::new(env!("CARGO_BIN_EXE_pollenfall"));
    command.args(arguments).current_dir(concat!(env!("CARGO_MANIFEST_DIR"), "/../.."));
    command.output().expect("the pollenfall program starts")
}

#[test]
fn check_reports_a_file_without_faults() {
    let output = run_command(&["queue", "check", "examples/job.jsonc"]);
    assert_eq!(output.status.code(), Some(0));
    assert_eq!(output.stdout, b"examples/job.jsonc: no faults\n");
}

#[rstest]
#[case::no_job(&["queue", "check", "examples/pollenfalld.jsonc"], 2)]
#[case::no_file(&["queue", "submit", "labels", "1f", "examples/none.jsonc"], 2)]
#[case::no_daemon(&["queue", "show", "labels"], 4)]
fn each_failure_has_its_exit_code(#[case] arguments: &[&str], #[case] code: i32) {
    let output = run_command(arguments);
    assert_eq!(output.status.code(), Some(code));
    assert!(!output.stderr.is_empty());
}
