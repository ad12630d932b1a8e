//! Checks the history that callers, minions and workers saw against what must
//! always hold.

use std::collections::{BTreeMap, BTreeSet};

use coordination::{ControlAnswer, ReplyToken};
use state::{ConfigDoc, ConfigEdit, DataCentreId, Revision, TeamId, VmId};

use super::Heard;
use super::callers::{Call, Order};
use super::platform::Store;
use super::scenario::{FIRST_LIMIT, SLOTS, key_of};

/// "A few seconds" after an accepted change, from the stated 3 s.
const IN_FORCE_MS: u64 = 3_000;

/// One operator's change as the operator knows it.
struct SentChange {
    number: u64,
    edit: ConfigEdit,
    accepted: Option<u64>,
    written: Option<Revision>,
    refused: bool,
}

#[derive(Default)]
pub struct Checker {
    failures: Vec<String>,
    pub orders: Vec<Order>,
    pub calls: Vec<Call>,
    changes: Vec<SentChange>,
    controls: u64,
    accepted_revision: Revision,
    pub counts: BTreeMap<String, u64>,
    pub heard: BTreeMap<&'static str, u64>,
}

impl Checker {
    pub fn fail(&mut self, now: u64, text: String) {
        self.failures.push(format!("at {now} ms: {text}"));
    }

    pub fn has_failed(&self) -> bool {
        !self.failures.is_empty()
    }

    pub fn failures(&self) -> &[String] {
        &self.failures
    }

    pub fn count(&mut self, what: &str) {
        *self.counts.entry(what.to_owned()).or_default() += 1;
    }

    /// Control requests and callers' requests have tokens of their own.
    pub fn next_control(&mut self) -> u64 {
        self.controls += 1;
        (1 << 40) + self.controls
    }

    pub fn change_sent(&mut self, _now: u64, number: u64, edit: &ConfigEdit) {
        let edit = edit.clone();
        let change = SentChange { number, edit, accepted: None, written: None, refused: false };
        self.changes.push(change);
    }

    pub fn config_written(&mut self, now: u64, revision: Revision, value: &str) {
        let doc: ConfigDoc = serde_json::from_str(value).expect("a document");
        for name in &doc.changes {
            let is_it =
                |change: &&mut SentChange| format!("change-{}", change.number) == name.as_str();
            let Some(change) = self.changes.iter_mut().find(is_it) else { continue };
            if change.written.is_some() {
                continue;
            }
            change.written = Some(revision);
            if change.refused {
                let text =
                    format!("{name} was written after its operator heard that nothing changed");
                self.fail(now, text);
            }
        }
    }

    pub fn control_answered(&mut self, now: u64, token: ReplyToken, answer: &ControlAnswer) {
        let Some(change) = self.changes.iter_mut().find(|change| change.number == token.0) else {
            return;
        };
        match answer {
            ControlAnswer::InForce { revision } => {
                change.accepted = Some(now);
                self.accepted_revision = self.accepted_revision.max(*revision);
                self.count("change in force");
            }
            ControlAnswer::Committed { .. } => self.count("change committed only"),
            ControlAnswer::Refused(_) | ControlAnswer::Clash { .. } => {
                change.refused = true;
                if change.written.is_some() {
                    self.fail(now, "a written change was refused".to_owned());
                }
                self.count("change refused");
            }
            _ => self.count("change unknown"),
        }
    }

    pub fn heard(&mut self, now: u64, token: ReplyToken, heard: Heard, starts: u32) {
        let name = match heard {
            Heard::Done => "done",
            Heard::NotRun => "not run",
            Heard::Unknown => "unknown",
        };
        *self.heard.entry(name).or_default() += 1;
        if heard == Heard::NotRun && starts > 0 {
            self.fail(now, format!("{token:?} was said not to have run, and had"));
        }
    }

    pub fn team_of(&self, token: ReplyToken) -> TeamId {
        self.orders[self.calls[token.0 as usize].order].team.clone()
    }

    pub fn request_started(
        &mut self,
        now: u64,
        token: ReplyToken,
        vm: &VmId,
        centre: &DataCentreId,
    ) {
        self.count("request started");
        let call = &mut self.calls[token.0 as usize];
        call.starts += 1;
        let (order, heard, sent_at) = (call.order, call.heard, call.sent_at);
        if heard == Some(Heard::NotRun) {
            self.fail(now, format!("{token:?} ran after it was said not to have run"));
        }
        let starts: u32 =
            self.calls.iter().filter(|call| call.order == order).map(|call| call.starts).sum();
        if !self.orders[order].idempotent && starts > 1 {
            self.fail(now, format!("order {order} ran {starts} times, last on {vm}"));
        }
        self.check_data_centre(now, centre, &format!("{token:?} on {vm}"));
        self.check_key(now, order, sent_at);
    }

