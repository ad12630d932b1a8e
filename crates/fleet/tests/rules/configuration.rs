//! Runs in which the operator changes the configuration, evacuates a data centre or cancels jobs
//! beside faults of the store and of the connections to it.

use fleet::ClientAnswer;
use rstest::rstest;
use state::Millicores;

use crate::cloud::FakeVm;
use crate::config_rule::{CONFIG_APPLY_MS, ProbeTarget};
use crate::injected_fault::InjectedFault;
use crate::seeded_runs::{
    DAEMON_COUNT, JobBatch, MINIONS_PER_POOL, assert_rules_held, build_config, build_report,
    read_seeds, run_scenario_with, submit_batch,
};
use crate::simulation::Simulation;
use crate::slow_links::{SLOW_LINK, set_link};

/// Time between two probes of a daemon, in milliseconds.
const PROBE_INTERVAL_MS: u64 = 50;
/// Duration of a silence of the store that ends just after a watch that was sent into it has timed
/// out and been sent again.
const SILENCE_MS: u64 = 6_300;
/// Duration of a silence that ends just after a range that was sent into it over a slow link has
/// timed out and been sent again.
const SLOW_LINK_SILENCE_MS: u64 = 7_200;
/// Time from the store's return until every daemon has had an answer to a renewal of its lease, and
/// to the call after it: the timeout of a renewal, the pause before the next one, two answers.
const RENEWAL_RETRY_MS: u64 = 1_150;
/// Time from a change to the next watch of each daemon.
const WATCH_RENEWAL_MS: u64 = 60;
/// Number of VMs in the spare pool.
const SPARE_VMS: usize = 3;
/// Maximum age of the VM list by which a VM is moved: the interval between two readings while
/// nothing is to be ordered, and the time for an answer.
const MAX_LIST_AGE_MS: u64 = 4_000;
/// Virtual time at which random changes end; longer than the faults of a run.
const CHANGES_END_MS: u64 = 45_000;

fn build_simulation(seed: u64) -> Simulation {
    let mut simulation = Simulation::new(seed, DAEMON_COUNT, build_config());
    for number in 0..MINIONS_PER_POOL {
        simulation.add_minion(build_report(0, number));
    }
    simulation.run_until(6_000);
    renew_watches(&mut simulation);
    simulation
}

/// Writes a version without other changes, so that all daemons have just sent a watch.
fn renew_watches(simulation: &mut Simulation) {
    simulation.change_config(|_| {});
    simulation.run_until(simulation.now + WATCH_RENEWAL_MS);
}

/// Adds a queue and removes another, and returns their targets.
fn replace_queue(simulation: &mut Simulation) -> [ProbeTarget; 2] {
    let build_target = |path: &str| ProbeTarget {
        host: "host.example".into(),
        path: path.into(),
        key: Some("key-0".into()),
    };
    simulation.change_config(|config| {
        let mut queue = config.queues.pop().expect("a queue");
        queue.queue = "queue-new".parse().expect("valid name");
        queue.prefix = "/new/".into();
        config.queues.push(queue);
    });
    [build_target("/new/"), build_target("/q1/")]
}

fn silence_store(simulation: &mut Simulation, duration: u64) {
    simulation.faults.is_store_silent = true;
    simulation.run_until(simulation.now + duration);
    simulation.faults.is_store_silent = false;
}

/// Probes every daemon for the targets, until the virtual time `until`.
fn probe_until(simulation: &mut Simulation, targets: &[ProbeTarget], until: u64) {
    while simulation.now < until {
        for daemon in 0..DAEMON_COUNT {
            targets.iter().for_each(|target| simulation.send_probe(daemon, target.clone()));
        }
        simulation.run_until(simulation.now + PROBE_INTERVAL_MS);
    }
}

fn assert_probes_held(simulation: &Simulation) {
    assert!(simulation.operator.checked_count > 100, "{}", simulation.operator.checked_count);
    let violations = &simulation.checker.violations;
    assert!(violations.is_empty(), "{} violations, {:?}", violations.len(), violations[0]);
}

