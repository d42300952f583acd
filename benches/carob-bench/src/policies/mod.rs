//! Decision policies compared with their baselines, simulated in virtual time with a fixed seed.

mod costs;
mod placement;
mod quota;
mod routing;

use crate::report::Report;

const SEED: u64 = 42;

/// Simulates quota, routing, cost and placement policies and adds their rows to the report.
pub fn run(report: &mut Report) {
    quota::run(report);
    routing::run(report);
    costs::run(report);
    placement::run(report);
}
