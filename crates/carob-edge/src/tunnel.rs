//! Opens connections to upstreams through other vms.
//!
//! A tunnel is a TCP connection to another vm, which connects to the upstream and then forwards bytes
//! both ways. It is opened with an HTTP `CONNECT` request and carries one request. The vm in between
//! decides nothing about the request, so everything is decided and counted once, at this vm.

use std::collections::BTreeSet;
use std::rc::Rc;
use std::time::Duration;

use bytes::Bytes;
use carobglade::{DataCentre, UpstreamEntry, VmName};
use futures_util::StreamExt;
use futures_util::stream::FuturesUnordered;
use http::{HeaderMap, HeaderValue, Method, Request, StatusCode, Uri};
use http_body_util::Empty;
use hyper::client::conn::http1;
use hyper_util::rt::TokioIo;
use rand::Rng;
use tokio::net::TcpStream;
use tokio::time::Instant;

use crate::connect::{ConnectFailure, Tunnel, connect};
use crate::edge::Edge;
use crate::view::PeerVm;

/// Header with the token of the vm that is asked.
pub const TOKEN_HEADER: &str = "carob-token";
/// Header with the name of the upstream.
pub const UPSTREAM_HEADER: &str = "carob-upstream";
/// Header with the start of the upstream, in milliseconds of Unix time.
pub const STARTED_HEADER: &str = "carob-started";

/// Limit for the answer of one vm, once another one has answered.
const ANSWER_TIMEOUT: Duration = Duration::from_millis(250);
/// Limit for the first answer of any vm: while none answers, nothing is known of the upstream.
const FIRST_ANSWER_TIMEOUT: Duration = Duration::from_millis(900);
/// Part of the time left for a request in which vms may answer, as a divisor.
const ANSWER_TIME_DIVISOR: u32 = 3;
/// Time after which the next vm is asked beside one that has not answered.
const NEXT_VM_DELAY: Duration = Duration::from_millis(40);
/// Number of vms that did not reach the upstream after which no other vm is asked.
const MAX_UNREACHABLE: usize = 3;

/// Why a vm opened no tunnel.
#[derive(Clone, Copy)]
enum Refusal {
    /// It did not reach the upstream.
    Unreachable,
    /// It carries no connection to the upstream now.
    Declined,
    /// It did not answer in time.
    Late,
}

impl Refusal {
    fn as_str(self) -> &'static str {
        match self {
            Refusal::Unreachable => "unreachable",
            Refusal::Declined => "declined",
            Refusal::Late => "late",
        }
    }
}

/// How many of the vms that were asked refused, and why.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub struct Refusals {
    /// Vms that did not reach the upstream.
    pub unreachable: usize,
    /// Vms that carry no connection to the upstream now.
    pub declined: usize,
    /// Vms that did not answer in time.
    pub late: usize,
    /// Whether the request had too little time to wait for a first answer.
    hurried: bool,
}

impl Refusals {
    fn record(&mut self, refusal: Refusal) {
        match refusal {
            Refusal::Unreachable => self.unreachable += 1,
            Refusal::Declined => self.declined += 1,
            Refusal::Late => self.late += 1,
        }
    }

    /// Reports whether this tells that no vm reaches the upstream, rather than that none has answered a
    /// request that could not wait.
    pub fn is_verdict(&self) -> bool {
        self.has_answer() || self.late == 0 || !self.hurried
    }

    /// Reports whether any vm answered.
    fn has_answer(&self) -> bool {
        self.unreachable + self.declined > 0
    }
}

/// The vms that were asked for a tunnel and have not answered.
#[derive(Debug, Default)]
struct OpenQuestions {
    vms: BTreeSet<VmName>,
    /// When the answer of the vm that was asked last is late.
    late_at: Option<Instant>,
}

impl OpenQuestions {
    fn add(&mut self, vm: VmName) {
        self.vms.insert(vm);
        self.late_at = Some(Instant::now() + ANSWER_TIMEOUT);
    }

    /// Completes once all answers that are missing are late.
    async fn all_late(&self) {
        match self.late_at {
            Some(at) => tokio::time::sleep_until(at).await,
            None => std::future::pending().await,
        }
    }
}

