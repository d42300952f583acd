//! Locking that ignores mutex poisoning.

use std::sync::{Mutex, MutexGuard, PoisonError};

/// Locks `mutex`, also when a thread panicked while holding the lock.
pub fn lock<T>(mutex: &Mutex<T>) -> MutexGuard<'_, T> {
    mutex.lock().unwrap_or_else(PoisonError::into_inner)
}
