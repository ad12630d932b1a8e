//! The platform's fake: documents with compare-and-swap, watches, a lagging
//! list of VMs and reboots, with outages, delays and lost answers.

use std::collections::BTreeMap;

use coordination::timing::WATCH_TIMEOUT;
use coordination::{Event, IoCallId, PlatformAnswer, PlatformRequest, StoredValue};
use rand::Rng;
use state::{ConfigDoc, FleetDoc, Revision, SlotDoc, TeamDoc, VmId, VmListing, VmPresence, verify};

use super::daemons::DaemonIndex;
use super::scenario;
use super::{Happening, World};

/// How often the list of VMs is brought up to date.
const LISTING_LAG: u64 = 700;
const REBOOT_TAKES: u64 = 800;

struct Watch {
    from: DaemonIndex,
    run: u64,
    call: IoCallId,
    prefix: Box<str>,
    after: Revision,
}

pub struct Store {
    head: u64,
    values: BTreeMap<Box<str>, StoredValue>,
    /// Every configuration that was committed: a planned stop is held against
    /// the one that the VM records go by, which is in force once accepted.
    configs: BTreeMap<Revision, ConfigDoc>,
    watches: BTreeMap<u64, Watch>,
    next_watch: u64,
    pub vms: BTreeMap<VmId, VmListing>,
    listed: Vec<VmListing>,
    epochs: BTreeMap<VmId, u64>,
    pub down_until: u64,
    pub slow_until: u64,
    pub lossy_until: u64,
    pub calls: u64,
}

impl Store {
    pub fn new() -> Self {
        let vms = scenario::vms();
        let mut store = Self {
            head: 0,
            values: BTreeMap::new(),
            configs: BTreeMap::new(),
            watches: BTreeMap::new(),
            next_watch: 0,
            listed: vms.clone(),
            vms: vms.into_iter().map(|listing| (listing.vm.clone(), listing)).collect(),
            epochs: BTreeMap::new(),
            down_until: 0,
            slow_until: 0,
            lossy_until: 0,
            calls: 0,
        };
        let config = serde_json::to_string(&scenario::config()).expect("a document is JSON");
        let revision = store.put("shared/config", config.into());
        store.configs.insert(revision, scenario::config());
        store.configs.insert(Revision(0), scenario::config());
        store
    }

    fn put(&mut self, key: &str, value: Box<str>) -> Revision {
        self.head += 1;
        let revision = Revision(self.head);
        let value = StoredValue { key: key.into(), revision, value };
        self.values.insert(key.into(), value);
        revision
    }

    pub fn read<T: Default + for<'de> serde::Deserialize<'de>>(&self, key: &str) -> T {
        let value = self.values.get(key);
        value.map_or_else(T::default, |value| serde_json::from_str(&value.value).expect("valid"))
    }

    fn changes(&self, prefix: &str, after: Revision) -> Vec<StoredValue> {
        let values = self.values.range(Box::from(prefix)..);
        let values = values.take_while(|(key, _)| key.starts_with(prefix));
        values.map(|(_, value)| value.clone()).filter(|value| value.revision > after).collect()
    }

    /// What a write breaks, by the program's own verifier.
    fn broken_by(&self, key: &str, value: &str) -> Vec<verify::Violation> {
        if key.starts_with("team/") {
            let before: TeamDoc = self.read(key);
            let after: TeamDoc = serde_json::from_str(value).expect("a document");
            return verify::check_team(&after, Some(&before));
        }
        if key.starts_with("slots/") {
            let before: SlotDoc = self.read(key);
            return verify::check_slots(
                &serde_json::from_str(value).expect("a document"),
                Some(&before),
            );
        }
        if key == "shared/fleet" {
            let before: FleetDoc = self.read(key);
            let after: FleetDoc = serde_json::from_str(value).expect("a document");
            let config = self.configs.get(&after.config).cloned().unwrap_or_default();
            return verify::check_fleet(&after, &before, &config);
        }
        Vec::new()
    }
}

impl World {
    pub fn platform_called(
        &mut self,
        from: DaemonIndex,
        run: u64,
        call: IoCallId,
        request: &PlatformRequest,
    ) {
        self.store.calls += 1;
        let cut = self.daemons[from].platform_cut_until > self.now;
        if cut || self.now < self.store.down_until {
            let certain = self.rng.random_bool(0.5);
            let answer = if certain { PlatformAnswer::Refused } else { PlatformAnswer::Unknown };
            let wait = if certain { 1 } else { 1_500 };
            return self.answer_platform(from, run, call, answer, wait);
        }
        let slow =
            if self.now < self.store.slow_until { self.rng.random_range(0..1_200) } else { 0 };
        match request {
            PlatformRequest::Watch { prefix, after } => {
                self.watch(Watch { from, run, call, prefix: prefix.clone(), after: *after });
            }
            other => {
                let answer = self.serve_platform(other);
                let lost = self.now < self.store.lossy_until && self.rng.random_bool(0.4);
                match lost {
                    true => self.answer_platform(from, run, call, PlatformAnswer::Unknown, 1_500),
                    false => self.answer_platform(from, run, call, answer, slow),
                }
            }
        }
    }

