//! A pool of HTTP connections to upstreams.

use std::cell::RefCell;
use std::collections::HashMap;
use std::net::SocketAddr;
use std::rc::{Rc, Weak};
use std::time::Duration;

use bytes::Bytes;
use carob_net::{BodyEnd, Clock, OddHead, WatchFlag, WatchedStream};
use carobglade::{AttemptOutcome, UpstreamName};
use http::{HeaderMap, Request, StatusCode};
use http_body_util::{BodyExt, Full};
use hyper::body::Incoming;
use hyper::client::conn::http1::{self, SendRequest};
use hyper_util::rt::TokioIo;
use tokio::net::TcpStream;
use tokio::task::AbortHandle;

use crate::byte_budget::ByteBudget;
use crate::connect::{ConnectFailure, ConnectionSource, FreshConnection, Tunnel, connect};
use crate::keep_alive::{DEFAULT_IDLE_TIMEOUT, IDLE_FRACTION, idle_timeout};
use crate::outgoing_request::OutgoingRequest;

const CONNECT_TIMEOUT: Duration = Duration::from_millis(300);
/// Maximum size of the head of a response, and of what is read ahead of its body.
const MAX_BUFFER_BYTES: usize = 64 << 10;
/// A connection that speaks HTTP.
struct HttpConnection {
    sender: SendRequest<Full<Bytes>>,
    task: AbortHandle,
    watch: WatchFlag,
}

/// A connection that waits for its next request.
struct IdleConnection {
    http: HttpConnection,
    expires_at: Duration,
}

/// Idle connections to all upstreams, for reuse.
pub struct ConnectionPool {
    clock: Rc<dyn Clock>,
    idle: RefCell<HashMap<(UpstreamName, SocketAddr), Vec<IdleConnection>>>,
}

/// A connection in use by one request; closed on drop unless the response was read to the end.
struct PooledConnection {
    pool: Weak<ConnectionPool>,
    key: (UpstreamName, SocketAddr),
    /// None once it was returned to the pool.
    http: Option<HttpConnection>,
    idle_timeout: Option<Duration>,
    /// The tunnel that the connection uses; it carries one request.
    tunnel: Option<Tunnel>,
}

impl Drop for PooledConnection {
    fn drop(&mut self) {
        if let Some(http) = &self.http {
            http.task.abort();
        }
    }
}

/// A response whose body is read chunk by chunk.
pub struct IncomingResponse {
    /// The HTTP status.
    pub status: u16,
    /// The headers as received.
    pub headers: HeaderMap,
    end: BodyEnd,
    body: Incoming,
    /// Whether no byte of the body has arrived yet.
    empty: bool,
    connection: Option<PooledConnection>,
}

impl ConnectionPool {
    /// Creates an empty pool.
    pub fn new(clock: Rc<dyn Clock>) -> Rc<Self> {
        Rc::new(ConnectionPool { clock, idle: RefCell::default() })
    }

    /// Closes the idle connections to an upstream.
    pub fn close_idle(&self, name: &UpstreamName) {
        self.idle.borrow_mut().retain(|(known, _), list| {
            let keep = known != name;
            if !keep {
                list.iter().for_each(|idle| idle.http.task.abort());
            }
            keep
        });
    }

    /// Closes the idle connections that expired or were closed by the upstream.
    pub fn close_expired(&self) {
        let now = self.clock.now();
        self.idle.borrow_mut().retain(|_, list| {
            list.retain(|idle| {
                let keep = now < idle.expires_at && !idle.http.sender.is_closed();
                if !keep {
                    idle.http.task.abort();
                }
                keep
            });
            !list.is_empty()
        });
    }

    fn take_idle(&self, key: &(UpstreamName, SocketAddr)) -> Option<HttpConnection> {
        let now = self.clock.now();
        let mut idle = self.idle.borrow_mut();
        let list = idle.get_mut(key)?;
        while let Some(found) = list.pop() {
            let IdleConnection { http, expires_at } = found;
            if now < expires_at && http.sender.is_ready() {
                return Some(http);
            }
            http.task.abort();
        }
        None
    }

