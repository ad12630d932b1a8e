//! Slows fillers down while a serving task beside them is over its target.

use jobs::{RunNumber, TaskName};
use state::MinionId;

use super::job::place_of;
use super::minion::RunPhase;
use super::orders::target_of;
use super::{PoolCall, PoolOwner, StepContext};
use crate::io::{MinionAnswer, MinionCall};

/// From this part of its target on, in percent, a serving task is in danger.
const DANGER_PERCENT: u64 = 85;
/// Below this part of the target, in percent, fillers get more again.
const CALM_PERCENT: u64 = 60;
/// What fillers get more at a time, in percent of their processor time.
const PACE_STEP: u8 = 10;

impl PoolOwner {
    /// Looks at a minion's serving tasks after their figures have come.
    pub(super) fn pace_fillers(&mut self, context: &mut StepContext, id: &MinionId) {
        let Some(minion) = self.minions.get(id) else { return };
        let mut worst = None;
        let mut fillers: Vec<(TaskName, RunNumber, u8)> = Vec::new();
        for ((task, number), run) in &minion.runs {
            let step = self.jobs.get(&task.job);
            let step = step.and_then(|job| job.spec.steps.get(usize::from(place_of(task).1)));
            let Some(step) = step.filter(|step| step.long_running) else { continue };
            if step.best_effort && run.phase == RunPhase::Running {
                fillers.push((task.clone(), *number, run.pace));
            }
            if let (Some(target), Some(tail)) = (step.tail_latency_target, run.gauge) {
                worst = worst.max(Some(tail * 100 / target.0.max(1)));
            }
        }
        for (task, run, pace) in fillers {
            let next = match worst {
                Some(percent) if percent >= 100 => 0,
                Some(percent) if percent >= DANGER_PERCENT => pace / 2,
                Some(percent) if percent > CALM_PERCENT => pace,
                _ => pace.saturating_add(PACE_STEP).min(100),
            };
            if next != pace {
                self.set_pace(context, id, &task, run, next, worst);
            }
        }
    }

    fn set_pace(
        &mut self,
        context: &mut StepContext,
        id: &MinionId,
        task: &TaskName,
        run: RunNumber,
        percent: u8,
        worst: Option<u64>,
    ) {
        let Some(minion) = self.minions.get_mut(id) else { return };
        let Some(known) = minion.runs.get_mut(&(task.clone(), run)) else { return };
        let inputs = format!("pace {}, worst tail {worst:?} % of its target", known.pace);
        context.out.log("pace", task, inputs, format!("{percent} %"));
        known.pace = percent;
        let order = MinionCall::Throttle { task: task.clone(), run, percent };
        let target = target_of(minion);
        let call = PoolCall::Throttle { minion: id.clone(), task: task.clone(), run, percent };
        let purpose = self.purpose(call);
        context.out.minion(context.clock, purpose, target, self.fencing_token.0, order);
    }

    /// A pace that did not arrive for sure is given again at the next look.
    pub(super) fn on_paced(
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
            && known.pace == percent
            && !matches!(answer, MinionAnswer::Ok { .. })
        {
            known.pace = if percent < 100 { percent + 1 } else { percent - 1 };
        }
    }
}
