//! Counts of what is in progress.

use std::cell::Cell;
use std::rc::Rc;

/// Counts requests or connections in flight.
#[derive(Clone, Debug, Default)]
pub struct InFlightCounter(Rc<Cell<u64>>);

/// Keeps one request or connection counted until the guard is dropped.
#[derive(Debug)]
pub struct InFlightGuard(InFlightCounter);

impl InFlightCounter {
    /// Adds one to the count until the returned guard is dropped.
    pub fn increment(&self) -> InFlightGuard {
        self.0.set(self.0.get() + 1);
        InFlightGuard(self.clone())
    }

    /// Returns the current count.
    pub fn get(&self) -> u64 {
        self.0.get()
    }
}

impl Drop for InFlightGuard {
    fn drop(&mut self) {
        let counter = &self.0.0;
        counter.set(counter.get() - 1);
    }
}
