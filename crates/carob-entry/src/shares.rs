//! This process's slots: taking, renewing and giving up, and the buckets that follow from them.

use std::collections::BTreeMap;
use std::sync::Arc;
use std::time::Duration;

use carobglade::{
    Ask, Holder, Record, SLOT_LEASE, SLOTS, Share, SlotTake, Tenant, TenantName, Tokens, VmRef,
    slots_of,
};

use crate::core::{Core, Inner};
use crate::peers::{self, PeerReply, PeerRequest};

const TICK: Duration = Duration::from_millis(100);
const SLOT_TICK: Duration = Duration::from_millis(500);
const HEAR_FIRST: Duration = Duration::from_millis(1200); // other processes, before slots are taken
const GIVE_PAUSE: Duration = Duration::from_secs(1); // between two hand-overs to newcomers
const GIVE_MOST: usize = 256; // slots of one hand-over

/// The part of the lease that the holder uses; the rest covers clocks that run apart.
const LEASE_USED: f64 = 0.9;

/// This process's hold on its slots.
#[derive(Debug, Default)]
pub struct Hold {
    /// When the renewal or take that is under way was made.
    pub renewing: Option<Duration>,
    /// When the last one was made.
    pub renewed: Option<Duration>,
    /// When slots were last given up to newcomers.
    pub given: Duration,
    /// Slots that are being given up.
    pub giving: Vec<u16>,
}

/// A renewal or take of this process was applied.
pub fn renewed(inner: &mut Inner) {
    if let Some(made) = inner.hold.renewing.take() {
        inner.hold.renewed = Some(made);
        inner.pool.set_lapse(Some(made + SLOT_LEASE.mul_f64(LEASE_USED)));
    }
}

/// Sets the buckets by the slots held and the configuration in force.
pub fn refresh(inner: &mut Inner, me: &VmRef, now: Duration) {
    let state = inner.control.state();
    let slots = state.slots();
    inner.hold.giving.retain(|slot| slots.holder(*slot).is_some_and(|holder| holder.vm == *me));
    let held: BTreeMap<u16, Holder> = state
        .slots()
        .held_by(me)
        .filter(|(slot, _)| !inner.hold.giving.contains(slot))
        .map(|(slot, holder)| (slot, holder.clone()))
        .collect();
    let same = held.len() == inner.slots.len()
        && held.iter().all(|(slot, holder)| inner.slots.get(slot) == Some(&holder.taken));
    if same && state.version() == inner.pool_version {
        return;
    }
    let config = Arc::clone(state.config());
    let shares: Vec<_> =
        config.tenants.values().map(|tenant| (tenant, share_of(inner, tenant, &held))).collect();
    inner.pool_version = inner.control.state().version();
    inner.pool_tenants =
        config.tenants.values().map(|t| (t.name.clone(), t.grant.created)).collect();
    inner.slots = held.iter().map(|(slot, holder)| (*slot, holder.taken)).collect();
    inner.pool.retain(|tenant| config.tenants.get(tenant).map(|t| t.grant.created));
    for (tenant, (share, added)) in shares {
        inner.pool.lender.set_share(&tenant.name, share, added, now);
    }
}

/// A tenant's share by the slots held, and the tokens that come with those that are new.
fn share_of(inner: &Inner, tenant: &Tenant, held: &BTreeMap<u16, Holder>) -> (Share, Tokens) {
    let known = inner.pool_tenants.get(&tenant.name) == Some(&tenant.grant.created);
    let recreated = inner.control.state().recreated(&tenant.name);
    let (mut share, mut added) = (Share { grant: tenant.grant, slots: 0 }, 0);
    for (slot, holder) in held.range(slots_of(&tenant.name)) {
        share.slots += 1;
        if !known || inner.slots.get(slot) != Some(&holder.taken) {
            added += holder.tokens_for(&tenant.name, &tenant.grant, recreated).0;
        }
    }
    (share, Tokens(added))
}

