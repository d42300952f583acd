//! A bounded channel for the body chunks of a streamed response, from the task that produces the
//! chunks to the connection.

use std::convert::Infallible;
use std::fmt::{self, Display};
use std::task::{Context, Poll};

use bytes::Bytes;
use tokio::sync::mpsc;

const MAX_BUFFERED_CHUNKS: usize = 16; // per response

/// Sends the chunks of a streamed response. Dropping the sender without calling
/// [`finish`](Self::finish) ends the body with [`IncompleteBody`], so that the receiver of the
/// response sees that the body is incomplete.
pub struct ChunkSender {
    tx: mpsc::Sender<Option<Bytes>>,
}

/// Receives the chunks of a streamed response.
pub struct ChunkReceiver {
    rx: mpsc::Receiver<Option<Bytes>>,
    done: bool,
}

/// Error for a response body that ended before its sender called [`ChunkSender::finish`].
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct IncompleteBody;

impl Display for IncompleteBody {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        f.write_str("response body ended before it was complete")
    }
}

impl std::error::Error for IncompleteBody {}

impl From<Infallible> for IncompleteBody {
    fn from(never: Infallible) -> Self {
        match never {}
    }
}

/// Creates a channel for the chunks of one streamed response.
pub fn chunk_channel() -> (ChunkSender, ChunkReceiver) {
    let (tx, rx) = mpsc::channel(MAX_BUFFERED_CHUNKS);
    (ChunkSender { tx }, ChunkReceiver { rx, done: false })
}

impl ChunkSender {
    /// Sends a chunk. Returns false when the caller has disconnected.
    pub async fn send(&self, chunk: Bytes) -> bool {
        self.tx.send(Some(chunk)).await.is_ok()
    }

    /// Marks the body as complete. Has no effect when the caller has disconnected.
    pub async fn finish(self) {
        let _ = self.tx.send(None).await;
    }

    /// Waits until the caller disconnects.
    pub async fn closed(&self) {
        self.tx.closed().await;
    }
}

impl ChunkReceiver {
    /// Polls for the next chunk. Yields `None` at the end of a complete body.
    ///
    /// # Errors
    ///
    /// [`IncompleteBody`], once, when the sender was dropped before it finished.
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

    /// Reports whether the body has ended, complete or not.
    pub fn is_finished(&self) -> bool {
        self.done
    }
}
