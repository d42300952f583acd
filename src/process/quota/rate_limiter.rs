//! One bucket for each tenant, kept alike by all processes from what they tell each other.
//!
//! Every process keeps the whole fleet's bucket of a tenant. It takes off its own admissions at
//! once and those of other processes as soon as they report their totals. A process that is not
//! heard of is assumed to use its even share of the rate, so that the parts of a split fleet
//! together stay within the rate.

use std::collections::BTreeMap;
use std::time::Duration;

use serde::{Deserialize, Serialize};

use super::tenant_bucket::{PeerUsage, TenantBucket};
use crate::{Incarnation, TenantName, Tokens, VmName};

/// Settings of a [`RateLimiter`].
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct RateLimiterSettings {
    /// Silence from which a process is assumed to use its share.
    pub silent_after: Duration,
    /// Silence from which it is assumed to be gone.
    pub gone_after: Duration,
    /// Time until the others know what this process tells them at once.
    pub report_delay: Duration,
    /// Tokens that the buckets of all processes hold together when they start and cannot know
    /// what was admitted before.
    pub initial_tokens: u64,
    /// Processes that a later one assumes to share the work until it knows them.
    pub assumed_fleet: usize,
    /// Time after the first level that was adopted in which a lower one of another process counts
    /// too: that process may have heard more.
    pub adopt_window: Duration,
    /// Time for which the fleet is known before a process trusts levels that nobody told it.
    pub settle_after: Duration,
    /// Multiple of its even share of a bucket that a process may take before it tells the others.
    pub unreported_shares: f64,
}

impl Default for RateLimiterSettings {
    fn default() -> Self {
        RateLimiterSettings {
            silent_after: Duration::from_millis(700),
            gone_after: Duration::from_secs(8),
            report_delay: Duration::from_millis(25),
            initial_tokens: 0,
            assumed_fleet: 100,
            adopt_window: Duration::from_millis(500),
            settle_after: Duration::from_millis(600),
            unreported_shares: 1.0,
        }
    }
}

/// What a process tells of a tenant.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub struct TenantUsage {
    /// The tenant.
    pub tenant: TenantName,
    /// Tokens that the process admitted since it started.
    pub total: u64,
    /// Tokens that it takes to be left in the fleet's bucket.
    pub level: i64,
}

/// What a process that tells of its admissions knows of those of others.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub enum ReporterState {
    /// It started lately; all that it ever admitted is news, and its levels are guesses.
    New,
    /// Its levels rest on what all told.
    Settled,
    /// It stops, and may no longer be told what others admit; its levels are too high.
    Leaving,
}

/// The buckets of all tenants, as this process sees them.
#[derive(Clone, Debug)]
pub struct RateLimiter {
    settings: RateLimiterSettings,
    accounts: BTreeMap<TenantName, TenantBucket>,
    heard: BTreeMap<VmName, Duration>,
    now: Duration,
    full: bool,
    settled: bool,
    adopted: Option<Duration>,
    fleet: usize,
    /// When the number of processes became known.
    known: Option<Duration>,
    urgent: bool,
    delay: Duration,
}

impl RateLimiter {
    /// Buckets that start full when the whole system starts for the first time, and nearly empty
    /// when a process starts later: it cannot know what was admitted before.
    pub fn new(settings: RateLimiterSettings, full: bool, now: Duration) -> Self {
        let (accounts, heard) = (BTreeMap::new(), BTreeMap::new());
        let fleet = if full { 1 } else { settings.assumed_fleet };
        RateLimiter {
            settings,
            accounts,
            heard,
            now,
            full,
            settled: full,
            adopted: None,
            fleet,
            known: full.then_some(now),
            urgent: false,
            delay: Duration::ZERO,
        }
    }

    /// Sets how long what others tell is on its way. What they admit meanwhile is assumed to be
    /// as much as they told lately.
    pub fn set_report_delay(&mut self, delay: Duration) {
        self.delay = delay;
    }

    /// Sets a tenant's limits; a rate of 0 is no limit.
    pub fn set_limits(&mut self, tenant: &TenantName, rate: u64, burst: u64) {
        let fresh = !self.accounts.contains_key(tenant);
        let grant = self.initial_level();
        let account = self.accounts.entry(tenant.clone()).or_default();
        (account.rate, account.burst) = (rate as f64, burst as f64);
        if fresh {
            account.level = if self.full || self.settled { account.burst } else { grant };
        }
        account.level = account.level.min(account.burst);
    }

