//! Decisions against their baselines, in virtual time and with a fixed seed.

mod placement;
mod quota;
mod routing;

use crate::report::Report;

const SEED: u64 = 42;

/// Measures all.
pub fn run(report: &mut Report) {
    quota::run(report);
    routing::run(report);
    placement::run(report);
}
