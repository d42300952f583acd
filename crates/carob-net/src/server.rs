//! Serving HTTP with xitca-web.

use std::convert::Infallible;
use std::future::Future;
use std::net::SocketAddr;
use std::pin::Pin;
use std::sync::Arc;
use std::task::{Context, Poll};
use std::thread::JoinHandle;
use std::time::Duration;

use bytes::{Bytes, BytesMut};
use carobglade::{Error, ErrorKind};
use http::request::Parts;
use http::{HeaderMap, HeaderName, HeaderValue, Method};
use serde::Serialize;
use xitca_web::HttpServer;
use xitca_web::body::{Body, BodyExt, BoxBody, Frame, RequestBody, ResponseBody};
use xitca_web::http::{WebRequest, WebResponse};
use xitca_web::service::fn_service;

use crate::chunk_channel::{ChunkReceiver, ChunkSender, IncompleteBody, chunk_channel};

const HEADERS_MAX: usize = 64; // headers of one request
const HEAD_BYTES: usize = 32 * 1024; // bytes of one request's header section

/// How a server listens.
#[derive(Clone, Debug)]
pub struct ServeOptions {
    /// Address to bind.
    pub address: SocketAddr,
    /// Worker threads.
    pub threads: usize,
    /// Time in which a request's header section must arrive.
    pub head_timeout: Duration,
    /// Time after which an idle connection is closed.
    pub idle_timeout: Duration,
}

impl Default for ServeOptions {
    fn default() -> Self {
        ServeOptions {
            address: SocketAddr::from(([127, 0, 0, 1], 0)),
            threads: 2,
            head_timeout: Duration::from_secs(5),
            idle_timeout: Duration::from_secs(30),
        }
    }
}

/// A request as handlers see it.
pub struct Request {
    parts: Parts,
    body: RequestBody,
    remote_address: SocketAddr,
}

impl Request {
    /// The method.
    pub fn method(&self) -> &Method {
        &self.parts.method
    }

    /// The address of the other end of the connection.
    pub fn remote_address(&self) -> SocketAddr {
        self.remote_address
    }

    /// The path without the query.
    pub fn path(&self) -> &str {
        self.parts.uri.path()
    }

    /// The query, without the question mark.
    pub fn query(&self) -> &str {
        self.parts.uri.query().unwrap_or("")
    }

    /// The value of `name` in the query, as written.
    pub fn query_param(&self, name: &str) -> Option<&str> {
        let pairs = self.query().split('&').filter_map(|pair| pair.split_once('='));
        pairs.into_iter().find(|(key, _)| *key == name).map(|(_, value)| value)
    }

    /// The headers.
    pub fn headers(&self) -> &HeaderMap {
        &self.parts.headers
    }

    /// Reads the whole body.
    ///
    /// # Errors
    ///
    /// `TooLarge` beyond `limit` bytes, `InvalidRequest` when the body breaks off or takes longer
    /// than `within`.
    pub async fn read_body(&mut self, limit: usize, within: Duration) -> carobglade::Result<Bytes> {
        let reading = read_all(&mut self.body, limit);
        tokio::time::timeout(within, reading).await.unwrap_or_else(|_| {
            let message = format!("body did not arrive within {} ms", within.as_millis());
            Err(Error::new(ErrorKind::InvalidRequest, message))
        })
    }
}

async fn read_all(body: &mut RequestBody, limit: usize) -> carobglade::Result<Bytes> {
    let mut buf = BytesMut::new();
    while let Some(chunk) = body.data().await {
        let chunk = chunk.map_err(|err| {
            Error::new(ErrorKind::InvalidRequest, format!("body broke off: {err}"))
        })?;
        if buf.len() + chunk.len() > limit {
            let message = format!("body is longer than {limit} bytes");
            return Err(Error::new(ErrorKind::TooLarge, message));
        }
        buf.extend_from_slice(&chunk);
    }
    Ok(buf.freeze())
}

struct ChunkBody(ChunkReceiver);

impl Body for ChunkBody {
    type Data = Bytes;
    type Error = IncompleteBody;

