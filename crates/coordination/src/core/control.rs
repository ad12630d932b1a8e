//! What operators and submitters ask.

use serde_json::json;
use state::{
    DaemonId, JobId, JobRecord, JobSpec, JobState, KeyText, Moment, Revision, TeamId, VmId, VmState,
};

use super::Core;
use super::calls::refusal;
use crate::contact::ChangeWait;
use crate::document::{Finished, Withdrawal};
use crate::event::{
    ControlAnswer, ControlRequest, Decision, Refusal, RefusalKind, ReplyToken, VmAction,
};
use crate::mutate::config::{ConfigMutation, ConfigResult};
use crate::mutate::fleet::{FleetMutation, FleetResult};
use crate::mutate::team::{TeamMutation, TeamResult};
use crate::timing::CHANGE_WAIT;

/// Someone who waits for an answer.
#[derive(Debug, Clone)]
pub(crate) struct PendingControl {
    token: ReplyToken,
    deadline: Moment,
    wait: ControlWait,
}

#[derive(Debug, Clone)]
enum ControlWait {
    /// A change is not known to be committed.
    Commit(state::ChangeId),
    /// A change is committed and not known to be in force.
    Force { wait: ChangeWait, committed: Moment, change: state::ChangeId },
    /// A VM's record is being changed.
    Vm(VmId),
    /// A job's record is being changed.
    Job(TeamId, JobId),
    /// A job's record is being read.
    Look(TeamId, JobId),
}

impl Core {
    pub(super) fn control(&mut self, token: ReplyToken, request: ControlRequest) {
        if request.is_submitters()
            && let Err(refused) = self.check_accepting()
        {
            return self.answer(token, ControlAnswer::Refused(refused));
        }
        match request {
            ControlRequest::Change { change, expect, edits } => {
                self.wait_for(token, ControlWait::Commit(change.clone()));
                self.config.submit(ConfigMutation { change, expect, edits });
            }
            ControlRequest::Config => self.answer_config(token),
            ControlRequest::Status => {
                let status = self.status();
                self.answer(token, ControlAnswer::Document(status));
            }
            ControlRequest::Measures => {
                let measures = serde_json::to_value(&self.measures).expect("counters are JSON");
                self.answer(token, ControlAnswer::Document(measures));
            }
            ControlRequest::Vm { vm, action } => self.act_on_vm(token, vm, action),
            ControlRequest::Submit { key, job, spec } => self.submit_job(token, key, job, spec),
            ControlRequest::Job { key, job } => self.show_job(token, key, &job),
            ControlRequest::Cancel { key, job } => self.cancel_job(token, key, job),
        }
    }

    fn wait_for(&mut self, token: ReplyToken, wait: ControlWait) {
        let deadline = self.now() + CHANGE_WAIT;
        self.controls.push(PendingControl { token, deadline, wait });
    }

    fn answer_config(&mut self, token: ReplyToken) {
        let document = json!({
            "revision": self.config.revision(),
            "config": self.config.doc(),
        });
        self.answer(token, ControlAnswer::Document(document));
    }

    pub(super) fn changes_finished(
        &mut self,
        finished: Vec<Finished<ConfigMutation, ConfigResult>>,
    ) {
        for Finished { mutation, result } in finished {
            self.change_finished(&mutation, result);
        }
    }

    fn change_finished(&mut self, mutation: &ConfigMutation, result: ConfigResult) {
        let revision = self.config.revision();
        let is_this = |wait: &ControlWait| matches!(wait, ControlWait::Commit(change) if *change == mutation.change);
        match result {
            ConfigResult::Applied => {
                let committed = self.now();
                for pending in self.controls.iter_mut().filter(|pending| is_this(&pending.wait)) {
                    let change = mutation.change.clone();
                    let wait = ChangeWait::new(revision);
                    pending.wait = ControlWait::Force { wait, committed, change };
                }
                self.log_change(&mutation.change, "committed", revision);
                self.push_config();
                self.fleet.submit(FleetMutation::Follow { config: revision });
            }
            ConfigResult::Invalid(reasons) => {
                self.clash(is_this, reasons, revision);
            }
            ConfigResult::Overtaken { latest } => {
                let latest = latest.map_or("none".to_owned(), |change| change.to_string());
                let reason = format!("another change came in between: {latest}").into();
                self.clash(is_this, vec![reason], revision);
            }
        }
    }

    fn clash(
        &mut self,
        is_this: impl Fn(&ControlWait) -> bool,
        reasons: Vec<Box<str>>,
        revision: Revision,
    ) {
        for token in self.take_controls(is_this) {
            let reasons = reasons.clone();
            self.answer(token, ControlAnswer::Clash { reasons, revision });
        }
    }

    fn take_controls(&mut self, is_this: impl Fn(&ControlWait) -> bool) -> Vec<ReplyToken> {
        let (taken, kept): (Vec<_>, Vec<_>) = std::mem::take(&mut self.controls)
            .into_iter()
            .partition(|pending| is_this(&pending.wait));
        self.controls = kept;
        taken.into_iter().map(|pending| pending.token).collect()
    }

