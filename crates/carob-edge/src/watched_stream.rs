//! A TCP connection that brings what arrived on it before the next request is written.
//!
//! The runtime learns of bytes only when it asks the operating system for events, which it does
//! between two tasks now and then. What arrived meanwhile, as while the process was paused, would be
//! read after the request, and taken for its response.

use std::cell::Cell;
use std::io::{self, Read};
use std::pin::Pin;
use std::rc::Rc;
use std::task::{Context, Poll};

use socket2::SockRef;
use tokio::io::{AsyncRead, AsyncWrite, ReadBuf};
use tokio::net::TcpStream;

/// Whether a connection waits for its next request. Its owner sets it after each response, and the
/// first byte of a request ends it.
pub type IdleFlag = Rc<Cell<bool>>;

/// A connection that asks the operating system for unread bytes at each read while it is idle.
#[derive(Debug)]
pub struct WatchedStream {
    stream: TcpStream,
    idle: IdleFlag,
}

impl WatchedStream {
    /// Takes a connection over which no request was sent.
    pub fn new(stream: TcpStream) -> Self {
        WatchedStream { stream, idle: Rc::new(Cell::new(true)) }
    }

    /// Returns the flag that tells whether the connection is idle.
    pub fn idle_flag(&self) -> IdleFlag {
        Rc::clone(&self.idle)
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

    fn record_write(&self, written: &Poll<io::Result<usize>>) {
        if matches!(written, Poll::Ready(Ok(len)) if *len > 0) {
            self.idle.set(false);
        }
    }
}

impl AsyncRead for WatchedStream {
    fn poll_read(
        mut self: Pin<&mut Self>,
        cx: &mut Context<'_>,
        buf: &mut ReadBuf<'_>,
    ) -> Poll<io::Result<()>> {
        let read = Pin::new(&mut self.stream).poll_read(cx, buf);
        if read.is_pending() && self.idle.get() { self.read_unseen(buf) } else { read }
    }
}

impl AsyncWrite for WatchedStream {
    fn poll_write(
        mut self: Pin<&mut Self>,
        cx: &mut Context<'_>,
        buf: &[u8],
    ) -> Poll<io::Result<usize>> {
        let written = Pin::new(&mut self.stream).poll_write(cx, buf);
        self.record_write(&written);
        written
    }

    fn poll_write_vectored(
        mut self: Pin<&mut Self>,
        cx: &mut Context<'_>,
        bufs: &[io::IoSlice<'_>],
    ) -> Poll<io::Result<usize>> {
        let written = Pin::new(&mut self.stream).poll_write_vectored(cx, bufs);
        self.record_write(&written);
        written
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
