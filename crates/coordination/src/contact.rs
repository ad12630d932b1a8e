//! Tracks the last contact with the platform and with peers, and decides whether
//! this daemon may accept new work.
//!
//! A daemon may accept work while its last contact is at most [`CONTACT_VALIDITY`]
//! old. Contact with the platform counts, and so does contact with enough daemons
//! to form, together with this one, more than half of the members. The age of a
//! contact counts from the time at which this daemon *sent* the message that the
//! other side answered, so the information in the answer is never older than the
//! contact.
//! `docs/DESIGN.md`, "Configuration", shows why an accepted change is therefore
//! in force everywhere.

use std::collections::BTreeMap;

use state::{DaemonId, DaemonRef, Incarnation, MemberDoc, Millis, Moment, Revision};

use crate::frame::{Frame, PeerStatus};
use crate::timing::{CONTACT_VALIDITY, FENCE_TIMEOUT};

/// Contact time that never expires.
const NEVER_EXPIRES: Moment = Moment(u64::MAX / 2);

/// Contact with one incarnation of a peer daemon.
#[derive(Debug, Clone, Default)]
pub(crate) struct PeerContact {
    incarnation: Incarnation,
    /// Latest send time of a frame to the peer that the peer has echoed, on this
    /// daemon's clock.
    last_echo: Option<Moment>,
    /// Send time of the latest frame from the peer, on the peer's clock; 0 before
    /// the first frame.
    last_sent: Moment,
    /// Arrival time of the latest frame from the peer, on this daemon's clock.
    received_at: Moment,
    /// Status in the latest frame from the peer.
    pub(crate) status: PeerStatus,
}

/// Last contacts with the platform and with all peers.
#[derive(Debug, Clone, Default)]
pub struct ContactTable {
    platform: Option<Moment>,
    peers: BTreeMap<DaemonId, PeerContact>,
}

impl ContactTable {
    /// Records contact with the platform: the answer to a call sent at `sent_at`
    /// included all changes that the platform had made by then.
    pub fn record_platform_contact(&mut self, sent_at: Moment) {
        self.platform = self.platform.max(Some(sent_at));
    }

    /// Records a frame from a peer; returns false if a newer frame of that peer was
    /// already recorded.
    pub fn record_frame(&mut self, now: Moment, frame: &Frame) -> bool {
        let peer = self.peers.entry(frame.from.daemon.clone()).or_default();
        if frame.from.incarnation < peer.incarnation {
            return false;
        }
        if frame.from.incarnation > peer.incarnation {
            *peer = PeerContact { incarnation: frame.from.incarnation, ..PeerContact::default() };
        }
        if frame.echo.0 > 0 {
            peer.last_echo = peer.last_echo.max(Some(frame.echo));
        }
        if frame.sent <= peer.last_sent {
            return false;
        }
        peer.last_sent = frame.sent;
        peer.received_at = now;
        peer.status = frame.status.clone();
        true
    }

    /// Send time that the next frame to `peer` echoes; 0 before its first frame.
    pub fn echo_for(&self, peer: &DaemonRef) -> Moment {
        let contact = self.incarnation_contact(peer);
        contact.map_or(Moment(0), |contact| contact.last_sent)
    }

    /// Contact with exactly this incarnation of a peer.
    pub(crate) fn incarnation_contact(&self, peer: &DaemonRef) -> Option<&PeerContact> {
        let contact = self.peers.get(&peer.daemon)?;
        (contact.incarnation == peer.incarnation).then_some(contact)
    }

