//! Requests of operators and submitters: configuration changes, actions on VMs,
//! jobs and status.
//!
//! A request that changes or reads a document waits as a [`PendingControl`] until
//! the document's call is finished or the timeout [`CHANGE_TIMEOUT`] has passed.

use serde_json::json;
use state::{
    DaemonId, JobId, JobRecord, JobSpec, JobState, KeyText, Moment, Revision, TeamId, VmId, VmState,
};

use super::Core;
use super::calls::refusal;
use crate::contact::ChangeWait;
use crate::document::{FinishedChange, Withdrawal};
use crate::event::{
    ControlAnswer, ControlRequest, Decision, Refusal, RefusalKind, ReplyToken, VmAction,
};
use crate::mutate::config::{ConfigMutation, ConfigResult};
use crate::mutate::fleet::{FleetMutation, FleetResult};
use crate::mutate::team::{TeamMutation, TeamResult};
use crate::timing::CHANGE_TIMEOUT;

/// Request of an operator or submitter that waits for its answer.
#[derive(Debug, Clone)]
pub(crate) struct PendingControl {
    token: ReplyToken,
    deadline: Moment,
    stage: ControlStage,
}

/// Progress of a pending request.
#[derive(Debug, Clone)]
enum ControlStage {
    /// The configuration change is not known to be committed.
    Uncommitted(state::ChangeId),
    /// The configuration change is committed, but not known to be in force on all
    /// daemons.
    RollingOut { wait: ChangeWait, committed_at: Moment, change: state::ChangeId },
    /// The record of the VM is being changed.
    VmChange(VmId),
    /// The record of the job is being changed.
    JobChange(TeamId, JobId),
    /// The record of the job is being read.
    JobRead(TeamId, JobId),
}

impl Core {
    /// Answers a request at once or registers it as pending. Requests of submitters
    /// are refused while this daemon may not take new work.
    pub(super) fn handle_control_request(&mut self, token: ReplyToken, request: ControlRequest) {
        if request.needs_team_key()
            && let Err(refused) = self.check_accepting()
        {
            return self.answer_control(token, ControlAnswer::Refused(refused));
        }
        match request {
            ControlRequest::Change { change, expect, edits } => {
                self.register_wait(token, ControlStage::Uncommitted(change.clone()));
                self.config.submit(ConfigMutation { change, expect, edits });
            }
            ControlRequest::Config => self.answer_config(token),
            ControlRequest::Status => {
                let status = self.status_document();
                self.answer_control(token, ControlAnswer::Document(status));
            }
            ControlRequest::Measures => {
                let measures = serde_json::to_value(&self.counters).expect("counters are JSON");
                self.answer_control(token, ControlAnswer::Document(measures));
            }
            ControlRequest::Vm { vm, action } => self.submit_vm_action(token, vm, action),
            ControlRequest::Submit { key, job, spec } => self.submit_job(token, key, job, spec),
            ControlRequest::Job { key, job } => self.read_job(token, key, &job),
            ControlRequest::Cancel { key, job } => self.cancel_job(token, key, job),
        }
    }

    fn register_wait(&mut self, token: ReplyToken, stage: ControlStage) {
        let deadline = self.now() + CHANGE_TIMEOUT;
        self.pending_controls.push(PendingControl { token, deadline, stage });
    }

    fn answer_config(&mut self, token: ReplyToken) {
        let document = json!({
            "revision": self.config.revision(),
            "config": self.config.doc(),
        });
        self.answer_control(token, ControlAnswer::Document(document));
    }

    pub(super) fn handle_finished_config_changes(
        &mut self,
        finished: Vec<FinishedChange<ConfigMutation, ConfigResult>>,
    ) {
        for FinishedChange { mutation, result } in finished {
            self.handle_config_result(&mutation, result);
        }
    }

    /// Answers a failed configuration change. After a commit, pushes the configuration
    /// to the peers and waits until the change is in force.
    fn handle_config_result(&mut self, mutation: &ConfigMutation, result: ConfigResult) {
        let revision = self.config.revision();
        let is_match = |stage: &ControlStage| {
            matches!(
                stage,
                ControlStage::Uncommitted(change) if *change == mutation.change
            )
        };
        match result {
            ConfigResult::Applied => {
                let committed_at = self.now();
                for pending in
                    self.pending_controls.iter_mut().filter(|pending| is_match(&pending.stage))
                {
                    let change = mutation.change.clone();
                    let wait = ChangeWait::new(revision);
                    pending.stage = ControlStage::RollingOut { wait, committed_at, change };
                }
                self.log_change(&mutation.change, "committed", revision);
                self.push_config();
                self.fleet.submit(FleetMutation::FollowConfig { config: revision });
            }
            ConfigResult::Invalid(reasons) => {
                self.answer_clash(is_match, reasons, revision);
            }
            ConfigResult::Overtaken { latest } => {
                let latest = latest.map_or("none".to_owned(), |change| change.to_string());
                let reason = format!("another change came in between: {latest}").into();
                self.answer_clash(is_match, vec![reason], revision);
            }
        }
    }

