//! Rate limiter that replicates one token bucket per tenant on every process.
//!
//! Each process keeps a replica of the fleet-wide bucket of a tenant. A process subtracts its own
//! admissions at once and those of its peers when they report their totals. A peer that sends no
//! reports is assumed to use an even share of the rate, so that the partitions of a split fleet
//! together stay within the rate.

use std::collections::BTreeMap;
use std::time::Duration;

use serde::{Deserialize, Serialize};

use super::report_times::{PeerChange, ReportTimes};
use super::tenant_bucket::{BucketState, PeerUsage, TenantBucket};
use crate::{Incarnation, TenantName, Tokens, Urgency, VmName};

/// Fraction of the burst up to which a bucket keeps a reserve.
const MAX_RESERVE_FRACTION: f64 = 0.5;
/// What is left to more urgent requests, in multiples of their share of the burst: they do not come
/// evenly.
const KEPT_FACTOR: f64 = 2.0;
/// Largest fraction of a tenant's tokens that requests ask for which may take them before the peers
/// know. What the others leave them covers what all processes take unseen.
const MAX_FIRST_SHARE: f64 = 0.5;

/// Settings of a [`RateLimiter`].
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct RateLimiterSettings {
    /// Time without reports after which a peer is assumed to use its share.
    pub silence_timeout: Duration,
    /// Time without reports after which a peer is assumed to be gone.
    pub gone_timeout: Duration,
    /// Time until a report that is sent at once has reached the peers.
    pub report_delay: Duration,
    /// Tokens that all processes together start with if they cannot know what was admitted before.
    pub initial_tokens: u64,
    /// Fleet size that a process started later assumes until it knows the fleet.
    pub assumed_fleet: usize,
    /// Time after adopting a peer's level within which a lower level of another peer is adopted
    /// too, because that peer may have received more reports.
    pub adopt_window: Duration,
    /// Time with a known fleet size after which a process trusts its levels without a peer's
    /// report.
    pub settle_time: Duration,
    /// Multiple of its even share of a bucket that a process may take before it reports to its
    /// peers.
    pub unreported_shares: f64,
}

impl Default for RateLimiterSettings {
    fn default() -> Self {
        RateLimiterSettings {
            silence_timeout: Duration::from_millis(700),
            gone_timeout: Duration::from_secs(8),
            report_delay: Duration::from_millis(25),
            initial_tokens: 0,
            assumed_fleet: 100,
            adopt_window: Duration::from_millis(500),
            settle_time: Duration::from_millis(600),
            unreported_shares: 1.0,
        }
    }
}

/// Token usage of a tenant, as a process reports it.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub struct TenantUsage {
    /// Name of the tenant.
    pub tenant: TenantName,
    /// Tokens that the process admitted since it started.
    pub total: u64,
    /// Tokens left in the process's replica of the fleet-wide bucket.
    pub level: i64,
}

/// What a reporting process knows of the admissions of its peers.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub enum ReporterState {
    /// The process started recently: its whole total is new to its peers, and its levels are
    /// guesses.
    New,
    /// The levels of the process are based on the reports of its peers.
    Settled,
    /// The process is stopping and may no longer receive reports, so its levels may be too high.
    Leaving,
}

/// Rate limiter with a replica of each tenant's fleet-wide token bucket.
#[derive(Clone, Debug)]
pub struct RateLimiter {
    settings: RateLimiterSettings,
    buckets: BTreeMap<TenantName, TenantBucket>,
    reports: ReportTimes,
    now: Duration,
    full: bool,
    settled: bool,
    adopted_at: Option<Duration>,
    fleet_size: usize,
    /// Time at which the fleet size became known.
    fleet_known_at: Option<Duration>,
    report_due: bool,
    relay_delay: Duration,
}

impl RateLimiter {
    /// Creates a rate limiter. Buckets start full if `full` is set, for the first start of the
    /// whole system; otherwise they start nearly empty, because a process that starts later cannot
    /// know what was admitted before.
    pub fn new(settings: RateLimiterSettings, full: bool, now: Duration) -> Self {
        let reports = ReportTimes::new(settings.silence_timeout, settings.gone_timeout);
        let fleet = if full { 1 } else { settings.assumed_fleet };
        RateLimiter {
            settings,
            buckets: BTreeMap::new(),
            reports,
            now,
            full,
            settled: full,
            adopted_at: None,
            fleet_size: fleet,
            fleet_known_at: full.then_some(now),
            report_due: false,
            relay_delay: Duration::ZERO,
        }
    }

