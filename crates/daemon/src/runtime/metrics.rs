//! Counters and latency histograms, exported in the Prometheus text format.
//!
//! [`MetricsRegistry`] counts answers to submitters, calls to the store and orders to minions,
//! each with its latency, and also decisions and dropped log lines.

use std::fmt::Write;
use std::sync::atomic::AtomicU64;
use std::sync::{Arc, Mutex, PoisonError};
use std::time::Duration;

use fleet::io::{MinionAnswer, MinionCall, StoreAnswer, StoreCall};
use fleet::{ClientAnswer, DecisionLine, Event, Measurement};
use prometheus_client::encoding::EncodeLabelSet;
use prometheus_client::encoding::text::encode;
use prometheus_client::metrics::counter::Counter;
use prometheus_client::metrics::family::Family;
use prometheus_client::metrics::gauge::Gauge;
use prometheus_client::metrics::histogram::{Histogram, exponential_buckets};
use prometheus_client::registry::{Metric, Registry};
use state::Millis;
use transport::{ClientCause, ClientCounters};

#[derive(Debug, Clone, PartialEq, Eq, Hash, EncodeLabelSet)]
struct KindLabel {
    kind: &'static str,
}

#[derive(Debug, Clone, PartialEq, Eq, Hash, EncodeLabelSet)]
struct OutcomeLabels {
    kind: &'static str,
    outcome: &'static str,
}

#[derive(Debug, Clone, PartialEq, Eq, Hash, EncodeLabelSet)]
struct AddressLabel {
    address: &'static str,
}

#[derive(Debug, Clone, PartialEq, Eq, Hash, EncodeLabelSet)]
struct CauseLabels {
    address: &'static str,
    cause: &'static str,
}

type HistogramFamily = Family<KindLabel, Histogram, fn() -> Histogram>;

/// Creates a histogram whose bucket bounds double from 1 ms to 4 s.
fn new_latency_histogram() -> Histogram {
    Histogram::new(exponential_buckets(0.001, 2.0, 13))
}

fn new_latency_family() -> HistogramFamily {
    Family::new_with_constructor(new_latency_histogram)
}

/// Creates a histogram of step durations, whose bucket bounds double from 25 µs to 0.2 s.
fn new_step_histogram() -> Histogram {
    Histogram::new(exponential_buckets(0.000_025, 2.0, 14))
}

/// Creates a histogram of ratios of run times, whose bucket bounds grow by the square root of 2 from
/// 1/16 to 16.
fn new_ratio_histogram() -> Histogram {
    Histogram::new(exponential_buckets(0.0625, std::f64::consts::SQRT_2, 17))
}

/// Creates a histogram of answer lengths, whose bucket bounds grow fourfold from 256 B to 4 MiB.
fn new_length_histogram() -> Histogram {
    Histogram::new(exponential_buckets(256.0, 4.0, 8))
}

/// All metrics of the daemon, with the prefix `pollenfall`.
pub struct MetricsRegistry {
    registry: Registry,
    answers: Family<OutcomeLabels, Counter>,
    answer_seconds: HistogramFamily,
    store_calls: Family<OutcomeLabels, Counter>,
    store_seconds: HistogramFamily,
    store_answer_bytes: HistogramFamily,
    step_seconds: HistogramFamily,
    tick_late_seconds: Histogram,
    placement_checks: Counter,
    record_age: Gauge<f64, AtomicU64>,
    orders: Family<OutcomeLabels, Counter>,
    order_seconds: HistogramFamily,
    ready_seconds: HistogramFamily,
    pass_delay_seconds: Histogram,
    end_saved_seconds: Histogram,
    save_answer_seconds: Histogram,
    run_time_ratio: HistogramFamily,
    vm_health: Family<KindLabel, Counter>,
    run_releases: Family<KindLabel, Counter>,
    event_wait_seconds: Histogram,
    data_waits: Counter,
    data_wait_seconds: HistogramFamily,
    decisions: Family<KindLabel, Counter>,
    refused_clients: Family<CauseLabels, Counter>,
    client_connections: Family<AddressLabel, Gauge>,
    client_bytes: Family<AddressLabel, Gauge>,
    /// Counters of the listening addresses, from which the three metrics above are updated.
    client_counters: Mutex<Vec<Arc<ClientCounters>>>,
    /// Log lines dropped because a queue was full.
    pub dropped_lines: Counter,
}