    fn serve_platform(&mut self, request: &PlatformRequest) -> PlatformAnswer {
        match request {
            PlatformRequest::Get { key } => {
                PlatformAnswer::Value(self.store.values.get(key).cloned())
            }
            PlatformRequest::Put { key, expect, value } => self.write(key, *expect, value),
            PlatformRequest::ListVms => PlatformAnswer::Vms(self.store.listed.clone()),
            PlatformRequest::Reboot { vm, epoch } => self.reboot(vm, *epoch),
            PlatformRequest::Watch { .. } => PlatformAnswer::Refused,
        }
    }

    fn write(&mut self, key: &str, expect: Revision, value: &str) -> PlatformAnswer {
        let current = self.store.values.get(key).map_or(Revision(0), |value| value.revision);
        if current != expect {
            return PlatformAnswer::Conflict;
        }
        for violation in self.store.broken_by(key, value) {
            self.checker.fail(self.now, format!("write of {key}: {violation}"));
        }
        let revision = self.store.put(key, value.into());
        if key == "shared/config" {
            let config = serde_json::from_str(value).expect("a document");
            self.store.configs.insert(revision, config);
            self.checker.config_written(self.now, revision, value);
        }
        self.wake_watches(key);
        PlatformAnswer::Written(revision)
    }

    fn answer_platform(
        &mut self,
        to: DaemonIndex,
        run: u64,
        call: IoCallId,
        answer: PlatformAnswer,
        wait: u64,
    ) {
        let delay = wait + self.delay();
        let event = Box::new(Event::Platform { call, answer });
        self.after(delay, Happening::Event { to, run, event });
    }

    fn watch(&mut self, watch: Watch) {
        if !self.store.changes(&watch.prefix, watch.after).is_empty() {
            return self.answer_watch(watch);
        }
        self.store.next_watch += 1;
        let number = self.store.next_watch;
        self.store.watches.insert(number, watch);
        self.after(WATCH_TIMEOUT.0, Happening::WatchEnds { watch: number });
    }

    pub fn end_watch(&mut self, watch: u64) {
        if let Some(watch) = self.store.watches.remove(&watch) {
            self.answer_watch(watch);
        }
    }

    fn answer_watch(&mut self, watch: Watch) {
        let values = self.store.changes(&watch.prefix, watch.after);
        let head = Revision(self.store.head);
        let slow =
            if self.now < self.store.slow_until { self.rng.random_range(0..1_200) } else { 0 };
        let answer = match self.daemons[watch.from].platform_cut_until > self.now {
            true => PlatformAnswer::Unknown,
            false => PlatformAnswer::Changes { head, values },
        };
        self.answer_platform(watch.from, watch.run, watch.call, answer, slow);
    }

    fn wake_watches(&mut self, key: &str) {
        let woken: Vec<u64> = self
            .store
            .watches
            .iter()
            .filter(|(_, watch)| key.starts_with(&*watch.prefix))
            .map(|(number, _)| *number)
            .collect();
        for watch in woken {
            self.end_watch(watch);
        }
    }

    pub fn refresh_listing(&mut self) {
        self.store.listed = self.store.vms.values().cloned().collect();
        self.after(LISTING_LAG, Happening::Listing);
    }

    fn reboot(&mut self, vm: &VmId, epoch: u64) -> PlatformAnswer {
        let seen = self.store.epochs.get(vm).copied().unwrap_or(0);
        let Some(listing) = self.store.vms.get_mut(vm) else { return PlatformAnswer::Refused };
        if epoch <= seen {
            return PlatformAnswer::Refused;
        }
        listing.presence = VmPresence::Rebooting;
        self.store.epochs.insert(vm.clone(), epoch);
        self.checker.count("graceful reboot");
        let cut = self.hosts.running_on(vm);
        if cut > 0 {
            self.checker.fail(self.now, format!("the reboot of {vm} cut {cut} requests or tasks"));
        }
        self.hosts.reboot(vm);
        self.after(REBOOT_TAKES, Happening::RebootEnds { vm: vm.clone() });
        PlatformAnswer::Accepted
    }

    pub fn reboot_ends(&mut self, vm: &VmId) {
        if let Some(listing) = self.store.vms.get_mut(vm) {
            listing.presence = VmPresence::Live;
            listing.boot += 1;
            self.hosts.come_back(vm, listing.boot);
        }
    }
}
