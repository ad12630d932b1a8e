//! Finished runs that a minion lists: the progress of their jobs and the steps that follow.
//!
//! Runs are numbered by their minion as they finish. Runs with a number above the last
//! processed one update the progress of their jobs.

use jobs::{JobPhase, TaskMark, TaskName};
use state::MinionId;

use super::job::position_of;
use super::unsaved::UnsavedEnd;
use super::{PoolOwner, StepContext};
use crate::io::{EndKind, EndedRow};

impl PoolOwner {
    /// Applies one finished run. Failures with a number up to `last_lapse_end` do not
    /// count.
    pub(super) fn apply_finished_run(
        &mut self,
        context: &mut StepContext,
        id: &MinionId,
        row: EndedRow,
        last_lapse_end: u64,
    ) {
        let Some(minion) = self.minions.get_mut(id) else { return };
        if row.number <= minion.processed_end {
            return;
        }
        minion.processed_end = row.number;
        minion.unsaved_ends.push(UnsavedEnd {
            number: row.number,
            job: row.task.job.clone(),
            count: self.save.count_end(),
            processed_at: context.clock.now,
        });
        let EndedRow { number, task, run, kind, checkpoint } = row;
        context.out.log(
            "end",
            &task,
            format!("run {run} on {id}, end {number}"),
            format!("{kind:?}"),
        );
        self.measure_run(context, id, &task, run, kind);
        self.note_run_end(context, id, &task, run, kind);
        self.release_run(id, &task, run);
        self.note_started(context.clock.now, &task.job);
        let Some(job) = self.jobs.get_mut(&task.job) else { return };
        let position = position_of(&task);
        if let Some(checkpoint) = checkpoint {
            job.checkpoints.insert(position, checkpoint);
        }
        match kind {
            EndKind::Done => self.complete_task(context, &task),
            EndKind::Failed if number > last_lapse_end => self.record_failure(id, &task, number),
            EndKind::Failed
            | EndKind::Stopped
            | EndKind::Lapsed
            | EndKind::Broken
            | EndKind::Alone => {}
        }
    }

    /// Marks a task done, or all tasks of its gang, and opens the steps that wait for it.
    pub(super) fn complete_task(&mut self, context: &mut StepContext, task: &TaskName) {
        let Some(job) = self.jobs.get_mut(&task.job) else { return };
        let (occurrence, step, index) = position_of(task);
        let Some(spec) = job.spec.steps.get(usize::from(step)) else { return };
        if spec.long_running || job.phase.is_final() {
            return;
        }
        // A gang is done when one of its members is done.
        let members = if spec.gang { 0..spec.tasks } else { index..index + 1 };
        // The task may have another run, which was started after the first run's minion had
        // been unresponsive for too long.
        let other_run = job.live.get(&(occurrence, step, index)).cloned();
        for member in members {
            job.progress.set_mark(occurrence, step, member, TaskMark::Done);
            job.remove_ready((occurrence, step, member));
            job.checkpoints.remove(&(occurrence, step, member));
        }
        job.is_progress_dirty = true;
        if let Some(live) = other_run {
            self.stop_run(context, &live.minion, task, live.run);
        }
        let Some(job) = self.jobs.get_mut(&task.job) else { return };
        if job.progress.is_complete(&job.spec) {
            job.phase = JobPhase::Complete;
            job.is_phase_dirty = true;
            let job = task.job.clone();
            self.stop_job(context, &job);
        } else if job.progress.is_step_done(&job.spec, occurrence, step) {
            job.advance_occurrence(occurrence, context.clock.wall_ms);
        }
    }
}