/// Registers a metric under `name` and returns it.
fn register<M: Metric + Clone>(registry: &mut Registry, name: &str, help: &str, metric: M) -> M {
    registry.register(name, help, metric.clone());
    metric
}

impl MetricsRegistry {
    /// Creates the metrics; `dropped_lines` counts the log lines that were dropped.
    pub fn new(dropped_lines: &Counter) -> Self {
        let mut registry = Registry::with_prefix("pollenfall");
        let own = &mut registry;
        let (latencies, seconds) = (new_latency_family, new_latency_histogram);
        let lengths = || Family::new_with_constructor(new_length_histogram as fn() -> Histogram);
        let steps = || Family::new_with_constructor(new_step_histogram as fn() -> Histogram);
        Self {
            answers: register(own, "answers", "Answers to submitters", Family::default()),
            answer_seconds: register(
                own,
                "answer_seconds",
                "From a request to its answer",
                latencies(),
            ),
            store_calls: register(own, "store_calls", "Calls to the store", Family::default()),
            store_seconds: register(
                own,
                "store_seconds",
                "From a call to the store to its answer",
                latencies(),
            ),
            store_answer_bytes: register(
                own,
                "store_answer_bytes",
                "Length of the store's complete answers",
                lengths(),
            ),
            step_seconds: register(
                own,
                "step_seconds",
                "Duration of a step of the state machine with its effects",
                steps(),
            ),
            tick_late_seconds: register(
                own,
                "tick_late_seconds",
                "Delay of a clock tick beyond the tick interval",
                seconds(),
            ),
            placement_checks: register(
                own,
                "placement_checks",
                "Jobs, minions and runs that this daemon has examined as the owner of pools",
                Counter::default(),
            ),
            record_age: register(
                own,
                "record_age_seconds",
                "Time since the store last confirmed the configuration and the other shared records",
                Gauge::default(),
            ),
            orders: register(own, "orders", "Orders to minions", Family::default()),
            order_seconds: register(
                own,
                "order_seconds",
                "From an order to its answer",
                latencies(),
            ),
            ready_seconds: register(
                own,
                "ready_seconds",
                "Time for which started tasks had been ready, by what had prevented their start",
                latencies(),
            ),
            pass_delay_seconds: register(
                own,
                "pass_delay_seconds",
                "From the request of a placement pass to the pass",
                seconds(),
            ),
            end_saved_seconds: register(
                own,
                "end_saved_seconds",
                "From the processing of a finished run until it was saved",
                seconds(),
            ),
            save_answer_seconds: register(
                own,
                "save_answer_seconds",
                "From a commit of progress to its answer",
                seconds(),
            ),
            event_wait_seconds: register(
                own,
                "event_wait_seconds",
                "Time for which an event waited for the state machine",
                seconds(),
            ),
            run_time_ratio: register(
                own,
                "run_time_ratio",
                "Measured run time of a task in relation to the declared and to the expected one",
                Family::new_with_constructor(new_ratio_histogram as fn() -> Histogram),
            ),
            vm_health: register(
                own,
                "vm_health",
                "Decisions about the health of VMs and racks",
                Family::default(),
            ),
            run_releases: register(
                own,
                "run_releases",
                "Runs that were released without a listed end, by the reason",
                Family::default(),
            ),
            data_waits: register(
                own,
                "data_waits",
                "Tasks that began to wait for capacity near their data",
                Counter::default(),
            ),
            data_wait_seconds: register(
                own,
                "data_wait_seconds",
                "Time for which tasks waited for capacity near their data, by outcome",
                latencies(),
            ),
            decisions: register(own, "decisions", "Decisions, as logged", Family::default()),
            refused_clients: register(
                own,
                "refused_clients",
                "Refused requests and closed connections, by listening address and cause",
                Family::default(),
            ),
            client_connections: register(
                own,
                "client_connections",
                "Open connections of clients",
                Family::default(),
            ),
            client_bytes: register(
                own,
                "client_bytes",
                "Memory of the clients' connections as the limits count it",
                Family::default(),
            ),
            client_counters: Mutex::default(),
            dropped_lines: register(
                own,
                "dropped_lines",
                "Log lines that found a queue full",
                dropped_lines.clone(),
            ),
            registry,
        }
    }
}