/// Guards against daemons that decide by an old configuration after a silence of the store.
#[test]
fn version_acknowledged_after_a_silence_of_the_store_is_in_force_in_time() {
    let mut simulation = build_simulation(1);
    silence_store(&mut simulation, SILENCE_MS);
    let targets = replace_queue(&mut simulation);
    let until = simulation.now + 8_000;
    probe_until(&mut simulation, &targets, until);
    assert_probes_held(&simulation);
}

/// Guards against daemons that wait for a lost watch to time out although the store has answered
/// their other calls.
#[rstest]
fn daemons_hear_of_changes_once_the_store_answers_other_calls(
    #[values(5_500, 6_000, 6_500, 7_000, 7_500)] silence: u64,
) {
    let mut simulation = build_simulation(1);
    silence_store(&mut simulation, silence);
    let targets = replace_queue(&mut simulation);
    let returned_at = simulation.now;
    probe_until(&mut simulation, &targets[..1], returned_at + 3_000);
    let answers = simulation.operator.answers.iter();
    let late = answers.filter(|(at, answer)| {
        *at > returned_at + RENEWAL_RETRY_MS && !matches!(answer, ClientAnswer::Pending(_))
    });
    assert_eq!(late.collect::<Vec<_>>(), Vec::<&(u64, ClientAnswer)>::new());
}

/// Guards against a daemon that hears of no change because one connection is silent while the
/// store is well.
#[test]
fn version_is_in_force_although_the_connection_of_a_watch_is_silent() {
    let mut simulation = build_simulation(1);
    simulation.silence_watches_of(0);
    simulation.run_until(simulation.now + 900);
    let targets = replace_queue(&mut simulation);
    let until = simulation.now + 8_000;
    probe_until(&mut simulation, &targets, until);
    assert_probes_held(&simulation);
}

/// Submits more work than the minions can do during the test.
fn submit_backlog(simulation: &mut Simulation) {
    let processor = Millicores(2_000);
    let batch = JobBatch { jobs: 60, tasks: 8, processor, first_delay: 0, interval: 1 };
    submit_batch(simulation, &batch);
    simulation.run_until(simulation.now + 1_000);
}

/// Guards against starts in a data centre that was evacuated when the store came back.
#[test]
fn evacuated_data_centre_gets_no_start_after_a_silence_of_the_store() {
    let mut simulation = build_simulation(1);
    submit_backlog(&mut simulation);
    silence_store(&mut simulation, SILENCE_MS);
    simulation.begin_evacuation(&"dc-1".parse().expect("valid name"));
    let starts_before = simulation.checker.start_count;
    simulation.run_until(simulation.now + 9_000);
    assert!(simulation.checker.start_count > starts_before);
    assert_eq!(simulation.checker.violations.first(), None);
}

/// Guards against starts on minions that began to drain when the store came back, by an owner whose
/// reading of the reports was lost in the silence and is waited for on a slow link.
#[test]
fn draining_minions_get_no_start_after_a_silence_of_the_store() {
    let mut simulation = build_simulation(1);
    for daemon in 0..DAEMON_COUNT {
        set_link(&mut simulation, daemon, SLOW_LINK);
    }
    simulation.run_until(simulation.now + 6_000);
    submit_backlog(&mut simulation);
    silence_store(&mut simulation, SLOW_LINK_SILENCE_MS);
    for minion in simulation.minions.values_mut().take(2) {
        minion.report.is_draining = true;
    }
    let starts_before = simulation.checker.start_count;
    simulation.run_until(simulation.now + 9_000);
    assert!(simulation.checker.start_count > starts_before);
    assert_eq!(simulation.checker.violations.first(), None);
}

/// Guards against starts of jobs whose cancellation another daemon has acknowledged.
#[test]
fn cancelled_jobs_are_not_started_after_a_silence_of_the_store() {
    let mut simulation = build_simulation(1);
    submit_backlog(&mut simulation);
    silence_store(&mut simulation, SILENCE_MS);
    simulation.cancel_all_jobs();
    simulation.run_until(simulation.now + 9_000);
    assert_eq!(simulation.checker.violations.first(), None);
}

