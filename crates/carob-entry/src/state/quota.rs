//! Tokens that this process may grant: its rate slots, their lease, and the token buckets.

use std::collections::{BTreeMap, BTreeSet};
use std::sync::{Arc, Mutex};
use std::time::Duration;

use carob_net::lock;
use carobglade::{
    LoanRequest, LoanResponse, Offset, Reservation, SLOT_LEASE, SLOTS, SlotChange, SlotHolder,
    SlotShare, Tenant, TenantName, TokenPool, Tokens, VmRef, tenant_slots,
};

use super::{FleetView, LogState};

/// Time between two hand-overs of slots to other processes.
const HANDOVER_INTERVAL: Duration = Duration::from_secs(1);

/// Maximum slots handed over at once.
const MAX_HANDOVER_SLOTS: usize = 256;

/// Fraction of the lease that the holder uses; the rest allows for clock drift between vms.
const USABLE_LEASE_FRACTION: f64 = 0.9;

/// The lease of this process on its slots.
#[derive(Debug, Default)]
struct SlotLease {
    /// Time at which the pending renewal or claim of slots was proposed; `None` if none is pending.
    pending_since: Option<Duration>,
    /// Time at which the last applied renewal or claim was proposed.
    renewed_at: Option<Duration>,
    /// Time of the last hand-over of slots.
    handed_over_at: Duration,
    /// Slots whose release is not applied yet.
    releasing: Vec<u16>,
}

#[derive(Default)]
struct State {
    pool: TokenPool,
    /// Slots whose shares are in the pool, with the log entry that claimed each.
    slots: BTreeMap<u16, Offset>,
    /// Configuration version that the pool reflects.
    version: Offset,
    /// Tenants in the pool, with the version that created them.
    tenants: BTreeMap<TenantName, Offset>,
    lease: SlotLease,
}

/// Tokens that this process may grant.
#[derive(Default)]
pub struct Quota(Mutex<State>);

/// Returns the name of the duty of holding a slot.
fn slot_duty(slot: u16) -> String {
    format!("slot:{slot}")
}

impl Quota {
    /// Extends the lease after a renewal or claim of this process was applied.
    pub fn confirm_renewal(&self) {
        let mut state = lock(&self.0);
        if let Some(proposed_at) = state.lease.pending_since.take() {
            state.lease.renewed_at = Some(proposed_at);
            state.pool.set_lease_end(Some(proposed_at + SLOT_LEASE.mul_f64(USABLE_LEASE_FRACTION)));
        }
    }

    /// Updates the buckets for the slots held and the current configuration.
    pub fn update_shares(&self, log_state: &LogState, me: &VmRef, now: Duration) {
        lock(&self.0).update_shares(log_state, me, now);
    }

    /// Returns a claim on the free slots that the ring assigns to this process, and marks the claim
    /// as pending. `None` if there are no such slots or a renewal or claim is pending.
    pub fn claim_free_slots(
        &self,
        log_state: &LogState,
        fleet: &FleetView,
        me: &VmRef,
        now: Duration,
    ) -> Option<SlotChange> {
        let mut state = lock(&self.0);
        if state.lease.pending_since.is_some() {
            return None;
        }
        let log_time = log_state.to_log_time(now);
        let free = log_state.with_control(|control| control.slots().available_to(me, log_time));
        let ring = fleet.ring(me, now);
        let mine = |slot: &u16| ring.owner(&slot_duty(*slot)) == Some(me);
        let slots: Vec<u16> = free.into_iter().filter(mine).collect();
        if slots.is_empty() {
            return None;
        }
        state.lease.pending_since = Some(now);
        Some(SlotChange { vm: me.clone(), slots, levels: BTreeMap::new() })
    }

    /// Reports whether the lease must be renewed now, and marks the renewal as pending.
    pub fn begin_renewal(&self, now: Duration) -> bool {
        let lease = &mut lock(&self.0).lease;
        let due = lease.renewed_at.is_none_or(|at| now.saturating_sub(at) > SLOT_LEASE / 4);
        let renews = due && lease.pending_since.is_none();
        if renews {
            lease.pending_since = Some(now);
        }
        renews
    }

    /// Releases slots that the ring assigns to other processes, with their unspent tokens: at most
    /// `MAX_HANDOVER_SLOTS` at a time, and only as many as exceed an equal share. `None` if there
    /// are no such slots. The share of this process shrinks before another process can claim the
    /// slots.
    pub fn hand_over_slots(
        &self,
        log_state: &LogState,
        fleet: &FleetView,
        me: &VmRef,
        now: Duration,
    ) -> Option<SlotChange> {
        let mut state = lock(&self.0);
        if now.saturating_sub(state.lease.handed_over_at) < HANDOVER_INTERVAL
            || !state.lease.releasing.is_empty()
        {
            return None;
        }
        let fair = usize::from(SLOTS) / (fleet.live_count(now) + 1);
        let spare = state.slots.len().saturating_sub(fair).min(MAX_HANDOVER_SLOTS);
        let ring = fleet.ring(me, now);
        let others = |slot: &u16| ring.owner(&slot_duty(*slot)) != Some(me);
        let slots = state.slots.keys().copied().filter(others);
        let slots: Vec<u16> = slots.take(spare).collect();
        let slots = state.without_lent_slots(slots);
        state.lease.handed_over_at = now;
        (!slots.is_empty()).then(|| state.release(log_state, me, slots, now))
    }

