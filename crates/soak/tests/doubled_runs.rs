//! Guards against a check that misses doubled runs, or that finds them where there are none.

use std::time::Duration;

use jobs::RunNumber;
use rstest::rstest;
use soak::{RunEnd, RunRecord, find_doubled_runs};

/// Returns a run from `began` to `ended`, in seconds.
fn build_run(number: u64, began: u64, ended: u64, end: RunEnd) -> RunRecord {
    RunRecord {
        task: "0000000000000001.0.0.1".parse().expect("a task name"),
        run: RunNumber(number),
        minion: "m1".parse().expect("the id of a minion"),
        incarnation: 1,
        began: Duration::from_secs(began),
        ended: (end != RunEnd::Running).then(|| Duration::from_secs(ended)),
        end,
        observed: None,
        lapsed_unobserved: false,
    }
}

fn observed_at(run: RunRecord, seconds: u64) -> RunRecord {
    RunRecord { observed: Some(Duration::from_secs(seconds)), ..run }
}

#[rstest]
#[case::one_after_the_other(build_run(1, 0, 3, RunEnd::Lapsed), 0)]
#[case::ended_at_the_start(build_run(1, 0, 5, RunEnd::Stopped), 0)]
#[case::at_once(build_run(1, 0, 6, RunEnd::Lapsed), 1)]
#[case::never_ended(build_run(1, 0, 0, RunEnd::Running), 1)]
#[case::done_unobserved(build_run(1, 0, 3, RunEnd::Done), 0)]
#[case::done_observed_before(observed_at(build_run(1, 0, 3, RunEnd::Done), 4), 1)]
#[case::done_observed_later(observed_at(build_run(1, 0, 3, RunEnd::Done), 9), 1)]
#[case::lapsed_observed(observed_at(build_run(1, 0, 3, RunEnd::Lapsed), 4), 0)]
fn second_run_is_checked_against_the_first(#[case] earlier: RunRecord, #[case] doubled: usize) {
    let later = build_run(2, 5, 8, RunEnd::Done);
    assert_eq!(find_doubled_runs(&[later, earlier]).len(), doubled);
}

#[test]
fn done_run_whose_lease_lapsed_unobserved_may_be_repeated() {
    let earlier = observed_at(build_run(1, 0, 3, RunEnd::Done), 9);
    let earlier = RunRecord { lapsed_unobserved: true, ..earlier };
    let later = build_run(2, 5, 8, RunEnd::Done);
    assert!(find_doubled_runs(&[earlier, later]).is_empty());
}

#[test]
fn runs_of_two_tasks_are_no_doubled_runs() {
    let earlier = build_run(1, 0, 6, RunEnd::Done);
    let task = "0000000000000001.0.0.2".parse().expect("a task name");
    let later = RunRecord { task, ..build_run(1, 5, 8, RunEnd::Done) };
    assert!(find_doubled_runs(&[earlier, later]).is_empty());
}
