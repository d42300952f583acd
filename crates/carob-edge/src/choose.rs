//! Finds an upstream for a request, waiting for a model or an adapter that is on its way.

use std::rc::Rc;
use std::time::Duration;

use carobglade::{
    AdapterName, Bid, DispatchSettings, Dispatched, Error, ErrorKind, Listed, Need, NewsSource,
    Result, UpstreamName, dispatch,
};
use rand::Rng;

use crate::call::Call;
use crate::edge::Edge;

const TOKEN_TIME: Duration = Duration::from_millis(14); // between two tokens of a busy engine
const LOOK_AGAIN: Duration = Duration::from_millis(40); // while a model or an adapter is awaited
const WAIT_PART: f64 = 0.5; // of the time that is left, for a model or an adapter
const COME_BACK: Duration = Duration::from_millis(600); // when there is no upstream

/// The upstream for a request, and the time to the first byte that is expected there.
pub struct Choice {
    /// The upstream.
    pub listed: Listed,
    /// The expected time.
    pub estimate: Duration,
}

/// Chooses an upstream that was not tried before.
///
/// # Errors
///
/// When none can serve the request in time.
pub async fn choose(edge: &Rc<Edge>, call: &Call, tried: &[UpstreamName]) -> Result<Choice> {
    let until = edge.now() + call.left(edge.now()).mul_f64(WAIT_PART);
    loop {
        let changed = edge.capacity_changed.notified();
        let hosts = hosts(edge, call, tried);
        if !hosts.is_empty() {
            return decide(edge, call, hosts);
        }
        if call.head.model.is_none() || edge.now() >= until || !known_model(call) {
            return Err(nobody(call));
        }
        ask_adapter(edge, call);
        if tokio::time::timeout(LOOK_AGAIN, changed).await.is_err() {
            log::trace!(target: "request", id = call.head.id.as_str(); "Still waiting for a model.");
        }
    }
}

fn known_model(call: &Call) -> bool {
    let engine = call.site.engine(&call.service);
    let model = call.head.model.as_ref();
    engine.zip(model).is_some_and(|(engine, model)| engine.models.contains_key(model))
}

fn nobody(call: &Call) -> Error {
    let kind = match call.head.model {
        Some(_) => ErrorKind::ModelCold,
        None => ErrorKind::UpstreamUnavailable,
    };
    Error::new(kind, "no upstream can take the request now").with_retry(COME_BACK)
}

/// The upstreams that hold what the request needs.
fn hosts(edge: &Edge, call: &Call, tried: &[UpstreamName]) -> Vec<Listed> {
    let now = edge.now();
    let view = edge.view.borrow();
    let board = edge.board.borrow();
    let fresh = view.roster.usable(&call.service).filter(|l| !tried.contains(&l.name));
    let able = fresh.filter(|listed| match &call.head.model {
        None => true,
        Some(model) => board.holds(listed, model, call.head.adapter.as_deref(), now),
    });
    able.cloned().collect()
}

fn ask_adapter(edge: &Edge, call: &Call) {
    let (Some(model), Some(adapter)) = (&call.head.model, &call.head.adapter) else {
        return;
    };
    let name = AdapterName {
        service: call.service.clone(),
        model: model.clone(),
        adapter: adapter.clone(),
    };
    if edge.board.borrow_mut().want(name, NewsSource::Own, edge.now()) {
        edge.planner_wakeup.notify_one();
        edge.gossip_wakeup.notify_one();
    }
}

fn bid(edge: &Edge, call: &Call, listed: &Listed) -> Bid {
    let now = edge.now();
    let loads = edge.loads.borrow();
    let total = loads.total(&listed.name, now);
    let record = loads.record(&listed.name);
    let engine = call.site.engine(&call.service);
    Bid {
        backlog: total.backlog,
        prompt: call.prompt(),
        running: total.running,
        slots: listed.slots,
        memory: engine.map_or((0, 0), |engine| (total.memory, engine.memory.0)),
        pace: record.pace,
        failing: record.failing,
        remote: listed.data_centre.as_str() != edge.settings.data_centre,
    }
}

fn need(edge: &Edge, call: &Call) -> Need {
    let tokens = u32::try_from(call.output()).unwrap_or(u32::MAX);
    Need {
        goal: call.route.goal,
        left: call.left(edge.now()),
        output: if call.route.kind.streams() { TOKEN_TIME * tokens } else { Duration::ZERO },
        work: Duration::from_millis(20),
    }
}

fn decide(edge: &Edge, call: &Call, hosts: Vec<Listed>) -> Result<Choice> {
    let bids: Vec<Bid> = hosts.iter().map(|listed| bid(edge, call, listed)).collect();
    let need = need(edge, call);
    let tie = rand::rng().random::<u32>();
    match dispatch(&bids, &need, &DispatchSettings::default(), u64::from(tie)) {
        Dispatched::Send(index, estimate) => {
            let listed = hosts.into_iter().nth(index).ok_or_else(|| nobody(call))?;
            Ok(Choice { listed, estimate })
        }
        Dispatched::Late(after) => {
            let message = format!("upstreams are busy for {} ms more", after.as_millis());
            Err(Error::new(ErrorKind::UpstreamUnavailable, message).with_retry(after))
        }
        Dispatched::Nobody => Err(nobody(call)),
    }
}
