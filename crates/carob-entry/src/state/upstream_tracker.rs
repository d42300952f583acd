//! Load and health of the upstreams, as observed by this process.

use std::collections::{BTreeMap, BTreeSet};
use std::sync::Mutex;
use std::time::Duration;

use carob_net::{HttpClient, lock};
use carobglade::{
    CircuitBreaker, CircuitBreakerSettings, ErrorKind, ModelName, UpstreamCandidate, UpstreamLoad,
    UpstreamName,
};

use super::{FleetView, LogState};

/// Consecutive polls without a response from which an upstream counts as down.
const MAX_MISSED_POLLS: u32 = 3;
/// Weight of the newest sample in the mean time to the first byte.
const MEAN_WEIGHT: f64 = 0.1;
/// Time for which reports omit a loaded model before it is considered lost.
const MISSING_MODEL_TIMEOUT: Duration = Duration::from_secs(10);

/// State of one upstream.
#[derive(Debug)]
struct UpstreamState {
    /// Requests in flight from this process.
    running: u32,
    /// Circuit breaker, fed with the results of requests.
    breaker: CircuitBreaker,
    /// Consecutive polls without a response, while this process monitors the upstream.
    missed_polls: u32,
    /// Moving mean of the seconds to the head of a response.
    mean_first_byte: Option<f64>,
    /// Client with the connection pool of the upstream, replaced after a silence.
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

/// Result of a poll of an upstream.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum PollResult {
    /// The upstream did not respond.
    NoResponse,
    /// The upstream accepts new requests.
    Accepting,
    /// The upstream reports that it is leaving.
    Draining,
}

#[derive(Default)]
struct State {
    upstreams: BTreeMap<UpstreamName, UpstreamState>,
    /// Upstreams that are leaving according to the platform's list.
    listed_draining: BTreeSet<UpstreamName>,
    /// Upstreams that are leaving according to their own reports.
    reported_draining: BTreeSet<UpstreamName>,
    /// Loaded models that reports omit, with the time of the first such report.
    missing_since: BTreeMap<(UpstreamName, ModelName), Duration>,
}

impl State {
    fn entry(&mut self, name: &UpstreamName) -> &mut UpstreamState {
        self.upstreams.entry(name.clone()).or_default()
    }

    fn is_draining(&self, name: &UpstreamName) -> bool {
        self.listed_draining.contains(name) || self.reported_draining.contains(name)
    }
}

/// Load and health of the upstreams, as observed by this process.
#[derive(Default)]
pub struct UpstreamTracker(Mutex<State>);

impl UpstreamTracker {
    /// Reports whether `name` is configured and not known to be leaving.
    pub fn accepts_new_requests(&self, log_state: &LogState, name: &UpstreamName) -> bool {
        let configured = log_state.with_control(|control| {
            control.config().upstreams.get(name).is_some_and(|upstream| !upstream.draining)
        });
        configured && !lock(&self.0).is_draining(name)
    }

    /// Reports whether `name` is healthy for this process and no live process announces that it is
    /// unresponsive.
    pub fn is_reachable(&self, fleet: &FleetView, name: &UpstreamName, now: Duration) -> bool {
        let usable = |upstream: &UpstreamState| {
            upstream.missed_polls < MAX_MISSED_POLLS && upstream.breaker.allows_request(now)
        };
        let usable = lock(&self.0).upstreams.get(name).is_none_or(usable);
        usable && !fleet.reports_down(name, now)
    }

    /// Returns the unresponsive upstreams among those that this process monitors.
    pub fn unresponsive(&self) -> Vec<UpstreamName> {
        let state = lock(&self.0);
        let down = state
            .upstreams
            .iter()
            .filter(|(_, upstream)| upstream.missed_polls >= MAX_MISSED_POLLS);
        down.map(|(name, _)| name.clone()).collect()
    }

    /// Returns the requests that this process runs on each upstream.
    pub fn own_loads(&self) -> Vec<UpstreamLoad> {
        let state = lock(&self.0);
        let busy = state.upstreams.iter().filter(|(_, upstream)| upstream.running > 0);
        let load = |(name, upstream): (&UpstreamName, &UpstreamState)| UpstreamLoad {
            upstream: name.clone(),
            running: upstream.running,
        };
        busy.map(load).collect()
    }

    /// Sorts `names` into the order in which a call tries them: first those that the circuit
    /// breaker allows and that are not silent, then by fewest requests in flight, and by `random`
    /// among equals.
    pub fn order_by_load(
        &self,
        mut names: Vec<UpstreamName>,
        mut random: impl FnMut() -> u32,
        now: Duration,
    ) -> Vec<UpstreamName> {
        let mut state = lock(&self.0);
        names.sort_by_cached_key(|name| {
            let upstream = state.entry(name);
            let breaker = &upstream.breaker;
            let avoided = (!breaker.allows_request(now), breaker.is_avoided(now));
            (avoided, upstream.running, random())
        });
        names
    }