    /// Stops lending and releases all slots before the process ends; `None` while a loan can still
    /// be spent.
    pub fn release_all(
        &self,
        log_state: &LogState,
        me: &VmRef,
        now: Duration,
    ) -> Option<SlotChange> {
        let mut state = lock(&self.0);
        state.pool.lender.stop_lending();
        state.pool.lender.expire_loans(now);
        if state.pool.lender.open_loan_count() > 0 {
            return None;
        }
        let slots: Vec<u16> = state.slots.keys().copied().collect();
        Some(state.release(log_state, me, slots, now))
    }

    /// Reports whether a release of slots is not applied yet.
    pub fn is_releasing(&self) -> bool {
        !lock(&self.0).lease.releasing.is_empty()
    }

    /// Returns the number of slots that this process holds.
    pub fn slot_count(&self) -> usize {
        lock(&self.0).slots.len()
    }

    /// Returns the tokens in the bucket of each tenant.
    pub fn levels(&self, now: Duration) -> BTreeMap<TenantName, u64> {
        lock(&self.0).pool.lender.levels(now)
    }

    /// Reserves tokens for a request.
    ///
    /// # Errors
    ///
    /// The number of missing tokens.
    pub fn reserve(
        &self,
        tenant: &TenantName,
        tokens: Tokens,
        now: Duration,
    ) -> Result<Reservation, Tokens> {
        lock(&self.0).pool.reserve(tenant, tokens, now)
    }

    /// Charges the tokens that a request used and refunds the rest.
    pub fn settle(&self, reservation: Reservation, used: Tokens, now: Duration) {
        lock(&self.0).pool.settle(reservation, used, now);
    }

    /// Returns the recorded wait if a request of the tenant for `tokens` or fewer failed a moment
    /// ago;
    /// `None` otherwise.
    pub fn shortage_wait(
        &self,
        tenant: &TenantName,
        tokens: Tokens,
        now: Duration,
    ) -> Option<Duration> {
        lock(&self.0).pool.shortage_wait(tenant, tokens, now)
    }

    /// Records that a request failed because all holders together lack tokens for `wait`, and
    /// returns the unspent loans of the tenant.
    pub fn record_shortage(
        &self,
        tenant: &TenantName,
        tokens: Tokens,
        wait: Duration,
        now: Duration,
    ) {
        let mut state = lock(&self.0);
        state.pool.return_unspent(tenant, now);
        state.pool.record_shortage(tenant, tokens, wait, now);
    }

    /// Responds to the loan requests of another process, in their order.
    pub fn lend(
        &self,
        vm: &VmRef,
        loan_requests: &[LoanRequest],
        now: Duration,
    ) -> Vec<LoanResponse> {
        let mut state = lock(&self.0);
        loan_requests.iter().map(|loan_request| state.pool.lend(vm, loan_request, now)).collect()
    }

    /// Records the responses of a lender to loan requests that were sent at `requested_at`.
    pub fn receive_loans(
        &self,
        lender: &VmRef,
        loan_requests: &[LoanRequest],
        loans: &[LoanResponse],
        requested_at: Duration,
        now: Duration,
    ) {
        let mut state = lock(&self.0);
        loan_requests
            .iter()
            .for_each(|loan_request| state.pool.record_confirmation(lender, &loan_request.reports));
        loans.iter().for_each(|loan| state.pool.add_loan(lender, loan, requested_at, now));
    }

    /// Returns the loan requests for a request that lacks `missing` tokens: to the next lender, or
    /// to each lender if `all` is set.
    pub fn request_missing(
        &self,
        tenant: &(TenantName, Offset),
        missing: Tokens,
        holders: &[(VmRef, u16)],
        all: bool,
    ) -> Vec<(VmRef, LoanRequest)> {
        lock(&self.0).pool.request_missing(tenant, missing, holders, all)
    }

    /// Returns the periodic loan requests, which borrow ahead of demand and report the use of
    /// loans.
    pub fn tick(
        &self,
        log_state: &LogState,
        holders: impl Fn(&TenantName) -> Vec<(VmRef, u16)>,
        passed: Duration,
        now: Duration,
    ) -> Vec<(VmRef, LoanRequest)> {
        let mut state = lock(&self.0);
        let config = log_state.config();
        let created =
            |tenant: &TenantName| config.tenants.get(tenant).map(|t| t.rate_limit.created);
        state.pool.tick(holders, created, passed, now)
    }
}

