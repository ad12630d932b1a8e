//! Cloud in memory: the list of VMs, their maintenance, and their moves between pools.
//!
//! The cloud checks the fencing tokens of the orders that it gets and reports what an
//! order did as a [`CloudEvent`].

use std::collections::BTreeMap;

use fleet::io::{CloudAnswer, CloudCall};
use fleet::model::{VmPhase, VmReport};
use state::{MinionId, PoolId, VmId};

/// VM of the cloud, in one pool at a time.
#[derive(Debug, Clone)]
pub struct FakeVm {
    pub pool: PoolId,
    /// Minion that runs on the VM, if any.
    pub minion: Option<MinionId>,
    /// Virtual time, in milliseconds, at which the VM is up again, and the phase until then.
    pub outage: Option<(u64, VmPhase)>,
    /// Daemon, fencing token and virtual time, in milliseconds, of the last order.
    last_order: Option<(usize, u64, u64)>,
    /// Lowest fencing token that the cloud accepts.
    raised_fence: u64,
}

impl FakeVm {
    pub fn new(pool: PoolId, minion: Option<MinionId>) -> Self {
        Self { pool, minion, outage: None, last_order: None, raised_fence: 0 }
    }
}

/// Fake of the cloud's interface for VMs.
#[derive(Debug, Default)]
pub struct FakeCloud {
    pub vms: BTreeMap<VmId, FakeVm>,
    /// Number of moves that have begun.
    pub move_count: u64,
    /// VMs of each wave that the operator ordered.
    pub waves: BTreeMap<u64, Vec<VmId>>,
    /// Virtual time, in milliseconds, at which the maintenance of a VM in a wave began.
    begun_maintenance: BTreeMap<(u64, VmId), u64>,
}

/// Time for which a VM is down during maintenance or a move.
const DOWNTIME_MS: u64 = 2_000;
/// Time after an order for a VM during which no other daemon may send an order for that VM.
const SOLE_DAEMON_MS: u64 = 3_000;

/// Effect of a call on the cloud.
#[derive(Debug, Clone, PartialEq, Eq)]
pub enum CloudEvent {
    Nothing,
    MaintenanceBegan {
        minion: Option<MinionId>,
        wave: u64,
    },
    MoveBegan {
        minion: Option<MinionId>,
    },
    /// A fencing token decreased, two daemons used the same token, or a second daemon sent an
    /// order within [`SOLE_DAEMON_MS`] of the first.
    FencingViolated(String),
}

impl FakeCloud {
    /// Counts the VMs of a wave that are down for maintenance.
    pub fn count_down_vms(&self, wave: u64) -> usize {
        let vms = self.waves.get(&wave).map(Vec::as_slice).unwrap_or_default();
        let is_down = |vm: &&VmId| {
            let outage = self.vms.get(vm).and_then(|vm_state| vm_state.outage);
            outage.is_some_and(|(_, phase)| phase == VmPhase::Maintenance)
        };
        vms.iter().filter(is_down).count()
    }

    pub fn has_begun_maintenance(&self, wave: u64, vm: &VmId) -> bool {
        self.begun_maintenance.contains_key(&(wave, vm.clone()))
    }

    /// Makes the cloud refuse orders for a VM under lower fencing tokens.
    pub fn raise_fence(&mut self, vm: &VmId, fencing_token: u64) {
        self.vms.get_mut(vm).expect("known VM").raised_fence = fencing_token;
    }

    /// Brings up the VMs whose outage is over, and returns them.
    pub fn advance(&mut self, now: u64) -> Vec<VmId> {
        let mut returned = Vec::new();
        for (name, vm) in &mut self.vms {
            if vm.outage.is_some_and(|(until, _)| now >= until) {
                vm.outage = None;
                returned.push(name.clone());
            }
        }
        returned
    }

    /// Carries out a call of a daemon.
    pub fn execute(
        &mut self,
        now: u64,
        daemon: usize,
        call: &CloudCall,
    ) -> (CloudAnswer, CloudEvent) {
        match call {
            CloudCall::List => {
                let rows = self.vms.iter().map(|(name, vm)| VmReport {
                    vm: name.clone(),
                    pool: vm.pool.clone(),
                    phase: vm.outage.map_or(VmPhase::Up, |(_, phase)| phase),
                    minion: vm.minion.clone(),
                });
                (CloudAnswer::Listed(rows.collect()), CloudEvent::Nothing)
            }
            CloudCall::Maintenance { vm, wave, fencing_token } => {
                self.execute_order(now, daemon, *fencing_token, vm, Some(*wave), None)
            }
            CloudCall::Move { vm, pool, fencing_token } => {
                self.execute_order(now, daemon, *fencing_token, vm, None, Some(pool))
            }
        }
    }

    /// Carries out an order for one VM: maintenance in `wave`, or a move to `pool`. An order
    /// that is carried out already is answered as done.
    fn execute_order(
        &mut self,
        now: u64,
        daemon: usize,
        fencing_token: u64,
        name: &VmId,
        wave: Option<u64>,
        pool: Option<&PoolId>,
    ) -> (CloudAnswer, CloudEvent) {
        let has_begun_maintenance = wave.is_some_and(|wave| self.has_begun_maintenance(wave, name));
        let Some(vm) = self.vms.get_mut(name) else {
            return (CloudAnswer::Refused("no such VM".into()), CloudEvent::Nothing);
        };
        if fencing_token < vm.raised_fence {
            return (CloudAnswer::Fenced, CloudEvent::Nothing);
        }
        if let Some((previous_daemon, previous_token, previous_at)) = vm.last_order {
            let violates_fencing = fencing_token < previous_token
                || (previous_daemon != daemon
                    && (fencing_token == previous_token || now < previous_at + SOLE_DAEMON_MS));
            if violates_fencing {
                let description = format!(
                    "{name}: edge-{daemon} token {fencing_token} at {now} \
                     after edge-{previous_daemon} token {previous_token} at {previous_at}"
                );
                return (CloudAnswer::Busy, CloudEvent::FencingViolated(description));
            }
        }
        vm.last_order = Some((daemon, fencing_token, now));
        if has_begun_maintenance || pool.is_some_and(|pool| vm.pool == *pool) {
            return (CloudAnswer::Done, CloudEvent::Nothing);
        }
        if vm.outage.is_some() {
            return (CloudAnswer::Busy, CloudEvent::Nothing);
        }
        let minion = vm.minion.take();
        if let Some(pool) = pool {
            vm.pool = pool.clone();
            vm.outage = Some((now + DOWNTIME_MS, VmPhase::Moving));
            self.move_count += 1;
            return (CloudAnswer::Done, CloudEvent::MoveBegan { minion });
        }
        vm.outage = Some((now + DOWNTIME_MS, VmPhase::Maintenance));
        let wave = wave.unwrap_or_default();
        self.begun_maintenance.insert((wave, name.clone()), now);
        (CloudAnswer::Done, CloudEvent::MaintenanceBegan { minion, wave })
    }
}
