//! The rules, over what submitters, minions, operator and cloud saw. It knows
//! nothing of how the daemons decide.

use std::collections::{BTreeMap, BTreeSet};

use fleet::io::EndKind;
use fleet::model::{FleetConfig, MinionReport};
use jobs::{JobPhase, JobSpec, Resources, RunNumber, TaskName};
use state::{DataCentreId, JobId, MinionId, PoolId, TeamId};

/// A broken rule.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct Breach {
    pub at: u64,
    pub rule: &'static str,
    pub what: String,
}

#[derive(Debug, Clone)]
struct SeenRun {
    minion: MinionId,
    born: u64,
    number: RunNumber,
}

/// What is known of a job from its submitter.
#[derive(Debug, Clone)]
pub struct SeenJob {
    pub team: TeamId,
    pub spec: JobSpec,
    pub pool: PoolId,
    pub attempts: u32,
    pub is_accepted: bool,
    pub is_rejected_only: bool,
    /// Nobody may be shown a cancelled job before.
    pub is_cancel_sent: bool,
    pub cancel_acked: Option<u64>,
    pub phase: Option<JobPhase>,
}

/// Milliseconds that a bound is allowed on top of the rule, for the steps of the
/// runs' clock.
const CANCEL_BOUND: u64 = 3_000;
const EVACUATE_BOUND: u64 = 5_000;
const DRAIN_BOUND: u64 = 2_000;

#[derive(Debug, Default)]
pub struct RuleChecker {
    pub jobs: BTreeMap<JobId, SeenJob>,
    pub breaches: Vec<Breach>,
    pub starts: u64,
    live: BTreeMap<TaskName, Vec<SeenRun>>,
    done: BTreeSet<TaskName>,
    /// Done or failed ends that are not noted yet, by minion and life.
    unnoted: BTreeMap<(MinionId, u64), BTreeMap<u64, (TaskName, EndKind)>>,
    noted_done: BTreeSet<TaskName>,
    noted_failed: BTreeMap<TaskName, u32>,
    /// Failed ends that a lapse voided of which no owner could know.
    silent_failed: BTreeMap<TaskName, u32>,
    pub out_since: BTreeMap<DataCentreId, u64>,
    pub draining_since: BTreeMap<MinionId, u64>,
}

impl RuleChecker {
    fn breach(&mut self, at: u64, rule: &'static str, what: String) {
        self.breaches.push(Breach { at, rule, what });
    }

    pub fn started(
        &mut self,
        now: u64,
        config: &FleetConfig,
        report: &MinionReport,
        task: &TaskName,
        number: RunNumber,
        is_late: bool,
    ) {
        self.starts += 1;
        let Some(job) = self.jobs.get(&task.job).cloned() else {
            return self.breach(now, "UNASKED", format!("{task} was never handed in"));
        };
        let step = &job.spec.steps[usize::from(task.step)];
        let is_running = self.live.get(task).is_some_and(|live| !live.is_empty());
        if is_running && !step.speculative {
            self.breach(now, "TWICE", format!("{task} run {number} beside {:?}", self.live[task]));
        }
        if self.noted_done.contains(task) {
            self.breach(now, "TWICE", format!("{task} run {number} after it was done"));
        }
        let failed = self.noted_failed.get(task).copied().unwrap_or(0);
        if failed >= job.attempts && !step.long_running {
            self.breach(now, "BUDGET", format!("{task} after {failed} failed runs"));
        }
        for after in &step.after {
            let count = job.spec.steps[usize::from(*after)].tasks;
            let is_done =
                |index: u32| self.done.contains(&TaskName { step: *after, index, ..task.clone() });
            if !(0..count).all(is_done) {
                self.breach(now, "ORDER", format!("{task} before step {after} was done"));
            }
        }
        if job.pool != report.pool {
            self.breach(now, "ROUTE", format!("{task} on a minion of {}", report.pool));
        }
        if let Some(most) = step.max_per_minion {
            let beside = self.beside(task, &report.minion);
            if beside >= most {
                self.breach(now, "ROUTE", format!("{task} beside {beside} of its step"));
            }
        }
        if let Some(acked) = job.cancel_acked.filter(|_| !is_late)
            && now > acked + CANCEL_BOUND
        {
            self.breach(now, "UNASKED", format!("{task} cancelled {} ms before", now - acked));
        }
        if let Some(since) = self.out_since.get(&report.data_centre).filter(|_| !is_late)
            && now > since + EVACUATE_BOUND
        {
            self.breach(now, "EVAC", format!("{task} in {}", report.data_centre));
        }
        if let Some(since) = self.draining_since.get(&report.minion).filter(|_| !is_late)
            && now > since + DRAIN_BOUND
        {
            self.breach(now, "DRAIN", format!("{task} on {}", report.minion));
        }
        let run =
            SeenRun { minion: report.minion.clone(), born: report.minion_incarnation, number };
        self.live.entry(task.clone()).or_default().push(run);
        self.check_limit(now, config, &job.team, task, &step.demand);
    }

