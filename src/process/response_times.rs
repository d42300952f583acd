//! How long plain requests take at each service.

use std::collections::BTreeMap;
use std::time::Duration;

use crate::RecentMaximum;

/// Times of the plain requests to one service.
#[derive(Clone, Debug, Default)]
struct ServiceTimes {
    /// Seconds that recent requests took.
    longest: RecentMaximum,
    /// When the requests that have not ended were sent, by number.
    open: BTreeMap<u64, Duration>,
}

/// How long plain requests take at each service, those included that have not ended.
#[derive(Clone, Debug, Default)]
pub struct ResponseTimes {
    services: BTreeMap<String, ServiceTimes>,
    next_number: u64,
}

impl ResponseTimes {
    /// Records that a request was sent; returns the number that stands for it.
    pub fn record_start(&mut self, service: &str, now: Duration) -> u64 {
        let number = self.next_number;
        self.next_number += 1;
        self.services.entry(service.to_owned()).or_default().open.insert(number, now);
        number
    }

    /// Records the end of a request.
    pub fn record_end(&mut self, service: &str, number: u64, now: Duration) {
        let Some(times) = self.services.get_mut(service) else {
            return;
        };
        if let Some(sent) = times.open.remove(&number) {
            times.longest.record(now.saturating_sub(sent).as_secs_f64(), now);
        }
    }

    /// Returns the longest time that a request took recently or has been open; `None` before one was
    /// sent.
    pub fn longest(&self, service: &str, now: Duration) -> Option<Duration> {
        let times = self.services.get(service)?;
        let ended = Duration::from_secs_f64(times.longest.value_at(now));
        // Requests are numbered in the order in which they were sent.
        let oldest = times.open.values().next();
        Some(ended.max(oldest.map_or(Duration::ZERO, |sent| now.saturating_sub(*sent))))
    }
}
