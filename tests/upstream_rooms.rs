//! Upstreams that fall over when they reject too many requests in a second, over all vms.

use std::collections::{BTreeMap, VecDeque};
use std::time::Duration;

use carobglade::{
    RejectionLimit, RoomEvent, RoomRequest, RoomTicket, Turn, UpstreamName, UpstreamRooms,
};
use rand::rngs::StdRng;
use rand::{Rng, SeedableRng};

const fn ms(value: u64) -> Duration {
    Duration::from_millis(value)
}

fn engine() -> UpstreamName {
    "engine-1".parse().unwrap()
}

fn number(text: &str) -> RejectionLimit {
    text.parse().unwrap()
}

fn brittle(text: &str, now: Duration) -> UpstreamRooms {
    let mut rooms = UpstreamRooms::default();
    assert!(rooms.record(&engine(), 1, Some(number(text)), now));
    rooms
}

fn request(ticket: u64, reported: u32) -> RoomRequest {
    let ticket = RoomTicket(ticket);
    RoomRequest { started_ms: 1, ticket, max_time: ms(9000), reported }
}

fn is_in(turn: Turn) -> bool {
    matches!(turn, Turn::After(_))
}

macro_rules! numbers_that_parse {
    ($($name:ident: $text:literal => $expected:expr;)*) => {$(
        #[test]
        fn $name() {
            let expected: Option<&str> = $expected;
            let parsed = $text.parse::<RejectionLimit>().ok().map(|number| number.to_string());
            assert_eq!(parsed.as_deref(), expected);
        }
    )*};
}

numbers_that_parse! {
    a_number_may_be_whole: " 3 " => Some("3");
    a_number_may_be_zero: "0" => Some("0");
    a_number_with_a_fraction_is_rounded_down: "2.9" => Some("2");
    a_number_is_not_negative: "-1" => None;
    a_number_is_finite: "inf" => None;
    a_number_is_not_a_word: "many" => None;
    a_number_is_not_empty: "" => None;
}

#[test]
fn the_latest_word_of_an_upstream_holds_everywhere() {
    let (mut one, mut other) = (brittle("4", ms(1000)), UpstreamRooms::default());
    let early = one.notices(ms(1100));
    assert!(other.apply(&early[0], ms(1100)));
    assert!(!other.apply(&early[0], ms(1100)), "no news");
    one.record(&engine(), 1, None, ms(2000));
    assert!(other.apply(&one.notices(ms(2100))[0], ms(2100)));
    assert_eq!(other.rejections(&engine()), None);
    assert!(!other.apply(&early[0], ms(1100)), "the brittle time that ended is back");
    // The next run of the upstream has said nothing.
    let mut restarted = brittle("4", ms(1000));
    assert!(!restarted.record(&engine(), 2, None, ms(500)));
    assert_eq!(restarted.rejections(&engine()), None);
}

#[test]
fn an_upstream_that_said_nothing_is_presumed_brittle_until_it_speaks() {
    let mut rooms = UpstreamRooms::default();
    rooms.presume(&engine(), 1, number("4"), ms(1000));
    assert_eq!(rooms.rejections(&engine()), Some(number("4")));
    assert!(rooms.notices(ms(1000)).is_empty(), "what is presumed is not told");
    rooms.record(&engine(), 1, None, ms(1100));
    rooms.presume(&engine(), 1, number("4"), ms(1200));
    assert_eq!(rooms.rejections(&engine()), None);
}

#[test]
fn what_runs_elsewhere_counts_until_it_ends() {
    let mut rooms = brittle("4", ms(0));
    assert!(!is_in(rooms.take_turn(&engine(), request(1, 3), ms(100))), "three run, more unknown");
    assert!(is_in(rooms.take_turn(&engine(), request(2, 2), ms(700))), "one has ended");
    assert!(!is_in(rooms.take_turn(&engine(), request(3, 2), ms(701))));
}