    /// Sets the time that reports of peers need to arrive. Peers are assumed to admit tokens during
    /// this time at their recently reported rate.
    pub fn set_relay_delay(&mut self, delay: Duration) {
        self.relay_delay = delay;
    }

    /// Sets the limits of a tenant: `rate` in tokens per second, where 0 means no limit, and
    /// `burst` in tokens.
    pub fn set_limits(&mut self, tenant: &TenantName, rate: u64, burst: u64) {
        let fresh = !self.buckets.contains_key(tenant);
        let initial = self.initial_level();
        let bucket = self.buckets.entry(tenant.clone()).or_default();
        bucket.withdrawn = false;
        (bucket.rate, bucket.burst) = (rate as f64, burst as f64);
        if fresh {
            bucket.level = if self.full || self.settled { bucket.burst } else { initial };
        }
        bucket.level = bucket.level.min(bucket.burst);
    }

    /// Keeps only the tenants for which `keep` returns true.
    ///
    /// The bucket of another tenant goes once it is full. Until then its limit holds for requests that
    /// were let in before, and a tenant that comes back has no more than if it had stayed.
    pub fn retain(&mut self, keep: impl Fn(&TenantName) -> bool) {
        for (tenant, bucket) in &mut self.buckets {
            bucket.withdrawn = !keep(tenant);
        }
        self.remove_withdrawn();
    }

    fn remove_withdrawn(&mut self) {
        self.buckets.retain(|_, bucket| !bucket.withdrawn || !bucket.is_full());
    }

    /// Sets the number of processes that share the buckets, including this process.
    pub fn set_fleet_size(&mut self, fleet: usize, now: Duration) {
        self.advance(now);
        self.fleet_size = fleet.max(1);
        if self.fleet_known_at.is_some() {
            return;
        }
        self.fleet_known_at = Some(self.now);
        let initial = self.initial_level();
        if !self.full && !self.settled {
            self.buckets.values_mut().for_each(|bucket| bucket.level = bucket.burst.min(initial));
        }
    }

    /// Returns the initial level of a bucket when earlier admissions are unknown.
    fn initial_level(&self) -> f64 {
        if self.fleet_known_at.is_some() {
            self.settings.initial_tokens as f64 / self.fleet_size as f64
        } else {
            0.0
        }
    }

    /// Refills the buckets up to `now`, less the shares that silent peers are assumed to use. While
    /// this process does not know the admissions of its peers, it refills only its own even share.
    pub fn advance(&mut self, now: Duration) {
        if now <= self.now {
            return;
        }
        let passed = now.saturating_sub(self.now).as_secs_f64();
        self.now = now;
        for change in self.reports.changes(now) {
            match change {
                PeerChange::Silent(vm) => {
                    self.buckets.values_mut().for_each(|bucket| bucket.set_silent(&vm));
                }
                PeerChange::Gone(vm) => {
                    self.buckets.values_mut().for_each(|bucket| bucket.remove_peer(&vm));
                }
            }
        }
        let fleet = self.fleet();
        let share =
            if self.settled { 1.0 - self.unheard_processes(now) / fleet } else { 1.0 / fleet };
        for bucket in self.buckets.values_mut() {
            bucket.advance(share, passed, fleet);
        }
        self.remove_withdrawn();
    }

    /// Returns the number of peers that have never reported and are assumed to use their shares,
    /// until the time after which a peer counts as gone. Without hubs the number is 0, because all
    /// live peers report at once.
    fn unheard_processes(&self, now: Duration) -> f64 {
        let hubs = !self.relay_delay.is_zero();
        let counts_unheard = hubs
            && self
                .fleet_known_at
                .is_some_and(|at| now.saturating_sub(at) < self.settings.gone_timeout);
        let heard = self.reports.len() + 1;
        if counts_unheard { self.fleet_size.saturating_sub(heard) as f64 } else { 0.0 }
    }

