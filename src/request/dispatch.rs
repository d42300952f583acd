//! Chooses an upstream by estimated latency and sheds requests that cannot meet their deadline, or
//! that would keep the responses of an engine from meeting theirs.

use std::time::Duration;

use crate::ExpectedWork;

/// Milliseconds until a running request ends and frees memory on an engine whose memory is full.
const MEMORY_WAIT_MS: f64 = 200.0;

/// Milliseconds in which an engine frees as many tokens as its whole memory holds.
const MEMORY_TURNOVER_MS: f64 = 4000.0;

/// Rate below which a response counts as making no progress, in tokens a second.
const MIN_TOKEN_RATE: f64 = 0.1;

/// Settings of [`dispatch`].
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct DispatchSettings {
    /// Prompt tokens per millisecond that an engine of normal speed processes.
    pub prefill_rate: f64,
    /// Time to the first event of an idle engine.
    pub base_latency: Duration,
    /// Time that each running request adds to the time to the first event.
    pub load_latency: Duration,
    /// Latency added to the cost of an upstream in another data centre.
    pub remote_penalty: Duration,
    /// Time by which an engine is avoided whose responses take twice as long as they may.
    pub slow_penalty: Duration,
    /// Longest time by which a slow engine is avoided.
    pub max_penalty: Duration,
    /// Fraction of the remaining time that the estimate and the output may use.
    pub time_fraction: f64,
    /// Multiple of the latency goal beyond which a request is rejected; a value below 1
    /// counts as 1.
    pub goal_factor: f64,
}

impl Default for DispatchSettings {
    fn default() -> Self {
        DispatchSettings {
            prefill_rate: 18.0,
            base_latency: Duration::from_millis(45),
            load_latency: Duration::from_millis(2),
            remote_penalty: Duration::from_millis(25),
            slow_penalty: Duration::from_secs(12),
            max_penalty: Duration::from_millis(1500),
            time_fraction: 0.9,
            goal_factor: 1.1,
        }
    }
}

/// An upstream that could take a request.
#[derive(Clone, Copy, Debug, Default, PartialEq)]
pub struct DispatchCandidate {
    /// Prompt tokens queued at the upstream ahead of the request, each counted by its work.
    pub prompt_backlog: u64,
    /// Prompt tokens of the request that the upstream has to process.
    pub prefill_tokens: u64,
    /// Work of each of them, compared with that of `prompt_backlog`; none if it is the same.
    pub token_cost: Option<f64>,
    /// Share of `prompt_backlog` that is still to be done, if known.
    pub backlog_left: Option<f64>,
    /// Output tokens that each of the upstream's responses gets, in tokens a second, if known.
    pub token_rate: Option<f64>,
    /// Requests that the upstream runs now.
    pub running: u32,
    /// Maximum number of requests that the upstream runs at once.
    pub slots: u32,
    /// Used part and capacity of the engine's memory, in tokens; the capacity is 0 for a plain
    /// service.
    pub memory: (u64, u64),
    /// Ratio of observed to estimated latency.
    pub latency_ratio: f64,
    /// Fraction of the latest requests that failed.
    pub failure_rate: f64,
    /// Whether the upstream is in another data centre.
    pub remote: bool,
}

/// Time limits and expected durations of a request.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct RequestTiming {
    /// Latency goal: time to the first byte.
    pub latency_goal: Duration,
    /// Time until the deadline of the caller or the route.
    pub time_left: Duration,
    /// Time that the response, or what is left of it, takes after its first byte.
    pub output_time: Duration,
    /// Rate that the response needs to end in time, in tokens a second.
    pub token_rate: f64,
    /// Rate that the longest responses of the service need, in tokens a second.
    pub needed_rate: f64,
    /// Time that the request occupies a slot of a plain service.
    pub service_time: Duration,
    /// Whether the caller has the first part of the response. What is left of it is rejected only if
    /// it cannot end in time, since its first byte has met the latency goal or missed it.
    pub resumes: bool,
}

impl RequestTiming {
    /// Returns the longest time to the first byte with which the response can end in time.
    fn available_time(&self, settings: &DispatchSettings) -> Duration {
        self.time_left.mul_f64(settings.time_fraction).saturating_sub(self.output_time)
    }

    /// Returns the longest time to the first byte with which the request is sent, if an idle upstream
    /// takes `idle`.
    fn max_wait(&self, idle: Duration, settings: &DispatchSettings) -> Duration {
        let available = self.available_time(settings);
        if self.resumes {
            return available;
        }
        let goal = self.goal(idle);
        available.min(goal.mul_f64(settings.goal_factor).max(goal))
    }

    /// Returns the time to the first byte from which on a rejected request could be sent.
    fn wanted_wait(&self, idle: Duration, settings: &DispatchSettings) -> Duration {
        let available = self.available_time(settings);
        if self.resumes { available } else { available.min(self.goal(idle)) }
    }

    /// Returns the time to the first byte that the request can have at best. One that is too large for
    /// the latency goal would be rejected for ever if it had to meet the goal.
    fn goal(&self, idle: Duration) -> Duration {
        self.latency_goal.max(idle)
    }
}

