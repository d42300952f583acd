//! Whether an upstream is given requests, judged by how earlier ones ended.

use std::time::Duration;

/// Settings of [`Health`].
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct HealthSettings {
    /// Failures in a row after which an upstream is left out.
    pub failures: u32,
    /// Time for which it is left out first; doubles with each failed trial.
    pub pause: Duration,
    /// Longest such time.
    pub longest: Duration,
}

impl Default for HealthSettings {
    fn default() -> Self {
        HealthSettings {
            failures: 2,
            pause: Duration::from_millis(500),
            longest: Duration::from_secs(10),
        }
    }
}

/// The health of one upstream as one process sees it.
///
/// After a pause one request is let through as a trial; its end decides.
#[derive(Clone, Debug, Default)]
pub struct Health {
    settings: HealthSettings,
    failures: u32,
    until: Option<Duration>,
    trial: bool,
}

impl Health {
    /// A healthy upstream.
    pub fn new(settings: HealthSettings) -> Self {
        Health { settings, ..Health::default() }
    }

    /// Whether a request may go to the upstream at `now`.
    pub fn usable(&self, now: Duration) -> bool {
        match self.until {
            None => true,
            Some(until) => now >= until && !self.trial,
        }
    }

    /// A request goes to the upstream.
    pub fn start(&mut self) {
        self.trial = self.until.is_some();
    }

    /// A request ended well.
    pub fn succeed(&mut self) {
        self.failures = 0;
        self.until = None;
        self.trial = false;
    }

    /// A request failed by the upstream's fault.
    pub fn fail(&mut self, now: Duration) {
        self.failures += 1;
        self.trial = false;
        if self.failures >= self.settings.failures {
            let doublings = (self.failures - self.settings.failures).min(16);
            let pause = self.settings.pause.saturating_mul(1 << doublings);
            self.until = Some(now + pause.min(self.settings.longest));
        }
    }

    /// A request ended without telling anything about the upstream.
    pub fn release(&mut self) {
        self.trial = false;
    }
}
