//! The limits that upstreams name, and the turns in which all processes together keep to them.
//!
//! A limit holds for all processes together, and may be as small as one request a second, so it
//! cannot be divided among them. One process, the owner of the upstream's schedule, gives every
//! request its turn; the others ask it. A process that takes over the schedule of another begins
//! with an interval without turns.

use std::collections::BTreeMap;
use std::time::Duration;

use serde::{Deserialize, Serialize};

use crate::{RequestRate, UpstreamName};

/// Rate at which an upstream that takes no requests is asked whether it does again.
const MIN_RATE: f64 = 0.2;
/// Rate from which a limit is taken for none.
const MAX_RATE: f64 = 10_000.0;
/// How long the end of a limit is reported to other processes.
const REPORT_TIME: Duration = Duration::from_secs(10);
/// Longest time for which requests that need no turn, such as orders, move the next turn.
const MAX_BACKLOG: Duration = Duration::from_secs(5);

/// What an upstream said of its limit last.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub struct LimitNotice {
    /// The upstream.
    pub upstream: UpstreamName,
    /// Start of the upstream's run, in Unix milliseconds.
    pub started_ms: u64,
    /// The limit; none if the upstream names none.
    pub rate: Option<RequestRate>,
    /// Time since the upstream said so.
    pub age: Duration,
}

