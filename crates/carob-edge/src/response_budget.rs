//! Memory for responses that are read whole before anything of them is passed on.

use std::cell::Cell;
use std::rc::Rc;

/// Limits the bytes of all responses that are being read at once.
#[derive(Debug)]
pub struct ResponseBudget {
    max_bytes: usize,
    used_bytes: Cell<usize>,
}

/// The bytes of one response; released on drop.
#[derive(Debug)]
pub struct ReservedBytes {
    budget: Rc<ResponseBudget>,
    bytes: usize,
}

impl ResponseBudget {
    /// Creates a budget of `max_bytes` bytes.
    pub fn new(max_bytes: usize) -> Rc<Self> {
        Rc::new(ResponseBudget { max_bytes, used_bytes: Cell::new(0) })
    }

    /// Starts the reservation of a response without any bytes.
    pub fn reserve(self: &Rc<Self>) -> ReservedBytes {
        ReservedBytes { budget: Rc::clone(self), bytes: 0 }
    }
}

impl ReservedBytes {
    /// Reserves more bytes; returns false, and reserves none, if they do not fit into the budget.
    pub fn grow(&mut self, bytes: usize) -> bool {
        let used = self.budget.used_bytes.get() + bytes;
        if used > self.budget.max_bytes {
            return false;
        }
        self.budget.used_bytes.set(used);
        self.bytes += bytes;
        true
    }
}

impl Drop for ReservedBytes {
    fn drop(&mut self) {
        let used = &self.budget.used_bytes;
        used.set(used.get() - self.bytes);
    }
}