    /// Nothing starts in a data centre later than [`IN_FORCE_MS`] after it was
    /// taken out.
    pub fn check_data_centre(&mut self, now: u64, centre: &DataCentreId, what: &str) {
        let about = |edit: &ConfigEdit| match edit {
            ConfigEdit::DataCentre { data_centre, out } if data_centre == centre => Some(*out),
            _ => None,
        };
        if let Some(accepted) = self.surely_set(about, true)
            && now > accepted + IN_FORCE_MS
        {
            self.fail(now, format!("{what} started in {centre}, taken out at {accepted} ms"));
        }
    }

    /// No work is taken for a key withdrawn more than [`IN_FORCE_MS`] ago.
    fn check_key(&mut self, now: u64, order: usize, sent_at: u64) {
        let key = key_of(&self.orders[order].team).id().clone();
        let about = |edit: &ConfigEdit| match edit {
            ConfigEdit::WithdrawKey { key: about } if *about == key => Some(true),
            ConfigEdit::GiveKey { key: about, .. } if *about == key => Some(false),
            _ => None,
        };
        if let Some(accepted) = self.surely_set(about, true)
            && now > accepted + IN_FORCE_MS
        {
            let text = format!(
                "order {order}, sent at {sent_at} ms, ran for a key withdrawn at {accepted} ms"
            );
            self.fail(now, text);
        }
    }

    /// When the change that last set a switch to `value` was accepted, if no
    /// other change of the switch can have come after it.
    fn surely_set(&self, about: impl Fn(&ConfigEdit) -> Option<bool>, value: bool) -> Option<u64> {
        let of_it: Vec<(&SentChange, bool)> = self
            .changes
            .iter()
            .filter(|change| !change.refused)
            .filter_map(|change| about(&change.edit).map(|set| (change, set)))
            .collect();
        let latest = of_it.iter().filter(|(change, _)| change.accepted.is_some());
        let (latest, set) = latest.max_by_key(|(change, _)| change.written)?;
        let is_last = |(change, _): &&(&SentChange, bool)| {
            change.written.is_none_or(|written| Some(written) > latest.written)
        };
        let open = of_it.iter().filter(is_last).any(|(_, set)| *set != value);
        (*set == value && !open).then_some(latest.accepted).flatten()
    }

    pub fn check_slots(&mut self, now: u64, vm: &VmId, running: &[(ReplyToken, VmId)]) {
        let here: Vec<ReplyToken> =
            running.iter().filter(|(_, on)| on == vm).map(|(token, _)| *token).collect();
        if here.len() > SLOTS as usize {
            self.fail(now, format!("{vm} runs {} requests in {SLOTS} slots", here.len()));
        }
        let pools: BTreeSet<_> = here
            .iter()
            .map(|token| &self.orders[self.calls[token.0 as usize].order].pool)
            .collect();
        if pools.len() > 1 {
            self.fail(now, format!("{vm} runs requests of {} pools", pools.len()));
        }
    }

    /// A start leaves no team above the highest limit that may be in force: a
    /// change is in force [`IN_FORCE_MS`] after it was accepted, as the brief
    /// asks of every accepted configuration.
    pub fn check_limit(&mut self, now: u64, team: &TeamId, running: u32) {
        let limit_of = |change: &SentChange| match &change.edit {
            ConfigEdit::Teams { teams } => teams.get(team).map(|row| row.limit),
            _ => None,
        };
        let mut limit = FIRST_LIMIT;
        let mut written: Vec<&SentChange> =
            self.changes.iter().filter(|change| change.written.is_some()).collect();
        written.sort_by_key(|change| change.written);
        for change in written {
            let Some(set) = limit_of(change) else { continue };
            let in_force = change.accepted.is_some_and(|accepted| now > accepted + IN_FORCE_MS);
            limit = if in_force { set } else { limit.max(set) };
        }
        if running > limit {
            self.fail(now, format!("{team} has {running} running, and its limit is {limit}"));
        }
    }

    /// Every accepted change is in the configuration, in order.
    pub fn finish(&mut self, store: &Store) {
        let config: ConfigDoc = store.read("shared/config");
        let missing: Vec<String> = self
            .changes
            .iter()
            .filter(|change| change.accepted.is_some())
            .map(|change| format!("change-{}", change.number))
            .filter(|name| !config.changes.iter().any(|change| change.as_str() == name))
            .collect();
        for name in missing {
            self.fail(0, format!("{name} was accepted and is not in the configuration"));
        }
    }
}
