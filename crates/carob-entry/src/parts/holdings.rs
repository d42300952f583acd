//! Tokens that this process may give out: its slots, the hold on them, and the buckets.

use std::collections::{BTreeMap, BTreeSet};
use std::sync::{Arc, Mutex};
use std::time::Duration;

use carob_net::lock;
use carobglade::{
    LoanRequest, LoanResponse, Offset, Reservation, SLOT_LEASE, SLOTS, SlotChange, SlotHolder,
    SlotShare, Tenant, TenantName, TokenPool, Tokens, VmRef, tenant_slots,
};

use super::{Neighbours, Streams};

const GIVE_PAUSE: Duration = Duration::from_secs(1); // between two hand-overs to newcomers
const GIVE_MOST: usize = 256; // slots of one hand-over

/// The part of the lease that the holder uses; the rest covers clocks that run apart.
const LEASE_USED: f64 = 0.9;

/// This process's hold on its slots.
#[derive(Debug, Default)]
struct Hold {
    /// When the renewal or take that is under way was made.
    renewing: Option<Duration>,
    /// When the last one was made.
    renewed: Option<Duration>,
    /// When slots were last given up to newcomers.
    given: Duration,
    /// Slots that are being given up.
    giving: Vec<u16>,
}

#[derive(Default)]
struct State {
    pool: TokenPool,
    /// Slots whose shares are in the pool already, with the entry that took them.
    slots: BTreeMap<u16, Offset>,
    /// The version that the pool was set for.
    version: Offset,
    /// Tenants that the pool was set for.
    tenants: BTreeMap<TenantName, Offset>,
    hold: Hold,
}

/// Tokens that this process may give out.
#[derive(Default)]
pub struct Holdings(Mutex<State>);

/// The duty of holding a slot.
fn duty(slot: u16) -> String {
    format!("slot:{slot}")
}

impl Holdings {
    /// A renewal or take of this process was applied.
    pub fn renewed(&self) {
        let mut state = lock(&self.0);
        if let Some(made) = state.hold.renewing.take() {
            state.hold.renewed = Some(made);
            state.pool.set_lease_end(Some(made + SLOT_LEASE.mul_f64(LEASE_USED)));
        }
    }

    /// Sets the buckets by the slots held and the configuration in force.
    pub fn refresh(&self, streams: &Streams, me: &VmRef, now: Duration) {
        lock(&self.0).refresh(streams, me, now);
    }

    /// Free slots that this process is in charge of; they count as being taken from now on.
    pub fn take_free(
        &self,
        streams: &Streams,
        neighbours: &Neighbours,
        me: &VmRef,
        now: Duration,
    ) -> Option<SlotChange> {
        let mut state = lock(&self.0);
        if state.hold.renewing.is_some() {
            return None;
        }
        let log_time = streams.log_time(now);
        let free = streams.control(|control| control.slots().available_to(me, log_time));
        let ring = neighbours.ring(me, now);
        let mine = |slot: &u16| ring.owner(&duty(*slot)) == Some(me);
        let slots: Vec<u16> = free.into_iter().filter(mine).collect();
        if slots.is_empty() {
            return None;
        }
        state.hold.renewing = Some(now);
        Some(SlotChange { vm: me.clone(), slots, levels: BTreeMap::new() })
    }

    /// Whether the lease is to be renewed; it counts as being renewed from now on.
    pub fn take_renewal(&self, now: Duration) -> bool {
        let hold = &mut lock(&self.0).hold;
        let due = hold.renewed.is_none_or(|at| now.saturating_sub(at) > SLOT_LEASE / 4);
        let renews = due && hold.renewing.is_none();
        if renews {
            hold.renewing = Some(now);
        }
        renews
    }

