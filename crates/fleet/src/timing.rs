//! Durations, intervals and bounds of the daemon's protocols.

use state::Millis;

/// Duration of a daemon's lease; the shards of a dead daemon are free once its lease has
/// ended.
pub(crate) const SESSION_TTL: Millis = Millis(3_000);
/// Interval between renewals of the lease.
pub(crate) const SESSION_RENEWAL_INTERVAL: Millis = Millis(800);
/// Part of the lease that is left unused, to allow for clock differences and late
/// orders.
pub(crate) const SESSION_SAFETY_MARGIN: Millis = Millis(400);
/// Remaining validity of the lease at or below which a renewal is logged as late.
pub(crate) const LATE_RENEWAL_MARGIN: Millis = Millis(1_000);
/// Lower bound of the time that a watch waits for a change; each watch is a call to the store.
pub(crate) const MIN_WATCH_WAIT: Millis = Millis(500);
/// Upper bound of the time that a watch waits for a change.
pub(crate) const MAX_WATCH_WAIT: Millis = Millis(5_000);
/// Interval between an answer of the shared watch and the next call, so that several
/// changes share one answer.
pub(crate) const SHARED_WATCH_INTERVAL: Millis = Millis(25);
/// Timeout for a call to the store with a short answer, in addition to the wait of a watch.
pub(crate) const STORE_TIMEOUT: Millis = Millis(1_000);
/// Delay before a failed read or watch is retried.
pub(crate) const READ_RETRY_DELAY: Millis = Millis(150);
/// Duration without a page of a pool's records after which the owner releases the pool; longer
/// than the timeout of a page on a slow link.
pub(crate) const LOAD_STALL_TIMEOUT: Millis = Millis(4_000);
/// Duration for which a daemon does not acquire a shard that it has released, so that another
/// daemon acquires it.
pub(crate) const RELEASED_SHARD_PAUSE: Millis = Millis(3_000);
/// Interval between two readings of the minions' reports.
pub(crate) const REGISTRY_INTERVAL: Millis = Millis(400);
/// Delay before a free shard is acquired, per shard that a daemon of standard capacity already
/// owns.
pub(crate) const ACQUIRE_DELAY_STEP: Millis = Millis(150);
/// Maximum delay before a free shard is acquired, without the hash that spreads equal daemons.
pub(crate) const MAX_ACQUIRE_DELAY: Millis = Millis(1_000);
/// Maximum number of jobs that one commit accepts.
pub(crate) const MAX_ACCEPT_BATCH: usize = 7;
/// Maximum number of in-flight commits that accept jobs.
pub(crate) const MAX_ACCEPT_COMMITS_IN_FLIGHT: usize = 3;
/// Delay before a failed commit is retried.
pub(crate) const COMMIT_RETRY_DELAY: Millis = Millis(100);
/// Part of the caller's timeout that is reserved for sending the answer.
pub(crate) const ANSWER_MARGIN: Millis = Millis(300);
/// Delay after which a caller should retry a request that was not done.
pub(crate) const RETRY_AFTER: Millis = Millis(1_000);
/// Duration of the lease that a hold grants to all runs on a minion.
pub(crate) const RUN_LEASE_DURATION: Millis = Millis(6_000);
/// Duration for which a start order is valid on the minion's clock.
pub(crate) const START_VALIDITY: Millis = Millis(1_500);
/// Maximum duration that a hold waits for a finished run.
pub(crate) const MAX_HOLD_WAIT: Millis = Millis(1_200);
/// Interval after which leases are renewed even while finished runs wait for the store.
pub(crate) const MAX_HOLD_INTERVAL: Millis = Millis(1_000);
/// Duration for which a minion's answer counts as its current state.
pub(crate) const CONTACT_VALIDITY: Millis = Millis(2_000);
/// Delay before a failed hold is retried.
pub(crate) const HOLD_RETRY_DELAY: Millis = Millis(250);
/// Delay before a stop is sent again if the minion has not listed the run as finished.
pub(crate) const STOP_RETRY_DELAY: Millis = Millis(400);
/// Retention of a start that was released without an answer, since it may still arrive.
pub(crate) const LATE_ORDER_RETENTION: Millis = Millis(20_000);
/// Time by which an order may arrive later than the next owner takes over.
pub(crate) const EARLIER_ORDER_DELAY: Millis = Millis(500);
/// Time for an order of a pool's previous owner to reach its minion, and for the end that it causes
/// to be listed.
pub(crate) const EARLIER_ORDER_MARGIN: Millis = Millis(400);
/// Duration without starts on a minion after a start that was refused for lack of
/// capacity or health, that reached another incarnation, or whose outcome is unknown.
pub(crate) const REFUSAL_PAUSE: Millis = Millis(250);
/// Delay after a job's first start before the job is reported to submitters as active.
pub(crate) const BEGUN_REPORT_DELAY: Millis = Millis(2_000);
/// Minimum interval between two saves of a pool, so that finished runs share a save.
pub(crate) const MIN_SAVE_INTERVAL: Millis = Millis(15);
/// Maximum number of rows in a commit.
pub(crate) const MAX_COMMIT_ROWS: usize = 32;
/// Minimum interval between two changes of a pool's quota allocations.
pub(crate) const MIN_ALLOCATION_INTERVAL: Millis = Millis(40);
/// Retention of roster minions of a previous owner that have not answered this owner.
pub(crate) const ROSTER_RETENTION: Millis = Millis(60_000);
/// Interval between two readings of the VM list while orders are open.
pub(crate) const VM_LIST_INTERVAL: Millis = Millis(300);
/// Interval between two readings of the VM list while there is nothing to order.
pub(crate) const VM_LIST_IDLE_INTERVAL: Millis = Millis(3_000);
/// Age of the VM list up to which orders are based on it: the interval between two readings, and
/// the time for an answer.
pub(crate) const MAX_VM_LIST_AGE: Millis = Millis(4_000);
/// Duration after which the VM list certainly shows a moved VM.
pub(crate) const MOVE_VISIBILITY_DELAY: Millis = Millis(4_000);
/// Time from the order to move a VM until its pool can start tasks on it: the move, the minion's
/// report, and the commit of the roster.
pub(crate) const VM_ARRIVAL_DELAY: Millis = Millis(2_200);
/// Duration for which an offered VM waits for a request from another pool.
pub(crate) const OFFERED_VM_RETENTION: Millis = Millis(600);
/// Minimum interval between two changes of a pool's requested and offered VMs.
pub(crate) const MIN_DEMAND_INTERVAL: Millis = Millis(150);
/// Minimum interval between two writes of a pool's measured run times.
pub(crate) const MIN_RUN_TIMES_INTERVAL: Millis = Millis(5_000);
/// Duration after which a VM that is no longer offered gets starts again.
pub(crate) const WITHDRAWN_OFFER_PAUSE: Millis = Millis(1_000);
/// Maximum rate error of a minion's clock in per mille, with some margin.
pub(crate) const CLOCK_ERROR_PERMILLE: u64 = 30;
/// Retention of an ended job's outcome.
pub(crate) const OUTCOME_RETENTION: Millis = Millis(300_000);
/// Maximum duration that a stopping daemon takes to save finished runs.
pub(crate) const HANDOVER_TIMEOUT: Millis = Millis(600);
/// Maximum duration that a stopping daemon waits for open requests and for the end of its
/// lease.
pub(crate) const STOP_TIMEOUT: Millis = Millis(3_500);
