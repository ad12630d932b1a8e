//! The daemons that have joined, in one document with one revision.

use std::collections::BTreeMap;

use serde::{Deserialize, Serialize};

use crate::{DaemonId, DataCentreId, Incarnation, VmId};

/// One joined daemon.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct MemberRecord {
    /// The run of the process that joined.
    pub incarnation: Incarnation,
    /// The entry VM it runs on.
    pub vm: VmId,
    /// Where it runs.
    pub data_centre: DataCentreId,
    /// IP address and port of its peer link.
    pub peer_address: Box<str>,
}

/// Every daemon that may be taking work. A daemon leaves this document only by
/// its own graceful stop, by a newer incarnation, or when the platform's list
/// says that its VM is gone; never because it was silent for a while
/// (`docs/DESIGN.md`, "Paused daemons").
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize, Default)]
pub struct MemberDoc {
    /// Joined daemons.
    pub members: BTreeMap<DaemonId, MemberRecord>,
}

impl MemberDoc {
    /// Whether this very run of the daemon is joined.
    pub fn has(&self, daemon: &DaemonId, incarnation: Incarnation) -> bool {
        self.members.get(daemon).is_some_and(|record| record.incarnation == incarnation)
    }
}
