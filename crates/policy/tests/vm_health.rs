//! Judgement of VMs by their runs, and of racks by their answers.

use std::collections::BTreeMap;

use policy::{FULL_WEIGHT, RackWatch, StepKey, VmHealth, VmJudgement};
use rand::rngs::StdRng;
use rand::{Rng, SeedableRng};
use rstest::rstest;
use state::{Millis, Moment, VmId};

/// Number of VMs of a pool.
const VMS: u64 = 12;

fn vm(number: u64) -> VmId {
    format!("vm-{number:03}").parse().expect("valid name")
}

fn all_vms() -> Vec<VmId> {
    (0..VMS).map(vm).collect()
}

/// Faults of a pool's VMs.
#[derive(Clone, Copy)]
struct Faults {
    /// Factor by which runs take longer on slow VMs.
    slowdown: u64,
    /// Part of the runs that fail on faulty VMs.
    failures: f64,
    /// Part of the runs that fail on every VM.
    base_failures: f64,
    /// Number of VMs, from the first one, with these faults.
    faulty_vms: u64,
}

const NO_FAULTS: Faults = Faults { slowdown: 1, failures: 0.0, base_failures: 0.0, faulty_vms: 0 };

/// Runs 60 jobs of eight tasks on random VMs. True times of jobs differ by 50 %, the expected ones are off
/// by as much, and 3 % of the runs are stragglers.
fn run_jobs(health: &mut VmHealth, faults: Faults, seed: u64, from: u64) {
    let mut rng = StdRng::seed_from_u64(seed);
    for job in 0..60 {
        let true_ms = 1_000.0 * rng.random_range(0.5..1.5);
        let expected = Millis((true_ms * rng.random_range(0.5..1.5)) as u64);
        for _ in 0..8 {
            let number = rng.random_range(0..VMS);
            let is_faulty = number < faults.faulty_vms;
            let factor = if is_faulty { faults.slowdown } else { 1 };
            let factor = if rng.random_bool(0.03) { factor * 7 } else { factor };
            let failures = if is_faulty { faults.failures } else { faults.base_failures };
            let (step, at) = (StepKey(from + job), Moment(from + job * 100));
            if rng.random_bool(failures) {
                health.record_failed(&vm(number), step, at);
            } else {
                let measured = Millis(true_ms as u64 * factor);
                health.record_done(&vm(number), step, Some(measured), expected, at);
            }
        }
    }
}

fn describe(health: &VmHealth) -> String {
    let held = all_vms().into_iter().filter_map(|vm| {
        let VmJudgement { weight, .. } = health.judgement(&vm);
        (weight < FULL_WEIGHT).then(|| format!("{vm} {weight} %"))
    });
    let held: Vec<String> = held.collect();
    if held.is_empty() { "none".to_owned() } else { held.join(", ") }
}

/// Guards against healthy VMs that are held back by chance, and faulty ones that are not.
#[test]
fn faulty_vms_are_held_back() {
    let cases = [
        ("healthy", NO_FAULTS),
        ("all tasks fail at times", Faults { base_failures: 0.2, ..NO_FAULTS }),
        ("one slow", Faults { slowdown: 5, faulty_vms: 1, ..NO_FAULTS }),
        ("three slow", Faults { slowdown: 5, faulty_vms: 3, ..NO_FAULTS }),
        ("one fails all", Faults { failures: 1.0, faulty_vms: 1, ..NO_FAULTS }),
        ("two fail half", Faults { failures: 0.5, faulty_vms: 2, ..NO_FAULTS }),
        ("all slow", Faults { slowdown: 5, faulty_vms: VMS, ..NO_FAULTS }),
        ("half fail all", Faults { failures: 1.0, faulty_vms: VMS / 2, ..NO_FAULTS }),
    ];
    let mut lines = Vec::new();
    for (name, faults) in cases {
        for seed in 1..=3 {
            let mut health = VmHealth::default();
            run_jobs(&mut health, faults, seed, 0);
            health.judge(&all_vms(), Moment(6_000));
            lines.push(format!("{name}, seed {seed}: {}", describe(&health)));
        }
    }
    insta::assert_snapshot!(lines.join("\n"));
}

