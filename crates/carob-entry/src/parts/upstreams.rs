//! The upstreams as this process uses them and finds them.

use std::collections::{BTreeMap, BTreeSet};
use std::sync::Mutex;
use std::time::Duration;

use carob_net::{HttpClient, lock};
use carobglade::{
    CircuitBreaker, CircuitBreakerSettings, ErrorKind, ModelName, UpstreamCandidate, UpstreamLoad,
    UpstreamName,
};

use super::{Neighbours, Streams};

const DOWN_AFTER: u32 = 3; // polls without an answer
const MEAN_WEIGHT: f64 = 0.1; // of the newest first byte in the mean
const HEAL_AFTER: Duration = Duration::from_secs(10); // of reports without a loaded model

/// One upstream as this process uses it.
#[derive(Debug)]
struct UpstreamUse {
    /// Requests that run.
    running: u32,
    /// How earlier requests ended.
    health: CircuitBreaker,
    /// Polls in a row that it did not answer, while this process is in charge of it.
    missed: u32,
    /// Mean seconds to the head of an answer.
    first_byte: Option<f64>,
    /// Its connections, replaced when one went silent.
    caller: HttpClient,
}

impl Default for UpstreamUse {
    fn default() -> Self {
        UpstreamUse {
            running: 0,
            health: CircuitBreaker::new(CircuitBreakerSettings::default()),
            missed: 0,
            first_byte: None,
            caller: HttpClient::pooled(),
        }
    }
}

/// How a poll of an upstream ended.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum PollEnd {
    /// No answer.
    Missed,
    /// It takes new requests.
    Stays,
    /// It reports that it leaves.
    Leaves,
}

#[derive(Default)]
struct State {
    used: BTreeMap<UpstreamName, UpstreamUse>,
    /// Those that the platform's list shows as leaving.
    listed: BTreeSet<UpstreamName>,
    /// Those that report themselves as leaving.
    reported: BTreeSet<UpstreamName>,
    /// Loaded models that are missing from reports, since when.
    absent: BTreeMap<(UpstreamName, ModelName), Duration>,
}

impl State {
    fn of(&mut self, name: &UpstreamName) -> &mut UpstreamUse {
        self.used.entry(name.clone()).or_default()
    }

    fn leaves(&self, name: &UpstreamName) -> bool {
        self.listed.contains(name) || self.reported.contains(name)
    }
}

/// The upstreams as this process uses them and finds them.
#[derive(Default)]
pub struct Upstreams(Mutex<State>);

impl Upstreams {
    /// Whether `name` takes new requests, as far as is known.
    pub fn takes_new(&self, streams: &Streams, name: &UpstreamName) -> bool {
        let stays = streams.control(|control| {
            control.config().upstreams.get(name).is_some_and(|upstream| !upstream.leaving)
        });
        stays && !lock(&self.0).leaves(name)
    }

    /// Whether neither this process nor one in charge of `name` finds that it does not answer.
    pub fn reachable(&self, neighbours: &Neighbours, name: &UpstreamName, now: Duration) -> bool {
        let usable =
            |used: &UpstreamUse| used.missed < DOWN_AFTER && used.health.allows_request(now);
        let usable = lock(&self.0).used.get(name).is_none_or(usable);
        usable && !neighbours.finds_down(name, now)
    }

    /// Those that this process is in charge of and that do not answer.
    pub fn down(&self) -> Vec<UpstreamName> {
        let state = lock(&self.0);
        let down = state.used.iter().filter(|(_, used)| used.missed >= DOWN_AFTER);
        down.map(|(name, _)| name.clone()).collect()
    }

    /// This process's requests on each.
    pub fn loads(&self) -> Vec<UpstreamLoad> {
        let state = lock(&self.0);
        let busy = state.used.iter().filter(|(_, used)| used.running > 0);
        let load = |(name, used): (&UpstreamName, &UpstreamUse)| UpstreamLoad {
            upstream: name.clone(),
            running: used.running,
        };
        busy.map(load).collect()
    }

