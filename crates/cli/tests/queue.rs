//! Commands for queues, as their user calls them.

use std::process::{Command, Output};

use rstest::rstest;

fn run(arguments: &[&str]) -> Output {
    let mut command = Command::new(env!("CARGO_BIN_EXE_pollenfall"));
    command.args(arguments).current_dir(concat!(env!("CARGO_MANIFEST_DIR"), "/../.."));
    command.output().expect("the program runs")
}

#[test]
fn a_file_without_faults_is_said_so() {
    let output = run(&["queue", "check", "examples/job.jsonc"]);
    assert_eq!(output.status.code(), Some(0));
    assert_eq!(output.stdout, b"examples/job.jsonc: no faults\n");
}

#[rstest]
#[case::no_job(&["queue", "check", "examples/pollenfalld.jsonc"], 2)]
#[case::no_file(&["queue", "submit", "labels", "1f", "examples/none.jsonc"], 2)]
#[case::no_daemon(&["queue", "show", "labels"], 4)]
fn failures_have_their_codes(#[case] arguments: &[&str], #[case] code: i32) {
    let output = run(arguments);
    assert_eq!(output.status.code(), Some(code));
    assert!(!output.stderr.is_empty());
}