/// Takes free slots, renews the lease and hands slots over to newcomers until the process ends.
pub async fn keep(core: Arc<Core>) {
    tokio::time::sleep(HEAR_FIRST).await;
    loop {
        tokio::time::sleep(SLOT_TICK).await;
        let now = core.now();
        let mut inner = core.lock();
        if inner.confirmed.is_none() || inner.draining || inner.member(&core.me).is_none() {
            continue;
        }
        take_free(&core, &mut inner, now);
        renew(&core, &mut inner, now);
        hand_over(&core, &mut inner, now);
    }
}

fn take_free(core: &Core, inner: &mut Inner, now: Duration) {
    if inner.hold.renewing.is_some() {
        return;
    }
    let free = inner.control.state().slots().free_for(&core.me, inner.log_time(now));
    let ring = inner.fleet.ring(&core.me, now);
    let mine = |slot: &u16| ring.owner(&duty(*slot)) == Some(&core.me);
    let slots: Vec<u16> = free.into_iter().filter(mine).collect();
    if slots.is_empty() {
        return;
    }
    inner.hold.renewing = Some(now);
    let take = SlotTake { vm: core.me.clone(), slots, levels: BTreeMap::new() };
    drop(core.control_log.add(Record::SlotTake(take)));
}

fn duty(slot: u16) -> String {
    format!("slot:{slot}")
}

fn renew(core: &Core, inner: &mut Inner, now: Duration) {
    let due = inner.hold.renewed.is_none_or(|at| now.saturating_sub(at) > SLOT_LEASE / 4);
    if due && inner.hold.renewing.is_none() {
        inner.hold.renewing = Some(now);
        drop(core.control_log.add(Record::Renew(core.me.clone())));
    }
}

/// Gives slots up to processes that are in charge of them, a few at a time.
fn hand_over(core: &Core, inner: &mut Inner, now: Duration) {
    if now.saturating_sub(inner.hold.given) < GIVE_PAUSE || !inner.hold.giving.is_empty() {
        return;
    }
    let fair = usize::from(SLOTS) / (inner.fleet.living(now).count() + 1);
    let spare = inner.slots.len().saturating_sub(fair).min(GIVE_MOST);
    let ring = inner.fleet.ring(&core.me, now);
    let others = |slot: &u16| ring.owner(&duty(*slot)) != Some(&core.me);
    let slots = inner.slots.keys().copied().filter(others);
    let slots: Vec<u16> = slots.take(spare).collect();
    let slots = without_lent(inner, slots);
    inner.hold.given = now;
    if !slots.is_empty() {
        give(core, inner, slots, now);
    }
}

/// Leaves out slots of tenants whose loans would not fit into the share that is left.
fn without_lent(inner: &mut Inner, slots: Vec<u16>) -> Vec<u16> {
    let mut kept = slots;
    for tenant in inner.pool_tenants.keys() {
        let range = slots_of(tenant);
        let given = kept.iter().filter(|slot| range.contains(slot)).count() as u16;
        let Some(bucket) = inner.pool.lender.bucket(tenant) else {
            continue;
        };
        let share = bucket.share();
        let left = Share { slots: share.slots.saturating_sub(given), ..share };
        if !bucket.fits(left) {
            kept.retain(|slot| !range.contains(slot));
        }
    }
    kept
}