    /// Returns the routing candidates among `names` that the circuit breaker allows, with the
    /// requests that `others` run on them. `remote` tells whether an upstream is in another data
    /// centre.
    pub fn candidates(
        &self,
        names: Vec<UpstreamName>,
        others: &BTreeMap<UpstreamName, u32>,
        remote: impl Fn(&UpstreamName) -> bool,
        now: Duration,
    ) -> Vec<UpstreamCandidate> {
        let state = lock(&self.0);
        let candidates = names.into_iter().filter_map(|name| {
            let upstream = state.upstreams.get(&name);
            if upstream.is_some_and(|upstream| !upstream.breaker.allows_request(now)) {
                return None;
            }
            Some(UpstreamCandidate {
                local_requests: upstream.map_or(0, |upstream| upstream.running),
                peer_requests: others.get(&name).copied().unwrap_or(0),
                remote: remote(&name),
                name,
            })
        });
        candidates.collect()
    }

    /// Drops the silent upstreams from `candidates`, unless all are silent.
    pub fn prefer_active(&self, candidates: &mut Vec<UpstreamCandidate>, now: Duration) {
        let state = lock(&self.0);
        let active = |candidate: &UpstreamCandidate| {
            let upstream = state.upstreams.get(&candidate.name);
            !upstream.is_some_and(|upstream| upstream.breaker.is_avoided(now))
        };
        if candidates.iter().any(active) {
            candidates.retain(active);
        }
    }

    /// Counts a request that is being sent.
    pub fn begin_request(&self, name: &UpstreamName) {
        lock(&self.0).entry(name).running += 1;
    }

    /// Counts the end of a request.
    pub fn end_request(&self, name: &UpstreamName) {
        let mut state = lock(&self.0);
        let upstream = state.entry(name);
        upstream.running = upstream.running.saturating_sub(1);
    }

    /// Counts a request that was granted a permit, and tells the circuit breaker that it starts.
    pub fn grant_permit(&self, name: &UpstreamName) {
        let mut state = lock(&self.0);
        let upstream = state.entry(name);
        upstream.running += 1;
        upstream.breaker.record_start();
    }

    /// Counts the end of a request with a permit. The circuit breaker takes it as inconclusive
    /// unless a result was recorded.
    pub fn return_permit(&self, name: &UpstreamName) {
        let mut state = lock(&self.0);
        let upstream = state.entry(name);
        upstream.running = upstream.running.saturating_sub(1);
        upstream.breaker.record_inconclusive();
    }

    /// Returns the client for an upstream.
    pub fn client(&self, name: &UpstreamName) -> HttpClient {
        lock(&self.0).entry(name).client.clone()
    }

    /// Returns the mean seconds to the head of a response; `None` without a sample.
    pub fn mean_first_byte(&self, name: &UpstreamName) -> Option<f64> {
        lock(&self.0).upstreams.get(name).and_then(|upstream| upstream.mean_first_byte)
    }

    /// Records that the head of a response arrived after `time`.
    pub fn record_first_byte(&self, name: &UpstreamName, time: Duration) {
        let mut state = lock(&self.0);
        let mean = &mut state.entry(name).mean_first_byte;
        let time = time.as_secs_f64();
        *mean = Some(mean.map_or(time, |old| old + (time - old) * MEAN_WEIGHT));
    }

    /// Records that a request waits longer than expected. Later requests prefer other upstreams, and
    /// use new connections to this one.
    pub fn record_silence(&self, name: &UpstreamName, now: Duration) {
        let mut state = lock(&self.0);
        let upstream = state.entry(name);
        upstream.breaker.record_silence(now);
        upstream.client = HttpClient::pooled();
    }

    /// Records that an upstream sent something after a silence.
    pub fn record_progress(&self, name: &UpstreamName) {
        lock(&self.0).entry(name).breaker.record_progress();
    }

    /// Records the result of a request. A timeout is a silence, not a failure.
    pub fn record_result(&self, name: &UpstreamName, result: Result<(), ErrorKind>, now: Duration) {
        let mut state = lock(&self.0);
        let upstream = state.entry(name);
        match result {
            Ok(()) => upstream.breaker.record_success(),
            Err(ErrorKind::Timeout) => upstream.breaker.record_silence(now),
            Err(_) => upstream.breaker.record_failure(now),
        }
    }

    /// Records the result of a poll.
    pub fn record_poll(&self, name: &UpstreamName, result: PollResult) {
        let mut state = lock(&self.0);
        match result {
            PollResult::NoResponse => {
                state.entry(name).missed_polls += 1;
                return;
            }
            PollResult::Accepting => state.reported_draining.remove(name),
            PollResult::Draining => state.reported_draining.insert(name.clone()),
        };
        state.entry(name).missed_polls = 0;
    }

    /// Resets the missed polls of all upstreams except `mine`, the ones that this process monitors.
    pub fn reset_polls_except(&self, mine: impl Fn(&UpstreamName) -> bool) {
        let mut state = lock(&self.0);
        for (name, upstream) in &mut state.upstreams {
            if !mine(name) {
                upstream.missed_polls = 0;
            }
        }
    }

    /// Sets the upstreams that are leaving according to the platform's list.
    pub fn set_listed_draining(&self, leaving: BTreeSet<UpstreamName>) {
        lock(&self.0).listed_draining = leaving;
    }

    /// Records whether a report omits a loaded model, and reports whether the model has been
    /// missing for `MISSING_MODEL_TIMEOUT`; the time starts again after that.
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
