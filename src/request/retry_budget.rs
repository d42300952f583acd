//! Retry budget that keeps a fault from multiplying the load on upstreams.

use std::time::Duration;

use crate::process::TokenBucket;

/// Settings of a [`RetryBudget`].
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct RetryBudgetSettings {
    /// Retries earned by each first attempt.
    pub ratio: f64,
    /// Maximum number of retries in the budget.
    pub capacity: f64,
    /// Retries per second that are allowed regardless of traffic.
    pub min_rate: f64,
}

impl Default for RetryBudgetSettings {
    fn default() -> Self {
        RetryBudgetSettings { ratio: 0.1, capacity: 20.0, min_rate: 1.0 }
    }
}

/// Limits retries to a share of the first attempts plus a minimum rate.
///
/// ```
/// use std::time::Duration;
/// use carobglade::{RetryBudget, RetryBudgetSettings};
/// let defaults = RetryBudgetSettings::default();
/// let settings = RetryBudgetSettings { capacity: 1.0, min_rate: 0.0, ..defaults };
/// let mut budget = RetryBudget::new(settings);
/// assert!(budget.withdraw(Duration::ZERO));
/// assert!(!budget.withdraw(Duration::ZERO));
/// ```
#[derive(Clone, Debug)]
pub struct RetryBudget {
    settings: RetryBudgetSettings,
    balance: TokenBucket,
}

impl RetryBudget {
    /// Creates a full budget.
    pub fn new(settings: RetryBudgetSettings) -> Self {
        RetryBudget { settings, balance: TokenBucket::new(settings.capacity) }
    }

    /// Changes the maximum number of retries; those beyond it are dropped.
    pub fn set_capacity(&mut self, capacity: f64) {
        self.settings.capacity = capacity;
        self.balance.add(0.0, capacity);
    }

    /// Adds the share of a retry that one first attempt earns.
    pub fn deposit(&mut self) {
        self.balance.add(self.settings.ratio, self.settings.capacity);
    }

    /// Gives back a retry that was taken and not made.
    pub fn refund(&mut self) {
        self.balance.add(1.0, self.settings.capacity);
    }

    /// Takes one retry from the budget; returns false when the budget is used up.
    pub fn withdraw(&mut self, now: Duration) -> bool {
        self.balance.refill(self.settings.min_rate, self.settings.capacity, now);
        self.balance.take()
    }
}
