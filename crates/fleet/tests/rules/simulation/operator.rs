//! The operator, who changes the configuration, and submitters who probe whether each change is in
//! force.
//!
//! Versions and probes are drawn from a generator of their own, so that the rest of a run does not
//! depend on them.

use super::*;
use crate::config_rule::{ConfigRule, ProbeTarget};

/// Time without a fault after which the rules with a time bound hold for a daemon.
const CONTACT_MS: u64 = 3_000;
/// Maximum time between two random versions.
const MAX_CHANGE_INTERVAL_MS: u64 = 2_500;
/// Time between two random probes.
const PROBE_INTERVAL_MS: u64 = 60;

/// Probe of a daemon that is not answered yet.
#[derive(Debug, Clone)]
struct Probe {
    daemon: usize,
    incarnation: u64,
    sent_at: u64,
    /// Target whose answer is checked against the rule, if any.
    target: Option<ProbeTarget>,
}

/// State of the operator and of the probes.
pub struct Operator {
    rng: StdRng,
    pub rule: ConfigRule,
    /// Versions that wait until the store answers.
    pending: Vec<FleetConfig>,
    /// Targets of random probes: all that a version has had.
    targets: Vec<ProbeTarget>,
    probes: BTreeMap<ReplyToken, Probe>,
    /// Answers to all probes, each with its virtual time.
    pub answers: Vec<(u64, ClientAnswer)>,
    /// Number of probes that were checked against the rule.
    pub checked_count: u64,
    /// Virtual time, in milliseconds, from which no random change or probe is sent.
    until: u64,
}

impl Operator {
    pub fn new(seed: u64, config: &FleetConfig) -> Self {
        let mut rule = ConfigRule::default();
        rule.record_version(config.clone(), 0);
        Self {
            rng: StdRng::seed_from_u64(!seed),
            rule,
            pending: Vec::new(),
            targets: Vec::new(),
            probes: BTreeMap::new(),
            answers: Vec::new(),
            checked_count: 0,
            until: 0,
        }
    }

    fn add_targets(&mut self, config: &FleetConfig) {
        let keys = config.teams.iter().flat_map(|team| team.keys.iter().cloned());
        let keys: Vec<Box<str>> = keys.collect();
        for queue in &config.queues {
            for key in &keys {
                let (host, path) = (queue.host.clone(), queue.prefix.clone());
                let target = ProbeTarget { host, path, key: Some(key.clone()) };
                if !self.targets.contains(&target) {
                    self.targets.push(target);
                }
            }
        }
    }
}

impl Simulation {
    /// Writes a new version of the configuration as soon as the store answers.
    pub fn change_config(&mut self, edit: impl FnOnce(&mut FleetConfig)) {
        let newest = self.operator.pending.last().unwrap_or(&self.config);
        let mut config = newest.clone();
        config.version += 3;
        edit(&mut config);
        self.operator.add_targets(&config);
        self.operator.pending.push(config);
        self.write_pending_config();
    }

    /// Writes random versions, and probes whether they are in force, until the virtual time `until`.
    pub fn plan_config_changes(&mut self, until: u64) {
        self.operator.until = until;
        let config = self.config.clone();
        self.operator.add_targets(&config);
        self.schedule(MAX_CHANGE_INTERVAL_MS, 0, 0, Message::ChangeConfig);
        self.schedule(PROBE_INTERVAL_MS, 0, 0, Message::Probe);
    }

    pub(super) fn write_pending_config(&mut self) {
        let faults = &self.faults;
        if faults.is_store_down || faults.is_store_silent || faults.store_refuses {
            return;
        }
        for config in std::mem::take(&mut self.operator.pending) {
            self.store.put(StoreKey::Config, ItemValue::Config(config.clone().into()), None);
            self.operator.rule.record_version(config.clone(), self.now);
            self.config = config;
            self.record_job_pools();
        }
    }

