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

/// Guards against a text that ends the process: a parser that recurses into each level of nesting
/// without a bound overflows its thread's stack.
#[rstest]
#[case::lists("[")]
#[case::objects("{\"a\":")]
#[case::steps("{\"steps\":[")]
fn deep_nesting_is_rejected(#[case] opening: &str) {
    let error = parse_job(&opening.repeat(100_000)).expect_err("the text is invalid");
    assert!(error.to_string().starts_with("Maximum nesting depth exceeded"), "{error}");
}

/// Guards against sums of declared times that overflow: the daemon orders jobs by them.
#[test]
fn huge_times_do_not_overflow() {
    let text = r#"{ "payload": "", "timetable":
        { "first_due_ms": 18446744073709551615, "interval": 18446744073709551615, "occurrences": 3 },
        "steps": [
            { "tasks": 2, "needs": { "processor": 18446744073709551615 },
              "estimate": 18446744073709551615 },
            { "tasks": 1, "after": [0], "estimate": 18446744073709551615 }] }"#;
    let job = parse_job(text).expect("the text is valid");
    let progress = jobs::JobProgress::default();
    assert_eq!(job.critical_path().0, u64::MAX);
    assert_eq!(job.remaining_critical_path(&progress, 0).0, u64::MAX);
    assert_eq!(job.due_ms(2), u64::MAX);
    assert_eq!(job.estimated_work(), u64::MAX);
}