fn to_seconds(duration: Millis) -> f64 {
    duration.0 as f64 / 1_000.0
}

impl MetricsRegistry {
    /// Returns all metrics in the Prometheus text format, or a comment with the error if encoding
    /// fails.
    pub fn encode_text(&self) -> String {
        self.update_client_metrics();
        let mut text = String::new();
        if let Err(error) = encode(&mut text, &self.registry) {
            text.clear();
            let _ = write!(text, "# the metrics cannot be encoded: {error}");
        }
        text
    }

    /// Exports the counters of one more listening address.
    pub fn add_client_counters(&self, counters: &Arc<ClientCounters>) {
        let mut all = self.client_counters.lock().unwrap_or_else(PoisonError::into_inner);
        all.push(Arc::clone(counters));
    }

    fn update_client_metrics(&self) {
        let all = self.client_counters.lock().unwrap_or_else(PoisonError::into_inner);
        for counters in all.iter() {
            let address = counters.address().label();
            let label = AddressLabel { address };
            self.client_connections.get_or_create(&label).set(counters.connections() as i64);
            self.client_bytes.get_or_create(&label).set(counters.memory_bytes() as i64);
            for cause in ClientCause::ALL {
                let labels = CauseLabels { address, cause: cause.label() };
                let counter = self.refused_clients.get_or_create(&labels);
                counter.inc_by(counters.count(cause).saturating_sub(counter.get()));
            }
        }
    }

    pub fn record_answer(&self, answer: &ClientAnswer, duration: Millis) {
        let outcome = answer_label(answer);
        self.answers.get_or_create(&OutcomeLabels { kind: "submitter", outcome }).inc();
        self.answer_seconds
            .get_or_create(&KindLabel { kind: outcome })
            .observe(to_seconds(duration));
    }

    pub fn record_store_answer(&self, call: &StoreCall, answer: &StoreAnswer, duration: Millis) {
        let kind = store_call_label(call);
        let outcome = match answer {
            StoreAnswer::Refused => "refused",
            StoreAnswer::Unknown => "unknown",
            StoreAnswer::Conflict(_) => "conflict",
            StoreAnswer::Absent => "absent",
            StoreAnswer::Compacted => "compacted",
            _ => "done",
        };
        self.store_calls.get_or_create(&OutcomeLabels { kind, outcome }).inc();
        self.store_seconds.get_or_create(&KindLabel { kind }).observe(to_seconds(duration));
    }

    /// Records the length in bytes of a complete answer of the store.
    pub fn record_store_answer_length(&self, call: &StoreCall, length: usize) {
        let label = KindLabel { kind: store_call_label(call) };
        self.store_answer_bytes.get_or_create(&label).observe(length as f64);
    }

    /// Records how long the state machine and its effects took for an event of this kind.
    pub fn record_step(&self, kind: &'static str, duration: Duration) {
        self.step_seconds.get_or_create(&KindLabel { kind }).observe(duration.as_secs_f64());
    }

    /// Records the total of [`fleet::FleetCore::placement_checks`].
    pub fn record_placement_checks(&self, total: u64) {
        let added = total.saturating_sub(self.placement_checks.get());
        self.placement_checks.inc_by(added);
    }

    /// Records [`fleet::FleetCore::record_age`] of the last step.
    pub fn record_record_age(&self, age: Option<Millis>) {
        self.record_age.set(age.map_or(f64::NAN, to_seconds));
    }

    /// Returns the age that [`Self::record_record_age`] recorded last, in seconds.
    pub fn record_age_seconds(&self) -> f64 {
        self.record_age.get()
    }

    /// Records by how much a clock tick was later than the tick interval.
    pub fn record_tick_delay(&self, delay: Duration) {
        self.tick_late_seconds.observe(delay.as_secs_f64());
    }