    /// Adds or removes a queue, or gives a team another additional key.
    pub(super) fn write_random_config(&mut self) {
        if self.now >= self.operator.until {
            return;
        }
        let number = self.operator.rng.random_range(0..4u32);
        let prefix: Box<str> = format!("/extra{number}/").into();
        let changes_key = self.operator.rng.random_bool(0.4);
        self.change_config(|config| {
            if changes_key {
                config.teams[0].keys.truncate(1);
                config.teams[0].keys.push(format!("extra-key-{number}").into());
                return;
            }
            let position = config.queues.iter().position(|queue| queue.prefix == prefix);
            match position {
                Some(position) => drop(config.queues.remove(position)),
                None => {
                    let mut queue = config.queues[0].clone();
                    queue.queue = format!("extra-{number}").parse().expect("valid name");
                    queue.prefix = prefix;
                    config.queues.push(queue);
                }
            }
        });
        let delay = self.operator.rng.random_range(100..MAX_CHANGE_INTERVAL_MS);
        self.schedule(delay, 0, 0, Message::ChangeConfig);
    }

    /// Asks a random daemon that is up for a queue that a version has or had.
    pub(super) fn send_random_probe(&mut self) {
        if self.now >= self.operator.until {
            return;
        }
        let daemon = self.operator.rng.random_range(0..self.daemons.len());
        let number = self.operator.rng.random_range(0..self.operator.targets.len());
        let target = self.operator.targets[number].clone();
        self.send_probe(daemon, target);
        self.schedule(PROBE_INTERVAL_MS, 0, 0, Message::Probe);
    }

    /// Asks a daemon for a queue, unless the daemon is down.
    pub fn send_probe(&mut self, daemon: usize, target: ProbeTarget) {
        let route = ClientTarget::Route { host: target.host.clone(), path: target.path.clone() };
        let key = target.key.clone();
        self.send_call(daemon, (route, key, ClientAction::Show), Some(target));
    }

    /// Sends a request to a daemon, unless the daemon is down. Its answer is kept with those of the
    /// probes and not checked.
    pub fn send_action(
        &mut self,
        daemon: usize,
        target: ClientTarget,
        key: Option<&str>,
        action: ClientAction,
    ) {
        self.send_call(daemon, (target, key.map(Into::into), action), None);
    }

    fn send_call(
        &mut self,
        daemon: usize,
        (target, key, action): (ClientTarget, Option<Box<str>>, ClientAction),
        checked_target: Option<ProbeTarget>,
    ) {
        if !self.is_up(daemon) {
            return;
        }
        self.last_reply_token += 1;
        let reply_token = ReplyToken(self.last_reply_token);
        let incarnation = self.daemons[daemon].incarnation;
        let timeout = Millis(REQUEST_TIMEOUT_MS);
        let call = ClientCall { reply_token, target, key, timeout, action };
        let probe = Probe { daemon, incarnation, sent_at: self.now, target: checked_target };
        self.operator.probes.insert(reply_token, probe);
        self.schedule_answer(daemon, incarnation, 1, Event::Client(call));
    }

    /// Checks the answer to a probe, if the daemon had been in contact with the store for long
    /// enough when the probe was sent and has been since.
    pub(super) fn handle_probe_reply(&mut self, reply_token: ReplyToken, answer: &ClientAnswer) {
        let Some(probe) = self.operator.probes.remove(&reply_token) else { return };
        let Probe { daemon, incarnation, sent_at, target } = probe;
        self.operator.answers.push((self.now, answer.clone()));
        let Some(target) = target else { return };
        if self.daemons[daemon].disturbed_at + CONTACT_MS >= sent_at {
            return;
        }
        self.operator.checked_count += 1;
        let times = (sent_at, self.now);
        let rule = &mut self.operator.rule;
        if let Some(reason) = rule.check_answer(times, (daemon, incarnation), &target, answer) {
            self.record_violation("CONFIG", format!("edge-{daemon}: {reason}"));
        }
    }

    /// Notes which daemons are affected by a fault at present.
    pub(super) fn record_disturbances(&mut self) {
        let faults = &self.faults;
        let is_store_disturbed = faults.is_store_down
            || faults.is_store_silent
            || faults.store_refuses
            || faults.lost_write_probability > 0.0
            || faults.commit_delay_ms > 0;
        for (number, daemon) in self.daemons.iter_mut().enumerate() {
            let is_disturbed = is_store_disturbed
                || faults.disconnected_daemons.contains(&number)
                || daemon.suspended_until > self.now;
            if is_disturbed {
                daemon.disturbed_at = self.now;
            }
        }
    }
}
