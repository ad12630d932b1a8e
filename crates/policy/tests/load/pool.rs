//! Pool that serves a load in virtual time: each task takes its processor time until it ends.

use std::collections::{BTreeMap, BTreeSet};

use policy::{JobClass, JobLoad, PoolCapacity, StepLoad, TeamShares, TeamUse, select_jobs};
use state::{Millis, Moment, TeamId};

/// Part of an objective besides the critical path.
const LATENCY_OBJECTIVE_MS: u64 = 600;
/// Interval between two placement passes.
const PASS_INTERVAL_MS: u64 = 10;
/// Interval between two selections.
const SELECTION_INTERVAL_MS: u64 = 100;

/// Order in which ready jobs are placed.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum PlacementOrder {
    /// No order: the pool has capacity for all jobs.
    Unlimited,
    /// By the time of submission.
    FirstIn,
    /// By the latest start that meets the objective; late jobs last, the oldest first.
    LatestStart,
    /// By the class that the selection found, then by the latest start.
    Selection,
}

/// Step of a job: it starts when the step before it is done.
pub struct TimedStep {
    pub declared: Millis,
    /// Measured run time of each task.
    pub run_times: Vec<Millis>,
    pub millicores: u64,
}

pub struct TimedJob {
    pub at_ms: u64,
    pub team: TeamId,
    pub steps: Vec<TimedStep>,
}

impl TimedJob {
    /// Returns the work, in millicores times milliseconds.
    pub fn work(&self) -> u64 {
        let step_work = |step: &TimedStep| {
            step.run_times.iter().map(|run_time| run_time.0 * step.millicores).sum::<u64>()
        };
        self.steps.iter().map(step_work).sum()
    }

    /// Returns the time from the submission to the objective: 1.6 times the declared critical
    /// path and the latency objective.
    fn objective_span_ms(&self) -> u64 {
        let declared: u64 = self.steps.iter().map(|step| step.declared.0).sum();
        declared * 16 / 10 + LATENCY_OBJECTIVE_MS
    }
}

pub struct PoolLoad {
    pub millicores: u64,
    /// Jobs by the time of submission.
    pub jobs: Vec<TimedJob>,
    pub shares: TeamShares,
}

/// Number of jobs by their end.
#[derive(Debug, Clone, Default, PartialEq, Eq)]
pub struct ServiceReport {
    pub jobs: u64,
    pub in_time: u64,
    /// Jobs that ended within three times their objective.
    pub late: u64,
    pub expired: u64,
}

impl ServiceReport {
    pub fn add(&mut self, other: &Self) {
        self.jobs += other.jobs;
        self.in_time += other.in_time;
        self.late += other.late;
        self.expired += other.expired;
    }
}

/// What the submitters got: team and span from submission to end, in parts of the objective.
pub struct ServiceOutcome {
    ends: Vec<(TeamId, JobClass)>,
}

impl ServiceOutcome {
    pub fn total(&self) -> ServiceReport {
        Self::count(self.ends.iter())
    }

    pub fn of_team(&self, team: &TeamId) -> ServiceReport {
        Self::count(self.ends.iter().filter(|(owner, _)| owner == team))
    }

    fn count<'a>(ends: impl Iterator<Item = &'a (TeamId, JobClass)>) -> ServiceReport {
        let mut report = ServiceReport::default();
        for (_, class) in ends {
            report.jobs += 1;
            match class {
                JobClass::Protected | JobClass::InTime => report.in_time += 1,
                JobClass::Late => report.late += 1,
                JobClass::Expired => report.expired += 1,
            }
        }
        report
    }
}

/// Progress of a submitted job.
#[derive(Default)]
struct JobState {
    step: usize,
    started_tasks: usize,
    running_tasks: usize,
    ended_ms: Option<u64>,
    class: Option<JobClass>,
}

struct PoolState<'a> {
    load: &'a PoolLoad,
    shares: TeamShares,
    now_ms: u64,
    free: u64,
    submitted: usize,
    states: Vec<JobState>,
    /// Runs by their end: time, job, task, millicores.
    runs: BTreeSet<(u64, usize, usize, u64)>,
    present_use: BTreeMap<TeamId, u64>,
}

/// Serves a load to its end.
pub fn serve_load(load: &PoolLoad, order: PlacementOrder) -> ServiceOutcome {
    let mut shares = TeamShares::default();
    let teams: BTreeSet<TeamId> = load.jobs.iter().map(|job| job.team.clone()).collect();
    shares.set_weights(teams.into_iter().map(|team| {
        let weight = load.shares.weight(Some(&team));
        (team, weight)
    }));
    let mut pool = PoolState {
        load,
        shares,
        now_ms: 0,
        free: if order == PlacementOrder::Unlimited { u64::MAX / 2 } else { load.millicores },
        submitted: 0,
        states: load.jobs.iter().map(|_| JobState::default()).collect(),
        runs: BTreeSet::new(),
        present_use: BTreeMap::new(),
    };
    while pool.states.iter().any(|state| state.ended_ms.is_none()) {
        pool.end_runs();
        pool.submit_jobs();
        if order == PlacementOrder::Selection && pool.now_ms.is_multiple_of(SELECTION_INTERVAL_MS) {
            pool.select();
        }
        pool.place_tasks(order);
        pool.now_ms += PASS_INTERVAL_MS;
    }
    let to_end = |(job, state): (&TimedJob, &JobState)| {
        let span = state.ended_ms.expect("ended") - job.at_ms;
        let objective = job.objective_span_ms();
        let class = if span <= objective {
            JobClass::InTime
        } else if span <= 3 * objective {
            JobClass::Late
        } else {
            JobClass::Expired
        };
        (job.team.clone(), class)
    };
    ServiceOutcome { ends: load.jobs.iter().zip(&pool.states).map(to_end).collect() }
}

