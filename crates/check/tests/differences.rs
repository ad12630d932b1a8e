//! Guards the differences from the version in force: told in the terms of operators, and without
//! the text of any key.

mod common;

use check::{CheckInput, run_check};
use common::{file, input, render};

fn compare(name: &str, before: &str, after: &str) -> String {
    let against = vec![file("in-force", before)];
    render(&run_check(&CheckInput { against, ..input(&[(name, after)]) }))
}

const PLANS: &str = r#"{ "teams": {
  "day": { "plan": "p", "share": 50, "limit": 24 },
  "night": { "plan": "p", "share": 20, "limit": 8 },
  "old": { "plan": "p", "share": 20, "limit": 8 }
} }"#;

const CHANGED_PLANS: &str = r#"{ "teams": {
  "day": { "plan": "q", "share": 60, "limit": 24 },
  "night": { "plan": "p", "share": 20, "limit": 6 },
  "new": { "plan": "p", "share": 20, "limit": 8 }
} }"#;

const GRANTS: &str = r#"{
  "plans": { "p": { "pools": ["a", "b"], "priority": "urgent" },
             "q": { "pools": ["a"], "priority": "normal" } },
  "pools": { "a": { "min_available": 1 }, "b": { "min_available": 1, "open": true } }
}"#;

const IN_FORCE: &str = r#"{ "revision": 12, "config": {
  "teams": { "day": { "plan": "p", "share": 50, "limit": 24 },
             "old": { "plan": "p", "share": 20, "limit": 8 } },
  "plans": { "p": { "pools": ["a", "b"], "priority": "urgent" } },
  "pools": { "a": { "open": false, "min_available": 1, "deadline": 10000 },
             "b": { "open": true, "min_available": 1, "deadline": 10000 } },
  "keys": { "k-day": { "team": "day", "salt": "s", "digest": "5ec2e7" },
            "k-old": { "team": "old", "salt": "s", "digest": "5ec2e7" } },
  "out_data_centres": [], "out_pools": [], "changes": []
} }"#;

#[test]
fn plans_against_plans() {
    insta::assert_snapshot!(compare("plans.jsonc", PLANS, CHANGED_PLANS));
}

#[test]
fn grants_against_grants() {
    let changed = GRANTS
        .replace(r#"["a", "b"], "priority": "urgent""#, r#"["b"], "priority": "overnight""#)
        .replace(r#""min_available": 1, "open": true"#, r#""min_available": 3, "deadline_ms": 500"#)
        .replace(r#""q": { "pools": ["a"]"#, r#""r": { "pools": ["a"]"#)
        .replace("\"pools\": { \"a\"", "\"preference\": \"work\", \"pools\": { \"a\"");
    insta::assert_snapshot!(compare("grants.jsonc", GRANTS, &changed));
}

/// Guards against a key of a removed team that stays valid, which daemons refuse.
#[test]
fn plans_against_the_configuration_in_force() {
    insta::assert_snapshot!(compare("plans.jsonc", IN_FORCE, CHANGED_PLANS));
}

#[test]
fn configuration_against_configuration() {
    let changed = IN_FORCE
        .replace("k-day", "k-new")
        .replace(r#""team": "old""#, r#""team": "day""#)
        .replace(r#""out_pools": []"#, r#""out_pools": ["a"]"#);
    let text = compare("config.json", IN_FORCE, &changed);
    assert!(!text.contains("5ec2e7"), "a message has the digest of a key");
    insta::assert_snapshot!(text);
}

#[test]
fn settings_against_settings() {
    let settings = include_str!("../../../examples/pollenfalld.jsonc");
    let changed = settings
        .replace("127.0.0.1:7101", "127.0.0.1:7102")
        .replace("0011223344556677", "0011223344556678")
        .replace("4096", "2048");
    insta::assert_snapshot!(compare("pollenfalld.jsonc", settings, &changed));
}

#[test]
fn job_against_job() {
    let job = include_str!("../../../examples/job.jsonc");
    let changed = job
        .replace("\"tasks\": 20", "\"tasks\": 30")
        .replace("\"processor\": 500", "\"processor\": 250")
        .replace("a4", "a3")
        .replace("\"most_per_minion\": 2", "\"most_per_minion\": 3");
    insta::assert_snapshot!(compare("job.jsonc", job, &changed));
}

#[test]
fn same_version_has_no_differences() {
    assert_eq!(compare("plans.jsonc", PLANS, PLANS), "differences:");
}

#[test]
fn version_in_force_that_cannot_be_compared() {
    let another_kind = compare("grants.jsonc", PLANS, GRANTS);
    insta::assert_snapshot!(format!("{another_kind}\n{}", compare("grants.jsonc", "{", GRANTS)));
}

/// Guards against a named kind that is also taken for the whole configuration in force.
#[test]
fn named_kind_against_the_configuration_in_force() {
    let kind = Some(check::FileKind::Plans);
    let against = vec![file("in-force", IN_FORCE)];
    let files = [("plans.jsonc", CHANGED_PLANS)];
    let report = run_check(&CheckInput { kind, against, ..input(&files) });
    assert_eq!(render(&report), compare("plans.jsonc", IN_FORCE, CHANGED_PLANS));
}

/// Guards against a file with errors of which the report says that it changes nothing.
#[test]
fn files_with_errors_have_no_differences() {
    let faulty = CHANGED_PLANS.replace("share", "shares");
    for before in [PLANS, IN_FORCE] {
        let against = vec![file("in-force", before)];
        let report = run_check(&CheckInput { against, ..input(&[("plans.jsonc", &faulty)]) });
        assert_eq!(report.differences, None);
    }
}
