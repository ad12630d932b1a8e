//! Selects the jobs that a full pool can complete in time.
//!
//! The pool counts as one server of known capacity. [`select_jobs`] goes through the steps that
//! have not started, in the order of the latest start that meets the objective of their job, and
//! adds up their work. When the pool cannot have started that work by then, a job selected so far
//! is left out: of the least urgent queue, of the team with the most use and selected work for its
//! weight, and there a job that has started nothing, with the most remaining work. Leaving out
//! the largest job keeps the number of jobs that meet their objective high (Moore and Hodgson).
//!
//! A second pass selects in the same way, from the jobs left out, those that can still be done
//! within three times their objective.

use std::collections::{BTreeMap, BinaryHeap};

use state::{Millis, TeamId};

use crate::shares::{TeamLimit, TeamShares};

/// Part of the capacity that is planned with, in percent. Stragglers add 18 % to the work (3 % of
/// the runs take about seven times as long as the rest), and capacity that a run has left is idle
/// until the next start.
const PLANNED_CAPACITY_PERCENT: u64 = 75;
/// Margin for the remaining path of a job, in percent: run times are estimates, and a step ends with
/// the slowest of its tasks.
const PATH_MARGIN_PERCENT: u64 = 30;
/// Teams whose load is at least this percentage of the highest load lose alike, so that among
/// nearly equal teams the largest job is left out.
const SIMILAR_LOAD_PERCENT: f64 = 75.0;

/// Teams whose load is below this percentage of that of a team which loses jobs are protected. Among
/// teams with nearly equal demand, protection only disturbs the order by the latest start.
const PROTECTED_LOAD_PERCENT: f64 = 33.0;

/// Tasks of a step that have not started.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct StepLoad {
    /// Expected run time of one task.
    pub run_time: Millis,
    /// Expected time from the start of the step to the end of its job, if nothing waits.
    pub remaining_path: Millis,
    /// Work of the tasks, in millicores times milliseconds.
    pub work: u64,
}

/// Job of a pool, with what is left to start.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct JobLoad {
    /// Team of the job; jobs without a team share one account.
    pub team: Option<TeamId>,
    /// Priority of the job's queue; 0 is the highest.
    pub priority: u32,
    /// Whether a task of the job has begun.
    pub has_started: bool,
    /// Time by which the job should be complete, in milliseconds since 1970.
    pub objective_ms: u64,
    /// Time after which the job's end is worth nothing, in milliseconds since 1970.
    pub expiry_ms: u64,
    /// Steps with tasks that have not started.
    pub steps: Box<[StepLoad]>,
}

impl JobLoad {
    /// Returns the latest time at which the next step must start to meet the objective, in
    /// milliseconds since 1970.
    pub fn latest_start_ms(&self) -> u64 {
        self.objective_ms.saturating_sub(self.remaining_path().0)
    }

    /// Returns the latest time at which the next step must start to be done before the job
    /// expires, in milliseconds since 1970.
    pub fn last_start_ms(&self) -> u64 {
        self.expiry_ms.saturating_sub(self.remaining_path().0)
    }

    /// Returns the work that has not started, in millicores times milliseconds.
    pub fn unstarted_work(&self) -> u64 {
        self.steps.iter().fold(0, |sum, step| sum.saturating_add(step.work))
    }

    fn remaining_path(&self) -> Millis {
        self.steps.iter().map(|step| step.remaining_path).max().unwrap_or(Millis(0))
    }
}

/// Returns when a step should start whose job should end at `end_ms`: earlier than the latest start,
/// by a margin of at most half of the time until then.
fn planned_start_ms(now_ms: u64, end_ms: u64, remaining_path: Millis) -> u64 {
    let latest_start_ms = end_ms.saturating_sub(remaining_path.0);
    let margin_ms = remaining_path.0.saturating_mul(PATH_MARGIN_PERCENT) / 100;
    latest_start_ms - margin_ms.min(latest_start_ms.saturating_sub(now_ms) / 2)
}

