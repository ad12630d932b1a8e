//! Tracks this daemon's quota allocation of one limit, and its use.

/// Quota allocation of this daemon within one limit, and the amount in use.
///
/// The ceiling is lowered before a smaller allocation is written and raised only
/// after a larger one is written, so the use never exceeds the allocation in the
/// document.
#[derive(Debug, Clone, Default)]
pub(crate) struct LocalAllocation {
    /// Allocation in the document.
    allocated: u32,
    /// Smaller allocation whose write is not confirmed yet.
    lowering: Option<u32>,
    /// Whether starts are blocked, because the allocations exceed the limit.
    is_blocked: bool,
    in_use: u32,
}

impl LocalAllocation {
    pub(crate) fn in_use(&self) -> u32 {
        self.in_use
    }

    /// Number of further starts that are allowed now.
    pub(crate) fn available(&self) -> u32 {
        if self.is_blocked {
            return 0;
        }
        self.ceiling().saturating_sub(self.in_use)
    }

    /// Upper bound on the use: the allocation, or a smaller one being written.
    pub(crate) fn ceiling(&self) -> u32 {
        self.lowering.map_or(self.allocated, |allocation| allocation.min(self.allocated))
    }

    /// Applies the allocation that the document holds.
    pub(crate) fn observe(&mut self, allocated: u32, is_blocked: bool) {
        self.allocated = allocated;
        self.is_blocked = is_blocked;
        if self.lowering.is_some_and(|allocation| allocation >= allocated) {
            self.lowering = None;
        }
    }

    /// Lowers the ceiling to `requested`, but not below the use; returns the
    /// allocation to write, or `None` if the ceiling is not lowered.
    pub(crate) fn lower_ceiling(&mut self, requested: u32) -> Option<u32> {
        let allocation = requested.max(self.in_use);
        if allocation >= self.ceiling() {
            return None;
        }
        self.lowering = Some(allocation);
        Some(allocation)
    }

    /// Counts one more unit as in use.
    pub(crate) fn acquire(&mut self) {
        self.in_use += 1;
    }

    /// Counts one unit as no longer in use.
    pub(crate) fn release(&mut self) {
        debug_assert!(self.in_use > 0, "released more units than were acquired");
        self.in_use = self.in_use.saturating_sub(1);
    }
}