    /// Latest statuses of the peer incarnations that are members.
    pub(crate) fn member_statuses<'a>(
        &'a self,
        members: &'a MemberDoc,
    ) -> impl Iterator<Item = (&'a DaemonId, &'a PeerStatus)> {
        members.members.iter().filter_map(|(daemon, record)| {
            let contact = self.peers.get(daemon)?;
            (contact.incarnation == record.incarnation).then_some((daemon, &contact.status))
        })
    }

    /// Whether a frame from `peer` arrived within the last `max_age`.
    pub fn has_recent_contact(&self, peer: &DaemonRef, now: Moment, max_age: Millis) -> bool {
        self.incarnation_contact(peer)
            .is_some_and(|contact| contact.last_sent.0 > 0 && now - contact.received_at <= max_age)
    }

    /// Time until which this daemon may accept new work.
    pub fn accepts_work_until(&self, this_daemon: &DaemonId, members: &MemberDoc) -> Moment {
        let latest = self.platform.max(self.last_majority_contact(this_daemon, members));
        latest.map_or(Moment(0), |contact| contact + CONTACT_VALIDITY)
    }

    /// Latest time since which more than half of the members, including this
    /// daemon, have answered. A single member is always a majority.
    fn last_majority_contact(&self, this_daemon: &DaemonId, members: &MemberDoc) -> Option<Moment> {
        let others = members.members.iter().filter(|(daemon, _)| *daemon != this_daemon);
        let contacts = others.filter_map(|(daemon, record)| {
            let contact = self.peers.get(daemon)?;
            (contact.incarnation == record.incarnation).then_some(contact.last_echo).flatten()
        });
        let mut contacts: Vec<Moment> = contacts.collect();
        contacts.sort_unstable_by(|a, b| b.cmp(a));
        let needed_peers = members.members.len() / 2;
        match needed_peers {
            0 => Some(NEVER_EXPIRES),
            _ => contacts.get(needed_peers - 1).copied(),
        }
    }
}

/// Tracks whether a committed configuration is in force on every daemon.
///
/// A configuration is in force once more than half of the members have confirmed
/// it, [`FENCE_TIMEOUT`] has passed since that majority was reached, and each
/// member that has not confirmed it last reported the same revision of the
/// member document. A member without contact has stopped accepting work by then.
/// If all members have confirmed the configuration, it is in force at once.
#[derive(Debug, Clone)]
pub(crate) struct ChangeWait {
    /// Revision of the committed configuration.
    pub(crate) revision: Revision,
    /// Time at which more than half of the members had confirmed the revision.
    majority_confirmed_at: Option<Moment>,
}

impl ChangeWait {
    pub(crate) fn new(revision: Revision) -> Self {
        Self { revision, majority_confirmed_at: None }
    }

    /// Daemons that the change still waits for; none once the configuration is in
    /// force.
    pub(crate) fn unconfirmed_daemons(
        &mut self,
        now: Moment,
        this_daemon: &DaemonId,
        members: &MemberDoc,
        members_revision: Revision,
        contacts: &ContactTable,
    ) -> Vec<DaemonId> {
        let has_confirmed = |daemon: &DaemonId, incarnation: Incarnation| {
            let peer = DaemonRef { daemon: daemon.clone(), incarnation };
            daemon == this_daemon
                || contacts
                    .incarnation_contact(&peer)
                    .is_some_and(|contact| contact.status.config >= self.revision)
        };
        let unconfirmed: Vec<(&DaemonId, Incarnation)> = members
            .members
            .iter()
            .map(|(daemon, record)| (daemon, record.incarnation))
            .filter(|(daemon, incarnation)| !has_confirmed(daemon, *incarnation))
            .collect();
        if (members.members.len() - unconfirmed.len()) * 2 > members.members.len() {
            self.majority_confirmed_at.get_or_insert(now);
        }
        let is_fenced = self.majority_confirmed_at.is_some_and(|at| now - at >= FENCE_TIMEOUT);
        let has_same_members = |daemon: &DaemonId, incarnation: Incarnation| {
            let peer = DaemonRef { daemon: daemon.clone(), incarnation };
            contacts
                .incarnation_contact(&peer)
                .is_some_and(|contact| contact.status.members == members_revision)
        };
        let awaited = unconfirmed
            .into_iter()
            .filter(|(daemon, incarnation)| !(is_fenced && has_same_members(daemon, *incarnation)));
        awaited.map(|(daemon, _)| daemon.clone()).collect()
    }
}