impl PoolState<'_> {
    fn end_runs(&mut self) {
        while let Some(run) = self.runs.first().copied().filter(|run| run.0 <= self.now_ms) {
            self.runs.remove(&run);
            let (ended_ms, index, _, millicores) = run;
            self.free += millicores;
            let job = &self.load.jobs[index];
            *self.present_use.get_mut(&job.team).expect("running") -= millicores;
            let state = &mut self.states[index];
            state.running_tasks -= 1;
            let is_step_done = state.running_tasks == 0
                && state.started_tasks == job.steps[state.step].run_times.len();
            if is_step_done {
                state.step += 1;
                state.started_tasks = 0;
                state.ended_ms = (state.step == job.steps.len()).then_some(ended_ms);
            }
        }
    }

    fn submit_jobs(&mut self) {
        let due = self.load.jobs[self.submitted..].iter();
        self.submitted += due.take_while(|job| job.at_ms <= self.now_ms).count();
    }

    fn open_jobs(&self) -> Vec<usize> {
        (0..self.submitted).filter(|index| self.states[*index].ended_ms.is_none()).collect()
    }

    fn load_of(&self, index: usize) -> JobLoad {
        let (job, state) = (&self.load.jobs[index], &self.states[index]);
        let mut path = 0;
        let mut steps = Vec::new();
        for (number, step) in job.steps.iter().enumerate().skip(state.step).rev() {
            path += step.declared.0;
            let started = if number == state.step { state.started_tasks } else { 0 };
            let unstarted = (step.run_times.len() - started) as u64;
            if unstarted > 0 {
                let work = unstarted * step.millicores * step.declared.0;
                let remaining_path = Millis(path);
                steps.insert(0, StepLoad { run_time: step.declared, remaining_path, work });
            }
        }
        let span = job.objective_span_ms();
        JobLoad {
            team: Some(job.team.clone()),
            priority: 0,
            has_started: state.step > 0 || state.started_tasks > 0,
            objective_ms: job.at_ms + span,
            expiry_ms: job.at_ms + 3 * span,
            steps: steps.into(),
        }
    }

    fn select(&mut self) {
        let use_now = TeamUse { here: self.present_use.clone(), ..TeamUse::default() };
        self.shares.record_use(Moment(self.now_ms), use_now);
        let open = self.open_jobs();
        let loads: Vec<JobLoad> = open.iter().map(|index| self.load_of(*index)).collect();
        let borrowed: Vec<&JobLoad> = loads.iter().collect();
        let capacity = PoolCapacity {
            millicores: self.load.millicores,
            free_millicores: self.free,
            ..PoolCapacity::default()
        };
        let classes = select_jobs(&borrowed, &capacity, &self.shares, self.now_ms);
        for (index, class) in open.into_iter().zip(classes) {
            self.states[index].class = Some(class);
        }
    }

    /// Returns the rank of a job; lower ranks are placed first.
    fn rank(&self, index: usize, order: PlacementOrder) -> (JobClass, u64) {
        let load = self.load_of(index);
        let by_time = |latest_ms: u64| {
            if latest_ms >= self.now_ms { JobClass::InTime } else { JobClass::Late }
        };
        match order {
            PlacementOrder::Unlimited | PlacementOrder::FirstIn => {
                (JobClass::InTime, self.load.jobs[index].at_ms)
            }
            PlacementOrder::LatestStart => {
                (by_time(load.latest_start_ms()), load.latest_start_ms())
            }
            PlacementOrder::Selection => {
                let new_class = by_time(load.latest_start_ms());
                let class = self.states[index].class.unwrap_or(new_class);
                let start_ms = match class {
                    JobClass::Protected | JobClass::InTime => load.latest_start_ms(),
                    JobClass::Late | JobClass::Expired => load.last_start_ms(),
                };
                (class, start_ms)
            }
        }
    }

    fn place_tasks(&mut self, order: PlacementOrder) {
        let has_ready = |index: &usize| {
            let state = &self.states[*index];
            state.started_tasks < self.load.jobs[*index].steps[state.step].run_times.len()
        };
        let mut ready: Vec<usize> = self.open_jobs().into_iter().filter(has_ready).collect();
        ready.sort_by_cached_key(|index| (self.rank(*index, order), *index));
        for index in ready {
            let job = &self.load.jobs[index];
            let step = &job.steps[self.states[index].step];
            while self.free >= step.millicores
                && let state = &mut self.states[index]
                && let Some(run_time) = step.run_times.get(state.started_tasks)
            {
                let ends_ms = self.now_ms + run_time.0;
                self.runs.insert((ends_ms, index, state.started_tasks, step.millicores));
                state.started_tasks += 1;
                state.running_tasks += 1;
                self.free -= step.millicores;
                *self.present_use.entry(job.team.clone()).or_default() += step.millicores;
            }
        }
    }
}
