//! The model of a job: a graph of steps, each of many like tasks.
//!
//! A job is handed in as a [`JobSpec`] and kept as an [`AcceptedJob`]. Its steps form a graph without cycles: a
//! step refers to earlier steps only, so the order of the list is a topological
//! order and no search is needed to check it. The steps run once, or as often as
//! the [`Timetable`] says; each time is an occurrence.
//!
//! What must outlast every process is small and apart from what can be read back
//! from minions: the specification never changes, [`JobProgress`] holds one letter
//! a task, and [`JobOutcome`] is what submitters are told. What runs where is not
//! here: it belongs to the holder of the pool (`docs/PLATFORM.md`, "Truths").

mod outcome;
mod progress;
mod resources;
mod spec;
mod task;
mod text;

pub use outcome::{JobOutcome, JobPhase};
pub use progress::{JobProgress, TaskMark};
pub use resources::Resources;
pub use spec::{AcceptedJob, GraphFault, JobSpec, StepSpec, Timetable};
pub use task::{NameFault, RunNumber, TaskName};
pub use text::{JobTextFault, parse_job};
