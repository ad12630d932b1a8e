//! Faults that a simulation injects.

use fleet::io::MinionCall;

/// Whether an order is of a kind.
pub type OrderKind = fn(&MinionCall) -> bool;

/// Faults that are active at present.
#[derive(Debug, Default, Clone)]
pub struct ActiveFaults {
    /// The store answers no daemon.
    pub is_store_down: bool,
    /// The store answers no call that is sent or waits meanwhile, also later. Leases are paused.
    pub is_store_silent: bool,
    /// The store refuses every call.
    pub store_refuses: bool,
    /// Daemons that get no answer from the store.
    pub disconnected_daemons: Vec<usize>,
    /// Share of writes without an answer. Half of these writes are carried out at once,
    /// the others 1 to 6 s later.
    pub lost_write_probability: f64,
    /// Additional time until the answer to a commit, in milliseconds.
    pub commit_delay_ms: u64,
    /// Share of orders that get no answer and are carried out 2 to 12 s later.
    pub late_order_probability: f64,
    /// Which orders may be late; `None` for all.
    pub may_be_late: Option<OrderKind>,
    /// An order that was sent to one incarnation of a minion is carried out by the one that is there
    /// when the order arrives.
    pub orders_outlive_incarnations: bool,
    /// Minions ignore a saved end that is above their last one, as a hold for an earlier incarnation
    /// may name it.
    pub ignores_unknown_saved_ends: bool,
    /// Connections to a minion stay open when its incarnation ends: the next one answers a waiting
    /// hold.
    pub connections_outlive_incarnations: bool,
    /// Maximum additional time until a minion's answer arrives, in milliseconds, so that answers
    /// overtake each other.
    pub max_answer_delay_ms: u64,
    /// Share of runs that fail.
    pub run_failure_probability: f64,
    /// The next daemon whose commit saves progress of jobs without the roster is killed.
    pub kills_between_saves: bool,
    /// The store keeps the reports of minions whose messages do not reach it.
    pub keeps_reports: bool,
    /// The cloud answers no daemon.
    pub is_cloud_down: bool,
}
