//! A budget for retries, so that a fault does not multiply the load.

use std::time::Duration;

use crate::process::Allowance;

/// Settings of a [`RetryBudget`].
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct RetrySettings {
    /// Retries earned by each first try.
    pub ratio: f64,
    /// Most retries saved up.
    pub capacity: f64,
    /// Retries per second that are allowed whatever the traffic.
    pub min_rate: f64,
}

impl Default for RetrySettings {
    fn default() -> Self {
        RetrySettings { ratio: 0.1, capacity: 20.0, min_rate: 1.0 }
    }
}

/// A budget for retries.
///
/// ```
/// use std::time::Duration;
/// use carobglade::{RetryBudget, RetrySettings};
/// let settings = RetrySettings { capacity: 1.0, min_rate: 0.0, ..RetrySettings::default() };
/// let mut budget = RetryBudget::new(settings);
/// assert!(budget.withdraw(Duration::ZERO));
/// assert!(!budget.withdraw(Duration::ZERO));
/// ```
#[derive(Clone, Debug)]
pub struct RetryBudget {
    settings: RetrySettings,
    balance: Allowance,
}

impl RetryBudget {
    /// A full budget.
    pub fn new(settings: RetrySettings) -> Self {
        RetryBudget { settings, balance: Allowance::new(settings.capacity) }
    }

    /// Earns the part of a retry that a first try brings.
    pub fn deposit(&mut self) {
        self.balance.add(self.settings.ratio, self.settings.capacity);
    }

    /// Takes a retry from the budget; false when it is used up.
    pub fn withdraw(&mut self, now: Duration) -> bool {
        self.balance.refill(self.settings.min_rate, self.settings.capacity, now);
        self.balance.take()
    }
}
