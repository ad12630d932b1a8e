//! Guards the findings about the product's files: each kind of fault is reported at its place, and
//! the examples have no findings.

mod common;

use check::{CheckInput, FileKind, run_check};
use common::{check, file, input, render};
use rstest::rstest;

const GRANTS: &str = r#"{
  "plans": {
    "day": { "pools": ["cut"], "priority": "urgent" },
    "night": { "pools": ["resize", "cut"], "priority": "overnight" }
  },
  "pools": { "cut": { "min_available": 2 }, "resize": { "min_available": 1 } }
}"#;

const VMS: &str = r#"{ "vms": [
  { "vm": "w-1", "address": "10.0.0.1:80", "role": "worker", "pool": "cut", "data_centre": "dc-1",
    "rack": "r-1", "slots": 0, "cores": 4, "memory": 8192, "boot": 1, "presence": "live" },
  { "vm": "w-2", "address": "10.0.0.2:80", "role": "worker", "pool": "cut", "data_centre": "dc-1",
    "rack": "r-2", "slots": 0, "cores": 8, "memory": 8192, "boot": 1, "presence": "live" },
  { "vm": "e-1", "address": "10.0.0.3:80", "role": "entry", "pool": "resize", "data_centre": "dc-1",
    "rack": "r-2", "slots": 0, "cores": 1, "memory": 1, "boot": 1, "presence": "live" }
] }"#;

fn check_with_vms(files: &[(&str, &str)]) -> String {
    render(&run_check(&CheckInput { vms: Some(file("vms.json", VMS)), ..input(files) }))
}

#[test]
fn examples_have_no_findings() {
    let files = [
        ("grants.jsonc", include_str!("../../../examples/borvarrat/grants.jsonc")),
        ("plans.jsonc", include_str!("../../../examples/borvarrat/plans.jsonc")),
        ("job.jsonc", include_str!("../../../examples/job.jsonc")),
        ("pollenfalld.jsonc", include_str!("../../../examples/pollenfalld.jsonc")),
    ];
    assert_eq!(check(&files), "");
    let kinds = run_check(&input(&files)).files.into_iter().map(|file| file.kind);
    let expected = [FileKind::Grants, FileKind::Plans, FileKind::Job, FileKind::Settings];
    assert_eq!(kinds.collect::<Vec<_>>(), expected.map(Some));
}

#[rstest]
#[case::empty("empty", "")]
#[case::only_comment("only_comment", "// nothing\n")]
#[case::syntax("syntax", "{\n  \"teams\": {\n    \"a\": }\n}")]
#[case::unknown_kind("unknown_kind", "{ \"team\": {} }")]
#[case::list("list", "[]")]
#[case::byte_order_mark("byte_order_mark", "\u{feff}{}")]
fn files_that_are_no_configuration(#[case] name: &str, #[case] text: &str) {
    insta::assert_snapshot!(format!("no_configuration_{name}"), check(&[("file", text)]));
}

#[test]
fn binary_files_are_reported_at_the_first_byte_that_is_no_text() {
    let files = vec![file("binary", *b"{\n  \"\xc3\xa9\": \xff\xfe\0"), file("zeros", [0; 9])];
    let input = CheckInput { files, ..CheckInput::default() };
    insta::assert_snapshot!(render(&run_check(&input)));
}

#[test]
fn faults_of_lists() {
    let plans = r#"{ "teams": {
      "oss plant": { "plan": "day", "share": 1, "limit": 2 },
      "a": { "plan": "day", "share": -1, "limit": 99999999999999999999 },
      "b": { "plan": "day", "share": 1, "limit": 2, "limit": 3 },
      "c": { "plam": "day", "share": 0.5, "limit": null }
    } }"#;
    insta::assert_snapshot!(check(&[("plans.jsonc", plans)]));
}

#[test]
fn rows_of_lists_without_effect() {
    let plans = r#"{ "teams": {
      "a": { "plan": "day", "share": 70, "limit": 0 },
      "b": { "plan": "day", "share": 40, "limit": 5 }
    } }"#;
    let grants = r#"{
      "plans": { "day": { "pools": [], "priority": "urgent" } },
      "pools": { "cut": { "min_available": 2 }, "open": { "open": true, "min_available": 0 } }
    }"#;
    insta::assert_snapshot!(check(&[("plans.jsonc", plans), ("grants.jsonc", grants)]));
}

#[test]
fn references_between_lists() {
    let plans = r#"{ "teams": {
      "a": { "plan": "day", "share": 1, "limit": 1 },
      "b": { "plan": "evening", "share": 1, "limit": 1 }
    } }"#;
    let grants = GRANTS.replace(r#"["cut"]"#, r#"["cut", "sew"]"#);
    insta::assert_snapshot!(check(&[("plans.jsonc", plans), ("grants.jsonc", &grants)]));
}

#[test]
fn references_to_a_list_that_is_not_given_are_not_judged() {
    let plans = r#"{ "teams": { "b": { "plan": "evening", "share": 1, "limit": 1 } } }"#;
    assert_eq!(check(&[("plans.jsonc", plans)]), "");
}