    /// Reports whether an address refuses connections, as that of a process that ended does.
    pub async fn is_refused(&self, address: SocketAddr) -> bool {
        connect(address, CONNECT_TIMEOUT).await.err() == Some(ConnectFailure::Refused)
    }

    /// Reports whether there is an idle connection to an upstream.
    pub fn has_idle(&self, name: &UpstreamName, address: SocketAddr) -> bool {
        let now = self.clock.now();
        let idle = self.idle.borrow();
        let list = idle.get(&(name.clone(), address));
        list.is_some_and(|list| list.iter().any(|idle| now < idle.expires_at))
    }

    /// Sends a request over a direct connection and waits for the status and headers.
    ///
    /// # Errors
    ///
    /// Returns `Unsent` when no byte was sent, and `TransportError` when the upstream may have
    /// received some.
    pub async fn send(
        self: &Rc<Self>,
        name: &UpstreamName,
        address: SocketAddr,
        request: OutgoingRequest,
    ) -> Result<IncomingResponse, AttemptOutcome> {
        let request = request.build().ok_or(AttemptOutcome::Unsent)?;
        let mut source = ConnectionSource::None;
        let unsent = match self.send_idle(name, address, request, &mut source).await {
            Ok(response) => return response,
            Err(unsent) => *unsent,
        };
        self.send_new(name, address, unsent).await
    }

    /// Sends a request that may be repeated as [`send`](Self::send) does, and once more over a new
    /// connection if an idle one was closed meanwhile.
    ///
    /// # Errors
    ///
    /// As [`send`](Self::send).
    pub async fn send_repeatable(
        self: &Rc<Self>,
        name: &UpstreamName,
        address: SocketAddr,
        request: OutgoingRequest,
    ) -> Result<IncomingResponse, AttemptOutcome> {
        let first = request.clone().build().ok_or(AttemptOutcome::Unsent)?;
        let again = request.build().ok_or(AttemptOutcome::Unsent)?;
        match self.send_idle(name, address, first, &mut ConnectionSource::None).await {
            Ok(Err(AttemptOutcome::TransportError)) | Err(_) => {
                self.send_new(name, address, again).await
            }
            Ok(response) => response,
        }
    }

    /// Sends a call whose response carries no id over a new connection, which is closed after it. An
    /// idle connection to the upstream, which limits their number, is closed instead: a response that
    /// lies there could be taken for that of the call.
    ///
    /// # Errors
    ///
    /// As [`send`](Self::send).
    pub async fn send_alone(
        self: &Rc<Self>,
        name: &UpstreamName,
        address: SocketAddr,
        request: OutgoingRequest,
    ) -> Result<IncomingResponse, AttemptOutcome> {
        let request = request.build().ok_or(AttemptOutcome::Unsent)?;
        if let Some(idle) = self.take_idle(&(name.clone(), address)) {
            idle.task.abort();
        }
        let mut response = self.send_new(name, address, request).await?;
        if let Some(connection) = &mut response.connection {
            connection.idle_timeout = None;
        }
        Ok(response)
    }

    /// Sends a request over a new direct connection.
    async fn send_new(
        self: &Rc<Self>,
        name: &UpstreamName,
        address: SocketAddr,
        request: Request<Full<Bytes>>,
    ) -> Result<IncomingResponse, AttemptOutcome> {
        let stream = connect(address, CONNECT_TIMEOUT).await;
        let stream = stream.map_err(|_| AttemptOutcome::Unsent)?;
        self.send_over(name, address, FreshConnection::Direct(stream), request).await
    }

