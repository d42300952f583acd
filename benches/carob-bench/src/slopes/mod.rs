//! Slopes of state, time and bytes over size, for docs/CAPACITY.md.

mod components;
mod data_path;
mod idle;
mod log_streams;

use std::time::Duration;

use carob_net::{Clock, SystemClock};
use eyre::Result;

use crate::report::Report;

const REPEATS: usize = 5;

/// Measures all slopes.
///
/// # Errors
///
/// When a fleet does not start.
pub async fn run(report: &mut Report, fleets: bool) -> Result<()> {
    components::memory(report);
    log_streams::run(report);
    components::run(report);
    if fleets {
        idle::run(report).await?;
        data_path::run(report).await?;
    }
    Ok(())
}

/// The shortest of several runs, in microseconds for each of `count` steps.
fn micros(count: usize, mut work: impl FnMut()) -> f64 {
    let clock = SystemClock::default();
    let runs = (0..REPEATS).map(|_| {
        let start = clock.now();
        work();
        clock.now() - start
    });
    let best = runs.min().unwrap_or(Duration::ZERO);
    best.as_secs_f64() * 1e6 / count.max(1) as f64
}

/// Bytes of memory that this process has in use.
fn resident() -> f64 {
    resident_of(std::process::id())
}

/// Bytes of memory that a process has in use.
pub fn resident_of(id: u32) -> f64 {
    let text = std::fs::read_to_string(format!("/proc/{id}/status")).unwrap_or_default();
    let line = text.lines().find(|line| line.starts_with("VmRSS:")).unwrap_or_default();
    let kib = line.split_whitespace().nth(1).and_then(|n| n.parse::<f64>().ok()).unwrap_or(0.0);
    kib * 1024.0
}

/// Seconds of processor time that a process has used.
pub fn processor_of(id: u32) -> f64 {
    let text = std::fs::read_to_string(format!("/proc/{id}/stat")).unwrap_or_default();
    let after = text.rsplit(')').next().unwrap_or_default();
    let ticks = |n: usize| {
        after.split_whitespace().nth(n).and_then(|t| t.parse::<f64>().ok()).unwrap_or(0.0)
    };
    (ticks(11) + ticks(12)) / 100.0
}
