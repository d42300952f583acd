//! A caller's connection: its stream, and whether a request is in progress on it.

use std::cell::Cell;
use std::future::poll_fn;
use std::io::{self, IoSlice};
use std::pin::Pin;
use std::rc::Rc;
use std::task::{Context, Poll};
use std::time::Duration;

use carobglade::ConnectionStage;
use tokio::io::{AsyncRead, AsyncWrite, ReadBuf};
use tokio::net::TcpStream;
use tokio::sync::Notify;

use crate::connect::set_reset_on_close;
use crate::connection_gate::GateConnection;
use crate::edge::Edge;
use crate::head_limit::head_limit;
use crate::in_flight::InFlightGuard;

/// Bytes of an empty line. Before a request they are ignored.
const LINE_END: &[u8] = b"\r\n";

/// What is known about the requests on a connection.
pub struct ConnectionState {
    edge: Rc<Edge>,
    /// Its place among the connections of callers.
    gate: Rc<GateConnection>,
    serving: Cell<bool>,
    /// Whether the body of the request in progress is still read.
    receiving: Cell<bool>,
    /// Time of the last byte that was written, or of the end of the last request.
    idle_since: Cell<Duration>,
    /// Whether bytes wait to be written because the caller takes none.
    write_blocked: Cell<bool>,
    /// Time of the first byte of a head that is not complete.
    head_began: Cell<Option<Duration>>,
    /// Bytes of the head that is not complete.
    head_bytes: Cell<usize>,
    /// Counts the head that is not complete.
    partial_head: Cell<Option<InFlightGuard>>,
    /// Whether a response is under way whose caller takes the end of the connection for its end.
    unframed: Cell<bool>,
    /// Wakes the connection when a request ended.
    request_ended: Notify,
}

/// Keeps a request in progress until its response was written.
pub struct ServingGuard(Rc<ConnectionState>);

impl ConnectionState {
    /// Creates the state of a connection that was just accepted.
    pub fn new(edge: Rc<Edge>, gate: Rc<GateConnection>) -> Rc<Self> {
        Rc::new(ConnectionState {
            gate,
            serving: Cell::new(false),
            receiving: Cell::new(false),
            idle_since: Cell::new(edge.now()),
            write_blocked: Cell::new(false),
            head_began: Cell::new(None),
            head_bytes: Cell::new(0),
            partial_head: Cell::new(None),
            unframed: Cell::new(false),
            request_ended: Notify::new(),
            edge,
        })
    }

    /// Records that a whole head was read; the request ends when the guard is dropped. `has_body`
    /// tells whether a body follows.
    pub fn begin_request(self: &Rc<Self>, has_body: bool) -> ServingGuard {
        self.serving.set(true);
        self.receiving.set(has_body);
        let stage = if has_body { ConnectionStage::PartialBody } else { ConnectionStage::Serving };
        self.gate.set_stage(stage);
        self.head_began.set(None);
        self.partial_head.set(None);
        ServingGuard(Rc::clone(self))
    }

    /// Completes once a request has ended while the process stops and no other one has begun.
    pub async fn idle_in_stop(&self) {
        loop {
            self.request_ended.notified().await;
            let is_idle = !self.serving.get() && self.head_began.get().is_none();
            if is_idle && self.edge.stopping.get() {
                return;
            }
        }
    }

    /// Reports whether a request is in progress.
    pub fn is_serving(&self) -> bool {
        self.serving.get()
    }

    /// Reports whether the connection may give way to a new one. Nothing has run of a request whose
    /// body is not complete.
    pub fn may_give_way(&self) -> bool {
        !self.serving.get() || self.receiving.get()
    }

    /// Returns when the first byte of an incomplete head arrived.
    pub fn head_began(&self) -> Option<Duration> {
        self.head_began.get()
    }

    /// Completes once the part of a head that has arrived is longer than the configuration allows. It
    /// has to be polled whenever the connection was read.
    pub async fn head_exceeded(&self) {
        poll_fn(|_| if self.is_head_too_long() { Poll::Ready(()) } else { Poll::Pending }).await;
    }

    fn is_head_too_long(&self) -> bool {
        self.head_began.get().is_some() && self.head_bytes.get() >= head_limit(&self.edge)
    }

    /// Returns the time for which the connection may go on to wait for a request.
    pub fn remaining_wait(&self) -> Duration {
        let now = self.edge.now();
        let timeouts = self.edge.caller_timeouts.borrow();
        let until = match self.head_began.get() {
            _ if self.serving.get() || self.write_blocked.get() => timeouts.idle_until(now),
            Some(began) => timeouts.head_until(began),
            None => timeouts.idle_until(self.idle_since.get()),
        };
        until.saturating_sub(now)
    }