#[test]
fn an_accepted_request_shows_more_room() {
    let mut rooms = brittle("8", ms(0));
    assert!(is_in(rooms.take_turn(&engine(), request(1, 0), ms(0))));
    assert!(!is_in(rooms.take_turn(&engine(), request(2, 0), ms(1))), "nothing is shown yet");
    rooms.record_event(&engine(), Some(RoomTicket(1)), RoomEvent::Accepted, ms(20));
    assert!(is_in(rooms.take_turn(&engine(), request(3, 0), ms(21))));
}

#[test]
fn a_rejection_shrinks_the_room_at_once_and_it_grows_slowly() {
    let mut rooms = brittle("8", ms(0));
    for ticket in 0..6 {
        let now = ms(ticket * 10);
        assert!(is_in(rooms.take_turn(&engine(), request(ticket, 0), now)));
        rooms.record_event(&engine(), Some(RoomTicket(ticket)), RoomEvent::Accepted, now);
    }
    assert!(is_in(rooms.take_turn(&engine(), request(6, 0), ms(100))));
    rooms.record_event(&engine(), Some(RoomTicket(6)), RoomEvent::Rejected, ms(110));
    assert_eq!(rooms.room(&engine()), Some((6, 6)));
    assert!(!is_in(rooms.take_turn(&engine(), request(7, 6), ms(900))), "no room has shown itself");
    rooms.record_event(&engine(), Some(RoomTicket(0)), RoomEvent::Ended, ms(901));
    assert!(is_in(rooms.take_turn(&engine(), request(8, 5), ms(902))));
    assert!(
        is_in(rooms.take_turn(&engine(), request(9, 5), ms(4200))),
        "one more, after some seconds"
    );
    assert!(!is_in(rooms.take_turn(&engine(), request(10, 5), ms(4201))));
}

#[test]
fn past_the_safe_part_nobody_is_let_in_within_the_second() {
    let mut rooms = brittle("4", ms(0));
    for at in [ms(0), ms(400)] {
        rooms.record_event(&engine(), None, RoomEvent::Rejected, at);
    }
    assert!(!is_in(rooms.take_turn(&engine(), request(1, 0), ms(1100))));
    assert!(is_in(rooms.take_turn(&engine(), request(2, 0), ms(1300))));
}

#[test]
fn refused_requests_come_back_one_after_the_other() {
    let mut rooms = brittle("4", ms(0));
    assert!(is_in(rooms.take_turn(&engine(), request(0, 0), ms(0))));
    let times = (1..5).map(|ticket| rooms.take_turn(&engine(), request(ticket, 0), ms(1)));
    let times: Vec<Duration> = times
        .map(|turn| match turn {
            Turn::Refused(wait) => wait,
            Turn::After(_) => panic!("there is no room"),
        })
        .collect();
    assert!(times.is_sorted_by(|a, b| a < b), "{times:?}");
}

#[test]
fn a_process_that_takes_over_a_schedule_begins_with_a_second_without_requests() {
    let mut other = UpstreamRooms::default();
    other.apply(&brittle("4", ms(1)).notices(ms(5000))[0], ms(5000));
    assert!(!is_in(other.take_turn(&engine(), request(1, 0), ms(5000))));
    assert!(is_in(other.take_turn(&engine(), request(2, 0), ms(6300))));
}

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
}

struct News {
    at: Duration,
    upstream: usize,
    ticket: Option<RoomTicket>,
    event: RoomEvent,
}

struct Day {
    vms: usize,
    upstreams: usize,
    /// Number that the upstreams name, and their room before and after 3 s.
    number: u32,
    rooms: (usize, usize),
    run_time: Duration,
}

const STEP: Duration = ms(5);
/// Age of the loads that a vm knows.
const LOAD_STEPS: usize = 60;
const DOWN_TIME: Duration = ms(3000);
const DAY: Duration = ms(30_000);

