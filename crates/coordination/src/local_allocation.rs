//! One limit as this daemon sees it: its part and what it uses of it.

/// The part that this daemon holds of a limit, and its use.
///
/// The ceiling is lowered before a smaller part is written and raised only
/// after a larger one is, so use never passes what the document grants.
#[derive(Debug, Clone, Default)]
pub(crate) struct LocalAllocation {
    granted: u32,
    /// A part that is about to be written, if it is smaller.
    lowering: Option<u32>,
    /// No start is allowed, because more is given out than the limit.
    frozen: bool,
    in_use: u32,
}

impl LocalAllocation {
    pub(crate) fn in_use(&self) -> u32 {
        self.in_use
    }

    /// How many more may start now.
    pub(crate) fn available(&self) -> u32 {
        if self.frozen {
            return 0;
        }
        self.ceiling().saturating_sub(self.in_use)
    }

    pub(crate) fn ceiling(&self) -> u32 {
        self.lowering.map_or(self.granted, |part| part.min(self.granted))
    }

    /// Takes the part that the document shows.
    pub(crate) fn observe(&mut self, granted: u32, frozen: bool) {
        self.granted = granted;
        self.frozen = frozen;
        if self.lowering.is_some_and(|part| part >= granted) {
            self.lowering = None;
        }
    }

    /// Lowers the ceiling as far as use allows; returns the new part to write.
    pub(crate) fn lower_to(&mut self, wanted: u32) -> Option<u32> {
        let part = wanted.max(self.in_use);
        if part >= self.ceiling() {
            return None;
        }
        self.lowering = Some(part);
        Some(part)
    }

    pub(crate) fn take(&mut self) {
        self.in_use += 1;
    }

    pub(crate) fn give_back(&mut self) {
        debug_assert!(self.in_use > 0, "gave back more than was taken");
        self.in_use = self.in_use.saturating_sub(1);
    }
}
