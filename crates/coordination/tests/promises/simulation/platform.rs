//! The fake platform: documents with compare-and-swap, watches, the list of VMs,
//! and reboots.
//!
//! The list of VMs lags behind their true state. The platform can be down or
//! slow, or lose answers after a call has taken effect. The production verifier
//! checks every write of a team, slot or fleet document.

use std::collections::BTreeMap;

use coordination::timing::WATCH_TIMEOUT;
use coordination::{Event, IoCallId, PlatformAnswer, PlatformRequest, StoredValue};
use rand::Rng;
use state::{ConfigDoc, FleetDoc, Revision, SlotDoc, TeamDoc, VmId, VmListing, VmPresence, verify};

use super::daemons::DaemonIndex;
use super::scenario;
use super::{ScheduledEvent, Simulation};

/// Interval at which the list of VMs is updated, and so its maximum age.
const LISTING_INTERVAL_MS: u64 = 700;
const REBOOT_DURATION_MS: u64 = 800;

/// A watch call that waits for a change.
struct Watch {
    from: DaemonIndex,
    incarnation: u64,
    call: IoCallId,
    prefix: Box<str>,
    /// Revision after which changes are reported.
    after: Revision,
}

/// State of the platform.
pub struct FakePlatform {
    /// Highest revision in the store.
    head: u64,
    values: BTreeMap<Box<str>, StoredValue>,
    /// Every committed configuration by revision. A planned stop of a VM is checked against
    /// the configuration on which the VM records are based, since an accepted configuration is in
    /// force only once the VM records are based on it.
    committed_configs: BTreeMap<Revision, ConfigDoc>,
    watches: BTreeMap<u64, Watch>,
    last_watch_id: u64,
    /// True state of each VM.
    pub vms: BTreeMap<VmId, VmListing>,
    /// VMs as the platform lists them, up to [`LISTING_INTERVAL_MS`] behind their true state.
    listed_vms: Vec<VmListing>,
    /// Highest accepted reboot epoch of each VM; reboots with a lower or equal epoch are refused.
    reboot_epochs: BTreeMap<VmId, u64>,
    /// Virtual time until which every call fails.
    pub down_until: u64,
    /// Virtual time until which answers are delayed.
    pub slow_until: u64,
    /// Virtual time until which answers other than those to watches may be lost.
    pub lossy_until: u64,
    /// Number of calls received.
    pub call_count: u64,
}

impl FakePlatform {
    pub fn new() -> Self {
        let vms = scenario::vm_listings();
        let mut platform = Self {
            head: 0,
            values: BTreeMap::new(),
            committed_configs: BTreeMap::new(),
            watches: BTreeMap::new(),
            last_watch_id: 0,
            listed_vms: vms.clone(),
            vms: vms.into_iter().map(|listing| (listing.vm.clone(), listing)).collect(),
            reboot_epochs: BTreeMap::new(),
            down_until: 0,
            slow_until: 0,
            lossy_until: 0,
            call_count: 0,
        };
        let config = serde_json::to_string(&scenario::initial_config())
            .expect("a configuration serialises to JSON");
        let revision = platform.put("shared/config", config.into());
        platform.committed_configs.insert(revision, scenario::initial_config());
        platform.committed_configs.insert(Revision(0), scenario::initial_config());
        platform
    }

    /// Stores a value under the next revision.
    fn put(&mut self, key: &str, value: Box<str>) -> Revision {
        self.head += 1;
        let revision = Revision(self.head);
        let value = StoredValue { key: key.into(), revision, value };
        self.values.insert(key.into(), value);
        revision
    }

    /// Reads a document; a missing document is the default.
    pub fn read<T: Default + for<'de> serde::Deserialize<'de>>(&self, key: &str) -> T {
        let value = self.values.get(key);
        value.map_or_else(T::default, |value| serde_json::from_str(&value.value).expect("valid"))
    }

    /// Returns the values below `prefix` that are newer than the revision `after`.
    fn changes_since(&self, prefix: &str, after: Revision) -> Vec<StoredValue> {
        let values = self.values.range(Box::from(prefix)..);
        let values = values.take_while(|(key, _)| key.starts_with(prefix));
        values.map(|(_, value)| value.clone()).filter(|value| value.revision > after).collect()
    }