    /// Sends a request over an idle connection. Returns it back if no byte was sent, because there is
    /// no such connection.
    pub async fn send_idle(
        self: &Rc<Self>,
        name: &UpstreamName,
        address: SocketAddr,
        mut request: Request<Full<Bytes>>,
        source: &mut ConnectionSource,
    ) -> Result<Result<IncomingResponse, AttemptOutcome>, Box<Request<Full<Bytes>>>> {
        let key = (name.clone(), address);
        while let Some(idle) = self.take_idle(&key) {
            *source = ConnectionSource::Kept;
            let connection = self.pooled_connection(&key, idle);
            match exchange(connection, request).await {
                Ok(response) => return Ok(Ok(response)),
                Err(Some(unsent)) => request = unsent,
                Err(None) => return Ok(Err(AttemptOutcome::TransportError)),
            }
        }
        Err(Box::new(request))
    }

    /// Sends a request over a new connection. A direct one is kept for further requests.
    ///
    /// # Errors
    ///
    /// As [`send`](Self::send).
    pub async fn send_over(
        self: &Rc<Self>,
        name: &UpstreamName,
        address: SocketAddr,
        connection: FreshConnection,
        request: Request<Full<Bytes>>,
    ) -> Result<IncomingResponse, AttemptOutcome> {
        let (stream, tunnel) = match connection {
            FreshConnection::Direct(stream) => (Some(stream), None),
            FreshConnection::Tunnel(mut tunnel) => (tunnel.take_stream(), Some(tunnel)),
        };
        let started = start_http(stream.ok_or(AttemptOutcome::Unsent)?).await;
        let http = started.ok_or(AttemptOutcome::Unsent)?;
        let key = (name.clone(), address);
        let mut connection = self.pooled_connection(&key, http);
        connection.tunnel = tunnel;
        match exchange(connection, request).await {
            Ok(response) => Ok(response),
            Err(Some(_)) => Err(AttemptOutcome::Unsent),
            Err(None) => Err(AttemptOutcome::TransportError),
        }
    }

    /// Keeps a new direct connection for further requests.
    pub async fn add_idle(&self, name: &UpstreamName, address: SocketAddr, stream: TcpStream) {
        let Some(http) = start_http(stream).await else {
            return;
        };
        http.watch.set(true);
        let expires_at = self.clock.now() + DEFAULT_IDLE_TIMEOUT.mul_f64(IDLE_FRACTION);
        let idle = IdleConnection { http, expires_at };
        self.idle.borrow_mut().entry((name.clone(), address)).or_default().push(idle);
    }

    fn pooled_connection(
        self: &Rc<Self>,
        key: &(UpstreamName, SocketAddr),
        http: HttpConnection,
    ) -> PooledConnection {
        PooledConnection {
            pool: Rc::downgrade(self),
            key: key.clone(),
            http: Some(http),
            idle_timeout: None,
            tunnel: None,
        }
    }

    fn release(&self, connection: &mut PooledConnection) {
        let Some(keep) = connection.idle_timeout.filter(|_| connection.tunnel.is_none()) else {
            return;
        };
        let Some(http) = connection.http.take_if(|http| !http.sender.is_closed()) else {
            return;
        };
        http.watch.set(true);
        let idle = IdleConnection { http, expires_at: self.clock.now() + keep };
        self.idle.borrow_mut().entry(connection.key.clone()).or_default().push(idle);
    }
}

/// Starts to speak HTTP on a new connection.
async fn start_http(stream: TcpStream) -> Option<HttpConnection> {
    let stream = WatchedStream::new(stream);
    let watch = stream.watch_flag();
    // Nothing came before the first request: a reset is found as that of a request under way.
    watch.set(false);
    let mut builder = http1::Builder::new();
    builder.max_buf_size(MAX_BUFFER_BYTES);
    let (sender, connection) = builder.handshake(TokioIo::new(stream)).await.ok()?;
    let task = tokio::task::spawn_local(async move {
        if let Err(err) = connection.await {
            log::debug!(target: "pool", error:% = err; "Upstream connection ended with an error.");
        }
    });
    Some(HttpConnection { sender, task: task.abort_handle(), watch })
}

