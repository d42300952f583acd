//! How far the clocks of vms differ, by what all of them logged of the same record.

use std::collections::{BTreeMap, VecDeque};

/// Marks that are kept of a vm; the latest stay.
const MAX_SAMPLES_PER_VM: usize = 4096;

/// Difference below which two vms may only have read a record at different times, in milliseconds.
const MAX_READ_DELAY_MS: i64 = 2000;

/// Marks that two vms must share.
const MIN_SHARED_SAMPLES: usize = 3;

/// When a vm logged records.
#[derive(Default)]
struct Samples {
    times: BTreeMap<String, u64>,
    /// The records as they were logged, the oldest first.
    order: VecDeque<String>,
}

/// Clocks of vms.
#[derive(Default)]
pub struct ClockSamples {
    samples: BTreeMap<String, Samples>,
}

/// How far a clock is ahead of another.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct ClockOffset {
    /// Milliseconds.
    pub millis: i64,
    /// Marks that tell so.
    pub samples: usize,
}

impl ClockSamples {
    /// A vm logged a record at `time`, in Unix milliseconds of its own clock.
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

    /// How far the clock of `vm` is ahead of that of `other`; none where that is not known or no
    /// more than the time of reading.
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
