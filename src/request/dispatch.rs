//! Choice of an upstream by the time that it will take, and refusal of what cannot make it.

use std::time::Duration;

/// Milliseconds until some request of an engine with full memory ends.
const MEMORY_WAIT_MS: f64 = 200.0;

/// Milliseconds until an engine's memory was given back once over.
const MEMORY_TURNOVER_MS: f64 = 4000.0;

/// Settings of [`dispatch`].
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct DispatchSettings {
    /// Prompt tokens that an engine of usual speed reads in a millisecond.
    pub prefill_rate: f64,
    /// Time to the first event of an engine without load.
    pub base_latency: Duration,
    /// Time that one more running request adds before a first event.
    pub load_latency: Duration,
    /// Time for which an upstream of another data centre must be better.
    pub remote_penalty: Duration,
    /// Part of the time that is left which an estimate may fill.
    pub time_fraction: f64,
    /// Multiple of the goal beyond which a request is refused while others wait.
    pub goal_factor: f64,
}

impl Default for DispatchSettings {
    fn default() -> Self {
        DispatchSettings {
            prefill_rate: 18.0,
            base_latency: Duration::from_millis(45),
            load_latency: Duration::from_millis(2),
            remote_penalty: Duration::from_millis(25),
            time_fraction: 0.9,
            goal_factor: 1.1,
        }
    }
}

/// An upstream that could take a request.
#[derive(Clone, Copy, Debug, Default, PartialEq)]
pub struct DispatchCandidate {
    /// Prompt tokens that wait there before the request.
    pub queued_tokens: u64,
    /// Tokens of the request's prompt that it has to read.
    pub prefill_tokens: u64,
    /// Requests that it runs.
    pub running: u32,
    /// Requests that it runs at once.
    pub slots: u32,
    /// Tokens in its memory that are in use, and the size of the memory; 0 where it has none.
    pub memory: (u64, u64),
    /// Its observed times over the estimated ones.
    pub latency_ratio: f64,
    /// Part of its latest requests that failed.
    pub failure_rate: f64,
    /// Whether it is in another data centre.
    pub remote: bool,
}

/// What a request needs.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct RequestTiming {
    /// Time to the first byte that the caller wants.
    pub goal: Duration,
    /// Time until the caller gives up, or the route does.
    pub time_left: Duration,
    /// Time that the answer takes after its first byte.
    pub output_time: Duration,
    /// Time that a place is taken at a plain upstream.
    pub service_time: Duration,
}

/// The outcome of a choice.
#[derive(Clone, Copy, Debug, PartialEq)]
pub enum DispatchDecision {
    /// Send to the upstream of this index; the first byte is expected after this time.
    Send(usize, Duration),
    /// No upstream can serve it in time; come back after this time.
    RetryLater(Duration),
    /// There is no upstream.
    NoUpstream,
}

impl DispatchCandidate {
    /// The time to the first byte, by what is known of the upstream.
    pub fn estimate(&self, timing: &RequestTiming, settings: &DispatchSettings) -> Duration {
        let prefill =
            (self.queued_tokens + self.prefill_tokens) as f64 / settings.prefill_rate.max(0.1);
        let load = settings.load_latency.as_secs_f64() * 1000.0 * f64::from(self.running);
        let start = settings.base_latency.as_secs_f64() * 1000.0;
        let (used, size) = self.memory;
        let over = (used + self.prefill_tokens).saturating_sub(size) as f64;
        let memory_wait = if size > 0 && over > 0.0 {
            MEMORY_WAIT_MS + over / size as f64 * MEMORY_TURNOVER_MS
        } else {
            0.0
        };
        let first_token = if self.memory.1 > 0 { load + start } else { 0.0 };
        let excess = (self.running + 1).saturating_sub(self.slots.max(1));
        let queue = f64::from(excess) / f64::from(self.slots.max(1))
            * timing.service_time.as_secs_f64()
            * 1000.0;
        let millis = (prefill + first_token) * self.latency_ratio.max(0.05) + memory_wait + queue;
        Duration::from_secs_f64(millis.min(1e7) / 1000.0)
    }

    fn cost(&self, estimate: Duration, timing: &RequestTiming, settings: &DispatchSettings) -> f64 {
        let remote = if self.remote { settings.remote_penalty.as_secs_f64() } else { 0.0 };
        let failure = self.failure_rate.clamp(0.0, 1.0) * timing.goal.as_secs_f64() * 2.0;
        estimate.as_secs_f64() + remote + failure
    }
}

/// Chooses the upstream that costs the least. `tie` breaks ties evenly between processes that
/// decide on the same reports.
pub fn dispatch(
    candidates: &[DispatchCandidate],
    timing: &RequestTiming,
    settings: &DispatchSettings,
    tie: u64,
) -> DispatchDecision {
    let rank = |i: &usize| (*i as u64 + tie) % candidates.len().max(1) as u64;
    let costs = (0..candidates.len()).map(|i| {
        let estimate = candidates[i].estimate(timing, settings);
        (i, estimate, candidates[i].cost(estimate, timing, settings))
    });
    let best = costs.min_by(|(i, _, a), (j, _, b)| a.total_cmp(b).then(rank(i).cmp(&rank(j))));
    let Some((index, estimate, _)) = best else {
        return DispatchDecision::NoUpstream;
    };
    let available =
        timing.time_left.mul_f64(settings.time_fraction).saturating_sub(timing.output_time);
    let max_estimate = timing.goal.mul_f64(settings.goal_factor);
    if estimate > available || estimate > max_estimate.max(timing.goal) {
        let excess = estimate.saturating_sub(timing.goal.min(available));
        return DispatchDecision::RetryLater(excess.max(Duration::from_millis(100)));
    }
    DispatchDecision::Send(index, estimate)
}
