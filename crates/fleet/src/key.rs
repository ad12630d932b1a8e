//! Keys of the store.
//!
//! The keys of records that every daemon follows begin with `o`, like the keys of the
//! operator's records, so that one watch covers both.

use std::fmt;
use std::str::FromStr;

use state::{DataCentreId, JobId, MinionId, PoolId};

/// Shard of the work, owned by one daemon at a time.
#[derive(Debug, Clone, PartialEq, Eq, PartialOrd, Ord, Hash)]
pub enum ShardKey {
    /// Orders for VMs: moves and maintenance.
    VmController,
    /// Orders for the minions of a pool.
    Pool(PoolId),
}

impl fmt::Display for ShardKey {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        match self {
            Self::VmController => f.write_str("mover"),
            Self::Pool(pool) => write!(f, "pool/{pool}"),
        }
    }
}

/// Key of a record that pollenfall itself writes.
#[derive(Debug, Clone, PartialEq, Eq, PartialOrd, Ord, Hash)]
pub enum OwnKey {
    /// Owner of a shard; the record lives as long as the owner's lease.
    Owner(ShardKey),
    /// State of a job as reported to its submitters.
    Outcome(JobId),
    /// Quota allocations: the teams' limits, split among pools.
    Parts,
    /// VMs that a pool requests and offers.
    Need(PoolId),
    /// Progress of a wave.
    Wave(u64),
    /// Specification of a job.
    Job(PoolId, JobId),
    /// Finished tasks and failures of a job.
    Progress(PoolId, JobId),
    /// Minions on which tasks of a pool may run.
    Roster(PoolId),
    /// Number of commits that have saved changes of a pool in one lane.
    SaveSequence(PoolId, u8),
    /// Measured run times of a pool; only the pool's owner reads the record.
    RunTimes(PoolId),
}

impl fmt::Display for OwnKey {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        match self {
            Self::Owner(shard) => write!(f, "owner/{shard}"),
            Self::Outcome(job) => write!(f, "outcome/{job}"),
            Self::Parts => write!(f, "oparts"),
            Self::Need(pool) => write!(f, "oneed/{pool}"),
            Self::Wave(wave) => write!(f, "owave/{wave}"),
            Self::Job(pool, job) => write!(f, "job/{pool}/{job}"),
            Self::Progress(pool, job) => write!(f, "progress/{pool}/{job}"),
            Self::Roster(pool) => write!(f, "roster/{pool}"),
            Self::SaveSequence(pool, lane) => write!(f, "saves/{pool}/{lane}"),
            Self::RunTimes(pool) => write!(f, "runtimes/{pool}"),
        }
    }
}

impl FromStr for OwnKey {
    type Err = ();

    fn from_str(text: &str) -> Result<Self, ()> {
        let segments: Vec<&str> = text.split('/').collect();
        let parse = || match segments.as_slice() {
            ["owner", "mover"] => Some(Self::Owner(ShardKey::VmController)),
            ["owner", "pool", pool] => Some(Self::Owner(ShardKey::Pool(pool.parse().ok()?))),
            ["outcome", job] => Some(Self::Outcome(job.parse().ok()?)),
            ["oparts"] => Some(Self::Parts),
            ["oneed", pool] => Some(Self::Need(pool.parse().ok()?)),
            ["owave", wave] => Some(Self::Wave(wave.parse().ok()?)),
            ["job", pool, job] => Some(Self::Job(pool.parse().ok()?, job.parse().ok()?)),
            ["progress", pool, job] => Some(Self::Progress(pool.parse().ok()?, job.parse().ok()?)),
            ["roster", pool] => Some(Self::Roster(pool.parse().ok()?)),
            ["saves", pool, lane] => {
                Some(Self::SaveSequence(pool.parse().ok()?, lane.parse().ok()?))
            }
            ["runtimes", pool] => Some(Self::RunTimes(pool.parse().ok()?)),
            _ => None,
        };
        parse().ok_or(())
    }
}

/// Decoded key of the store.
#[derive(Debug, Clone, PartialEq, Eq, PartialOrd, Ord, Hash)]
pub enum StoreKey {
    /// Configuration by the operator.
    Config,
    /// Evacuation of a data centre, ordered by the operator.
    Evacuation(DataCentreId),
    /// Maintenance wave, ordered by the operator.
    WaveOrder(u64),
    /// Status of a wave, shown to the operator.
    WaveStatus(u64),
    /// Report of a minion.
    Minion(MinionId),
    /// Record that pollenfall itself writes.
    Own(OwnKey),
    /// Key that belongs to another program or cannot be decoded.
    Foreign(Box<str>),
}

/// Set of keys that a range or a watch covers.
#[derive(Debug, Clone, PartialEq, Eq)]
pub enum KeyScope {
    /// Records that every daemon follows.
    Shared,
    /// Reports of all minions.
    Minions,
    /// Specifications of a pool's jobs.
    Jobs(PoolId),
    /// Progress of a pool's jobs.
    Progress(PoolId),
    /// Save sequences of a pool.
    SaveSequences(PoolId),
}
