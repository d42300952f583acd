//! The chunks of a streamed answer, from the task that makes them to the connection.

use std::convert::Infallible;
use std::fmt::{self, Display};
use std::task::{Context, Poll};

use bytes::Bytes;
use tokio::sync::mpsc;

const BUFFERED: usize = 16; // chunks of one answer

/// Sends the chunks of a streamed answer; dropping it without [`finish`](Self::finish) breaks the
/// answer off visibly.
pub struct ChunkSender {
    tx: mpsc::Sender<Option<Bytes>>,
}

/// Receives the chunks of a streamed answer.
pub struct ChunkReceiver {
    rx: mpsc::Receiver<Option<Bytes>>,
    done: bool,
}

/// An answer was broken off before its end.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct IncompleteBody;

impl Display for IncompleteBody {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        f.write_str("the answer broke off")
    }
}

impl std::error::Error for IncompleteBody {}

impl From<Infallible> for IncompleteBody {
    fn from(never: Infallible) -> Self {
        match never {}
    }
}

/// The two ends of a streamed answer.
pub fn chunk_channel() -> (ChunkSender, ChunkReceiver) {
    let (tx, rx) = mpsc::channel(BUFFERED);
    (ChunkSender { tx }, ChunkReceiver { rx, done: false })
}

impl ChunkSender {
    /// Sends a chunk; false when the caller has left.
    pub async fn send(&self, chunk: Bytes) -> bool {
        self.tx.send(Some(chunk)).await.is_ok()
    }

    /// Marks the answer as whole. Nobody is left to be told when the caller has left.
    pub async fn finish(self) {
        let _ = self.tx.send(None).await;
    }

    /// Completes when the caller has left.
    pub async fn closed(&self) {
        self.tx.closed().await;
    }
}

impl ChunkReceiver {
    /// The next chunk; `None` at the end of a whole answer.
    pub fn poll_chunk(
        &mut self,
        cx: &mut Context<'_>,
    ) -> Poll<Option<Result<Bytes, IncompleteBody>>> {
        if self.done {
            return Poll::Ready(None);
        }
        self.rx.poll_recv(cx).map(|received| match received {
            Some(Some(chunk)) => Some(Ok(chunk)),
            Some(None) => {
                self.done = true;
                None
            }
            None => {
                self.done = true;
                Some(Err(IncompleteBody))
            }
        })
    }

    /// Whether the end was reached.
    pub fn is_finished(&self) -> bool {
        self.done
    }
}
