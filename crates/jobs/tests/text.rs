//! Guards the parser of the text form of a job: the example file parses, and each kind of invalid
//! text, such as a misspelt field, gives an error that names the cause.

use jobs::parse_job;
use rstest::rstest;

#[test]
fn the_example_job_parses() {
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
fn invalid_texts_are_rejected_with_a_reason(#[case] name: &str, #[case] text: &str) {
    let error = parse_job(text).expect_err("the text is invalid");
    insta::assert_snapshot!(format!("job_text_{name}"), error);
}