    fn beside(&self, task: &TaskName, minion: &MinionId) -> u32 {
        let is_of_step = |other: &TaskName| {
            other.job == task.job
                && other.occurrence == task.occurrence
                && other.step == task.step
                && other != task
        };
        let live = self.live.iter().filter(|(other, _)| is_of_step(other));
        live.flat_map(|(_, runs)| runs).filter(|run| run.minion == *minion).count() as u32
    }

    fn check_limit(
        &mut self,
        now: u64,
        config: &FleetConfig,
        team: &TeamId,
        task: &TaskName,
        needs: &Resources,
    ) {
        let Some(limit) = config.limit_of(team) else { return };
        let mut used = Resources::default();
        for (other, runs) in &self.live {
            let Some(job) = self.jobs.get(&other.job) else { continue };
            if job.team == *team {
                let of = job.spec.steps[usize::from(other.step)].demand;
                for _ in runs {
                    used = used.saturating_add(&of);
                }
            }
        }
        let bound = limit.processor.0 + limit.processor.0 / 10 + needs.processor.0;
        if used.processor.0 > bound {
            let what = format!("{team}: {} with {task}, limit {}", used.processor, limit.processor);
            self.breach(now, "QUOTA", what);
        }
    }

    pub fn ended(
        &mut self,
        minion: &MinionId,
        born: u64,
        task: &TaskName,
        run: RunNumber,
        kind: EndKind,
        number: u64,
    ) {
        if let Some(live) = self.live.get_mut(task) {
            live.retain(|known| known.minion != *minion || known.number != run);
        }
        if kind == EndKind::Done {
            self.done.insert(task.clone());
        }
        let ends = self.unnoted.entry((minion.clone(), born)).or_default();
        ends.insert(number, (task.clone(), kind));
    }

    /// An owner has noted ends up to a number.
    pub fn noted(&mut self, now: u64, minion: &MinionId, born: u64, upto: u64) {
        let Some(ends) = self.unnoted.get_mut(&(minion.clone(), born)) else { return };
        let later = ends.split_off(&(upto + 1));
        let noted = std::mem::replace(ends, later);
        for (task, kind) in noted.into_values() {
            match kind {
                EndKind::Done => {
                    let runs = self.live.get(&task).map_or(0, Vec::len);
                    if runs > 0 && !self.is_speculative(&task) {
                        self.breach(now, "TWICE", format!("{task} runs though its end is noted"));
                    }
                    self.noted_done.insert(task);
                }
                EndKind::Failed => *self.noted_failed.entry(task).or_default() += 1,
                _ => {}
            }
        }
    }

    fn is_speculative(&self, task: &TaskName) -> bool {
        let job = self.jobs.get(&task.job);
        job.is_some_and(|job| job.spec.steps[usize::from(task.step)].speculative)
    }