fn name(upstream: usize) -> UpstreamName {
    format!("engine-{upstream}").parse().unwrap()
}

/// A fleet under twice the load of its upstreams, whose requests and answers take 1 to 40 ms.
struct Fleet {
    day: Day,
    upstreams: Vec<Upstream>,
    /// The schedules; the vm of each is the owner of some upstreams.
    rooms: UpstreamRooms,
    news: Vec<News>,
    arrivals: Vec<(Duration, usize, Sent)>,
    asks_after: BTreeMap<(usize, usize), Duration>,
    next_ticket: u64,
    served: usize,
    random: StdRng,
}

impl Fleet {
    fn new(day: Day, seed: u64) -> Self {
        let mut rooms = UpstreamRooms::default();
        let number = number(&day.number.to_string());
        let upstreams = (0..day.upstreams).map(|i| {
            rooms.record(&name(i), 1, Some(number), ms(1));
            Upstream { started_ms: 1, ..Upstream::default() }
        });
        Fleet {
            upstreams: upstreams.collect(),
            day,
            rooms,
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
            self.arrivals.push((now + delay, upstream, Sent { ticket: None }));
            return false;
        }
        self.next_ticket += 1;
        let ticket = RoomTicket(self.next_ticket);
        let started_ms = self.upstreams[upstream].started_ms;
        let request = RoomRequest { started_ms, ticket, max_time: ms(5000), reported };
        match self.rooms.take_turn(&name(upstream), request, now) {
            Turn::After(_) => {
                self.arrivals.push((now + delay, upstream, Sent { ticket: Some(ticket) }));
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
        self.news.push(News { at, upstream, ticket: sent.ticket, event });
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
        for News { upstream, ticket, event, .. } in due {
            self.rooms.record_event(&name(upstream), ticket, event, now);
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
    fn run(mut self, with_turns: bool) -> (usize, f64) {
        let capacity =
            self.day.rooms.1 as f64 * self.day.upstreams as f64 / self.day.run_time.as_secs_f64();
        let (mut now, mut due) = (ms(0), 0.0);
        while now < DAY {
            now += STEP;
            self.step(now);
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

const MIN_SERVED: f64 = 0.5; // of what the upstreams take

macro_rules! days {
    ($($name:ident: $vms:literal vms, $upstreams:literal upstreams, $number:literal, $rooms:expr, $run:literal;)*) => {$(
        /// Guards against vms that know loads of some hundred milliseconds ago and each send once too
        /// often, and against the load of an upstream that fell, which makes the next one fall.
        #[test]
        fn $name() {
            for seed in 0..8 {
                let day = || Day {
                    vms: $vms,
                    upstreams: $upstreams,
                    number: $number,
                    rooms: $rooms,
                    run_time: ms($run),
                };
                let (without, _) = Fleet::new(day(), seed).run(false);
                let (falls, served) = Fleet::new(day(), seed).run(true);
                println!("seed {seed}: {falls} falls ({without} without turns), served {served:.2}");
                let most = 2 + $upstreams / 10;
                assert!(without > most, "{without} falls without turns: the day is too easy");
                assert!(falls <= most, "{falls} falls, seed {seed}");
                assert!(served >= MIN_SERVED, "served {served}, seed {seed}");
            }
        }
    )*};
}

days! {
    nine_vms_keep_nine_upstreams_up: 9 vms, 9 upstreams, 6, (12, 4), 200;
    nine_vms_keep_upstreams_up_that_survive_three: 9 vms, 5 upstreams, 3, (16, 8), 500;
    nine_vms_keep_slow_upstreams_up: 9 vms, 5 upstreams, 4, (12, 5), 1000;
    seventy_vms_keep_twenty_upstreams_up: 77 vms, 20 upstreams, 6, (12, 4), 300;
    seventy_vms_keep_large_upstreams_up: 77 vms, 10 upstreams, 20, (90, 40), 1000;
}
