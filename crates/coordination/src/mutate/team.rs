//! Changes of a team's limit and jobs.

use state::{DaemonRef, JobId, JobRecord, JobState, Revision, TeamDoc, VmId};

use super::slot::drop_holders;
use crate::timing::JOB_RETENTION;

/// Jobs that one team may have waiting and running; it bounds the document.
const MOST_JOBS: usize = 2_000;
/// Failures after which a job is given up.
const MOST_FAILURES: u32 = 3;

/// A change of a team's document.
#[derive(Debug, Clone)]
pub enum TeamMutation {
    /// Sets the limit from a configuration.
    SetLimit {
        /// The limit.
        limit: u32,
        /// The configuration's revision.
        revision: Revision,
    },
    /// Sets a daemon's part of the limit.
    SetPart {
        /// Whose part.
        holder: DaemonRef,
        /// The part to have.
        wanted: u32,
    },
    /// Moves a daemon's unused part of the limit to another daemon.
    MovePart {
        /// Who gives.
        from: DaemonRef,
        /// Who gets.
        to: DaemonRef,
        /// What the giver keeps.
        left: u32,
    },
    /// Frees all parts of runs that have ended for certain.
    DropHolders {
        /// The ended runs.
        holders: Vec<DaemonRef>,
    },
    /// Adds a job, unless one of that name is there.
    Add {
        /// Its name.
        job: JobId,
        /// Its record.
        record: Box<JobRecord>,
    },
    /// Gives a waiting job to a worker.
    Place {
        /// The job.
        job: JobId,
        /// The attempt that this begins.
        attempt: u32,
        /// The worker.
        worker: VmId,
        /// The worker's boot count.
        boot: u64,
    },
    /// Ends an attempt.
    End {
        /// The job.
        job: JobId,
        /// The attempt that ended.
        attempt: u32,
        /// How it ended.
        end: AttemptEnd,
        /// Wall-clock time in milliseconds.
        wall_ms: u64,
    },
    /// Gives a waiting job up.
    GiveUp {
        /// The job.
        job: JobId,
        /// Why.
        reason: Box<str>,
        /// Wall-clock time in milliseconds.
        wall_ms: u64,
    },
    /// Withdraws a job.
    Cancel {
        /// The job.
        job: JobId,
        /// Wall-clock time in milliseconds.
        wall_ms: u64,
    },
}