    /// Drops the tenants that are not in force.
    pub fn retain(&mut self, keep: impl Fn(&TenantName) -> bool) {
        self.accounts.retain(|tenant, _| keep(tenant));
    }

    /// Sets the number of processes that are known to share the work, this one included.
    pub fn set_fleet_size(&mut self, fleet: usize, now: Duration) {
        self.advance(now);
        self.fleet = fleet.max(1);
        if self.known.is_some() {
            return;
        }
        self.known = Some(self.now);
        let grant = self.initial_level();
        if !self.full && !self.settled {
            self.accounts.values_mut().for_each(|account| account.level = account.burst.min(grant));
        }
    }

    /// What a bucket holds when a process starts that knows nothing of what was admitted.
    fn initial_level(&self) -> f64 {
        if self.known.is_some() {
            self.settings.initial_tokens as f64 / self.fleet as f64
        } else {
            0.0
        }
    }

    /// Fills the buckets up to `now`. As long as this process does not know what the others
    /// admit, only with its even share.
    pub fn advance(&mut self, now: Duration) {
        if now <= self.now {
            return;
        }
        let passed = now.saturating_sub(self.now).as_secs_f64();
        self.now = now;
        self.heard.retain(|_, at| now.saturating_sub(*at) < self.settings.gone_after);
        let fleet = self.fleet();
        let share =
            if self.settled { 1.0 - self.unheard_processes(now) / fleet } else { 1.0 / fleet };
        for account in self.accounts.values_mut() {
            let heard = &self.heard;
            account.peers.retain(|vm, _| heard.contains_key(vm));
            account.level += account.rate * share * passed;
            for (vm, told) in &mut account.peers {
                let silent = now.saturating_sub(heard[vm]) >= self.settings.silent_after;
                let part = if silent { account.rate / fleet * passed } else { 0.0 };
                told.assumed += part;
                account.level -= part;
            }
            account.level = account.level.min(account.burst);
        }
    }

    /// Processes that were never heard of and are assumed to use their shares, for as long as one
    /// that fell silent is. Without hubs all that live are heard of at once.
    fn unheard_processes(&self, now: Duration) -> f64 {
        let hubs = !self.delay.is_zero();
        let lately =
            hubs && self.known.is_some_and(|at| now.saturating_sub(at) < self.settings.gone_after);
        let heard = self.heard.len() + 1;
        if lately { self.fleet.saturating_sub(heard) as f64 } else { 0.0 }
    }

    fn fleet(&self) -> f64 {
        self.fleet.max(self.heard.len() + 1) as f64
    }

    /// Takes `tokens` for a request.
    ///
    /// # Errors
    ///
    /// The time until the bucket could hold them, when nothing else is taken.
    pub fn admit(
        &mut self,
        tenant: &TenantName,
        tokens: Tokens,
        now: Duration,
    ) -> Result<(), Duration> {
        self.advance(now);
        let fleet = self.fleet();
        let Some(account) = self.accounts.get_mut(tenant).filter(|a| a.rate > 0.0) else {
            return Ok(());
        };
        let needed = (tokens.0 as f64).min(account.burst);
        let level = account.level - account.peer_flow(now) * self.delay.as_secs_f64();
        if level < needed {
            let wait = (needed - level) / account.rate;
            return Err(Duration::from_secs_f64(wait.min(60.0)));
        }
        let most = (level + account.unreported) / fleet * self.settings.unreported_shares;
        if account.unreported > 0.0 && account.unreported + tokens.0 as f64 > most {
            self.urgent = true;
            return Err(self.settings.report_delay);
        }
        if account.defers_to_peers(tokens.0 as f64, level, fleet, self.delay, now) {
            return Err(self.settings.report_delay);
        }
        account.record_taken(tokens.0 as f64, self.delay, now);
        account.level -= tokens.0 as f64;
        account.unreported += tokens.0 as f64;
        account.total += tokens.0;
        Ok(())
    }