/// Result of [`dispatch`].
#[derive(Clone, Copy, Debug, PartialEq)]
pub enum DispatchDecision {
    /// Send the request to the candidate at this index; the first byte is expected after this time.
    Send(usize, Duration),
    /// No upstream can serve the request in time; the caller can retry after this time.
    RetryLater(Duration),
    /// There is no candidate.
    NoUpstream,
}

impl DispatchCandidate {
    /// Estimates the time to the first byte.
    pub fn estimate(&self, timing: &RequestTiming, settings: &DispatchSettings) -> Duration {
        let prefill = self.backlog_time(settings) * self.backlog_left.unwrap_or(1.0)
            + self.prompt_time(settings) * self.token_cost.unwrap_or(1.0);
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

    /// Returns the time that the prompt takes if each token costs the same, in milliseconds.
    fn prompt_time(&self, settings: &DispatchSettings) -> f64 {
        self.prefill_tokens as f64 / settings.prefill_rate.max(0.1)
    }

    /// Returns the time that the backlog takes if all of it is still to be done, in milliseconds.
    fn backlog_time(&self, settings: &DispatchSettings) -> f64 {
        self.prompt_backlog as f64 / settings.prefill_rate.max(0.1)
    }

    /// Returns what is expected of the request at an upstream of normal speed.
    pub fn expected_work(
        &self,
        timing: &RequestTiming,
        settings: &DispatchSettings,
    ) -> ExpectedWork {
        let normal = DispatchCandidate { latency_ratio: 1.0, ..*self };
        ExpectedWork {
            nominal: normal.estimate(timing, settings),
            prompt: Duration::from_secs_f64(self.prompt_time(settings) / 1000.0),
            cost: self.token_cost.unwrap_or(1.0),
            backlog: Duration::from_secs_f64(self.backlog_time(settings) / 1000.0),
            backlog_left: self.backlog_left.unwrap_or(1.0),
            slowness: self.latency_ratio,
        }
    }

    /// Estimates the time to the first byte if the upstream had nothing else to do.
    fn idle_estimate(&self, timing: &RequestTiming, settings: &DispatchSettings) -> Duration {
        let memory = (0, self.memory.1);
        let idle = DispatchCandidate { prompt_backlog: 0, running: 0, memory, ..*self };
        idle.estimate(timing, settings)
    }

    /// Returns the penalty of an engine that generates its responses more slowly than the longest
    /// of them need.
    ///
    /// An engine reads prompts between the tokens of its responses, so each further prompt delays
    /// all of them. The penalty is the smaller, the longer the response of the request itself, so
    /// that long responses are not shed for the sake of long responses.
    fn slow_penalty(&self, timing: &RequestTiming, settings: &DispatchSettings) -> Duration {
        let Some(rate) = self.token_rate else {
            return Duration::ZERO;
        };
        let slowness = (timing.needed_rate / rate.max(MIN_TOKEN_RATE) - 1.0).max(0.0);
        let penalty = settings.slow_penalty.as_secs_f64() * slowness;
        let shortness = 1.0 - timing.token_rate / timing.needed_rate.max(MIN_TOKEN_RATE);
        let penalty = penalty.min(settings.max_penalty.as_secs_f64()) * shortness.clamp(0.0, 1.0);
        Duration::from_secs_f64(penalty)
    }

    fn cost(&self, estimate: Duration, timing: &RequestTiming, settings: &DispatchSettings) -> f64 {
        let remote = if self.remote { settings.remote_penalty.as_secs_f64() } else { 0.0 };
        let failure = self.failure_rate.clamp(0.0, 1.0) * timing.latency_goal.as_secs_f64() * 2.0;
        estimate.as_secs_f64() + remote + failure
    }
}

/// Chooses the candidate with the lowest cost, or sheds the request when its estimate exceeds the
/// limits.
///
/// `tie` rotates the order among equal costs, so that processes that act on the same reports
/// choose different upstreams.
pub fn dispatch(
    candidates: &[DispatchCandidate],
    timing: &RequestTiming,
    settings: &DispatchSettings,
    tie: u64,
) -> DispatchDecision {
    let rank = |i: &usize| (*i as u64 + tie) % candidates.len().max(1) as u64;
    let costs = candidates.iter().enumerate().map(|(i, candidate)| {
        let estimate = candidate.estimate(timing, settings);
        let penalty = candidate.slow_penalty(timing, settings);
        (i, estimate, penalty, candidate.cost(estimate + penalty, timing, settings))
    });
    let best = costs.min_by(|(i, .., a), (j, .., b)| a.total_cmp(b).then(rank(i).cmp(&rank(j))));
    let Some((index, estimate, penalty, _)) = best else {
        return DispatchDecision::NoUpstream;
    };
    let wait = if timing.resumes { estimate } else { estimate + penalty };
    let idle = candidates[index].idle_estimate(timing, settings);
    if wait > timing.max_wait(idle, settings) {
        let excess = wait.saturating_sub(timing.wanted_wait(idle, settings));
        return DispatchDecision::RetryLater(excess.max(Duration::from_millis(100)));
    }
    DispatchDecision::Send(index, estimate)
}
