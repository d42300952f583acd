//! A vm that starts while few others are known kept its large share of the fleet's reserve of retries.

use std::time::Duration;

use carobglade::{RetryBudget, RetryBudgetSettings};

const RESERVE: f64 = 20.0;
const VMS: usize = 10;

/// Returns how many retries a budget allows at once.
fn withdraw_all(budget: &mut RetryBudget) -> usize {
    (0..100).filter(|_| budget.withdraw(Duration::ZERO)).count()
}

// Guards against: the vms of a fleet that grows retry several times as often as its reserve allows.
#[test]
fn the_budgets_of_a_grown_fleet_stay_within_its_reserve() {
    let settings = RetryBudgetSettings { ratio: 0.1, capacity: RESERVE, min_rate: 0.0 };
    let mut budgets = vec![RetryBudget::new(settings); VMS];
    budgets.iter_mut().for_each(|budget| budget.set_capacity(RESERVE / VMS as f64));
    let allowed: usize = budgets.iter_mut().map(withdraw_all).sum();
    assert_eq!(allowed, RESERVE as usize);
}

// Guards against: a vm of a fleet that has shrunk gets retries that nobody earned.
#[test]
fn a_larger_capacity_alone_gives_no_retries() {
    let settings = RetryBudgetSettings { ratio: 0.5, capacity: 1.0, min_rate: 0.0 };
    let mut budget = RetryBudget::new(settings);
    assert_eq!(withdraw_all(&mut budget), 1);
    budget.set_capacity(RESERVE);
    assert_eq!(withdraw_all(&mut budget), 0);
    (0..8).for_each(|_| budget.deposit());
    assert_eq!(withdraw_all(&mut budget), 4);
}
