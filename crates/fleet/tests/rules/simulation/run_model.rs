//! Run times that follow from the estimate of a step and from the racks that its tasks run on.

use std::collections::BTreeSet;

use super::*;

/// Run times of tasks, and the ends that follow from them.
#[derive(Debug, Clone)]
pub struct RunModel {
    /// Run time away from a task's data or of a gang in several racks, in percent of the run time
    /// near it.
    pub remote_percent: u64,
    /// Real run times in percent of the estimate, one task after the other.
    pub error_percents: Vec<u64>,
    /// Virtual time, in milliseconds, at which the last run of each task ends.
    pub ends: BTreeMap<TaskName, u64>,
    /// Number of runs that began away from their data or their group.
    pub away_runs: u64,
    /// Number of runs that began.
    pub runs: u64,
}

impl RunModel {
    pub fn new(remote_percent: u64, error_percents: Vec<u64>) -> Self {
        let ends = BTreeMap::new();
        Self { remote_percent, error_percents, ends, away_runs: 0, runs: 0 }
    }
}

impl Simulation {
    /// Returns the run time, in milliseconds, of a start that arrives at a minion.
    pub(super) fn model_run_time(&mut self, minion: &MinionId, order: &MinionCall) -> Option<u64> {
        let MinionCall::Start { task, .. } = order else { return None };
        self.run_model.as_ref()?;
        let step = self.find_step(task)?;
        let is_away = match &step.data_rack {
            Some(rack) => self.rack_of(minion) != Some(rack.clone()),
            None => step.one_rack && self.racks_of_step(task).len() > 1,
        };
        let now = self.now;
        let model = self.run_model.as_mut()?;
        let job_number = u64::from_str_radix(task.job.as_str(), 16).unwrap_or(0);
        let number = (job_number * 7 + u64::from(task.index)) as usize;
        let error = model.error_percents[number % model.error_percents.len()];
        let remote = if is_away { model.remote_percent } else { 100 };
        let run_ms = step.estimate.0 * error / 100 * remote / 100;
        model.runs += 1;
        model.away_runs += u64::from(is_away);
        model.ends.insert(task.clone(), now + run_ms);
        Some(run_ms)
    }

    fn rack_of(&self, minion: &MinionId) -> Option<Box<str>> {
        self.minions.get(minion)?.report.labels.get(1).cloned()
    }

    /// Lists the racks to which the tasks of a task's step were last sent.
    fn racks_of_step(&self, task: &TaskName) -> BTreeSet<Box<str>> {
        let mut minions: BTreeMap<&str, MinionId> = BTreeMap::new();
        let prefix = format!("{}.{}.{}.", task.job, task.occurrence, task.step);
        for (_, line) in &self.order_decisions {
            if line.decision == "start"
                && line.id.starts_with(&prefix)
                && let Ok(minion) = line.outcome.parse()
            {
                minions.insert(&line.id, minion);
            }
        }
        minions.values().filter_map(|minion| self.rack_of(minion)).collect()
    }
}
