//! Checks the events that callers, operators, minions and workers observed
//! against the invariants of the system.
//!
//! The checker keeps all calls and configuration changes of one run, counts
//! events by name, and collects the violations in the order in which they were
//! found.

use std::collections::{BTreeMap, BTreeSet};

use coordination::{ControlAnswer, ReplyToken};
use state::{ConfigDoc, ConfigEdit, DataCentreId, Revision, TeamId, VmId};

use super::CallerAnswer;
use super::callers::{CallRecord, LogicalRequest};
use super::platform::FakePlatform;
use super::scenario::{INITIAL_TEAM_LIMIT, SLOTS_PER_MINION, key_of};

/// Time within which an accepted change must be in force everywhere. The requirement
/// says "a few seconds"; the stated figure is 3 s.
const MAX_ENFORCEMENT_DELAY_MS: u64 = 3_000;

/// A configuration change and its answer to the operator who sent it.
struct SentChange {
    /// Control number, which is also the reply token and part of the change's name.
    number: u64,
    edit: ConfigEdit,
    /// Time at which the change was reported to the operator as in force.
    accepted_ms: Option<u64>,
    /// Revision of the first configuration that contains the change.
    written_revision: Option<Revision>,
    /// Whether the operator was notified that the change was refused or in conflict.
    is_refused: bool,
}

/// Events of one run and the violations found among them.
#[derive(Default)]
pub struct Checker {
    violations: Vec<String>,
    /// Logical requests of all callers; a request's index is its number.
    pub logical_requests: Vec<LogicalRequest>,
    /// Calls of all callers; a call's index is its reply token.
    pub calls: Vec<CallRecord>,
    /// Configuration changes in the order of sending.
    changes: Vec<SentChange>,
    /// Number of control requests sent.
    control_count: u64,
    /// Highest revision that was reported to an operator as in force.
    accepted_revision: Revision,
    /// Number of events by name.
    pub counters: BTreeMap<String, u64>,
    /// Number of answers that callers received, by kind.
    pub answer_counts: BTreeMap<&'static str, u64>,
}

impl Checker {
    /// Adds a violation; any violation ends the run.
    pub fn record_violation(&mut self, now: u64, description: String) {
        self.violations.push(format!("at {now} ms: {description}"));
    }

    pub fn has_violations(&self) -> bool {
        !self.violations.is_empty()
    }

    pub fn violations(&self) -> &[String] {
        &self.violations
    }

    /// Adds 1 to the counter of an event.
    pub fn increment_counter(&mut self, name: &str) {
        *self.counters.entry(name.to_owned()).or_default() += 1;
    }

    /// Returns the number of the next control request. Control numbers start above 2^40, so
    /// that they differ from the call indices that serve as reply tokens of callers.
    pub fn next_control_number(&mut self) -> u64 {
        self.control_count += 1;
        (1 << 40) + self.control_count
    }

    /// Adds a change that an operator sends.
    pub fn record_change_sent(&mut self, _now: u64, number: u64, edit: &ConfigEdit) {
        let edit = edit.clone();
        let change = SentChange {
            number,
            edit,
            accepted_ms: None,
            written_revision: None,
            is_refused: false,
        };
        self.changes.push(change);
    }

    /// Records which changes a written configuration contains for the first time.
    pub fn record_config_write(&mut self, now: u64, revision: Revision, value: &str) {
        let config: ConfigDoc = serde_json::from_str(value).expect("the value is a valid document");
        for name in &config.changes {
            let is_named =
                |change: &&mut SentChange| format!("change-{}", change.number) == name.as_str();
            let Some(change) = self.changes.iter_mut().find(is_named) else { continue };
            if change.written_revision.is_some() {
                continue;
            }
            change.written_revision = Some(revision);
            if change.is_refused {
                let description =
                    format!("{name} was written after its operator was told that nothing changed");
                self.record_violation(now, description);
            }
        }
    }

