//! Decides how many VMs a pool requests and how many it gives back.
//!
//! The load: each queue asks in turns for several times its mean, for seconds at a time, and for
//! almost nothing in between, while a VM takes about two seconds from the request to its first
//! task. A pool therefore requests all VMs that its work needs as soon as the need is certain, and
//! retains between two bursts
//!
//! - what its long-running tasks and its open work need,
//! - enough capacity to carry the beginning of the next burst until more VMs arrive: the VMs that it
//!   was given, or a part of them while a forecast tells when the burst comes, and
//! - a reserve for the loss of VMs (`docs/design/capacity.md`).

use state::{Millicores, Millis};

/// Time in which the open work should be done.
const BACKLOG_TARGET: Millis = Millis(1_500);
/// Capacity that a pool retains for its open work, in percent of what the work needs.
const RETAINED_PERCENT: u64 = 150;
/// VMs that a pool retains in a pause that is forecast, in percent of those that it was given, so that
/// a wrong forecast leaves it able to work.
const MIN_RETAINED_PERCENT: u64 = 25;
/// VMs that a pool retains for the loss of others, in percent.
const LOSS_RESERVE_PERCENT: u64 = 5;

/// Load and capacity of a pool.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Default)]
pub struct PoolLoad {
    /// Number of VMs on which tasks may start.
    pub vms: u32,
    /// Processor capacity of these VMs together.
    pub capacity: Millicores,
    /// Processor capacity of one VM.
    pub vm_capacity: Millicores,
    /// Processor time that long-running tasks reserve.
    pub long_running: Millicores,
    /// Work that is accepted and not done, in millicores times milliseconds.
    pub open_work: u64,
    /// Rate at which work has arrived lately.
    pub arrival_rate: Millicores,
    /// Rate of the work that is expected to arrive while a VM moves; `None` without a forecast.
    pub expected_rate: Option<Millicores>,
    /// Number of VMs that the pool had at first.
    pub initial_vms: u32,
}

/// Number of VMs that a pool should have.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Default)]
pub struct CapacityPlan {
    /// VMs to request in addition to those that the pool has.
    pub requested: u32,
    /// VMs that the pool does not give back.
    pub retained: u32,
}

/// Computes the VMs that a pool requests and retains.
pub fn plan_capacity(load: &PoolLoad) -> CapacityPlan {
    let vm_capacity = load.vm_capacity.0;
    if vm_capacity == 0 {
        return CapacityPlan { requested: 0, retained: load.vms };
    }
    let present_need = work_rate(load).saturating_add(load.long_running.0);
    let coming_need =
        load.expected_rate.map_or(0, |rate| rate.0.saturating_add(load.long_running.0));
    let missing = present_need.max(coming_need).saturating_sub(load.capacity.0);
    let for_work = (present_need.saturating_mul(RETAINED_PERCENT) / 100).max(coming_need);
    let work_vms = for_work.div_ceil(vm_capacity);
    let loss_reserve = work_vms.saturating_mul(LOSS_RESERVE_PERCENT) / 100;
    let retained_vms = work_vms.saturating_add(loss_reserve).max(onset_vms(load));
    CapacityPlan {
        requested: to_count(missing.div_ceil(vm_capacity)),
        retained: to_count(retained_vms),
    }
}

/// Returns the capacity that does the open and the arriving work in time.
fn work_rate(load: &PoolLoad) -> u64 {
    (load.open_work / BACKLOG_TARGET.0).max(load.arrival_rate.0)
}

/// Returns the VMs that carry the beginning of a burst. With a forecast, the others are requested
/// before the burst begins.
fn onset_vms(load: &PoolLoad) -> u64 {
    let initial_vms = u64::from(load.initial_vms);
    match load.expected_rate {
        Some(_) => (initial_vms * MIN_RETAINED_PERCENT).div_ceil(100),
        None => initial_vms,
    }
}

fn to_count(vms: u64) -> u32 {
    vms.try_into().unwrap_or(u32::MAX)
}