    /// Returns the violations that the production verifier finds in a write.
    fn find_violations(&self, key: &str, value: &str) -> Vec<verify::Violation> {
        if key.starts_with("team/") {
            let before: TeamDoc = self.read(key);
            let after: TeamDoc =
                serde_json::from_str(value).expect("the value is a valid document");
            return verify::check_team(&after, Some(&before));
        }
        if key.starts_with("slots/") {
            let before: SlotDoc = self.read(key);
            return verify::check_slots(
                &serde_json::from_str(value).expect("the value is a valid document"),
                Some(&before),
            );
        }
        if key == "shared/fleet" {
            let before: FleetDoc = self.read(key);
            let after: FleetDoc =
                serde_json::from_str(value).expect("the value is a valid document");
            let config = self.committed_configs.get(&after.config).cloned().unwrap_or_default();
            return verify::check_fleet(&after, &before, &config);
        }
        Vec::new()
    }
}

impl Simulation {
    /// Answers a call of a daemon to the platform. A call during an outage or on a cut connection
    /// fails: half of these calls are refused after 1 ms, the others end as unknown after 1.5 s. A
    /// lossy platform loses 40 % of the answers other than those to watches, after the calls have
    /// taken effect.
    pub fn handle_platform_call(
        &mut self,
        from: DaemonIndex,
        incarnation: u64,
        call: IoCallId,
        request: &PlatformRequest,
    ) {
        self.platform.call_count += 1;
        let is_cut = self.daemons[from].platform_cut_until > self.now;
        if is_cut || self.now < self.platform.down_until {
            let is_refused = self.rng.random_bool(0.5);
            let answer = if is_refused { PlatformAnswer::Refused } else { PlatformAnswer::Unknown };
            let wait_ms = if is_refused { 1 } else { 1_500 };
            return self.schedule_platform_answer(from, incarnation, call, answer, wait_ms);
        }
        let extra_delay_ms =
            if self.now < self.platform.slow_until { self.rng.random_range(0..1_200) } else { 0 };
        match request {
            PlatformRequest::Watch { prefix, after } => {
                self.register_watch(Watch {
                    from,
                    incarnation,
                    call,
                    prefix: prefix.clone(),
                    after: *after,
                });
            }
            other => {
                let answer = self.answer_platform_request(other);
                let is_lost = self.now < self.platform.lossy_until && self.rng.random_bool(0.4);
                match is_lost {
                    true => self.schedule_platform_answer(
                        from,
                        incarnation,
                        call,
                        PlatformAnswer::Unknown,
                        1_500,
                    ),
                    false => self.schedule_platform_answer(
                        from,
                        incarnation,
                        call,
                        answer,
                        extra_delay_ms,
                    ),
                }
            }
        }
    }

    fn answer_platform_request(&mut self, request: &PlatformRequest) -> PlatformAnswer {
        match request {
            PlatformRequest::Get { key } => {
                PlatformAnswer::Value(self.platform.values.get(key).cloned())
            }
            PlatformRequest::Put { key, expect, value } => self.write_document(key, *expect, value),
            PlatformRequest::ListVms => PlatformAnswer::Vms(self.platform.listed_vms.clone()),
            PlatformRequest::Reboot { vm, epoch } => self.start_reboot(vm, *epoch),
            PlatformRequest::Watch { .. } => PlatformAnswer::Refused,
        }
    }

    /// Writes a document if its current revision is `expect`, and answers the watches on the key.
    /// The production verifier checks the new value before the write.
    fn write_document(&mut self, key: &str, expect: Revision, value: &str) -> PlatformAnswer {
        let current_revision =
            self.platform.values.get(key).map_or(Revision(0), |value| value.revision);
        if current_revision != expect {
            return PlatformAnswer::Conflict;
        }
        for violation in self.platform.find_violations(key, value) {
            self.checker.record_violation(self.now, format!("write of {key}: {violation}"));
        }
        let revision = self.platform.put(key, value.into());
        if key == "shared/config" {
            let config = serde_json::from_str(value).expect("the value is a valid document");
            self.platform.committed_configs.insert(revision, config);
            self.checker.record_config_write(self.now, revision, value);
        }
        self.answer_matching_watches(key);
        PlatformAnswer::Written(revision)
    }