    /// `names` in the order in which a call is to try them: the usable and least used first, and
    /// by `random` among equals.
    pub fn order(
        &self,
        mut names: Vec<UpstreamName>,
        mut random: impl FnMut() -> u32,
        now: Duration,
    ) -> Vec<UpstreamName> {
        let mut state = lock(&self.0);
        names.sort_by_cached_key(|name| {
            let used = state.of(name);
            (!used.health.allows_request(now), used.running, random())
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
            let used = state.used.get(&name);
            if used.is_some_and(|used| !used.health.allows_request(now)) {
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
    pub fn enter(&self, name: &UpstreamName) {
        lock(&self.0).of(name).running += 1;
    }

    /// A request ended.
    pub fn leave(&self, name: &UpstreamName) {
        let mut state = lock(&self.0);
        let used = state.of(name);
        used.running = used.running.saturating_sub(1);
    }

    /// Leave to send a request is given; it counts in the judgement of the upstream's health.
    pub fn grant(&self, name: &UpstreamName) {
        let mut state = lock(&self.0);
        let used = state.of(name);
        used.running += 1;
        used.health.record_start();
    }

    /// Leave to send a request is given back.
    pub fn give_back(&self, name: &UpstreamName) {
        let mut state = lock(&self.0);
        let used = state.of(name);
        used.running = used.running.saturating_sub(1);
        used.health.record_inconclusive();
    }

    /// The connections of an upstream.
    pub fn caller(&self, name: &UpstreamName) -> HttpClient {
        lock(&self.0).of(name).caller.clone()
    }

    /// Mean seconds to the head of an answer.
    pub fn first_byte(&self, name: &UpstreamName) -> Option<f64> {
        lock(&self.0).used.get(name).and_then(|used| used.first_byte)
    }

    /// The head of an answer came after `time`.
    pub fn note_first(&self, name: &UpstreamName, time: Duration) {
        let mut state = lock(&self.0);
        let mean = &mut state.of(name).first_byte;
        let time = time.as_secs_f64();
        *mean = Some(mean.map_or(time, |old| old + (time - old) * MEAN_WEIGHT));
    }

    /// Notes how a request ended.
    pub fn note_end(&self, name: &UpstreamName, result: Result<(), ErrorKind>, now: Duration) {
        let mut state = lock(&self.0);
        let used = state.of(name);
        match result {
            Ok(()) => used.health.record_success(),
            Err(kind) => {
                used.health.record_failure(now);
                if kind == ErrorKind::Timeout {
                    used.caller = HttpClient::pooled();
                }
            }
        }
    }

    /// Notes how a poll ended.
    pub fn polled(&self, name: &UpstreamName, end: PollEnd) {
        let mut state = lock(&self.0);
        match end {
            PollEnd::Missed => {
                state.of(name).missed += 1;
                return;
            }
            PollEnd::Stays => state.reported.remove(name),
            PollEnd::Leaves => state.reported.insert(name.clone()),
        };
        state.of(name).missed = 0;
    }

    /// Polls count only for those that this process is in charge of.
    pub fn forget_polls(&self, mine: impl Fn(&UpstreamName) -> bool) {
        let mut state = lock(&self.0);
        for (name, used) in &mut state.used {
            if !mine(name) {
                used.missed = 0;
            }
        }
    }

    /// The platform's list shows these as leaving.
    pub fn list(&self, leaving: BTreeSet<UpstreamName>) {
        lock(&self.0).listed = leaving;
    }

    /// Notes whether a loaded model is missing from a report; returns whether it has been for
    /// long enough to give it up.
    pub fn absent(
        &self,
        name: &UpstreamName,
        model: &ModelName,
        missing: bool,
        now: Duration,
    ) -> bool {
        let mut state = lock(&self.0);
        let key = (name.clone(), model.clone());
        if !missing {
            state.absent.remove(&key);
            return false;
        }
        let since = *state.absent.entry(key.clone()).or_insert(now);
        let given_up = now.saturating_sub(since) >= HEAL_AFTER;
        if given_up {
            state.absent.remove(&key);
        }
        given_up
    }
}
