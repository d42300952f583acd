//! Memory for bodies that are read whole before anything of them is passed on.

use std::cell::Cell;
use std::rc::Rc;

/// Limits the bytes of all bodies that are held at once.
#[derive(Debug)]
pub struct ByteBudget {
    max_bytes: usize,
    used_bytes: Cell<usize>,
}

/// The bytes of one body; released on drop.
#[derive(Debug)]
pub struct ReservedBytes {
    budget: Rc<ByteBudget>,
    bytes: usize,
}

impl ByteBudget {
    /// Creates a budget of `max_bytes` bytes.
    pub fn new(max_bytes: usize) -> Rc<Self> {
        Rc::new(ByteBudget { max_bytes, used_bytes: Cell::new(0) })
    }

    /// Returns the size of the budget.
    pub fn max_bytes(&self) -> usize {
        self.max_bytes
    }

    /// Starts the reservation of a body without any bytes.
    pub fn reserve(self: &Rc<Self>) -> ReservedBytes {
        ReservedBytes { budget: Rc::clone(self), bytes: 0 }
    }
}

impl ReservedBytes {
    /// Returns the bytes that are reserved.
    pub fn len(&self) -> usize {
        self.bytes
    }

    /// Reserves more bytes; returns false, and reserves none, if they do not fit into the budget.
    pub fn grow(&mut self, bytes: usize) -> bool {
        self.grow_leaving(bytes, 0)
    }

    /// Reserves more bytes if `spare` bytes of the budget are left then; returns false, and reserves
    /// none, if they are not.
    pub fn grow_leaving(&mut self, bytes: usize, spare: usize) -> bool {
        let used = self.budget.used_bytes.get().saturating_add(bytes);
        if used.saturating_add(spare) > self.budget.max_bytes {
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