/// Returns the ages, in milliseconds, that the decisions name between two texts.
fn list_ages(simulation: &Simulation, decision: &str, before: &str, after: &str) -> Vec<u64> {
    let lines = simulation.order_decisions.iter().map(|(_, line)| line);
    let lines = lines.filter(|line| line.decision == decision);
    let age_of = |inputs: &str| {
        let (_, age) = inputs.rsplit_once(before)?;
        age.split_once(after)?.0.parse().ok()
    };
    lines.filter_map(|line| age_of(&line.inputs)).collect()
}

/// Guards against an owner that resumes by its lease and starts tasks by records that it read
/// before the store fell silent.
#[test]
fn tasks_are_started_by_confirmed_records_only() {
    let mut simulation = build_simulation(1);
    submit_backlog(&mut simulation);
    silence_store(&mut simulation, SILENCE_MS);
    simulation.run_until(simulation.now + 9_000);
    let ages = list_ages(&simulation, "start", "confirmed ", "ms ago");
    assert!(ages.len() > 100, "{}", ages.len());
    let oldest = ages.into_iter().max();
    assert!(oldest <= Some(CONFIG_APPLY_MS), "a start by records that are {oldest:?} ms old");
}

/// Guards against a queue or key that a caller is told to be unknown for good by a daemon that
/// cannot know.
#[test]
fn unknown_queue_is_refused_for_good_by_confirmed_records_only() {
    let mut simulation = build_simulation(1);
    let targets = replace_queue(&mut simulation);
    simulation.run_until(simulation.now + 1_000);
    let mut answers = Vec::new();
    for silence in [1_000, 2_500, 6_000] {
        silence_store(&mut simulation, silence);
        simulation.faults.is_store_silent = true;
        let unknown_key = ProbeTarget { key: Some("key-x".into()), ..targets[0].clone() };
        simulation.send_probe(0, targets[1].clone());
        simulation.send_probe(0, unknown_key);
        simulation.run_until(simulation.now + 5);
        simulation.faults.is_store_silent = false;
        answers.extend(simulation.operator.answers.drain(..).map(|(_, answer)| answer));
        simulation.run_until(simulation.now + 4_000);
    }
    insta::assert_debug_snapshot!(answers);
}

/// Guards against a VM that is moved by a list that was read before the store fell silent.
#[test]
fn vms_are_moved_by_a_current_list_only() {
    let mut simulation = build_simulation(1);
    for number in 0..SPARE_VMS {
        let vm = format!("vm-spare{number}").parse().expect("valid name");
        let spare = FakeVm::new("pool-spare".parse().expect("valid name"), None);
        simulation.cloud.vms.insert(vm, spare);
    }
    simulation.run_until(simulation.now + MAX_LIST_AGE_MS);
    simulation.faults.is_cloud_down = true;
    submit_backlog(&mut simulation);
    silence_store(&mut simulation, SILENCE_MS);
    simulation.faults.is_cloud_down = false;
    simulation.run_until(simulation.now + 9_000);
    let ages = list_ages(&simulation, "move-vm", "VM list read ", "ms ago");
    assert!(ages.len() > SPARE_VMS, "{}", ages.len());
    let oldest = ages.into_iter().max();
    assert!(oldest <= Some(MAX_LIST_AGE_MS), "a move by a list that is {oldest:?} ms old");
}

/// Guards against a rule that is broken while the operator changes the configuration under faults of
/// one kind.
#[rstest]
#[case(InjectedFault::None)]
#[case(InjectedFault::KilledDaemons)]
#[case(InjectedFault::FrozenDaemons)]
#[case(InjectedFault::StoreDown)]
#[case(InjectedFault::StoreSilent)]
#[case(InjectedFault::SilentWatches)]
#[case(InjectedFault::StoreRefuses)]
#[case(InjectedFault::StoreTurnsAway)]
#[case(InjectedFault::LostWrites)]
#[case(InjectedFault::Compactions)]
#[case(InjectedFault::AllKilled)]
#[case(InjectedFault::Mixed)]
fn configuration_is_in_force_under_fault(#[case] fault: InjectedFault) {
    for seed in read_seeds() {
        let plan = |simulation: &mut Simulation| simulation.plan_config_changes(CHANGES_END_MS);
        let simulation = run_scenario_with(seed, fault, plan);
        assert_rules_held(&simulation, fault, seed);
        assert!(simulation.operator.checked_count > 0, "{fault:?} seed {seed}: no probe counted");
    }
}
