//! Load of every upstream, from this process's own requests and the reports of its peers.

use std::collections::{BTreeMap, VecDeque};
use std::time::Duration;

use super::{ServiceRatio, StreamProgress};
use crate::{Incarnation, UpstreamName, VmName};

/// How long the loads that another process reported count.
pub const PEER_LOAD_TTL: Duration = Duration::from_secs(2);

/// Weight of the old value in an exponential moving average.
const SMOOTHING: f64 = 0.85;

/// Time between two calls of [`LoadTracker::decay_stats`].
pub const DECAY_INTERVAL: Duration = Duration::from_millis(500);

/// Number of past latency ratios that are kept, one for each `DECAY_INTERVAL`.
const PAST_RATIOS: usize = 16;

/// Average number of streams that tells how fast an upstream generates, in thousandths.
const MIN_STREAM_MILLIS: u64 = 1_000;

/// Load of one upstream.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub struct Load {
    /// Requests that were sent and have not ended.
    pub running: u32,
    /// Prompt tokens of the running requests that have had no first event yet.
    pub prompt_backlog: u64,
    /// Tokens of the running requests, prompts and expected responses.
    pub tokens: u64,
    /// Output tokens received from running streams, in tokens a second.
    pub token_rate: u64,
    /// Average number of running streams, in thousandths.
    pub stream_millis: u64,
}

impl Load {
    fn without(self, other: Load) -> Load {
        Load {
            running: self.running.saturating_sub(other.running),
            prompt_backlog: self.prompt_backlog.saturating_sub(other.prompt_backlog),
            tokens: self.tokens.saturating_sub(other.tokens),
            token_rate: self.token_rate.saturating_sub(other.token_rate),
            stream_millis: self.stream_millis.saturating_sub(other.stream_millis),
        }
    }

    fn add(&mut self, other: Load) {
        self.running += other.running;
        self.prompt_backlog += other.prompt_backlog;
        self.tokens += other.tokens;
        self.token_rate += other.token_rate;
        self.stream_millis += other.stream_millis;
    }

    /// Returns the output tokens of one stream, in tokens a second; `None` if too few streams ran
    /// to tell.
    pub fn tokens_per_stream(&self) -> Option<f64> {
        let known = self.stream_millis >= MIN_STREAM_MILLIS;
        known.then(|| self.token_rate as f64 * 1000.0 / self.stream_millis as f64)
    }
}

/// Moving averages of how an upstream serves this process.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct UpstreamStats {
    /// Ratio of observed to estimated times to the first event.
    pub latency_ratio: f64,
    /// Share of recent requests that failed, from 0 to 1.
    pub failure_rate: f64,
}

impl Default for UpstreamStats {
    fn default() -> Self {
        UpstreamStats { latency_ratio: 1.0, failure_rate: 0.0 }
    }
}

/// The latency ratios of an upstream at the latest calls of [`LoadTracker::decay_stats`], the newest
/// first.
#[derive(Clone, Debug, Default)]
struct PastRatios(VecDeque<f64>);

impl PastRatios {
    fn push(&mut self, ratio: f64) {
        self.0.push_front(ratio);
        self.0.truncate(PAST_RATIOS);
    }

    /// Returns the ratio `age` ago, to within `DECAY_INTERVAL`; `None` if none was kept.
    fn at_age(&self, age: Duration) -> Option<f64> {
        let index = (age.as_millis() / DECAY_INTERVAL.as_millis()) as usize;
        self.0.get(index).or(self.0.back()).copied()
    }
}

#[derive(Clone, Debug)]
struct PeerLoads {
    incarnation: Incarnation,
    received_at: Duration,
    loads: BTreeMap<u32, Load>,
}

/// Tracks the load and the statistics of all upstreams.
#[derive(Clone, Debug, Default)]
pub struct LoadTracker {
    local: BTreeMap<UpstreamName, Load>,
    streams: BTreeMap<UpstreamName, StreamProgress>,
    peers: BTreeMap<VmName, PeerLoads>,
    /// Statistics of upstreams; their latency ratios are relative to those of their services.
    stats: BTreeMap<UpstreamName, UpstreamStats>,
    past_ratios: BTreeMap<UpstreamName, PastRatios>,
    services: BTreeMap<String, ServiceTimes>,
}

