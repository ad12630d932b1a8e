//! Placement of jobs on workers.
//!
//! The daemon that is assigned to a pool places the jobs of all teams on the
//! pool's workers. Each placement is one compare-and-swap of the team's document,
//! written before the start is sent to the worker.

use std::collections::{BTreeMap, BTreeSet};

use state::{
    Cores, JobId, JobRecord, JobSpec, JobState, Mebibytes, Millis, PoolId, Priority, TeamId, VmId,
    VmListing, VmRole,
};

use super::Core;
use crate::document::FinishedChange;
use crate::event::Decision;
use crate::frame::LimitName;
use crate::mutate::team::{AttemptEnd, TeamMutation, TeamResult};
use crate::timing::TASK_FENCE_TIMEOUT;

/// Interval between two placement passes.
const PLACEMENT_INTERVAL: Millis = Millis(200);
/// Maximum number of jobs placed in one pass of one pool.
const MAX_PLACEMENTS_PER_PASS: usize = 64;

/// Total or free capacity of one worker.
#[derive(Debug, Clone, Copy)]
struct WorkerCapacity {
    cores: u32,
    /// Memory in mebibytes.
    memory: u32,
    accelerators: u32,
}

impl WorkerCapacity {
    fn from_listing(listing: &VmListing) -> Self {
        let Mebibytes(memory) = listing.memory;
        Self { cores: listing.cores.0, memory, accelerators: listing.accelerators }
    }

    fn fits(&self, spec: &JobSpec) -> bool {
        spec.cores <= Cores(self.cores)
            && spec.memory <= Mebibytes(self.memory)
            && spec.accelerators <= self.accelerators
    }

    fn reserve(&mut self, spec: &JobSpec) {
        self.cores = self.cores.saturating_sub(spec.cores.0);
        self.memory = self.memory.saturating_sub(spec.memory.0);
        self.accelerators = self.accelerators.saturating_sub(spec.accelerators);
    }
}

/// Queued job that may be placed in this pass.
struct PlacementCandidate {
    team: TeamId,
    job: JobId,
    attempt: u32,
    spec: JobSpec,
    /// Sort key: the team's priority, then the time of submission.
    placement_order: (Priority, u64),
}

impl Core {
    /// Runs a placement pass, if due, over the pools that are assigned to this daemon.
    pub(super) fn run_placement_pass(&mut self) {
        if self.now() < self.placement_due {
            return;
        }
        self.placement_due = self.now() + PLACEMENT_INTERVAL;
        if self.check_work_allowed().is_err() || !self.is_listing_known {
            return;
        }
        for pool in self.pools_with_jobs() {
            if self.is_assigned(&format!("pool/{pool}")) {
                self.follow_placed_jobs(&pool);
                self.place_waiting_jobs(&pool);
            }
        }
    }

    /// Pools with a job that is queued or placed.
    fn pools_with_jobs(&self) -> BTreeSet<PoolId> {
        let jobs = self.teams.values().flat_map(|writer| writer.doc().jobs.values());
        let unfinished = jobs.filter(|job| !job.state.is_final());
        unfinished.map(|job| job.spec.pool.clone()).collect()
    }

    fn jobs_of(&self, pool: &PoolId) -> impl Iterator<Item = (&TeamId, &JobId, &JobRecord)> {
        let all_jobs = self.teams.iter().flat_map(|(team, writer)| {
            writer.doc().jobs.iter().map(move |(job, record)| (team, job, record))
        });
        let pool = pool.clone();
        all_jobs.filter(move |(_, _, record)| record.spec.pool == pool)
    }

    /// Whether any job is placed on `vm`, by the team documents as last read.
    pub(super) fn has_placed_jobs(&self, vm: &VmId) -> bool {
        let jobs = self.teams.values().flat_map(|writer| writer.doc().jobs.values());
        let mut workers = jobs.filter_map(|job| match &job.state {
            JobState::Placed { worker, .. } => Some(worker),
            _ => None,
        });
        workers.any(|worker| worker == vm)
    }

    /// Workers of `pool` that may take new work.
    fn workers_of(&self, pool: &PoolId) -> Vec<VmListing> {
        let workers = self.usable_vms(pool).filter(|listing| listing.role == VmRole::Worker);
        workers.cloned().collect()
    }

