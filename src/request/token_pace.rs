//! Pace at which the responses of a service have to be generated.

use std::collections::BTreeMap;

/// Fraction of the requests that need at most the rate kept, so that the few largest requests of
/// one caller do not decide it.
const QUANTILE: f64 = 0.99;

/// Step by which the rate kept follows a request, as a fraction.
const QUANTILE_STEP: f64 = 0.1;

/// Fraction of the earlier sums that is kept when a stream ends.
const SUM_DECAY: f64 = 0.95;

/// Fraction of the streams whose output is at most the overrun kept times what their callers expect.
const OVERRUN_QUANTILE: f64 = 0.95;

/// Step by which the overrun kept follows a stream, as a fraction.
const OVERRUN_STEP: f64 = 0.1;

/// Overrun before streams tell one.
const INITIAL_OVERRUN: f64 = 2.0;

/// Expected output tokens after which the size of an event is known.
const MIN_KNOWN_TOKENS: f64 = 1_000.0;

#[derive(Clone, Copy, Debug)]
struct ServicePace {
    needed_rate: f64,
    /// Decaying sum of the output tokens that ended streams were expected to have.
    expected_tokens: f64,
    /// Decaying sum of the events of these streams.
    events: f64,
    /// Multiple of the expected output tokens that most streams do not exceed.
    overrun: f64,
}

impl Default for ServicePace {
    fn default() -> Self {
        ServicePace {
            needed_rate: 0.0,
            expected_tokens: 0.0,
            events: 0.0,
            overrun: INITIAL_OVERRUN,
        }
    }
}

impl ServicePace {
    fn tokens_per_event(&self) -> Option<f64> {
        let known = self.expected_tokens >= MIN_KNOWN_TOKENS && self.events > 0.0;
        known.then(|| self.expected_tokens / self.events)
    }

    /// Records how much longer a stream was than its caller expected.
    fn record_overrun(&mut self, overrun: f64) {
        self.overrun = if overrun > self.overrun {
            (self.overrun * (1.0 + OVERRUN_STEP * OVERRUN_QUANTILE)).min(overrun)
        } else {
            (self.overrun * (1.0 - OVERRUN_STEP * (1.0 - OVERRUN_QUANTILE))).max(overrun).max(1.0)
        };
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
        if let Some(event) = pace.tokens_per_event().filter(|_| tokens > 0) {
            pace.record_overrun(event * events as f64 / tokens as f64);
        }
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

    /// Returns the output tokens that most streams do not exceed whose callers expect `expected`
    /// tokens and allow `max`.
    pub fn likely_tokens(&self, service: &str, expected: u64, max: u64) -> u64 {
        let overrun = self.services.get(service).map_or(INITIAL_OVERRUN, |pace| pace.overrun);
        ((expected as f64 * overrun).ceil() as u64).min(max)
    }
}
