//! An HTTP server on xitca-web.

use std::convert::Infallible;
use std::future::Future;
use std::net::{Shutdown, SocketAddr};
use std::pin::Pin;
use std::sync::Arc;
use std::task::{Context, Poll};
use std::thread::JoinHandle;
use std::time::Duration;

use bytes::{Bytes, BytesMut};
use carobglade::{Error, ErrorKind};
use http::header::CONTENT_LENGTH;
use http::request::Parts;
use http::{HeaderMap, HeaderName, HeaderValue, Method};
use serde::Serialize;
use xitca_web::HttpServer;
use xitca_web::body::{Body, BodyExt, BoxBody, Frame, RequestBody, ResponseBody};
use xitca_web::http::{WebRequest, WebResponse};
use xitca_web::service::fn_service;

use crate::body_budget::{BodyBudget, ReservedBody};
use crate::chunk_channel::{ChunkReceiver, ChunkSender, IncompleteBody, chunk_channel};
use crate::keep_alive::{KeepAlivePromises, PromiseGuard};

const MAX_HEADERS: usize = 64;
/// Time in which some of the requests that hold the memory for bodies have ended.
const OVERLOADED_RETRY_AFTER: Duration = Duration::from_millis(500);
/// Time for which the body of a refused request is read and dropped.
const DISCARD_TIMEOUT: Duration = Duration::from_secs(1);
const MAX_HEAD_BYTES: usize = 32 * 1024; // of the header section of one request

/// Options for [`serve`].
#[derive(Clone, Debug)]
pub struct ServeOptions {
    /// Address to bind to.
    pub address: SocketAddr,
    /// Number of worker threads.
    pub threads: usize,
    /// Maximum time for the header section of a request to arrive.
    pub head_timeout: Duration,
    /// Time after which an idle connection is closed.
    pub idle_timeout: Duration,
    /// Whether responses tell callers for how long they may use their connections again.
    pub announces_idle_time: bool,
}

impl Default for ServeOptions {
    fn default() -> Self {
        ServeOptions {
            address: SocketAddr::from(([127, 0, 0, 1], 0)),
            threads: 2,
            head_timeout: Duration::from_secs(5),
            idle_timeout: Duration::from_secs(30),
            announces_idle_time: false,
        }
    }
}

/// A request for a handler.
pub struct Request {
    parts: Parts,
    body: RequestBody,
    remote_address: SocketAddr,
}

impl Request {
    /// Returns the method.
    pub fn method(&self) -> &Method {
        &self.parts.method
    }

    /// Returns the client's address.
    pub fn remote_address(&self) -> SocketAddr {
        self.remote_address
    }

    /// Returns the path without the query.
    pub fn path(&self) -> &str {
        self.parts.uri.path()
    }

    /// Returns the query without the question mark; empty when the request has none.
    pub fn query(&self) -> &str {
        self.parts.uri.query().unwrap_or("")
    }

    /// Returns the first value of `name` in the query, without percent-decoding.
    pub fn query_param(&self, name: &str) -> Option<&str> {
        let pairs = self.query().split('&').filter_map(|pair| pair.split_once('='));
        pairs.into_iter().find(|(key, _)| *key == name).map(|(_, value)| value)
    }

    /// Returns the headers.
    pub fn headers(&self) -> &HeaderMap {
        &self.parts.headers
    }

    /// Reads the whole body.
    ///
    /// # Errors
    ///
    /// `TooLarge` when the body is longer than `limit` bytes, `InvalidRequest` when the connection
    /// breaks before its end or the body takes longer than `timeout`.
    pub async fn read_body(
        &mut self,
        limit: usize,
        timeout: Duration,
    ) -> carobglade::Result<Bytes> {
        let mut unlimited = BodyBudget::new(usize::MAX).reserve();
        self.read_body_within(limit, timeout, &mut unlimited).await
    }