    /// Places waiting jobs of `pool` on workers with enough free capacity, in placement
    /// order.
    fn place_waiting_jobs(&mut self, pool: &PoolId) {
        let mut waiting = self.waiting_jobs(pool);
        if waiting.is_empty() {
            return;
        }
        waiting.sort_by_key(|candidate| candidate.placement_order);
        let workers = self.workers_of(pool);
        let mut capacities = self.free_capacities(&workers);
        let mut placed_count = 0;
        for candidate in waiting {
            if self.reject_oversized_job(pool, &candidate)
                || placed_count >= MAX_PLACEMENTS_PER_PASS
            {
                continue;
            }
            if let Some(worker) = select_worker(&capacities, &candidate.spec) {
                capacities
                    .get_mut(&worker)
                    .expect("selected from this map")
                    .reserve(&candidate.spec);
                placed_count += 1;
                self.submit_placement(pool, candidate, &worker);
            }
        }
    }

    /// Queued jobs that may be placed now: the team has unused units of its limit
    /// and none of its requests waits for one, and no change of the job is pending.
    fn waiting_jobs(&self, pool: &PoolId) -> Vec<PlacementCandidate> {
        let config = self.config.doc();
        let queued = self.jobs_of(pool).filter(|(team, _, record)| {
            record.state == JobState::Queued && config.may_use(team, &record.spec.pool)
        });
        let mut remaining_units: BTreeMap<&TeamId, u32> = BTreeMap::new();
        let mut candidates = Vec::new();
        for (team, job, record) in queued {
            let writer = &self.teams[team];
            let is_changing = writer.pending().any(|mutation| mutation.job() == Some(job));
            if is_changing || self.has_starved_calls(team) {
                continue;
            }
            let limit = config.teams.get(team).map_or(0, |plan| plan.limit);
            let doc = writer.doc();
            let unused = limit.min(doc.allocations.capacity).saturating_sub(doc.used_capacity());
            let remaining = remaining_units.entry(team).or_insert(unused);
            if *remaining == 0 {
                continue;
            }
            *remaining -= 1;
            candidates.push(PlacementCandidate {
                team: team.clone(),
                job: job.clone(),
                attempt: record.attempt + 1,
                spec: record.spec.clone(),
                placement_order: (config.priority(team), record.submitted_ms),
            });
        }
        candidates
    }

    /// Whether any daemon has requests of the team that wait for a unit of the
    /// team's limit. Those requests take precedence over the team's jobs.
    fn has_starved_calls(&self, team: &TeamId) -> bool {
        let limit = LimitName::Team(team.clone());
        let mut statuses = self.contacts.member_statuses(self.members.doc());
        let is_peer_short =
            statuses.any(|(_, status)| status.short.iter().any(|shortage| shortage.limit == limit));
        is_peer_short || self.shortages().iter().any(|shortage| shortage.limit == limit)
    }

    /// Free capacity by worker: the worker's total capacity less the jobs placed on
    /// the worker. Workers excluded for failures are left out.
    fn free_capacities(&self, workers: &[VmListing]) -> BTreeMap<VmId, WorkerCapacity> {
        let usable = workers.iter().filter(|listing| !self.is_excluded(&listing.vm));
        let mut capacities: BTreeMap<VmId, WorkerCapacity> = usable
            .map(|listing| (listing.vm.clone(), WorkerCapacity::from_listing(listing)))
            .collect();
        for job in self.teams.values().flat_map(|writer| writer.doc().jobs.values()) {
            if let JobState::Placed { worker, .. } = &job.state
                && let Some(capacity) = capacities.get_mut(worker)
            {
                capacity.reserve(&job.spec);
            }
        }
        capacities
    }

    /// Gives up a job that is larger than every worker of its pool; returns whether
    /// the job was given up. A job of a pool without any worker stays queued.
    fn reject_oversized_job(&mut self, pool: &PoolId, candidate: &PlacementCandidate) -> bool {
        let vms = self.pool_vms.get(pool).into_iter().flatten();
        let listed = vms.filter_map(|vm| self.listing.get(vm));
        let workers = listed.filter(|listing| listing.role == VmRole::Worker);
        let mut capacities = workers.map(WorkerCapacity::from_listing).peekable();
        if capacities.peek().is_none() || capacities.any(|total| total.fits(&candidate.spec)) {
            return false;
        }
        let reason: Box<str> = format!("no worker of pool {pool} is large enough").into();
        self.log_job(&candidate.team, &candidate.job, pool, "impossible", &reason);
        let wall_ms = self.clock.wall_ms;
        let job = candidate.job.clone();
        self.submit_team(&candidate.team, TeamMutation::GiveUp { job, reason, wall_ms });
        true
    }

