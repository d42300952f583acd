//! An attempt of a request that is open at an upstream.

use std::time::Duration;

use carobglade::{HedgeTimer, UpstreamName, UpstreamPaths};

/// An upstream that the request was sent to and that has not responded, or whose stream goes on.
pub struct OpenUpstream {
    /// The upstream.
    pub name: UpstreamName,
    /// Tells when the upstream counts as silent.
    pub timer: HedgeTimer,
    /// Whether its present silence was recorded.
    pub silent: bool,
    /// When the attempt started, or the stream went on at this upstream.
    started_at: Duration,
}

impl OpenUpstream {
    /// Opens an attempt that starts now.
    pub fn new(name: &UpstreamName, timer: HedgeTimer, now: Duration) -> Self {
        OpenUpstream { name: name.clone(), timer, silent: false, started_at: now }
    }

    /// Returns when the upstream counts as silent: sooner if its path was lost after the start.
    pub fn due_at(&self, paths: &UpstreamPaths) -> Option<Duration> {
        let lost_at = paths.lost_at(&self.name).filter(|at| *at >= self.started_at);
        match lost_at {
            Some(lost_at) => self.timer.due_after_loss(lost_at),
            None => self.timer.due_at(),
        }
    }
}