    /// Slots to give up to processes that are in charge of them, a few at a time, with the
    /// unspent tokens in them. The share shrinks before anybody can take them.
    pub fn hand_over(
        &self,
        streams: &Streams,
        neighbours: &Neighbours,
        me: &VmRef,
        now: Duration,
    ) -> Option<SlotChange> {
        let mut state = lock(&self.0);
        if now.saturating_sub(state.hold.given) < GIVE_PAUSE || !state.hold.giving.is_empty() {
            return None;
        }
        let fair = usize::from(SLOTS) / (neighbours.count(now) + 1);
        let spare = state.slots.len().saturating_sub(fair).min(GIVE_MOST);
        let ring = neighbours.ring(me, now);
        let others = |slot: &u16| ring.owner(&duty(*slot)) != Some(me);
        let slots = state.slots.keys().copied().filter(others);
        let slots: Vec<u16> = slots.take(spare).collect();
        let slots = state.without_lent(slots);
        state.hold.given = now;
        (!slots.is_empty()).then(|| state.give(streams, me, slots, now))
    }

    /// All slots, to be given up before the process ends; none as long as a loan can be spent.
    pub fn give_all(&self, streams: &Streams, me: &VmRef, now: Duration) -> Option<SlotChange> {
        let mut state = lock(&self.0);
        state.pool.lender.stop_lending();
        state.pool.lender.expire_loans(now);
        if state.pool.lender.open_loan_count() > 0 {
            return None;
        }
        let slots: Vec<u16> = state.slots.keys().copied().collect();
        Some(state.give(streams, me, slots, now))
    }

    /// Whether slots are being given up.
    pub fn is_giving(&self) -> bool {
        !lock(&self.0).hold.giving.is_empty()
    }

    /// How many slots this process holds.
    pub fn count(&self) -> usize {
        lock(&self.0).slots.len()
    }

    /// Tokens in the buckets.
    pub fn levels(&self, now: Duration) -> BTreeMap<TenantName, u64> {
        lock(&self.0).pool.lender.levels(now)
    }

    /// Takes tokens for a request.
    ///
    /// # Errors
    ///
    /// The tokens that are missing.
    pub fn reserve(
        &self,
        tenant: &TenantName,
        tokens: Tokens,
        now: Duration,
    ) -> Result<Reservation, Tokens> {
        lock(&self.0).pool.reserve(tenant, tokens, now)
    }

    /// Charges what a request used and returns the rest.
    pub fn settle(&self, reservation: Reservation, used: Tokens, now: Duration) {
        lock(&self.0).pool.settle(reservation, used, now);
    }

    /// How long it makes no sense to ask for so many tokens.
    pub fn dry(&self, tenant: &TenantName, tokens: Tokens, now: Duration) -> Option<Duration> {
        lock(&self.0).pool.shortage_wait(tenant, tokens, now)
    }

    /// A request was given up: all holders together have too few tokens for `wait`.
    pub fn give_up(&self, tenant: &TenantName, tokens: Tokens, wait: Duration, now: Duration) {
        let mut state = lock(&self.0);
        state.pool.return_unspent(tenant, now);
        state.pool.record_shortage(tenant, tokens, wait, now);
    }

    /// Lends tokens to another process.
    pub fn lend(&self, vm: &VmRef, asks: &[LoanRequest], now: Duration) -> Vec<LoanResponse> {
        let mut state = lock(&self.0);
        asks.iter().map(|ask| state.pool.lend(vm, ask, now)).collect()
    }

    /// Takes in what a lender answered to asks that were made at `asked`.
    pub fn receive(
        &self,
        lender: &VmRef,
        asks: &[LoanRequest],
        loans: &[LoanResponse],
        asked: Duration,
        now: Duration,
    ) {
        let mut state = lock(&self.0);
        asks.iter().for_each(|ask| state.pool.confirm_reports(lender, &ask.reports));
        loans.iter().for_each(|loan| state.pool.add_loan(lender, loan, asked, now));
    }

    /// Asks for a request that lacks tokens.
    pub fn urgent_asks(
        &self,
        tenant: &(TenantName, Offset),
        missing: Tokens,
        homes: &[(VmRef, u16)],
        all: bool,
    ) -> Vec<(VmRef, LoanRequest)> {
        lock(&self.0).pool.request_missing(tenant, missing, homes, all)
    }