    fn record_write(&self, polled: &Poll<io::Result<usize>>) {
        self.write_blocked.set(polled.is_pending());
        self.idle_since.set(self.edge.now());
    }

    /// Records that `count` bytes were read.
    fn record_read(&self, count: usize) {
        if self.serving.get() {
            if self.receiving.get() {
                self.gate.record_progress();
            }
            return;
        }
        if self.head_began.get().is_none() {
            self.head_began.set(Some(self.edge.now()));
            self.gate.set_stage(ConnectionStage::PartialHead);
            self.head_bytes.set(0);
            self.partial_head.set(Some(self.edge.partial_heads.increment()));
        }
        self.head_bytes.set(self.head_bytes.get().saturating_add(count));
    }
}

impl ServingGuard {
    /// Records that the body was read, or is not read further.
    pub fn end_body(&self) {
        self.0.receiving.set(false);
        self.0.gate.set_stage(ConnectionStage::Serving);
    }

    /// Makes the connection end with a reset, whatever ends it, until the response is whole.
    pub fn begin_unframed(&self) {
        self.0.unframed.set(true);
    }

    /// Records that the response is whole.
    pub fn end_unframed(&self) {
        self.0.unframed.set(false);
    }
}

impl Drop for ServingGuard {
    fn drop(&mut self) {
        self.0.serving.set(false);
        self.0.receiving.set(false);
        self.0.gate.set_stage(ConnectionStage::Idle);
        self.0.idle_since.set(self.0.edge.now());
        self.0.request_ended.notify_one();
        if !self.0.edge.stopping.get() {
            let edge = &self.0.edge;
            edge.keep_connections_open(edge.settings.keep_alive_promise().idle_time());
        }
    }
}

/// A caller's stream that records what is read from it.
pub struct CallerStream {
    stream: TcpStream,
    state: Rc<ConnectionState>,
    /// Whether the operating system resets the connection when it is closed.
    resets: bool,
}

impl CallerStream {
    /// Wraps a stream.
    pub fn new(stream: TcpStream, state: Rc<ConnectionState>) -> Self {
        CallerStream { stream, state, resets: false }
    }

    /// Lets the operating system end the connection as the response under way asks for.
    fn apply_end(&mut self) -> io::Result<()> {
        let resets = self.state.unframed.get();
        if resets != self.resets {
            set_reset_on_close(&self.stream, resets)?;
            self.resets = resets;
        }
        Ok(())
    }

    /// Reports whether bytes wait to be read. The stream may already be closed for writing.
    pub fn has_unread_bytes(&self) -> bool {
        let mut byte = [std::mem::MaybeUninit::uninit()];
        socket2::SockRef::from(&self.stream).peek(&mut byte).is_ok_and(|len| len > 0)
    }
}

impl AsyncRead for CallerStream {
    fn poll_read(
        mut self: Pin<&mut Self>,
        cx: &mut Context<'_>,
        buf: &mut ReadBuf<'_>,
    ) -> Poll<io::Result<()>> {
        let filled = buf.filled().len();
        let polled = Pin::new(&mut self.stream).poll_read(cx, buf);
        let read = &buf.filled()[filled..];
        if read.iter().any(|byte| !LINE_END.contains(byte)) {
            self.state.record_read(read.len());
        }
        polled
    }
}

impl AsyncWrite for CallerStream {
    fn poll_write(
        mut self: Pin<&mut Self>,
        cx: &mut Context<'_>,
        buf: &[u8],
    ) -> Poll<io::Result<usize>> {
        self.apply_end()?;
        let polled = Pin::new(&mut self.stream).poll_write(cx, buf);
        self.state.record_write(&polled);
        polled
    }

    fn poll_flush(mut self: Pin<&mut Self>, cx: &mut Context<'_>) -> Poll<io::Result<()>> {
        Pin::new(&mut self.stream).poll_flush(cx)
    }

    fn poll_shutdown(mut self: Pin<&mut Self>, cx: &mut Context<'_>) -> Poll<io::Result<()>> {
        self.apply_end()?;
        if self.resets {
            return Poll::Ready(Ok(()));
        }
        Pin::new(&mut self.stream).poll_shutdown(cx)
    }

    fn poll_write_vectored(
        mut self: Pin<&mut Self>,
        cx: &mut Context<'_>,
        bufs: &[IoSlice<'_>],
    ) -> Poll<io::Result<usize>> {
        self.apply_end()?;
        let polled = Pin::new(&mut self.stream).poll_write_vectored(cx, bufs);
        self.state.record_write(&polled);
        polled
    }

    fn is_write_vectored(&self) -> bool {
        self.stream.is_write_vectored()
    }
}