/// Opens a tunnel to an upstream for a request with `time_left`. Vms are asked one after the other, the
/// next one also when an answer is late. Once one has answered, the others are not waited for beyond
/// their time.
///
/// # Errors
///
/// Returns the refusals when no vm that was asked opened one.
pub async fn open(
    edge: &Rc<Edge>,
    entry: &UpstreamEntry,
    time_left: Duration,
) -> Result<Tunnel, Refusals> {
    let limit = first_answer_limit(time_left);
    let mut vms = vms_to_ask(edge).into_iter();
    let mut asked = FuturesUnordered::new();
    let mut questions = OpenQuestions::default();
    let mut refusals = Refusals { hurried: limit < FIRST_ANSWER_TIMEOUT, ..Refusals::default() };
    loop {
        match vms.next() {
            Some(vm) => {
                questions.add(vm.clone());
                asked.push(ask(edge, vm, entry, limit));
            }
            None if asked.is_empty() => return Err(refusals),
            None => {}
        }
        let next_vm = tokio::time::sleep(NEXT_VM_DELAY);
        tokio::select! {
            biased;
            Some((vm, answer)) = asked.next() => match answer {
                Ok(stream) => {
                    edge.metrics.record_tunnel("opened");
                    return Ok(Tunnel::new(Rc::clone(&edge.paths.vms), vm, stream));
                }
                Err(refusal) => {
                    questions.vms.remove(&vm);
                    record_refusal(edge, &vm, refusal, &mut refusals);
                }
            },
            () = next_vm, if vms.len() > 0 => {}
            () = questions.all_late(), if vms.len() == 0 && refusals.has_answer() => {
                for vm in &questions.vms {
                    record_refusal(edge, vm, Refusal::Late, &mut refusals);
                }
                return Err(refusals);
            }
        }
        if refusals.unreachable >= MAX_UNREACHABLE {
            return Err(refusals);
        }
    }
}

/// Returns how long a request with `time_left` waits for the first answer of any vm.
fn first_answer_limit(time_left: Duration) -> Duration {
    FIRST_ANSWER_TIMEOUT.min(time_left / ANSWER_TIME_DIVISOR).max(ANSWER_TIMEOUT)
}

fn record_refusal(edge: &Edge, vm: &VmName, refusal: Refusal, refusals: &mut Refusals) {
    edge.metrics.record_tunnel(refusal.as_str());
    edge.paths.vms.borrow_mut().record_declined(vm, edge.now());
    refusals.record(refusal);
}

/// Returns the vms that can be asked for a tunnel, in the order in which they are asked.
fn vms_to_ask(edge: &Edge) -> Vec<VmName> {
    let hubs = edge.hubs.borrow();
    let own = hubs.profile().data_centre.clone();
    let view = edge.view.borrow();
    let able = view.peers.iter().filter(|(_, peer)| peer.token.is_some());
    let vms = able.map(|(vm, _)| (vm.clone(), hubs.data_centre_of(vm).unwrap_or_default()));
    let vms: Vec<(VmName, DataCentre)> = vms.collect();
    edge.paths.vms.borrow().order(vms, &own, || rand::rng().random(), edge.now())
}

async fn ask(
    edge: &Edge,
    vm: VmName,
    entry: &UpstreamEntry,
    limit: Duration,
) -> (VmName, Result<TcpStream, Refusal>) {
    let peer = edge.view.borrow().peers.get(&vm).cloned();
    let Some(peer) = peer else {
        return (vm, Err(Refusal::Declined));
    };
    let answer = tokio::time::timeout(limit, open_through(&peer, entry, limit)).await;
    (vm, answer.unwrap_or(Err(Refusal::Late)))
}

/// Asks one vm to connect to an upstream.
async fn open_through(
    peer: &PeerVm,
    entry: &UpstreamEntry,
    limit: Duration,
) -> Result<TcpStream, Refusal> {
    let request = connect_request(peer, entry).ok_or(Refusal::Declined)?;
    let stream = connect(peer.address, limit).await.map_err(|failure| match failure {
        ConnectFailure::Refused => Refusal::Declined,
        ConnectFailure::NoAnswer => Refusal::Late,
    })?;
    let handshake = http1::handshake(TokioIo::new(stream)).await;
    let (mut sender, connection) = handshake.map_err(|_| Refusal::Declined)?;
    tokio::task::spawn_local(connection.with_upgrades());
    let response = sender.send_request(request).await.map_err(|_| Refusal::Declined)?;
    match response.status() {
        StatusCode::OK => {}
        StatusCode::BAD_GATEWAY => return Err(Refusal::Unreachable),
        _ => return Err(Refusal::Declined),
    }
    let upgraded = hyper::upgrade::on(response).await.map_err(|_| Refusal::Declined)?;
    let parts = upgraded.downcast::<TokioIo<TcpStream>>().map_err(|_| Refusal::Declined)?;
    // An upstream sends nothing before its first request.
    if !parts.read_buf.is_empty() {
        return Err(Refusal::Declined);
    }
    Ok(parts.io.into_inner())
}

fn connect_request(peer: &PeerVm, entry: &UpstreamEntry) -> Option<Request<Empty<Bytes>>> {
    let target: Uri = entry.address.to_string().parse().ok()?;
    let mut request = Request::new(Empty::new());
    *request.method_mut() = Method::CONNECT;
    *request.uri_mut() = target;
    *request.headers_mut() = connect_headers(peer, entry)?;
    Some(request)
}

fn connect_headers(peer: &PeerVm, entry: &UpstreamEntry) -> Option<HeaderMap> {
    let mut headers = HeaderMap::new();
    headers.insert(TOKEN_HEADER, HeaderValue::from_str(peer.token.as_deref()?).ok()?);
    headers.insert(UPSTREAM_HEADER, HeaderValue::from_str(entry.name.as_str()).ok()?);
    headers.insert(STARTED_HEADER, HeaderValue::from(entry.started_ms));
    Some(headers)
}
