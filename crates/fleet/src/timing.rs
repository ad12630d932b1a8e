//! Times and limits.

use state::Millis;

/// Life of a daemon's lease: a dead daemon's pools are free after it.
pub(crate) const SESSION_TTL: Millis = Millis(3_000);
/// Time between renewals of the lease.
pub(crate) const SESSION_RENEWAL: Millis = Millis(800);
/// Part of the lease that is left unused, for clocks that differ and late orders.
pub(crate) const SESSION_MARGIN: Millis = Millis(400);
/// Longest wait of a watch; a silent connection is found after it.
pub(crate) const WATCH_WAIT: Millis = Millis(5_000);
/// Time between an answer of the shared watch and the next call, so that changes
/// share an answer.
pub(crate) const SHARED_GAP: Millis = Millis(25);
/// Time before a failed read or watch is tried again.
pub(crate) const READ_RETRY: Millis = Millis(150);
/// Time between two readings of the minions' reports.
pub(crate) const REGISTRY_PERIOD: Millis = Millis(400);
/// Wait before taking a duty that nobody has, for each duty already had.
pub(crate) const TAKE_STEP: Millis = Millis(200);
/// Most jobs that one commit accepts.
pub(crate) const ACCEPT_BATCH: usize = 7;
/// Most commits of accepted jobs at one time.
pub(crate) const ACCEPT_FLIGHTS: usize = 3;
/// Time before a refused commit is tried again.
pub(crate) const COMMIT_RETRY: Millis = Millis(100);
/// Part of a caller's patience that is kept for the answer's way.
pub(crate) const ANSWER_MARGIN: Millis = Millis(300);
/// When a caller is to come back after a refusal.
pub(crate) const RETRY_AFTER: Millis = Millis(1_000);
/// Lease that a hold gives to all that runs on a minion.
pub(crate) const RUN_LEASE: Millis = Millis(6_000);
/// Time for which a start is valid on the minion's clock.
pub(crate) const START_VALID: Millis = Millis(1_500);
/// Longest wait of a hold for an end.
pub(crate) const HOLD_WAIT: Millis = Millis(1_200);
/// Time after which leases are renewed even while ends wait for the store.
pub(crate) const HOLD_PERIOD: Millis = Millis(1_000);
/// Time for which a minion's answer counts as what it does now.
pub(crate) const HEARD_SPAN: Millis = Millis(2_000);
/// Time before a failed hold is tried again.
pub(crate) const HOLD_RETRY: Millis = Millis(250);
/// Time before a stop without a listed end is sent again.
pub(crate) const STOP_RETRY: Millis = Millis(400);
/// Time for which a minion that refused for want of room or health gets no start.
pub(crate) const REFUSAL_PAUSE: Millis = Millis(250);
/// Time after which submitters are told that a job has begun.
pub(crate) const BEGUN_TOLD: Millis = Millis(2_000);
/// Least time between two saves of a pool, so that ends share them.
pub(crate) const SAVE_GAP: Millis = Millis(15);
/// Most rows of a commit.
pub(crate) const COMMIT_ROWS: usize = 32;
/// Least time between two changes of a pool's parts.
pub(crate) const PARTS_GAP: Millis = Millis(40);
/// Time after which minions of an earlier owner that never showed are forgotten.
pub(crate) const ROSTER_KEPT: Millis = Millis(60_000);
/// Time between two readings of the list of VMs while orders are open.
pub(crate) const CLOUD_PERIOD: Millis = Millis(300);
/// Time between two readings while there is nothing to order.
pub(crate) const CLOUD_QUIET_PERIOD: Millis = Millis(3_000);
/// Time after which the list surely shows a VM that was moved.
pub(crate) const MOVE_SEEN: Millis = Millis(4_000);
/// Time for which a VM that a pool spares waits for another pool that wants it.
pub(crate) const SPARED_KEPT: Millis = Millis(600);
/// Least time between two changes of what a pool wants and spares.
pub(crate) const NEED_GAP: Millis = Millis(150);
/// Time after which a VM that is no longer spared gets starts again.
pub(crate) const SPARED_GRACE: Millis = Millis(1_000);
/// Error of a minion's clock, in parts of a thousand, with some room.
pub(crate) const CLOCK_ERROR_PERMILLE: u64 = 30;
/// Time for which an ended job's outcome is kept.
pub(crate) const OUTCOME_KEPT: Millis = Millis(300_000);
/// Longest time that a stopping daemon takes to note what has ended.
pub(crate) const HAND_OVER_TIME: Millis = Millis(600);
/// Longest time that a stopping daemon waits for open requests.
pub(crate) const STOP_PATIENCE: Millis = Millis(3_500);