    fn log_change(&mut self, change: &state::ChangeId, choice: &str, revision: Revision) {
        self.log(Decision {
            subject: "change",
            id: change.as_str().into(),
            team: None,
            pool: None,
            choice: choice.into(),
            reason: format!("configuration revision {revision}").into(),
        });
    }

    /// Answers everyone whose wait is over.
    pub(super) fn run_controls(&mut self) {
        let mut kept = Vec::new();
        for mut pending in std::mem::take(&mut self.controls) {
            if !self.finish_control(&mut pending) {
                kept.push(pending);
            }
        }
        self.controls.extend(kept);
    }

    fn finish_control(&mut self, pending: &mut PendingControl) -> bool {
        let now = self.now();
        let is_late = now >= pending.deadline;
        if let ControlWait::Force { wait, committed, change } = &mut pending.wait {
            let waiting = wait.waiting(
                now,
                &self.identity.me.daemon,
                self.members.doc(),
                self.members.revision(),
                &self.contacts,
            );
            let (revision, change, committed) = (wait.revision, change.clone(), *committed);
            if waiting.is_empty() && self.fleet.doc().config >= revision {
                self.measures.last_rollout_ms = self.since(committed);
                self.log_change(&change, "in force", revision);
                self.answer(pending.token, ControlAnswer::InForce { revision });
                return true;
            }
            if is_late {
                self.answer(pending.token, ControlAnswer::Committed { revision, waiting });
            }
            return is_late;
        }
        if is_late {
            let answer = self.withdraw(&pending.wait);
            self.answer(pending.token, answer);
        }
        is_late
    }

