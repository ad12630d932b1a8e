//! What a task asks for and a minion has.

use serde::{Deserialize, Serialize};
use state::{AcceleratorCount, Mebibytes, Millicores};

/// Processor, memory and accelerators together. Records have one letter a part, a
/// submitter's file the whole word.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Default, Serialize, Deserialize)]
pub struct Resources {
    /// Processor time a second.
    #[serde(rename = "c", alias = "processor", default)]
    pub processor: Millicores,
    /// Memory.
    #[serde(rename = "m", alias = "memory", default)]
    pub memory: Mebibytes,
    /// Accelerators.
    #[serde(rename = "g", alias = "accelerators", default)]
    pub accelerators: AcceleratorCount,
}

impl Resources {
    /// Whether all of `self` fits into `room`.
    pub fn fits(&self, room: &Self) -> bool {
        self.processor <= room.processor
            && self.memory <= room.memory
            && self.accelerators <= room.accelerators
    }

    /// Both together.
    pub fn plus(&self, other: &Self) -> Self {
        Self {
            processor: Millicores(self.processor.0.saturating_add(other.processor.0)),
            memory: Mebibytes(self.memory.0.saturating_add(other.memory.0)),
            accelerators: AcceleratorCount(
                self.accelerators.0.saturating_add(other.accelerators.0),
            ),
        }
    }

    /// What is left of `self` without `other`; nothing is below zero.
    pub fn minus(&self, other: &Self) -> Self {
        Self {
            processor: Millicores(self.processor.0.saturating_sub(other.processor.0)),
            memory: Mebibytes(self.memory.0.saturating_sub(other.memory.0)),
            accelerators: AcceleratorCount(
                self.accelerators.0.saturating_sub(other.accelerators.0),
            ),
        }
    }

    /// A quarter of each part.
    pub fn quarter(&self) -> Self {
        Self {
            processor: Millicores(self.processor.0 / 4),
            memory: Mebibytes(self.memory.0 / 4),
            accelerators: AcceleratorCount(self.accelerators.0 / 4),
        }
    }

    /// The larger of both, each part for itself.
    pub fn at_least(&self, other: &Self) -> Self {
        Self {
            processor: self.processor.max(other.processor),
            memory: self.memory.max(other.memory),
            accelerators: self.accelerators.max(other.accelerators),
        }
    }
}
