//! Throttles best-effort tasks while a serving task on the same minion is near or over its
//! target for the tail latency.
//!
//! The new processor share depends on the worst serving task: 0 at or over the target, half
//! of the present share from `HALVING_THRESHOLD_PERCENT` on, unchanged above
//! `RECOVERY_THRESHOLD_PERCENT`, and otherwise one step higher. Only long-running steps take
//! part, as serving tasks and as best-effort tasks.

use jobs::{RunNumber, TaskName};
use state::MinionId;

use super::job::position_of;
use super::minion::RunPhase;
use super::orders::minion_target;
use super::{PoolCall, PoolOwner, StepContext};
use crate::io::{MinionAnswer, MinionCall};

/// Tail latency from which the processor share is halved, in percent of the target.
const HALVING_THRESHOLD_PERCENT: u64 = 85;
/// Tail latency up to which the processor share is raised, in percent of the target.
const RECOVERY_THRESHOLD_PERCENT: u64 = 60;
/// Step by which the processor share is raised, in percent of the processor time.
const SHARE_INCREASE_PERCENT: u8 = 10;

impl PoolOwner {
    /// Adjusts the processor share of a minion's best-effort runs to the reported tail
    /// latencies.
    pub(super) fn throttle_best_effort(&mut self, context: &mut StepContext, id: &MinionId) {
        if !context.is_ownership_valid {
            return;
        }
        let Some(minion) = self.minions.get(id) else { return };
        let mut worst_percent = None;
        let mut best_effort_runs: Vec<(TaskName, RunNumber, u8)> = Vec::new();
        for ((task, number), run) in &minion.runs {
            let step = self.jobs.get(&task.job);
            let step = step.and_then(|job| job.spec.steps.get(usize::from(position_of(task).1)));
            let Some(step) = step.filter(|step| step.long_running) else { continue };
            if step.best_effort && run.phase == RunPhase::Running {
                best_effort_runs.push((task.clone(), *number, run.processor_share));
            }
            if let (Some(target), Some(tail_latency)) =
                (step.tail_latency_target, run.reported_metric)
            {
                worst_percent = worst_percent.max(Some(tail_latency * 100 / target.0.max(1)));
            }
        }
        for (task, run, processor_share) in best_effort_runs {
            let next = match worst_percent {
                Some(percent) if percent >= 100 => 0,
                Some(percent) if percent >= HALVING_THRESHOLD_PERCENT => processor_share / 2,
                Some(percent) if percent > RECOVERY_THRESHOLD_PERCENT => processor_share,
                _ => processor_share.saturating_add(SHARE_INCREASE_PERCENT).min(100),
            };
            if next != processor_share {
                self.set_processor_share(context, id, &task, run, next, worst_percent);
            }
        }
    }

    /// Sends a run's new processor share. `worst_percent` is the highest tail latency on the
    /// minion, in percent of its target.
    fn set_processor_share(
        &mut self,
        context: &mut StepContext,
        id: &MinionId,
        task: &TaskName,
        run: RunNumber,
        percent: u8,
        worst_percent: Option<u64>,
    ) {
        let Some(minion) = self.minions.get_mut(id) else { return };
        let Some(known) = minion.runs.get_mut(&(task.clone(), run)) else { return };
        let inputs = format!(
            "processor share {} %, worst tail latency {worst_percent:?} % of its target",
            known.processor_share
        );
        context.out.log("pace", task, inputs, format!("{percent} %"));
        known.processor_share = percent;
        let order = MinionCall::Throttle { task: task.clone(), run, percent };
        let target = minion_target(minion);
        let call = PoolCall::Throttle { minion: id.clone(), task: task.clone(), run, percent };
        let purpose = self.purpose(call);
        context.out.call_minion(context.clock, purpose, target, self.fencing_token.0, order);
    }

    /// Handles the answer to a throttle order. If the order may not have arrived, the
    /// recorded share is changed by one percentage point, so that the next adjustment sends
    /// an order again.
    pub(super) fn on_throttle_answered(
        &mut self,
        id: &MinionId,
        task: &TaskName,
        run: RunNumber,
        percent: u8,
        answer: &MinionAnswer,
    ) {
        let known =
            self.minions.get_mut(id).and_then(|minion| minion.runs.get_mut(&(task.clone(), run)));
        if let Some(known) = known
            && known.processor_share == percent
            && !matches!(answer, MinionAnswer::Ok { .. })
        {
            known.processor_share = if percent < 100 { percent + 1 } else { percent - 1 };
        }
    }
}
