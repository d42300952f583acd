//! Takes, renews and hands over slots, and borrows tokens from other processes.

use std::collections::BTreeMap;
use std::sync::Arc;
use std::time::Duration;

use carobglade::{LoanRequest, Record, TenantName, VmRef};

use crate::core::Core;
use crate::links::{PeerReply, PeerRequest};
use crate::parts::Stream;

const TICK: Duration = Duration::from_millis(100);
const SLOT_TICK: Duration = Duration::from_millis(500);
const HEAR_FIRST: Duration = Duration::from_millis(1200); // other processes, before slots are taken

/// Takes free slots, renews the lease and hands slots over to newcomers until the process ends.
pub async fn keep(core: Arc<Core>) {
    tokio::time::sleep(HEAR_FIRST).await;
    loop {
        tokio::time::sleep(SLOT_TICK).await;
        let unread = core.streams.confirmed(Stream::Control).is_none();
        if unread || core.life.draining() || core.streams.member(&core.me).is_none() {
            continue;
        }
        tend(&core);
    }
}

fn tend(core: &Core) {
    let now = core.now();
    let (streams, neighbours, me) = (&core.streams, &core.neighbours, &core.me);
    if let Some(take) = core.holdings.take_free(streams, neighbours, me, now) {
        drop(core.control_log.add(Record::SlotTake(take)));
    }
    if core.holdings.take_renewal(now) {
        drop(core.control_log.add(Record::Renew(me.clone())));
    }
    if let Some(give) = core.holdings.hand_over(streams, neighbours, me, now) {
        drop(core.control_log.add(Record::SlotGive(give)));
    }
}

/// Gives all slots up before the process ends. Waits until no loan can be spent any more.
pub async fn give_all(core: &Core) {
    loop {
        if let Some(give) = core.holdings.give_all(&core.streams, &core.me, core.now()) {
            drop(core.control_log.add(Record::SlotGive(give)));
            return;
        }
        tokio::time::sleep(TICK).await;
    }
}

/// Borrows ahead of demand and reports on loans until the process ends.
pub async fn borrow(core: Arc<Core>) {
    loop {
        tokio::time::sleep(TICK).await;
        let now = core.now();
        let config = core.streams.config();
        let tenants = config.tenants.keys();
        let homes: BTreeMap<TenantName, Vec<(VmRef, u16)>> =
            tenants.map(|tenant| (tenant.clone(), core.homes(tenant, now))).collect();
        let homes = |tenant: &TenantName| homes.get(tenant).cloned().unwrap_or_default();
        let asks = core.holdings.tick(&core.streams, homes, TICK, now);
        for (lender, asks) in by_lender(asks) {
            let core = Arc::clone(&core);
            tokio::spawn(async move { ask(&core, lender, asks).await });
        }
    }
}

fn by_lender(asks: Vec<(VmRef, LoanRequest)>) -> BTreeMap<VmRef, Vec<LoanRequest>> {
    let mut grouped: BTreeMap<VmRef, Vec<LoanRequest>> = BTreeMap::new();
    for (lender, ask) in asks {
        grouped.entry(lender).or_default().push(ask);
    }
    grouped
}

/// Sends asks to one lender and takes the loans in. Returns the shortest wait that it names.
pub async fn ask(core: &Arc<Core>, lender: VmRef, asks: Vec<LoanRequest>) -> Option<Duration> {
    let asked = core.now();
    let address = core.streams.member(&lender).map(|member| member.peer)?;
    let request = PeerRequest::Ask { vm: core.me.clone(), asks: asks.clone() };
    let answer = core.links.call(&core.metrics, address, &request).await;
    let Ok(PeerReply::Lent { loans }) = answer else {
        return None;
    };
    core.holdings.receive(&lender, &asks, &loans, asked, core.now());
    loans.iter().map(|loan| Duration::from_millis(loan.wait)).min()
}
