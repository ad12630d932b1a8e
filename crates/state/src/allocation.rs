//! Escrowed quota allocations: a capacity split among the incarnations of daemons.
//!
//! A daemon starts work only against its own allocation, so the request path needs no store call.
//! No change of an allocation raises the sum of the allocations above the capacity, because each
//! change is one compare-and-swap of the document that contains all allocations of the capacity
//! (`docs/DESIGN.md`, "Limits").

use std::collections::BTreeMap;
use std::fmt;
use std::str::FromStr;

use serde::{Deserialize, Deserializer, Serialize, Serializer};

use crate::{DaemonId, Incarnation, VmId};

/// One incarnation of one daemon, written as `<daemon>@<incarnation>`.
#[derive(Debug, Clone, PartialEq, Eq, PartialOrd, Ord, Hash)]
pub struct DaemonRef {
    /// Identifier of the daemon, which stays the same across restarts.
    pub daemon: DaemonId,
    /// Incarnation of the daemon's process.
    pub incarnation: Incarnation,
}

impl fmt::Display for DaemonRef {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        write!(f, "{}@{}", self.daemon, self.incarnation)
    }
}

impl FromStr for DaemonRef {
    type Err = Box<str>;

    fn from_str(text: &str) -> Result<Self, Box<str>> {
        let (daemon, incarnation) =
            text.split_once('@').ok_or("expected <daemon>@<incarnation>")?;
        let daemon = daemon.parse().map_err(|error| format!("{error}"))?;
        let incarnation = incarnation.parse().map_err(|error| format!("{error}"))?;
        Ok(Self { daemon, incarnation })
    }
}

impl Serialize for DaemonRef {
    fn serialize<S: Serializer>(&self, serializer: S) -> Result<S::Ok, S::Error> {
        serializer.collect_str(self)
    }
}

impl<'de> Deserialize<'de> for DaemonRef {
    fn deserialize<D: Deserializer<'de>>(deserializer: D) -> Result<Self, D::Error> {
        let text = <std::borrow::Cow<'de, str>>::deserialize(deserializer)?;
        text.parse().map_err(serde::de::Error::custom)
    }
}

/// Table of a capacity and its allocations to daemons.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize, Default)]
pub struct AllocationTable {
    /// Upper bound on the sum of the allocations. The capacity may be lowered below the current
    /// sum; then no allocation grows until the sum is below the capacity again.
    pub capacity: u32,
    /// Allocations by daemon incarnation; an allocation of zero has no entry.
    #[serde(rename = "parts")]
    pub allocations: BTreeMap<DaemonRef, u32>,
}

impl AllocationTable {
    /// Returns the sum of all allocations.
    pub fn allocated(&self) -> u32 {
        self.allocations.values().sum()
    }

    /// Returns the allocation of `holder`, or 0 if `holder` has no entry.
    pub fn allocation(&self, holder: &DaemonRef) -> u32 {
        self.allocations.get(holder).copied().unwrap_or(0)
    }

    /// Sets the allocation of `holder` to `requested`. An increase is limited to the capacity that
    /// the other allocations and the `reserved` units leave free; a reduction always takes full
    /// effect. Returns the allocation after the change.
    pub fn set_allocation(&mut self, holder: &DaemonRef, requested: u32, reserved: u32) -> u32 {
        let current = self.allocation(holder);
        let used_by_others = self.allocated() - current + reserved;
        let free_capacity = self.capacity.saturating_sub(used_by_others);
        let allocation = requested.min(free_capacity.max(current.min(requested)));
        if allocation == 0 {
            self.allocations.remove(holder);
        } else {
            self.allocations.insert(holder.clone(), allocation);
        }
        allocation
    }
}

impl AllocationTable {
    /// Transfers the allocation of `from` above `retained` to `to`. The sum of the allocations
    /// stays the same, and a repeated call has no effect.
    pub fn transfer(&mut self, from: &DaemonRef, to: &DaemonRef, retained: u32) {
        let transferred = self.allocation(from).saturating_sub(retained);
        if transferred == 0 {
            return;
        }
        *self.allocations.entry(to.clone()).or_default() += transferred;
        match retained {
            0 => self.allocations.remove(from),
            _ => self.allocations.insert(from.clone(), retained),
        };
    }
}

/// Allocations of the request slots of a pool's minions to the daemons.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize, Default)]
pub struct SlotDoc {
    /// Allocation tables by minion; the capacity of a table is the minion's number of slots.
    pub minions: BTreeMap<VmId, AllocationTable>,
}
