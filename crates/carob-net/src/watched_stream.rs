//! A TCP connection that brings what arrived on it before the next request is written.
//!
//! The runtime learns of bytes only when it asks the operating system for events, which it does
//! between two tasks now and then. What arrived meanwhile, as while the process was paused, would be
//! read after the request, and taken for its response.
//!
//! The other side may send without end. So a read lets other tasks run now and then, and an owner that
//! waits for the head of a response may limit the bytes until it has come.

use std::future::Future;
use std::io::{self, Read};
use std::pin::{Pin, pin};
use std::sync::Arc;
use std::sync::atomic::{AtomicBool, AtomicUsize, Ordering};
use std::task::{Context, Poll};

use hyper_util::client::legacy::connect::{Connected, Connection};
use socket2::SockRef;
use tokio::io::{AsyncRead, AsyncWrite, ReadBuf};
use tokio::net::TcpStream;

/// Maximum bytes until the final head of a response has come, with interim responses. Many times the
/// largest head that the HTTP library takes.
const MAX_HEAD_BYTES: usize = 256 << 10;
/// Limit while no head is awaited.
const NO_LIMIT: usize = usize::MAX;
/// Bytes that a task may read before others run.
const MAX_TURN_BYTES: usize = 64 << 10;
/// Reads that a task may make before others run: many small ones take as long as a large one.
const MAX_TURN_READS: usize = 32;

/// Tells a connection what its owner waits for.
#[derive(Clone, Debug)]
pub struct WatchFlag(Arc<Watch>);

#[derive(Debug)]
struct Watch {
    /// Whether reads ask the operating system for what the runtime does not know of yet.
    watched: AtomicBool,
    /// Bytes that may still come.
    bytes_left: AtomicUsize,
}

impl WatchFlag {
    fn new() -> Self {
        let (watched, bytes_left) = (AtomicBool::new(true), AtomicUsize::new(NO_LIMIT));
        WatchFlag(Arc::new(Watch { watched, bytes_left }))
    }

    /// Switches the questions for unseen bytes on or off. An owner that knows when a response is under
    /// way may switch them off for that time.
    pub fn set(&self, watched: bool) {
        self.0.watched.store(watched, Ordering::Relaxed);
    }

    /// Sets whether the owner waits for the head of a response: if so, the connection fails once more
    /// bytes have come than a head may have.
    pub fn await_head(&self, awaited: bool) {
        let bytes = if awaited { MAX_HEAD_BYTES } else { NO_LIMIT };
        self.0.bytes_left.store(bytes, Ordering::Relaxed);
    }

    fn is_watched(&self) -> bool {
        self.0.watched.load(Ordering::Relaxed)
    }

    /// Counts bytes that were read.
    fn record_bytes(&self, len: usize) -> io::Result<()> {
        let left = self.0.bytes_left.load(Ordering::Relaxed);
        if left == NO_LIMIT {
            return Ok(());
        }
        let too_long = || io::Error::other("the head of a response does not end");
        let left = left.checked_sub(len).ok_or_else(too_long)?;
        self.0.bytes_left.store(left, Ordering::Relaxed);
        Ok(())
    }
}

/// What a task has read since others could run.
#[derive(Debug, Default)]
struct ReadTurn {
    bytes: usize,
    reads: usize,
}

impl ReadTurn {
    fn record(&mut self, len: usize) {
        self.bytes += len;
        self.reads += 1;
    }

    fn is_over(&self) -> bool {
        self.bytes >= MAX_TURN_BYTES || self.reads >= MAX_TURN_READS
    }
}

/// A connection that asks the operating system for unread bytes at each read.
#[derive(Debug)]
pub struct WatchedStream {
    stream: TcpStream,
    watch: WatchFlag,
    turn: ReadTurn,
}

impl WatchedStream {
    /// Takes a connection, and watches it.
    pub fn new(stream: TcpStream) -> Self {
        WatchedStream { stream, watch: WatchFlag::new(), turn: ReadTurn::default() }
    }

    /// Returns what the owner tells the connection by.
    pub fn watch_flag(&self) -> WatchFlag {
        self.watch.clone()
    }

    /// Reads what the runtime does not know of yet; `Pending` if there is nothing.
    fn read_unseen(&self, buf: &mut ReadBuf<'_>) -> Poll<io::Result<()>> {
        match (&*SockRef::from(&self.stream)).read(buf.initialize_unfilled()) {
            Ok(len) => {
                buf.advance(len);
                Poll::Ready(Ok(()))
            }
            Err(err) if err.kind() == io::ErrorKind::WouldBlock => Poll::Pending,
            Err(err) => Poll::Ready(Err(err)),
        }
    }
}

/// Has the task polled again after the runtime has asked for events: a task that is merely woken would
/// run again before any timer.
fn let_others_run(cx: &mut Context<'_>) -> Poll<io::Result<()>> {
    pin!(tokio::task::yield_now()).poll(cx).map(Ok)
}

impl Connection for WatchedStream {
    fn connected(&self) -> Connected {
        self.stream.connected()
    }
}

impl AsyncRead for WatchedStream {
    fn poll_read(
        mut self: Pin<&mut Self>,
        cx: &mut Context<'_>,
        buf: &mut ReadBuf<'_>,
    ) -> Poll<io::Result<()>> {
        if self.turn.is_over() {
            self.turn = ReadTurn::default();
            return let_others_run(cx);
        }
        let filled = buf.filled().len();
        let mut read = Pin::new(&mut self.stream).poll_read(cx, buf);
        if read.is_pending() && self.watch.is_watched() {
            read = self.read_unseen(buf);
        }
        if read.is_pending() {
            self.turn = ReadTurn::default();
            return Poll::Pending;
        }
        let len = buf.filled().len() - filled;
        self.turn.record(len);
        self.watch.record_bytes(len)?;
        read
    }
}

impl AsyncWrite for WatchedStream {
    fn poll_write(
        mut self: Pin<&mut Self>,
        cx: &mut Context<'_>,
        buf: &[u8],
    ) -> Poll<io::Result<usize>> {
        Pin::new(&mut self.stream).poll_write(cx, buf)
    }

    fn poll_write_vectored(
        mut self: Pin<&mut Self>,
        cx: &mut Context<'_>,
        bufs: &[io::IoSlice<'_>],
    ) -> Poll<io::Result<usize>> {
        Pin::new(&mut self.stream).poll_write_vectored(cx, bufs)
    }

    fn is_write_vectored(&self) -> bool {
        self.stream.is_write_vectored()
    }

    fn poll_flush(mut self: Pin<&mut Self>, cx: &mut Context<'_>) -> Poll<io::Result<()>> {
        Pin::new(&mut self.stream).poll_flush(cx)
    }

    fn poll_shutdown(mut self: Pin<&mut Self>, cx: &mut Context<'_>) -> Poll<io::Result<()>> {
        Pin::new(&mut self.stream).poll_shutdown(cx)
    }
}
