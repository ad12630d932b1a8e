//! Runs in which the store's answers take time on the links of the daemons.

use fleet::io::ItemValue;
use fleet::model::LinkRate;
use fleet::{KeyScope, OwnKey, StoreKey};
use jobs::{AcceptedJob, JobOutcome, JobPhase, JobSpec, StepSpec};
use serde::Serialize;
use state::{JobId, PoolId, QueueId};

use crate::fixtures::build_terms;
use crate::seeded_runs::build_config;
use crate::simulation::Simulation;

/// Bandwidth of the slowest link that the platform gives to a daemon.
pub const SLOW_LINK: LinkRate = LinkRate(10_000);
/// Size of a job's payload, so that a page of jobs reaches the maximum size in bytes.
const PAYLOAD_BYTES: usize = 2_000;

fn encode(record: &impl Serialize) -> ItemValue {
    ItemValue::Own(serde_json::to_vec(record).expect("a record").into())
}

/// Writes accepted jobs that wait, because no minion belongs to their pool.
fn write_waiting_jobs(simulation: &mut Simulation, pool: &str, count: u64) {
    let pool: PoolId = pool.parse().expect("valid name");
    let queue: QueueId = "queue-0".parse().expect("valid name");
    for number in 0..count {
        let job: JobId = format!("{number:016x}").parse().expect("valid name");
        let accepted = AcceptedJob {
            queue: queue.clone(),
            terms: build_terms(),
            team: None,
            accepted_ms: 0,
            spec: JobSpec {
                payload: "x".repeat(PAYLOAD_BYTES).into(),
                steps: vec![StepSpec { tasks: 1, ..StepSpec::default() }],
                timetable: None,
            },
        };
        let outcome =
            JobOutcome { phase: JobPhase::Queued, queue: queue.clone(), pool: pool.clone() };
        let job_key = StoreKey::Own(OwnKey::Job(pool.clone(), job.clone()));
        let outcome_key = StoreKey::Own(OwnKey::Outcome(job));
        simulation.store.put(job_key, encode(&accepted), None);
        simulation.store.put(outcome_key, encode(&outcome), None);
    }
}

/// Starts a daemon again on a VM with this link.
pub fn set_link(simulation: &mut Simulation, daemon: usize, link: LinkRate) {
    simulation.daemons[daemon].link = Some(link);
    simulation.daemons[daemon].capacity.link = link;
    simulation.start_daemon(daemon);
}

/// Returns the decisions about the first pool, one per line, without their inputs.
fn list_decisions(simulation: &Simulation) -> Vec<String> {
    let decisions = simulation.pool_decisions.iter().filter(|(_, _, line)| &*line.id == "pool-0");
    decisions.map(|(_, daemon, line)| format!("edge-{daemon} {}", line.outcome)).collect()
}

/// Guards against an owner that never loads a pool, because a page of the pool's jobs takes
/// longer on its link than a small answer may take.
#[test]
fn pool_with_many_jobs_loads_over_a_slow_link() {
    let mut simulation = Simulation::new(1, 1, build_config());
    simulation.store.has_full_pages = true;
    set_link(&mut simulation, 0, SLOW_LINK);
    write_waiting_jobs(&mut simulation, "pool-0", 1_200);
    simulation.run_until(10_000);
    assert_eq!(list_decisions(&simulation), ["edge-0 owned", "edge-0 loaded"]);
}

/// Returns the starts of the pages of jobs that the store has answered.
fn list_job_page_starts(simulation: &Simulation) -> Vec<Option<&StoreKey>> {
    let is_of_jobs =
        |scope: &KeyScope| matches!(scope, KeyScope::Jobs(pool) if pool.as_str() == "pool-0");
    let pages = simulation.read_pages.iter().filter(|(scope, _)| is_of_jobs(scope));
    pages.map(|(_, after)| after.as_ref()).collect()
}

/// Guards against an owner that reads all pages of a pool's jobs again because one page failed.
#[test]
fn failed_page_of_jobs_is_read_again_alone() {
    let mut simulation = Simulation::new(1, 1, build_config());
    simulation.store.has_full_pages = true;
    set_link(&mut simulation, 0, SLOW_LINK);
    write_waiting_jobs(&mut simulation, "pool-0", 1_200);
    while list_job_page_starts(&simulation).is_empty() {
        simulation.run_until(simulation.now + 1);
    }
    // The link carries the first page during this time.
    simulation.faults.store_refuses = true;
    simulation.run_until(simulation.now + 1_300);
    simulation.faults.store_refuses = false;
    simulation.run_until(simulation.now + 6_000);
    assert_eq!(list_decisions(&simulation), ["edge-0 owned", "edge-0 loaded"]);
    let starts = list_job_page_starts(&simulation);
    assert_eq!(starts.len(), 3, "{starts:?}");
    assert!(starts.iter().skip(1).all(Option::is_some), "{starts:?}");
}

/// Guards against an owner that keeps a pool whose records it cannot read, while other daemons
/// could read them.
#[test]
fn owner_that_cannot_load_its_pool_releases_it() {
    let mut simulation = Simulation::new(1, 2, build_config());
    simulation.store.has_full_pages = true;
    write_waiting_jobs(&mut simulation, "pool-0", 1_200);
    simulation.kill_daemon(1);
    set_link(&mut simulation, 0, SLOW_LINK);
    // The link carries less than the settings say.
    simulation.daemons[0].link = Some(LinkRate(SLOW_LINK.0 / 5));
    simulation.run_until(4_000);
    simulation.start_daemon(1);
    simulation.run_until(20_000);
    let decisions = list_decisions(&simulation);
    assert_eq!(decisions, ["edge-0 owned", "edge-0 given up", "edge-1 owned", "edge-1 loaded"],);
}
