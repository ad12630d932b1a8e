//! Intervals, timeouts and retention periods of the protocols, with their
//! reasons.
//!
//! [`CONTACT_VALIDITY`] and [`FENCE_TIMEOUT`] together ensure that an accepted
//! change is in force everywhere within 3 s (`docs/DESIGN.md`, "Configuration"). A
//! daemon without contact stops accepting work after `CONTACT_VALIDITY`. A daemon
//! that waits for an unresponsive peer waits for `FENCE_TIMEOUT`. The difference
//! between the two durations exceeds the maximum difference between two clocks.

use state::Millis;

/// Interval between two ticks, at which a daemon checks its timers.
pub const TICK_INTERVAL: Millis = Millis(50);

/// Interval between two frames that a daemon sends to each peer.
pub const HEARTBEAT_INTERVAL: Millis = Millis(500);

/// Time for which a daemon may accept new work after its last contact with the
/// platform or with more than half of the daemons.
pub const CONTACT_VALIDITY: Millis = Millis(1_800);

/// Time after which an unresponsive daemon is certain to have stopped accepting
/// work.
pub const FENCE_TIMEOUT: Millis = Millis(2_200);

/// Time for which an operator's call waits for its change to be in force.
pub const CHANGE_TIMEOUT: Millis = Millis(10_000);

/// Time for which the platform holds a watch open.
pub const WATCH_TIMEOUT: Millis = Millis(500);

/// Interval between two reads of the platform's list of VMs.
pub const LISTING_INTERVAL: Millis = Millis(1_000);

/// Age at which a decision to send a request is made again instead of being
/// carried out.
pub const MAX_DECISION_AGE: Millis = Millis(1_000);

/// Interval at which local allocations are compared with demand.
pub const REBALANCE_INTERVAL: Millis = Millis(200);

/// Base interval at which the team and slot documents are read again; the interval grows
/// with the number of teams.
pub const TEAM_REFRESH_INTERVAL: Millis = Millis(1_000);

/// Interval between two polls of a worker that has tasks.
pub const WORKER_POLL_INTERVAL: Millis = Millis(1_000);

/// Time for which a worker continues its tasks without being polled.
pub const TASK_LEASE_DURATION: Millis = Millis(10_000);

/// Time after which the tasks of an unresponsive worker are certain to have
/// ended.
pub const TASK_FENCE_TIMEOUT: Millis = Millis(13_000);

/// Maximum duration of a request, which is the longest deadline that a pool may
/// have.
pub const MAX_REQUEST_DURATION: Millis = Millis(30_000);

/// Time for which the quota allocations of a daemon incarnation stay reserved after
/// the incarnation is no longer a member, for example because its VM is gone.
pub const HOLDER_QUARANTINE: Millis = Millis(33_000);

/// First backoff after a failed store call. The backoff doubles with each further
/// failure, up to [`MAX_STORE_BACKOFF`].
pub const MIN_STORE_BACKOFF: Millis = Millis(50);

/// Maximum backoff between failed store calls.
pub const MAX_STORE_BACKOFF: Millis = Millis(800);

/// Retention of a claim, on the platform's wall clock.
pub const CLAIM_RETENTION: Millis = Millis(3_600_000);

/// Retention of an ended job, during which the job can be looked up.
pub const JOB_RETENTION: Millis = Millis(600_000);

/// Time for which a daemon that stops gracefully keeps trying to release its quota
/// allocations after the last request has ended. An allocation that is not released
/// by then is freed later, like an allocation of a lost daemon.
pub const STOP_TIMEOUT: Millis = Millis(5_000);
