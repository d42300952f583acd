//! Orders on adapters, which are loaded when a request waits for one.

use std::rc::Rc;
use std::time::Duration;

use carobglade::{AdapterName, Engine, Listed, ModelName, OrderBook, OrderEnd, OrderTarget};

use super::{Duty, SharedDesk, announce, book, give, sequence};
use crate::edge::Edge;

const ADAPTER_TIME: Duration = Duration::from_millis(25); // until an accepted adapter is there

/// Loads the adapters that requests wait for, one on each engine at a time.
pub(super) fn adapters(
    edge: &Rc<Edge>,
    desk: &SharedDesk,
    duty: &Duty,
    engine: &Engine,
    listed: &[Listed],
) {
    let now = edge.now();
    let wanted = edge.board.borrow_mut().wanted(now);
    for name in wanted.into_iter().filter(|name| name.service == duty.service) {
        let hosts: Vec<&Listed> = {
            let board = edge.board.borrow();
            listed.iter().filter(|l| board.holds(l, &name.model, None, now)).collect()
        };
        let there = hosts
            .iter()
            .any(|l| edge.board.borrow().holds(l, &name.model, Some(&name.adapter), now));
        if there {
            edge.board.borrow_mut().satisfied(&name);
            continue;
        }
        let Some((upstream, victim)) = adapter_home(edge, desk, engine, &hosts) else {
            continue;
        };
        book(desk, &upstream.name, |book| book.start(None));
        edge.board.borrow_mut().satisfied(&name);
        let (edge, desk, duty) = (Rc::clone(edge), Rc::clone(desk), duty.clone());
        tokio::task::spawn_local(async move {
            give_adapter(&edge, &desk, &duty, &upstream, name, victim).await;
        });
    }
}

fn adapters_of(listed: &Listed) -> Vec<(ModelName, String)> {
    let held = listed
        .models
        .iter()
        .flat_map(|held| held.adapters.iter().map(|adapter| (held.name.clone(), adapter.clone())));
    held.collect()
}

/// The engine that takes an adapter with the least loss, and the adapter that makes room there.
fn adapter_home(
    edge: &Edge,
    desk: &SharedDesk,
    engine: &Engine,
    hosts: &[&Listed],
) -> Option<(Listed, Option<(ModelName, String)>)> {
    let now = edge.now();
    let all = desk.borrow();
    let board = edge.board.borrow();
    let loads = edge.loads.borrow();
    let free = hosts.iter().filter(|l| all.books.get(&l.name).is_none_or(|b| !b.busy(now)));
    let options = free.map(|listed| {
        let held = adapters_of(listed);
        let full = held.len() >= engine.adapters;
        let used =
            |(model, adapter): &(ModelName, String)| board.used(&listed.name, model, adapter);
        let victim = if full { held.into_iter().min_by_key(used) } else { None };
        let lost = victim.as_ref().map(used);
        (lost, loads.total(&listed.name, now).running, *listed, victim)
    });
    let best = options.min_by(|(a, n, _, _), (b, m, _, _)| a.cmp(b).then(n.cmp(m)));
    best.map(|(_, _, listed, victim)| (listed.clone(), victim))
}

async fn give_adapter(
    edge: &Edge,
    desk: &SharedDesk,
    duty: &Duty,
    upstream: &Listed,
    name: AdapterName,
    victim: Option<(ModelName, String)>,
) {
    let mut free = true;
    if let Some((model, adapter)) = victim {
        let target = OrderTarget { model, adapter: Some(adapter), load: false };
        free = change_adapter(edge, desk, duty, upstream, target).await;
    }
    if free {
        let adapter = Some(name.adapter.clone());
        let target = OrderTarget { model: name.model.clone(), adapter, load: true };
        change_adapter(edge, desk, duty, upstream, target).await;
    }
    book(desk, &upstream.name, OrderBook::finish);
    edge.planner_wakeup.notify_one();
}

async fn change_adapter(
    edge: &Edge,
    desk: &SharedDesk,
    duty: &Duty,
    upstream: &Listed,
    target: OrderTarget,
) -> bool {
    let end = give(edge, desk, duty, upstream, &target).await;
    if !end.done() {
        return false;
    }
    if end == OrderEnd::Accepted {
        tokio::time::sleep(ADAPTER_TIME).await;
    }
    announce(edge, upstream, &target, target.load, sequence(desk, &upstream.name));
    edge.capacity_changed.notify_waiters();
    true
}