/// Latency ratios of a service, over all of its upstreams.
#[derive(Clone, Debug, Default)]
struct ServiceTimes {
    ratio: ServiceRatio,
    past: PastRatios,
}

/// Returns the hash that stands for a name in messages between processes.
pub fn name_hash(name: &str) -> u32 {
    xxhash_rust::xxh3::xxh3_64(name.as_bytes()) as u32
}

impl LoadTracker {
    /// Records the start of a request on an upstream; `prompt` is the number of its prompt tokens,
    /// and `tokens` includes those of the expected response.
    pub fn record_start(&mut self, name: &UpstreamName, prompt: u64, tokens: u64) {
        let load = Load { running: 1, prompt_backlog: prompt, tokens, ..Load::default() };
        self.local.entry(name.clone()).or_default().add(load);
    }

    /// Records the start of a stream from an upstream.
    pub fn record_stream_start(&mut self, name: &UpstreamName, now: Duration) {
        self.streams.entry(name.clone()).or_default().record_start(now);
    }

    /// Records output tokens of a stream that runs.
    pub fn record_tokens(&mut self, name: &UpstreamName, tokens: f64, now: Duration) {
        if let Some(streams) = self.streams.get_mut(name) {
            streams.record_tokens(tokens, now);
        }
    }

    /// Records the end of a stream.
    pub fn record_stream_end(&mut self, name: &UpstreamName, now: Duration) {
        if let Some(streams) = self.streams.get_mut(name) {
            streams.record_end(now);
        }
    }

    /// Records the first event of a request of `prompt` tokens.
    pub fn record_first_event(&mut self, name: &UpstreamName, prompt: u64) {
        if let Some(load) = self.local.get_mut(name) {
            load.prompt_backlog = load.prompt_backlog.saturating_sub(prompt);
        }
    }

    /// Records the end of a request that still counts for `waiting` tokens in the prompt backlog.
    pub fn record_end(&mut self, name: &UpstreamName, waiting: u64, tokens: u64) {
        let Some(load) = self.local.get_mut(name) else {
            return;
        };
        load.running = load.running.saturating_sub(1);
        load.prompt_backlog = load.prompt_backlog.saturating_sub(waiting);
        load.tokens = load.tokens.saturating_sub(tokens);
        if load.running == 0 {
            self.local.remove(name);
        }
    }

    /// Applies a peer's report of its loads, unless the report is of an earlier incarnation.
    pub fn apply_report(
        &mut self,
        vm: &VmName,
        incarnation: Incarnation,
        loads: BTreeMap<u32, Load>,
        now: Duration,
    ) {
        let known = self.peers.get(vm).map(|peer| peer.incarnation);
        if known.is_none_or(|known| known <= incarnation) {
            self.peers.insert(vm.clone(), PeerLoads { incarnation, received_at: now, loads });
        }
    }

    /// Returns the load that all processes put on an upstream, as known at `now`.
    pub fn total_load(&self, name: &UpstreamName, now: Duration) -> Load {
        let mut total = self.local_load(name, now);
        let hash = name_hash(name.as_str());
        for peer in self.peers.values() {
            if now.saturating_sub(peer.received_at) < PEER_LOAD_TTL {
                total.add(peer.loads.get(&hash).copied().unwrap_or_default());
            }
        }
        total
    }

    /// Returns the summed loads of this process and of the vms that `vms` accepts.
    pub fn sum_over(&self, vms: impl Fn(&VmName) -> bool, now: Duration) -> BTreeMap<u32, Load> {
        let mut sum = self.local_loads(now);
        let fresh = |peer: &PeerLoads| now.saturating_sub(peer.received_at) < PEER_LOAD_TTL;
        let counted = self.peers.iter().filter(|(vm, peer)| vms(vm) && fresh(peer));
        for (name, load) in counted.flat_map(|(_, peer)| &peer.loads) {
            sum.entry(*name).or_default().add(*load);
        }
        sum
    }

