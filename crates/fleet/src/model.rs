//! What the platform tells of itself, in the product's words.

use std::collections::BTreeMap;
use std::net::SocketAddr;

use jobs::Resources;
use serde::{Deserialize, Serialize};
use state::{DaemonId, DataCentreId, Incarnation, Millis, MinionId, PoolId, QueueId, TeamId, VmId};

use crate::event::ClientTarget;

/// What a daemon is told at its start about itself and the platform's bounds.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct FleetSettings {
    /// This daemon.
    pub daemon: DaemonId,
    /// This run of it.
    pub incarnation: Incarnation,
    /// Where it runs.
    pub data_centre: DataCentreId,
    /// Longest lease that a minion grants.
    pub max_run_lease: Millis,
    /// Time for which orders for a VM must have one holder.
    pub controller_lease: Millis,
}

/// A queue: where jobs are handed in.
#[derive(Debug, Clone, PartialEq)]
pub struct QueueConfig {
    /// Its name.
    pub queue: QueueId,
    /// Host that callers name.
    pub host: Box<str>,
    /// Beginning of the paths that lead here.
    pub prefix: Box<str>,
    /// The pool that runs its tasks.
    pub pool: PoolId,
    /// 0 comes first.
    pub priority: u32,
    /// Failed runs after which a job has failed.
    pub max_attempts: u32,
    /// The objective is this many times the longest chain of work, and `aim` more.
    pub slack_factor: f64,
    /// See `stretch`.
    pub latency_objective: Millis,
    /// Whether jobs come without a key.
    pub is_open: bool,
    /// Whether each start needs a ticket of the adviser.
    pub is_advised: bool,
}

/// A pool of VMs.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct PoolConfig {
    /// Its minions refuse what does not fit.
    pub enforces_capacity: bool,
    /// Its VMs are off and wait to be moved.
    pub is_spare: bool,
}

/// A team.
#[derive(Debug, Clone, PartialEq)]
pub struct TeamConfig {
    /// Its name.
    pub team: TeamId,
    /// Texts that its submitters show.
    pub keys: Vec<Box<str>>,
    /// Its share when all is full.
    pub share: f64,
    /// What it may have running at one time, over all pools.
    pub limit: Resources,
}

/// One version of the operator's configuration.
#[derive(Debug, Clone, PartialEq, Default)]
pub struct FleetConfig {
    /// Later versions have larger numbers.
    pub version: u64,
    /// Queues.
    pub queues: Vec<QueueConfig>,
    /// Pools.
    pub pools: BTreeMap<PoolId, PoolConfig>,
    /// Teams.
    pub teams: Vec<TeamConfig>,
}

impl FleetConfig {
    /// The queue that a request's host and path lead to, and the rest of the path.
    pub fn route<'a>(&self, host: &str, path: &'a str) -> Option<(&QueueConfig, &'a str)> {
        let host = host.split(':').next().unwrap_or(host);
        let leads = |queue: &&QueueConfig| {
            queue.host.eq_ignore_ascii_case(host) && path.starts_with(&*queue.prefix)
        };
        let queue = self.queues.iter().filter(leads).max_by_key(|queue| queue.prefix.len())?;
        Some((queue, &path[queue.prefix.len()..]))
    }

    /// The queue of a request, and the name of the job that it is about.
    pub fn target<'a>(&'a self, target: &'a ClientTarget) -> Option<(&'a QueueConfig, &'a str)> {
        match target {
            ClientTarget::Route { host, path } => self.route(host, path),
            ClientTarget::Queue { queue, job } => Some((self.queue(queue)?, job)),
        }
    }

    /// A queue by its name.
    pub fn queue(&self, name: &QueueId) -> Option<&QueueConfig> {
        self.queues.iter().find(|queue| queue.queue == *name)
    }

    /// The team that a key belongs to.
    pub fn team_of_key(&self, key: &str) -> Option<&TeamConfig> {
        self.teams.iter().find(|team| team.keys.iter().any(|known| &**known == key))
    }

    /// A team's limit; one that is not listed has none.
    pub fn limit_of(&self, team: &TeamId) -> Option<Resources> {
        self.teams.iter().find(|known| known.team == *team).map(|known| known.limit)
    }
}

/// What a minion says of itself.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct MinionReport {
    /// The minion.
    pub minion: MinionId,
    /// When this life of it began, in milliseconds since 1970.
    pub minion_incarnation: u64,
    /// The VM that it is a life of; a platform that moves no VMs names none.
    pub vm: Option<VmId>,
    /// Its pool.
    pub pool: PoolId,
    /// Where it takes orders.
    pub address: SocketAddr,
    /// Where it runs.
    pub data_centre: DataCentreId,
    /// It will leave.
    pub is_draining: bool,
    /// What it has.
    pub capacity: Resources,
    /// Its kind and its rack.
    pub labels: Vec<Box<str>>,
}

/// State of a VM as the platform lists it.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum VmPhase {
    /// It runs, or could.
    Up,
    /// It is on its way to another pool.
    Moving,
    /// It is being maintained.
    Maintenance,
    /// It does not run.
    Down,
}

/// One row of the platform's list of VMs.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct VmReport {
    /// The VM.
    pub vm: VmId,
    /// Its pool.
    pub pool: PoolId,
    /// Its state.
    pub phase: VmPhase,
    /// The minion that it is at present.
    pub minion: Option<MinionId>,
}

/// An operator's request that VMs be maintained.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct WaveOrder {
    /// Its number.
    pub wave: u64,
    /// The VMs.
    pub vms: Vec<VmId>,
    /// Time by which all must have begun.
    pub duration: Millis,
    /// Most VMs that may be down for it at one time.
    pub max_down: u32,
}

/// What an operator is told of a wave.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Serialize, Deserialize)]
pub enum WavePhase {
    /// VMs are left.
    Active,
    /// Each VM has been maintained.
    Complete,
}
