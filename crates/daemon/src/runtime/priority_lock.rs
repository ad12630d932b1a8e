//! Lock of a value that urgent users get before all others.
//!
//! A [`std::sync::Mutex`] is not fair: a thread that unlocks it and locks it again at once can
//! keep the others from it for long. Here ordinary users compete among themselves first, so that
//! an urgent one waits for at most one of them.

use std::sync::{Mutex, MutexGuard, PoisonError};

/// Whether the user of a [`PriorityLock`] goes before ordinary users.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum LockPriority {
    /// Waits for urgent users and for earlier ordinary ones.
    Ordinary,
    /// Waits for the current user only.
    Urgent,
}

/// Value that one thread at a time uses.
pub struct PriorityLock<T> {
    value: Mutex<T>,
    /// Held by the thread that gets the value next.
    next: Mutex<()>,
    /// Held by the ordinary user that waits for the value or uses it.
    ordinary: Mutex<()>,
}

impl<T> PriorityLock<T> {
    pub fn new(value: T) -> Self {
        Self { value: Mutex::new(value), next: Mutex::new(()), ordinary: Mutex::new(()) }
    }

    /// Waits for the value and passes it to `action`. `action` must not use the lock again.
    pub fn with<R>(&self, priority: LockPriority, action: impl FnOnce(&mut T) -> R) -> R {
        let _ordinary = (priority == LockPriority::Ordinary).then(|| acquire(&self.ordinary));
        let next = acquire(&self.next);
        let mut value = acquire(&self.value);
        drop(next);
        action(&mut value)
    }
}

fn acquire<T>(mutex: &Mutex<T>) -> MutexGuard<'_, T> {
    mutex.lock().unwrap_or_else(PoisonError::into_inner)
}