    /// Records the answer to a configuration change; other control answers are ignored.
    pub fn record_control_answer(&mut self, now: u64, token: ReplyToken, answer: &ControlAnswer) {
        let Some(change) = self.changes.iter_mut().find(|change| change.number == token.0) else {
            return;
        };
        match answer {
            ControlAnswer::InForce { revision } => {
                change.accepted_ms = Some(now);
                self.accepted_revision = self.accepted_revision.max(*revision);
                self.increment_counter("change in force");
            }
            ControlAnswer::Committed { .. } => self.increment_counter("change committed only"),
            ControlAnswer::Refused(_) | ControlAnswer::Clash { .. } => {
                change.is_refused = true;
                if change.written_revision.is_some() {
                    self.record_violation(
                        now,
                        "a written change was answered as refused".to_owned(),
                    );
                }
                self.increment_counter("change refused");
            }
            _ => self.increment_counter("change unknown"),
        }
    }

    /// Counts an answer that a caller received, and checks that a request answered as not run
    /// has not started. `start_count` is the number of starts for this call.
    pub fn record_answer(
        &mut self,
        now: u64,
        token: ReplyToken,
        answer: CallerAnswer,
        start_count: u32,
    ) {
        let name = match answer {
            CallerAnswer::Done => "done",
            CallerAnswer::NotRun => "not run",
            CallerAnswer::Unknown => "unknown",
        };
        *self.answer_counts.entry(name).or_default() += 1;
        if answer == CallerAnswer::NotRun && start_count > 0 {
            self.record_violation(
                now,
                format!("{token:?} was answered as not run, but it had started"),
            );
        }
    }

    /// Returns the team whose caller made a call.
    pub fn team_of_call(&self, token: ReplyToken) -> TeamId {
        self.logical_requests[self.calls[token.0 as usize].request_index].team.clone()
    }

    /// Checks that a started request was not answered as not run, runs at most once unless it is
    /// idempotent, is in a data centre in use, and has a valid key.
    pub fn record_request_start(
        &mut self,
        now: u64,
        token: ReplyToken,
        vm: &VmId,
        data_centre: &DataCentreId,
    ) {
        self.increment_counter("request started");
        let call = &mut self.calls[token.0 as usize];
        call.start_count += 1;
        let (request_index, answer, sent_at_ms) =
            (call.request_index, call.answer, call.sent_at_ms);
        if answer == Some(CallerAnswer::NotRun) {
            self.record_violation(
                now,
                format!("{token:?} started after it was answered as not run"),
            );
        }
        let start_count: u32 = self
            .calls
            .iter()
            .filter(|call| call.request_index == request_index)
            .map(|call| call.start_count)
            .sum();
        if !self.logical_requests[request_index].is_idempotent && start_count > 1 {
            self.record_violation(
                now,
                format!(
                    "logical request {request_index} is not idempotent but started \
                     {start_count} times, last on {vm}"
                ),
            );
        }
        self.check_data_centre(now, data_centre, &format!("{token:?} on {vm}"));
        self.check_key(now, request_index, sent_at_ms);
    }

    /// Checks that no work starts in a data centre that was taken out more than
    /// [`MAX_ENFORCEMENT_DELAY_MS`] ago.
    pub fn check_data_centre(&mut self, now: u64, vm_data_centre: &DataCentreId, work: &str) {
        let value_set_by = |edit: &ConfigEdit| match edit {
            ConfigEdit::DataCentre { data_centre, out } if data_centre == vm_data_centre => {
                Some(*out)
            }
            _ => None,
        };
        if let Some(accepted_ms) = self.find_settled_acceptance_time(value_set_by, true)
            && now > accepted_ms + MAX_ENFORCEMENT_DELAY_MS
        {
            self.record_violation(
                now,
                format!(
                    "{work} started in {vm_data_centre}, which was taken out at {accepted_ms} ms"
                ),
            );
        }
    }

    /// Checks that no request starts with a key that was withdrawn more than
    /// [`MAX_ENFORCEMENT_DELAY_MS`] ago.
    fn check_key(&mut self, now: u64, request_index: usize, sent_at_ms: u64) {
        let key = key_of(&self.logical_requests[request_index].team).id().clone();
        let value_set_by = |edit: &ConfigEdit| match edit {
            ConfigEdit::WithdrawKey { key: set_key } if *set_key == key => Some(true),
            ConfigEdit::GiveKey { key: set_key, .. } if *set_key == key => Some(false),
            _ => None,
        };
        if let Some(accepted_ms) = self.find_settled_acceptance_time(value_set_by, true)
            && now > accepted_ms + MAX_ENFORCEMENT_DELAY_MS
        {
            let description = format!(
                "logical request {request_index}, sent at {sent_at_ms} ms, \
                 started with a key that was withdrawn at {accepted_ms} ms"
            );
            self.record_violation(now, description);
        }
    }

