//! Data model of a job: a graph of steps, each with many similar tasks.
//!
//! A submitter sends a [`JobSpec`], which the store keeps as an [`AcceptedJob`]. The steps form an
//! acyclic graph: a step depends on earlier steps only, so the order of the list is a topological
//! order and the check needs no graph search. The steps run once, or once for each occurrence
//! of the [`Timetable`].
//!
//! Only the state that must outlive every process is stored, and the stored state is small: the
//! specification never changes, [`JobProgress`] has one letter per task, and [`JobOutcome`] is the
//! status that submitters read. Which task runs on which minion is not part of this model: the
//! owner of the pool reads that state back from the minions (`docs/PLATFORM.md`, "Truths").

mod outcome;
mod parse;
mod progress;
mod resources;
mod spec;
mod task;

pub use outcome::{JobOutcome, JobPhase};
pub use parse::{ParseJobError, parse_job, parse_job_file};
pub use progress::{JobProgress, TaskMark};
pub use resources::Resources;
pub use spec::{AcceptedJob, JobGraphError, JobSpec, MAX_STEPS, QueueTerms, StepSpec, Timetable};
pub use task::{ParseTaskNameError, RunNumber, TaskName};
