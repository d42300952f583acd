//! Counts messages of other vms and records that this build cannot decode, such as those of a newer
//! build, and limits the lines about them.

use std::cell::RefCell;
use std::collections::BTreeMap;
use std::time::Duration;

/// Minimum time between two lines about the same role.
const REPORT_INTERVAL: Duration = Duration::from_secs(30);

/// What could not be decoded, by role.
#[derive(Debug, Default)]
pub struct Undecoded {
    roles: RefCell<BTreeMap<&'static str, Reported>>,
}

/// Failures of one role.
#[derive(Clone, Copy, Debug, Default)]
struct Reported {
    /// Failures that are not in any line yet.
    count: u64,
    reported_at: Option<Duration>,
}

impl Undecoded {
    /// Counts a failure; returns the failures since the line before when a line is due.
    pub fn record(&self, role: &'static str, now: Duration) -> Option<u64> {
        let mut roles = self.roles.borrow_mut();
        let reported = roles.entry(role).or_default();
        reported.count += 1;
        if reported.reported_at.is_some_and(|at| now < at + REPORT_INTERVAL) {
            return None;
        }
        reported.reported_at = Some(now);
        Some(std::mem::take(&mut reported.count))
    }
}
