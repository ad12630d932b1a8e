//! Exact sums of the resources that teams use, which runs are added to and subtracted from.

use jobs::Resources;
use state::{AcceleratorCount, Mebibytes, Millicores};

/// Sum of reservations, wide enough that no addition saturates.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Default)]
pub(super) struct ResourceSum {
    processor: u128,
    memory: u64,
    accelerators: u64,
}

impl ResourceSum {
    pub(super) fn add(&mut self, resources: &Resources) {
        self.processor += u128::from(resources.processor.0);
        self.memory += u64::from(resources.memory.0);
        self.accelerators += u64::from(resources.accelerators.0);
    }

    pub(super) fn subtract(&mut self, resources: &Resources) {
        self.processor -= u128::from(resources.processor.0);
        self.memory -= u64::from(resources.memory.0);
        self.accelerators -= u64::from(resources.accelerators.0);
    }

    /// Returns the sum; each component saturates at its maximum.
    pub(super) fn to_resources(self) -> Resources {
        Resources {
            processor: Millicores(self.processor.try_into().unwrap_or(u64::MAX)),
            memory: Mebibytes(self.memory.try_into().unwrap_or(u32::MAX)),
            accelerators: AcceleratorCount(self.accelerators.try_into().unwrap_or(u32::MAX)),
        }
    }
}
