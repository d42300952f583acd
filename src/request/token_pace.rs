//! Pace at which the responses of a service have to be generated.

use std::collections::BTreeMap;

/// Fraction of the requests that need at most the rate kept, so that the few largest requests of
/// one caller do not decide it.
const QUANTILE: f64 = 0.99;

/// Step by which the rate kept follows a request, as a fraction.
const QUANTILE_STEP: f64 = 0.1;

/// Fraction of the earlier sums that is kept when a stream ends.
const SUM_DECAY: f64 = 0.95;

/// Expected output tokens after which the size of an event is known.
const MIN_KNOWN_TOKENS: f64 = 1_000.0;

#[derive(Clone, Copy, Debug, Default)]
struct ServicePace {
    needed_rate: f64,
    /// Decaying sum of the output tokens that ended streams were expected to have.
    expected_tokens: f64,
    /// Decaying sum of the events of these streams.
    events: f64,
}

impl ServicePace {
    fn tokens_per_event(&self) -> Option<f64> {
        let known = self.expected_tokens >= MIN_KNOWN_TOKENS && self.events > 0.0;
        known.then(|| self.expected_tokens / self.events)
    }
}

/// Pace at which the responses of each service have to be generated, and the size of their events.
#[derive(Clone, Debug, Default)]
pub struct TokenPace {
    services: BTreeMap<String, ServicePace>,
}

impl TokenPace {
    fn service(&mut self, service: &str) -> &mut ServicePace {
        self.services.entry(service.to_owned()).or_default()
    }

    /// Records a request whose response needs `rate` tokens a second.
    pub fn record_request(&mut self, service: &str, rate: f64) {
        let needed = &mut self.service(service).needed_rate;
        *needed = if *needed == 0.0 {
            rate
        } else if rate > *needed {
            (*needed * (1.0 + QUANTILE_STEP * QUANTILE)).min(rate)
        } else {
            (*needed * (1.0 - QUANTILE_STEP * (1.0 - QUANTILE))).max(rate)
        };
    }

    /// Records a stream that ended whole after `events` events, where `tokens` output tokens were
    /// expected.
    pub fn record_stream(&mut self, service: &str, tokens: u64, events: u64) {
        let pace = self.service(service);
        pace.expected_tokens = pace.expected_tokens * SUM_DECAY + tokens as f64;
        pace.events = pace.events * SUM_DECAY + events as f64;
    }

    /// Returns the rate that 99 of 100 recent responses of a service need at most to end in time,
    /// in tokens a second; 0 without requests.
    pub fn needed_rate(&self, service: &str) -> f64 {
        self.services.get(service).map_or(0.0, |pace| pace.needed_rate)
    }

    /// Returns the output tokens in one event of a stream; `None` until enough streams ended.
    pub fn tokens_per_event(&self, service: &str) -> Option<f64> {
        self.services.get(service)?.tokens_per_event()
    }

    /// Returns the output tokens that are left of a stream whose caller expects `expected` tokens and
    /// has `events` events. An event of unknown size counts as one token.
    pub fn remaining_tokens(&self, service: &str, expected: u64, events: u64) -> u64 {
        let size = self.tokens_per_event(service).unwrap_or(1.0).max(1.0);
        expected.saturating_sub((events as f64 * size).round() as u64)
    }
}