    /// A minion's lease has lapsed: its ends that are not noted never count as that.
    /// Failures before a silent lapse still are a cause to give a job up.
    pub fn lapsed(&mut self, minion: &MinionId, born: u64, is_silent: bool) {
        let ends = self.unnoted.remove(&(minion.clone(), born)).unwrap_or_default();
        let is_failed = |end: &(TaskName, EndKind)| is_silent && end.1 == EndKind::Failed;
        for (task, _) in ends.into_values().filter(is_failed) {
            *self.silent_failed.entry(task).or_default() += 1;
        }
    }

    /// A minion's life is over.
    pub fn life_over(&mut self, minion: &MinionId, born: u64) {
        for live in self.live.values_mut() {
            live.retain(|run| run.minion != *minion || run.born != born);
        }
    }

    /// A submitter was shown a job's phase.
    pub fn shown(&mut self, now: u64, job: &JobId, phase: JobPhase) {
        let Some(seen) = self.jobs.get_mut(job) else {
            return self.breach(now, "MIXED", format!("{job} is shown and was never handed in"));
        };
        seen.phase = Some(phase);
        let seen = seen.clone();
        if phase == JobPhase::Complete && !self.is_all_done(job, &seen.spec) {
            self.breach(now, "MIXED", format!("{job} is shown as complete and is not"));
        }
        if phase == JobPhase::Cancelled && !seen.is_cancel_sent {
            self.breach(now, "LOST", format!("{job} is shown as cancelled and was not"));
        }
        let failures = |task: &TaskName| {
            let of = |ends: &BTreeMap<TaskName, u32>| ends.get(task).copied().unwrap_or(0);
            of(&self.noted_failed) + of(&self.silent_failed)
        };
        let has_failed = || {
            let tasks = self.noted_failed.keys().chain(self.silent_failed.keys());
            tasks.into_iter().any(|task| task.job == *job && failures(task) >= seen.attempts)
        };
        if phase == JobPhase::Failed && !has_failed() {
            self.breach(now, "LOST", format!("{job} is shown as failed without cause"));
        }
    }

    fn is_all_done(&self, job: &JobId, spec: &JobSpec) -> bool {
        spec.steps.iter().enumerate().all(|(step, of)| {
            (0..of.tasks).all(|index| {
                let task = TaskName { job: job.clone(), occurrence: 0, step: step as u16, index };
                self.done.contains(&task)
            })
        })
    }

    /// A submitter was told that an accepted job does not exist.
    pub fn missing(&mut self, now: u64, job: &JobId) {
        if self.jobs.get(job).is_some_and(|job| job.is_accepted && job.cancel_acked.is_none()) {
            self.breach(now, "LOST", format!("{job} is not known any more"));
        }
    }

    /// After a long calm: what could be done is done, and nothing else runs.
    pub fn at_end(&mut self, now: u64) {
        let jobs: Vec<(JobId, SeenJob)> =
            self.jobs.iter().map(|(name, job)| (name.clone(), job.clone())).collect();
        for (name, job) in jobs {
            let started = self.done.iter().any(|task| task.job == name)
                || self.live.iter().any(|(task, runs)| task.job == name && !runs.is_empty());
            if job.is_rejected_only && started {
                self.breach(now, "REFUSED", format!("{name} was refused and has started"));
            }
            let is_owed = job.is_accepted
                && job.cancel_acked.is_none()
                && !job.spec.is_long_running()
                && !matches!(job.phase, Some(JobPhase::Complete | JobPhase::Failed));
            if is_owed {
                self.breach(now, "LOST", format!("{name} is {:?} at the end", job.phase));
            }
            let running = self.live.iter().filter(|(task, _)| task.job == name);
            let running = running.map(|(_, runs)| runs.len()).sum::<usize>();
            if job.cancel_acked.is_some() && running > 0 {
                self.breach(now, "UNASKED", format!("{name} is cancelled and runs"));
            }
            let is_lasting =
                job.is_accepted && job.spec.is_long_running() && job.cancel_acked.is_none();
            let tasks: u32 = job.spec.steps.iter().map(|step| step.tasks).sum();
            if is_lasting && running != tasks as usize {
                self.breach(now, "LOST", format!("{running} of {tasks} tasks of {name} run"));
            }
        }
    }
}
