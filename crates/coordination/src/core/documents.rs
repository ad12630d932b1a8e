//! Joining, watching, and moving documents' calls and answers.

use state::{DaemonRef, MemberRecord, Millis, Moment, PoolId, Revision, TeamId, verify};

use super::Core;
use crate::document::{DocumentWriter, Finished};
use crate::event::{PlatformAnswer, PlatformRequest, StoredValue};
use crate::frame::LimitName;
use crate::mutate::claim;
use crate::mutate::member::MemberMutation;
use crate::mutate::slot::{self, SlotMutation};
use crate::mutate::team::{self, TeamMutation};
use crate::timing::{HOLDER_QUARANTINE, LISTING_PERIOD, STOP_WAIT, STORE_PAUSE, STORE_PAUSE_MAX};

const SHARED_PREFIX: &str = "shared/";

/// One document.
#[derive(Debug, Clone, PartialEq, Eq, PartialOrd, Ord)]
pub(crate) enum DocRef {
    Config,
    Members,
    Fleet,
    Team(TeamId),
    Slots(PoolId),
    Claims(u32),
}

/// What a call to the platform was for.
#[derive(Debug, Clone, PartialEq, Eq)]
pub(crate) enum PlatformPurpose {
    Document(DocRef),
    Watch { sent: Moment },
    Listing,
    Reboot,
}

/// How far the watch on shared documents has come.
#[derive(Debug, Clone, Default)]
pub(crate) struct WatchState {
    head: Revision,
    waiting: bool,
    failures: u32,
    resume_at: Moment,
}

impl Core {
    /// Joins, and joins again if another decided that this daemon is gone.
    pub(super) fn keep_joined(&mut self) {
        if self.stopping || !self.members.is_known() {
            return;
        }
        let me = self.me().clone();
        let known = self.members.doc().members.get(&me.daemon);
        let newer_run = known.is_some_and(|record| record.incarnation > me.incarnation);
        let was_joined = self.joined;
        self.joined = known.is_some_and(|record| record.incarnation == me.incarnation);
        if was_joined && !self.joined {
            self.forget_parts();
        }
        let asked = self.members.pending().next().is_some();
        if self.joined || newer_run || asked {
            return;
        }
        let record = MemberRecord {
            incarnation: me.incarnation,
            vm: self.identity.vm.clone(),
            data_centre: self.identity.data_centre.clone(),
            peer_address: self.identity.peer_address.clone(),
        };
        self.members.submit(MemberMutation::Join { daemon: me.daemon, record });
    }

    /// Keeps one watch waiting, and reads the list of VMs.
    pub(super) fn keep_watching(&mut self) {
        if !self.watch.waiting && self.now() >= self.watch.resume_at {
            self.watch.waiting = true;
            let request =
                PlatformRequest::Watch { prefix: SHARED_PREFIX.into(), after: self.watch.head };
            self.call_platform(PlatformPurpose::Watch { sent: self.now() }, request);
        }
        if self.now() >= self.listing_due {
            self.listing_due = self.now() + LISTING_PERIOD;
            self.call_platform(PlatformPurpose::Listing, PlatformRequest::ListVms);
        }
    }

    pub(super) fn platform_answered(&mut self, call: crate::event::IoCall, answer: PlatformAnswer) {
        let Some(purpose) = self.platform_calls.remove(&call) else { return };
        match purpose {
            PlatformPurpose::Document(doc) => self.document_answered(&doc, answer),
            PlatformPurpose::Watch { sent } => self.watch_answered(sent, answer),
            PlatformPurpose::Listing => self.listing_answered(answer),
            PlatformPurpose::Reboot => {}
        }
    }

    fn watch_answered(&mut self, sent: Moment, answer: PlatformAnswer) {
        self.watch.waiting = false;
        let PlatformAnswer::Changes { head, values } = answer else {
            self.watch.failures += 1;
            let pause = STORE_PAUSE.0 << self.watch.failures.min(4);
            self.watch.resume_at = self.now() + Millis(pause.min(STORE_PAUSE_MAX.0));
            return;
        };
        self.watch.failures = 0;
        self.watch.head = self.watch.head.max(head);
        for value in &values {
            self.shared_changed(value);
        }
        self.contacts.platform_answered(sent);
        self.keep_watching();
    }

