//! A token bucket that owns a part of a tenant's rate and burst.

use std::collections::VecDeque;
use std::time::Duration;

use crate::Tokens;
use crate::process::SLOTS_PER_GROUP;
use crate::version::Grant;

const NANOS: u128 = 1_000_000_000; // nanotokens per token
const PEAK_SPACING: Duration = Duration::from_millis(100);
const PEAKS_EXACT: usize = 64; // peaks that are kept however close
const REFUND_WINDOW: Duration = Duration::from_secs(600); // how long tokens can be refunded

/// A part of a tenant's rate and burst.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub struct SlotShare {
    /// Rate and burst of the tenant.
    pub grant: Grant,
    /// Slots held, of [`SLOTS_PER_GROUP`].
    pub slots: u16,
}

impl SlotShare {
    /// The part of the burst, in nanotokens.
    fn burst(&self) -> u128 {
        u128::from(self.grant.burst.0) * NANOS * u128::from(self.slots)
            / u128::from(SLOTS_PER_GROUP)
    }

    /// The tokens that come in `passed`, in nanotokens.
    fn refill(&self, passed: Duration) -> u128 {
        let rate = u128::from(self.grant.rate.0) * u128::from(self.slots);
        rate * passed.as_nanos() / u128::from(SLOTS_PER_GROUP)
    }
}

/// A moment in a bucket's history.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub struct RefundPoint {
    step: u64,
    at: Duration,
}

#[derive(Clone, Copy, Debug)]
struct Peak {
    mark: RefundPoint,
    potential: u128,
}

/// A token bucket.
///
/// Its potential is what it holds and what it has lent. The potential never exceeds the burst of
/// its share. The largest potential since each moment is kept, because a refund may restore only
/// tokens that the bucket could have held had they never been taken.
#[derive(Clone, Debug, Default)]
pub struct QuotaBucket {
    share: SlotShare,
    level: u128,
    lent: u128,
    now: RefundPoint,
    peaks: VecDeque<Peak>,
}

impl QuotaBucket {
    /// A bucket that holds `level` tokens, as far as its share allows.
    pub fn new(share: SlotShare, level: Tokens, now: Duration) -> Self {
        let level = (u128::from(level.0) * NANOS).min(share.burst());
        let now = RefundPoint { step: 0, at: now };
        QuotaBucket { share, level, lent: 0, now, peaks: VecDeque::new() }
    }

    /// The share.
    pub fn share(&self) -> SlotShare {
        self.share
    }

    /// Whether the tokens that are lent fit into `share`.
    pub fn can_shrink_to(&self, share: SlotShare) -> bool {
        self.lent <= share.burst()
    }

    /// Whole tokens that can be taken at `now`.
    pub fn level(&mut self, now: Duration) -> Tokens {
        self.refill(now);
        Tokens((self.level / NANOS) as u64)
    }

    /// Changes the share; `added` tokens come with it.
    pub fn set_share(&mut self, share: SlotShare, added: Tokens, now: Duration) {
        self.refill(now);
        self.share = share;
        self.level = (self.level + u128::from(added.0) * NANOS).min(self.headroom());
    }

    /// Takes `tokens` when the bucket holds them, and returns the moment for a refund.
    pub fn take(&mut self, tokens: Tokens, now: Duration) -> Option<RefundPoint> {
        self.refill(now);
        let wanted = u128::from(tokens.0) * NANOS;
        self.level = self.level.checked_sub(wanted)?;
        Some(self.now)
    }

    /// Sets tokens aside for a borrower, at most `wanted`.
    pub fn lend(&mut self, wanted: Tokens, now: Duration) -> Tokens {
        self.refill(now);
        let lent = wanted.0.min((self.level / NANOS) as u64);
        self.level -= u128::from(lent) * NANOS;
        self.lent += u128::from(lent) * NANOS;
        Tokens(lent)
    }

    /// The borrower spent `tokens`, or they lapsed. Returns the moment for a refund.
    pub fn settle_lent(&mut self, tokens: Tokens, now: Duration) -> RefundPoint {
        self.refill(now);
        self.lent = self.lent.saturating_sub(u128::from(tokens.0) * NANOS);
        self.now
    }

    /// The borrower returned `tokens` unspent.
    pub fn reclaim(&mut self, tokens: Tokens, now: Duration) {
        self.settle_lent(tokens, now);
        self.level = (self.level + u128::from(tokens.0) * NANOS).min(self.headroom());
    }

    /// Restores `tokens` that were taken at `since` and not used.
    pub fn refund(&mut self, tokens: Tokens, since: RefundPoint, now: Duration) {
        self.refill(now);
        if now.saturating_sub(since.at) > REFUND_WINDOW {
            return;
        }
        let peaks = self.peaks.iter().filter(|peak| peak.mark.step > since.step);
        let highest = peaks.map(|peak| peak.potential).max().unwrap_or(0);
        let room = self.share.burst().saturating_sub(highest);
        let restored = (u128::from(tokens.0) * NANOS).min(room);
        self.level += restored;
        self.raise_peaks(since, restored);
    }

    /// The time until `tokens` could be held, when nothing else is taken.
    pub fn wait_for(&self, tokens: Tokens) -> Duration {
        let missing = (u128::from(tokens.0) * NANOS).saturating_sub(self.level);
        let per_second = self.share.refill(Duration::from_secs(1)).max(1);
        let nanos = missing.saturating_mul(NANOS) / per_second;
        Duration::from_nanos(u64::try_from(nanos).unwrap_or(u64::MAX))
    }

    fn headroom(&self) -> u128 {
        self.share.burst().saturating_sub(self.lent)
    }

    /// Starts a step: adds the tokens that came since the last one.
    fn refill(&mut self, now: Duration) {
        let passed = now.saturating_sub(self.now.at);
        self.now = RefundPoint { step: self.now.step + 1, at: self.now.at.max(now) };
        self.level = (self.level + self.share.refill(passed)).min(self.headroom());
        let peak = Peak { mark: self.now, potential: self.level + self.lent };
        self.push_peak(peak);
        let oldest = self.now.at.saturating_sub(REFUND_WINDOW);
        while self.peaks.front().is_some_and(|peak| peak.mark.at < oldest) {
            self.peaks.pop_front();
        }
    }

    /// Keeps the peaks in falling order. Peaks of the same short time are kept as one, with the
    /// later moment and the larger potential.
    fn push_peak(&mut self, mut peak: Peak) {
        while let Some(last) = self.peaks.back() {
            let close = peak.mark.at.saturating_sub(last.mark.at) < PEAK_SPACING
                && self.peaks.len() > PEAKS_EXACT;
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
            let added = if peak.mark.step > since.step { restored } else { 0 };
            Peak { potential: peak.potential + added, ..*peak }
        });
        let raised: Vec<Peak> = raised.collect();
        self.peaks.clear();
        raised.into_iter().for_each(|peak| self.push_peak(peak));
    }
}