    /// Reads the whole body, whose memory is taken from `reserved`. That for the length that the head
    /// names is taken at once, so that a body that does not fit is refused before it comes.
    ///
    /// # Errors
    ///
    /// As [`Self::read_body`], and `Overloaded` when the bodies of other requests take the memory.
    pub async fn read_body_within(
        &mut self,
        limit: usize,
        timeout: Duration,
        reserved: &mut ReservedBody,
    ) -> carobglade::Result<Bytes> {
        let length = self.parts.headers.get(CONTENT_LENGTH);
        let length = length.and_then(|value| value.to_str().ok()?.parse().ok()).unwrap_or(0);
        // One that is too long is read up to the limit, so that its refusal arrives.
        let reading = read_all(&mut self.body, limit.min(length), limit, reserved);
        let read = tokio::time::timeout(timeout, reading).await.unwrap_or_else(|_| {
            let message = format!("body did not arrive within {} ms", timeout.as_millis());
            Err(Error::new(ErrorKind::InvalidRequest, message))
        });
        if read.as_ref().is_err_and(|err| err.kind() == ErrorKind::Overloaded) {
            discard(&mut self.body, limit).await;
        }
        read
    }
}

/// Reads what is left of the body of a request that is refused, for a moment, so that the refusal is
/// not lost with the connection.
async fn discard(body: &mut RequestBody, limit: usize) {
    let discarding = async {
        let mut left = limit;
        while let Some(Ok(chunk)) = body.data().await {
            left = left.saturating_sub(chunk.len());
            if left == 0 {
                return;
            }
        }
    };
    // What comes later is not waited for.
    let _ = tokio::time::timeout(DISCARD_TIMEOUT, discarding).await;
}

fn reserve(reserved: &mut ReservedBody, bytes: usize) -> carobglade::Result<()> {
    if reserved.grow_to(bytes) {
        return Ok(());
    }
    let message = "the bodies of other requests take the memory for them";
    Err(Error::new(ErrorKind::Overloaded, message).with_retry_after(OVERLOADED_RETRY_AFTER))
}

async fn read_all(
    body: &mut RequestBody,
    length: usize,
    limit: usize,
    reserved: &mut ReservedBody,
) -> carobglade::Result<Bytes> {
    reserve(reserved, length)?;
    let mut buf = BytesMut::with_capacity(length);
    while let Some(chunk) = body.data().await {
        let chunk = chunk.map_err(|err| {
            Error::new(ErrorKind::InvalidRequest, format!("body broke off: {err}"))
        })?;
        if buf.len() + chunk.len() > limit {
            let message = format!("body is longer than {limit} bytes");
            return Err(Error::new(ErrorKind::TooLarge, message));
        }
        reserve(reserved, buf.len() + chunk.len())?;
        buf.extend_from_slice(&chunk);
        // A buffer grows by more than what it needs.
        reserve(reserved, buf.capacity())?;
    }
    Ok(buf.freeze())
}

/// A streamed body, and the promise whose time begins at its end.
struct ChunkBody {
    chunks: ChunkReceiver,
    _promise: Option<PromiseGuard>,
}

impl Body for ChunkBody {
    type Data = Bytes;
    type Error = IncompleteBody;

    fn poll_frame(
        mut self: Pin<&mut Self>,
        cx: &mut Context<'_>,
    ) -> Poll<Option<Result<Frame<Bytes>, Self::Error>>> {
        self.chunks.poll_chunk(cx).map(|chunk| chunk.map(|chunk| chunk.map(Frame::Data)))
    }
}

enum ReplyBody {
    Whole(Bytes),
    Chunks(ChunkReceiver),
}

/// The response of a handler.
pub struct Reply {
    status: u16,
    headers: HeaderMap,
    body: ReplyBody,
}

impl Reply {
    /// Creates a response with `body` of the type `content_type`.
    pub fn new(status: u16, content_type: &str, body: impl Into<Bytes>) -> Self {
        let reply =
            Reply { status, headers: HeaderMap::new(), body: ReplyBody::Whole(body.into()) };
        reply.with_header("content-type", content_type)
    }

    /// Creates a plain text response.
    pub fn text(status: u16, text: &str) -> Self {
        Reply::new(status, "text/plain; charset=utf-8", text.to_owned())
    }

    /// Creates a JSON response, or a 500 response when `value` cannot be serialized.
    pub fn json<T: Serialize>(status: u16, value: &T) -> Self {
        match serde_json::to_vec(value) {
            Ok(body) => Reply::new(status, "application/json", body),
            Err(err) => Reply::text(500, &err.to_string()),
        }
    }

    /// Creates a streamed response and the sender for its chunks.
    pub fn stream(status: u16) -> (ChunkSender, Self) {
        let (sender, receiver) = chunk_channel();
        let body = ReplyBody::Chunks(receiver);
        (sender, Reply { status, headers: HeaderMap::new(), body })
    }

