//! What a person's files give: values, or every fault with its line.

use rstest::rstest;
use state::{parse_daemon_settings, parse_grants, parse_plans};

fn faults<T: std::fmt::Debug>(outcome: Result<T, Vec<state::SettingFault>>) -> Vec<String> {
    let faults = outcome.expect_err("the text has faults");
    faults.iter().map(ToString::to_string).collect()
}

#[test]
fn plans_list_every_fault_with_its_line() {
    let text = r#"{
      // a comment
      "teams": {
        "oss plant": { "plan": "member", "share": 1, "limit": 2 },
        "boxtel": { "plam": "member", "share": 0, "limit": "many" },
        "oss": { "plan": "member", "share": 1, "limit": 2, "limit": 3 },
      },
      "team": {}
    }"#;
    insta::assert_debug_snapshot!(faults(parse_plans(text)));
}

#[test]
fn grants_list_every_fault_with_its_line() {
    let text = r#"{
      "plans": { "member": { "pools": ["intake", 3], "priority": "soon" } },
      "pools": { "intake": { "min_available": -1, "deadline_ms": 99999999 } },
      "preference": "luck"
    }"#;
    insta::assert_debug_snapshot!(faults(parse_grants(text)));
}

#[rstest]
#[case("{ \"teams\": ")]
#[case("")]
#[case("[1, 2]")]
#[case("{ \"teams\": [] }")]
fn a_text_that_is_no_list_is_a_fault(#[case] text: &str) {
    assert!(!faults(parse_plans(text)).is_empty());
}

#[test]
fn settings_list_every_fault_with_its_line() {
    let text = r#"{
      "daemon": "entry 1",
      "vm": "vm-1",
      "listen": "localhost",
      "peer_lissen": "127.0.0.1:1",
      "platform": "127.0.0.1:7000",
      "operator_key": "secret",
      "request_threads": 0
    }"#;
    insta::assert_debug_snapshot!(faults(parse_daemon_settings(text)));
}

#[rstest]
#[case(include_str!("../../../examples/brabant/plans.jsonc"), include_str!("../../../examples/brabant/grants.jsonc"))]
#[case(include_str!("../../../examples/borvarrat/plans.jsonc"), include_str!("../../../examples/borvarrat/grants.jsonc"))]
fn example_lists_have_no_fault(#[case] plans: &str, #[case] grants: &str) {
    let change = "first".parse().expect("an id");
    let mut config = state::ConfigDoc::default();
    let edits = [parse_grants(grants).expect("no fault"), parse_plans(plans).expect("no fault")];
    config.apply(&change, &edits);
    assert_eq!(state::verify::config(&config), Vec::new());
}

#[test]
fn example_settings_have_no_fault() {
    let text = include_str!("../../../examples/pollenfalld.jsonc");
    assert!(parse_daemon_settings(text).is_ok());
}
