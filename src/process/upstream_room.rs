//! Upstreams that fall over when they have to reject too many requests in a second.
//!
//! The bound holds for all processes together, and the room of an upstream may shrink without a
//! word. One process, the owner of the upstream's schedule, lets every request in: it knows what
//! runs, what was rejected in the last second and what may still be rejected. It learns the room
//! from rejections, downwards at once and upwards slowly.

use std::collections::BTreeMap;
use std::time::Duration;

use serde::{Deserialize, Serialize};

use super::room_schedule::RoomSchedule;
use crate::{RejectionLimit, Turn, UpstreamName};

/// How long the end of a limit is reported to other processes.
const REPORT_TIME: Duration = Duration::from_secs(10);
/// Time since the first word of a limit in which its owner knows of all that was rejected since.
const FIRST_TIME: Duration = Duration::from_secs(1);
/// Time after a fall in which no upstream gets more than it had.
const FALL_PAUSE: Duration = Duration::from_secs(5);
/// Shortest and longest time after a refusal in which a process does not ask again.
const ASK_PAUSE: (Duration, Duration) = (Duration::from_millis(20), Duration::from_millis(300));

/// What an upstream said last of the rejections that it survives.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub struct RoomNotice {
    /// The upstream.
    pub upstream: UpstreamName,
    /// Start of the upstream's run, in Unix milliseconds.
    pub started_ms: u64,
    /// The rejections in a second; none if the upstream names no number.
    pub rejections: Option<RejectionLimit>,
    /// Time since the upstream said so.
    pub age: Duration,
    /// Time since this run of the upstream first named a number.
    pub named_age: Duration,
    /// Time since this run last rejected a request for want of room, if it did.
    pub rejected_age: Option<Duration>,
}

/// Identifies a request that was let in, at the owner of the schedule.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Hash, PartialOrd, Ord, Serialize, Deserialize)]
#[serde(transparent)]
pub struct RoomTicket(pub u64);

/// What became of a request.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub enum RoomEvent {
    /// The upstream runs the request.
    Accepted,
    /// The upstream had no room for the request.
    Rejected,
    /// The request ended, or its connection broke.
    Ended,
}

/// A request that asks to be let in.
#[derive(Clone, Copy, Debug)]
pub struct RoomRequest {
    /// Start of the upstream's run in the list of upstreams, in Unix milliseconds.
    pub started_ms: u64,
    /// The ticket that it gets if it is let in.
    pub ticket: RoomTicket,
    /// Time after which it has ended, even if nobody says so.
    pub max_time: Duration,
    /// Requests at the upstream by the loads of all processes, which are some hundred milliseconds old.
    pub reported: u32,
}

/// What a process knows of one upstream.
#[derive(Clone, Copy, Debug)]
struct KnownRoom {
    started_ms: u64,
    rejections: Option<RejectionLimit>,
    seen_at: Duration,
    named_at: Duration,
    rejected_at: Option<Duration>,
    /// Time before which this process does not ask to be let in.
    ask_after: Duration,
    /// Time after which a request that is refused may come back.
    return_at: Duration,
}

impl KnownRoom {
    /// Starts the schedule of a run; `other_run` tells that the one before has ended.
    fn new_schedule(&self, started_ms: u64, other_run: bool, now: Duration) -> RoomSchedule {
        let first = other_run || now.saturating_sub(self.named_at) < FIRST_TIME;
        let mut schedule = RoomSchedule::new(started_ms, first, now);
        let rejected_at = self.rejected_at.filter(|_| self.started_ms == started_ms);
        rejected_at.into_iter().for_each(|at| schedule.record_earlier(at));
        schedule
    }

    fn notice(&self, upstream: &UpstreamName, now: Duration) -> RoomNotice {
        RoomNotice {
            upstream: upstream.clone(),
            started_ms: self.started_ms,
            rejections: self.rejections,
            age: now.saturating_sub(self.seen_at),
            named_age: now.saturating_sub(self.named_at),
            rejected_age: self.rejected_at.map(|at| now.saturating_sub(at)),
        }
    }
}

/// The brittle upstreams that are known to a process, and the schedules that it owns.
#[derive(Clone, Debug, Default)]
pub struct UpstreamRooms {
    known: BTreeMap<UpstreamName, KnownRoom>,
    schedules: BTreeMap<UpstreamName, RoomSchedule>,
    /// Time before which no upstream gets more than it had, since another one fell over.
    grows_after: Duration,
}

