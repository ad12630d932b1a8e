//! Frames that daemons send to each other twice a second and after a change.

use serde::{Deserialize, Serialize};
use state::{DaemonRef, Incarnation, Moment, PoolId, Revision, TeamId, VmId};

/// Recent service that a daemon gave to a team.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct TeamService {
    /// Team that received the service.
    pub team: TeamId,
    /// Service in slot-milliseconds, decayed over time.
    pub service: u64,
}

/// Fleet-wide limit that is divided into quota allocations of the daemons.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
#[serde(rename_all = "kebab-case")]
pub enum LimitName {
    /// Limit of a team.
    Team(TeamId),
    /// Slots of the minions of a pool.
    Slots(PoolId),
}

/// Shortage of a daemon whose quota allocation of a limit is below its demand.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct Shortage {
    /// Limit that the shortage concerns.
    pub limit: LimitName,
    /// Additional amount that the daemon could use now.
    pub count: u32,
}

/// Status that a daemon reports in each frame.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize, Default)]
pub struct PeerStatus {
    /// Revision of the configuration that the daemon applies.
    pub config: Revision,
    /// Revision of the member document from which the daemon counts majorities.
    pub members: Revision,
    /// Revision of the VM records from which the daemon routes.
    pub fleet: Revision,
    /// VMs in a planned stop on which the daemon still has work.
    pub busy: Vec<VmId>,
    /// Limits of which the daemon could use more than its quota allocation.
    pub short: Vec<Shortage>,
    /// Recent service that the daemon gave to teams.
    pub service: Vec<TeamService>,
}

/// Content of a frame besides the status of its sender.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
#[serde(rename_all = "kebab-case")]
pub enum FrameBody {
    /// The frame is a heartbeat without further content.
    Beat,
    /// The sender transferred quota to the receiver.
    Moved {
        /// Limit that the quota belongs to.
        limit: LimitName,
    },
    /// The sender requests the configuration.
    WantConfig,
    /// The frame carries the document of the configuration.
    Config {
        /// Revision of the document.
        revision: Revision,
        /// Document as JSON text.
        value: Box<str>,
    },
}

/// Message between two daemons.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct Frame {
    /// Daemon that sends the frame, with its incarnation.
    pub from: DaemonRef,
    /// Incarnation of the receiving daemon for which the frame is meant.
    pub to: Incarnation,
    /// Send time on the sender's clock.
    pub sent: Moment,
    /// Latest `sent` of the frames that the sender received from the receiver.
    pub echo: Moment,
    /// Status of the sender.
    #[serde(rename = "note")]
    pub status: PeerStatus,
    /// Further content of the frame.
    pub body: FrameBody,
}