    fn shared_changed(&mut self, value: &StoredValue) {
        match &*value.key {
            "shared/config" => self.learn_config(value.revision, &value.value),
            "shared/members" => {
                let before = self.members.doc().clone();
                self.members.observe(value.revision, &value.value);
                let found = verify::members(self.members.doc(), &before);
                self.check(found);
                let members = self.members.doc().members.clone();
                self.shares.retain_peers(|peer| members.contains_key(peer));
            }
            "shared/fleet" => {
                self.fleet.observe(value.revision, &value.value);
                self.fleet_changed();
            }
            _ => {}
        }
    }

    /// Takes a configuration, from the platform or from a peer; never an older
    /// one than is in use.
    pub(super) fn learn_config(&mut self, revision: Revision, value: &str) {
        if revision <= self.config.revision() {
            return;
        }
        self.config.observe(revision, value);
        self.config_changed();
    }

    /// Brings everything that hangs on the configuration in line with it.
    pub(super) fn config_changed(&mut self) {
        let found = verify::config(self.config.doc());
        self.check(found);
        self.last_config = self.config.revision();
        let revision = self.config.revision();
        let config = self.config.doc().clone();
        for (team, plan) in &config.teams {
            let writer = self.team_writer(team);
            if writer.doc().limit_revision < revision {
                writer.submit(TeamMutation::SetLimit { limit: plan.limit, revision });
                self.dirty.insert(DocRef::Team(team.clone()));
            }
            self.observe_team(team);
        }
        for pool in config.pools.keys() {
            self.slot_writer(pool);
            self.dirty.insert(DocRef::Slots(pool.clone()));
        }
        self.refuse_withdrawn();
        self.beat_now();
    }

    pub(super) fn team_writer(
        &mut self,
        team: &TeamId,
    ) -> &mut DocumentWriter<state::TeamDoc, TeamMutation, team::TeamResult> {
        self.teams
            .entry(team.clone())
            .or_insert_with(|| DocumentWriter::new(&format!("team/{team}"), team::apply))
    }

    pub(super) fn slot_writer(
        &mut self,
        pool: &PoolId,
    ) -> &mut DocumentWriter<state::SlotDoc, SlotMutation, ()> {
        self.slots
            .entry(pool.clone())
            .or_insert_with(|| DocumentWriter::new(&format!("slots/{pool}"), slot::apply))
    }

    pub(super) fn claim_writer(
        &mut self,
        shard: u32,
    ) -> &mut DocumentWriter<state::ClaimDoc, claim::ClaimMutation, claim::ClaimResult> {
        self.claims
            .entry(shard)
            .or_insert_with(|| DocumentWriter::new(&format!("claims/{shard}"), claim::apply))
    }

    pub(super) fn submit_team(&mut self, team: &TeamId, mutation: TeamMutation) {
        self.team_writer(team).submit(mutation);
        self.dirty.insert(DocRef::Team(team.clone()));
    }

    pub(super) fn submit_slots(&mut self, pool: &PoolId, mutation: SlotMutation) {
        self.slot_writer(pool).submit(mutation);
        self.dirty.insert(DocRef::Slots(pool.clone()));
    }

    /// Lets every document with something to do make its next call.
    pub(super) fn poll_documents(&mut self) {
        for doc in [DocRef::Config, DocRef::Members, DocRef::Fleet] {
            self.poll_document(&doc);
        }
        let dirty = std::mem::take(&mut self.dirty);
        for doc in dirty {
            self.poll_document(&doc);
            if self.has_work(&doc) {
                self.dirty.insert(doc);
            }
        }
    }

    fn has_work(&self, doc: &DocRef) -> bool {
        match doc {
            DocRef::Team(team) => self.teams[team].has_work(),
            DocRef::Slots(pool) => self.slots[pool].has_work(),
            DocRef::Claims(shard) => self.claims[shard].has_work(),
            _ => false,
        }
    }

