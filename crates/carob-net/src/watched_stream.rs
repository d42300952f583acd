//! A TCP connection that brings what arrived on it before the next request is written.
//!
//! The runtime learns of bytes only when it asks the operating system for events, which it does
//! between two tasks now and then. What arrived meanwhile, as while the process was paused, would be
//! read after the request, and taken for its response.

use std::io::{self, Read};
use std::pin::Pin;
use std::sync::Arc;
use std::sync::atomic::{AtomicBool, Ordering};
use std::task::{Context, Poll};

use hyper_util::client::legacy::connect::{Connected, Connection};
use socket2::SockRef;
use tokio::io::{AsyncRead, AsyncWrite, ReadBuf};
use tokio::net::TcpStream;

/// Whether reads of a connection ask the operating system for what the runtime does not know of yet.
/// An owner that knows when a response is under way may switch it off for that time.
#[derive(Clone, Debug)]
pub struct WatchFlag(Arc<AtomicBool>);

impl WatchFlag {
    /// Switches the questions on or off.
    pub fn set(&self, watched: bool) {
        self.0.store(watched, Ordering::Relaxed);
    }

    fn get(&self) -> bool {
        self.0.load(Ordering::Relaxed)
    }
}

/// A connection that asks the operating system for unread bytes at each read.
#[derive(Debug)]
pub struct WatchedStream {
    stream: TcpStream,
    watched: WatchFlag,
}

impl WatchedStream {
    /// Takes a connection, and watches it.
    pub fn new(stream: TcpStream) -> Self {
        WatchedStream { stream, watched: WatchFlag(Arc::new(AtomicBool::new(true))) }
    }

    /// Returns the flag that switches the questions on and off.
    pub fn watch_flag(&self) -> WatchFlag {
        self.watched.clone()
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
        let read = Pin::new(&mut self.stream).poll_read(cx, buf);
        if read.is_pending() && self.watched.get() { self.read_unseen(buf) } else { read }
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