    /// Returns the time at which the latest accepted change of a switch was accepted, if that
    /// change set the switch to `value` and no later change can have set it otherwise.
    ///
    /// `value_set_by` returns the value to which an edit sets the switch, if the edit sets it. A
    /// change that is not known to be written counts as later, since the write may still follow.
    fn find_settled_acceptance_time(
        &self,
        value_set_by: impl Fn(&ConfigEdit) -> Option<bool>,
        value: bool,
    ) -> Option<u64> {
        let switch_changes: Vec<(&SentChange, bool)> = self
            .changes
            .iter()
            .filter(|change| !change.is_refused)
            .filter_map(|change| value_set_by(&change.edit).map(|value_set| (change, value_set)))
            .collect();
        let accepted_changes =
            switch_changes.iter().filter(|(change, _)| change.accepted_ms.is_some());
        let (latest, latest_value) =
            accepted_changes.max_by_key(|(change, _)| change.written_revision)?;
        let may_follow_latest = |(change, _): &&(&SentChange, bool)| {
            change.written_revision.is_none_or(|revision| Some(revision) > latest.written_revision)
        };
        let may_be_overridden = switch_changes
            .iter()
            .filter(may_follow_latest)
            .any(|(_, value_set)| *value_set != value);
        (*latest_value == value && !may_be_overridden).then_some(latest.accepted_ms).flatten()
    }

    /// Checks that the requests on a minion fit its slots and belong to one pool.
    pub fn check_slots(&mut self, now: u64, vm: &VmId, running_requests: &[(ReplyToken, VmId)]) {
        let running_here: Vec<ReplyToken> = running_requests
            .iter()
            .filter(|(_, running_vm)| running_vm == vm)
            .map(|(token, _)| *token)
            .collect();
        if running_here.len() > SLOTS_PER_MINION as usize {
            self.record_violation(
                now,
                format!("{vm} runs {} requests in {SLOTS_PER_MINION} slots", running_here.len()),
            );
        }
        let pools: BTreeSet<_> = running_here
            .iter()
            .map(|token| &self.logical_requests[self.calls[token.0 as usize].request_index].pool)
            .collect();
        if pools.len() > 1 {
            self.record_violation(now, format!("{vm} runs requests of {} pools", pools.len()));
        }
    }

    /// Checks that a start leaves a team at or below the highest limit that may be in force.
    ///
    /// A change of the limit must be in force [`MAX_ENFORCEMENT_DELAY_MS`] after it was accepted,
    /// as the requirements ask of every accepted configuration; until then the old limit may
    /// still apply.
    pub fn check_limit(&mut self, now: u64, team: &TeamId, running_count: u32) {
        let limit_set_by = |change: &SentChange| match &change.edit {
            ConfigEdit::Teams { teams } => teams.get(team).map(|plan| plan.limit),
            _ => None,
        };
        let mut limit = INITIAL_TEAM_LIMIT;
        let mut written_changes: Vec<&SentChange> =
            self.changes.iter().filter(|change| change.written_revision.is_some()).collect();
        written_changes.sort_by_key(|change| change.written_revision);
        for change in written_changes {
            let Some(new_limit) = limit_set_by(change) else { continue };
            let is_in_force = change
                .accepted_ms
                .is_some_and(|accepted_ms| now > accepted_ms + MAX_ENFORCEMENT_DELAY_MS);
            limit = if is_in_force { new_limit } else { limit.max(new_limit) };
        }
        if running_count > limit {
            self.record_violation(
                now,
                format!(
                    "{team} has {running_count} requests and tasks running; its limit is {limit}"
                ),
            );
        }
    }

    /// Checks at the end of a run that the configuration names every accepted change.
    pub fn check_accepted_changes(&mut self, platform: &FakePlatform) {
        let config: ConfigDoc = platform.read("shared/config");
        let missing_changes: Vec<String> = self
            .changes
            .iter()
            .filter(|change| change.accepted_ms.is_some())
            .map(|change| format!("change-{}", change.number))
            .filter(|name| !config.changes.iter().any(|change| change.as_str() == name))
            .collect();
        for name in missing_changes {
            self.record_violation(
                0,
                format!("{name} was accepted but is not in the final configuration"),
            );
        }
    }
}