impl State {
    fn update_shares(&mut self, log_state: &LogState, me: &VmRef, now: Duration) {
        let (version, held, config, recreated) = log_state.with_control(|control| {
            let slots = control.slots();
            let mine = |slot: &u16| slots.holder(*slot).is_some_and(|holder| holder.vm == *me);
            self.lease.releasing.retain(mine);
            let held = slots.held_by(me).filter(|(slot, _)| !self.lease.releasing.contains(slot));
            let held: BTreeMap<u16, SlotHolder> =
                held.map(|(s, holder)| (s, holder.clone())).collect();
            let config = Arc::clone(control.config());
            let recreated = config.tenants.keys().filter(|tenant| control.was_removed(tenant));
            let recreated: BTreeSet<TenantName> = recreated.cloned().collect();
            (control.version(), held, config, recreated)
        });
        let same = held.len() == self.slots.len()
            && held.iter().all(|(slot, holder)| self.slots.get(slot) == Some(&holder.acquired_at));
        if same && version == self.version {
            return;
        }
        let shares = config.tenants.values();
        let shares = shares.map(|tenant| {
            let again = recreated.contains(&tenant.name);
            (tenant, self.share_of(tenant, &held, again))
        });
        let shares: Vec<_> = shares.collect();
        self.version = version;
        self.tenants =
            config.tenants.values().map(|t| (t.name.clone(), t.rate_limit.created)).collect();
        self.slots = held.iter().map(|(slot, holder)| (*slot, holder.acquired_at)).collect();
        self.pool.retain(|tenant| config.tenants.get(tenant).map(|t| t.rate_limit.created));
        for (tenant, (share, added)) in shares {
            self.pool.lender.set_share(&tenant.name, share, added, now);
        }
    }

    /// Returns the share of a tenant for the slots held, and the tokens that newly claimed slots
    /// add.
    fn share_of(
        &self,
        tenant: &Tenant,
        held: &BTreeMap<u16, SlotHolder>,
        recreated: bool,
    ) -> (SlotShare, Tokens) {
        let known = self.tenants.get(&tenant.name) == Some(&tenant.rate_limit.created);
        let (mut share, mut added) = (SlotShare { rate_limit: tenant.rate_limit, slots: 0 }, 0);
        for (slot, holder) in held.range(tenant_slots(&tenant.name)) {
            share.slots += 1;
            if !known || self.slots.get(slot) != Some(&holder.acquired_at) {
                added += holder.initial_tokens(&tenant.name, &tenant.rate_limit, recreated).0;
            }
        }
        (share, Tokens(added))
    }

    /// Leaves out the slots of tenants whose open loans would not fit into the remaining share.
    fn without_lent_slots(&mut self, slots: Vec<u16>) -> Vec<u16> {
        let mut kept = slots;
        for tenant in self.tenants.keys() {
            let range = tenant_slots(tenant);
            let given = kept.iter().filter(|slot| range.contains(slot)).count() as u16;
            let Some(bucket) = self.pool.lender.bucket(tenant) else {
                continue;
            };
            let share = bucket.share();
            let left = SlotShare { slots: share.slots.saturating_sub(given), ..share };
            if !bucket.can_shrink_to(left) {
                kept.retain(|slot| !range.contains(slot));
            }
        }
        kept
    }

    /// Removes slots from the pool and returns the record that releases them with their part of the
    /// unspent tokens.
    fn release(
        &mut self,
        log_state: &LogState,
        me: &VmRef,
        slots: Vec<u16>,
        now: Duration,
    ) -> SlotChange {
        let levels_before = self.pool.lender.levels(now);
        let counts = self.slot_counts();
        self.lease.releasing.extend(&slots);
        self.update_shares(log_state, me, now);
        let counts_after = self.slot_counts();
        let mut levels = BTreeMap::new();
        for (tenant, level) in levels_before {
            let before = counts.get(&tenant).copied().unwrap_or(0);
            let after = counts_after.get(&tenant).copied().unwrap_or(0);
            if before == after || before == 0 {
                continue;
            }
            let moved = level * (before - after) / before;
            let bucket = self.pool.lender.bucket(&tenant);
            let taken = bucket.map(|b| drain_above(b, level - moved, now));
            levels.insert(tenant, moved.min(taken.map_or(moved, |left| level - left)));
        }
        SlotChange { vm: me.clone(), slots, levels }
    }

    fn slot_counts(&self) -> BTreeMap<TenantName, u64> {
        let count = |tenant: &TenantName| self.slots.range(tenant_slots(tenant)).count() as u64;
        self.tenants.keys().map(|tenant| (tenant.clone(), count(tenant))).collect()
    }
}

/// Removes the tokens above `most` from a bucket, and returns its level after that.
fn drain_above(bucket: &mut carobglade::QuotaBucket, most: u64, now: Duration) -> u64 {
    let level = bucket.level(now).0;
    if level > most {
        bucket.take(Tokens(level - most), now);
    }
    level.min(most)
}
