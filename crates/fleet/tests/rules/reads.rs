//! Reads of several pages of which one fails, driven answer by answer.

use fleet::io::{ItemValue, StoreAnswer, StoreCall, StoreItem};
use fleet::model::{DaemonCapacity, FleetSettings, RemoteFactor};
use fleet::{CallId, Clock, Effect, Event, FleetCore, KeyScope, OwnKey, StoreKey};
use jobs::{JobOutcome, JobPhase};
use state::{Incarnation, Millis, Moment, Revision};

use crate::config_rule::CONFIG_APPLY_MS;

/// Interval between two ticks; longer than the delay before a failed read is retried.
const TICK_INTERVAL: Millis = Millis(200);

/// Daemon whose store calls a test answers.
struct DrivenDaemon {
    core: FleetCore,
    now: Moment,
    /// Calls for the shared records that are not answered yet.
    open_calls: Vec<(CallId, StoreCall)>,
}

impl DrivenDaemon {
    fn start() -> Self {
        let settings = FleetSettings {
            daemon: "edge-0".parse().expect("valid name"),
            incarnation: Incarnation(1),
            data_centre: "dc-1".parse().expect("valid name"),
            capacity: DaemonCapacity::default(),
            max_run_lease: Millis(10_000),
            controller_lease: Millis(3_000),
            max_stop: Millis(1_000),
            config_apply: Millis(CONFIG_APPLY_MS),
            remote_factor: RemoteFactor::default(),
        };
        Self { core: FleetCore::new(settings), now: Moment(1_000), open_calls: Vec::new() }
    }

    fn step(&mut self, event: Event) {
        let clock = Clock { now: self.now, wall_ms: self.now.0 };
        for effect in self.core.step(clock, event) {
            if let Effect::Store(call, request) = effect
                && is_of_shared_records(&request)
            {
                self.open_calls.push((call, request));
            }
        }
    }

    /// Returns the next call for the shared records as text, and answers it.
    fn answer_next(&mut self, answer: StoreAnswer) -> String {
        self.now = self.now + TICK_INTERVAL;
        self.step(Event::Tick);
        let (call, request) = self.open_calls.remove(0);
        self.step(Event::Store(call, answer));
        match request {
            StoreCall::Range { after: None, .. } => "range from the start".to_owned(),
            StoreCall::Range { after: Some(StoreKey::Own(key)), .. } => {
                format!("range after {key}")
            }
            StoreCall::Watch { after, .. } => format!("watch after {after}"),
            other => format!("{other:?}"),
        }
    }
}

fn is_of_shared_records(request: &StoreCall) -> bool {
    match request {
        StoreCall::Range { scope, .. } | StoreCall::Watch { scope, .. } => {
            *scope == KeyScope::Shared
        }
        _ => false,
    }
}

/// Returns a page with one outcome.
fn build_page(job: u64, more: bool, at: u64) -> StoreAnswer {
    let job = format!("{job:016x}").parse().expect("valid name");
    let outcome = JobOutcome {
        phase: JobPhase::Queued,
        queue: "queue-0".parse().expect("valid name"),
        pool: "pool-0".parse().expect("valid name"),
    };
    let item = StoreItem {
        key: StoreKey::Own(OwnKey::Outcome(job)),
        value: ItemValue::Own(serde_json::to_vec(&outcome).expect("a record").into()),
        revision: Revision(1),
        created: Revision(1),
    };
    StoreAnswer::Items { items: vec![item], more, at: Revision(at) }
}

/// Guards against a reading of many pages that starts again at its first page, and so never ends,
/// because one page failed.
#[test]
fn failed_page_of_the_first_reading_is_read_again() {
    let mut daemon = DrivenDaemon::start();
    let calls = [
        daemon.answer_next(build_page(1, true, 7)),
        daemon.answer_next(StoreAnswer::Unknown),
        daemon.answer_next(build_page(2, false, 9)),
        daemon.answer_next(StoreAnswer::Unknown),
    ];
    let expected = [
        "range from the start",
        "range after outcome/0000000000000001",
        "range after outcome/0000000000000001",
        "watch after 7",
    ];
    assert_eq!(calls, expected);
}

/// Guards against changes that are missed because a reading after a compaction is not completed
/// when one of its pages failed.
#[test]
fn failed_page_after_a_compaction_is_read_again() {
    let mut daemon = DrivenDaemon::start();
    let calls = [
        daemon.answer_next(build_page(1, false, 7)),
        daemon.answer_next(StoreAnswer::Compacted),
        daemon.answer_next(build_page(1, true, 50)),
        daemon.answer_next(StoreAnswer::Unknown),
        daemon.answer_next(build_page(2, false, 52)),
        daemon.answer_next(StoreAnswer::Unknown),
    ];
    let expected = [
        "range from the start",
        "watch after 7",
        "range from the start",
        "range after outcome/0000000000000001",
        "range after outcome/0000000000000001",
        "watch after 50",
    ];
    assert_eq!(calls, expected);
}