/// Capacity of a pool for the jobs to select from.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Default)]
pub struct PoolCapacity {
    /// Capacity of the usable VMs, in millicores.
    pub millicores: u64,
    /// Part of that capacity that no run has reserved, in millicores.
    pub free_millicores: u64,
    /// Capacity of the VMs that are on their way to the pool, in millicores.
    pub incoming_millicores: u64,
    /// Time until those VMs can be used.
    pub incoming_after: Millis,
}

impl PoolCapacity {
    /// Returns the work that a full pool completes within a time, in millicores times
    /// milliseconds. A full pool starts as much work as it completes.
    pub(crate) fn work_within(&self, duration_ms: u64) -> u128 {
        let incoming_ms = duration_ms.saturating_sub(self.incoming_after.0);
        let present = u128::from(self.millicores) * u128::from(duration_ms);
        let incoming = u128::from(self.incoming_millicores) * u128::from(incoming_ms);
        (present + incoming) * u128::from(PLANNED_CAPACITY_PERCENT) / 100
    }

    /// Returns the work that the pool can start within a time if tasks run for `run_time`. Free
    /// capacity starts work at once.
    fn work_started_within(&self, duration_ms: u64, run_time: Millis) -> u128 {
        let started_now = u128::from(self.free_millicores) * u128::from(run_time.0);
        self.work_within(duration_ms) + started_now
    }
}

/// Class of a job, in the order of placement.
#[derive(Debug, Clone, Copy, PartialEq, Eq, PartialOrd, Ord)]
pub enum JobClass {
    /// The job is expected to meet its objective, and its team uses less than its share while
    /// others, which use more, have lost jobs. It is placed before other jobs of its priority, so
    /// that the load of those teams does not delay it.
    Protected,
    /// The job is expected to meet its objective.
    InTime,
    /// The job is left out, and can still be done within three times its objective.
    Late,
    /// The job cannot be done within three times its objective.
    Expired,
}

/// Classifies `jobs` at `now_ms`, in milliseconds since 1970. The result has the class of each job,
/// in the order of `jobs`.
pub fn select_jobs(
    jobs: &[&JobLoad],
    capacity: &PoolCapacity,
    shares: &TeamShares,
    now_ms: u64,
) -> Box<[JobClass]> {
    let mut selection = JobSelection::new(jobs, capacity, shares, now_ms);
    selection.select(JobClass::InTime);
    selection.protect_small_teams();
    selection.select(JobClass::Late);
    let classes = selection.states.iter().map(|state| state.class.unwrap_or(JobClass::Expired));
    classes.collect()
}

/// Work that must start by a time.
struct DueWork {
    planned_start_ms: u64,
    job: usize,
    work: u64,
    run_time: Millis,
}

/// State of a job during the selection.
struct JobState {
    team: usize,
    unstarted_work: u64,
    /// Work of the job that is counted in the sums.
    counted_work: u64,
    class: Option<JobClass>,
    /// Whether the present pass has left the job out.
    is_left_out: bool,
}

/// State of a team during the selection.
struct TeamState {
    weight: f64,
    limit: Option<TeamLimit>,
    /// Past use and the work of the jobs selected so far, in millicores times milliseconds.
    served_work: f64,
    counted_work: u128,
    /// Whether a job of the team was left out that could be done alone.
    has_lost: bool,
}

impl TeamState {
    fn load(&self) -> f64 {
        self.served_work / self.weight
    }
}

/// Jobs of one team that may be left out: whether the job has started nothing, its work, its
/// index. The next one to leave out comes first.
type TeamCandidates = BinaryHeap<(bool, u64, usize)>;

