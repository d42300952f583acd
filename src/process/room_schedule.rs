//! The schedule of one brittle upstream: what runs there, what was rejected, and what may be.

use std::collections::{BTreeMap, VecDeque};
use std::time::Duration;

use super::upstream_room::{RoomEvent, RoomRequest, RoomTicket};
use crate::{RejectionLimit, Turn};

/// Window in which rejections are counted: a second, and the time that their news may differ by.
const WINDOW: Duration = Duration::from_millis(1200);
/// Time without an answer after which a request is taken for accepted; rejections come at once.
const PROOF_TIME: Duration = Duration::from_millis(300);
/// Age of the reported loads.
const REPORT_AGE: Duration = Duration::from_millis(500);
/// Time without a rejection or a step before the room is taken to be larger by one.
const GROWTH_INTERVAL: Duration = Duration::from_secs(4);
/// Time from the turn of a request to its end, before any has ended.
const FIRST_HOLD: Duration = Duration::from_millis(200);
/// Weight of one request in the average of these times.
const HOLD_WEIGHT: f64 = 0.1;
/// Shortest and longest time after which a refused request may come back.
const RETURN_TIME: (Duration, Duration) = (Duration::from_millis(100), Duration::from_secs(3));
/// Slack after the time that a request takes at most.
const END_SLACK: Duration = Duration::from_millis(500);

/// A request that was let in.
#[derive(Clone, Copy, Debug)]
struct OpenTurn {
    since: Duration,
    ends_by: Duration,
    /// Whether the upstream may still reject it.
    unproven: bool,
    /// Whether it used the room up to what is known.
    filled_room: bool,
}

/// What the owner knows of a brittle upstream.
#[derive(Clone, Debug)]
pub(super) struct RoomSchedule {
    started_ms: u64,
    open: BTreeMap<RoomTicket, OpenTurn>,
    /// Requests that were let in by nobody or by another owner, once known; never more than before.
    untracked: Option<u32>,
    /// Requests that may run or wait at once, as far as rejections have shown.
    room: u32,
    /// When each request of the last second was rejected.
    rejections: VecDeque<Duration>,
    /// Whether a rejection has shown the end of the room.
    room_found: bool,
    /// When the room last grew or shrank.
    changed_at: Duration,
    /// Time before which nobody is let in.
    opens_at: Duration,
    mean_hold: Duration,
    /// When the request that was refused last may come back.
    last_return: Duration,
}

impl RoomSchedule {
    /// Starts at the upstream's run of `started_ms`. Unless it is the `first` schedule, the one
    /// before may have let requests in that are rejected within the next second.
    pub(super) fn new(started_ms: u64, first: bool, now: Duration) -> Self {
        RoomSchedule {
            started_ms,
            open: BTreeMap::new(),
            untracked: None,
            room: 1,
            rejections: VecDeque::new(),
            room_found: false,
            changed_at: now,
            opens_at: if first { now } else { now + WINDOW },
            mean_hold: FIRST_HOLD,
            last_return: now,
        }
    }

    /// Counts a rejection at `at`, of which the schedule before was told.
    pub(super) fn record_earlier(&mut self, at: Duration) {
        self.rejections.push_back(at);
    }

    /// Returns the start of the upstream's run.
    pub(super) fn started_ms(&self) -> u64 {
        self.started_ms
    }

    /// Returns the requests that run or wait, and how many may.
    pub(super) fn room(&self) -> (u32, u32) {
        (self.running(), self.room)
    }

    fn running(&self) -> u32 {
        let untracked = self.untracked.unwrap_or_default();
        untracked.saturating_add(u32::try_from(self.open.len()).unwrap_or(u32::MAX))
    }

