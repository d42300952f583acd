//! A fleet of vms before brittle upstreams, in virtual time.

use std::collections::{BTreeMap, VecDeque};
use std::time::Duration;

use carobglade::{RoomEvent, RoomRequest, RoomTicket, Turn, UpstreamName, UpstreamRooms};
use rand::rngs::StdRng;
use rand::{Rng, SeedableRng};

use super::{ms, number};

#[derive(Default)]
struct Upstream {
    started_ms: u64,
    /// When each running request ends.
    running: Vec<(Duration, Sent)>,
    rejections: VecDeque<Duration>,
    back_at: Duration,
    falls: usize,
    /// Requests that ran, as the vms were told some hundred milliseconds later.
    reported: VecDeque<u32>,
}

#[derive(Clone, Copy)]
struct Sent {
    ticket: Option<RoomTicket>,
    owner: usize,
}

struct News {
    at: Duration,
    upstream: usize,
    sent: Sent,
    event: RoomEvent,
}

pub struct Day {
    pub vms: usize,
    pub upstreams: usize,
    /// Number that the upstreams name, and their room before and after 3 s.
    pub number: u32,
    pub rooms: (usize, usize),
    pub run_time: Duration,
    /// Time after which each upstream has another owner, if owners change, and one vm is killed.
    pub owner_time: Option<Duration>,
}

const STEP: Duration = ms(5);
/// Vms that own upstreams in turn.
const OWNERS: usize = 4;
/// Time within which all vms take the new owner of an upstream for its owner.
const OWNER_LAG: Duration = ms(800);
/// Time until a vm that was killed is back.
const KILL_TIME: Duration = ms(1000);
/// Time in which an order or a request for a report goes to each upstream.
const REPORT_INTERVAL: Duration = ms(500);
/// Age of the loads that a vm knows.
const LOAD_STEPS: usize = 60;
const DOWN_TIME: Duration = ms(3000);
const DAY: Duration = ms(30_000);

fn name(upstream: usize) -> UpstreamName {
    format!("engine-{upstream}").parse().unwrap()
}

/// A fleet under twice the load of its upstreams, whose requests and answers take 1 to 40 ms.
pub struct Fleet {
    day: Day,
    upstreams: Vec<Upstream>,
    /// The schedules of each vm that owns some upstreams.
    owners: Vec<UpstreamRooms>,
    /// When each owner is back that was killed.
    owners_back: Vec<Duration>,
    news: Vec<News>,
    arrivals: Vec<(Duration, usize, Sent)>,
    asks_after: BTreeMap<(usize, usize), Duration>,
    next_ticket: u64,
    served: usize,
    random: StdRng,
}

impl Fleet {
    pub fn new(day: Day, seed: u64) -> Self {
        let owner_count = if day.owner_time.is_some() { OWNERS } else { 1 };
        let mut rooms = UpstreamRooms::default();
        let number = number(&day.number.to_string());
        let upstreams = (0..day.upstreams).map(|i| {
            rooms.record(&name(i), 1, Some(number), ms(1));
            Upstream { started_ms: 1, ..Upstream::default() }
        });
        Fleet {
            upstreams: upstreams.collect(),
            day,
            owners: vec![rooms; owner_count],
            owners_back: vec![Duration::ZERO; owner_count],
            news: Vec::new(),
            arrivals: Vec::new(),
            asks_after: BTreeMap::new(),
            next_ticket: 0,
            served: 0,
            random: StdRng::seed_from_u64(seed),
        }
    }

    fn delay(&mut self) -> Duration {
        ms(self.random.random_range(1..40))
    }

    /// Returns the owner of an upstream as a vm knows it.
    fn owner(&self, vm: usize, upstream: usize, now: Duration) -> usize {
        let Some(owner_time) = self.day.owner_time else {
            return 0;
        };
        let known_at = now.saturating_sub(OWNER_LAG * vm as u32 / self.day.vms as u32);
        ((known_at.as_millis() / owner_time.as_millis()) as usize + upstream) % self.owners.len()
    }

    /// Kills one owner, which is back without its schedules, as others take over from all.
    fn kill_owner(&mut self, now: Duration) {
        let killed = self.random.random_range(0..self.owners.len());
        let others = self.owners.iter().enumerate().filter(|(owner, _)| *owner != killed);
        let notices: Vec<_> = others.flat_map(|(_, rooms)| rooms.notices(now)).collect();
        let mut rooms = UpstreamRooms::default();
        for notice in &notices {
            rooms.apply(notice, now);
        }
        self.owners[killed] = rooms;
        self.owners_back[killed] = now + KILL_TIME;
    }

    /// Sends an order or a request for a report to each upstream, which asks nobody.
    fn send_reports(&mut self, now: Duration) {
        for upstream in 0..self.upstreams.len() {
            let vm = self.random.random_range(0..self.day.vms);
            let sent = Sent { ticket: None, owner: self.owner(vm, upstream, now) };
            let at = now + self.delay();
            self.arrivals.push((at, upstream, sent));
        }
    }

    /// Tells all owners when the upstreams last rejected a request, as vms do a few times a second.
    fn exchange_notices(&mut self, now: Duration) {
        let notices: Vec<_> = self.owners.iter().flat_map(|rooms| rooms.notices(now)).collect();
        for rooms in &mut self.owners {
            notices.iter().for_each(|notice| {
                rooms.apply(notice, now);
            });
        }
    }

    fn disturb(&mut self, owner_time: Duration, now: Duration) {
        let is_due = |interval: Duration| now.as_millis().is_multiple_of(interval.as_millis());
        if is_due(owner_time) {
            self.kill_owner(now);
        }
        if is_due(REPORT_INTERVAL) {
            self.send_reports(now);
            self.exchange_notices(now);
        }
    }