    /// Gives up a change that was not written in time, so that it cannot undo a
    /// later one.
    fn withdraw(&mut self, wait: &ControlWait) -> ControlAnswer {
        let fate = match wait {
            ControlWait::Commit(change) => {
                self.config.withdraw(|mutation| mutation.change == *change)
            }
            ControlWait::Vm(vm) => self.fleet.withdraw(|mutation| mutation.vm() == Some(vm)),
            ControlWait::Job(team, job) => self.team_writer(team).withdraw(|mutation| {
                matches!(mutation, TeamMutation::Add { job: asked, .. }
                    | TeamMutation::Cancel { job: asked, .. } if asked == job)
            }),
            ControlWait::Force { .. } | ControlWait::Look(..) => Withdrawal::NotWritten,
        };
        match fate {
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

    fn act_on_vm(&mut self, token: ReplyToken, vm: VmId, action: VmAction) {
        let record = self.fleet.doc().vms.get(&vm).cloned();
        let Some(record) = record else {
            let refused = refusal(RefusalKind::Invalid, format!("there is no VM {vm}"));
            return self.answer(token, ControlAnswer::Refused(refused));
        };
        if let VmAction::Move { to } = &action
            && !self.config.doc().pools.contains_key(to)
        {
            let refused = refusal(RefusalKind::Invalid, format!("there is no pool {to}"));
            return self.answer(token, ControlAnswer::Refused(refused));
        }
        let budget = self.budget(&record.pool);
        let (vm, same_pool) = (vm.clone(), record.pool.clone());
        let mutation = match action {
            VmAction::Drain => {
                FleetMutation::Drain { vm: vm.clone(), reboot: false, to: same_pool, budget }
            }
            VmAction::Reboot => {
                FleetMutation::Drain { vm: vm.clone(), reboot: true, to: same_pool, budget }
            }
            VmAction::Move { to } => {
                FleetMutation::Drain { vm: vm.clone(), reboot: true, to, budget }
            }
            VmAction::Return => FleetMutation::Release { vm: vm.clone() },
        };
        self.wait_for(token, ControlWait::Vm(vm));
        self.fleet.submit(mutation);
    }

    pub(super) fn vm_change_finished(&mut self, mutation: &FleetMutation, result: FleetResult) {
        let by_operator =
            matches!(mutation, FleetMutation::Drain { .. } | FleetMutation::Release { .. });
        if !by_operator {
            return;
        }
        let Some(vm) = mutation.vm().cloned() else { return };
        let is_this =
            |wait: &ControlWait| matches!(wait, ControlWait::Vm(waiting) if *waiting == vm);
        for token in self.take_controls(is_this) {
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
            self.answer(token, answer);
        }
    }

    fn submitter(&self, key: Option<&KeyText>) -> Result<TeamId, Refusal> {
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
            .and_then(|_| self.submitter(key.as_ref()))
            .and_then(|team| self.check_spec(&spec).map(|()| team));
        let team = match checked {
            Ok(team) => team,
            Err(refused) => return self.answer(token, ControlAnswer::Refused(refused)),
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
        self.wait_for(token, ControlWait::Job(team.clone(), job.clone()));
        self.submit_team(&team, TeamMutation::Add { job, record });
    }

    fn check_spec(&self, spec: &JobSpec) -> Result<(), Refusal> {
        if spec.command.len() > MOST_COMMAND_BYTES {
            let reason = format!("a job's command has at most {MOST_COMMAND_BYTES} bytes");
            return Err(refusal(RefusalKind::Invalid, reason));
        }
        Ok(())
    }

    fn cancel_job(&mut self, token: ReplyToken, key: Option<KeyText>, job: JobId) {
        match self.submitter(key.as_ref()) {
            Ok(team) => {
                self.wait_for(token, ControlWait::Job(team.clone(), job.clone()));
                let wall_ms = self.clock.wall_ms;
                self.submit_team(&team, TeamMutation::Cancel { job, wall_ms });
            }
            Err(refused) => self.answer(token, ControlAnswer::Refused(refused)),
        }
    }

    pub(super) fn job_change_finished(
        &mut self,
        team: &TeamId,
        mutation: &TeamMutation,
        result: &TeamResult,
    ) {
        let (TeamMutation::Add { job, .. } | TeamMutation::Cancel { job, .. }) = mutation else {
            return;
        };
        let is_this = |wait: &ControlWait| matches!(wait, ControlWait::Job(of, waiting) if of == team && waiting == job);
        for token in self.take_controls(is_this) {
            let answer = match result {
                TeamResult::Applied => self.job_document(team, job),
                TeamResult::NoRoom => ControlAnswer::Refused(refusal(
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
            self.answer(token, answer);
        }
    }

    fn show_job(&mut self, token: ReplyToken, key: Option<KeyText>, job: &JobId) {
        match self.submitter(key.as_ref()) {
            Ok(team) => {
                self.refresh_team(&team);
                self.wait_for(token, ControlWait::Look(team, job.clone()));
            }
            Err(refused) => self.answer(token, ControlAnswer::Refused(refused)),
        }
    }

    /// Answers those who look up jobs of a team whose document was just read.
    pub(super) fn show_looked_up(&mut self, team: &TeamId) {
        let mut jobs = Vec::new();
        self.controls.retain(|pending| match &pending.wait {
            ControlWait::Look(of, job) if of == team => {
                jobs.push((pending.token, job.clone()));
                false
            }
            _ => true,
        });
        for (token, job) in jobs {
            let answer = self.job_document(team, &job);
            self.answer(token, answer);
        }
    }

    fn job_document(&self, team: &TeamId, job: &JobId) -> ControlAnswer {
        let record = self.teams.get(team).and_then(|writer| writer.doc().jobs.get(job));
        match record {
            Some(record) => ControlAnswer::Document(json!({ "job": job, "record": record })),
            None => ControlAnswer::Refused(refusal(RefusalKind::Invalid, "there is no such job")),
        }
    }

    fn status(&self) -> serde_json::Value {
        let vms = self.fleet.doc().vms.iter().map(|(vm, record)| {
            let in_use = self.routes.get(&record.pool).and_then(|route| route.minions.get(vm));
            json!({
                "vm": vm,
                "pool": record.pool,
                "data_centre": record.data_centre,
                "state": state_name(&record.state),
                "presence": self.listing.get(vm).map(|listing| listing.presence),
                "slots_held": in_use.map_or(0, |minion| minion.slots.ceiling()),
                "slots_in_use": in_use.map_or(0, |minion| minion.slots.in_use()),
            })
        });
        let teams = self.teams.iter().map(|(team, writer)| {
            let limit = self.team_limits.get(team);
            json!({
                "team": team,
                "limit": writer.doc().allocations.capacity,
                "given": writer.doc().allocations.allocated(),
                "placed": writer.doc().placed(),
                "held_here": limit.map_or(0, |limit| limit.ceiling()),
                "in_use_here": limit.map_or(0, |limit| limit.in_use()),
            })
        });
        let heard: Vec<DaemonId> = self.heard_daemons();
        json!({
            "daemon": self.me().daemon,
            "incarnation": self.me().incarnation,
            "data_centre": self.identity.data_centre,
            "takes_work": self.work_permit().err().map_or("yes", |reason| reason),
            "config_revision": self.config.revision(),
            "members": self.members.doc().members.keys().collect::<Vec<_>>(),
            "heard": heard,
            "out_data_centres": self.config.doc().out_data_centres,
            "out_pools": self.config.doc().out_pools,
            "open_calls": self.calls.len(),
            "vms": vms.collect::<Vec<_>>(),
            "teams": teams.collect::<Vec<_>>(),
        })
    }
}

/// Longest command of a job; it bounds the team's document.
const MOST_COMMAND_BYTES: usize = 256;

fn state_name(state: &VmState) -> &'static str {
    match state {
        VmState::Serving => "serving",
        VmState::Draining { .. } => "draining",
        VmState::Rebooting { .. } => "rebooting",
        VmState::Held => "held",
    }
}
