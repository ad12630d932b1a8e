//! Transfers of unused quota to daemons that need more.
//!
//! A daemon reports a shortage at once to a few peers. A peer with unused quota
//! writes one change of the document, which lowers the peer's allocation and
//! raises the daemon's allocation by the same amount. The peer then notifies the
//! daemon, which reads the document. A transfer thus costs one write and one read,
//! and the sum of the allocations never changes (`docs/DESIGN.md`, "Limits").

use state::{DaemonRef, Millis, PoolId, TeamId, VmId};

use super::Core;
use super::DocumentRef;
use crate::frame::{Frame, FrameBody, LimitName, Shortage};
use crate::mutate::slot::SlotMutation;
use crate::mutate::team::TeamMutation;

/// Minimum time between two rounds of shortage reports.
const SHORTAGE_REPORT_INTERVAL: Millis = Millis(100);
/// Number of peers that receive a shortage report in one round.
const PEERS_PER_REPORT: usize = 2;

impl Core {
    /// Limits of which this daemon could use more now: its queued requests exceed
    /// the free units of the limit.
    pub(super) fn shortages(&self) -> Vec<Shortage> {
        let teams = self.team_limits.iter().filter_map(|(team, limit)| {
            let count = self.queued_calls_of(team).saturating_sub(limit.available());
            (count > 0).then(|| Shortage { limit: LimitName::Team(team.clone()), count })
        });
        let pools = self.queues.iter().filter_map(|(pool, queue)| {
            let count = (queue.len() as u32).saturating_sub(self.free_slots(pool));
            (count > 0).then(|| Shortage { limit: LimitName::Slots(pool.clone()), count })
        });
        teams.chain(pools).collect()
    }

    /// Reports shortages to the next few peers in turn, without waiting for the
    /// next heartbeat.
    pub(super) fn report_shortages(&mut self) {
        if self.now() < self.shortage_report_due
            || self.queues.values().all(|queue| queue.len() == 0)
        {
            return;
        }
        if self.shortages().is_empty() {
            return;
        }
        self.shortage_report_due = self.now() + SHORTAGE_REPORT_INTERVAL;
        let peers = self.peers();
        let status = self.peer_status();
        for offset in 0..PEERS_PER_REPORT.min(peers.len()) {
            let peer = &peers[(self.next_report_peer + offset) % peers.len()];
            self.send_frame(peer, status.clone(), FrameBody::Beat);
        }
        self.next_report_peer = self.next_report_peer.wrapping_add(PEERS_PER_REPORT);
    }

    /// Transfers unused quota to a peer that reports a shortage in `frame`.
    pub(super) fn transfer_unused_allocations(&mut self, frame: &Frame) {
        if self.check_work_allowed().is_err() {
            return;
        }
        for shortage in &frame.status.short {
            match &shortage.limit {
                LimitName::Team(team) => {
                    self.transfer_team_allocation(team, &frame.from, shortage.count)
                }
                LimitName::Slots(pool) => self.transfer_slots(pool, &frame.from, shortage.count),
            }
        }
    }

    /// Transfers half of the idle units of a team's limit, rounded up, but at most
    /// `count`.
    fn transfer_team_allocation(&mut self, team: &TeamId, to: &DaemonRef, count: u32) {
        let queued_calls = self.queued_calls_of(team);
        if !self.teams.contains_key(team) || self.team_writer(team).pending().next().is_some() {
            return;
        }
        let Some(limit) = self.team_limits.get_mut(team) else { return };
        let idle = limit.available().saturating_sub(queued_calls);
        let transferred = idle.div_ceil(2).min(count);
        if transferred == 0 {
            return;
        }
        let Some(retained) = limit.lower_ceiling(limit.ceiling() - transferred) else { return };
        let from = self.this_daemon().clone();
        self.submit_team(team, TeamMutation::TransferAllocation { from, to: to.clone(), retained });
    }

    /// Transfers half of the idle slots of a pool, rounded up, but at most `count`.
    fn transfer_slots(&mut self, pool: &PoolId, to: &DaemonRef, count: u32) {
        let queued_calls = self.queues.get(pool).map_or(0, |queue| queue.len() as u32);
        if !self.slots.contains_key(pool) || self.slot_writer(pool).pending().next().is_some() {
            return;
        }
        let idle = self.free_slots(pool).saturating_sub(queued_calls);
        let mut remaining = idle.div_ceil(2).min(count);
        for (vm, _) in self.minions_of(pool) {
            if remaining == 0 {
                return;
            }
            remaining -= self.transfer_minion_slots(pool, &vm, to, remaining);
        }
    }

    /// Transfers up to `max_slots` free slots of one minion; returns the number of
    /// transferred slots.
    fn transfer_minion_slots(
        &mut self,
        pool: &PoolId,
        vm: &VmId,
        to: &DaemonRef,
        max_slots: u32,
    ) -> u32 {
        let route = self.routes.get_mut(pool).and_then(|route| route.minions.get_mut(vm));
        let Some(minion) = route else { return 0 };
        let count = minion.slots.available().min(max_slots);
        if count == 0 {
            return 0;
        }
        let Some(retained) = minion.slots.lower_ceiling(minion.slots.ceiling() - count) else {
            return 0;
        };
        let (from, to) = (self.this_daemon().clone(), to.clone());
        self.submit_slots(
            pool,
            SlotMutation::TransferAllocation { vm: vm.clone(), from, to, retained },
        );
        count
    }

    /// Notifies the receiver of a transfer that is now written.
    pub(super) fn notify_transfer(&mut self, limit: LimitName, to: &DaemonRef) {
        let status = self.peer_status();
        self.send_frame(to, status, FrameBody::Moved { limit });
    }

    /// Rereads the document in which a peer transferred quota to this daemon.
    pub(super) fn handle_transfer_notice(&mut self, limit: &LimitName) {
        let doc = match limit {
            LimitName::Team(team) if self.teams.contains_key(team) => {
                self.team_writer(team).request_read();
                DocumentRef::Team(team.clone())
            }
            LimitName::Slots(pool) if self.slots.contains_key(pool) => {
                self.slot_writer(pool).request_read();
                DocumentRef::Slots(pool.clone())
            }
            _ => return,
        };
        self.dirty_documents.insert(doc);
    }
}
