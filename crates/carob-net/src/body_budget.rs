//! Memory for the bodies of requests that are read whole.

use std::sync::Arc;
use std::sync::atomic::{AtomicUsize, Ordering};

/// Size up to which a body is small.
const SMALL_BODY_BYTES: usize = 64 << 10;
/// Part of the budget that large bodies leave to small ones.
const SMALL_BODIES_PART: usize = 4;

/// Limits the bytes that the bodies of all requests take at once.
#[derive(Debug)]
pub struct BodyBudget {
    max_bytes: usize,
    used_bytes: AtomicUsize,
}

/// The bytes of one body; released on drop.
#[derive(Debug)]
pub struct ReservedBody {
    budget: Arc<BodyBudget>,
    bytes: usize,
}

impl BodyBudget {
    /// Creates a budget of `max_bytes` bytes.
    pub fn new(max_bytes: usize) -> Arc<Self> {
        Arc::new(BodyBudget { max_bytes, used_bytes: AtomicUsize::new(0) })
    }

    /// Starts the reservation of a body without any bytes.
    pub fn reserve(self: &Arc<Self>) -> ReservedBody {
        ReservedBody { budget: Arc::clone(self), bytes: 0 }
    }
}

impl ReservedBody {
    /// Raises the reservation to `bytes`; returns false, and reserves no more, if they do not fit into
    /// the budget. Large bodies leave a part of it to small ones.
    pub fn grow_to(&mut self, bytes: usize) -> bool {
        let missing = bytes.saturating_sub(self.bytes);
        let spare = match bytes <= SMALL_BODY_BYTES {
            true => 0,
            false => self.budget.max_bytes / SMALL_BODIES_PART,
        };
        let used = &self.budget.used_bytes;
        let fits = |used: usize| {
            let total = used.checked_add(missing)?;
            (total <= self.budget.max_bytes - spare).then_some(total)
        };
        if used.fetch_update(Ordering::Relaxed, Ordering::Relaxed, fits).is_err() {
            return false;
        }
        self.bytes += missing;
        true
    }
}

impl Drop for ReservedBody {
    fn drop(&mut self) {
        self.budget.used_bytes.fetch_sub(self.bytes, Ordering::Relaxed);
    }
}
