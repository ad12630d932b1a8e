//! Membership, the watch on shared documents, and the calls that read and write
//! documents.
//!
//! Every document has a [`DocumentWriter`]. After each event,
//! [`Core::poll_documents`] sends the next call of every document that has one;
//! answers come back through [`Core::handle_platform_answer`], which applies the
//! new state and answers the requests that wait for a finished change.

use state::{DaemonRef, MemberRecord, Millis, Moment, PoolId, Revision, TeamId, verify};

use super::Core;
use crate::document::{DocumentWriter, FinishedChange};
use crate::event::{PlatformAnswer, PlatformRequest, StoredValue};
use crate::frame::LimitName;
use crate::mutate::claim;
use crate::mutate::member::MemberMutation;
use crate::mutate::slot::{self, SlotMutation};
use crate::mutate::team::{self, TeamMutation};
use crate::timing::{
    HOLDER_QUARANTINE, LISTING_INTERVAL, MAX_STORE_BACKOFF, MIN_STORE_BACKOFF, STOP_TIMEOUT,
};

/// Prefix of the keys under watch: configuration, members and VM records.
const SHARED_PREFIX: &str = "shared/";

/// Identifies a document of the platform's store.
#[derive(Debug, Clone, PartialEq, Eq, PartialOrd, Ord)]
pub(crate) enum DocumentRef {
    Config,
    Members,
    Fleet,
    Team(TeamId),
    Slots(PoolId),
    /// Claims of one shard, by the number of the shard.
    Claims(u32),
}

/// Purpose of a call to the platform; decides how its answer is handled.
#[derive(Debug, Clone, PartialEq, Eq)]
pub(crate) enum PlatformCallPurpose {
    Document(DocumentRef),
    Watch { sent_at: Moment },
    Listing,
    Reboot,
}

/// Progress of the watch on shared documents.
#[derive(Debug, Clone, Default)]
pub(crate) struct WatchState {
    /// Revision up to which all changes have been received.
    last_revision: Revision,
    is_in_flight: bool,
    consecutive_failures: u32,
    retry_at: Moment,
}

impl Core {
    /// Joins the members, and joins again if another daemon has removed this one. A
    /// daemon that is no longer a member sets its local allocations to zero. A
    /// daemon does not join while the members contain a newer incarnation of itself.
    pub(super) fn maintain_membership(&mut self) {
        if self.is_stopping || !self.members.is_loaded() {
            return;
        }
        let this_daemon = self.this_daemon().clone();
        let member = self.members.doc().members.get(&this_daemon.daemon);
        let is_superseded =
            member.is_some_and(|record| record.incarnation > this_daemon.incarnation);
        let was_joined = self.is_joined;
        self.is_joined = member.is_some_and(|record| record.incarnation == this_daemon.incarnation);
        if was_joined && !self.is_joined {
            self.revoke_local_allocations();
        }
        let is_change_pending = self.members.pending().next().is_some();
        if self.is_joined || is_superseded || is_change_pending {
            return;
        }
        let record = MemberRecord {
            incarnation: this_daemon.incarnation,
            vm: self.identity.vm.clone(),
            data_centre: self.identity.data_centre.clone(),
            peer_address: self.identity.peer_address.clone(),
        };
        self.members.submit(MemberMutation::Join { daemon: this_daemon.daemon, record });
    }

    /// Keeps one watch in flight, and reads the platform's VM listing when due.
    pub(super) fn maintain_watch(&mut self) {
        if !self.shared_watch.is_in_flight && self.now() >= self.shared_watch.retry_at {
            self.shared_watch.is_in_flight = true;
            let request = PlatformRequest::Watch {
                prefix: SHARED_PREFIX.into(),
                after: self.shared_watch.last_revision,
            };
            self.send_platform_call(PlatformCallPurpose::Watch { sent_at: self.now() }, request);
        }
        if self.now() >= self.listing_due {
            self.listing_due = self.now() + LISTING_INTERVAL;
            self.send_platform_call(PlatformCallPurpose::Listing, PlatformRequest::ListVms);
        }
    }

    pub(super) fn handle_platform_answer(
        &mut self,
        call: crate::event::IoCallId,
        answer: PlatformAnswer,
    ) {
        let Some(purpose) = self.platform_calls.remove(&call) else { return };
        match purpose {
            PlatformCallPurpose::Document(doc) => self.handle_document_answer(&doc, answer),
            PlatformCallPurpose::Watch { sent_at } => self.handle_watch_answer(sent_at, answer),
            PlatformCallPurpose::Listing => self.handle_vm_listing(answer),
            PlatformCallPurpose::Reboot => {}
        }
    }