    pub fn record_order_answer(&self, order: &MinionCall, answer: &MinionAnswer, duration: Millis) {
        let kind = match order {
            MinionCall::Start { .. } => "start",
            MinionCall::Stop { .. } => "stop",
            MinionCall::Hold { .. } => "hold",
            MinionCall::Throttle { .. } => "pace",
        };
        let outcome = match answer {
            MinionAnswer::Ok { .. } | MinionAnswer::Held { .. } => "done",
            MinionAnswer::Refused(_) => "refused",
            MinionAnswer::WrongLife => "wrong-life",
            MinionAnswer::Unknown => "unknown",
        };
        self.orders.get_or_create(&OutcomeLabels { kind, outcome }).inc();
        self.order_seconds.get_or_create(&KindLabel { kind }).observe(to_seconds(duration));
    }

    /// Records how long an event waited until the state machine processed it.
    pub fn record_event_wait(&self, duration: Duration) {
        self.event_wait_seconds.observe(duration.as_secs_f64());
    }

    pub fn record_measurement(&self, measurement: Measurement) {
        match measurement {
            Measurement::TaskReady(cause, duration) => {
                let label = KindLabel { kind: cause.label() };
                self.ready_seconds.get_or_create(&label).observe(to_seconds(duration));
            }
            Measurement::PassDelay(delay) => self.pass_delay_seconds.observe(to_seconds(delay)),
            Measurement::EndSaved(duration) => {
                self.end_saved_seconds.observe(to_seconds(duration));
            }
            Measurement::DataWaitsBegun(tasks) => {
                self.data_waits.inc_by(u64::from(tasks));
            }
            Measurement::DataWaitEnded(outcome, duration) => {
                let label = KindLabel { kind: outcome.label() };
                self.data_wait_seconds.get_or_create(&label).observe(to_seconds(duration));
            }
            Measurement::SaveAnswered(duration) => {
                self.save_answer_seconds.observe(to_seconds(duration));
            }
            Measurement::VmHealth(decision) => {
                self.vm_health.get_or_create(&KindLabel { kind: decision.label() }).inc();
            }
            Measurement::RunReleased(cause) => {
                self.run_releases.get_or_create(&KindLabel { kind: cause.label() }).inc();
            }
            Measurement::RunTime { declared, expected, measured } => {
                for (kind, estimate) in [("declared", declared), ("expected", expected)] {
                    let ratio = measured.0 as f64 / estimate.0.max(1) as f64;
                    self.run_time_ratio.get_or_create(&KindLabel { kind }).observe(ratio);
                }
            }
        }
    }

    pub fn record_decision(&self, line: &DecisionLine) {
        self.decisions.get_or_create(&KindLabel { kind: line.decision }).inc();
    }
}

/// Returns the metric label of an event's kind.
pub fn event_label(event: &Event) -> &'static str {
    match event {
        Event::Tick => "tick",
        Event::Client(_) => "client",
        Event::Store(..) => "store",
        Event::Minion(..) => "minion",
        Event::Cloud(..) => "cloud",
        Event::Stop => "stop",
    }
}

fn answer_label(answer: &ClientAnswer) -> &'static str {
    match answer {
        ClientAnswer::Accepted => "accepted",
        ClientAnswer::Phase(_) => "phase",
        ClientAnswer::Cancelled => "cancelled",
        ClientAnswer::NoJob => "no-job",
        ClientAnswer::Pending(_) => "pending",
        ClientAnswer::NoQueue => "no-queue",
        ClientAnswer::BadKey => "bad-key",
        ClientAnswer::Malformed(_) => "malformed",
        ClientAnswer::NotDone { .. } => "not-done",
        ClientAnswer::Unknown => "unknown",
    }
}

fn store_call_label(call: &StoreCall) -> &'static str {
    match call {
        StoreCall::Read(_) => "read",
        StoreCall::Range { .. } => "range",
        StoreCall::Watch { .. } => "watch",
        StoreCall::Commit(_) => "commit",
        StoreCall::Lease(_) => "lease",
        StoreCall::Renew(_) => "renew",
        StoreCall::EndLease(_) => "end-lease",
    }
}