    /// Answers every matching request with a clash and its reasons.
    fn answer_clash(
        &mut self,
        is_match: impl Fn(&ControlStage) -> bool,
        reasons: Vec<Box<str>>,
        revision: Revision,
    ) {
        for token in self.remove_matching_controls(is_match) {
            let reasons = reasons.clone();
            self.answer_control(token, ControlAnswer::Clash { reasons, revision });
        }
    }

    /// Removes the pending requests whose stage matches; returns their tokens.
    fn remove_matching_controls(
        &mut self,
        is_match: impl Fn(&ControlStage) -> bool,
    ) -> Vec<ReplyToken> {
        let (matching, others): (Vec<_>, Vec<_>) = std::mem::take(&mut self.pending_controls)
            .into_iter()
            .partition(|pending| is_match(&pending.stage));
        self.pending_controls = others;
        matching.into_iter().map(|pending| pending.token).collect()
    }

    fn log_change(&mut self, change: &state::ChangeId, choice: &str, revision: Revision) {
        self.log_decision(Decision {
            subject: "change",
            id: change.as_str().into(),
            team: None,
            pool: None,
            choice: choice.into(),
            reason: format!("configuration revision {revision}").into(),
        });
    }

    /// Answers the pending requests whose change is in force or whose timeout has
    /// passed.
    pub(super) fn advance_controls(&mut self) {
        let mut unfinished = Vec::new();
        for mut pending in std::mem::take(&mut self.pending_controls) {
            if !self.try_finish_control(&mut pending) {
                unfinished.push(pending);
            }
        }
        self.pending_controls.extend(unfinished);
    }

    /// Answers one pending request if possible; returns whether it was answered.
    fn try_finish_control(&mut self, pending: &mut PendingControl) -> bool {
        let now = self.now();
        let is_timed_out = now >= pending.deadline;
        if let ControlStage::RollingOut { wait, committed_at, change } = &mut pending.stage {
            let waiting = wait.unconfirmed_daemons(
                now,
                &self.identity.daemon_ref.daemon,
                self.members.doc(),
                self.members.revision(),
                &self.contacts,
            );
            let (revision, change, committed_at) = (wait.revision, change.clone(), *committed_at);
            if waiting.is_empty() && self.fleet.doc().config >= revision {
                self.counters.last_rollout_ms = self.millis_since(committed_at);
                self.log_change(&change, "in force", revision);
                self.answer_control(pending.token, ControlAnswer::InForce { revision });
                return true;
            }
            if is_timed_out {
                self.answer_control(pending.token, ControlAnswer::Committed { revision, waiting });
            }
            return is_timed_out;
        }
        if is_timed_out {
            let answer = self.withdraw_change(&pending.stage);
            self.answer_control(pending.token, answer);
        }
        is_timed_out
    }

    /// Withdraws a change that was not written in time, so that the change cannot
    /// undo a later one. Returns the answer for the request.
    fn withdraw_change(&mut self, stage: &ControlStage) -> ControlAnswer {
        let withdrawal = match stage {
            ControlStage::Uncommitted(change) => {
                self.config.withdraw(|mutation| mutation.change == *change)
            }
            ControlStage::VmChange(vm) => self.fleet.withdraw(|mutation| mutation.vm() == Some(vm)),
            ControlStage::JobChange(team, job) => self.team_writer(team).withdraw(|mutation| {
                matches!(mutation, TeamMutation::Add { job: changed, .. }
                    | TeamMutation::Cancel { job: changed, .. } if changed == job)
            }),
            ControlStage::RollingOut { .. } | ControlStage::JobRead(..) => Withdrawal::NotWritten,
        };
        match withdrawal {
            Withdrawal::NotWritten => ControlAnswer::Refused(refusal(
                RefusalKind::Unavailable,
                "the platform did not answer in time; nothing was changed",
            )),
            Withdrawal::MayBeWritten => ControlAnswer::Unknown {
                reason: "the platform's answer did not come in time; look before asking again"
                    .into(),
            },
        }
    }