    fn poll_document(&mut self, doc: &DocRef) {
        let now = self.now();
        let request = match doc {
            DocRef::Config => self.poll_config(now),
            DocRef::Members => self.members.poll(now).0,
            DocRef::Fleet => self.poll_fleet(now),
            DocRef::Team(team) => self.poll_team(now, &team.clone()),
            DocRef::Slots(pool) => self.slot_writer(&pool.clone()).poll(now).0,
            DocRef::Claims(shard) => self.poll_claims(now, *shard),
        };
        if let Some(request) = request {
            self.check_write(doc);
            self.call_platform(PlatformPurpose::Document(doc.clone()), request);
        }
    }

    fn poll_config(&mut self, now: Moment) -> Option<PlatformRequest> {
        let (request, finished) = self.config.poll(now);
        self.changes_finished(finished);
        request
    }

    fn poll_fleet(&mut self, now: Moment) -> Option<PlatformRequest> {
        self.renew_budgets();
        let (request, finished) = self.fleet.poll(now);
        self.fleet_finished(finished);
        request
    }

    fn poll_team(&mut self, now: Moment, team: &TeamId) -> Option<PlatformRequest> {
        let (request, finished) = self.team_writer(team).poll(now);
        self.team_finished(team, finished);
        request
    }

    fn poll_claims(&mut self, now: Moment, shard: u32) -> Option<PlatformRequest> {
        let (request, finished) = self.claim_writer(shard).poll(now);
        self.claims_finished(finished);
        request
    }

    fn document_answered(&mut self, doc: &DocRef, answer: PlatformAnswer) {
        let now = self.now();
        match doc {
            DocRef::Config => {
                let finished = self.config.answered(now, answer);
                if self.config.revision() > self.last_config {
                    self.config_changed();
                }
                self.changes_finished(finished);
            }
            DocRef::Members => {
                self.members.answered(now, answer);
                self.keep_joined();
            }
            DocRef::Fleet => {
                let finished = self.fleet.answered(now, answer);
                self.fleet_changed();
                self.fleet_finished(finished);
            }
            DocRef::Team(team) => self.team_answered(team, answer),
            DocRef::Slots(pool) => {
                let finished = self.slot_writer(pool).answered(now, answer);
                self.observe_slots(pool);
                self.slots_finished(pool, &finished);
                self.dispatch(pool);
            }
            DocRef::Claims(shard) => {
                let finished = self.claim_writer(*shard).answered(now, answer);
                self.claims_finished(finished);
            }
        }
        self.dirty.insert(doc.clone());
    }

    fn slots_finished(&mut self, pool: &PoolId, finished: &[Finished<SlotMutation, ()>]) {
        let moved = finished.iter().filter_map(|change| match &change.mutation {
            SlotMutation::MovePart { to, .. } => Some(to.clone()),
            _ => None,
        });
        let receivers: std::collections::BTreeSet<DaemonRef> = moved.collect();
        for to in receivers {
            self.tell_moved(LimitName::Slots(pool.clone()), &to);
        }
    }

    fn team_answered(&mut self, team: &TeamId, answer: PlatformAnswer) {
        let now = self.now();
        let finished = self.team_writer(team).answered(now, answer);
        self.observe_team(team);
        self.team_finished(team, finished);
        self.show_looked_up(team);
        self.dispatch_all();
    }

    /// Runs the verifier on a write before it is sent.
    fn check_write(&mut self, doc: &DocRef) {
        let found = match doc {
            DocRef::Team(team) => {
                let proposed = self.teams[team].proposed();
                proposed.map(|(before, next)| verify::team(next, Some(before)))
            }
            DocRef::Slots(pool) => {
                let proposed = self.slots[pool].proposed();
                proposed.map(|(before, next)| verify::slots(next, Some(before)))
            }
            DocRef::Members => {
                let proposed = self.members.proposed();
                proposed.map(|(before, next)| verify::members(next, before))
            }
            DocRef::Config => self.config.proposed().map(|(_, next)| verify::config(next)),
            DocRef::Fleet | DocRef::Claims(_) => None,
        };
        self.check(found.unwrap_or_default());
    }