    /// Asks ahead of demand, and reports on loans.
    pub fn tick(
        &self,
        streams: &Streams,
        homes: impl Fn(&TenantName) -> Vec<(VmRef, u16)>,
        passed: Duration,
        now: Duration,
    ) -> Vec<(VmRef, LoanRequest)> {
        let mut state = lock(&self.0);
        let config = streams.config();
        let created = |tenant: &TenantName| config.tenants.get(tenant).map(|t| t.grant.created);
        state.pool.tick(homes, created, passed, now)
    }
}

impl State {
    fn refresh(&mut self, streams: &Streams, me: &VmRef, now: Duration) {
        let (version, held, config, recreated) = streams.control(|control| {
            let slots = control.slots();
            let mine = |slot: &u16| slots.holder(*slot).is_some_and(|holder| holder.vm == *me);
            self.hold.giving.retain(mine);
            let held = slots.held_by(me).filter(|(slot, _)| !self.hold.giving.contains(slot));
            let held: BTreeMap<u16, SlotHolder> =
                held.map(|(s, holder)| (s, holder.clone())).collect();
            let config = Arc::clone(control.config());
            let recreated = config.tenants.keys().filter(|tenant| control.was_removed(tenant));
            let recreated: BTreeSet<TenantName> = recreated.cloned().collect();
            (control.version(), held, config, recreated)
        });
        let same = held.len() == self.slots.len()
            && held.iter().all(|(slot, holder)| self.slots.get(slot) == Some(&holder.taken));
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
        self.tenants = config.tenants.values().map(|t| (t.name.clone(), t.grant.created)).collect();
        self.slots = held.iter().map(|(slot, holder)| (*slot, holder.taken)).collect();
        self.pool.retain(|tenant| config.tenants.get(tenant).map(|t| t.grant.created));
        for (tenant, (share, added)) in shares {
            self.pool.lender.set_share(&tenant.name, share, added, now);
        }
    }

    /// A tenant's share by the slots held, and the tokens that come with those that are new.
    fn share_of(
        &self,
        tenant: &Tenant,
        held: &BTreeMap<u16, SlotHolder>,
        recreated: bool,
    ) -> (SlotShare, Tokens) {
        let known = self.tenants.get(&tenant.name) == Some(&tenant.grant.created);
        let (mut share, mut added) = (SlotShare { grant: tenant.grant, slots: 0 }, 0);
        for (slot, holder) in held.range(tenant_slots(&tenant.name)) {
            share.slots += 1;
            if !known || self.slots.get(slot) != Some(&holder.taken) {
                added += holder.initial_tokens(&tenant.name, &tenant.grant, recreated).0;
            }
        }
        (share, Tokens(added))
    }

    /// Leaves out slots of tenants whose loans would not fit into the share that is left.
    fn without_lent(&mut self, slots: Vec<u16>) -> Vec<u16> {
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

    fn give(
        &mut self,
        streams: &Streams,
        me: &VmRef,
        slots: Vec<u16>,
        now: Duration,
    ) -> SlotChange {
        let levels_before = self.pool.lender.levels(now);
        let counts = self.slot_counts();
        self.hold.giving.extend(&slots);
        self.refresh(streams, me, now);
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
            let taken = bucket.map(|b| keep_at_most(b, level - moved, now));
            levels.insert(tenant, moved.min(taken.map_or(moved, |left| level - left)));
        }
        SlotChange { vm: me.clone(), slots, levels }
    }

    fn slot_counts(&self) -> BTreeMap<TenantName, u64> {
        let count = |tenant: &TenantName| self.slots.range(tenant_slots(tenant)).count() as u64;
        self.tenants.keys().map(|tenant| (tenant.clone(), count(tenant))).collect()
    }
}

/// Takes what a bucket holds above `most`; returns what is left.
fn keep_at_most(bucket: &mut carobglade::QuotaBucket, most: u64, now: Duration) -> u64 {
    let level = bucket.level(now).0;
    if level > most {
        bucket.take(Tokens(level - most), now);
    }
    level.min(most)
}
