//! Changes of the limit and the jobs of a team.

use state::{DaemonRef, JobId, JobRecord, JobState, Revision, TeamDoc, VmId};

use super::slot::remove_holders;
use crate::timing::JOB_RETENTION;

/// Maximum number of jobs in the document of a team, which bounds the size of the
/// document.
const MAX_JOBS: usize = 2_000;
/// Number of failed attempts after which a job fails.
const MAX_FAILURES: u32 = 3;

/// Change of the document of a team.
#[derive(Debug, Clone)]
pub enum TeamMutation {
    /// Sets the limit of the team, unless a newer configuration has set it.
    SetLimit {
        /// Limit of the team in the configuration.
        limit: u32,
        /// Revision of the configuration.
        revision: Revision,
    },
    /// Sets the allocation of one daemon within the limit.
    SetAllocation {
        /// Daemon that holds the allocation.
        holder: DaemonRef,
        /// Requested allocation.
        requested: u32,
    },
    /// Transfers unused quota from one daemon to another.
    TransferAllocation {
        /// Daemon that gives up quota.
        from: DaemonRef,
        /// Daemon that receives the quota.
        to: DaemonRef,
        /// Allocation that the giving daemon retains.
        retained: u32,
    },
    /// Removes all allocations of daemon incarnations that have certainly ended.
    RemoveHolders {
        /// Daemon incarnations that have ended.
        holders: Vec<DaemonRef>,
    },
    /// Adds a job, unless the document has a job of that id.
    Add {
        /// Id of the job.
        job: JobId,
        /// Record of the job.
        record: Box<JobRecord>,
    },
    /// Places a queued job on a worker, which begins an attempt.
    Place {
        /// Id of the job.
        job: JobId,
        /// Number of the attempt.
        attempt: u32,
        /// VM of the worker.
        worker: VmId,
        /// Boot count of the worker.
        boot: u64,
    },
    /// Ends an attempt at a placed job.
    End {
        /// Id of the job.
        job: JobId,
        /// Number of the attempt.
        attempt: u32,
        /// Outcome of the attempt.
        end: AttemptEnd,
        /// Wall-clock time of the end in milliseconds since 1970.
        wall_ms: u64,
    },
    /// Ends a queued job that is larger than every worker of its pool.
    GiveUp {
        /// Id of the job.
        job: JobId,
        /// Reason for which the job cannot run, stored in its record.
        reason: Box<str>,
        /// Wall-clock time of the end in milliseconds since 1970.
        wall_ms: u64,
    },
    /// Cancels a job; a placed job ends with its attempt.
    Cancel {
        /// Id of the job.
        job: JobId,
        /// Wall-clock time of the cancellation in milliseconds since 1970.
        wall_ms: u64,
    },
}

impl TeamMutation {
    /// Job that is changed; `None` for a change of the limit or its allocations.
    pub fn job(&self) -> Option<&JobId> {
        match self {
            Self::Add { job, .. }
            | Self::Place { job, .. }
            | Self::End { job, .. }
            | Self::GiveUp { job, .. }
            | Self::Cancel { job, .. } => Some(job),
            _ => None,
        }
    }
}

/// Outcome of an attempt at a job.
#[derive(Debug, Clone, PartialEq, Eq)]
pub enum AttemptEnd {
    /// The task succeeded.
    Done,
    /// The task failed for this reason.
    Failed(Box<str>),
    /// The task was stopped or its worker was lost, which does not count as a
    /// failure.
    Lost,
}

/// Result of a change.
#[derive(Debug, Clone, PartialEq, Eq)]
pub enum TeamResult {
    /// The document contains the change.
    Applied,
    /// The document has the maximum number of jobs, or the limit of the team has no
    /// free capacity for the placement.
    NoCapacity,
    /// The document has a job of that id with another specification.
    Clash,
    /// The document has no such job, or the state of the job does not allow the
    /// change.
    NotApplicable,
}