/// Gives `slots` up, with the unspent tokens in them. The share shrinks before anybody can take
/// them.
fn give(core: &Core, inner: &mut Inner, slots: Vec<u16>, now: Duration) {
    let levels_before = inner.pool.lender.levels(now);
    let counts = slot_counts(inner);
    inner.hold.giving.extend(&slots);
    refresh(inner, &core.me, now);
    let counts_after = slot_counts(inner);
    let mut levels = BTreeMap::new();
    for (tenant, level) in levels_before {
        let before = counts.get(&tenant).copied().unwrap_or(0);
        let after = counts_after.get(&tenant).copied().unwrap_or(0);
        if before == after || before == 0 {
            continue;
        }
        let moved = level * (before - after) / before;
        let taken = inner.pool.lender.bucket(&tenant).map(|b| keep_at_most(b, level - moved, now));
        levels.insert(tenant, moved.min(taken.map_or(moved, |left| level - left)));
    }
    let give = SlotTake { vm: core.me.clone(), slots, levels };
    drop(core.control_log.add(Record::SlotGive(give)));
}

/// Takes what a bucket holds above `most`; returns what is left.
fn keep_at_most(bucket: &mut carobglade::Bucket, most: u64, now: Duration) -> u64 {
    let level = bucket.level(now).0;
    if level > most {
        bucket.take(Tokens(level - most), now);
    }
    level.min(most)
}

fn slot_counts(inner: &Inner) -> BTreeMap<TenantName, u64> {
    let count = |tenant: &TenantName| inner.slots.range(slots_of(tenant)).count() as u64;
    inner.pool_tenants.keys().map(|tenant| (tenant.clone(), count(tenant))).collect()
}

/// Gives all slots up before the process ends. Waits until no loan can be spent any more.
pub async fn give_all(core: &Core) {
    core.lock().pool.lender.close();
    loop {
        let now = core.now();
        {
            let mut inner = core.lock();
            inner.pool.lender.lapse(now);
            if inner.pool.lender.open_loans() == 0 {
                let slots: Vec<u16> = inner.slots.keys().copied().collect();
                give(core, &mut inner, slots, now);
                return;
            }
        }
        tokio::time::sleep(TICK).await;
    }
}

/// Borrows ahead of demand and reports on loans until the process ends.
pub async fn borrow(core: Arc<Core>) {
    loop {
        tokio::time::sleep(TICK).await;
        let now = core.now();
        let asks = {
            let mut inner = core.lock();
            let state = inner.control.state();
            let config = Arc::clone(state.config());
            let tenants = inner.pool_tenants.keys();
            let homes: BTreeMap<TenantName, Vec<(VmRef, u16)>> = tenants
                .map(|tenant| (tenant.clone(), inner.homes(tenant, &core.me, now)))
                .collect();
            let created = |tenant: &TenantName| config.tenants.get(tenant).map(|t| t.grant.created);
            let homes = |tenant: &TenantName| homes.get(tenant).cloned().unwrap_or_default();
            inner.pool.tick(homes, created, TICK, now)
        };
        for (lender, asks) in by_lender(asks) {
            let core = Arc::clone(&core);
            tokio::spawn(async move { ask(&core, lender, asks).await });
        }
    }
}

fn by_lender(asks: Vec<(VmRef, Ask)>) -> BTreeMap<VmRef, Vec<Ask>> {
    let mut grouped: BTreeMap<VmRef, Vec<Ask>> = BTreeMap::new();
    for (lender, ask) in asks {
        grouped.entry(lender).or_default().push(ask);
    }
    grouped
}

/// Sends asks to one lender and takes the loans in. Returns the shortest wait that it names.
pub async fn ask(core: &Arc<Core>, lender: VmRef, asks: Vec<Ask>) -> Option<Duration> {
    let asked = core.now();
    let address = core.lock().member(&lender).map(|member| member.peer)?;
    let request = PeerRequest::Ask { vm: core.me.clone(), asks: asks.clone() };
    let Ok(PeerReply::Lent { loans }) = peers::call(core, address, &request).await else {
        return None;
    };
    let now = core.now();
    let mut inner = core.lock();
    for ask in &asks {
        inner.pool.confirm(&lender, &ask.reports);
    }
    for loan in &loans {
        inner.pool.receive(&lender, loan, asked, now);
    }
    loans.iter().map(|loan| Duration::from_millis(loan.wait)).min()
}