    /// Frees what runs of daemons held that have ended for certain: a newer run
    /// has joined, or the platform does not list the VM, and since then the
    /// longest request has had time to end.
    pub(super) fn free_lost_holders(&mut self) {
        let now = self.now();
        let holders = self.known_holders();
        self.gone_since.retain(|holder, _| holders.contains(holder));
        let mut expired = Vec::new();
        for holder in holders {
            if self.members.doc().has(&holder.daemon, holder.incarnation) {
                self.gone_since.remove(&holder);
                continue;
            }
            let since = *self.gone_since.entry(holder.clone()).or_insert(now);
            if now - since >= HOLDER_QUARANTINE {
                expired.push(holder);
            }
        }
        if !expired.is_empty() {
            self.drop_holders(&expired);
        }
    }

    fn known_holders(&self) -> std::collections::BTreeSet<DaemonRef> {
        let teams =
            self.teams.values().flat_map(|writer| writer.doc().allocations.allocations.keys());
        let slots = self.slots.values().flat_map(|writer| writer.doc().minions.values());
        let slots = slots.flat_map(|holdings| holdings.allocations.keys());
        teams.chain(slots).filter(|holder| *holder != self.me()).cloned().collect()
    }

    fn drop_holders(&mut self, holders: &[DaemonRef]) {
        let holds = |parts: &std::collections::BTreeMap<DaemonRef, u32>| {
            holders.iter().any(|holder| parts.contains_key(holder))
        };
        let teams =
            self.teams.iter().filter(|(_, writer)| holds(&writer.doc().allocations.allocations));
        let teams: Vec<TeamId> = teams.map(|(team, _)| team.clone()).collect();
        for team in teams {
            self.submit_team(&team, TeamMutation::DropHolders { holders: holders.to_vec() });
        }
        let slots = self.slots.iter().filter(|(_, writer)| {
            writer.doc().minions.values().any(|holdings| holds(&holdings.allocations))
        });
        let slots: Vec<PoolId> = slots.map(|(pool, _)| pool.clone()).collect();
        for pool in slots {
            self.submit_slots(&pool, SlotMutation::DropHolders { holders: holders.to_vec() });
        }
    }

    /// Removes daemons whose VM the platform does not list.
    pub(super) fn remove_lost_members(&mut self) {
        if !self.listing_known || !self.holds("members") || self.members.pending().next().is_some()
        {
            return;
        }
        let members = self.members.doc().members.iter();
        let lost = members.filter(|(_, record)| !self.listing.contains_key(&record.vm));
        let lost: Vec<MemberMutation> = lost
            .map(|(daemon, record)| MemberMutation::Leave {
                daemon: daemon.clone(),
                incarnation: record.incarnation,
            })
            .collect();
        for mutation in lost {
            self.members.submit(mutation);
        }
    }

    fn listing_answered(&mut self, answer: PlatformAnswer) {
        let PlatformAnswer::Vms(vms) = answer else { return };
        self.listing = vms.into_iter().map(|listing| (listing.vm.clone(), listing)).collect();
        self.listing_known = true;
        self.fleet_changed();
        self.remove_lost_members();
        self.free_lost_holders();
    }

    /// Ends the graceful stop: nothing runs, all parts are given back, left.
    pub(super) fn finish_stop(&mut self) {
        if !self.stopping || self.stopped {
            return;
        }
        if !self.calls.is_empty() || !self.lingering.is_empty() || !self.worker_calls.is_empty() {
            return;
        }
        let since = *self.idle_since.get_or_insert(self.clock.now);
        if self.now() - since < STOP_WAIT && !self.handed_back() {
            return;
        }
        self.stopped = true;
        self.emit(crate::event::Effect::Stopped);
    }

    /// Hands parts back and leaves; true once both are written.
    fn handed_back(&mut self) -> bool {
        let claims_wait = self.claims.values().any(|claims| claims.pending().next().is_some());
        if self.holds_any_part() || claims_wait {
            self.give_all_back();
            return false;
        }
        let me = self.me().clone();
        let is_member = self.members.doc().has(&me.daemon, me.incarnation);
        if is_member && self.members.pending().next().is_none() {
            let leave = MemberMutation::Leave { daemon: me.daemon, incarnation: me.incarnation };
            self.members.submit(leave);
        }
        !is_member
    }
}
