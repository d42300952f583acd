//! A caller's request from its arrival to its answer.

use std::cell::Cell;
use std::rc::Rc;
use std::time::Duration;

use bytes::Bytes;
use carob_net::{ChunkSender, chunks};
use carobglade::{Error, ErrorKind, Next, Result, Tries, TryEnd, UpstreamName};
use http::{Request, Response};
use hyper::body::Incoming;

use crate::attempt::{EventSource, Failed, OpenStream, Tried, WholeAnswer, attempt};
use crate::call::{Call, charge, charge_again, read, refund};
use crate::choose::choose;
use crate::edge::{Edge, InFlightGuard};
use crate::reply::{ReplyBody, passed, refusal};

const ELSEWHERE: Duration = Duration::from_millis(50); // when another vm can take the request
const COME_BACK: Duration = Duration::from_millis(300); // after a refusal that is not about load

/// Answers a caller.
pub async fn handle(edge: Rc<Edge>, request: Request<Incoming>) -> Response<ReplyBody> {
    let active = edge.active_requests.increment();
    let arrival = edge.now();
    let id = request.headers().get("request-id").cloned();
    let answered = match read(&edge, request, arrival).await {
        Ok(call) => serve(&edge, call, active).await,
        Err(err) => Err(err),
    };
    match answered {
        Ok(response) => response,
        Err(err) => {
            let took = edge.now().saturating_sub(arrival);
            let id = id.as_ref().and_then(|id| id.to_str().ok()).unwrap_or_default();
            edge.metrics.refused(err.kind());
            log::info!(target: "request", id = id, kind = err.kind().answer().code, why = err.message(), took = took.as_millis() as u64, retry = err.retry().map_or(0, |r| r.as_millis() as u64); "A request was refused.");
            let close = edge.stopping.get() || err.kind() == ErrorKind::NotReady;
            refusal(&err, close)
        }
    }
}

/// Tokens that are left of the tenant's, as this process sees them.
fn level(edge: &Edge, call: &Call) -> i64 {
    let tenant = call.tenant.as_ref();
    tenant.and_then(|tenant| edge.meter.borrow().level(&tenant.name)).unwrap_or_default()
}

/// A process that closes takes only what certainly ends before it does.
fn fits(edge: &Edge, call: &Call) -> Result<()> {
    match edge.drain_deadline.get() {
        Some(end) if call.end > end => {
            let err = Error::new(ErrorKind::Draining, "the process is stopping");
            Err(err.with_retry(ELSEWHERE))
        }
        _ => Ok(()),
    }
}

async fn serve(edge: &Rc<Edge>, call: Call, active: InFlightGuard) -> Result<Response<ReplyBody>> {
    fits(edge, &call)?;
    edge.deposit_retry(&call.service);
    charge(edge, &call).await?;
    // What a tenant's rate refuses is no demand: no copy of a model would serve it.
    if let Some(model) = &call.head.model {
        let work = call.prompt() + call.output();
        edge.demand.borrow_mut().ask(&call.service, model, work, edge.now());
    }
    log::info!(target: "request", id = call.head.id.as_str(), route = call.route.name.as_str(), service = call.service.as_str(), tenant = call.tenant.as_ref().map_or("", |t| t.name.as_str()), model = call.head.model.as_ref().map_or("", |m| m.as_str()), version = call.site.version, tokens = call.charge().0, level = level(edge, &call), left = call.left(edge.now()).as_millis() as u64; "A request was admitted.");
    let progress = Cell::new(Tries::default());
    let limit = call.left(edge.now());
    let tried = tokio::select! {
        tried = tries(edge, &call, &progress, Vec::new(), None) => tried,
        () = tokio::time::sleep(limit) => Err(expired(progress.get())),
        () = halted(edge, &progress) => Err(stopped(progress.get())),
    };
    match tried {
        Ok(Tried::Whole(answer)) => {
            note(edge, &call, answer.status);
            Ok(whole(answer))
        }
        Ok(Tried::Open(open)) => {
            note(edge, &call, open.status);
            Ok(relay(edge, call, *open, progress.get(), active))
        }
        Err(err) => {
            if !progress.get().maybe {
                refund(edge, &call);
            }
            Err(err)
        }
    }
}

/// Completes when a request has to be given up because the process stops: as it begins to close,
/// if the request was sent nowhere yet; at the end, if it has no answer by then. A request that
/// came later was taken because it fits.
async fn halted(edge: &Edge, progress: &Cell<Tries>) {
    let fits = edge.drain_deadline.get().is_some();
    loop {
        let changed = edge.shutdown_changed.notified();
        let waiting = !fits && progress.get().sent == 0 && edge.drain_deadline.get().is_some();
        if edge.aborting.get() || waiting {
            return;
        }
        changed.await;
    }
}

fn stopped(tries: Tries) -> Error {
    let kind = if tries.maybe { ErrorKind::UpstreamFailed } else { ErrorKind::Draining };
    Error::new(kind, "the process is stopping").with_retry(ELSEWHERE)
}

fn note(edge: &Edge, call: &Call, status: u16) {
    let tenant = call.tenant.as_ref().map_or("", |tenant| tenant.name.as_str());
    let took = edge.now().saturating_sub(call.arrival);
    edge.metrics.answered(tenant, &call.service, status, took);
}

fn expired(tries: Tries) -> Error {
    let kind = if tries.sent > 0 { ErrorKind::Timeout } else { ErrorKind::UpstreamUnavailable };
    Error::new(kind, "no answer came in time").with_retry(COME_BACK)
}