    fn fleet(&self) -> f64 {
        self.fleet_size.max(self.reports.len() + 1) as f64
    }

    /// Admits a request and takes its `tokens`.
    ///
    /// # Errors
    ///
    /// The time until a retry may succeed: until the bucket is expected to hold the tokens, or
    /// until the peers have received the report of this process.
    pub fn admit(
        &mut self,
        tenant: &TenantName,
        tokens: Tokens,
        now: Duration,
    ) -> Result<(), Duration> {
        self.admit_with_reserve(tenant, tokens, Tokens(0), now)
    }

    /// Admits a request and takes its `tokens`, if the bucket holds at least `reserve` tokens or
    /// half of its burst.
    ///
    /// The reserve is what the largest request of the same kind takes. Without one, a bucket that is
    /// nearly empty admits only small requests, which take each refill before it is enough for a
    /// large one.
    ///
    /// # Errors
    ///
    /// The time until a retry may succeed, as for [`admit`](Self::admit).
    pub fn admit_with_reserve(
        &mut self,
        tenant: &TenantName,
        tokens: Tokens,
        reserve: Tokens,
        now: Duration,
    ) -> Result<(), Duration> {
        self.admit_in_order(tenant, tokens, reserve, Urgency::ALIKE, now)
    }

    /// Admits a request as [`admit_with_reserve`](Self::admit_with_reserve) does, in the order of a
    /// tenant's requests: a part of the burst, as large as the share of more urgent requests, is left
    /// to them, though at most half of the burst with the reserve. Requests that ask for the smaller
    /// part of the tenant's tokens may take them before the peers know; the others wait for that.
    ///
    /// # Errors
    ///
    /// The time until a retry may succeed, as for [`admit`](Self::admit).
    pub fn admit_in_order(
        &mut self,
        tenant: &TenantName,
        tokens: Tokens,
        reserve: Tokens,
        urgency: Urgency,
        now: Duration,
    ) -> Result<(), Duration> {
        self.advance(now);
        let fleet = self.fleet();
        let Some(bucket) = self.buckets.get_mut(tenant).filter(|b| b.rate > 0.0) else {
            return Ok(());
        };
        let max_reserve = bucket.burst * MAX_RESERVE_FRACTION;
        let reserve = (reserve.0 as f64).min(max_reserve);
        let kept = (bucket.burst * urgency.above * KEPT_FACTOR).min(max_reserve - reserve);
        let tokens = tokens.0 as f64;
        let needed = tokens.max(reserve).min(bucket.burst - kept);
        let level = bucket.level - bucket.peer_flow(now) * self.relay_delay.as_secs_f64() - kept;
        if level < needed {
            let wait = (needed - level) / bucket.rate;
            return Err(Duration::from_secs_f64(wait.min(60.0)));
        }
        let limit = (level + bucket.unreported) / fleet * self.settings.unreported_shares;
        let is_first = urgency.within <= MAX_FIRST_SHARE;
        if bucket.unreported > 0.0 && bucket.unreported + tokens > limit {
            self.report_due = true;
            if !is_first {
                return Err(self.settings.report_delay);
            }
        }
        if !is_first && bucket.defers_to_peers(tokens, level, fleet, self.relay_delay, now) {
            return Err(self.settings.report_delay);
        }
        bucket.record_taken(tokens, self.relay_delay, now);
        bucket.level -= tokens;
        bucket.unreported += tokens;
        bucket.total += tokens as u64;
        Ok(())
    }

    /// Takes `tokens` for a request that runs again, even if the bucket holds too few; later
    /// requests wait for the missing tokens.
    pub fn debit(&mut self, tenant: &TenantName, tokens: Tokens) {
        if let Some(bucket) = self.buckets.get_mut(tenant).filter(|b| b.rate > 0.0) {
            bucket.level -= tokens.0 as f64;
            bucket.unreported += tokens.0 as f64;
            bucket.total += tokens.0;
        }
    }

    /// Refunds the tokens of a request that no upstream ran.
    pub fn refund(&mut self, tenant: &TenantName, tokens: Tokens) {
        if let Some(bucket) = self.buckets.get_mut(tenant).filter(|b| b.rate > 0.0) {
            bucket.level = (bucket.level + tokens.0 as f64).min(bucket.burst);
            bucket.unreported = (bucket.unreported - tokens.0 as f64).max(0.0);
            bucket.total = bucket.total.saturating_sub(tokens.0);
        }
    }