    fn update(&mut self, reported: u32, now: Duration) {
        self.open.retain(|_, turn| now < turn.ends_by);
        for turn in self.open.values_mut().filter(|turn| now >= turn.since + PROOF_TIME) {
            turn.unproven = false;
        }
        while self.rejections.front().is_some_and(|at| now.saturating_sub(*at) >= WINDOW) {
            self.rejections.pop_front();
        }
        let old = self.open.values().filter(|turn| now >= turn.since + REPORT_AGE).count();
        let untracked = reported.saturating_sub(u32::try_from(old).unwrap_or(u32::MAX));
        match &mut self.untracked {
            Some(known) => *known = untracked.min(*known),
            None => {
                self.untracked = Some(untracked);
                self.room = self.room.max(untracked);
            }
        }
    }

    /// Returns how many requests may be rejected, of those that were let in.
    fn at_risk(&self) -> usize {
        self.open.values().filter(|turn| turn.unproven).count()
    }

    /// Lets a request in or not; `grows` is false while the room must not grow.
    pub(super) fn take_turn(
        &mut self,
        limit: RejectionLimit,
        request: RoomRequest,
        grows: bool,
        now: Duration,
    ) -> Turn {
        self.update(request.reported, now);
        if now < self.opens_at {
            return self.refuse(self.opens_at - now, now);
        }
        let budget = limit.safe_part();
        if let Some(first) = self.rejections.front().copied()
            && self.rejections.len() + self.at_risk() >= budget
        {
            return self.refuse((first + WINDOW).saturating_sub(now), now);
        }
        if grows && limit.allows_trial() && now >= self.changed_at + GROWTH_INTERVAL {
            self.grow(now);
        }
        let running = self.running();
        // Half of the known room is taken for safe, if nothing was rejected.
        let safe = self.rejections.is_empty() && running < self.room / 2;
        if running >= self.room || (!safe && self.at_risk() >= budget) {
            return self.refuse(Duration::ZERO, now);
        }
        let turn = OpenTurn {
            since: now,
            ends_by: now + request.max_time + END_SLACK,
            unproven: !safe,
            filled_room: grows && running + 1 >= self.room,
        };
        self.open.insert(request.ticket, turn);
        Turn::After(Duration::ZERO)
    }

    /// Takes the room to be larger by one, if it is used up.
    fn grow(&mut self, now: Duration) {
        if self.running() >= self.room {
            self.room += 1;
            self.changed_at = now;
        }
    }

    /// Refuses a request; those that are refused come back one after the other, as room ends.
    fn refuse(&mut self, wait: Duration, now: Duration) -> Turn {
        let interval = self.mean_hold / self.room.max(1);
        let earliest = (now + wait.max(RETURN_TIME.0)).max(self.last_return);
        let at = (earliest + interval).min(now + wait.max(RETURN_TIME.1));
        self.last_return = at;
        Turn::Refused(at - now)
    }

    pub(super) fn record_event(
        &mut self,
        ticket: Option<RoomTicket>,
        event: RoomEvent,
        now: Duration,
    ) {
        match event {
            RoomEvent::Accepted => {
                let turn = ticket.and_then(|ticket| self.open.get_mut(&ticket));
                if let Some(turn) = turn {
                    turn.unproven = false;
                    // Until a rejection shows the end of the room, each step proves the next.
                    if std::mem::take(&mut turn.filled_room) && !self.room_found {
                        self.room += 1;
                        self.changed_at = now;
                    }
                }
            }
            RoomEvent::Rejected => {
                let ended = ticket.and_then(|ticket| self.open.remove(&ticket));
                if ticket.is_none() || ended.is_some() {
                    self.rejections.push_back(now);
                }
                self.room = self.room.min(self.running()).max(1);
                self.room_found = true;
                self.changed_at = now;
            }
            RoomEvent::Ended => {
                if let Some(turn) = ticket.and_then(|ticket| self.open.remove(&ticket)) {
                    let hold = now.saturating_sub(turn.since);
                    let mean = self.mean_hold.mul_f64(1.0 - HOLD_WEIGHT);
                    self.mean_hold = mean + hold.mul_f64(HOLD_WEIGHT);
                }
            }
        }
    }
}
