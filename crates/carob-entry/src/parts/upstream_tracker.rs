//! The upstreams as this process uses them and finds them.

use std::collections::{BTreeMap, BTreeSet};
use std::sync::Mutex;
use std::time::Duration;

use carob_net::{HttpClient, lock};
use carobglade::{
    CircuitBreaker, CircuitBreakerSettings, ErrorKind, ModelName, UpstreamCandidate, UpstreamLoad,
    UpstreamName,
};

use super::{FleetView, LogState};

const MAX_MISSED_POLLS: u32 = 3; // polls without an answer
const MEAN_WEIGHT: f64 = 0.1; // of the newest first byte in the mean
const MISSING_MODEL_TIMEOUT: Duration = Duration::from_secs(10); // of reports without a loaded model

/// One upstream as this process uses it.
#[derive(Debug)]
struct UpstreamState {
    /// Requests that run.
    running: u32,
    /// How earlier requests ended.
    breaker: CircuitBreaker,
    /// Polls in a row that it did not answer, while this process is in charge of it.
    missed_polls: u32,
    /// Mean seconds to the head of an answer.
    mean_first_byte: Option<f64>,
    /// Its connections, replaced when one went silent.
    client: HttpClient,
}

impl Default for UpstreamState {
    fn default() -> Self {
        UpstreamState {
            running: 0,
            breaker: CircuitBreaker::new(CircuitBreakerSettings::default()),
            missed_polls: 0,
            mean_first_byte: None,
            client: HttpClient::pooled(),
        }
    }
}

/// How a poll of an upstream ended.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum PollResult {
    /// No answer.
    NoResponse,
    /// It takes new requests.
    Accepting,
    /// It reports that it leaves.
    Draining,
}

#[derive(Default)]
struct State {
    states: BTreeMap<UpstreamName, UpstreamState>,
    /// Those that the platform's list shows as leaving.
    listed_draining: BTreeSet<UpstreamName>,
    /// Those that report themselves as leaving.
    reported_draining: BTreeSet<UpstreamName>,
    /// Loaded models that are missing from reports, since when.
    missing_since: BTreeMap<(UpstreamName, ModelName), Duration>,
}

impl State {
    fn entry(&mut self, name: &UpstreamName) -> &mut UpstreamState {
        self.states.entry(name.clone()).or_default()
    }

    fn is_draining(&self, name: &UpstreamName) -> bool {
        self.listed_draining.contains(name) || self.reported_draining.contains(name)
    }
}

/// The upstreams as this process uses them and finds them.
#[derive(Default)]
pub struct UpstreamTracker(Mutex<State>);

impl UpstreamTracker {
    /// Whether `name` takes new requests, as far as is known.
    pub fn accepts_new_requests(&self, log_state: &LogState, name: &UpstreamName) -> bool {
        let stays = log_state.control(|control| {
            control.config().upstreams.get(name).is_some_and(|upstream| !upstream.leaving)
        });
        stays && !lock(&self.0).is_draining(name)
    }

    /// Whether neither this process nor one in charge of `name` finds that it does not answer.
    pub fn is_reachable(&self, fleet: &FleetView, name: &UpstreamName, now: Duration) -> bool {
        let usable = |used: &UpstreamState| {
            used.missed_polls < MAX_MISSED_POLLS && used.breaker.allows_request(now)
        };
        let usable = lock(&self.0).states.get(name).is_none_or(usable);
        usable && !fleet.reports_down(name, now)
    }

    /// Those that this process is in charge of and that do not answer.
    pub fn down(&self) -> Vec<UpstreamName> {
        let state = lock(&self.0);
        let down = state.states.iter().filter(|(_, used)| used.missed_polls >= MAX_MISSED_POLLS);
        down.map(|(name, _)| name.clone()).collect()
    }

    /// This process's requests on each.
    pub fn loads(&self) -> Vec<UpstreamLoad> {
        let state = lock(&self.0);
        let busy = state.states.iter().filter(|(_, used)| used.running > 0);
        let load = |(name, used): (&UpstreamName, &UpstreamState)| UpstreamLoad {
            upstream: name.clone(),
            running: used.running,
        };
        busy.map(load).collect()
    }

    /// `names` in the order in which a call is to try them: the usable and least used first, and
    /// by `random` among equals.
    pub fn order_by_load(
        &self,
        mut names: Vec<UpstreamName>,
        mut random: impl FnMut() -> u32,
        now: Duration,
    ) -> Vec<UpstreamName> {
        let mut state = lock(&self.0);
        names.sort_by_cached_key(|name| {
            let used = state.entry(name);
            (!used.breaker.allows_request(now), used.running, random())
        });
        names
    }

