//! Attempts of one request, of which a silent one goes on beside the next.

use std::future::Future;

use carobglade::{Error, ErrorKind, UpstreamName};
use tokio::sync::mpsc::{UnboundedReceiver, UnboundedSender, unbounded_channel};
use tokio::task::JoinSet;

/// How an attempt failed.
#[derive(Debug)]
pub struct FailedAttempt {
    /// Upstream that the request was sent to; `None` if there was none.
    pub upstream: Option<UpstreamName>,
    /// Error of the attempt.
    pub error: Error,
}

/// News of an attempt.
#[derive(Debug)]
pub enum AttemptEvent<T> {
    /// An upstream answered.
    Answered(T),
    /// An attempt ended without an answer.
    Failed(FailedAttempt),
    /// This upstream has been silent for longer than expected; its attempt goes on.
    Silent(UpstreamName),
}

/// Attempts that run side by side. Dropping them ends all that still run.
pub struct Attempts<T> {
    running: JoinSet<Result<T, FailedAttempt>>,
    silence_sender: UnboundedSender<UpstreamName>,
    silent: UnboundedReceiver<UpstreamName>,
}

impl<T: Send + 'static> Default for Attempts<T> {
    fn default() -> Self {
        let (silence_sender, silent) = unbounded_channel();
        Attempts { running: JoinSet::new(), silence_sender, silent }
    }
}

impl<T: Send + 'static> Attempts<T> {
    /// Starts an attempt.
    pub fn start(
        &mut self,
        attempt: impl Future<Output = Result<T, FailedAttempt>> + Send + 'static,
    ) {
        self.running.spawn(attempt);
    }

    /// Returns the sender with which an attempt tells that its upstream is silent.
    pub fn silence_sender(&self) -> UnboundedSender<UpstreamName> {
        self.silence_sender.clone()
    }

    /// Waits for the next event; returns `None` if no attempt runs.
    pub async fn next(&mut self) -> Option<AttemptEvent<T>> {
        tokio::select! {
            biased;
            ended = self.running.join_next() => Some(match ended? {
                Ok(Ok(answer)) => AttemptEvent::Answered(answer),
                Ok(Err(failed)) => AttemptEvent::Failed(failed),
                Err(err) => {
                    let error = Error::new(ErrorKind::Internal, err.to_string());
                    AttemptEvent::Failed(FailedAttempt { upstream: None, error })
                }
            }),
            Some(upstream) = self.silent.recv() => Some(AttemptEvent::Silent(upstream)),
        }
    }
}
