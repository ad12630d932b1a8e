//! The cases, each with the check of its rule.

mod late_start;
mod lowered_limit;
mod moved_route;
mod pending;
mod removed_route;
mod two_entries;

use std::thread;
use std::time::{Duration, Instant};

use crate::{Setting, Verdict};

type Case = fn(&Setting) -> Result<Verdict, String>;

pub fn find(name: &str) -> Option<Case> {
    match name {
        "lowered-limit" => Some(lowered_limit::limit_is_ignored),
        "moved-route" => Some(moved_route::job_is_unknown),
        "removed-route" => Some(removed_route::job_is_lost),
        "attempts" => Some(removed_route::attempts_are_unlimited),
        "late-start" => Some(late_start::task_runs_twice),
        "pending" => Some(pending::figure_is_too_low),
        "two-entries" => Some(two_entries::tasks_are_ended),
        _ => None,
    }
}

/// Waits until `is_met` holds, for at most `timeout`, and returns whether it holds.
fn wait_for(timeout: Duration, mut is_met: impl FnMut() -> bool) -> bool {
    let deadline = Instant::now() + timeout;
    while !is_met() {
        if Instant::now() >= deadline {
            return false;
        }
        thread::sleep(Duration::from_millis(5));
    }
    true
}