impl UpstreamRooms {
    /// Records what an upstream, whose run started at `started_ms`, said at `seen_at`; returns
    /// whether the number changed.
    pub fn record(
        &mut self,
        upstream: &UpstreamName,
        started_ms: u64,
        rejections: Option<RejectionLimit>,
        seen_at: Duration,
    ) -> bool {
        self.record_named(upstream, started_ms, rejections, (seen_at, seen_at))
    }

    fn record_named(
        &mut self,
        upstream: &UpstreamName,
        started_ms: u64,
        rejections: Option<RejectionLimit>,
        (seen_at, named_at): (Duration, Duration),
    ) -> bool {
        let known = self.known.get(upstream).copied();
        if let Some(known) = self.known.get_mut(upstream)
            && known.started_ms == started_ms
            && rejections.is_some()
        {
            known.named_at = known.named_at.min(named_at);
        }
        let newer =
            known.is_none_or(|known| (started_ms, seen_at) > (known.started_ms, known.seen_at));
        if !newer || (known.is_none() && rejections.is_none()) {
            return false;
        }
        let restarted = known.is_some_and(|known| known.started_ms != started_ms);
        let before = known.filter(|known| known.started_ms == started_ms);
        let named = before.filter(|before| before.rejections.is_some());
        let room = KnownRoom {
            started_ms,
            rejections,
            seen_at,
            named_at: named.map_or(named_at, |before| before.named_at.min(named_at)),
            rejected_at: before.and_then(|before| before.rejected_at),
            ask_after: named.map_or(Duration::ZERO, |before| before.ask_after),
            return_at: named.map_or(Duration::ZERO, |before| before.return_at),
        };
        self.known.insert(upstream.clone(), room);
        let outdated = |schedule: &RoomSchedule| schedule.started_ms() < started_ms;
        if restarted && self.schedules.get(upstream).is_some_and(outdated) {
            self.record_fall(upstream, seen_at);
        }
        if rejections.is_none() {
            self.schedules.remove(upstream);
        }
        before.and_then(|before| before.rejections) != rejections
    }

    /// Applies what another process told; returns whether the number changed.
    pub fn apply(&mut self, notice: &RoomNotice, now: Duration) -> bool {
        let times = (now.saturating_sub(notice.age), now.saturating_sub(notice.named_age));
        let changed =
            self.record_named(&notice.upstream, notice.started_ms, notice.rejections, times);
        if let Some(age) = notice.rejected_age {
            self.record_rejection(&notice.upstream, notice.started_ms, now.saturating_sub(age));
        }
        changed
    }

    /// Records that the run of an upstream rejected a request at `at`.
    pub fn record_rejection(&mut self, upstream: &UpstreamName, started_ms: u64, at: Duration) {
        let room = self.known.get_mut(upstream).filter(|room| room.started_ms == started_ms);
        if let Some(room) = room {
            room.rejected_at = room.rejected_at.max(Some(at));
        }
    }

    /// Records that an upstream fell over, or left: what ran there is gone, and its load must not
    /// make another one fall.
    pub fn record_fall(&mut self, upstream: &UpstreamName, now: Duration) {
        self.schedules.remove(upstream);
        self.grows_after = self.grows_after.max(now + FALL_PAUSE);
    }

    /// Takes an upstream that has said nothing for as brittle as the others of its service, until it
    /// says something: one that is back is not met by all.
    pub fn presume(
        &mut self,
        upstream: &UpstreamName,
        started_ms: u64,
        rejections: RejectionLimit,
        now: Duration,
    ) {
        self.known.entry(upstream.clone()).or_insert(KnownRoom {
            started_ms,
            rejections: Some(rejections),
            seen_at: Duration::ZERO,
            named_at: now,
            rejected_at: None,
            ask_after: Duration::ZERO,
            return_at: Duration::ZERO,
        });
    }

    /// Returns what is known, for reports to other processes.
    pub fn notices(&self, now: Duration) -> Vec<RoomNotice> {
        let said = self.known.iter().filter(|(_, room)| !room.seen_at.is_zero());
        said.map(|(upstream, room)| room.notice(upstream, now)).collect()
    }

