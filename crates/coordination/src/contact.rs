//! Which daemons answer, and whether this one may take new work.
//!
//! A daemon may take work while it had contact within
//! [`FRESHNESS`](crate::timing::FRESHNESS) with the platform, or with so many
//! daemons that together with itself they are more than half of the members.
//! Contact counts from when this daemon *sent* what the other side then
//! answered; so whatever the other side knew at the answer, it knew no longer
//! ago than that. `docs/DESIGN.md`, "Configuration", shows why this makes an
//! accepted change in force everywhere.

use std::collections::BTreeMap;

use state::{DaemonId, DaemonRef, Incarnation, MemberDoc, Millis, Moment, Revision};

use crate::frame::{Frame, PeerNote};
use crate::timing::{FENCE_WAIT, FRESHNESS};

/// A contact that never grows old.
const ALWAYS: Moment = Moment(u64::MAX / 2);

/// What is known of one peer's run.
#[derive(Debug, Clone, Default)]
pub(crate) struct PeerContact {
    incarnation: Incarnation,
    /// Latest time of this daemon's clock that the peer has echoed.
    echoed: Option<Moment>,
    /// Latest send time of the peer's clock that was heard.
    heard_stamp: Moment,
    /// When a frame last came, on this daemon's clock.
    heard_at: Moment,
    /// What the peer last said.
    pub(crate) note: PeerNote,
}

/// Contacts with the platform and with all peers.
#[derive(Debug, Clone, Default)]
pub struct ContactTable {
    platform: Option<Moment>,
    peers: BTreeMap<DaemonId, PeerContact>,
}

impl ContactTable {
    /// Notes that a call sent at `sent` told all that the platform knew then.
    pub fn platform_answered(&mut self, sent: Moment) {
        self.platform = self.platform.max(Some(sent));
    }

    /// Takes a frame; returns false if it is older than one already taken.
    pub fn heard(&mut self, now: Moment, frame: &Frame) -> bool {
        let peer = self.peers.entry(frame.from.daemon.clone()).or_default();
        if frame.from.incarnation < peer.incarnation {
            return false;
        }
        if frame.from.incarnation > peer.incarnation {
            *peer = PeerContact { incarnation: frame.from.incarnation, ..PeerContact::default() };
        }
        if frame.echo.0 > 0 {
            peer.echoed = peer.echoed.max(Some(frame.echo));
        }
        if frame.sent <= peer.heard_stamp {
            return false;
        }
        peer.heard_stamp = frame.sent;
        peer.heard_at = now;
        peer.note = frame.note.clone();
        true
    }

    /// What to echo to `peer`.
    pub fn echo_for(&self, peer: &DaemonRef) -> Moment {
        let known = self.run(peer);
        known.map_or(Moment(0), |contact| contact.heard_stamp)
    }

    /// What is known of this very run of a peer.
    pub(crate) fn run(&self, peer: &DaemonRef) -> Option<&PeerContact> {
        let contact = self.peers.get(&peer.daemon)?;
        (contact.incarnation == peer.incarnation).then_some(contact)
    }

    /// What the runs that are members last said.
    pub(crate) fn notes<'a>(
        &'a self,
        members: &'a MemberDoc,
    ) -> impl Iterator<Item = (&'a DaemonId, &'a PeerNote)> {
        members.members.iter().filter_map(|(daemon, record)| {
            let contact = self.peers.get(daemon)?;
            (contact.incarnation == record.incarnation).then_some((daemon, &contact.note))
        })
    }

    /// Whether a frame of `peer` came within `span`.
    pub fn is_heard(&self, peer: &DaemonRef, now: Moment, span: Millis) -> bool {
        self.run(peer)
            .is_some_and(|contact| contact.heard_stamp.0 > 0 && now - contact.heard_at <= span)
    }

    /// Until when this daemon may take new work.
    pub fn fresh_until(&self, me: &DaemonId, members: &MemberDoc) -> Moment {
        let latest = self.platform.max(self.majority_contact(me, members));
        latest.map_or(Moment(0), |contact| contact + FRESHNESS)
    }

    /// The latest time since which more than half of the members, this one
    /// counted, have answered. A daemon that is the only member is a majority
    /// by itself at all times.
    fn majority_contact(&self, me: &DaemonId, members: &MemberDoc) -> Option<Moment> {
        let others = members.members.iter().filter(|(daemon, _)| *daemon != me);
        let contacts = others.filter_map(|(daemon, record)| {
            let contact = self.peers.get(daemon)?;
            (contact.incarnation == record.incarnation).then_some(contact.echoed).flatten()
        });
        let mut contacts: Vec<Moment> = contacts.collect();
        contacts.sort_unstable_by(|a, b| b.cmp(a));
        let needed = members.members.len() / 2;
        match needed {
            0 => Some(ALWAYS),
            _ => contacts.get(needed - 1).copied(),
        }
    }
}

/// Waits until a committed configuration is in force everywhere.
///
/// It is in force when more than half of the members have confirmed it, and
/// each of the others has either confirmed it or been silent for
/// [`FENCE_WAIT`] since then, while counting by the same set of members.
#[derive(Debug, Clone)]
pub(crate) struct ChangeWait {
    pub(crate) revision: Revision,
    majority_at: Option<Moment>,
}

impl ChangeWait {
    pub(crate) fn new(revision: Revision) -> Self {
        Self { revision, majority_at: None }
    }

    /// The daemons that are still waited for; none when it is in force.
    pub(crate) fn waiting(
        &mut self,
        now: Moment,
        me: &DaemonId,
        members: &MemberDoc,
        members_revision: Revision,
        contacts: &ContactTable,
    ) -> Vec<DaemonId> {
        let confirmed = |daemon: &DaemonId, incarnation: Incarnation| {
            let peer = DaemonRef { daemon: daemon.clone(), incarnation };
            daemon == me || contacts.run(&peer).is_some_and(|run| run.note.config >= self.revision)
        };
        let silent: Vec<(&DaemonId, Incarnation)> = members
            .members
            .iter()
            .map(|(daemon, record)| (daemon, record.incarnation))
            .filter(|(daemon, incarnation)| !confirmed(daemon, *incarnation))
            .collect();
        if (members.members.len() - silent.len()) * 2 > members.members.len() {
            self.majority_at.get_or_insert(now);
        }
        let fenced = self.majority_at.is_some_and(|at| now - at >= FENCE_WAIT);
        let counts_alike = |daemon: &DaemonId, incarnation: Incarnation| {
            let peer = DaemonRef { daemon: daemon.clone(), incarnation };
            contacts.run(&peer).is_some_and(|run| run.note.members == members_revision)
        };
        let waited =
            silent.into_iter().filter(|(daemon, run)| !(fenced && counts_alike(daemon, *run)));
        waited.map(|(daemon, _)| daemon.clone()).collect()
    }
}