    /// Submits an operator's action on a VM as a change of the VM's record.
    fn submit_vm_action(&mut self, token: ReplyToken, vm: VmId, action: VmAction) {
        let record = self.fleet.doc().vms.get(&vm).cloned();
        let Some(record) = record else {
            let refused = refusal(RefusalKind::Invalid, format!("there is no VM {vm}"));
            return self.answer_control(token, ControlAnswer::Refused(refused));
        };
        if let VmAction::Move { to } = &action
            && !self.config.doc().pools.contains_key(to)
        {
            let refused = refusal(RefusalKind::Invalid, format!("there is no pool {to}"));
            return self.answer_control(token, ControlAnswer::Refused(refused));
        }
        let budget = self.availability_budget(&record.pool);
        let (vm, same_pool) = (vm.clone(), record.pool.clone());
        let mutation = match action {
            VmAction::Drain => {
                FleetMutation::BeginDrain { vm: vm.clone(), reboot: false, to: same_pool, budget }
            }
            VmAction::Reboot => {
                FleetMutation::BeginDrain { vm: vm.clone(), reboot: true, to: same_pool, budget }
            }
            VmAction::Move { to } => {
                FleetMutation::BeginDrain { vm: vm.clone(), reboot: true, to, budget }
            }
            VmAction::Return => FleetMutation::Release { vm: vm.clone() },
        };
        self.register_wait(token, ControlStage::VmChange(vm));
        self.fleet.submit(mutation);
    }

    /// Answers the operators that wait for `mutation` of a VM record.
    pub(super) fn answer_vm_waiters(&mut self, mutation: &FleetMutation, result: FleetResult) {
        let is_operator_action =
            matches!(mutation, FleetMutation::BeginDrain { .. } | FleetMutation::Release { .. });
        if !is_operator_action {
            return;
        }
        let Some(vm) = mutation.vm().cloned() else { return };
        let is_match = |stage: &ControlStage| {
            matches!(
                stage,
                ControlStage::VmChange(changed) if *changed == vm
            )
        };
        for token in self.remove_matching_controls(is_match) {
            let answer = match result {
                FleetResult::Applied => ControlAnswer::Done,
                FleetResult::Outdated => ControlAnswer::Refused(refusal(
                    RefusalKind::Unavailable,
                    "this daemon has yet to read the latest configuration",
                )),
                FleetResult::OverBudget => ControlAnswer::Refused(refusal(
                    RefusalKind::Overloaded,
                    format!("stopping {vm} would leave its pool under its minimum"),
                )),
                FleetResult::NotApplicable => ControlAnswer::Refused(refusal(
                    RefusalKind::Invalid,
                    format!("{vm} is not in a state for this"),
                )),
            };
            self.answer_control(token, answer);
        }
    }

    /// Returns the team of a submitter's key.
    fn authenticate_submitter(&self, key: Option<&KeyText>) -> Result<TeamId, Refusal> {
        let Some(text) = key else {
            return Err(refusal(RefusalKind::Unauthorised, "jobs need a key"));
        };
        let record = self.config.doc().keys.get(text.id()).filter(|record| record.matches(text));
        let team = record.map(|record| record.team.clone());
        team.ok_or_else(|| refusal(RefusalKind::Unauthorised, "the key does not work"))
    }

    fn submit_job(&mut self, token: ReplyToken, key: Option<KeyText>, job: JobId, spec: JobSpec) {
        let checked = self
            .check_access(key.as_ref(), &spec.pool)
            .and_then(|_| self.authenticate_submitter(key.as_ref()))
            .and_then(|team| self.check_job_spec(&spec).map(|()| team));
        let team = match checked {
            Ok(team) => team,
            Err(refused) => return self.answer_control(token, ControlAnswer::Refused(refused)),
        };
        let record = Box::new(JobRecord {
            spec,
            state: JobState::Queued,
            attempt: 0,
            failures: 0,
            cancel: false,
            submitted_ms: self.clock.wall_ms,
            ended_ms: 0,
        });
        self.register_wait(token, ControlStage::JobChange(team.clone(), job.clone()));
        self.submit_team(&team, TeamMutation::Add { job, record });
    }

    fn check_job_spec(&self, spec: &JobSpec) -> Result<(), Refusal> {
        if spec.command.len() > MAX_COMMAND_BYTES {
            let reason = format!("a job's command has at most {MAX_COMMAND_BYTES} bytes");
            return Err(refusal(RefusalKind::Invalid, reason));
        }
        Ok(())
    }

    fn cancel_job(&mut self, token: ReplyToken, key: Option<KeyText>, job: JobId) {
        match self.authenticate_submitter(key.as_ref()) {
            Ok(team) => {
                self.register_wait(token, ControlStage::JobChange(team.clone(), job.clone()));
                let wall_ms = self.clock.wall_ms;
                self.submit_team(&team, TeamMutation::Cancel { job, wall_ms });
            }
            Err(refused) => self.answer_control(token, ControlAnswer::Refused(refused)),
        }
    }