    /// Applies the changes that the watch returned. After a failed watch the next
    /// one waits for a pause that doubles with each failure.
    fn handle_watch_answer(&mut self, sent_at: Moment, answer: PlatformAnswer) {
        self.shared_watch.is_in_flight = false;
        let PlatformAnswer::Changes { head, values } = answer else {
            self.shared_watch.consecutive_failures += 1;
            let pause = MIN_STORE_BACKOFF.0 << self.shared_watch.consecutive_failures.min(4);
            self.shared_watch.retry_at = self.now() + Millis(pause.min(MAX_STORE_BACKOFF.0));
            return;
        };
        self.shared_watch.consecutive_failures = 0;
        self.shared_watch.last_revision = self.shared_watch.last_revision.max(head);
        for value in &values {
            self.apply_shared_value(value);
        }
        self.contacts.record_platform_contact(sent_at);
        self.maintain_watch();
    }

    fn apply_shared_value(&mut self, value: &StoredValue) {
        match &*value.key {
            "shared/config" => self.adopt_config(value.revision, &value.value),
            "shared/members" => {
                let before = self.members.doc().clone();
                self.members.observe(value.revision, &value.value);
                let violations = verify::check_members(self.members.doc(), &before);
                self.report_violations(violations);
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

    /// Adopts a configuration from the platform or from a peer, if its revision is
    /// newer than the one in use.
    pub(super) fn adopt_config(&mut self, revision: Revision, value: &str) {
        if revision <= self.config.revision() {
            return;
        }
        self.config.observe(revision, value);
        self.apply_config();
    }

    /// Updates everything that depends on the configuration: team limits, slot
    /// documents, queued requests, and the revision reported to peers.
    pub(super) fn apply_config(&mut self) {
        let violations = verify::check_config(self.config.doc());
        self.report_violations(violations);
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

    /// Sends the next call of every document that has one to make.
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

    /// Applies the answer to a document's call, then handles the finished changes.
    fn handle_document_answer(&mut self, doc: &DocumentRef, answer: PlatformAnswer) {
        let now = self.now();
        match doc {
            DocumentRef::Config => {
                let finished = self.config.handle_answer(now, answer);
                if self.config.revision() > self.applied_config {
                    self.apply_config();
                }
                self.handle_finished_config_changes(finished);
            }
            DocumentRef::Members => {
                self.members.handle_answer(now, answer);
                self.maintain_membership();
            }
            DocumentRef::Fleet => {
                let finished = self.fleet.handle_answer(now, answer);
                self.index_vm_records();
                self.handle_finished_fleet_changes(finished);
            }
            DocumentRef::Team(team) => self.handle_team_document_answer(team, answer),
            DocumentRef::Slots(pool) => {
                let finished = self.slot_writer(pool).handle_answer(now, answer);
                self.apply_slot_allocations(pool);
                self.notify_slot_receivers(pool, &finished);
                self.dispatch(pool);
            }
            DocumentRef::Claims(shard) => {
                let finished = self.claim_writer(*shard).handle_answer(now, answer);
                self.handle_finished_claim_changes(finished);
            }
        }
        self.dirty_documents.insert(doc.clone());
    }

    /// Notifies every daemon that received slots by one of the `finished` changes.
    fn notify_slot_receivers(
        &mut self,
        pool: &PoolId,
        finished: &[FinishedChange<SlotMutation, ()>],
    ) {
        let receivers = finished.iter().filter_map(|change| match &change.mutation {
            SlotMutation::TransferAllocation { to, .. } => Some(to.clone()),
            _ => None,
        });
        let receivers: std::collections::BTreeSet<DaemonRef> = receivers.collect();
        for receiver in receivers {
            self.notify_transfer(LimitName::Slots(pool.clone()), &receiver);
        }
    }

    fn handle_team_document_answer(&mut self, team: &TeamId, answer: PlatformAnswer) {
        let now = self.now();
        let finished = self.team_writer(team).handle_answer(now, answer);
        self.apply_team_allocation(team);
        self.handle_finished_team_changes(team, finished);
        self.answer_job_readers(team);
        self.dispatch_all();
    }

    /// Checks the invariants of a proposed write before the write is sent.
    fn verify_proposed_write(&mut self, doc: &DocumentRef) {
        let violations = match doc {
            DocumentRef::Team(team) => {
                let proposed = self.teams[team].proposed_write();
                proposed.map(|(before, next)| verify::check_team(next, Some(before)))
            }
            DocumentRef::Slots(pool) => {
                let proposed = self.slots[pool].proposed_write();
                proposed.map(|(before, next)| verify::check_slots(next, Some(before)))
            }
            DocumentRef::Members => {
                let proposed = self.members.proposed_write();
                proposed.map(|(before, next)| verify::check_members(next, before))
            }
            DocumentRef::Config => {
                self.config.proposed_write().map(|(_, next)| verify::check_config(next))
            }
            DocumentRef::Fleet | DocumentRef::Claims(_) => None,
        };
        self.report_violations(violations.unwrap_or_default());
    }

    /// Releases the allocations of daemon incarnations that have certainly ended.
    /// An incarnation has certainly ended when it is no longer a member, because a
    /// newer one has joined or the platform does not list its VM, and since then
    /// [`HOLDER_QUARANTINE`] has passed, in which the longest request ends.
    pub(super) fn release_departed_holders(&mut self) {
        let now = self.now();
        let holders = self.remote_allocation_holders();
        self.holder_departures.retain(|holder, _| holders.contains(holder));
        let mut expired = Vec::new();
        for holder in holders {
            if self.members.doc().has_joined(&holder.daemon, holder.incarnation) {
                self.holder_departures.remove(&holder);
                continue;
            }
            let departed_at = *self.holder_departures.entry(holder.clone()).or_insert(now);
            if now - departed_at >= HOLDER_QUARANTINE {
                expired.push(holder);
            }
        }
        if !expired.is_empty() {
            self.remove_holders(&expired);
        }
    }

    /// Allocation holders of all known documents, other than this daemon.
    fn remote_allocation_holders(&self) -> std::collections::BTreeSet<DaemonRef> {
        let teams =
            self.teams.values().flat_map(|writer| writer.doc().allocations.allocations.keys());
        let slots = self.slots.values().flat_map(|writer| writer.doc().minions.values());
        let slots = slots.flat_map(|table| table.allocations.keys());
        teams.chain(slots).filter(|holder| *holder != self.this_daemon()).cloned().collect()
    }

    /// Removes the allocations of `holders` from every document that has any.
    fn remove_holders(&mut self, holders: &[DaemonRef]) {
        let has_holder = |allocations: &std::collections::BTreeMap<DaemonRef, u32>| {
            holders.iter().any(|holder| allocations.contains_key(holder))
        };
        let teams = self
            .teams
            .iter()
            .filter(|(_, writer)| has_holder(&writer.doc().allocations.allocations));
        let teams: Vec<TeamId> = teams.map(|(team, _)| team.clone()).collect();
        for team in teams {
            self.submit_team(&team, TeamMutation::RemoveHolders { holders: holders.to_vec() });
        }
        let slots = self.slots.iter().filter(|(_, writer)| {
            writer.doc().minions.values().any(|table| has_holder(&table.allocations))
        });
        let pools: Vec<PoolId> = slots.map(|(pool, _)| pool.clone()).collect();
        for pool in pools {
            self.submit_slots(&pool, SlotMutation::RemoveHolders { holders: holders.to_vec() });
        }
    }

    /// Removes members whose VM the platform does not list, if this work is
    /// assigned to this daemon.
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

    /// Advances a graceful stop. Once nothing runs any more, the daemon releases
    /// its allocations and leaves the members; the stop is complete when both are
    /// written, or after [`STOP_TIMEOUT`].
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
        let idle_since = *self.idle_since.get_or_insert(self.clock.now);
        if self.now() - idle_since < STOP_TIMEOUT && !self.release_and_leave() {
            return;
        }
        self.is_stopped = true;
        self.emit(crate::event::Effect::Stopped);
    }

    /// Releases all allocations, then leaves the members; returns true once both
    /// are written and no claim change is pending.
    fn release_and_leave(&mut self) -> bool {
        let has_pending_claims =
            self.claims.values().any(|writer| writer.pending().next().is_some());
        if self.has_any_allocation() || has_pending_claims {
            self.release_all_allocations();
            return false;
        }
        let member = self.this_daemon().clone();
        let is_member = self.members.doc().has_joined(&member.daemon, member.incarnation);
        if is_member && self.members.pending().next().is_none() {
            let leave =
                MemberMutation::Leave { daemon: member.daemon, incarnation: member.incarnation };
            self.members.submit(leave);
        }
        !is_member
    }
}
