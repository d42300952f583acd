//! The data centres whose upstreams get no new work on an operator's request.

use std::collections::BTreeSet;
use std::time::Duration;

use crate::{DataCentre, LogEra};

/// Time after which the log counts alone once it came back from an older copy: until then the
/// operator writes again what the copy lacks.
const RESTORE_TIME: Duration = Duration::from_secs(15);

/// The evacuations that the log tells, and those that hold while it may have lost some.
#[derive(Clone, Debug, Default)]
pub struct Evacuations {
    /// What the log holds.
    listed: BTreeSet<DataCentre>,
    /// What holds until `restored_at`: what held before the log came back, with the records since.
    kept: BTreeSet<DataCentre>,
    restored_at: Option<Duration>,
    era: Option<LogEra>,
}

impl Evacuations {
    /// Applies the complete list of evacuations in an era of the log. A later era comes from an older
    /// copy, which may lack evacuations and hold some that were taken back.
    pub fn apply_snapshot(&mut self, listed: BTreeSet<DataCentre>, era: LogEra, now: Duration) {
        if self.era.is_some_and(|known| known < era) {
            self.kept = self.in_force(now).clone();
            self.restored_at = Some(now + RESTORE_TIME);
        }
        self.era = Some(era);
        self.listed = listed;
    }

    /// Applies a record: the evacuation of a data centre, or its end.
    pub fn apply_record(&mut self, data_centre: &DataCentre, evacuated: bool) {
        for set in [&mut self.listed, &mut self.kept] {
            if evacuated {
                set.insert(data_centre.clone());
            } else {
                set.remove(data_centre);
            }
        }
    }

    /// Returns the data centres that get no new work.
    pub fn in_force(&self, now: Duration) -> &BTreeSet<DataCentre> {
        match self.restored_at {
            Some(restored_at) if now < restored_at => &self.kept,
            _ => &self.listed,
        }
    }
}