/// Guards against VMs that are blamed for tasks which fail everywhere.
#[test]
fn failures_of_a_bad_task_do_not_count_against_vms() {
    let mut health = VmHealth::default();
    run_jobs(&mut health, NO_FAULTS, 1, 0);
    for number in 0..60 {
        health.record_failed(&vm(number % VMS), StepKey(9_999), Moment(6_100 + number));
    }
    assert_eq!(health.judge(&all_vms(), Moment(6_200)), Vec::new());
}

/// Guards against a VM that stays held back after it has become healthy, and against one that gets all its
/// work back after a single success.
#[rstest]
#[case::slow(Faults { slowdown: 5, faulty_vms: 1, ..NO_FAULTS })]
#[case::failing(Faults { failures: 1.0, faulty_vms: 1, ..NO_FAULTS })]
fn vm_recovers_after_successful_probes(#[case] faults: Faults) {
    let mut health = VmHealth::default();
    run_jobs(&mut health, faults, 1, 0);
    health.judge(&all_vms(), Moment(6_000));
    assert!(health.judgement(&vm(0)).is_held_back());
    for probe in 0..3 {
        assert!(health.judgement(&vm(0)).is_held_back(), "probe {probe}");
        let (step, at) = (StepKey(20_000 + probe), Moment(7_000 + probe * 1_000));
        health.record_done(&vm(0), step, Some(Millis(900)), Millis(1_000), at);
        health.judge(&all_vms(), at);
    }
    assert!(!health.judgement(&vm(0)).is_held_back());
}

/// Guards against probes that come so often that they fail many tasks.
#[test]
fn probes_become_rarer_while_they_fail() {
    let mut health = VmHealth::default();
    run_jobs(&mut health, Faults { failures: 1.0, faulty_vms: 1, ..NO_FAULTS }, 1, 0);
    health.judge(&all_vms(), Moment(6_000));
    let mut probes = Vec::new();
    for at in (6_000..66_000).step_by(500) {
        if health.may_probe(&vm(0), Moment(at)) {
            health.record_probe(&vm(0), Moment(at));
            health.record_failed(&vm(0), StepKey(30_000 + at), Moment(at + 100));
            probes.push(at);
        }
        health.judge(&all_vms(), Moment(at));
    }
    assert_eq!(probes, [6_000, 7_000, 9_000, 13_000, 21_000, 37_000, 53_000]);
}

fn rack_of_four() -> (BTreeMap<Box<str>, Vec<VmId>>, Vec<VmId>) {
    let vms: Vec<VmId> = (0..4).map(vm).collect();
    ([("r-1".into(), vms.clone())].into(), vms)
}

/// Guards against starts on the rest of a rack that is being lost, and against a rack that stays paused
/// after one of its VMs has answered.
#[test]
fn rack_is_dark_until_one_of_its_vms_answers() {
    let (racks, vms) = rack_of_four();
    let mut watch = RackWatch::default();
    vms.iter().for_each(|vm| watch.record_answered(vm, Moment(1_000)));
    watch.record_unanswered(&vms[0], Moment(2_000));
    assert_eq!(watch.update(&racks), Vec::new());
    watch.record_unanswered(&vms[1], Moment(2_600));
    let changes = watch.update(&racks);
    assert!(changes.len() == 1 && changes[0].is_dark, "{changes:?}");
    assert!(watch.is_dark("r-1"));
    watch.record_unanswered(&vms[0], Moment(9_000));
    assert_eq!(watch.update(&racks), Vec::new());
    watch.record_answered(&vms[3], Moment(9_500));
    let changes = watch.update(&racks);
    assert!(changes.len() == 1 && !changes[0].is_dark, "{changes:?}");
}

/// Guards against a rack that counts as lost by single VMs which are lost at different times, or while its
/// other VMs answer.
#[rstest]
#[case::far_apart(2_000, 9_000, 1_000)]
#[case::others_answer(2_000, 2_500, 2_200)]
fn single_losses_do_not_pause_a_rack(
    #[case] first_loss: u64,
    #[case] second_loss: u64,
    #[case] last_answer: u64,
) {
    let (racks, vms) = rack_of_four();
    let mut watch = RackWatch::default();
    watch.record_unanswered(&vms[0], Moment(first_loss));
    watch.update(&racks);
    watch.record_answered(&vms[2], Moment(last_answer));
    watch.record_unanswered(&vms[1], Moment(second_loss));
    assert_eq!(watch.update(&racks), Vec::new());
}
