//! Configuration and reports of the platform, translated to the types of this crate.

use std::collections::BTreeMap;
use std::fmt;
use std::net::SocketAddr;

use jobs::{QueueTerms, Resources};
use serde::{Deserialize, Serialize};
use state::{
    DaemonId, DataCentreId, Incarnation, Millicores, Millis, MinionId, PoolId, QueueId, TeamId,
    VmId,
};

pub use policy::data_wait::RemoteFactor;

use crate::event::ClientTarget;
use crate::timing::{
    CLOCK_ERROR_PERMILLE, MAX_WATCH_WAIT, MIN_WATCH_WAIT, RUN_LEASE_DURATION, STORE_TIMEOUT,
};

/// Settings of a daemon, given at its start: its identity and the platform's bounds.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct FleetSettings {
    /// Name of this daemon.
    pub daemon: DaemonId,
    /// Incarnation of this daemon.
    pub incarnation: Incarnation,
    /// Data centre in which the daemon runs.
    pub data_centre: DataCentreId,
    /// Capacity of the VM on which the daemon runs.
    pub capacity: DaemonCapacity,
    /// Maximum lease that a minion grants to a run.
    pub max_run_lease: Millis,
    /// Duration for which orders for a VM must come from one owner of the VM
    /// controller.
    pub controller_lease: Millis,
    /// Maximum time that a minion takes to stop a run.
    pub max_stop: Millis,
    /// Time within which a change of the configuration must be in force on every daemon.
    pub config_apply: Millis,
    /// Number of times as long that a task takes away from its data. At most 1 means that tasks do
    /// not wait for capacity near their data.
    pub remote_factor: RemoteFactor,
}

impl FleetSettings {
    /// Returns the time after which the longest lease that a minion grants now has expired, also by a slow
    /// clock.
    pub(crate) fn max_lease_duration(&self) -> Millis {
        with_clock_error(self.max_run_lease)
    }

    /// Returns the time after which the lease that a hold asks for now has expired, also by a slow clock.
    pub(crate) fn hold_lease_duration(&self) -> Millis {
        with_clock_error(self.max_run_lease.min(RUN_LEASE_DURATION))
    }

    /// Returns the maximum time that a watch waits for a change.
    ///
    /// A watch whose connection has gone silent fails after this time and the timeout of a call
    /// with a short answer, which together must not be longer than a change may take.
    pub(crate) fn watch_wait(&self) -> Millis {
        let remaining = Millis(self.config_apply.0.saturating_sub(STORE_TIMEOUT.0));
        remaining.clamp(MIN_WATCH_WAIT, MAX_WATCH_WAIT)
    }
}

/// Returns the time that a slow clock may take for `duration`.
fn with_clock_error(duration: Millis) -> Millis {
    Millis(duration.0 + duration.0 * CLOCK_ERROR_PERMILLE / 1_000)
}

/// Bandwidth of a network link, in kbit/s.
#[derive(Debug, Clone, Copy, PartialEq, Eq, PartialOrd, Ord)]
pub struct LinkRate(pub u64);

impl LinkRate {
    /// Returns the time that the link takes to carry `bytes`, rounded up.
    pub fn transfer_time(self, bytes: u64) -> Millis {
        Millis((bytes * 8).div_ceil(self.0.max(1)))
    }
}

impl fmt::Display for LinkRate {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        write!(f, "{} kbit/s", self.0)
    }
}

/// Lower bound of a daemon's capacity when capacities are compared, in thousandths of the
/// standard one, so that a small VM acquires a shard in time if there is no better one.
const MIN_CAPACITY_PERMILLE: u64 = 250;
/// Upper bound of a daemon's capacity when capacities are compared, in thousandths of the
/// standard one, so that one large VM does not own all shards.
const MAX_CAPACITY_PERMILLE: u64 = 2_000;

/// Capacity of the VM on which a daemon runs.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct DaemonCapacity {
    /// Processor time that the daemon may use.
    pub processor: Millicores,
    /// Bandwidth of the VM's link.
    pub link: LinkRate,
}

impl DaemonCapacity {
    /// Returns the capacity in thousandths of the standard one, by the scarcer of processor and
    /// link, between [`MIN_CAPACITY_PERMILLE`] and [`MAX_CAPACITY_PERMILLE`].
    fn permille_of_standard(self) -> u64 {
        let standard = Self::default();
        let processor = self.processor.0.saturating_mul(1_000) / standard.processor.0;
        let link = self.link.0.saturating_mul(1_000) / standard.link.0;
        processor.min(link).clamp(MIN_CAPACITY_PERMILLE, MAX_CAPACITY_PERMILLE)
    }

    /// Returns the load of a daemon that owns `owned_count` shards and takes one more, in
    /// thousandths of the load of a daemon of standard capacity that owns one shard.
    pub(crate) fn load_permille_with_next(self, owned_count: usize) -> u64 {
        (owned_count as u64 + 1) * 1_000_000 / self.permille_of_standard()
    }
}

impl Default for DaemonCapacity {
    /// Returns the standard capacity, which is assumed where a setting is absent.
    fn default() -> Self {
        Self { processor: Millicores(500), link: LinkRate(100_000) }
    }
}

