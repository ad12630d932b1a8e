//! Times that the protocols rely on, in one place with their reasons.
//!
//! The chain that makes an accepted change in force everywhere within 3 s
//! (`docs/DESIGN.md`, "Configuration"): a daemon without contact stops taking
//! work after [`FRESHNESS`]; whoever waits for it waits [`FENCE_WAIT`], which is
//! longer by more than two clocks may differ.

use state::Millis;

/// How often a daemon looks at its timers.
pub const TICK: Millis = Millis(50);

/// How often a daemon sends each peer a frame.
pub const HEARTBEAT: Millis = Millis(500);

/// How long a daemon may take new work on the strength of its last contact
/// with the platform or with more than half of the daemons.
pub const FRESHNESS: Millis = Millis(1_800);

/// How long a silent daemon must be waited for before it is known to have
/// stopped taking work.
pub const FENCE_WAIT: Millis = Millis(2_200);

/// How long an operator's call waits for a change to be in force.
pub const CHANGE_WAIT: Millis = Millis(10_000);

/// How long the platform holds a watch open.
pub const WATCH_WAIT: Millis = Millis(500);

/// How often the platform's list of VMs is read.
pub const LISTING_PERIOD: Millis = Millis(1_000);

/// The age at which a decision to send is made anew instead of carried out.
pub const DECISION_AGE: Millis = Millis(1_000);

/// How often allotments are weighed against demand.
pub const REBALANCE_PERIOD: Millis = Millis(200);

/// How often documents with jobs are read again.
pub const TEAM_REFRESH: Millis = Millis(1_000);

/// How often a worker with tasks is asked about them.
pub const WORKER_POLL: Millis = Millis(1_000);

/// How long a worker goes on with tasks without being asked about them.
pub const TASK_LEASE: Millis = Millis(10_000);

/// How long a silent worker must be waited for before its tasks have ended.
pub const TASK_FENCE: Millis = Millis(13_000);

/// Longest time a request can run: the longest deadline a pool may have.
pub const LONGEST_REQUEST: Millis = Millis(30_000);

/// How long what a lost daemon used is held back after its VM is gone.
pub const HOLDER_QUARANTINE: Millis = Millis(33_000);

/// First pause after a failed store call; it doubles up to [`STORE_PAUSE_MAX`].
pub const STORE_PAUSE: Millis = Millis(50);

/// Longest pause between failed store calls.
pub const STORE_PAUSE_MAX: Millis = Millis(800);

/// How long a claim is remembered, on the platform's wall clock.
pub const CLAIM_RETENTION: Millis = Millis(3_600_000);

/// How long an ended job can be looked up.
pub const JOB_RETENTION: Millis = Millis(600_000);

/// How long a graceful stop goes on trying to hand back what it holds after its
/// last request has ended. What it could not hand back is freed later, like
/// that of a lost daemon.
pub const STOP_WAIT: Millis = Millis(5_000);