    fn poll_frame(
        mut self: Pin<&mut Self>,
        cx: &mut Context<'_>,
    ) -> Poll<Option<Result<Frame<Bytes>, Self::Error>>> {
        self.0.poll_chunk(cx).map(|chunk| chunk.map(|chunk| chunk.map(Frame::Data)))
    }
}

enum ReplyBody {
    Whole(Bytes),
    Chunks(ChunkBody),
}

/// An answer of a handler.
pub struct Reply {
    status: u16,
    headers: HeaderMap,
    body: ReplyBody,
}

impl Reply {
    /// An answer with `body` of `content_type`.
    pub fn new(status: u16, content_type: &str, body: impl Into<Bytes>) -> Self {
        let reply =
            Reply { status, headers: HeaderMap::new(), body: ReplyBody::Whole(body.into()) };
        reply.with_header("content-type", content_type)
    }

    /// A plain text answer.
    pub fn text(status: u16, text: &str) -> Self {
        Reply::new(status, "text/plain; charset=utf-8", text.to_owned())
    }

    /// A JSON answer.
    pub fn json<T: Serialize>(status: u16, value: &T) -> Self {
        match serde_json::to_vec(value) {
            Ok(body) => Reply::new(status, "application/json", body),
            Err(err) => Reply::text(500, &err.to_string()),
        }
    }

    /// A streamed answer and the sender of its chunks.
    pub fn stream(status: u16) -> (ChunkSender, Self) {
        let (sender, receiver) = chunk_channel();
        let body = ReplyBody::Chunks(ChunkBody(receiver));
        (sender, Reply { status, headers: HeaderMap::new(), body })
    }

    /// Adds a header; one whose value is not valid is left out.
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

    /// The status.
    pub fn status(&self) -> u16 {
        self.status
    }

    fn into_web(self) -> WebResponse {
        let body = match self.body {
            ReplyBody::Whole(bytes) => ResponseBody::<BoxBody>::bytes(bytes),
            ReplyBody::Chunks(chunks) => ResponseBody::boxed(chunks),
        };
        let mut response = WebResponse::new(body);
        *response.status_mut() = http::StatusCode::from_u16(self.status)
            .unwrap_or(http::StatusCode::INTERNAL_SERVER_ERROR);
        *response.headers_mut() = self.headers;
        response
    }
}

/// A running server, stopped when told.
pub struct Server {
    stop: Box<dyn Fn() + Send>,
    thread: Option<JoinHandle<()>>,
}

impl Server {
    /// Stops listening and ends the worker threads.
    pub fn stop(mut self) {
        (self.stop)();
        if let Some(thread) = self.thread.take() {
            let _ = thread.join();
        }
    }
}

/// Serves `handler` on threads of its own.
///
/// # Errors
///
/// When the address cannot be bound.
pub fn serve<F, Fut>(options: ServeOptions, handler: F) -> std::io::Result<Server>
where
    F: Fn(Request) -> Fut + Send + Sync + 'static,
    Fut: Future<Output = Reply> + 'static,
{
    let handler = Arc::new(handler);
    let service = fn_service(move |request: WebRequest| {
        let handler = Arc::clone(&handler);
        async move {
            let (parts, body) = request.into_parts();
            let remote_address = *body.socket_addr();
            let (_, body) = body.replace_body(());
            let reply = handler(Request { parts, body, remote_address }).await;
            Ok::<_, Infallible>(reply.into_web())
        }
    });
    // The standard listener reuses an address whose former connections are still winding down.
    let listener = std::net::TcpListener::bind(options.address)?;
    let mut running = HttpServer::serve(service)
        .worker_threads(options.threads)
        .disable_signal()
        .request_head_timeout(options.head_timeout)
        .keep_alive_timeout(options.idle_timeout)
        .max_request_headers::<HEADERS_MAX>()
        .max_read_buf_size::<HEAD_BYTES>()
        .listen(listener)?
        .run();
    let handle = running.handle()?;
    let thread = std::thread::spawn(move || {
        let _ = running.wait();
    });
    Ok(Server { stop: Box::new(move || handle.stop(false)), thread: Some(thread) })
}
