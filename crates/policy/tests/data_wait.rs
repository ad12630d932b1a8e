//! Waits for capacity near a task's data.

use std::fmt::Write as _;

use jobs::Resources;
use policy::data_wait::{
    RackTimeline, RemoteFactor, RemoteFactorError, WaitDecision, WaitTerms, decide, expected_end,
};
use rstest::rstest;
use state::{AcceleratorCount, Mebibytes, Millicores, Millis, Moment};

const NOW: Moment = Moment(10_000);

fn cores(count: u64) -> Resources {
    Resources {
        processor: Millicores(count * 1_000),
        memory: Mebibytes(1_000),
        accelerators: AcceleratorCount(0),
    }
}

/// Capacity of a VM of 16 cores with enough memory for any number of tasks.
fn free_cores(count: u64) -> Resources {
    Resources { memory: Mebibytes(64_000), ..cores(count) }
}

fn factor(text: &str) -> RemoteFactor {
    text.parse().expect("valid factor")
}

fn terms(run_ms: u64, remote: &str, time_left: Option<u64>) -> WaitTerms {
    let run_near = Millis(run_ms);
    let run_away = factor(remote).extend(run_near);
    WaitTerms { run_near, run_away, time_left: time_left.map(Millis) }
}

/// Guards against waits that are longer than their gain, or that make a job late.
#[test]
fn waits_are_bounded_by_gain_and_objective() {
    let mut text = String::new();
    for remote in ["1", "1.5", "2", "3"] {
        for run_ms in [0, 200, 1_000, 5_000] {
            // A job of one step with a slack factor of 1.6 and a latency objective of 600 ms.
            let fresh = Some(run_ms * 8 / 5 + 600);
            let waits = [fresh, Some(run_ms + 100), None]
                .map(|time_left| terms(run_ms, remote, time_left).allowed_wait().to_string());
            let [fresh, tight, late] = waits;
            let _ = writeln!(
                text,
                "factor {remote:>3}, run {run_ms:>4}ms: fresh {fresh}, tight {tight}, late {late}"
            );
        }
    }
    insta::assert_snapshot!("allowed_waits", text);
}

/// Guards against a wait without room in sight, and against one that outlasts its gain.
#[rstest]
#[case::room_is_near(0, Some(300), "WaitUntil(Moment(10750))")]
#[case::room_is_uncertain(0, Some(400), "StartAway(NoGain)")]
#[case::room_is_late(0, Some(800), "StartAway(NoGain)")]
#[case::rack_is_lost(0, None, "StartAway(RackUnusable)")]
#[case::rack_is_lost_later(500, None, "StartAway(RackUnusable)")]
#[case::room_is_still_near(500, Some(200), "WaitUntil(Moment(10250))")]
#[case::room_moves_away(500, Some(300), "StartAway(NoGain)")]
#[case::waited_enough(750, Some(10), "StartAway(TooLong)")]
fn a_wait_ends_when_it_gains_nothing(
    #[case] waited: u64,
    #[case] room_in: Option<u64>,
    #[case] expected: &str,
) {
    let room_at = room_in.map(|room_in| NOW + Millis(room_in));
    let terms = terms(1_000, "2", None);
    let decision = decide(NOW, Moment(NOW.0 - waited), room_at, &terms);
    assert_eq!(format!("{decision:?}"), expected);
}

/// Guards against a task that waits although it runs as fast elsewhere.
#[rstest]
fn nothing_waits_without_a_gain(#[values("0", "1", "-3")] remote: &str) {
    assert!(!factor(remote).is_above_one());
    let decision = decide(NOW, NOW, Some(NOW), &terms(1_000, remote, Some(9_000)));
    assert!(matches!(decision, WaitDecision::StartAway(_)), "{decision:?}");
}

/// Guards against settings that the daemon takes for another factor.
#[test]
fn factors_are_parsed() {
    assert_eq!(factor("1.5").to_string(), "1.5");
    assert_eq!(factor("1.5").extend(Millis(1_000)), Millis(1_500));
    assert_eq!(factor("3").extend(Millis(u64::MAX)), Millis(u64::MAX / 1_000));
    assert!(matches!("x".parse::<RemoteFactor>(), Err(RemoteFactorError::NoNumber(_))));
    for text in ["NaN", "inf", "1e9"] {
        assert_eq!(text.parse::<RemoteFactor>(), Err(RemoteFactorError::OutOfRange), "{text}");
    }
}

/// Guards against a straggler that is always expected to end soon.
#[test]
fn overdue_runs_are_expected_later_and_later() {
    let remaining = |elapsed: u64| {
        let started = Moment(NOW.0 - elapsed);
        (expected_end(NOW, started, Millis(1_000)) - NOW).0
    };
    assert_eq!(
        [0, 600, 990, 1_000, 1_200, 2_000, 7_000].map(remaining),
        [1_000, 400, 250, 250, 250, 1_000, 6_000]
    );
}

/// Builds a rack of two VMs of 16 cores: the first is full until runs of 8 cores end after 300 ms
/// and 900 ms, the second until one of 16 cores ends after 600 ms.
fn busy_rack() -> RackTimeline {
    let mut rack = RackTimeline::new(NOW);
    let run = |after: u64, count: u64| (NOW + Millis(after), cores(count));
    rack.add_vm(&free_cores(0), [run(900, 8), run(300, 8)]);
    rack.add_vm(&free_cores(0), [run(600, 16)]);
    rack
}

/// Guards against tasks that all wait for the same room.
#[test]
fn waiting_tasks_claim_room_in_turn() {
    let mut rack = busy_rack();
    let mut times = Vec::new();
    for _ in 0..8 {
        let room = rack.earliest(&cores(8), |_| true).expect("room");
        times.push((room.at - NOW).0);
        rack.claim(room.vm, room.at, &cores(8), Millis(1_000));
    }
    assert_eq!(times, [300, 600, 600, 900, 1_300, 1_600, 1_600, 1_900]);
}

/// Guards against room that is counted on VMs where the task may not run, or that is too small.
#[test]
fn room_counts_only_where_a_task_fits() {
    let rack = busy_rack();
    let at = |count: u64, vm: Option<usize>| {
        let room = rack.earliest(&cores(count), |number| vm.is_none_or(|vm| vm == number));
        room.map(|room| (room.at - NOW).0)
    };
    assert_eq!(at(8, Some(1)), Some(600));
    assert_eq!(at(10, Some(0)), Some(900));
    assert_eq!(at(17, None), None);
    assert_eq!(RackTimeline::new(NOW).earliest(&cores(1), |_| true), None);
}

/// Guards against a gang that is expected to fit when only a part of it does.
#[test]
fn a_gang_needs_room_for_all_tasks_together() {
    let rack = busy_rack();
    let at = |tasks: u32| rack.earliest_for_gang(&cores(8), tasks, |_| true).map(|at| (at - NOW).0);
    assert_eq!([1, 2, 3, 4, 5].map(at), [Some(300), Some(600), Some(600), Some(900), None]);
}
