//! Estimates the offsets between the clocks of vms from the times at which the vms logged the same
//! records.

use std::collections::{BTreeMap, VecDeque};

/// Maximum number of samples per vm; the oldest are dropped.
const MAX_SAMPLES_PER_VM: usize = 4096;

/// Offset below which the difference may come from reading a record at different times, in
/// milliseconds.
const MAX_READ_DELAY_MS: i64 = 2000;

/// Minimum number of records that both vms must have logged.
const MIN_SHARED_SAMPLES: usize = 3;

/// The times at which a vm logged records.
#[derive(Default)]
struct Samples {
    times: BTreeMap<String, u64>,
    /// The records in the order in which they were first logged.
    order: VecDeque<String>,
}

/// Samples of the clocks of all vms.
#[derive(Default)]
pub struct ClockSamples {
    samples: BTreeMap<String, Samples>,
}

/// Estimated offset of one clock from another.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct ClockOffset {
    /// Milliseconds by which the clock is ahead; negative when it is behind.
    pub millis: i64,
    /// Number of shared records behind the estimate.
    pub samples: usize,
}

impl ClockSamples {
    /// Records that `vm` logged `record` at `time`, in Unix milliseconds of its own clock.
    pub fn add_sample(&mut self, vm: &str, record: String, time: u64) {
        let Samples { times, order } = self.samples.entry(vm.to_owned()).or_default();
        if times.insert(record.clone(), time).is_none() {
            order.push_back(record);
        }
        if order.len() > MAX_SAMPLES_PER_VM
            && let Some(oldest) = order.pop_front()
        {
            times.remove(&oldest);
        }
    }

    /// Returns the median offset of the clock of `vm` from the clock of `other`, or `None` when the
    /// vms share too few records or the offset is below [`MAX_READ_DELAY_MS`].
    pub fn offset_between(&self, vm: &str, other: &str) -> Option<ClockOffset> {
        let (own, others) = (&self.samples.get(vm)?.times, &self.samples.get(other)?.times);
        let shared = own.iter().filter_map(|(record, time)| Some((time, others.get(record)?)));
        let mut differences: Vec<i64> =
            shared.map(|(own, other)| *own as i64 - *other as i64).collect();
        differences.sort_unstable();
        let millis = *differences.get(differences.len() / 2)?;
        let samples = differences.len();
        (samples >= MIN_SHARED_SAMPLES && millis.abs() >= MAX_READ_DELAY_MS)
            .then_some(ClockOffset { millis, samples })
    }
}
