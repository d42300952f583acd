//! Choice of an upstream by the time that it will take, and refusal of what cannot make it.

use std::time::Duration;

/// Milliseconds until some request of an engine with full memory ends.
const FULL_MS: f64 = 200.0;

/// Milliseconds until an engine's memory was given back once over.
const DRAIN_MS: f64 = 4000.0;

/// Settings of [`dispatch`].
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct DispatchSettings {
    /// Prompt tokens that an engine of usual speed reads in a millisecond.
    pub speed: f64,
    /// Time to the first event of an engine without load.
    pub start: Duration,
    /// Time that one more running request adds before a first event.
    pub crowd: Duration,
    /// Time for which an upstream of another data centre must be better.
    pub remote: Duration,
    /// Part of the time that is left which an estimate may fill.
    pub fill: f64,
    /// Multiple of the goal beyond which a request is refused while others wait.
    pub patience: f64,
}

impl Default for DispatchSettings {
    fn default() -> Self {
        DispatchSettings {
            speed: 18.0,
            start: Duration::from_millis(45),
            crowd: Duration::from_millis(2),
            remote: Duration::from_millis(25),
            fill: 0.9,
            patience: 1.1,
        }
    }
}

/// An upstream that could take a request.
#[derive(Clone, Copy, Debug, Default, PartialEq)]
pub struct Bid {
    /// Prompt tokens that wait there before the request.
    pub backlog: u64,
    /// Tokens of the request's prompt that it has to read.
    pub prompt: u64,
    /// Requests that it runs.
    pub running: u32,
    /// Requests that it runs at once.
    pub slots: u32,
    /// Tokens in its memory that are in use, and the size of the memory; 0 where it has none.
    pub memory: (u64, u64),
    /// Its observed times over the estimated ones.
    pub pace: f64,
    /// Part of its latest requests that failed.
    pub failing: f64,
    /// Whether it is in another data centre.
    pub remote: bool,
}

/// What a request needs.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct Need {
    /// Time to the first byte that the caller wants.
    pub goal: Duration,
    /// Time until the caller gives up, or the route does.
    pub left: Duration,
    /// Time that the answer takes after its first byte.
    pub output: Duration,
    /// Time that a place is taken at a plain upstream.
    pub work: Duration,
}

/// The outcome of a choice.
#[derive(Clone, Copy, Debug, PartialEq)]
pub enum Verdict {
    /// Send to the upstream of this index; the first byte is expected after this time.
    Send(usize, Duration),
    /// No upstream can serve it in time; come back after this time.
    Late(Duration),
    /// There is no upstream.
    Nobody,
}

impl Bid {
    /// The time to the first byte, by what is known of the upstream.
    pub fn estimate(&self, need: &Need, settings: &DispatchSettings) -> Duration {
        let reading = (self.backlog + self.prompt) as f64 / settings.speed.max(0.1);
        let crowd = settings.crowd.as_secs_f64() * 1000.0 * f64::from(self.running);
        let start = settings.start.as_secs_f64() * 1000.0;
        let (used, size) = self.memory;
        let over = (used + self.prompt).saturating_sub(size) as f64;
        let full =
            if size > 0 && over > 0.0 { FULL_MS + over / size as f64 * DRAIN_MS } else { 0.0 };
        let place = if self.memory.1 > 0 { crowd + start } else { 0.0 };
        let beyond = (self.running + 1).saturating_sub(self.slots.max(1));
        let queue =
            f64::from(beyond) / f64::from(self.slots.max(1)) * need.work.as_secs_f64() * 1000.0;
        let millis = (reading + place) * self.pace.max(0.05) + full + queue;
        Duration::from_secs_f64(millis.min(1e7) / 1000.0)
    }

    fn cost(&self, estimate: Duration, need: &Need, settings: &DispatchSettings) -> f64 {
        let remote = if self.remote { settings.remote.as_secs_f64() } else { 0.0 };
        let fail = self.failing.clamp(0.0, 1.0) * need.goal.as_secs_f64() * 2.0;
        estimate.as_secs_f64() + remote + fail
    }
}

/// Chooses the upstream that costs the least. `tie` breaks ties evenly between processes that
/// decide on the same reports.
pub fn dispatch(bids: &[Bid], need: &Need, settings: &DispatchSettings, tie: u64) -> Verdict {
    let order = |i: &usize| (*i as u64 + tie) % bids.len().max(1) as u64;
    let rated = (0..bids.len()).map(|i| {
        let estimate = bids[i].estimate(need, settings);
        (i, estimate, bids[i].cost(estimate, need, settings))
    });
    let best = rated.min_by(|(i, _, a), (j, _, b)| a.total_cmp(b).then(order(i).cmp(&order(j))));
    let Some((index, estimate, _)) = best else {
        return Verdict::Nobody;
    };
    let room = need.left.mul_f64(settings.fill).saturating_sub(need.output);
    let patience = need.goal.mul_f64(settings.patience);
    if estimate > room || estimate > patience.max(need.goal) {
        let excess = estimate.saturating_sub(need.goal.min(room));
        return Verdict::Late(excess.max(Duration::from_millis(100)));
    }
    Verdict::Send(index, estimate)
}
