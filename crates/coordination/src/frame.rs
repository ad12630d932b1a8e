//! What daemons tell each other, twice a second and when something changed.

use serde::{Deserialize, Serialize};
use state::{DaemonRef, Incarnation, Moment, PoolId, Revision, TeamId, VmId};

/// Service that a daemon gave a team lately, in slot-milliseconds.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct TeamService {
    /// The team.
    pub team: TeamId,
    /// Slot-milliseconds, decayed over time.
    pub service: u64,
}

/// A limit that is split over the daemons.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
#[serde(rename_all = "kebab-case")]
pub enum LimitName {
    /// A team's upper limit.
    Team(TeamId),
    /// The slots of a pool's minions.
    Slots(PoolId),
}

/// A limit that a daemon has too small a part of.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct Shortage {
    /// Which limit.
    pub limit: LimitName,
    /// How much more could be used now.
    pub count: u32,
}

/// What a daemon says of itself in each frame.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize, Default)]
pub struct PeerNote {
    /// The configuration it works by.
    pub config: Revision,
    /// The set of daemons it counts by.
    pub members: Revision,
    /// The VM records it routes by.
    pub fleet: Revision,
    /// VMs in a planned stop on which it still has work.
    pub busy: Vec<VmId>,
    /// Limits it could use more of.
    pub short: Vec<Shortage>,
    /// Service it gave.
    pub service: Vec<TeamService>,
}

/// What a frame carries besides.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
#[serde(rename_all = "kebab-case")]
pub enum FrameBody {
    /// A heartbeat only.
    Beat,
    /// Parts of a limit were moved to the receiver.
    Moved {
        /// Which limit.
        limit: LimitName,
    },
    /// Asks for the configuration.
    WantConfig,
    /// The configuration's document.
    Config {
        /// Its revision.
        revision: Revision,
        /// Its text.
        value: Box<str>,
    },
}

/// One message between two daemons.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct Frame {
    /// The sender.
    pub from: DaemonRef,
    /// The run of the receiver that it is meant for.
    pub to: Incarnation,
    /// When it was sent, on the sender's clock.
    pub sent: Moment,
    /// The latest `sent` that the sender has had from the receiver.
    pub echo: Moment,
    /// What the sender says of itself.
    pub note: PeerNote,
    /// What else it carries.
    pub body: FrameBody,
}