    /// Applies a peer's report of its admissions.
    pub fn apply_report(
        &mut self,
        vm: &VmName,
        incarnation: Incarnation,
        usages: &[TenantUsage],
        reporter: ReporterState,
        now: Duration,
    ) {
        self.advance(now);
        if self.reports.record(vm, now) {
            self.buckets.values_mut().for_each(|bucket| bucket.set_heard(vm));
        }
        // A peer's level is useful only once the number of processes that share it is known.
        let can_adopt = !self.settled && self.fleet_known_at.is_some();
        let adopt = can_adopt && reporter == ReporterState::Settled && !usages.is_empty();
        let adopting = self.adopted_at.is_some_and(|at| now < at + self.settings.adopt_window);
        let lower = adopting && reporter == ReporterState::Settled;
        for usage in usages {
            let Some(bucket) = self.buckets.get_mut(&usage.tenant) else {
                continue;
            };
            let past = bucket.record_total(vm, incarnation, usage.total);
            let known = past.filter(|past| past.incarnation == incarnation);
            let spent = usage.total as f64 - known.map_or(0.0, |past| past.total as f64);
            if known.is_some() || reporter == ReporterState::New {
                bucket.record_flow(spent, now);
            }
            // Until they are settled, processes that start together use only their own shares.
            if !self.settled && reporter != ReporterState::Settled {
                continue;
            }
            if adopt {
                bucket.level = (usage.level as f64).min(bucket.burst);
                continue;
            }
            if lower {
                bucket.level = bucket.level.min(usage.level as f64);
            }
            let before = match past {
                Some(past) if past.incarnation == incarnation => past,
                Some(past) => PeerUsage { total: 0, ..past },
                // The total of a new process has not been counted yet; an older process may have
                // reported its total before it fell silent.
                None if reporter == ReporterState::New => PeerUsage::default(),
                None => PeerUsage { total: usage.total, ..PeerUsage::default() },
            };
            let spent = usage.total as f64 - before.total as f64;
            bucket.level = (bucket.level - spent + before.assumed).min(bucket.burst);
        }
        if adopt {
            (self.settled, self.adopted_at) = (true, Some(now));
        }
    }

    /// Reports whether a request waits for a report to the peers.
    pub fn is_report_due(&self) -> bool {
        self.report_due
    }

    /// Returns the usage to report to the peers, and counts it as reported.
    pub fn take_usage(&mut self) -> Vec<TenantUsage> {
        self.report_due = false;
        for bucket in self.buckets.values_mut() {
            bucket.unreported = 0.0;
        }
        let limited = self.buckets.iter().filter(|(_, bucket)| bucket.rate > 0.0);
        let usage = |(tenant, bucket): (&TenantName, &TenantBucket)| TenantUsage {
            tenant: tenant.clone(),
            total: bucket.total,
            level: bucket.level as i64,
        };
        limited.map(usage).collect()
    }

    /// Returns what this process knows of its peers' admissions, never `Leaving`.
    pub fn reporter_state(&self) -> ReporterState {
        if self.settled { ReporterState::Settled } else { ReporterState::New }
    }

    /// Trusts the levels once the fleet size has been known for long enough.
    pub fn settle_if_known(&mut self, now: Duration) {
        let settling = self.settings.settle_time;
        self.settled |= self.fleet_known_at.is_some_and(|at| now.saturating_sub(at) >= settling);
    }

    /// Returns the tokens left in the fleet-wide bucket of a tenant; `None` if the tenant is
    /// unknown.
    pub fn level(&self, tenant: &TenantName) -> Option<i64> {
        self.buckets.get(tenant).map(|bucket| bucket.level as i64)
    }

    /// Returns what is known of the fleet-wide bucket of a tenant; `None` if the tenant is unknown.
    pub fn bucket(&self, tenant: &TenantName) -> Option<BucketState> {
        let bucket = self.buckets.get(tenant)?;
        Some(bucket.state(self.reports.oldest_age(self.now)))
    }
}
