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
pub(crate) enum DocumentRef {
    Config,
    Members,
    Fleet,
    Team(TeamId),
    Slots(PoolId),
    Claims(u32),
}

/// What a call to the platform was for.
#[derive(Debug, Clone, PartialEq, Eq)]
pub(crate) enum PlatformCallPurpose {
    Document(DocumentRef),
    Watch { sent: Moment },
    Listing,
    Reboot,
}

/// How far the watch on shared documents has come.
#[derive(Debug, Clone, Default)]
pub(crate) struct WatchState {
    last_revision: Revision,
    in_flight: bool,
    consecutive_failures: u32,
    resume_at: Moment,
}

impl Core {
    /// Joins, and joins again if another decided that this daemon is gone.
    pub(super) fn maintain_membership(&mut self) {
        if self.is_stopping || !self.members.is_known() {
            return;
        }
        let me = self.this_daemon().clone();
        let known = self.members.doc().members.get(&me.daemon);
        let newer_run = known.is_some_and(|record| record.incarnation > me.incarnation);
        let was_joined = self.is_joined;
        self.is_joined = known.is_some_and(|record| record.incarnation == me.incarnation);
        if was_joined && !self.is_joined {
            self.revoke_local_allocations();
        }
        let asked = self.members.pending().next().is_some();
        if self.is_joined || newer_run || asked {
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
    pub(super) fn maintain_watch(&mut self) {
        if !self.shared_watch.in_flight && self.now() >= self.shared_watch.resume_at {
            self.shared_watch.in_flight = true;
            let request = PlatformRequest::Watch {
                prefix: SHARED_PREFIX.into(),
                after: self.shared_watch.last_revision,
            };
            self.send_platform_call(PlatformCallPurpose::Watch { sent: self.now() }, request);
        }
        if self.now() >= self.listing_due {
            self.listing_due = self.now() + LISTING_PERIOD;
            self.send_platform_call(PlatformCallPurpose::Listing, PlatformRequest::ListVms);
        }
    }

    pub(super) fn handle_platform_answer(
        &mut self,
        call: crate::event::IoCall,
        answer: PlatformAnswer,
    ) {
        let Some(purpose) = self.platform_calls.remove(&call) else { return };
        match purpose {
            PlatformCallPurpose::Document(doc) => self.handle_document_answer(&doc, answer),
            PlatformCallPurpose::Watch { sent } => self.handle_watch_answer(sent, answer),
            PlatformCallPurpose::Listing => self.handle_vm_listing(answer),
            PlatformCallPurpose::Reboot => {}
        }
    }

    fn handle_watch_answer(&mut self, sent: Moment, answer: PlatformAnswer) {
        self.shared_watch.in_flight = false;
        let PlatformAnswer::Changes { head, values } = answer else {
            self.shared_watch.consecutive_failures += 1;
            let pause = STORE_PAUSE.0 << self.shared_watch.consecutive_failures.min(4);
            self.shared_watch.resume_at = self.now() + Millis(pause.min(STORE_PAUSE_MAX.0));
            return;
        };
        self.shared_watch.consecutive_failures = 0;
        self.shared_watch.last_revision = self.shared_watch.last_revision.max(head);
        for value in &values {
            self.apply_shared_value(value);
        }
        self.contacts.platform_answered(sent);
        self.maintain_watch();
    }

    fn apply_shared_value(&mut self, value: &StoredValue) {
        match &*value.key {
            "shared/config" => self.adopt_config(value.revision, &value.value),
            "shared/members" => {
                let before = self.members.doc().clone();
                self.members.observe(value.revision, &value.value);
                let found = verify::members(self.members.doc(), &before);
                self.report_violations(found);
                let members = self.members.doc().members.clone();
                self.shares.retain_peers(|peer| members.contains_key(peer));
            }
            "shared/fleet" => {
                self.fleet.observe(value.revision, &value.value);
                self.index_vm_records();
            }
            _ => {}
        }
    }

    /// Takes a configuration, from the platform or from a peer; never an older
    /// one than is in use.
    pub(super) fn adopt_config(&mut self, revision: Revision, value: &str) {
        if revision <= self.config.revision() {
            return;
        }
        self.config.observe(revision, value);
        self.apply_config();
    }

    /// Brings everything that hangs on the configuration in line with it.
    pub(super) fn apply_config(&mut self) {
        let found = verify::config(self.config.doc());
        self.report_violations(found);
        self.applied_config = self.config.revision();
        let revision = self.config.revision();
        let config = self.config.doc().clone();
        for (team, plan) in &config.teams {
            let writer = self.team_writer(team);
            if writer.doc().limit_revision < revision {
                writer.submit(TeamMutation::SetLimit { limit: plan.limit, revision });
                self.dirty_documents.insert(DocumentRef::Team(team.clone()));
            }
            self.apply_team_allocation(team);
        }
        for pool in config.pools.keys() {
            self.slot_writer(pool);
            self.dirty_documents.insert(DocumentRef::Slots(pool.clone()));
        }
        self.refuse_unauthorised_calls();
        self.send_heartbeats();
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
        self.dirty_documents.insert(DocumentRef::Team(team.clone()));
    }

    pub(super) fn submit_slots(&mut self, pool: &PoolId, mutation: SlotMutation) {
        self.slot_writer(pool).submit(mutation);
        self.dirty_documents.insert(DocumentRef::Slots(pool.clone()));
    }

    /// Lets every document with something to do make its next call.
    pub(super) fn poll_documents(&mut self) {
        for doc in [DocumentRef::Config, DocumentRef::Members, DocumentRef::Fleet] {
            self.poll_document(&doc);
        }
        let dirty = std::mem::take(&mut self.dirty_documents);
        for doc in dirty {
            self.poll_document(&doc);
            if self.has_work(&doc) {
                self.dirty_documents.insert(doc);
            }
        }
    }

    fn has_work(&self, doc: &DocumentRef) -> bool {
        match doc {
            DocumentRef::Team(team) => self.teams[team].has_work(),
            DocumentRef::Slots(pool) => self.slots[pool].has_work(),
            DocumentRef::Claims(shard) => self.claims[shard].has_work(),
            _ => false,
        }
    }

    fn poll_document(&mut self, doc: &DocumentRef) {
        let now = self.now();
        let request = match doc {
            DocumentRef::Config => self.poll_config(now),
            DocumentRef::Members => self.members.poll(now).0,
            DocumentRef::Fleet => self.poll_fleet(now),
            DocumentRef::Team(team) => self.poll_team(now, &team.clone()),
            DocumentRef::Slots(pool) => self.slot_writer(&pool.clone()).poll(now).0,
            DocumentRef::Claims(shard) => self.poll_claims(now, *shard),
        };
        if let Some(request) = request {
            self.verify_proposed_write(doc);
            self.send_platform_call(PlatformCallPurpose::Document(doc.clone()), request);
        }
    }

    fn poll_config(&mut self, now: Moment) -> Option<PlatformRequest> {
        let (request, finished) = self.config.poll(now);
        self.handle_finished_config_changes(finished);
        request
    }

    fn poll_fleet(&mut self, now: Moment) -> Option<PlatformRequest> {
        self.refresh_pending_budgets();
        let (request, finished) = self.fleet.poll(now);
        self.handle_finished_fleet_changes(finished);
        request
    }

    fn poll_team(&mut self, now: Moment, team: &TeamId) -> Option<PlatformRequest> {
        let (request, finished) = self.team_writer(team).poll(now);
        self.handle_finished_team_changes(team, finished);
        request
    }

    fn poll_claims(&mut self, now: Moment, shard: u32) -> Option<PlatformRequest> {
        let (request, finished) = self.claim_writer(shard).poll(now);
        self.handle_finished_claim_changes(finished);
        request
    }

    fn handle_document_answer(&mut self, doc: &DocumentRef, answer: PlatformAnswer) {
        let now = self.now();
        match doc {
            DocumentRef::Config => {
                let finished = self.config.answered(now, answer);
                if self.config.revision() > self.applied_config {
                    self.apply_config();
                }
                self.handle_finished_config_changes(finished);
            }
            DocumentRef::Members => {
                self.members.answered(now, answer);
                self.maintain_membership();
            }
            DocumentRef::Fleet => {
                let finished = self.fleet.answered(now, answer);
                self.index_vm_records();
                self.handle_finished_fleet_changes(finished);
            }
            DocumentRef::Team(team) => self.handle_team_document_answer(team, answer),
            DocumentRef::Slots(pool) => {
                let finished = self.slot_writer(pool).answered(now, answer);
                self.apply_slot_allocations(pool);
                self.notify_slot_receivers(pool, &finished);
                self.dispatch(pool);
            }
            DocumentRef::Claims(shard) => {
                let finished = self.claim_writer(*shard).answered(now, answer);
                self.handle_finished_claim_changes(finished);
            }
        }
        self.dirty_documents.insert(doc.clone());
    }

    fn notify_slot_receivers(&mut self, pool: &PoolId, finished: &[Finished<SlotMutation, ()>]) {
        let moved = finished.iter().filter_map(|change| match &change.mutation {
            SlotMutation::MovePart { to, .. } => Some(to.clone()),
            _ => None,
        });
        let receivers: std::collections::BTreeSet<DaemonRef> = moved.collect();
        for to in receivers {
            self.notify_transfer(LimitName::Slots(pool.clone()), &to);
        }
    }

    fn handle_team_document_answer(&mut self, team: &TeamId, answer: PlatformAnswer) {
        let now = self.now();
        let finished = self.team_writer(team).answered(now, answer);
        self.apply_team_allocation(team);
        self.handle_finished_team_changes(team, finished);
        self.answer_job_readers(team);
        self.dispatch_all();
    }

    /// Runs the verifier on a write before it is sent.
    fn verify_proposed_write(&mut self, doc: &DocumentRef) {
        let found = match doc {
            DocumentRef::Team(team) => {
                let proposed = self.teams[team].proposed();
                proposed.map(|(before, next)| verify::team(next, Some(before)))
            }
            DocumentRef::Slots(pool) => {
                let proposed = self.slots[pool].proposed();
                proposed.map(|(before, next)| verify::slots(next, Some(before)))
            }
            DocumentRef::Members => {
                let proposed = self.members.proposed();
                proposed.map(|(before, next)| verify::members(next, before))
            }
            DocumentRef::Config => self.config.proposed().map(|(_, next)| verify::config(next)),
            DocumentRef::Fleet | DocumentRef::Claims(_) => None,
        };
        self.report_violations(found.unwrap_or_default());
    }

    /// Frees what runs of daemons held that have ended for certain: a newer run
    /// has joined, or the platform does not list the VM, and since then the
    /// longest request has had time to end.
    pub(super) fn release_departed_holders(&mut self) {
        let now = self.now();
        let holders = self.remote_allocation_holders();
        self.holder_departures.retain(|holder, _| holders.contains(holder));
        let mut expired = Vec::new();
        for holder in holders {
            if self.members.doc().has(&holder.daemon, holder.incarnation) {
                self.holder_departures.remove(&holder);
                continue;
            }
            let since = *self.holder_departures.entry(holder.clone()).or_insert(now);
            if now - since >= HOLDER_QUARANTINE {
                expired.push(holder);
            }
        }
        if !expired.is_empty() {
            self.remove_holders(&expired);
        }
    }

    fn remote_allocation_holders(&self) -> std::collections::BTreeSet<DaemonRef> {
        let teams =
            self.teams.values().flat_map(|writer| writer.doc().allocations.allocations.keys());
        let slots = self.slots.values().flat_map(|writer| writer.doc().minions.values());
        let slots = slots.flat_map(|holdings| holdings.allocations.keys());
        teams.chain(slots).filter(|holder| *holder != self.this_daemon()).cloned().collect()
    }

    fn remove_holders(&mut self, holders: &[DaemonRef]) {
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
        if !self.is_listing_known
            || !self.is_assigned("members")
            || self.members.pending().next().is_some()
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

    fn handle_vm_listing(&mut self, answer: PlatformAnswer) {
        let PlatformAnswer::Vms(vms) = answer else { return };
        self.listing = vms.into_iter().map(|listing| (listing.vm.clone(), listing)).collect();
        self.is_listing_known = true;
        self.index_vm_records();
        self.remove_lost_members();
        self.release_departed_holders();
    }

    /// Ends the graceful stop: nothing runs, all parts are given back, left.
    pub(super) fn advance_graceful_stop(&mut self) {
        if !self.is_stopping || self.is_stopped {
            return;
        }
        if !self.calls.is_empty()
            || !self.orphaned_calls.is_empty()
            || !self.worker_calls.is_empty()
        {
            return;
        }
        let since = *self.idle_since.get_or_insert(self.clock.now);
        if self.now() - since < STOP_WAIT && !self.release_and_leave() {
            return;
        }
        self.is_stopped = true;
        self.emit(crate::event::Effect::Stopped);
    }

    /// Hands parts back and leaves; true once both are written.
    fn release_and_leave(&mut self) -> bool {
        let claims_wait = self.claims.values().any(|claims| claims.pending().next().is_some());
        if self.has_any_allocation() || claims_wait {
            self.release_all_allocations();
            return false;
        }
        let me = self.this_daemon().clone();
        let is_member = self.members.doc().has(&me.daemon, me.incarnation);
        if is_member && self.members.pending().next().is_none() {
            let leave = MemberMutation::Leave { daemon: me.daemon, incarnation: me.incarnation };
            self.members.submit(leave);
        }
        !is_member
    }
}
