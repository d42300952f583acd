//! How far the list of upstreams is whole again after the log came back from an older copy.
//!
//! The copy may lack a version that upstreams already run, in the list and in the records of versions
//! alike. Upstreams that live write their entries again, so the list can be trusted some time later.
//! A process that saw the copy arrive knows of it; one that has just started does so by the era in
//! which the records were last found to be complete, which stands beside them in the log.

use std::time::Duration;

use serde::{Deserialize, Serialize};

use crate::units::LogEra;

/// Time from the return of the log within which every live upstream has written its entry again: the
/// two seconds that the platform states, and a margin.
const RELIST_TIME: Duration = Duration::from_millis(2500);
/// Pause between two readings of the list from which entries may have expired unseen.
const MAX_READ_PAUSE: Duration = Duration::from_secs(3);

/// The era in which the records of versions were last found to be complete, as the log keeps it.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct RecordsEra {
    /// The era.
    pub era: LogEra,
}

impl RecordsEra {
    /// The key in the log, which is neither the name of a vm nor the key of another record.
    pub const KEY: &str = "!versions-era";
}

/// How far a process can rely on the list and the records of the present era.
#[derive(Clone, Copy, Debug, Default)]
pub(super) struct ListRecovery {
    /// The era of the log.
    era: LogEra,
    /// When this process first learned of the era; later than the return of the log.
    since: Duration,
    /// The newest era in which the records were found to be complete.
    complete_era: LogEra,
    /// Up to when the list is complete by readings in this era.
    listed_to: Option<Duration>,
    /// Whether the records were read in this era.
    records_read: bool,
}

impl ListRecovery {
    /// Records the era that the log tells.
    pub(super) fn record_era(&mut self, era: LogEra, now: Duration) {
        if era > self.era {
            let complete_era = self.complete_era;
            *self = ListRecovery { era, since: now, complete_era, ..ListRecovery::default() };
        }
    }

    /// Returns the era of the log.
    pub(super) fn era(&self) -> LogEra {
        self.era
    }

    /// Records that the list is known as it was at `confirmed_at`.
    pub(super) fn record_list(&mut self, confirmed_at: Duration) {
        let last = self.listed_to.unwrap_or(self.since);
        if confirmed_at > last + MAX_READ_PAUSE {
            self.since = confirmed_at;
        }
        self.listed_to = self.listed_to.max(Some(confirmed_at));
    }

    /// Records that all records were read.
    pub(super) fn record_records(&mut self) {
        self.records_read = true;
    }

    /// Applies what the log keeps.
    pub(super) fn apply(&mut self, kept: RecordsEra) {
        self.complete_era = self.complete_era.max(kept.era);
    }

    /// Reports whether the list and the records name every version that runs.
    pub(super) fn is_over(&self) -> bool {
        self.complete_era >= self.era || self.is_listed_again()
    }

    fn is_listed_again(&self) -> bool {
        self.listed_to.is_some_and(|to| to >= self.since + RELIST_TIME)
    }

    /// Returns the time until a reading of the list can end the recovery; none before the first
    /// reading in this era, and after the recovery.
    pub(super) fn time_left(&self, now: Duration) -> Option<Duration> {
        let open = !self.is_over() && self.listed_to.is_some();
        open.then(|| (self.since + RELIST_TIME).saturating_sub(now))
    }

    /// Returns what the log should keep and does not, once the records were read and the list is whole
    /// again; or was read, if this process `has_seen_all` versions by itself.
    pub(super) fn missing_record(&self, has_seen_all: bool) -> Option<RecordsEra> {
        let is_whole = self.is_listed_again() || has_seen_all && self.listed_to.is_some();
        let is_missing = is_whole && self.records_read && self.complete_era < self.era;
        is_missing.then_some(RecordsEra { era: self.era })
    }
}
