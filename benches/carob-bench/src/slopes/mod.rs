//! Measures how state, time and bytes grow with size, for docs/CAPACITY.md.

mod components;
mod data_path;
mod idle;
mod log_streams;
mod rate_limiter;
mod replica_planner;

use std::time::Duration;

use carob_net::{Clock, SystemClock};
use eyre::Result;

use crate::report::Report;

const TIMED_RUNS: usize = 5;

/// Measures all components and, if `with_fleets` is set, fleets of real processes.
///
/// # Errors
///
/// Fails if a fleet does not start.
pub async fn run(report: &mut Report, with_fleets: bool) -> Result<()> {
    components::measure_heartbeat_memory(report);
    log_streams::run(report);
    components::run(report);
    if with_fleets {
        idle::run(report).await?;
        data_path::run(report).await?;
    }
    Ok(())
}

/// Runs `work` several times and returns the time of the fastest run divided by `steps`, in
/// microseconds.
fn fastest_micros(steps: usize, mut work: impl FnMut()) -> f64 {
    let clock = SystemClock::default();
    let runs = (0..TIMED_RUNS).map(|_| {
        let start = clock.now();
        work();
        clock.now() - start
    });
    let fastest = runs.min().unwrap_or(Duration::ZERO);
    fastest.as_secs_f64() * 1e6 / steps.max(1) as f64
}

/// Returns the resident memory of this process in bytes.
fn resident_bytes() -> f64 {
    resident_bytes_of(std::process::id())
}

/// Returns the resident memory of a process in bytes, or 0 if it cannot be read.
pub fn resident_bytes_of(id: u32) -> f64 {
    let text = std::fs::read_to_string(format!("/proc/{id}/status")).unwrap_or_default();
    let line = text.lines().find(|line| line.starts_with("VmRSS:")).unwrap_or_default();
    let kib = line.split_whitespace().nth(1).and_then(|n| n.parse::<f64>().ok()).unwrap_or(0.0);
    kib * 1024.0
}

/// Returns the processor time that a process has used in seconds, at 100 clock ticks per second.
pub fn cpu_seconds_of(id: u32) -> f64 {
    let text = std::fs::read_to_string(format!("/proc/{id}/stat")).unwrap_or_default();
    let after = text.rsplit(')').next().unwrap_or_default();
    let ticks = |n: usize| {
        after.split_whitespace().nth(n).and_then(|t| t.parse::<f64>().ok()).unwrap_or(0.0)
    };
    (ticks(11) + ticks(12)) / 100.0
}
