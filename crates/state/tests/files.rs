//! Guards the parsers of the operators' lists and of the daemon's settings: the examples parse, and
//! an invalid text yields all of its faults at once, each with its line.

use rstest::rstest;
use state::{parse_daemon_settings, parse_grants, parse_plans};

fn fault_messages<T: std::fmt::Debug>(result: Result<T, Vec<state::SettingFault>>) -> Vec<String> {
    let faults = result.expect_err("the text has faults");
    faults.iter().map(ToString::to_string).collect()
}

#[test]
fn faults_of_plans_are_reported_with_their_lines() {
    let text = r#"{
      // a comment
      "teams": {
        "oss plant": { "plan": "member", "share": 1, "limit": 2 },
        "boxtel": { "plam": "member", "share": 0, "limit": "many" },
        "oss": { "plan": "member", "share": 1, "limit": 2, "limit": 3 },
      },
      "team": {}
    }"#;
    insta::assert_debug_snapshot!(fault_messages(parse_plans(text)));
}

#[test]
fn faults_of_grants_are_reported_with_their_lines() {
    let text = r#"{
      "plans": { "member": { "pools": ["intake", 3], "priority": "soon" } },
      "pools": { "intake": { "min_available": -1, "deadline_ms": 99999999 } },
      "preference": "luck"
    }"#;
    insta::assert_debug_snapshot!(fault_messages(parse_grants(text)));
}

#[rstest]
#[case("{ \"teams\": ")]
#[case("")]
#[case("[1, 2]")]
#[case("{ \"teams\": [] }")]
fn texts_that_are_not_lists_are_rejected(#[case] text: &str) {
    assert!(!fault_messages(parse_plans(text)).is_empty());
}

#[test]
fn faults_of_settings_are_reported_with_their_lines() {
    let text = r#"{
      "daemon": "entry 1",
      "vm": "vm-1",
      "listen": "localhost",
      "peer_lissen": "127.0.0.1:1",
      "platform": "127.0.0.1:7000",
      "operator_key": "secret",
      "request_threads": 0
    }"#;
    insta::assert_debug_snapshot!(fault_messages(parse_daemon_settings(text)));
}

#[rstest]
#[case(
    include_str!("../../../examples/brabant/plans.jsonc"),
    include_str!("../../../examples/brabant/grants.jsonc")
)]
#[case(
    include_str!("../../../examples/borvarrat/plans.jsonc"),
    include_str!("../../../examples/borvarrat/grants.jsonc")
)]
fn example_lists_have_no_faults(#[case] plans: &str, #[case] grants: &str) {
    let change = "first".parse().expect("valid identifier");
    let mut config = state::ConfigDoc::default();
    let edits =
        [parse_grants(grants).expect("valid list"), parse_plans(plans).expect("valid list")];
    config.apply(&change, &edits);
    assert_eq!(state::verify::check_config(&config), Vec::new());
}

#[test]
fn example_settings_have_no_faults() {
    let text = include_str!("../../../examples/pollenfalld.jsonc");
    assert!(parse_daemon_settings(text).is_ok());
}

/// Guards against a text that ends the process: the parser recurses into each level of nesting.
#[rstest]
#[case::lists("[")]
#[case::objects("{\"a\":")]
fn deep_nesting_is_rejected(#[case] opening: &str) {
    let messages = fault_messages(parse_daemon_settings(&opening.repeat(100_000)));
    assert_eq!(messages, ["line 1: Maximum nesting depth exceeded"]);
}

/// Guards against a bound on nesting that counts brackets in strings and comments.
#[test]
fn brackets_in_strings_and_comments_are_not_nesting() {
    let brackets = "[{".repeat(1_000);
    let text = format!("{{ \"teams\": {{}} /* {brackets} */ }} // {brackets}");
    assert!(parse_plans(&text).is_ok());
    assert!(state::parse_value(&format!("{brackets:?}")).is_ok());
}

/// Guards against columns that count bytes, and against positions of another line.
#[test]
fn positions_count_lines_and_characters() {
    let value = state::parse_value("{\n  \"é\": [1,\n   \"ü\", 3] }").expect("valid text");
    let path = [state::PathStep::Field("é".into())];
    assert_eq!(value.locate(&path).to_string(), "2:3");
    let path = [path[0].clone(), state::PathStep::Item(2)];
    assert_eq!(value.locate(&path).to_string(), "3:9");
}

/// Guards against a parser that refuses valid JSON, such as a character that is escaped as two
/// units of UTF-16, or accepts what JSON with comments does not have.
#[rstest]
#[case::surrogates(r#"["\ud83d\ude00 \u00e9 \/"]"#, true)]
#[case::final_comma("[1,]", true)]
#[case::lone_surrogate(r#"["\ud83d"]"#, false)]
#[case::no_comma("[1 2]", false)]
#[case::hexadecimal("[0x10]", false)]
#[case::plus("[+1]", false)]
#[case::no_digit("[.5]", false)]
#[case::infinity("[Infinity]", false)]
#[case::escape(r#"["\x41"]"#, false)]
fn syntax_of_files(#[case] text: &str, #[case] is_valid: bool) {
    assert_eq!(state::parse_value(text).is_ok(), is_valid);
}