    /// Takes `tokens` for a request that runs once more, whether or not the bucket holds them:
    /// what comes after it waits.
    pub fn debit(&mut self, tenant: &TenantName, tokens: Tokens) {
        if let Some(account) = self.accounts.get_mut(tenant).filter(|a| a.rate > 0.0) {
            account.level -= tokens.0 as f64;
            account.unreported += tokens.0 as f64;
            account.total += tokens.0;
        }
    }

    /// Gives back the tokens of a request that no upstream ran.
    pub fn refund(&mut self, tenant: &TenantName, tokens: Tokens) {
        if let Some(account) = self.accounts.get_mut(tenant).filter(|a| a.rate > 0.0) {
            account.level = (account.level + tokens.0 as f64).min(account.burst);
            account.unreported = (account.unreported - tokens.0 as f64).max(0.0);
            account.total = account.total.saturating_sub(tokens.0);
        }
    }

    /// Takes in what another process tells of its admissions.
    pub fn apply_report(
        &mut self,
        vm: &VmName,
        incarnation: Incarnation,
        told: &[TenantUsage],
        teller: ReporterState,
        now: Duration,
    ) {
        self.advance(now);
        self.heard.insert(vm.clone(), now);
        // A level tells nothing to a process that does not know how many it shares it with.
        let able = !self.settled && self.known.is_some();
        let adopt = able && teller == ReporterState::Settled && !told.is_empty();
        let adopting = self.adopted.is_some_and(|at| now < at + self.settings.adopt_window);
        let lower = adopting && teller == ReporterState::Settled;
        for usage in told {
            let Some(account) = self.accounts.get_mut(&usage.tenant) else {
                continue;
            };
            let past = account
                .peers
                .insert(vm.clone(), PeerUsage { incarnation, total: usage.total, assumed: 0.0 });
            let known = past.filter(|past| past.incarnation == incarnation);
            let spent = usage.total as f64 - known.map_or(0.0, |past| past.total as f64);
            if known.is_some() || teller == ReporterState::New {
                account.record_flow(spent, now);
            }
            // Processes that start together each use their share until they are settled.
            if !self.settled && teller != ReporterState::Settled {
                continue;
            }
            if adopt {
                account.level = (usage.level as f64).min(account.burst);
                continue;
            }
            if lower {
                account.level = account.level.min(usage.level as f64);
            }
            let before = match past {
                Some(past) if past.incarnation == incarnation => past,
                Some(past) => PeerUsage { total: 0, ..past },
                // All that a new process admitted is news; an older one may have told it before
                // it fell silent.
                None if teller == ReporterState::New => PeerUsage::default(),
                None => PeerUsage { total: usage.total, ..PeerUsage::default() },
            };
            let spent = usage.total as f64 - before.total as f64;
            account.level = (account.level - spent + before.assumed).min(account.burst);
        }
        if adopt {
            (self.settled, self.adopted) = (true, Some(now));
        }
    }

    /// Whether a request waits until the others know what this process took.
    pub fn report_due(&self) -> bool {
        self.urgent
    }

    /// What this process tells the others.
    pub fn take_usage(&mut self) -> Vec<TenantUsage> {
        self.urgent = false;
        for account in self.accounts.values_mut() {
            account.unreported = 0.0;
        }
        let limited = self.accounts.iter().filter(|(_, account)| account.rate > 0.0);
        let usage = |(tenant, account): (&TenantName, &TenantBucket)| TenantUsage {
            tenant: tenant.clone(),
            total: account.total,
            level: account.level as i64,
        };
        limited.map(usage).collect()
    }

    /// What this process knows, unless it is leaving.
    pub fn reporter_state(&self) -> ReporterState {
        if self.settled { ReporterState::Settled } else { ReporterState::New }
    }

    /// Trusts the levels, if the fleet has been known for long enough and nobody knew better.
    pub fn settle_if_known(&mut self, now: Duration) {
        let settling = self.settings.settle_after;
        self.settled |= self.known.is_some_and(|at| now.saturating_sub(at) >= settling);
    }

    /// Tokens left in the fleet's bucket of a tenant.
    pub fn level(&self, tenant: &TenantName) -> Option<i64> {
        self.accounts.get(tenant).map(|account| account.level as i64)
    }
}
