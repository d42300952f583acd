//! A retry that was taken from the budget of a service.

use crate::edge::Edge;

/// A retry that was taken from the budget; given back on drop unless it was spent.
pub struct RetryToken<'a> {
    edge: &'a Edge,
    service: &'a str,
    /// Whether an attempt has used the retry.
    pub spent: bool,
}

impl<'a> RetryToken<'a> {
    /// Takes a retry from the budget of `service`; `None` if it is used up.
    pub fn take(edge: &'a Edge, service: &'a str) -> Option<Self> {
        edge.withdraw_retry(service).then_some(RetryToken { edge, service, spent: false })
    }
}

impl Drop for RetryToken<'_> {
    fn drop(&mut self) {
        if !self.spent {
            self.edge.refund_retry(self.service);
        }
    }
}