/// Applies one change.
pub fn apply(doc: &mut TeamDoc, mutation: &TeamMutation) -> TeamResult {
    match mutation {
        TeamMutation::SetLimit { limit, revision } => set_limit(doc, *limit, *revision),
        TeamMutation::SetAllocation { holder, requested } => {
            let placed = doc.placed_jobs();
            doc.allocations.set_allocation(holder, *requested, placed);
            TeamResult::Applied
        }
        TeamMutation::TransferAllocation { from, to, retained } => {
            doc.allocations.transfer(from, to, *retained);
            TeamResult::Applied
        }
        TeamMutation::RemoveHolders { holders } => {
            remove_holders(&mut doc.allocations, holders);
            TeamResult::Applied
        }
        TeamMutation::Add { job, record } => add_job(doc, job, record),
        TeamMutation::Place { job, attempt, worker, boot } => {
            place_job(doc, job, *attempt, worker, *boot)
        }
        TeamMutation::End { job, attempt, end, wall_ms } => {
            end_attempt(doc, job, *attempt, end, *wall_ms)
        }
        TeamMutation::GiveUp { job, reason, wall_ms } => give_up_job(doc, job, reason, *wall_ms),
        TeamMutation::Cancel { job, wall_ms } => cancel_job(doc, job, *wall_ms),
    }
}

fn set_limit(doc: &mut TeamDoc, limit: u32, revision: Revision) -> TeamResult {
    if revision > doc.limit_revision {
        doc.limit_revision = revision;
        doc.allocations.capacity = limit;
    }
    TeamResult::Applied
}

fn add_job(doc: &mut TeamDoc, job: &JobId, record: &JobRecord) -> TeamResult {
    if let Some(existing) = doc.jobs.get(job) {
        let has_same_spec = existing.spec == record.spec;
        return if has_same_spec { TeamResult::Applied } else { TeamResult::Clash };
    }
    let retained_since = record.submitted_ms.saturating_sub(JOB_RETENTION.0);
    doc.jobs
        .retain(|_, existing| !existing.state.is_final() || existing.ended_ms >= retained_since);
    if doc.jobs.len() >= MAX_JOBS {
        return TeamResult::NoCapacity;
    }
    doc.jobs.insert(job.clone(), record.clone());
    TeamResult::Applied
}

fn place_job(doc: &mut TeamDoc, job: &JobId, attempt: u32, worker: &VmId, boot: u64) -> TeamResult {
    let placed = JobState::Placed { worker: worker.clone(), boot };
    let has_capacity = doc.has_free_capacity();
    let Some(record) = doc.jobs.get_mut(job) else { return TeamResult::NotApplicable };
    if record.attempt == attempt && record.state == placed {
        return TeamResult::Applied;
    }
    if record.state != JobState::Queued || record.attempt + 1 != attempt {
        return TeamResult::NotApplicable;
    }
    if !has_capacity {
        return TeamResult::NoCapacity;
    }
    record.attempt = attempt;
    record.state = placed;
    TeamResult::Applied
}

fn end_attempt(
    doc: &mut TeamDoc,
    job: &JobId,
    attempt: u32,
    end: &AttemptEnd,
    wall_ms: u64,
) -> TeamResult {
    let Some(record) = doc.jobs.get_mut(job) else { return TeamResult::NotApplicable };
    if record.attempt != attempt || !matches!(record.state, JobState::Placed { .. }) {
        return TeamResult::NotApplicable;
    }
    record.state = match end {
        AttemptEnd::Done => JobState::Done,
        AttemptEnd::Failed(reason) => {
            record.failures += 1;
            let is_final_failure = record.failures >= MAX_FAILURES;
            if is_final_failure {
                JobState::Failed { reason: reason.clone() }
            } else {
                JobState::Queued
            }
        }
        AttemptEnd::Lost => JobState::Queued,
    };
    if record.cancel && record.state == JobState::Queued {
        record.state = JobState::Cancelled;
    }
    if record.state.is_final() {
        record.ended_ms = wall_ms;
    }
    TeamResult::Applied
}

fn give_up_job(doc: &mut TeamDoc, job: &JobId, reason: &str, wall_ms: u64) -> TeamResult {
    match doc.jobs.get_mut(job) {
        Some(record) if record.state == JobState::Queued => {
            record.state = JobState::Impossible { reason: reason.into() };
            record.ended_ms = wall_ms;
            TeamResult::Applied
        }
        _ => TeamResult::NotApplicable,
    }
}

fn cancel_job(doc: &mut TeamDoc, job: &JobId, wall_ms: u64) -> TeamResult {
    let Some(record) = doc.jobs.get_mut(job) else { return TeamResult::NotApplicable };
    record.cancel = true;
    if record.state == JobState::Queued {
        record.state = JobState::Cancelled;
        record.ended_ms = wall_ms;
    }
    TeamResult::Applied
}