/// Queue to which jobs are submitted.
#[derive(Debug, Clone, PartialEq)]
pub struct QueueConfig {
    /// Name of the queue.
    pub queue: QueueId,
    /// Host that callers name.
    pub host: Box<str>,
    /// Prefix of the paths that are routed to the queue.
    pub prefix: Box<str>,
    /// Pool that runs the queue's tasks.
    pub pool: PoolId,
    /// Terms on which the queue's jobs run; each job keeps those with which it was accepted.
    pub terms: QueueTerms,
    /// Whether jobs are accepted without a key.
    pub is_open: bool,
    /// Whether each start needs a ticket of the adviser.
    pub requires_ticket: bool,
}

/// Pool of VMs.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct PoolConfig {
    /// Whether the pool's minions refuse runs that exceed their capacity.
    pub enforces_capacity: bool,
    /// Whether the pool's VMs are off and wait to be moved.
    pub is_spare: bool,
}

/// Team whose jobs run on the platform.
#[derive(Debug, Clone, PartialEq)]
pub struct TeamConfig {
    /// Name of the team.
    pub team: TeamId,
    /// Keys that the team's submitters present.
    pub keys: Vec<Box<str>>,
    /// Share of the team when all capacity is in use.
    pub share: f64,
    /// Maximum resources that the team may have in use at one time, over all pools.
    pub limit: Resources,
}

/// Version of the operator's configuration.
#[derive(Debug, Clone, PartialEq, Default)]
pub struct FleetConfig {
    /// Number of the version; later versions have higher numbers.
    pub version: u64,
    /// All queues.
    pub queues: Vec<QueueConfig>,
    /// Pools by name.
    pub pools: BTreeMap<PoolId, PoolConfig>,
    /// All teams.
    pub teams: Vec<TeamConfig>,
}

impl FleetConfig {
    /// Returns the queue to which a request's host and path are routed, and the rest of
    /// the path.
    pub fn route<'a>(&self, host: &str, path: &'a str) -> Option<(&QueueConfig, &'a str)> {
        let host = host.split(':').next().unwrap_or(host);
        let is_match = |queue: &&QueueConfig| {
            queue.host.eq_ignore_ascii_case(host) && path.starts_with(&*queue.prefix)
        };
        let queue = self.queues.iter().filter(is_match).max_by_key(|queue| queue.prefix.len())?;
        Some((queue, &path[queue.prefix.len()..]))
    }

    /// Returns the queue of a request and the name of the job that the request
    /// addresses.
    pub fn target<'a>(&'a self, target: &'a ClientTarget) -> Option<(&'a QueueConfig, &'a str)> {
        match target {
            ClientTarget::Route { host, path } => self.route(host, path),
            ClientTarget::Queue { queue, job } => Some((self.queue(queue)?, job)),
        }
    }

    /// Returns the queue with this name.
    pub fn queue(&self, name: &QueueId) -> Option<&QueueConfig> {
        self.queues.iter().find(|queue| queue.queue == *name)
    }

    /// Returns the team that a key belongs to.
    pub fn team_of_key(&self, key: &str) -> Option<&TeamConfig> {
        self.teams.iter().find(|team| team.keys.iter().any(|known| &**known == key))
    }

    /// Returns a team's limit, or `None` for a team that is not listed.
    pub fn limit_of(&self, team: &TeamId) -> Option<Resources> {
        self.teams.iter().find(|known| known.team == *team).map(|known| known.limit)
    }
}

/// Report of a minion about itself.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct MinionReport {
    /// Name of the minion.
    pub minion: MinionId,
    /// Start time of this incarnation of the minion, in milliseconds since 1970.
    pub minion_incarnation: u64,
    /// VM that the minion runs on; `None` on a platform that moves no VMs.
    pub vm: Option<VmId>,
    /// Pool of the minion.
    pub pool: PoolId,
    /// Address at which the minion takes orders.
    pub address: SocketAddr,
    /// Data centre in which the minion runs.
    pub data_centre: DataCentreId,
    /// Whether the minion will leave.
    pub is_draining: bool,
    /// Total resources of the minion.
    pub capacity: Resources,
    /// Labels of the minion: its kind and its rack.
    pub labels: Vec<Box<str>>,
}

/// State of a VM as the platform lists it.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum VmPhase {
    /// The VM runs or is able to run.
    Up,
    /// The VM is moving to another pool.
    Moving,
    /// The VM is under maintenance.
    Maintenance,
    /// The VM does not run.
    Down,
}

/// Row of the platform's VM list.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct VmReport {
    /// Name of the VM.
    pub vm: VmId,
    /// Pool of the VM.
    pub pool: PoolId,
    /// State of the VM.
    pub phase: VmPhase,
    /// Minion that currently runs on the VM.
    pub minion: Option<MinionId>,
}

/// Request of an operator to maintain VMs.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct WaveOrder {
    /// Number of the wave.
    pub wave: u64,
    /// VMs to maintain.
    pub vms: Vec<VmId>,
    /// Duration within which the maintenance of all VMs must begin.
    pub duration: Millis,
    /// Maximum number of VMs that may be down for the wave at one time.
    pub max_down: u32,
}

/// Status of a wave, shown to the operator.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Serialize, Deserialize)]
pub enum WavePhase {
    /// Some VMs are not maintained yet.
    Active,
    /// All VMs have been maintained or no longer exist.
    Complete,
}