    /// Sends a request of a vm; one that is not let in asks the other upstreams, as in a vm.
    fn send(&mut self, vm: usize, with_turns: bool, now: Duration) {
        while self.send_once(vm, with_turns, now) {}
    }

    /// Asks the upstream that seems least loaded among those that may be asked; returns whether the
    /// request was not let in there.
    fn send_once(&mut self, vm: usize, with_turns: bool, now: Duration) -> bool {
        let asks_after = &self.asks_after;
        let may_ask = |i: &usize| asks_after.get(&(vm, *i)).is_none_or(|at| now >= *at);
        let load = |i: usize| self.upstreams[i].reported.front().copied().unwrap_or_default();
        let mut open: Vec<usize> = (0..self.upstreams.len()).filter(may_ask).collect();
        if !with_turns {
            open.retain(|i| (load(*i) as usize) < self.day.rooms.1);
        }
        let Some(least) = open.iter().map(|i| load(*i)).min() else {
            return false;
        };
        open.retain(|i| load(*i) == least);
        let reported = least;
        let upstream = open[self.random.random_range(0..open.len())];
        let delay = self.delay();
        if !with_turns {
            self.arrivals.push((now + delay, upstream, Sent { ticket: None, owner: 0 }));
            return false;
        }
        let owner = self.owner(vm, upstream, now);
        if now < self.owners_back[owner] {
            self.asks_after.insert((vm, upstream), now + ms(300));
            return true;
        }
        self.next_ticket += 1;
        let ticket = RoomTicket(self.next_ticket);
        let started_ms = self.upstreams[upstream].started_ms;
        let request = RoomRequest { started_ms, ticket, max_time: ms(5000), reported };
        match self.owners[owner].take_turn(&name(upstream), request, now) {
            Turn::After(_) => {
                self.arrivals.push((now + delay, upstream, Sent { ticket: Some(ticket), owner }));
                false
            }
            Turn::Refused(wait) => {
                self.asks_after.insert((vm, upstream), now + wait.min(ms(300)));
                true
            }
        }
    }

    fn tell(&mut self, upstream: usize, sent: Sent, event: RoomEvent, now: Duration) {
        let at = now + self.delay();
        self.news.push(News { at, upstream, sent, event });
    }

    fn arrive(&mut self, upstream: usize, sent: Sent, now: Duration) {
        let room = if now < ms(3000) { self.day.rooms.0 } else { self.day.rooms.1 };
        let (number, run_time) = (self.day.number as usize, self.day.run_time);
        let state = &mut self.upstreams[upstream];
        if now < state.back_at {
            return self.tell(upstream, sent, RoomEvent::Ended, now);
        }
        if state.running.len() < room {
            let ends = now + run_time.mul_f64(self.random.random_range(0.5..1.5));
            state.running.push((ends, sent));
            return self.tell(upstream, sent, RoomEvent::Accepted, now);
        }
        state.rejections.retain(|at| now - *at < ms(1000));
        state.rejections.push_back(now);
        if state.rejections.len() <= number {
            return self.tell(upstream, sent, RoomEvent::Rejected, now);
        }
        state.falls += 1;
        state.started_ms += 1;
        state.back_at = now + DOWN_TIME;
        state.rejections.clear();
        for (_, sent) in std::mem::take(&mut state.running) {
            self.tell(upstream, sent, RoomEvent::Ended, now);
        }
    }

    fn step(&mut self, now: Duration) {
        for upstream in 0..self.upstreams.len() {
            let running = std::mem::take(&mut self.upstreams[upstream].running);
            let (ended, running): (Vec<_>, Vec<_>) =
                running.into_iter().partition(|(ends, _)| now >= *ends);
            self.upstreams[upstream].running = running;
            self.served += ended.len();
            for (_, sent) in ended {
                self.tell(upstream, sent, RoomEvent::Ended, now);
            }
            let state = &mut self.upstreams[upstream];
            state.reported.push_back(u32::try_from(state.running.len()).unwrap());
            if state.reported.len() > LOAD_STEPS {
                state.reported.pop_front();
            }
        }
        let news = std::mem::take(&mut self.news);
        let (due, later): (Vec<_>, Vec<_>) = news.into_iter().partition(|news| now >= news.at);
        self.news = later;
        for News { upstream, sent, event, .. } in due {
            if now >= self.owners_back[sent.owner] {
                let owner = &mut self.owners[sent.owner];
                owner.record_event(&name(upstream), sent.ticket, event, now);
            }
        }
        let arrivals = std::mem::take(&mut self.arrivals);
        let (due, later): (Vec<_>, Vec<_>) = arrivals.into_iter().partition(|(at, ..)| now >= *at);
        self.arrivals = later;
        for (_, upstream, sent) in due {
            self.arrive(upstream, sent, now);
        }
    }

    /// Runs the day; returns the falls and the requests that were served, as a part of what the
    /// upstreams take.
    pub fn run(mut self, with_turns: bool) -> (usize, f64) {
        let capacity =
            self.day.rooms.1 as f64 * self.day.upstreams as f64 / self.day.run_time.as_secs_f64();
        let (mut now, mut due) = (ms(0), 0.0);
        while now < DAY {
            now += STEP;
            self.step(now);
            if let Some(owner_time) = self.day.owner_time.filter(|_| with_turns) {
                self.disturb(owner_time, now);
            }
            due += 2.0 * capacity * STEP.as_secs_f64();
            while due >= 1.0 {
                due -= 1.0;
                let vm = self.random.random_range(0..self.day.vms);
                self.send(vm, with_turns, now);
            }
        }
        let falls = self.upstreams.iter().map(|upstream| upstream.falls).sum();
        (falls, self.served as f64 / (capacity * DAY.as_secs_f64()))
    }
}
