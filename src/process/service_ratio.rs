//! Latency ratio of a service, for upstreams that a process has seldom or never used.

/// Weight of a further median in the average of medians.
const MEDIAN_WEIGHT: f64 = 0.1;

/// Share of the excess over 1 that stays when nothing was observed, so that a service whose requests
/// are refused because it was slow gets requests again.
const EXCESS_KEPT: f64 = 0.98;

/// Average of the medians of observed to nominal times to the first event, over all upstreams of a
/// service.
///
/// A median over the observations of an interval tells nothing of a few slow upstreams, and requests
/// that waited side by side count once.
#[derive(Clone, Debug, PartialEq)]
pub struct ServiceRatio {
    ratio: f64,
    medians: u32,
    observed: Vec<f64>,
}

impl Default for ServiceRatio {
    fn default() -> Self {
        ServiceRatio { ratio: 1.0, medians: 0, observed: Vec::new() }
    }
}

impl ServiceRatio {
    /// Returns the ratio; 1 before anything was observed.
    pub fn get(&self) -> f64 {
        self.ratio
    }

    /// Records the ratio of one request.
    pub fn record(&mut self, ratio: f64) {
        self.observed.push(ratio);
    }

    /// Ends an interval of observations.
    pub fn end_interval(&mut self) {
        let Some(median) = median(&mut self.observed) else {
            self.ratio = self.ratio.min(1.0 + (self.ratio - 1.0) * EXCESS_KEPT);
            return;
        };
        self.observed.clear();
        self.medians = self.medians.saturating_add(1);
        // A first response that is late by itself must not make the whole service look slow.
        let first_weight = if median < self.ratio { 1.0 / f64::from(self.medians) } else { 0.0 };
        let weight = MEDIAN_WEIGHT.max(first_weight);
        self.ratio += (median - self.ratio) * weight;
    }
}

fn median(values: &mut [f64]) -> Option<f64> {
    let middle = values.len() / 2;
    values.sort_by(f64::total_cmp);
    values.get(middle).copied()
}
