//! Configurations that several tests share.

use std::collections::BTreeMap;

use fleet::model::{FleetConfig, MinionReport, PoolConfig, QueueConfig, TeamConfig};
use jobs::{QueueTerms, Resources};
use state::{AcceleratorCount, Mebibytes, Millicores, Millis, PoolId};

/// Builds a configuration with pools `pool-0`, `pool-1` and so on, a queue for each of them, and
/// the given teams.
pub fn build_config(pool_count: usize, teams: Vec<TeamConfig>) -> FleetConfig {
    let queues: Vec<QueueConfig> = (0..pool_count).map(build_queue).collect();
    let pool_config = PoolConfig { enforces_capacity: true, is_spare: false };
    let pools: BTreeMap<PoolId, PoolConfig> =
        queues.iter().map(|queue| (queue.pool.clone(), pool_config.clone())).collect();
    FleetConfig { version: 1, queues, pools, teams }
}

/// Builds the terms of every queue.
pub fn build_terms() -> QueueTerms {
    QueueTerms { priority: 0, max_attempts: 3, slack_factor: 1.6, latency_objective: Millis(600) }
}

/// Builds the queue of a pool, with the same number as the pool.
fn build_queue(number: usize) -> QueueConfig {
    QueueConfig {
        queue: format!("queue-{number}").parse().expect("valid name"),
        host: "host.example".into(),
        prefix: format!("/q{number}/").into(),
        pool: format!("pool-{number}").parse().expect("valid name"),
        terms: build_terms(),
        is_open: false,
        requires_ticket: false,
    }
}

/// Builds a team with one key of the same number.
pub fn build_team(number: usize, limit: Resources) -> TeamConfig {
    TeamConfig {
        team: format!("team-{number}").parse().expect("valid name"),
        keys: vec![format!("key-{number}").into()],
        share: 1.0,
        limit,
    }
}

/// Builds resources without accelerators.
pub fn resources(processor: Millicores, memory: Mebibytes) -> Resources {
    Resources { processor, memory, accelerators: AcceleratorCount(0) }
}

/// Builds the limit of a team that may use any amount of memory and accelerators.
pub fn processor_limit(processor: Millicores) -> Resources {
    Resources { processor, memory: Mebibytes(u32::MAX), accelerators: AcceleratorCount(u32::MAX) }
}

/// Builds the report of a minion of `pool-0` with 16 cores, for pools of up to 256 minions.
pub fn build_report(number: usize) -> MinionReport {
    MinionReport {
        minion: format!("i-{number}").parse().expect("valid name"),
        minion_incarnation: 1 + number as u64,
        vm: Some(format!("vm-{number}").parse().expect("valid name")),
        pool: "pool-0".parse().expect("valid name"),
        address: format!("10.0.0.{number}:80").parse().expect("valid address"),
        data_centre: "dc-1".parse().expect("valid name"),
        is_draining: false,
        capacity: resources(Millicores(16_000), Mebibytes(64_000)),
        labels: vec!["a".into()],
    }
}