impl TeamMutation {
    /// The job that is changed, if any.
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

/// How an attempt at a job ended.
#[derive(Debug, Clone, PartialEq, Eq)]
pub enum AttemptEnd {
    /// The task ended well.
    Done,
    /// The task ended badly.
    Failed(Box<str>),
    /// The task was stopped, or its worker was lost; it counts as no failure.
    Lost,
}

/// What came of a change.
#[derive(Debug, Clone, PartialEq, Eq)]
pub enum TeamResult {
    /// The document has it.
    Applied,
    /// The document has no room for it.
    NoRoom,
    /// A job of that name with other content is there.
    Clash,
    /// The job is not there, or not in a state for this.
    NotApplicable,
}

/// Applies one change.
pub fn apply(doc: &mut TeamDoc, mutation: &TeamMutation) -> TeamResult {
    match mutation {
        TeamMutation::SetLimit { limit, revision } => set_limit(doc, *limit, *revision),
        TeamMutation::SetPart { holder, wanted } => {
            let placed = doc.placed();
            doc.allocations.set_allocation(holder, *wanted, placed);
            TeamResult::Applied
        }
        TeamMutation::MovePart { from, to, left } => {
            doc.allocations.transfer(from, to, *left);
            TeamResult::Applied
        }
        TeamMutation::DropHolders { holders } => {
            drop_holders(&mut doc.allocations, holders);
            TeamResult::Applied
        }
        TeamMutation::Add { job, record } => add(doc, job, record),
        TeamMutation::Place { job, attempt, worker, boot } => {
            place(doc, job, *attempt, worker, *boot)
        }
        TeamMutation::End { job, attempt, end, wall_ms } => {
            end_attempt(doc, job, *attempt, end, *wall_ms)
        }
        TeamMutation::GiveUp { job, reason, wall_ms } => give_up(doc, job, reason, *wall_ms),
        TeamMutation::Cancel { job, wall_ms } => cancel(doc, job, *wall_ms),
    }
}

fn set_limit(doc: &mut TeamDoc, limit: u32, revision: Revision) -> TeamResult {
    if revision > doc.limit_revision {
        doc.limit_revision = revision;
        doc.allocations.capacity = limit;
    }
    TeamResult::Applied
}

fn add(doc: &mut TeamDoc, job: &JobId, record: &JobRecord) -> TeamResult {
    if let Some(known) = doc.jobs.get(job) {
        let same = known.spec == record.spec;
        return if same { TeamResult::Applied } else { TeamResult::Clash };
    }
    let oldest = record.submitted_ms.saturating_sub(JOB_RETENTION.0);
    doc.jobs.retain(|_, known| !known.state.is_final() || known.ended_ms >= oldest);
    if doc.jobs.len() >= MOST_JOBS {
        return TeamResult::NoRoom;
    }
    doc.jobs.insert(job.clone(), record.clone());
    TeamResult::Applied
}

fn place(doc: &mut TeamDoc, job: &JobId, attempt: u32, worker: &VmId, boot: u64) -> TeamResult {
    let placed = JobState::Placed { worker: worker.clone(), boot };
    let has_room = doc.has_room();
    let Some(known) = doc.jobs.get_mut(job) else { return TeamResult::NotApplicable };
    if known.attempt == attempt && known.state == placed {
        return TeamResult::Applied;
    }
    if known.state != JobState::Queued || known.attempt + 1 != attempt {
        return TeamResult::NotApplicable;
    }
    if !has_room {
        return TeamResult::NoRoom;
    }
    known.attempt = attempt;
    known.state = placed;
    TeamResult::Applied
}

fn end_attempt(
    doc: &mut TeamDoc,
    job: &JobId,
    attempt: u32,
    end: &AttemptEnd,
    wall_ms: u64,
) -> TeamResult {
    let Some(known) = doc.jobs.get_mut(job) else { return TeamResult::NotApplicable };
    if known.attempt != attempt || !matches!(known.state, JobState::Placed { .. }) {
        return TeamResult::NotApplicable;
    }
    known.state = match end {
        AttemptEnd::Done => JobState::Done,
        AttemptEnd::Failed(reason) => {
            known.failures += 1;
            let given_up = known.failures >= MOST_FAILURES;
            if given_up { JobState::Failed { reason: reason.clone() } } else { JobState::Queued }
        }
        AttemptEnd::Lost => JobState::Queued,
    };
    if known.cancel && known.state == JobState::Queued {
        known.state = JobState::Cancelled;
    }
    if known.state.is_final() {
        known.ended_ms = wall_ms;
    }
    TeamResult::Applied
}

fn give_up(doc: &mut TeamDoc, job: &JobId, reason: &str, wall_ms: u64) -> TeamResult {
    match doc.jobs.get_mut(job) {
        Some(known) if known.state == JobState::Queued => {
            known.state = JobState::Impossible { reason: reason.into() };
            known.ended_ms = wall_ms;
            TeamResult::Applied
        }
        _ => TeamResult::NotApplicable,
    }
}

fn cancel(doc: &mut TeamDoc, job: &JobId, wall_ms: u64) -> TeamResult {
    let Some(known) = doc.jobs.get_mut(job) else { return TeamResult::NotApplicable };
    known.cancel = true;
    if known.state == JobState::Queued {
        known.state = JobState::Cancelled;
        known.ended_ms = wall_ms;
    }
    TeamResult::Applied
}