    /// Places a job on `worker`. The boot count of the worker is recorded, so that a
    /// later reboot of the worker ends the attempt.
    fn submit_placement(&mut self, pool: &PoolId, candidate: PlacementCandidate, worker: &VmId) {
        let boot = self.listing.get(worker).map_or(0, |listing| listing.boot);
        let reason = format!("attempt {}: most free cores", candidate.attempt);
        self.log_job(&candidate.team, &candidate.job, pool, worker.as_str(), &reason);
        self.submit_team(
            &candidate.team,
            TeamMutation::Place {
                job: candidate.job,
                attempt: candidate.attempt,
                worker: worker.clone(),
                boot,
            },
        );
    }

    /// Advances every job that is placed on a worker of `pool`.
    fn follow_placed_jobs(&mut self, pool: &PoolId) {
        let placed_jobs =
            self.jobs_of(pool).filter_map(|(team, job, record)| match &record.state {
                JobState::Placed { worker, boot } => Some(PlacedJob {
                    team: team.clone(),
                    job: job.clone(),
                    attempt: record.attempt,
                    spec: record.spec.clone(),
                    worker: worker.clone(),
                    worker_boot: *boot,
                    cancel: record.cancel,
                }),
                _ => None,
            });
        let placed_jobs: Vec<PlacedJob> = placed_jobs.collect();
        for placed in placed_jobs {
            self.follow_placed_job(&placed);
        }
    }

    /// Polls the worker of a placed job and acts on the state of the task. The
    /// attempt is lost if the worker is no longer listed, has rebooted, or has left
    /// polls unanswered for [`TASK_FENCE_TIMEOUT`].
    fn follow_placed_job(&mut self, placed: &PlacedJob) {
        let current_boot = self.listing.get(&placed.worker).map(|listing| listing.boot);
        let unanswered = self.unanswered_duration(&placed.worker);
        let is_worker_gone =
            current_boot.is_none() || current_boot.is_some_and(|boot| boot > placed.worker_boot);
        if is_worker_gone || unanswered >= TASK_FENCE_TIMEOUT {
            self.clear_worker_view(&placed.worker);
            return self.submit_attempt_end(placed, AttemptEnd::Lost);
        }
        self.poll_worker(&placed.worker);
        self.reconcile_task(placed);
    }

    pub(super) fn submit_attempt_end(&mut self, placed: &PlacedJob, end: AttemptEnd) {
        let choice = match &end {
            AttemptEnd::Done => "done",
            AttemptEnd::Failed(_) => "failed",
            AttemptEnd::Lost => "lost",
        };
        let reason = match &end {
            AttemptEnd::Failed(reason) => reason.clone(),
            _ => format!("attempt {} on {}", placed.attempt, placed.worker).into(),
        };
        let pool = placed.spec.pool.clone();
        self.log_job(&placed.team, &placed.job, &pool, choice, &reason);
        let wall_ms = self.clock.wall_ms;
        let mutation =
            TeamMutation::End { job: placed.job.clone(), attempt: placed.attempt, end, wall_ms };
        self.submit_team(&placed.team, mutation);
    }

    pub(super) fn handle_finished_team_changes(
        &mut self,
        team: &TeamId,
        finished: Vec<FinishedChange<TeamMutation, TeamResult>>,
    ) {
        for FinishedChange { mutation, result } in finished {
            if let TeamMutation::TransferAllocation { to, .. } = &mutation {
                self.notify_transfer(LimitName::Team(team.clone()), to);
            }
            let is_completion =
                matches!(&mutation, TeamMutation::End { end: AttemptEnd::Done, .. });
            if is_completion && result == TeamResult::Applied {
                self.counters.jobs_done += 1;
            }
            self.answer_job_waiters(team, &mutation, &result);
        }
    }

    fn log_job(&mut self, team: &TeamId, job: &JobId, pool: &PoolId, choice: &str, reason: &str) {
        self.log_decision(Decision {
            subject: "job",
            id: job.as_str().into(),
            team: Some(team.clone()),
            pool: Some(pool.clone()),
            choice: choice.into(),
            reason: reason.into(),
        });
    }
}

/// Placed job with its current attempt and its worker.
#[derive(Debug, Clone)]
pub(super) struct PlacedJob {
    pub(super) team: TeamId,
    pub(super) job: JobId,
    pub(super) attempt: u32,
    pub(super) spec: JobSpec,
    pub(super) worker: VmId,
    /// Boot count of the worker at the time of placement.
    pub(super) worker_boot: u64,
    pub(super) cancel: bool,
}

/// Selects the worker with the most free cores among those that fit `spec`.
fn select_worker(capacities: &BTreeMap<VmId, WorkerCapacity>, spec: &JobSpec) -> Option<VmId> {
    let fitting = capacities.iter().filter(|(_, free)| free.fits(spec));
    fitting.max_by_key(|(_, free)| free.cores).map(|(vm, _)| vm.clone())
}