    /// Returns the notice of an upstream that is brittle.
    pub fn notice(&self, upstream: &UpstreamName, now: Duration) -> Option<RoomNotice> {
        let room = self.known.get(upstream).filter(|room| room.rejections.is_some())?;
        Some(room.notice(upstream, now))
    }

    /// Returns the rejections in a second that an upstream survives, if it is brittle.
    pub fn rejections(&self, upstream: &UpstreamName) -> Option<RejectionLimit> {
        self.known.get(upstream)?.rejections
    }

    /// Returns the number of brittle upstreams.
    pub fn len(&self) -> usize {
        self.known.values().filter(|room| room.rejections.is_some()).count()
    }

    /// Reports whether no upstream is brittle.
    pub fn is_empty(&self) -> bool {
        self.len() == 0
    }

    /// Returns after which time a request may come back while this process does not ask the upstream to
    /// let it in; none if it may ask now.
    pub fn known_wait(&self, upstream: &UpstreamName, now: Duration) -> Option<Duration> {
        let room = self.known.get(upstream).filter(|room| room.rejections.is_some())?;
        (now < room.ask_after).then(|| room.return_at.max(room.ask_after) - now)
    }

    /// Records that a request was not let in and may come back after `wait`. This process asks
    /// again after a part of that time; `spread`, from 0 to 1, keeps processes from asking at once.
    pub fn record_refusal(
        &mut self,
        upstream: &UpstreamName,
        wait: Duration,
        spread: f64,
        now: Duration,
    ) {
        if let Some(room) = self.known.get_mut(upstream) {
            let pause = wait.mul_f64(0.25 + spread / 2.0).clamp(ASK_PAUSE.0, ASK_PAUSE.1);
            room.ask_after = now + pause;
            room.return_at = now + wait;
        }
    }

    /// Lets a request in or not, in the schedule of this process.
    pub fn take_turn(
        &mut self,
        upstream: &UpstreamName,
        request: RoomRequest,
        now: Duration,
    ) -> Turn {
        let known = self.known.get(upstream);
        let Some((known, limit)) = known.and_then(|known| Some((*known, known.rejections?))) else {
            return Turn::After(Duration::ZERO);
        };
        let other_run = self
            .schedules
            .get(upstream)
            .is_some_and(|schedule| schedule.started_ms() < request.started_ms);
        if other_run {
            self.record_fall(upstream, now);
        }
        // Nothing runs yet at an upstream that has just started.
        let reported = if other_run { 0 } else { request.reported };
        let grows = now >= self.grows_after;
        let schedule = self
            .schedules
            .entry(upstream.clone())
            .or_insert_with(|| known.new_schedule(request.started_ms, other_run, now));
        let request = RoomRequest { reported, ..request };
        schedule.take_turn(limit, request, grows, now)
    }

    /// Records what became of a request, in the schedule of this process. A request that had no
    /// ticket counts too when it was rejected.
    pub fn record_event(
        &mut self,
        upstream: &UpstreamName,
        ticket: Option<RoomTicket>,
        event: RoomEvent,
        now: Duration,
    ) {
        let Some(known) = self.known.get(upstream).filter(|known| known.rejections.is_some())
        else {
            return;
        };
        if event == RoomEvent::Rejected {
            let new = || known.new_schedule(known.started_ms, false, now);
            self.schedules.entry(upstream.clone()).or_insert_with(new);
        }
        if let Some(schedule) = self.schedules.get_mut(upstream) {
            schedule.record_event(ticket, event, now);
        }
    }

    /// Returns the room of an upstream as the schedule of this process knows it: requests that run
    /// or wait, and how many may.
    pub fn room(&self, upstream: &UpstreamName) -> Option<(u32, u32)> {
        self.schedules.get(upstream).map(RoomSchedule::room)
    }

    /// Forgets an upstream that is gone.
    pub fn remove(&mut self, upstream: &UpstreamName, now: Duration) {
        if self.known.remove(upstream).is_some_and(|known| known.rejections.is_some()) {
            self.record_fall(upstream, now);
        }
    }

    /// Forgets brittle times that ended, once no upstream is brittle.
    pub fn expire(&mut self, now: Duration) {
        if !self.is_empty() {
            return;
        }
        self.known.retain(|_, room| {
            room.rejections.is_some() || now.saturating_sub(room.seen_at) < REPORT_TIME
        });
    }
}
