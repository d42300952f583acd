//! Simulated fleet on virtual time, whose processes report their admissions to each other.

use std::collections::BTreeMap;
use std::time::Duration;

use carobglade::{
    Incarnation, RateLimiter, RateLimiterSettings, ReporterState, TenantName, TenantUsage, Tokens,
    VmName,
};

pub const RATE: u64 = 30_000; // tokens a second
pub const BURST: u64 = 30_000; // tokens
pub const STEP: Duration = Duration::from_millis(10);
/// Time between two reports of a process.
pub const REPORT_INTERVAL: Duration = Duration::from_millis(200);
/// Time between two reports of a process while a request waits for a report.
pub const URGENT_REPORT_INTERVAL: Duration = Duration::from_millis(20);
/// Time until a report arrives.
pub const REPORT_DELAY: Duration = Duration::from_millis(3);
/// Time until a report that hubs relay arrives.
pub const RELAYED_REPORT_DELAY: Duration = Duration::from_millis(350);

pub fn tenant() -> TenantName {
    "north".parse().unwrap()
}

pub fn vm(i: usize) -> VmName {
    format!("vm-{i}").parse().unwrap()
}

/// Report of the usage on one process, sent to another.
pub struct UsageReport {
    pub from: usize,
    pub to: usize,
    pub incarnation: u64,
    pub state: ReporterState,
    pub usage: Vec<TenantUsage>,
}

/// Simulated fleet whose processes get requests for more than the whole rate.
pub struct SimulatedFleet {
    /// The rate limiter, incarnation and start time of each process.
    pub limiters: Vec<(RateLimiter, u64, Duration)>,
    /// Reports by the time of their arrival.
    pub in_flight: BTreeMap<Duration, Vec<UsageReport>>,
    /// Time and tokens of each admission.
    pub admitted: Vec<(Duration, u64)>,
    /// Index of the first process of the second partition; none while all are connected.
    pub split_at: Option<usize>,
    pub now: Duration,
    /// Time that a report takes.
    pub report_delay: Duration,
    /// Whether no report arrives.
    pub reports_lost: bool,
    /// Time between two requests to a process.
    pub request_interval: Duration,
}

impl SimulatedFleet {
    pub fn new(count: usize) -> Self {
        let limiters =
            (0..count).map(|_| (Self::new_limiter(true, Duration::ZERO, count), 1, Duration::ZERO));
        SimulatedFleet {
            limiters: limiters.collect(),
            in_flight: BTreeMap::new(),
            admitted: Vec::new(),
            split_at: None,
            now: Duration::ZERO,
            report_delay: REPORT_DELAY,
            request_interval: STEP,
            reports_lost: false,
        }
    }

    /// Creates a fleet whose reports are relayed, and that gets eight times the rate in requests of
    /// 500 tokens.
    pub fn relayed(count: usize) -> Self {
        let request_interval = Duration::from_secs_f64(500.0 * count as f64 / (8 * RATE) as f64);
        let request_interval = STEP * (request_interval.as_millis() / STEP.as_millis()) as u32;
        let mut fleet = SimulatedFleet {
            report_delay: RELAYED_REPORT_DELAY,
            request_interval,
            ..SimulatedFleet::new(count)
        };
        fleet
            .limiters
            .iter_mut()
            .for_each(|(limiter, _, _)| limiter.set_relay_delay(RELAYED_REPORT_DELAY));
        fleet
    }

    pub fn new_limiter(full: bool, now: Duration, fleet: usize) -> RateLimiter {
        // Nine tenths of the fixed allowance in `max_tokens`.
        let settings =
            RateLimiterSettings { initial_tokens: 15_300, ..RateLimiterSettings::default() };
        let mut limiter = RateLimiter::new(settings, full, now);
        limiter.set_fleet_size(fleet, now);
        limiter.set_limits(&tenant(), RATE, BURST);
        limiter
    }

    pub fn restart_all(&mut self) {
        let count = self.limiters.len();
        for (limiter, incarnation, started) in &mut self.limiters {
            *limiter = Self::new_limiter(false, self.now, count);
            if self.report_delay == RELAYED_REPORT_DELAY {
                limiter.set_relay_delay(RELAYED_REPORT_DELAY);
            }
            *incarnation += 1;
            *started = self.now;
        }
    }

    pub fn is_split(&self, from: usize, to: usize) -> bool {
        self.split_at.is_some_and(|split_at| (from < split_at) != (to < split_at))
    }

    pub fn run(&mut self, time: Duration, tokens: u64) {
        let end = self.now + time;
        while self.now < end {
            self.now += STEP;
            self.deliver_reports();
            for i in 0..self.limiters.len() {
                let (limiter, _, _) = &mut self.limiters[i];
                limiter.settle_if_known(self.now);
                let turn = (self.now + STEP * (7 * i) as u32).as_millis();
                let is_requested =
                    tokens < BURST && turn.is_multiple_of(self.request_interval.as_millis());
                if is_requested && limiter.admit(&tenant(), Tokens(tokens), self.now).is_ok() {
                    self.admitted.push((self.now, tokens));
                }
                // Processes report at different times, and sooner while a request waits.
                let phase = STEP * i as u32;
                let is_due =
                    (self.now + phase).as_millis().is_multiple_of(REPORT_INTERVAL.as_millis());
                let is_urgent = (self.now + phase)
                    .as_millis()
                    .is_multiple_of(URGENT_REPORT_INTERVAL.as_millis());
                if is_due || (is_urgent && limiter.is_report_due()) {
                    self.send_reports(i);
                }
            }
        }
    }

    pub fn send_reports(&mut self, from: usize) {
        let (limiter, incarnation, _) = &mut self.limiters[from];
        let (incarnation, state, usage) =
            (*incarnation, limiter.reporter_state(), limiter.take_usage());
        let reports_lost = self.reports_lost;
        let peers = (0..self.limiters.len())
            .filter(|to| !reports_lost && *to != from && !self.is_split(from, *to));
        let report = |to| UsageReport { from, to, incarnation, state, usage: usage.clone() };
        let reports: Vec<UsageReport> = peers.map(report).collect();
        self.in_flight.entry(self.now + self.report_delay).or_default().extend(reports);
    }

    pub fn deliver_reports(&mut self) {
        while let Some(entry) = self.in_flight.first_entry().filter(|e| *e.key() <= self.now) {
            for report in entry.remove() {
                let limiter = &mut self.limiters[report.to].0;
                let incarnation = Incarnation(report.incarnation);
                limiter.apply_report(
                    &vm(report.from),
                    incarnation,
                    &report.usage,
                    report.state,
                    self.now,
                );
            }
        }
    }

    /// Returns the most tokens that were admitted in any window of `length`.
    pub fn max_admitted(&self, length: Duration) -> u64 {
        let admitted_from = |start: Duration| {
            let range = self.admitted.iter().filter(|(at, _)| *at >= start && *at < start + length);
            range.map(|(_, tokens)| tokens).sum()
        };
        self.admitted.iter().map(|(at, _)| admitted_from(*at)).max().unwrap_or(0)
    }
}

/// Returns the most tokens that a deployment may admit in `seconds`: a tenth above the limit, and a
/// fixed allowance.
pub fn max_tokens(seconds: u64) -> u64 {
    (RATE * seconds + BURST) * 11 / 10 + 17_000
}