    /// Schedules the answer to a platform call after `wait_ms` and the one-way delay.
    fn schedule_platform_answer(
        &mut self,
        to: DaemonIndex,
        incarnation: u64,
        call: IoCallId,
        answer: PlatformAnswer,
        wait_ms: u64,
    ) {
        let delay_ms = wait_ms + self.draw_delay_ms();
        let event = Box::new(Event::Platform { call, answer });
        self.schedule_after(delay_ms, ScheduledEvent::DaemonEvent { to, incarnation, event });
    }

    /// Answers a watch at once if changes exist, or keeps the watch until a change or the timeout.
    fn register_watch(&mut self, watch: Watch) {
        if !self.platform.changes_since(&watch.prefix, watch.after).is_empty() {
            return self.answer_watch(watch);
        }
        self.platform.last_watch_id += 1;
        let watch_id = self.platform.last_watch_id;
        self.platform.watches.insert(watch_id, watch);
        self.schedule_after(WATCH_TIMEOUT.0, ScheduledEvent::WatchTimeout { watch_id });
    }

    pub fn end_watch(&mut self, watch_id: u64) {
        if let Some(watch) = self.platform.watches.remove(&watch_id) {
            self.answer_watch(watch);
        }
    }

    fn answer_watch(&mut self, watch: Watch) {
        let values = self.platform.changes_since(&watch.prefix, watch.after);
        let head = Revision(self.platform.head);
        let extra_delay_ms =
            if self.now < self.platform.slow_until { self.rng.random_range(0..1_200) } else { 0 };
        let answer = match self.daemons[watch.from].platform_cut_until > self.now {
            true => PlatformAnswer::Unknown,
            false => PlatformAnswer::Changes { head, values },
        };
        self.schedule_platform_answer(
            watch.from,
            watch.incarnation,
            watch.call,
            answer,
            extra_delay_ms,
        );
    }

    fn answer_matching_watches(&mut self, key: &str) {
        let matching_watches: Vec<u64> = self
            .platform
            .watches
            .iter()
            .filter(|(_, watch)| key.starts_with(&*watch.prefix))
            .map(|(watch_id, _)| *watch_id)
            .collect();
        for watch_id in matching_watches {
            self.end_watch(watch_id);
        }
    }

    /// Updates the list of VMs and schedules the next update.
    pub fn refresh_listing(&mut self) {
        self.platform.listed_vms = self.platform.vms.values().cloned().collect();
        self.schedule_after(LISTING_INTERVAL_MS, ScheduledEvent::ListingRefresh);
    }

    /// Starts a requested reboot. Running work on the VM is a violation, since daemons drain a VM
    /// before they reboot it.
    fn start_reboot(&mut self, vm: &VmId, epoch: u64) -> PlatformAnswer {
        let highest_epoch = self.platform.reboot_epochs.get(vm).copied().unwrap_or(0);
        let Some(listing) = self.platform.vms.get_mut(vm) else { return PlatformAnswer::Refused };
        if epoch <= highest_epoch {
            return PlatformAnswer::Refused;
        }
        listing.presence = VmPresence::Rebooting;
        self.platform.reboot_epochs.insert(vm.clone(), epoch);
        self.checker.increment_counter("graceful reboot");
        let ended_work = self.hosts.count_work_on(vm);
        if ended_work > 0 {
            self.checker.record_violation(
                self.now,
                format!("the reboot of {vm} ended {ended_work} running requests or tasks"),
            );
        }
        self.hosts.begin_reboot(vm);
        self.schedule_after(REBOOT_DURATION_MS, ScheduledEvent::RebootEnd { vm: vm.clone() });
        PlatformAnswer::Accepted
    }

    pub fn finish_vm_reboot(&mut self, vm: &VmId) {
        if let Some(listing) = self.platform.vms.get_mut(vm) {
            listing.presence = VmPresence::Live;
            listing.boot += 1;
            self.hosts.finish_reboot(vm, listing.boot);
        }
    }
}
