//! Stand-ins for what carobglade meets, and the harness that drives real processes.

pub mod engine;
pub mod log;
pub mod relay;
pub mod service;
pub mod store;

use std::sync::{Arc, Mutex, MutexGuard};

/// Locks `mutex`, also after a panic of another holder.
pub fn lock<T>(mutex: &Mutex<T>) -> MutexGuard<'_, T> {
    mutex.lock().unwrap_or_else(std::sync::PoisonError::into_inner)
}

/// A shared value behind a lock.
pub type Shared<T> = Arc<Mutex<T>>;