    /// Returns `sum` less what `vm` reported, without the upstreams that this leaves at zero.
    pub fn excluding_vm(&self, sum: &BTreeMap<u32, Load>, vm: &VmName) -> BTreeMap<u32, Load> {
        let mut rest = sum.clone();
        for (name, load) in self.peers.get(vm).into_iter().flat_map(|peer| &peer.loads) {
            if let Some(left) = rest.get_mut(name) {
                *left = left.without(*load);
            }
        }
        rest.retain(|_, load| *load != Load::default());
        rest
    }

    /// Returns the load that this process puts on an upstream.
    pub fn local_load(&self, name: &UpstreamName, now: Duration) -> Load {
        let load = self.local.get(name).copied().unwrap_or_default();
        let rates = self.streams.get(name).map(|streams| streams.rates(now));
        let (tokens, running) = rates.unwrap_or_default();
        Load { token_rate: tokens as u64, stream_millis: (running * 1000.0) as u64, ..load }
    }

    /// Returns the loads that this process puts on upstreams, by hash of the name.
    pub fn local_loads(&self, now: Duration) -> BTreeMap<u32, Load> {
        let names = self.local.keys().chain(self.streams.keys());
        let loads = names.map(|name| (name_hash(name.as_str()), self.local_load(name, now)));
        loads.filter(|(_, load)| *load != Load::default()).collect()
    }

    /// Returns the statistics of an upstream of a service. An upstream that was not used yet counts as
    /// fast as its service.
    pub fn stats(&self, service: &str, name: &UpstreamName) -> UpstreamStats {
        let stats = self.stats.get(name).copied().unwrap_or_default();
        UpstreamStats { latency_ratio: stats.latency_ratio * self.service_ratio(service), ..stats }
    }

    fn service_ratio(&self, service: &str) -> f64 {
        self.services.get(service).map_or(1.0, |times| times.ratio.get())
    }

    /// Records that a first event came after `observed` where `estimated` was expected.
    ///
    /// The estimate was made with the latency ratios of the time when the request was sent, so the
    /// observation corrects those: requests that waited side by side tell the same once.
    pub fn record_latency(
        &mut self,
        service: &str,
        name: &UpstreamName,
        observed: Duration,
        estimated: Duration,
    ) {
        let ratio = observed.as_secs_f64() / estimated.as_secs_f64().max(0.005);
        let stats = self.stats.entry(name.clone()).or_default();
        let past = self.past_ratios.entry(name.clone()).or_default();
        if past.0.is_empty() {
            past.push(stats.latency_ratio);
        }
        if !self.services.contains_key(service) {
            self.services.insert(service.to_owned(), ServiceTimes::default());
        }
        let Some(times) = self.services.get_mut(service) else {
            return;
        };
        let past_ratio = past.at_age(observed).unwrap_or(stats.latency_ratio);
        let past_service = times.past.at_age(observed).unwrap_or(times.ratio.get());
        let seen = past_ratio * past_service * ratio.clamp(0.2, 5.0);
        times.ratio.record(seen);
        let relative = seen / times.ratio.get();
        stats.latency_ratio =
            (stats.latency_ratio * SMOOTHING + relative * (1.0 - SMOOTHING)).clamp(0.1, 20.0);
    }

    /// Records whether a request failed by the upstream's fault.
    pub fn record_result(&mut self, name: &UpstreamName, failed: bool) {
        let stats = self.stats.entry(name.clone()).or_default();
        let seen = f64::from(u8::from(failed));
        stats.failure_rate = stats.failure_rate * SMOOTHING + seen * (1.0 - SMOOTHING);
    }

    /// Moves the statistics towards their defaults, so that a failing upstream is tried again; called
    /// once in `DECAY_INTERVAL`.
    pub fn decay_stats(&mut self) {
        for (name, stats) in &mut self.stats {
            stats.failure_rate *= SMOOTHING;
            stats.latency_ratio = 1.0 + (stats.latency_ratio - 1.0) * 0.98;
            self.past_ratios.entry(name.clone()).or_default().push(stats.latency_ratio);
        }
        for times in self.services.values_mut() {
            times.ratio.end_interval();
            times.past.push(times.ratio.get());
        }
    }

    /// Drops the statistics and the progress of the streams of an upstream that is gone or restarted.
    pub fn reset_stats(&mut self, name: &UpstreamName) {
        self.stats.remove(name);
        self.past_ratios.remove(name);
        self.streams.remove(name);
    }
}