#[test]
fn two_files_of_one_list() {
    insta::assert_snapshot!(check(&[("a.jsonc", GRANTS), ("b.jsonc", GRANTS)]));
}

#[test]
fn policies_that_forbid_every_drain() {
    insta::assert_snapshot!(check_with_vms(&[("grants.jsonc", GRANTS)]));
}

#[test]
fn faults_of_settings() {
    let settings = r#"{
      "daemon": "entry-1", "vm": "vm-1", "data_centre": "dc-1",
      "listen": "10.0.0.1:0", "peer_listen": "10.0.0.9:7000",
      "platform": "10.0.0.9:7000", "queue_limit": 0, "log_format": "xml",
      "operator_key": "pf.operators.5ec2e7"
    }"#;
    let text = check(&[("pollenfalld.jsonc", settings)]);
    assert!(!text.contains("5ec2e7"), "a message has the text of a key");
    insta::assert_snapshot!(text);
}

#[test]
fn settings_of_a_fleet() {
    let hash = |digit: &str| format!("00:{}", digit.repeat(64));
    let settings = |daemon: &str, listen: &str, platform: &str, digit: &str| {
        format!(
            "{{ \"daemon\": \"{daemon}\", \"vm\": \"vm-{daemon}\", \"data_centre\": \"dc\",\n  \
             \"listen\": \"{listen}\", \"peer_listen\": \"0.0.0.0:7201\",\n  \
             \"platform\": \"{platform}\", \"operator_key\": \"{}\" }}",
            hash(digit)
        )
    };
    let first = settings("e-1", "10.0.0.1:71", "10.0.0.9:70", "0");
    let second = settings("e-2", "10.0.0.1:71", "10.0.0.8:70", "1");
    let third = settings("e-1", "10.0.0.3:0", "10.0.0.3:0", "0");
    insta::assert_snapshot!(check(&[("1", &first), ("2", &second), ("3", &third)]));
}

#[rstest]
#[case::types(
    "types",
    r#"{ "payload": "x", "steps": [{ "tasks": 1 },
    { "tasks": -4 }] }"#
)]
#[case::unknown_fields(
    "unknown_fields",
    r#"{ "payload": "x",
    "steps": [{ "tasks": 1, "needs": { "cpu": 5 } }], "name": 3 }"#
)]
#[case::huge(
    "huge",
    r#"{ "payload": "x", "steps": [{ "tasks": 1,
    "estimate": 1e999 }] }"#
)]
#[case::repeated(
    "repeated",
    r#"{ "payload": "x", "steps": [{ "tasks": 1,
    "tasks": 2 }] }"#
)]
#[case::dependency(
    "dependency",
    r#"{ "payload": "x", "steps": [{ "tasks": 1,
    "after": [0] }] }"#
)]
#[case::steps(
    "steps",
    r#"{ "payload": "x", "steps": [
    { "tasks": 2, "lasting": true, "may_miss": 0 },
    { "tasks": 2, "after": [0, 0], "one_rack": true, "most_per_minion": 0, "label": "" },
    { "tasks": 2, "may_miss": 1, "target": 5, "estimate": 99999999999 },
    { "tasks": 2, "lasting": true, "may_miss": 2 }] }"#
)]
#[case::timetable(
    "timetable",
    r#"{ "payload": "x", "steps": [{ "tasks": 1 }],
    "timetable": { "first_due_ms": 1, "interval": 9223372036854775807, "occurrences": 4 } }"#
)]
#[case::no_occurrence(
    "no_occurrence",
    r#"{ "payload": "x", "steps": [{ "tasks": 1, "lasting": true }],
    "timetable": { "first_due_ms": 1, "interval": 0, "occurrences": 0 } }"#
)]
fn faults_of_jobs(#[case] name: &str, #[case] text: &str) {
    insta::assert_snapshot!(format!("job_{name}"), check(&[("job.jsonc", text)]));
}

#[test]
fn jobs_that_no_vm_can_run() {
    let job = r#"{ "payload": "x", "steps": [
      { "tasks": 1, "needs": { "processor": 8000 } },
      { "tasks": 1, "needs": { "processor": 8001 } },
      { "tasks": 1, "label": "gpu" },
      { "tasks": 1, "needs": { "processor": 8000 }, "label": "r-1" },
      { "tasks": 4, "needs": { "processor": 4000 }, "gang": true },
      { "tasks": 2, "near": "r-9" }] }"#;
    insta::assert_snapshot!(check_with_vms(&[("job.jsonc", job)]));
}

#[test]
fn list_of_vms_in_no_known_form() {
    let vms = Some(file("vms.json", "{ \"vms\": [{ \"vm\": \"w 1\" }] }"));
    let report = run_check(&CheckInput { vms, ..input(&[("grants.jsonc", GRANTS)]) });
    insta::assert_snapshot!(render(&report));
}
