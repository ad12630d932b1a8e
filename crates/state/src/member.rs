//! Document of the daemons that have joined; the whole document has one revision.

use std::collections::BTreeMap;

use serde::{Deserialize, Serialize};

use crate::{DaemonId, DataCentreId, Incarnation, VmId};

/// Record of one joined daemon.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct MemberRecord {
    /// Incarnation of the daemon that joined.
    pub incarnation: Incarnation,
    /// Entry VM on which the daemon runs.
    pub vm: VmId,
    /// Data centre in which the daemon runs.
    pub data_centre: DataCentreId,
    /// IP address and port on which the daemon accepts peer connections.
    pub peer_address: Box<str>,
}

/// Records of all daemons that may accept work. A record is removed only when the daemon stops
/// gracefully, when a newer incarnation replaces it, or when the platform's list shows that the
/// daemon's VM is gone. An unresponsive daemon stays in the document (`docs/DESIGN.md`, "Paused
/// daemons").
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize, Default)]
pub struct MemberDoc {
    /// Records of the joined daemons by daemon.
    pub members: BTreeMap<DaemonId, MemberRecord>,
}

impl MemberDoc {
    /// Returns whether the daemon has joined with exactly this incarnation.
    pub fn has_joined(&self, daemon: &DaemonId, incarnation: Incarnation) -> bool {
        self.members.get(daemon).is_some_and(|record| record.incarnation == incarnation)
    }
}