struct JobSelection<'a> {
    jobs: &'a [&'a JobLoad],
    capacity: &'a PoolCapacity,
    now_ms: u64,
    states: Vec<JobState>,
    teams: Vec<TeamState>,
    /// Work of the jobs selected so far that is due up to the present step.
    counted_work: u128,
    /// Jobs selected so far in the present pass, by priority and team.
    candidates: BTreeMap<u32, Vec<TeamCandidates>>,
}

impl<'a> JobSelection<'a> {
    fn new(
        jobs: &'a [&'a JobLoad],
        capacity: &'a PoolCapacity,
        shares: &TeamShares,
        now_ms: u64,
    ) -> Self {
        let mut teams = Vec::new();
        let mut indexes: BTreeMap<Option<&TeamId>, usize> = BTreeMap::new();
        let to_state = |job: &&'a JobLoad| {
            let team = job.team.as_ref();
            let index = *indexes.entry(team).or_insert_with(|| {
                teams.push(TeamState {
                    weight: shares.weight(team),
                    limit: shares.limit(team),
                    served_work: shares.used_work(team),
                    counted_work: 0,
                    has_lost: false,
                });
                teams.len() - 1
            });
            JobState {
                team: index,
                unstarted_work: job.unstarted_work(),
                counted_work: 0,
                class: None,
                is_left_out: false,
            }
        };
        let states = jobs.iter().map(to_state).collect();
        let candidates = BTreeMap::new();
        Self { jobs, capacity, now_ms, states, teams, counted_work: 0, candidates }
    }

    /// Selects for `class` from the jobs that have none yet.
    fn select(&mut self, class: JobClass) {
        self.begin_pass();
        for due in self.list_due_work(class) {
            if self.states[due.job].is_left_out {
                continue;
            }
            self.count_work(&due);
            self.leave_out_excess(&due);
        }
        for state in &mut self.states {
            if state.class.is_none() && !state.is_left_out {
                state.class = Some(class);
            }
        }
    }

    /// Protects the selected jobs of teams that use less than those which have lost jobs.
    fn protect_small_teams(&mut self) {
        let losing = self.teams.iter().filter(|team| team.has_lost);
        let highest = losing.map(TeamState::load).fold(0.0, f64::max);
        let limit = highest * PROTECTED_LOAD_PERCENT / 100.0;
        for state in &mut self.states {
            let team = &self.teams[state.team];
            if state.class == Some(JobClass::InTime) && !team.has_lost && team.load() < limit {
                state.class = Some(JobClass::Protected);
            }
        }
    }

    /// Clears the sums of the previous pass. The served work of the selected jobs remains.
    fn begin_pass(&mut self) {
        self.counted_work = 0;
        self.candidates.clear();
        for team in &mut self.teams {
            team.counted_work = 0;
        }
        for state in &mut self.states {
            state.counted_work = 0;
            state.is_left_out = false;
        }
    }

    /// Lists the work of the jobs selected earlier and of those that may be selected for `class`,
    /// by the latest start. Leaves out the jobs that would not be in time even alone.
    fn list_due_work(&mut self, class: JobClass) -> Vec<DueWork> {
        let mut due_work = Vec::new();
        for (index, job) in self.jobs.iter().enumerate() {
            let end_ms = match self.states[index].class.unwrap_or(class) {
                JobClass::Protected | JobClass::InTime => job.objective_ms,
                JobClass::Late | JobClass::Expired => job.expiry_ms,
            };
            if self.states[index].class.is_none() && !self.is_possible(job, end_ms) {
                self.states[index].is_left_out = true;
                continue;
            }
            due_work.extend(job.steps.iter().map(|step| DueWork {
                planned_start_ms: planned_start_ms(self.now_ms, end_ms, step.remaining_path),
                job: index,
                work: step.work,
                run_time: step.run_time,
            }));
        }
        due_work.sort_unstable_by_key(|due| (due.planned_start_ms, due.job));
        due_work
    }

    /// Whether a job could end by `end_ms` if it had the whole pool.
    fn is_possible(&self, job: &JobLoad, end_ms: u64) -> bool {
        let mut work = 0;
        job.steps.iter().all(|step| {
            let latest_start_ms = end_ms.saturating_sub(step.remaining_path.0);
            work += u128::from(step.work);
            let duration_ms =
                latest_start_ms.saturating_add(step.run_time.0).saturating_sub(self.now_ms);
            latest_start_ms >= self.now_ms && work <= self.capacity.work_within(duration_ms)
        })
    }

    fn count_work(&mut self, due: &DueWork) {
        let state = &mut self.states[due.job];
        let team = &mut self.teams[state.team];
        let is_first = state.counted_work == 0;
        state.counted_work = state.counted_work.saturating_add(due.work);
        team.counted_work += u128::from(due.work);
        self.counted_work += u128::from(due.work);
        if is_first && state.class.is_none() && due.work > 0 {
            team.served_work += state.unstarted_work as f64;
            let job = self.jobs[due.job];
            let team_count = self.teams.len();
            let by_team = self.candidates.entry(job.priority).or_insert_with(|| {
                std::iter::repeat_with(TeamCandidates::new).take(team_count).collect()
            });
            by_team[state.team].push((!job.has_started, state.unstarted_work, due.job));
        }
    }

    /// Leaves jobs out until the work counted so far can start in time, within the limit of the
    /// team of the last counted work and within the pool's capacity.
    fn leave_out_excess(&mut self, due: &DueWork) {
        let duration_ms = due.planned_start_ms.saturating_sub(self.now_ms);
        let team = self.states[due.job].team;
        if let Some(limit) = self.teams[team].limit {
            let limit_work = limit.work_started_within(duration_ms, due.run_time);
            while self.teams[team].counted_work > limit_work
                && let Some(job) = self.next_of_team(team)
            {
                self.leave_out(job);
            }
        }
        let pool_work = self.capacity.work_started_within(duration_ms, due.run_time);
        while self.counted_work > pool_work
            && let Some(job) = self.next_of_pool()
        {
            self.leave_out(job);
        }
    }

    /// Takes the job of a team that is left out next.
    fn next_of_team(&mut self, team: usize) -> Option<usize> {
        let mut by_priority = self.candidates.values_mut().rev();
        by_priority.find_map(|by_team| by_team[team].pop()).map(|(_, _, job)| job)
    }

    /// Takes the job that is left out next, of all teams.
    fn next_of_pool(&mut self) -> Option<usize> {
        let has_jobs = |by_team: &&mut Vec<TeamCandidates>| {
            by_team.iter().any(|candidates| !candidates.is_empty())
        };
        let by_team = self.candidates.values_mut().rev().find(has_jobs)?;
        let load = |team: usize| self.teams[team].load();
        let present = by_team.iter().enumerate().filter(|(_, jobs)| !jobs.is_empty());
        let highest = present.map(|(team, _)| load(team)).fold(0.0, f64::max);
        let similar = highest * SIMILAR_LOAD_PERCENT / 100.0;
        let losing = by_team.iter_mut().enumerate().filter(|(team, _)| load(*team) >= similar);
        let size = |jobs: &TeamCandidates| jobs.peek().map(|(is_new, work, _)| (*is_new, *work));
        let largest = losing.max_by(|(left_team, left), (right_team, right)| {
            let by_load = load(*left_team).total_cmp(&load(*right_team));
            size(left).cmp(&size(right)).then(by_load)
        });
        largest.and_then(|(_, jobs)| jobs.pop()).map(|(_, _, job)| job)
    }

    fn leave_out(&mut self, job: usize) {
        let state = &mut self.states[job];
        let team = &mut self.teams[state.team];
        state.is_left_out = true;
        team.has_lost = true;
        self.counted_work -= u128::from(state.counted_work);
        team.counted_work -= u128::from(state.counted_work);
        team.served_work -= state.unstarted_work as f64;
    }
}