    /// Sets a header. A header with an invalid name or value is left out.
    pub fn with_header(mut self, name: &str, value: &str) -> Self {
        let name = HeaderName::from_bytes(name.as_bytes());
        if let (Ok(name), Ok(value)) = (name, HeaderValue::from_str(value)) {
            self.headers.insert(name, value);
        }
        self
    }

    /// Replaces all headers.
    pub fn with_headers(mut self, headers: HeaderMap) -> Self {
        self.headers = headers;
        self
    }

    /// Returns the status.
    pub fn status(&self) -> u16 {
        self.status
    }

    fn into_web_response(self, promise: Option<PromiseGuard>) -> WebResponse {
        let body = match self.body {
            ReplyBody::Whole(bytes) => ResponseBody::<BoxBody>::bytes(bytes),
            ReplyBody::Chunks(chunks) => {
                ResponseBody::boxed(ChunkBody { chunks, _promise: promise })
            }
        };
        let mut response = WebResponse::new(body);
        *response.status_mut() = http::StatusCode::from_u16(self.status)
            .unwrap_or(http::StatusCode::INTERNAL_SERVER_ERROR);
        *response.headers_mut() = self.headers;
        response
    }
}

/// A running server.
pub struct Server {
    stop: Box<dyn Fn() + Send + Sync>,
    /// The same socket that the workers accept connections from.
    listener: socket2::Socket,
    thread: Option<JoinHandle<()>>,
    promises: Arc<KeepAlivePromises>,
}

impl Server {
    /// Tells callers with each response from now on that their connections close. Idle connections stay
    /// open until the server stops.
    pub fn announce_stop(&self) {
        self.promises.end();
    }

    /// Returns the time for which callers may use idle connections, as they were told.
    pub fn promised_time(&self) -> Duration {
        self.promises.remaining()
    }

    /// Stops listening, closes all connections and ends the worker threads.
    pub fn stop(mut self) {
        (self.stop)();
        if let Some(thread) = self.thread.take() {
            let _ = thread.join();
        }
    }

    /// Refuses new connections, and stops after `delay`, in which requests on connections that were
    /// just accepted get their responses.
    pub fn stop_after(self, delay: Duration) {
        if let Err(err) = self.listener.shutdown(Shutdown::Both) {
            log::debug!("server: failed to stop listening: {err}");
        }
        std::thread::sleep(delay);
        self.stop();
    }
}

/// Starts a server that handles requests with `handler` on its own threads.
///
/// # Errors
///
/// Returns an error when the address cannot be bound.
pub fn serve<F, Fut>(options: ServeOptions, handler: F) -> std::io::Result<Server>
where
    F: Fn(Request) -> Fut + Send + Sync + 'static,
    Fut: Future<Output = Reply> + 'static,
{
    let handler = Arc::new(handler);
    let promises = Arc::new(KeepAlivePromises::default());
    let announced = Arc::clone(&promises);
    let announces = options.announces_idle_time;
    let service = fn_service(move |request: WebRequest| {
        let (handler, promises) = (Arc::clone(&handler), Arc::clone(&announced));
        async move {
            let (parts, body) = request.into_parts();
            let remote_address = *body.socket_addr();
            let (_, body) = body.replace_body(());
            let mut reply = handler(Request { parts, body, remote_address }).await;
            let announce = announces || promises.has_ended();
            let promise = announce.then(|| promises.announce(&mut reply.headers)).flatten();
            Ok::<_, Infallible>(reply.into_web_response(promise))
        }
    });
    // The standard library sets SO_REUSEADDR, so that an address with connections in TIME_WAIT can
    // be bound again.
    let listener = std::net::TcpListener::bind(options.address)?;
    // Accepted connections inherit the option. Without it, the second chunk of a response waits
    // for the acknowledgement of the first.
    socket2::SockRef::from(&listener).set_tcp_nodelay(true)?;
    let shared_listener = socket2::Socket::from(listener.try_clone()?);
    let mut running = HttpServer::serve(service)
        .worker_threads(options.threads)
        .disable_signal()
        .request_head_timeout(options.head_timeout)
        .keep_alive_timeout(options.idle_timeout)
        .max_request_headers::<MAX_HEADERS>()
        .max_read_buf_size::<MAX_HEAD_BYTES>()
        .listen(listener)?
        .run();
    let handle = running.handle()?;
    let thread = std::thread::spawn(move || {
        let _ = running.wait();
    });
    Ok(Server {
        stop: Box::new(move || handle.stop(false)),
        listener: shared_listener,
        thread: Some(thread),
        promises,
    })
}
