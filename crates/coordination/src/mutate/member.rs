//! Daemons join and leave.

use state::{DaemonId, Incarnation, MemberDoc, MemberRecord};

/// A change of the set of daemons.
#[derive(Debug, Clone)]
pub enum MemberMutation {
    /// A daemon joins; an older run of it leaves by that.
    Join {
        /// The daemon.
        daemon: DaemonId,
        /// Its record.
        record: MemberRecord,
    },
    /// A run of a daemon leaves.
    Leave {
        /// The daemon.
        daemon: DaemonId,
        /// Its run.
        incarnation: Incarnation,
    },
}

/// Applies one change.
pub fn apply(doc: &mut MemberDoc, mutation: &MemberMutation) {
    match mutation {
        MemberMutation::Join { daemon, record } => {
            let known = doc.members.get(daemon);
            if known.is_none_or(|known| known.incarnation < record.incarnation) {
                doc.members.insert(daemon.clone(), record.clone());
            }
        }
        MemberMutation::Leave { daemon, incarnation } => {
            if doc.has(daemon, *incarnation) {
                doc.members.remove(daemon);
            }
        }
    }
}
