//! Changes of the member document, the set of daemons.

use state::{DaemonId, Incarnation, MemberDoc, MemberRecord};

/// Change of the set of daemons.
#[derive(Debug, Clone)]
pub enum MemberMutation {
    /// Adds a daemon and replaces an older incarnation of that daemon.
    Join {
        /// Daemon to add.
        daemon: DaemonId,
        /// Record with the incarnation of the daemon.
        record: MemberRecord,
    },
    /// Removes one incarnation of a daemon.
    Leave {
        /// Daemon to remove.
        daemon: DaemonId,
        /// Incarnation to remove; a newer one stays.
        incarnation: Incarnation,
    },
}

/// Applies one change.
pub fn apply(doc: &mut MemberDoc, mutation: &MemberMutation) {
    match mutation {
        MemberMutation::Join { daemon, record } => {
            let existing = doc.members.get(daemon);
            if existing.is_none_or(|existing| existing.incarnation < record.incarnation) {
                doc.members.insert(daemon.clone(), record.clone());
            }
        }
        MemberMutation::Leave { daemon, incarnation } => {
            if doc.has_joined(daemon, *incarnation) {
                doc.members.remove(daemon);
            }
        }
    }
}
