//! Keys of the store.
//!
//! Records that every daemon follows have keys that begin with `o`, as the
//! operator's have: one watch then brings both.

use std::fmt;
use std::str::FromStr;

use state::{DataCentreId, JobId, MinionId, PoolId};

/// Work that one daemon at a time does.
#[derive(Debug, Clone, PartialEq, Eq, PartialOrd, Ord, Hash)]
pub enum ShardKey {
    /// Gives orders for VMs: moves and upkeep.
    VmController,
    /// Gives orders to a pool's minions.
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

/// A key that pollenfall itself writes.
#[derive(Debug, Clone, PartialEq, Eq, PartialOrd, Ord, Hash)]
pub enum OwnKey {
    /// Who has a duty; lives as long as the owner's lease.
    Owner(ShardKey),
    /// What submitters are told of a job.
    Outcome(PoolId, JobId),
    /// The teams' limits, split among pools.
    Parts,
    /// The VMs that a pool wants, and those that it can spare.
    Need(PoolId),
    /// How far a wave has come.
    Wave(u64),
    /// A job's specification.
    Job(PoolId, JobId),
    /// A job's ends.
    Progress(PoolId, JobId),
    /// The minions on which a pool's tasks may run.
    Roster(PoolId),
}

impl fmt::Display for OwnKey {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        match self {
            Self::Owner(duty) => write!(f, "owner/{duty}"),
            Self::Outcome(pool, job) => write!(f, "outcome/{pool}/{job}"),
            Self::Parts => write!(f, "oparts"),
            Self::Need(pool) => write!(f, "oneed/{pool}"),
            Self::Wave(wave) => write!(f, "owave/{wave}"),
            Self::Job(pool, job) => write!(f, "job/{pool}/{job}"),
            Self::Progress(pool, job) => write!(f, "progress/{pool}/{job}"),
            Self::Roster(pool) => write!(f, "roster/{pool}"),
        }
    }
}

impl FromStr for OwnKey {
    type Err = ();

    fn from_str(text: &str) -> Result<Self, ()> {
        let parts: Vec<&str> = text.split('/').collect();
        let parse = || match parts.as_slice() {
            ["owner", "mover"] => Some(Self::Owner(ShardKey::VmController)),
            ["owner", "pool", pool] => Some(Self::Owner(ShardKey::Pool(pool.parse().ok()?))),
            ["outcome", pool, job] => Some(Self::Outcome(pool.parse().ok()?, job.parse().ok()?)),
            ["oparts"] => Some(Self::Parts),
            ["oneed", pool] => Some(Self::Need(pool.parse().ok()?)),
            ["owave", wave] => Some(Self::Wave(wave.parse().ok()?)),
            ["job", pool, job] => Some(Self::Job(pool.parse().ok()?, job.parse().ok()?)),
            ["progress", pool, job] => Some(Self::Progress(pool.parse().ok()?, job.parse().ok()?)),
            ["roster", pool] => Some(Self::Roster(pool.parse().ok()?)),
            _ => None,
        };
        parse().ok_or(())
    }
}

/// Any key of the store, decoded.
#[derive(Debug, Clone, PartialEq, Eq, PartialOrd, Ord, Hash)]
pub enum StoreKey {
    /// The operator's configuration.
    Config,
    /// The operator has taken a data centre out.
    Evacuation(DataCentreId),
    /// The operator's request for upkeep.
    WaveOrder(u64),
    /// What the operator is told of a wave.
    WaveStatus(u64),
    /// A minion's report.
    Minion(MinionId),
    /// One of pollenfall's own.
    Own(OwnKey),
    /// Somebody else's, or one that cannot be read.
    Foreign(Box<str>),
}

/// What a range or a watch covers.
#[derive(Debug, Clone, PartialEq, Eq)]
pub enum KeyScope {
    /// What every daemon follows.
    Shared,
    /// Reports of all minions.
    Minions,
    /// A pool's jobs.
    Jobs(PoolId),
    /// The ends of a pool's jobs.
    Progress(PoolId),
}
