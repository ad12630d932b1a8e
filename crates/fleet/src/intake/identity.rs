//! Identity of a job: which job a request addresses, and whether a submission is a copy.
//!
//! The outcome of a job stands under the job's name alone and names the queue and the pool that
//! accepted it. A job is therefore found, and a copy of its submission recognised, whatever queue
//! its path leads to in later configurations.

use jobs::JobOutcome;
use state::{JobId, QueueId};

use super::OpenRequest;
use crate::event::{ClientAnswer, ClientTarget};
use crate::io::{ItemValue, StoreItem};
use crate::outbox::Outbox;
use crate::records::decode;
use crate::shared::SharedRecords;

/// Returns the queue that a request names; `None` if a path addresses the job.
pub(super) fn named_queue(target: &ClientTarget) -> Option<QueueId> {
    match target {
        ClientTarget::Queue { queue, .. } => Some(queue.clone()),
        ClientTarget::Route { .. } => None,
    }
}

/// Returns the job's queue if a request names another one and the job's queue is still configured.
/// A path addresses a job whatever queue it leads to, since submitters know nothing else of it.
pub(super) fn other_queue<'a>(
    shared: &SharedRecords,
    named_queue: Option<&QueueId>,
    outcome: &'a JobOutcome,
) -> Option<&'a QueueId> {
    let is_configured = |queue: &QueueId| {
        shared.config.as_ref().is_some_and(|config| config.queue(queue).is_some())
    };
    let is_other = named_queue.is_some_and(|queue| *queue != outcome.queue);
    Some(&outcome.queue).filter(|queue| is_other && is_configured(queue))
}

/// Returns the answer to a request for a job that belongs to a queue other than the named one.
pub(super) fn foreign_job_answer(is_submission: bool, queue: &QueueId) -> ClientAnswer {
    if is_submission {
        let reason = format!("a job of queue {queue} has this name");
        ClientAnswer::Malformed(reason.into())
    } else {
        ClientAnswer::NoJob
    }
}

/// Returns the answer to a submission whose job the store has already, as `item` shows.
pub(super) fn duplicate_answer(
    out: &mut Outbox,
    shared: &SharedRecords,
    request: &OpenRequest,
    item: &StoreItem,
) -> ClientAnswer {
    let ItemValue::Own(bytes) = &item.value else { return ClientAnswer::Unknown };
    let outcome: JobOutcome = match decode(bytes) {
        Ok(outcome) => outcome,
        Err(reason) => {
            out.log("record", format!("{:?}", item.key), reason, "skipped");
            return ClientAnswer::Unknown;
        }
    };
    if let Some(other) = other_queue(shared, request.named_queue.as_ref(), &outcome) {
        return foreign_job_answer(true, other);
    }
    log_duplicate(out, &request.job, &outcome);
    ClientAnswer::Accepted
}

/// Logs that a submission is a copy of one that was accepted, and by what queue and for what pool.
pub(super) fn log_duplicate(out: &mut Outbox, job: &JobId, outcome: &JobOutcome) {
    let inputs = format!("accepted by queue {} for pool {}", outcome.queue, outcome.pool);
    out.log("submission", job, inputs, "duplicate");
}