fn whole(answer: WholeAnswer) -> Response<ReplyBody> {
    passed(answer.status, answer.headers, ReplyBody::Whole(Some(answer.body)))
}

/// Tries upstreams until one answers or the request is given up.
async fn tries(
    edge: &Rc<Edge>,
    call: &Call,
    progress: &Cell<Tries>,
    mut tried: Vec<UpstreamName>,
    last: Option<u64>,
) -> Result<Tried> {
    loop {
        let choice = choose(edge, call, &tried).await.map_err(|err| truthful(err, progress))?;
        tried.push(choice.listed.name.clone());
        if progress.get().maybe {
            charge_again(edge, call);
        }
        // Until the try ends, the request may run.
        let before = progress.get();
        progress.set(Tries { sent: before.sent + 1, maybe: true });
        let Failed { end, answer } = match attempt(edge, call, &choice, last).await {
            Ok(tried) => return Ok(tried),
            Err(failed) => failed,
        };
        let mut after = before;
        after.note(end);
        progress.set(after);
        let mut next = after.next(call.route.kind, call.route.attempts, end);
        if next == Next::Again && !retry_allowed(edge, call, end) {
            next = after.give_up(end);
        }
        match (next, answer) {
            (Next::Again, _) => edge.metrics.retried(),
            (Next::Pass, Some(answer)) => return Ok(Tried::Whole(*answer)),
            (Next::Pass, None) => return Err(refused(ErrorKind::UpstreamFailed, end)),
            (Next::Refuse(kind), _) => return Err(refused(kind, end)),
        }
    }
}

/// A try that sent nothing costs no upstream anything.
fn retry_allowed(edge: &Edge, call: &Call, end: TryEnd) -> bool {
    end == TryEnd::Unsent || edge.withdraw_retry(&call.service)
}

fn refused(kind: ErrorKind, end: TryEnd) -> Error {
    let message = format!("the upstream's try ended as {}", end.as_str());
    let err = Error::new(kind, message);
    if kind.answer().status == 503 { err.with_retry(COME_BACK) } else { err }
}

/// A refusal after a try that may have run must not say that the request did not run.
fn truthful(err: Error, progress: &Cell<Tries>) -> Error {
    if progress.get().maybe {
        return Error::new(ErrorKind::UpstreamFailed, err.message());
    }
    err
}

/// Passes a stream on in a task of its own, which ends when the caller leaves.
fn relay(
    edge: &Rc<Edge>,
    call: Call,
    open: OpenStream,
    progress: Tries,
    active: InFlightGuard,
) -> Response<ReplyBody> {
    let (tx, chunks) = chunks();
    let response = passed(open.status, open.headers, ReplyBody::Stream(chunks));
    let edge = Rc::clone(edge);
    tokio::task::spawn_local(async move {
        let _active = active;
        let limit = call.left(edge.now());
        let passing = pass(&edge, &call, &tx, open.events, open.rest, progress);
        let ended = tokio::select! {
            ended = tokio::time::timeout(limit, passing) => ended.unwrap_or(Err(TryEnd::Silent)),
            () = tx.closed() => {
                log::info!(target: "request", id = call.head.id.as_str(); "The caller left its stream.");
                return;
            }
        };
        let took = edge.now().saturating_sub(call.arrival).as_millis() as u64;
        match ended {
            Ok(()) => {
                log::info!(target: "request", id = call.head.id.as_str(), took = took; "A stream ended whole.");
                tx.finish().await;
            }
            Err(end) => {
                log::info!(target: "request", id = call.head.id.as_str(), took = took, end = end.as_str(); "A stream was broken off.");
            }
        }
    });
    response
}

/// Passes events on; goes on at another upstream where the route allows it.
async fn pass(
    edge: &Rc<Edge>,
    call: &Call,
    tx: &ChunkSender,
    events: Bytes,
    mut source: EventSource,
    progress: Tries,
) -> std::result::Result<(), TryEnd> {
    if !events.is_empty() && !tx.send(events).await {
        return Ok(());
    }
    let mut tries_made = Tries { sent: progress.sent.max(1), maybe: true };
    loop {
        match source.next().await {
            Ok(Some(events)) => {
                if !tx.send(events).await {
                    return Ok(());
                }
            }
            Ok(None) => return Ok(()),
            Err(end) => {
                let next = tries_made.next(call.route.kind, call.route.attempts, end);
                let last = source.last();
                edge.loads.borrow_mut().ended(&source.name, true);
                if next != Next::Again || last.is_none() || !edge.withdraw_retry(&call.service) {
                    return Err(end);
                }
                let left = source.name.clone();
                drop(source);
                source = resume(edge, call, tx, left, last, &mut tries_made).await?;
            }
        }
    }
}

/// Goes on with a stream after the event `last`.
async fn resume(
    edge: &Rc<Edge>,
    call: &Call,
    tx: &ChunkSender,
    left: UpstreamName,
    last: Option<u64>,
    made: &mut Tries,
) -> std::result::Result<EventSource, TryEnd> {
    log::info!(target: "request", id = call.head.id.as_str(), upstream:% = left, last = last.unwrap_or(0); "A stream goes on elsewhere.");
    let progress = Cell::new(*made);
    let tried = tries(edge, call, &progress, vec![left], last).await;
    *made = progress.get();
    match tried {
        Ok(Tried::Open(open)) => {
            if !open.events.is_empty() && !tx.send(open.events).await {
                return Err(TryEnd::Broken);
            }
            Ok(open.rest)
        }
        Ok(Tried::Whole(_)) | Err(_) => Err(TryEnd::Broken),
    }
}
