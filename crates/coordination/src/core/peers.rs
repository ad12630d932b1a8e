//! Frames between daemons: heartbeats, the configuration, and notices of quota
//! transfers.
//!
//! Every frame carries the [`PeerStatus`] of its sender. A daemon that receives a
//! status with a newer configuration revision asks the sender for the configuration.

use state::{DaemonId, DaemonRef, Incarnation, VmId, VmState};

use super::Core;
use super::calls::CallPhase;
use crate::event::Effect;
use crate::frame::{Frame, FrameBody, PeerStatus};
use crate::timing::HEARTBEAT_INTERVAL;

impl Core {
    /// Sends a heartbeat to every peer if [`HEARTBEAT_INTERVAL`] has passed since the
    /// last periodic heartbeat.
    pub(super) fn send_due_heartbeats(&mut self) {
        if self.now() < self.heartbeat_due {
            return;
        }
        self.heartbeat_due = self.now() + HEARTBEAT_INTERVAL;
        self.send_heartbeats();
    }

    /// Sends a heartbeat to every peer at once, with the largest changes in service
    /// since the last report.
    pub(super) fn send_heartbeats(&mut self) {
        let mut status = self.peer_status();
        status.service = self.shares.prepare_report(self.now());
        for peer in self.peers() {
            self.send_frame(&peer, status.clone(), FrameBody::Beat);
        }
    }

    /// Members other than this daemon.
    pub(super) fn peers(&self) -> Vec<DaemonRef> {
        let members = self.members.doc().members.iter();
        let others = members.filter(|(daemon, _)| **daemon != self.this_daemon().daemon);
        others
            .map(|(daemon, record)| DaemonRef {
                daemon: daemon.clone(),
                incarnation: record.incarnation,
            })
            .collect()
    }

    /// Builds the status of this daemon for a frame, without service. Only frames to
    /// all peers report service, because each difference is reported once.
    pub(super) fn peer_status(&self) -> PeerStatus {
        PeerStatus {
            config: self.config.revision(),
            members: self.members.revision(),
            fleet: self.fleet.revision(),
            busy: self.busy_vms(),
            short: self.shortages(),
            service: Vec::new(),
        }
    }

    /// Draining VMs on which this daemon has work or may have work.
    pub(super) fn busy_vms(&self) -> Vec<VmId> {
        let vms = self.fleet.doc().vms.iter();
        let draining = vms.filter(|(_, record)| matches!(record.state, VmState::Draining { .. }));
        draining.map(|(vm, _)| vm.clone()).filter(|vm| self.has_work_on(vm)).collect()
    }

    /// Whether a request, an orphaned attempt or a task start of this daemon may be
    /// on `vm`.
    fn has_work_on(&self, vm: &VmId) -> bool {
        let is_sent_to_vm =
            |phase: &CallPhase| matches!(phase, CallPhase::Sent { vm: minion, .. } if minion == vm);
        let has_calls = self.calls.iter().any(|(_, call)| is_sent_to_vm(&call.phase));
        has_calls
            || self.orphaned_calls.iter().any(|call| call.vm == *vm)
            || self.has_pending_starts_on(vm)
    }

    /// Sends a frame to `peer`, if the daemon is a member.
    pub(super) fn send_frame(&mut self, peer: &DaemonRef, status: PeerStatus, body: FrameBody) {
        let Some(record) = self.members.doc().members.get(&peer.daemon) else { return };
        let address = record.peer_address.clone();
        let frame = Frame {
            from: self.this_daemon().clone(),
            to: peer.incarnation,
            sent: self.now(),
            echo: self.contacts.echo_for(peer),
            status,
            body,
        };
        self.counters.frames += 1;
        self.emit(Effect::Frame { to: peer.daemon.clone(), address, frame: Box::new(frame) });
    }

    /// Sends the configuration to every peer right after its commit, without waiting
    /// for the peers' watches.
    pub(super) fn push_config(&mut self) {
        for peer in self.peers() {
            self.send_config(&peer);
        }
    }

    fn send_config(&mut self, peer: &DaemonRef) {
        let value = serde_json::to_string(self.config.doc()).expect("a document is valid JSON");
        let body = FrameBody::Config { revision: self.config.revision(), value: value.into() };
        let status = self.peer_status();
        self.send_frame(peer, status, body);
    }

    /// Handles a frame from a member. Frames from other daemons, and frames meant for
    /// another incarnation of this daemon, are ignored. The status in a frame that
    /// arrives out of order is ignored too.
    pub(super) fn handle_frame(&mut self, frame: &Frame) {
        let is_member = self.members.doc().has_joined(&frame.from.daemon, frame.from.incarnation);
        if !is_member || !self.is_for_this_incarnation(frame.to) {
            return;
        }
        let now = self.now();
        if self.contacts.record_frame(now, frame) {
            self.shares.record_report(&frame.from.daemon, &frame.status.service, now);
            self.transfer_unused_allocations(frame);
        }
        match &frame.body {
            FrameBody::Beat => {}
            FrameBody::Moved { limit } => self.handle_transfer_notice(limit),
            FrameBody::WantConfig => self.send_config(&frame.from),
            FrameBody::Config { revision, value } => self.adopt_config(*revision, value),
        }
        if frame.status.config > self.config.revision() {
            let status = self.peer_status();
            self.send_frame(&frame.from, status, FrameBody::WantConfig);
        }
    }

    fn is_for_this_incarnation(&self, receiver: Incarnation) -> bool {
        receiver == self.this_daemon().incarnation
    }

    /// Returns the other members that have not confirmed, with VM records of
    /// `revision` or newer, that they have no work on `vm`.
    pub(super) fn unconfirmed_members(
        &self,
        vm: &VmId,
        revision: state::Revision,
    ) -> Vec<DaemonId> {
        let members = self.members.doc().members.iter();
        let others = members.filter(|(daemon, _)| **daemon != self.this_daemon().daemon);
        let unconfirmed = others.filter(|(daemon, record)| {
            let peer = DaemonRef { daemon: (*daemon).clone(), incarnation: record.incarnation };
            !self.contacts.incarnation_contact(&peer).is_some_and(|known| {
                known.status.fleet >= revision && !known.status.busy.contains(vm)
            })
        });
        unconfirmed.map(|(daemon, _)| daemon.clone()).collect()
    }
}