/// Sends a request over a connection. On failure, returns the request if no byte of it was sent.
async fn exchange(
    mut connection: PooledConnection,
    request: Request<Full<Bytes>>,
) -> Result<IncomingResponse, Option<Request<Full<Bytes>>>> {
    let Some(HttpConnection { sender, watch, .. }) = &mut connection.http else {
        return Err(Some(request));
    };
    if sender.ready().await.is_err() {
        return Err(Some(request));
    }
    let method = request.method().clone();
    watch.await_head(true);
    let response = sender.try_send_request(request).await;
    let response = response.map_err(|mut err| err.take_message())?;
    watch.set(false);
    watch.await_head(false);
    let end = BodyEnd::of(&method, response.status(), response.headers()).map_err(|odd| {
        log_odd_head(response.status(), odd);
        None
    })?;
    connection.idle_timeout = idle_timeout(&response).filter(|_| end == BodyEnd::Told);
    let (parts, body) = response.into_parts();
    Ok(IncomingResponse {
        status: parts.status.as_u16(),
        headers: parts.headers,
        end,
        body,
        empty: true,
        connection: Some(connection),
    })
}

fn log_odd_head(status: StatusCode, odd: OddHead) {
    let status = status.as_u16();
    match odd {
        OddHead::Status => {
            log::info!(target: "pool", status = status; "A response has a status that is none.");
        }
        OddHead::BodyEnd => {
            log::info!(target: "pool", status = status; "A response does not tell how its body ends.");
        }
    }
}

impl IncomingResponse {
    /// Reports whether the response tells its end by itself, not by the end of its connection.
    pub fn is_delimited(&self) -> bool {
        self.end == BodyEnd::Told
    }

    /// Reports whether the response may have been cut behind its head.
    fn is_doubtful(&self) -> bool {
        let status = StatusCode::from_u16(self.status).unwrap_or_default();
        self.end.is_doubtful(status, self.empty)
    }

    /// Returns the next chunk, or `None` at the end of the body.
    ///
    /// # Errors
    ///
    /// Returns `TransportError` when the connection fails before the end of the body, or a success
    /// ends with its connection and without any byte of a body.
    pub async fn next_chunk(&mut self) -> Result<Option<Bytes>, AttemptOutcome> {
        loop {
            match self.body.frame().await {
                None if self.is_doubtful() => return Err(AttemptOutcome::TransportError),
                None => {
                    self.finish();
                    return Ok(None);
                }
                Some(Err(_)) => return Err(AttemptOutcome::TransportError),
                Some(Ok(frame)) => {
                    if let Ok(data) = frame.into_data() {
                        self.empty &= data.is_empty();
                        return Ok(Some(data));
                    }
                }
            }
        }
    }

    /// Reads the remaining body.
    ///
    /// # Errors
    ///
    /// Returns `TransportError` when the connection fails, or the body is longer than `limit` bytes
    /// or than `budget` has room for.
    pub async fn read_to_end(
        &mut self,
        limit: usize,
        budget: &Rc<ByteBudget>,
    ) -> Result<Bytes, AttemptOutcome> {
        let mut reserved = budget.reserve();
        let mut body = Vec::new();
        while let Some(chunk) = self.next_chunk().await? {
            if body.len() + chunk.len() > limit || !reserved.grow(chunk.len()) {
                log::warn!(target: "pool", status = self.status, bytes = body.len(), limit = limit; "A response is too long and is not read to its end.");
                return Err(AttemptOutcome::TransportError);
            }
            body.extend_from_slice(&chunk);
        }
        Ok(body.into())
    }

    /// Returns the connection to the pool.
    fn finish(&mut self) {
        let Some(mut connection) = self.connection.take() else {
            return;
        };
        let Some(pool) = connection.pool.upgrade() else {
            return;
        };
        pool.release(&mut connection);
    }
}
