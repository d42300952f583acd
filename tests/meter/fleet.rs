//! A fleet on virtual time whose processes tell each other what they admit.

use std::collections::BTreeMap;
use std::time::Duration;

use carobglade::{
    Incarnation, RateLimiter, RateLimiterSettings, ReporterState, TenantName, TenantUsage, Tokens,
    VmName,
};

pub const RATE: u64 = 30_000; // tokens a second
pub const BURST: u64 = 30_000; // tokens
pub const STEP: Duration = Duration::from_millis(10);
pub const TELL: Duration = Duration::from_millis(200); // between two messages of a process
pub const SOON: Duration = Duration::from_millis(20); // when a request waits for it
pub const DELAY: Duration = Duration::from_millis(3); // of a message
pub const RELAYED: Duration = Duration::from_millis(350); // of a message that hubs pass on

pub fn tenant() -> TenantName {
    "north".parse().unwrap()
}

pub fn vm(i: usize) -> VmName {
    format!("vm-{i}").parse().unwrap()
}

/// What a process tells another.
pub struct Letter {
    pub from: usize,
    pub to: usize,
    pub incarnation: u64,
    pub teller: ReporterState,
    pub told: Vec<TenantUsage>,
}

/// A fleet on virtual time; every process is asked for more than the whole rate.
pub struct Fleet {
    pub meters: Vec<(RateLimiter, u64, Duration)>,
    pub mail: BTreeMap<Duration, Vec<Letter>>,
    pub admitted: Vec<(Duration, u64)>,
    pub cut: Option<usize>,
    pub now: Duration,
    /// Of a message.
    pub delay: Duration,
    /// Whether nobody tells anything.
    pub silent: bool,
    /// Between two requests that come to a process.
    pub spacing: Duration,
}

impl Fleet {
    pub fn new(count: usize) -> Self {
        let meters =
            (0..count).map(|_| (Self::meter(true, Duration::ZERO, count), 1, Duration::ZERO));
        Fleet {
            meters: meters.collect(),
            mail: BTreeMap::new(),
            admitted: Vec::new(),
            cut: None,
            now: Duration::ZERO,
            delay: DELAY,
            spacing: STEP,
            silent: false,
        }
    }

    /// A fleet whose messages go through others, and that is asked for eight times the rate in
    /// requests of 500 tokens.
    pub fn relayed(count: usize) -> Self {
        let spacing = Duration::from_secs_f64(500.0 * count as f64 / (8 * RATE) as f64);
        let spacing = STEP * (spacing.as_millis() / STEP.as_millis()) as u32;
        let mut fleet = Fleet { delay: RELAYED, spacing, ..Fleet::new(count) };
        fleet.meters.iter_mut().for_each(|(meter, _, _)| meter.set_report_delay(RELAYED));
        fleet
    }

    pub fn meter(first: bool, now: Duration, fleet: usize) -> RateLimiter {
        // Nine tenths of the allowance.
        let settings =
            RateLimiterSettings { initial_tokens: 15_300, ..RateLimiterSettings::default() };
        let mut meter = RateLimiter::new(settings, first, now);
        meter.set_fleet_size(fleet, now);
        meter.set_limits(&tenant(), RATE, BURST);
        meter
    }

    pub fn restart_all(&mut self) {
        let count = self.meters.len();
        for (meter, incarnation, started) in &mut self.meters {
            *meter = Self::meter(false, self.now, count);
            if self.delay == RELAYED {
                meter.set_report_delay(RELAYED);
            }
            *incarnation += 1;
            *started = self.now;
        }
    }

    pub fn cuts(&self, from: usize, to: usize) -> bool {
        self.cut.is_some_and(|cut| (from < cut) != (to < cut))
    }

    pub fn run(&mut self, time: Duration, tokens: u64) {
        let end = self.now + time;
        while self.now < end {
            self.now += STEP;
            self.deliver();
            for i in 0..self.meters.len() {
                let (meter, _, _) = &mut self.meters[i];
                meter.settle_if_known(self.now);
                let turn = (self.now + STEP * (7 * i) as u32).as_millis();
                let asked = tokens < BURST && turn.is_multiple_of(self.spacing.as_millis());
                if asked && meter.admit(&tenant(), Tokens(tokens), self.now).is_ok() {
                    self.admitted.push((self.now, tokens));
                }
                // Processes tell at different moments, and soon when a request waits for it.
                let phase = STEP * i as u32;
                let due = (self.now + phase).as_millis().is_multiple_of(TELL.as_millis());
                let soon = (self.now + phase).as_millis().is_multiple_of(SOON.as_millis());
                if due || (soon && meter.report_due()) {
                    self.post(i);
                }
            }
        }
    }

    pub fn post(&mut self, from: usize) {
        let (meter, incarnation, _) = &mut self.meters[from];
        let (incarnation, teller, told) =
            (*incarnation, meter.reporter_state(), meter.take_usage());
        let silent = self.silent;
        let others =
            (0..self.meters.len()).filter(|to| !silent && *to != from && !self.cuts(from, *to));
        let letter = |to| Letter { from, to, incarnation, teller, told: told.clone() };
        let letters: Vec<Letter> = others.map(letter).collect();
        self.mail.entry(self.now + self.delay).or_default().extend(letters);
    }

    pub fn deliver(&mut self) {
        while let Some(entry) = self.mail.first_entry().filter(|e| *e.key() <= self.now) {
            for letter in entry.remove() {
                let meter = &mut self.meters[letter.to].0;
                let incarnation = Incarnation(letter.incarnation);
                meter.apply_report(
                    &vm(letter.from),
                    incarnation,
                    &letter.told,
                    letter.teller,
                    self.now,
                );
            }
        }
    }

    /// The most that was admitted in any window of `length`.
    pub fn most(&self, length: Duration) -> u64 {
        let within = |start: Duration| {
            let range = self.admitted.iter().filter(|(at, _)| *at >= start && *at < start + length);
            range.map(|(_, tokens)| tokens).sum()
        };
        self.admitted.iter().map(|(at, _)| within(*at)).max().unwrap_or(0)
    }
}

/// The bound of the deployments: a tenth above the limit, and a fixed allowance.
pub fn bound(seconds: u64) -> u64 {
    (RATE * seconds + BURST) * 11 / 10 + 17_000
}
