//! Escrowed allotments: a capacity split into parts, one per daemon run.
//!
//! A daemon starts work only against its own part, so no store call stands on
//! the path of a request. The sum of the parts never passes the capacity
//! because every change of parts is one compare-and-swap of the document that
//! holds them (`docs/DESIGN.md`, "Limits").

use std::collections::BTreeMap;
use std::fmt;
use std::str::FromStr;

use serde::{Deserialize, Deserializer, Serialize, Serializer};

use crate::{DaemonId, Incarnation, VmId};

/// One run of one daemon.
#[derive(Debug, Clone, PartialEq, Eq, PartialOrd, Ord, Hash)]
pub struct DaemonRef {
    /// The daemon.
    pub daemon: DaemonId,
    /// The run of its process.
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
        let (daemon, incarnation) = text.split_once('@').ok_or("expected <daemon>@<run>")?;
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

/// A capacity and the parts of it that are given out.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize, Default)]
pub struct AllocationTable {
    /// What the parts may sum up to. It may be lowered below their sum; then
    /// no part grows until the sum is under it again.
    pub capacity: u32,
    /// Parts by daemon run; a part of zero is not kept.
    #[serde(rename = "parts")]
    pub allocations: BTreeMap<DaemonRef, u32>,
}

impl AllocationTable {
    /// The sum of all parts.
    pub fn allocated(&self) -> u32 {
        self.allocations.values().sum()
    }

    /// The part of `holder`.
    pub fn allocation(&self, holder: &DaemonRef) -> u32 {
        self.allocations.get(holder).copied().unwrap_or(0)
    }

    /// Sets the part of `holder` to `wanted`, or as near as `reserved` other
    /// uses of the capacity leave room for. Lowering always succeeds in full.
    /// Returns the part after the change.
    pub fn set_allocation(&mut self, holder: &DaemonRef, wanted: u32, reserved: u32) -> u32 {
        let current = self.allocation(holder);
        let others = self.allocated() - current + reserved;
        let room = self.capacity.saturating_sub(others);
        let part = wanted.min(room.max(current.min(wanted)));
        if part == 0 {
            self.allocations.remove(holder);
        } else {
            self.allocations.insert(holder.clone(), part);
        }
        part
    }
}

impl AllocationTable {
    /// Moves parts from `from`, which keeps `left`, to `to`. The sum stays the
    /// same, and a second call changes nothing.
    pub fn transfer(&mut self, from: &DaemonRef, to: &DaemonRef, left: u32) {
        let moved = self.allocation(from).saturating_sub(left);
        if moved == 0 {
            return;
        }
        *self.allocations.entry(to.clone()).or_default() += moved;
        match left {
            0 => self.allocations.remove(from),
            _ => self.allocations.insert(from.clone(), left),
        };
    }
}

/// The slots of a pool's minions, split over the daemons.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize, Default)]
pub struct SlotDoc {
    /// Holdings by minion.
    pub minions: BTreeMap<VmId, AllocationTable>,
}
