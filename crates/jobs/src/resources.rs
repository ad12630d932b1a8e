//! Amounts of processor time, memory and accelerators: the demand of a task or the capacity of a
//! minion.

use serde::{Deserialize, Serialize};
use state::{AcceleratorCount, Mebibytes, Millicores};

/// Processor time, memory and accelerators. Stored records name each component by one letter; a
/// submitter's file may use the whole word.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Default, Serialize, Deserialize)]
pub struct Resources {
    /// Processor time per second of real time, in millicores.
    #[serde(rename = "c", alias = "processor", default)]
    pub processor: Millicores,
    /// Memory in MiB.
    #[serde(rename = "m", alias = "memory", default)]
    pub memory: Mebibytes,
    /// Number of accelerators.
    #[serde(rename = "g", alias = "accelerators", default)]
    pub accelerators: AcceleratorCount,
}

impl Resources {
    /// Returns whether each component of `self` is at most that of `free_capacity`.
    pub fn fits_within(&self, free_capacity: &Self) -> bool {
        self.processor <= free_capacity.processor
            && self.memory <= free_capacity.memory
            && self.accelerators <= free_capacity.accelerators
    }

    /// Adds each component; a sum saturates at the component's maximum.
    pub fn saturating_add(&self, other: &Self) -> Self {
        Self {
            processor: Millicores(self.processor.0.saturating_add(other.processor.0)),
            memory: Mebibytes(self.memory.0.saturating_add(other.memory.0)),
            accelerators: AcceleratorCount(
                self.accelerators.0.saturating_add(other.accelerators.0),
            ),
        }
    }

    /// Subtracts each component of `other` from `self`; a difference saturates at zero.
    pub fn saturating_sub(&self, other: &Self) -> Self {
        Self {
            processor: Millicores(self.processor.0.saturating_sub(other.processor.0)),
            memory: Mebibytes(self.memory.0.saturating_sub(other.memory.0)),
            accelerators: AcceleratorCount(
                self.accelerators.0.saturating_sub(other.accelerators.0),
            ),
        }
    }

    /// Returns a quarter of each component, rounded down.
    pub fn quarter(&self) -> Self {
        Self {
            processor: Millicores(self.processor.0 / 4),
            memory: Mebibytes(self.memory.0 / 4),
            accelerators: AcceleratorCount(self.accelerators.0 / 4),
        }
    }

    /// Returns the larger value of `self` and `other` for each component.
    pub fn component_max(&self, other: &Self) -> Self {
        Self {
            processor: self.processor.max(other.processor),
            memory: self.memory.max(other.memory),
            accelerators: self.accelerators.max(other.accelerators),
        }
    }
}