    /// The usable ones of `names` as the choice sees them: with `others`' requests on them, and
    /// whether they are `remote`.
    pub fn candidates(
        &self,
        names: Vec<UpstreamName>,
        others: &BTreeMap<UpstreamName, u32>,
        remote: impl Fn(&UpstreamName) -> bool,
        now: Duration,
    ) -> Vec<UpstreamCandidate> {
        let state = lock(&self.0);
        let candidates = names.into_iter().filter_map(|name| {
            let used = state.states.get(&name);
            if used.is_some_and(|used| !used.breaker.allows_request(now)) {
                return None;
            }
            Some(UpstreamCandidate {
                own_requests: used.map_or(0, |used| used.running),
                other_requests: others.get(&name).copied().unwrap_or(0),
                remote: remote(&name),
                name,
            })
        });
        candidates.collect()
    }

    /// A request is sent.
    pub fn begin_request(&self, name: &UpstreamName) {
        lock(&self.0).entry(name).running += 1;
    }

    /// A request ended.
    pub fn end_request(&self, name: &UpstreamName) {
        let mut state = lock(&self.0);
        let used = state.entry(name);
        used.running = used.running.saturating_sub(1);
    }

    /// Leave to send a request is given; it counts in the judgement of the upstream's health.
    pub fn grant_permit(&self, name: &UpstreamName) {
        let mut state = lock(&self.0);
        let used = state.entry(name);
        used.running += 1;
        used.breaker.record_start();
    }

    /// Leave to send a request is given back.
    pub fn return_permit(&self, name: &UpstreamName) {
        let mut state = lock(&self.0);
        let used = state.entry(name);
        used.running = used.running.saturating_sub(1);
        used.breaker.record_inconclusive();
    }

    /// The connections of an upstream.
    pub fn client(&self, name: &UpstreamName) -> HttpClient {
        lock(&self.0).entry(name).client.clone()
    }

    /// Mean seconds to the head of an answer.
    pub fn mean_first_byte(&self, name: &UpstreamName) -> Option<f64> {
        lock(&self.0).states.get(name).and_then(|used| used.mean_first_byte)
    }

    /// The head of an answer came after `time`.
    pub fn record_first_byte(&self, name: &UpstreamName, time: Duration) {
        let mut state = lock(&self.0);
        let mean = &mut state.entry(name).mean_first_byte;
        let time = time.as_secs_f64();
        *mean = Some(mean.map_or(time, |old| old + (time - old) * MEAN_WEIGHT));
    }

    /// Notes how a request ended.
    pub fn record_result(&self, name: &UpstreamName, result: Result<(), ErrorKind>, now: Duration) {
        let mut state = lock(&self.0);
        let used = state.entry(name);
        match result {
            Ok(()) => used.breaker.record_success(),
            Err(kind) => {
                used.breaker.record_failure(now);
                if kind == ErrorKind::Timeout {
                    used.client = HttpClient::pooled();
                }
            }
        }
    }

    /// Notes how a poll ended.
    pub fn record_poll(&self, name: &UpstreamName, end: PollResult) {
        let mut state = lock(&self.0);
        match end {
            PollResult::NoResponse => {
                state.entry(name).missed_polls += 1;
                return;
            }
            PollResult::Accepting => state.reported_draining.remove(name),
            PollResult::Draining => state.reported_draining.insert(name.clone()),
        };
        state.entry(name).missed_polls = 0;
    }

    /// Polls count only for those that this process is in charge of.
    pub fn reset_polls_except(&self, mine: impl Fn(&UpstreamName) -> bool) {
        let mut state = lock(&self.0);
        for (name, used) in &mut state.states {
            if !mine(name) {
                used.missed_polls = 0;
            }
        }
    }

    /// The platform's list shows these as leaving.
    pub fn set_listed_draining(&self, leaving: BTreeSet<UpstreamName>) {
        lock(&self.0).listed_draining = leaving;
    }

    /// Notes whether a loaded model is missing from a report; returns whether it has been for
    /// long enough to give it up.
    pub fn track_missing_model(
        &self,
        name: &UpstreamName,
        model: &ModelName,
        missing: bool,
        now: Duration,
    ) -> bool {
        let mut state = lock(&self.0);
        let key = (name.clone(), model.clone());
        if !missing {
            state.missing_since.remove(&key);
            return false;
        }
        let since = *state.missing_since.entry(key.clone()).or_insert(now);
        let given_up = now.saturating_sub(since) >= MISSING_MODEL_TIMEOUT;
        if given_up {
            state.missing_since.remove(&key);
        }
        given_up
    }
}
