//! The limits that upstreams name, and the turns in which all processes together keep to them.
//!
//! An upstream that is cold, after its start or its return, has a limit too, which its service sets.
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

/// The limit of an upstream that is cold.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct ColdLimit {
    /// Requests a second that it takes from all processes together.
    pub rate: RequestRate,
    /// Time at which it is warm.
    pub until: Duration,
}

/// What a process knows of the limit of one upstream.
#[derive(Clone, Copy, Debug)]
struct KnownLimit {
    started_ms: u64,
    /// What the upstream names, if it names a limit.
    rate: Option<RequestRate>,
    cold: Option<ColdLimit>,
    /// When the upstream named its limit, or none; `None` if it said nothing yet.
    seen_at: Option<Duration>,
    /// The next turn, as far as this process knows.
    next_turn: Duration,
    /// Time before which requests that another upstream can take do not ask for a turn.
    ask_after: Duration,
}

impl KnownLimit {
    /// Creates what is known of a run that has said nothing yet.
    fn new(started_ms: u64, cold: Option<ColdLimit>) -> Self {
        KnownLimit {
            started_ms,
            rate: None,
            cold,
            seen_at: None,
            next_turn: Duration::ZERO,
            ask_after: Duration::ZERO,
        }
    }

    /// Returns the lower one of the limits that hold.
    fn rate_at(&self, now: Duration) -> Option<RequestRate> {
        let cold = self.cold.filter(|cold| now < cold.until).map(|cold| cold.rate);
        match (self.rate, cold) {
            (Some(named), Some(cold)) if cold.per_second() < named.per_second() => Some(cold),
            (named, cold) => named.or(cold),
        }
    }

    fn notice(
        &self,
        upstream: &UpstreamName,
        rate: Option<RequestRate>,
        now: Duration,
    ) -> LimitNotice {
        LimitNotice {
            upstream: upstream.clone(),
            started_ms: self.started_ms,
            rate,
            age: now.saturating_sub(self.seen_at.unwrap_or_default()),
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
        let newer = known
            .is_none_or(|known| (started_ms, Some(seen_at)) > (known.started_ms, known.seen_at));
        if !newer || (known.is_none() && rate.is_none()) {
            return false;
        }
        let before = known.filter(|known| known.started_ms == started_ms);
        let cold = before.and_then(|before| before.cold);
        let new = KnownLimit::new(started_ms, cold);
        let limit = KnownLimit { rate, seen_at: Some(seen_at), ..new };
        self.replace(upstream, before, limit, seen_at);
        before.and_then(|before| before.rate) != rate
    }

    /// Records that an upstream, whose run started at `started_ms`, is cold; returns whether that
    /// changed its limit.
    pub fn record_cold(
        &mut self,
        upstream: &UpstreamName,
        started_ms: u64,
        cold: ColdLimit,
        now: Duration,
    ) -> bool {
        let known = self.known.get(upstream).copied();
        if cold.until <= now || known.is_some_and(|known| known.started_ms > started_ms) {
            return false;
        }
        let before = known.filter(|known| known.started_ms == started_ms);
        let until = before.and_then(|before| before.cold).map_or(cold.until, |known| known.until);
        let cold = ColdLimit { until: until.max(cold.until), ..cold };
        let new = KnownLimit::new(started_ms, Some(cold));
        let limit = match before {
            Some(before) => KnownLimit { rate: before.rate, seen_at: before.seen_at, ..new },
            None => new,
        };
        self.replace(upstream, before, limit, now);
        before.and_then(|before| before.rate_at(now)) != limit.rate_at(now)
    }

    /// Replaces what is known of a run; turns go on where both have a limit.
    fn replace(
        &mut self,
        upstream: &UpstreamName,
        before: Option<KnownLimit>,
        mut limit: KnownLimit,
        now: Duration,
    ) {
        let is_limited = limit.rate_at(now).is_some();
        match before.filter(|before| before.rate_at(now).is_some() && is_limited) {
            Some(before) => {
                limit.next_turn = before.next_turn;
                limit.ask_after = before.ask_after;
            }
            None => drop(self.schedules.remove(upstream)),
        }
        self.known.insert(upstream.clone(), limit);
    }

    /// Applies what another process told; returns whether the limit changed.
    pub fn apply(&mut self, notice: &LimitNotice, now: Duration) -> bool {
        let seen_at = now.saturating_sub(notice.age);
        self.record(&notice.upstream, notice.started_ms, notice.rate, seen_at)
    }

    /// Returns the limits that upstreams named, for reports to other processes. Which upstreams are
    /// cold, all of them read in the list.
    pub fn notices(&self, now: Duration) -> Vec<LimitNotice> {
        let told = self.known.iter().filter(|(_, limit)| limit.seen_at.is_some());
        told.map(|(upstream, limit)| limit.notice(upstream, limit.rate, now)).collect()
    }

    /// Returns the notice of an upstream that has a limit.
    pub fn notice(&self, upstream: &UpstreamName, now: Duration) -> Option<LimitNotice> {
        let limit = self.known.get(upstream)?;
        let rate = limit.rate_at(now)?;
        Some(limit.notice(upstream, Some(rate), now))
    }

    /// Returns the limit of an upstream, if it has one.
    pub fn rate(&self, upstream: &UpstreamName, now: Duration) -> Option<RequestRate> {
        self.known.get(upstream)?.rate_at(now)
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
        let limit = self.known.get(upstream).filter(|limit| limit.rate_at(now).is_some())?;
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
            let rate = limit.rate_at(now);
            let pause = rate.map_or(Duration::ZERO, |rate| interval(rate).mul_f64(spread));
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
        let Some(rate) = self.rate(upstream, now) else {
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
        let Some(rate) = self.rate(upstream, now) else {
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
            let is_told = limit.seen_at.is_some_and(|seen_at| now < seen_at + REPORT_TIME);
            limit.rate_at(now).is_some() || is_told
        });
    }
}