    /// Answers the submitters that wait for `mutation` of a job.
    pub(super) fn answer_job_waiters(
        &mut self,
        team: &TeamId,
        mutation: &TeamMutation,
        result: &TeamResult,
    ) {
        let (TeamMutation::Add { job, .. } | TeamMutation::Cancel { job, .. }) = mutation else {
            return;
        };
        let is_match = |stage: &ControlStage| {
            matches!(
                stage,
                ControlStage::JobChange(owner, changed) if owner == team && changed == job
            )
        };
        for token in self.remove_matching_controls(is_match) {
            let answer = match result {
                TeamResult::Applied => self.job_document(team, job),
                TeamResult::NoCapacity => ControlAnswer::Refused(refusal(
                    RefusalKind::Overloaded,
                    "the team has as many jobs as it may have",
                )),
                TeamResult::Clash => ControlAnswer::Refused(refusal(
                    RefusalKind::Invalid,
                    "another job has this name",
                )),
                TeamResult::NotApplicable => {
                    ControlAnswer::Refused(refusal(RefusalKind::Invalid, "there is no such job"))
                }
            };
            self.answer_control(token, answer);
        }
    }

    /// Rereads the team's document and answers with the job's record afterwards.
    fn read_job(&mut self, token: ReplyToken, key: Option<KeyText>, job: &JobId) {
        match self.authenticate_submitter(key.as_ref()) {
            Ok(team) => {
                self.refresh_team(&team);
                self.register_wait(token, ControlStage::JobRead(team, job.clone()));
            }
            Err(refused) => self.answer_control(token, ControlAnswer::Refused(refused)),
        }
    }

    /// Answers the submitters that read jobs of a team whose document has just been
    /// read.
    pub(super) fn answer_job_readers(&mut self, team: &TeamId) {
        let mut reads = Vec::new();
        self.pending_controls.retain(|pending| match &pending.stage {
            ControlStage::JobRead(owner, job) if owner == team => {
                reads.push((pending.token, job.clone()));
                false
            }
            _ => true,
        });
        for (token, job) in reads {
            let answer = self.job_document(team, &job);
            self.answer_control(token, answer);
        }
    }

    /// Returns the job's record as an answer, or a refusal if no such job exists.
    fn job_document(&self, team: &TeamId, job: &JobId) -> ControlAnswer {
        let record = self.teams.get(team).and_then(|writer| writer.doc().jobs.get(job));
        match record {
            Some(record) => ControlAnswer::Document(json!({ "job": job, "record": record })),
            None => ControlAnswer::Refused(refusal(RefusalKind::Invalid, "there is no such job")),
        }
    }

    /// Returns this daemon's view of the fleet as JSON.
    fn status_document(&self) -> serde_json::Value {
        let vms = self.fleet.doc().vms.iter().map(|(vm, record)| {
            let minion = self.routes.get(&record.pool).and_then(|route| route.minions.get(vm));
            json!({
                "vm": vm,
                "pool": record.pool,
                "data_centre": record.data_centre,
                "state": state_name(&record.state),
                "presence": self.listing.get(vm).map(|listing| listing.presence),
                "slots_held": minion.map_or(0, |minion| minion.slots.ceiling()),
                "slots_in_use": minion.map_or(0, |minion| minion.slots.in_use()),
            })
        });
        let teams = self.teams.iter().map(|(team, writer)| {
            let limit = self.team_limits.get(team);
            json!({
                "team": team,
                "limit": writer.doc().allocations.capacity,
                "given": writer.doc().allocations.allocated(),
                "placed": writer.doc().placed_jobs(),
                "held_here": limit.map_or(0, |limit| limit.ceiling()),
                "in_use_here": limit.map_or(0, |limit| limit.in_use()),
            })
        });
        let responsive: Vec<DaemonId> = self.responsive_daemons();
        json!({
            "daemon": self.this_daemon().daemon,
            "incarnation": self.this_daemon().incarnation,
            "data_centre": self.identity.data_centre,
            "takes_work": self.check_work_allowed().err().map_or("yes", |reason| reason),
            "config_revision": self.config.revision(),
            "members": self.members.doc().members.keys().collect::<Vec<_>>(),
            "heard": responsive,
            "out_data_centres": self.config.doc().out_data_centres,
            "out_pools": self.config.doc().out_pools,
            "open_calls": self.calls.len(),
            "vms": vms.collect::<Vec<_>>(),
            "teams": teams.collect::<Vec<_>>(),
        })
    }
}

/// Maximum length of a job's command; bounds the size of the team's document.
const MAX_COMMAND_BYTES: usize = 256;

fn state_name(state: &VmState) -> &'static str {
    match state {
        VmState::Serving => "serving",
        VmState::Draining { .. } => "draining",
        VmState::Rebooting { .. } => "rebooting",
        VmState::Held => "held",
    }
}
