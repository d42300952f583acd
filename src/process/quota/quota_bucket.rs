//! Token bucket for the share of a tenant's rate and burst that a process holds.

use std::collections::VecDeque;
use std::time::Duration;

use crate::Tokens;
use crate::process::SLOTS_PER_GROUP;
use crate::version::RateLimit;

const NANOS: u128 = 1_000_000_000; // nanotokens per token, nanoseconds per second
const PEAK_SPACING: Duration = Duration::from_millis(100); // closer peaks are merged
const MAX_EXACT_PEAKS: usize = 64; // up to this number, peaks are not merged
const REFUND_WINDOW: Duration = Duration::from_secs(600); // after which a refund has no effect

/// Share of a tenant's rate and burst, in slots.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub struct SlotShare {
    /// Whole rate and burst of the tenant.
    pub rate_limit: RateLimit,
    /// Number of slots held, out of [`SLOTS_PER_GROUP`].
    pub slots: u16,
}

impl SlotShare {
    /// Returns the share of the burst, in nanotokens.
    fn burst(&self) -> u128 {
        u128::from(self.rate_limit.burst.0) * NANOS * u128::from(self.slots)
            / u128::from(SLOTS_PER_GROUP)
    }

    /// Returns the refill during `passed`, in nanotokens.
    fn refill(&self, passed: Duration) -> u128 {
        let rate = u128::from(self.rate_limit.rate.0) * u128::from(self.slots);
        rate * passed.as_nanos() / u128::from(SLOTS_PER_GROUP)
    }
}

/// Point in a bucket's history, from which a refund is computed.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub struct RefundPoint {
    step: u64,
    at: Duration,
}

#[derive(Clone, Copy, Debug)]
struct Peak {
    point: RefundPoint,
    potential: u128,
}

/// Token bucket that can lend tokens and take refunds.
///
/// The potential of the bucket is the sum of its tokens and of the tokens lent. The potential never
/// exceeds the burst of the share. A refund may restore only tokens that the bucket could still
/// hold had they never been taken, so the bucket keeps the largest potential since each point.
#[derive(Clone, Debug, Default)]
pub struct QuotaBucket {
    share: SlotShare,
    level: u128,
    lent: u128,
    now: RefundPoint,
    peaks: VecDeque<Peak>,
}

impl QuotaBucket {
    /// Creates a bucket with `level` tokens, capped at the burst of the share.
    pub fn new(share: SlotShare, level: Tokens, now: Duration) -> Self {
        let level = (u128::from(level.0) * NANOS).min(share.burst());
        let now = RefundPoint { step: 0, at: now };
        QuotaBucket { share, level, lent: 0, now, peaks: VecDeque::new() }
    }

    /// Returns the share of the bucket.
    pub fn share(&self) -> SlotShare {
        self.share
    }

    /// Reports whether the burst of `share` covers the tokens lent.
    pub fn can_shrink_to(&self, share: SlotShare) -> bool {
        self.lent <= share.burst()
    }

    /// Returns the whole tokens that can be taken at `now`.
    pub fn level(&mut self, now: Duration) -> Tokens {
        self.refill(now);
        Tokens((self.level / NANOS) as u64)
    }

    /// Changes the share and adds `added` tokens.
    pub fn set_share(&mut self, share: SlotShare, added: Tokens, now: Duration) {
        self.refill(now);
        self.share = share;
        self.level = (self.level + u128::from(added.0) * NANOS).min(self.headroom());
    }

    /// Takes `tokens` and returns the point for a refund; `None` if the bucket holds too few.
    pub fn take(&mut self, tokens: Tokens, now: Duration) -> Option<RefundPoint> {
        self.refill(now);
        let wanted = u128::from(tokens.0) * NANOS;
        self.level = self.level.checked_sub(wanted)?;
        Some(self.now)
    }

    /// Lends up to `wanted` tokens and returns the number lent.
    pub fn lend(&mut self, wanted: Tokens, now: Duration) -> Tokens {
        self.refill(now);
        let lent = wanted.0.min((self.level / NANOS) as u64);
        self.level -= u128::from(lent) * NANOS;
        self.lent += u128::from(lent) * NANOS;
        Tokens(lent)
    }

    /// Settles lent `tokens` as spent or expired, and returns the point for a refund.
    pub fn settle_lent(&mut self, tokens: Tokens, now: Duration) -> RefundPoint {
        self.refill(now);
        self.lent = self.lent.saturating_sub(u128::from(tokens.0) * NANOS);
        self.now
    }

    /// Takes back lent `tokens` that the borrower did not spend.
    pub fn reclaim(&mut self, tokens: Tokens, now: Duration) {
        self.settle_lent(tokens, now);
        self.level = (self.level + u128::from(tokens.0) * NANOS).min(self.headroom());
    }

    /// Refunds `tokens` that were taken at `since` and not used.
    pub fn refund(&mut self, tokens: Tokens, since: RefundPoint, now: Duration) {
        self.refill(now);
        if now.saturating_sub(since.at) > REFUND_WINDOW {
            return;
        }
        let peaks = self.peaks.iter().filter(|peak| peak.point.step > since.step);
        let highest = peaks.map(|peak| peak.potential).max().unwrap_or(0);
        let room = self.share.burst().saturating_sub(highest);
        let restored = (u128::from(tokens.0) * NANOS).min(room);
        self.level += restored;
        self.raise_peaks(since, restored);
    }

    /// Returns the time until the bucket holds `tokens`, if nothing else is taken.
    pub fn wait_for(&self, tokens: Tokens) -> Duration {
        let missing = (u128::from(tokens.0) * NANOS).saturating_sub(self.level);
        let per_second = self.share.refill(Duration::from_secs(1)).max(1);
        let nanos = missing.saturating_mul(NANOS) / per_second;
        Duration::from_nanos(u64::try_from(nanos).unwrap_or(u64::MAX))
    }

    fn headroom(&self) -> u128 {
        self.share.burst().saturating_sub(self.lent)
    }

    /// Advances to `now`: adds the refill since the last point and records the potential.
    fn refill(&mut self, now: Duration) {
        let passed = now.saturating_sub(self.now.at);
        self.now = RefundPoint { step: self.now.step + 1, at: self.now.at.max(now) };
        self.level = (self.level + self.share.refill(passed)).min(self.headroom());
        let peak = Peak { point: self.now, potential: self.level + self.lent };
        self.push_peak(peak);
        let oldest = self.now.at.saturating_sub(REFUND_WINDOW);
        while self.peaks.front().is_some_and(|peak| peak.point.at < oldest) {
            self.peaks.pop_front();
        }
    }

    /// Adds a peak, keeping the potentials in descending order. Peaks that are too close are merged
    /// into one with the later point and the larger potential.
    fn push_peak(&mut self, mut peak: Peak) {
        while let Some(last) = self.peaks.back() {
            let close = peak.point.at.saturating_sub(last.point.at) < PEAK_SPACING
                && self.peaks.len() > MAX_EXACT_PEAKS;
            if !close && last.potential > peak.potential {
                break;
            }
            peak.potential = peak.potential.max(last.potential);
            self.peaks.pop_back();
        }
        self.peaks.push_back(peak);
    }

    fn raise_peaks(&mut self, since: RefundPoint, restored: u128) {
        let raised = self.peaks.iter().map(|peak| {
            let added = if peak.point.step > since.step { restored } else { 0 };
            Peak { potential: peak.potential + added, ..*peak }
        });
        let raised: Vec<Peak> = raised.collect();
        self.peaks.clear();
        raised.into_iter().for_each(|peak| self.push_peak(peak));
    }
}
