//! A retry of a service's budget.

use crate::edge::Edge;

/// A retry that was taken from the budget; given back on drop unless it was spent.
pub struct RetryToken<'a> {
    /// The state of the process.
    pub edge: &'a Edge,
    /// The service whose budget holds the retry.
    pub service: &'a str,
    /// Whether the retry was made.
    pub spent: bool,
}

impl Drop for RetryToken<'_> {
    fn drop(&mut self) {
        if !self.spent {
            self.edge.refund_retry(self.service);
        }
    }
}
