//! The text form of a job.

use jobs::parse_job;
use rstest::rstest;

#[test]
fn the_example_is_a_job() {
    let text = include_str!("../../../examples/job.jsonc");
    insta::assert_debug_snapshot!(parse_job(text));
}

#[rstest]
#[case("empty", "")]
#[case("syntax", "{")]
#[case("type", r#"{ "payload": 1, "steps": [] }"#)]
#[case("no_steps", r#"{ "payload": "x", "steps": [] }"#)]
#[case("misspelt", r#"{ "payload": "x", "steps": [{ "tasks": 1, "afer": [0] }], "steps2": 1 }"#)]
#[case("misspelt_needs", r#"{ "payload": "x", "steps": [{ "tasks": 1, "needs": { "cpu": 5 } }] }"#)]
#[case("loop", r#"{ "payload": "x", "steps": [{ "tasks": 1, "after": [0] }] }"#)]
fn faults_are_told(#[case] name: &str, #[case] text: &str) {
    let fault = parse_job(text).expect_err("a fault");
    insta::assert_snapshot!(format!("job_text_{name}"), fault);
}