/// Whether and when a request may be sent.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub enum Turn {
    /// After this time.
    After(#[serde(deserialize_with = "crate::deserialize_told_time")] Duration),
    /// Not within the time that the request can wait; the next turn is after this time.
    Refused(#[serde(deserialize_with = "crate::deserialize_told_time")] Duration),
}

/// What a process knows of the limit of one upstream.
#[derive(Clone, Copy, Debug)]
struct KnownLimit {
    started_ms: u64,
    rate: Option<RequestRate>,
    seen_at: Duration,
    /// The next turn, as far as this process knows.
    next_turn: Duration,
    /// Time before which requests that another upstream can take do not ask for a turn.
    ask_after: Duration,
}

impl KnownLimit {
    fn notice(&self, upstream: &UpstreamName, now: Duration) -> LimitNotice {
        LimitNotice {
            upstream: upstream.clone(),
            started_ms: self.started_ms,
            rate: self.rate,
            age: now.saturating_sub(self.seen_at),
        }
    }
}

/// The limits that are known to a process, and the schedules that it owns.
#[derive(Clone, Debug, Default)]
pub struct UpstreamLimits {
    known: BTreeMap<UpstreamName, KnownLimit>,
    /// The next free turn of each upstream.
    schedules: BTreeMap<UpstreamName, Duration>,
}

/// Returns the time between two turns.
fn interval(rate: RequestRate) -> Duration {
    Duration::from_secs_f64(1.0 / rate.per_second().max(MIN_RATE))
}

impl UpstreamLimits {
    /// Records what an upstream, whose run started at `started_ms`, said at `seen_at`; returns
    /// whether the limit changed.
    pub fn record(
        &mut self,
        upstream: &UpstreamName,
        started_ms: u64,
        rate: Option<RequestRate>,
        seen_at: Duration,
    ) -> bool {
        let rate = rate.filter(|rate| rate.per_second() < MAX_RATE);
        let known = self.known.get(upstream).copied();
        let newer =
            known.is_none_or(|known| (started_ms, seen_at) > (known.started_ms, known.seen_at));
        if !newer || (known.is_none() && rate.is_none()) {
            return false;
        }
        let before = known.filter(|known| known.started_ms == started_ms);
        let turns = before.filter(|before| before.rate.is_some() && rate.is_some());
        let limit = KnownLimit {
            started_ms,
            rate,
            seen_at,
            next_turn: turns.map_or(Duration::ZERO, |before| before.next_turn),
            ask_after: turns.map_or(Duration::ZERO, |before| before.ask_after),
        };
        self.known.insert(upstream.clone(), limit);
        if before.is_none() || rate.is_none() {
            self.schedules.remove(upstream);
        }
        before.and_then(|before| before.rate) != rate
    }

    /// Applies what another process told; returns whether the limit changed.
    pub fn apply(&mut self, notice: &LimitNotice, now: Duration) -> bool {
        let seen_at = now.saturating_sub(notice.age);
        self.record(&notice.upstream, notice.started_ms, notice.rate, seen_at)
    }

    /// Returns the limits, for reports to other processes.
    pub fn notices(&self, now: Duration) -> Vec<LimitNotice> {
        let known = self.known.iter();
        known.map(|(upstream, limit)| limit.notice(upstream, now)).collect()
    }

    /// Returns the notice of an upstream that names a limit.
    pub fn notice(&self, upstream: &UpstreamName, now: Duration) -> Option<LimitNotice> {
        let limit = self.known.get(upstream).filter(|limit| limit.rate.is_some())?;
        Some(limit.notice(upstream, now))
    }

    /// Returns the limit of an upstream, if it names one.
    pub fn rate(&self, upstream: &UpstreamName) -> Option<RequestRate> {
        self.known.get(upstream)?.rate
    }

    /// Returns the number of upstreams that name a limit.
    pub fn len(&self) -> usize {
        self.known.values().filter(|limit| limit.rate.is_some()).count()
    }

    /// Reports whether no upstream names a limit.
    pub fn is_empty(&self) -> bool {
        self.len() == 0
    }

    /// Returns how long a request has to wait at least, if it can wait for `max_wait`; none if it may
    /// ask for a turn now.
    pub fn known_wait(
        &self,
        upstream: &UpstreamName,
        max_wait: Duration,
        now: Duration,
    ) -> Option<Duration> {
        let limit = self.known.get(upstream).filter(|limit| limit.rate.is_some())?;
        if max_wait.is_zero() {
            let wait = limit.ask_after.saturating_sub(now);
            return (!wait.is_zero()).then_some(wait);
        }
        let wait = limit.next_turn.saturating_sub(now);
        (wait > max_wait).then_some(wait)
    }

    /// Records that a turn was refused and the next is after `wait`. Requests that another upstream
    /// can take ask again after `spread` intervals more, so that not all processes ask for each turn.
    pub fn record_refusal(
        &mut self,
        upstream: &UpstreamName,
        wait: Duration,
        spread: f64,
        now: Duration,
    ) {
        if let Some(limit) = self.known.get_mut(upstream) {
            let pause = limit.rate.map_or(Duration::ZERO, |rate| interval(rate).mul_f64(spread));
            limit.next_turn = now + wait;
            limit.ask_after = now + wait + pause;
        }
    }

    /// Gives a request that can wait for `max_wait` its turn, in the schedule of this process.
    pub fn take_turn(
        &mut self,
        upstream: &UpstreamName,
        max_wait: Duration,
        now: Duration,
    ) -> Turn {
        let Some(rate) = self.rate(upstream) else {
            return Turn::After(Duration::ZERO);
        };
        let next = self.schedules.entry(upstream.clone()).or_insert(now + interval(rate));
        let at = (*next).max(now);
        let wait = at - now;
        if wait > max_wait {
            return Turn::Refused(wait);
        }
        *next = at + interval(rate);
        Turn::After(wait)
    }

    /// Counts a request that needs no turn, in the schedule of this process.
    pub fn count(&mut self, upstream: &UpstreamName, now: Duration) {
        let Some(rate) = self.rate(upstream) else {
            return;
        };
        let next = self.schedules.entry(upstream.clone()).or_insert(now + interval(rate));
        *next = ((*next).max(now) + interval(rate)).min(now + MAX_BACKLOG.max(interval(rate)));
    }

    /// Forgets an upstream that is gone.
    pub fn remove(&mut self, upstream: &UpstreamName) {
        self.known.remove(upstream);
        self.schedules.remove(upstream);
    }

    /// Forgets limits that ended.
    pub fn expire(&mut self, now: Duration) {
        self.known.retain(|_, limit| {
            limit.rate.is_some() || now.saturating_sub(limit.seen_at) < REPORT_TIME
        });
    }
}
