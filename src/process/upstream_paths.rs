//! Whether this vm reaches upstreams directly, and which upstreams no vm reaches.

use std::collections::BTreeMap;
use std::time::Duration;

use crate::UpstreamName;

/// Settings of [`UpstreamPaths`].
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct UpstreamPathsSettings {
    /// Head start of a direct connection before one through another vm is opened.
    pub head_start: Duration,
    /// Head start while the direct path is in doubt.
    pub short_start: Duration,
    /// Time for which an upstream that no vm reached takes no requests.
    pub pause: Duration,
    /// Maximum of that time, which doubles with each further failure.
    pub max_pause: Duration,
    /// Time for which one request tries an upstream after its pause, before the others may.
    pub trial_time: Duration,
    /// Number of lost paths from which this vm counts as cut off.
    pub min_lost: usize,
    /// Time for which these paths have to be lost, without any direct connection.
    pub cut_time: Duration,
    /// Time for which the last failure of a lost path counts as evidence of a cut.
    pub evidence_ttl: Duration,
    /// Limit of a direct connection.
    pub connect_timeout: Duration,
    /// Limit of a direct connection while its path is in doubt.
    pub short_timeout: Duration,
    /// Minimum time between two checks of a path whose upstream is silent.
    pub check_interval: Duration,
}

impl Default for UpstreamPathsSettings {
    fn default() -> Self {
        UpstreamPathsSettings {
            head_start: Duration::from_millis(80),
            short_start: Duration::from_millis(10),
            pause: Duration::from_millis(250),
            max_pause: Duration::from_secs(2),
            trial_time: Duration::from_millis(400),
            min_lost: 2,
            cut_time: Duration::from_secs(1),
            evidence_ttl: Duration::from_secs(3),
            connect_timeout: Duration::from_millis(300),
            short_timeout: Duration::from_millis(200),
            check_interval: Duration::from_secs(1),
        }
    }
}

/// How to connect to an upstream.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct ConnectPlan {
    /// Whether an idle direct connection may be used.
    pub reuse_idle: bool,
    /// Time after which a connection through another vm is opened beside the direct one.
    pub head_start: Duration,
    /// Limit of the direct connection.
    pub timeout: Duration,
}

/// What is known of the path to an upstream.
#[derive(Clone, Copy, Debug, Default, PartialEq)]
struct UpstreamPath {
    /// Time of the last direct connection that was made.
    confirmed_at: Option<Duration>,
    /// Time of the last direct connection that failed since then.
    doubted_at: Option<Duration>,
    /// Time of the last response, over any connection.
    responded_at: Option<Duration>,
    /// Time of the last check because the upstream was silent.
    checked_at: Option<Duration>,
    /// Since when another vm reaches the upstream and this one does not.
    lost_at: Option<Duration>,
    /// Consecutive failures of this vm and of the others.
    failures: u32,
    /// Time until which further failures count as one with the last.
    failed_until: Option<Duration>,
    /// Time until which the upstream takes no requests, if no vm reached it.
    paused_until: Option<Duration>,
}

/// A change of what is known of a path.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum PathChange {
    /// Another vm reaches the upstream and this one does not.
    Lost,
    /// This vm reaches the upstream again, after the given time.
    Restored(Duration),
    /// No vm reached the upstream; it takes no requests for the given time.
    Unreachable(Duration),
}

/// Paths from this vm to upstreams.
///
/// A direct connection that fails says nothing about whose fault it is. It is the path that is lost
/// if another vm reaches the upstream, and the upstream that is down if none does. While one path is
/// in doubt, the others are checked with the next request to each upstream, because a cut mostly
/// concerns several.
#[derive(Clone, Debug, Default)]
pub struct UpstreamPaths {
    settings: UpstreamPathsSettings,
    paths: BTreeMap<UpstreamName, UpstreamPath>,
    /// Time when the path to any upstream was last in doubt.
    doubted_at: Option<Duration>,
    /// Time of the last direct connection to any upstream.
    confirmed_at: Option<Duration>,
}

impl UpstreamPaths {
    /// Creates a table in which all paths count as intact.
    pub fn new(settings: UpstreamPathsSettings) -> Self {
        UpstreamPaths { settings, ..UpstreamPaths::default() }
    }

    /// Returns how to connect to an upstream.
    pub fn plan(&self, name: &UpstreamName) -> ConnectPlan {
        let settings = &self.settings;
        match self.is_doubted(name) {
            true => ConnectPlan {
                reuse_idle: false,
                head_start: settings.short_start,
                timeout: settings.short_timeout,
            },
            false => ConnectPlan {
                reuse_idle: true,
                head_start: settings.head_start,
                timeout: settings.connect_timeout,
            },
        }
    }

    /// Reports whether the direct path to an upstream is in doubt: a direct connection failed, or one
    /// to another upstream did since this path was last seen to work.
    fn is_doubted(&self, name: &UpstreamName) -> bool {
        let path = self.paths.get(name).copied().unwrap_or_default();
        path.doubted_at.is_some()
            || (self.doubted_at.is_some() && path.confirmed_at < self.doubted_at)
    }

    /// Records that a direct connection was made.
    pub fn record_direct(&mut self, name: &UpstreamName, now: Duration) -> Option<PathChange> {
        let path = self.paths.entry(name.clone()).or_default();
        let lost_at = path.lost_at;
        *path = UpstreamPath {
            confirmed_at: Some(now),
            checked_at: path.checked_at,
            responded_at: path.responded_at,
            ..UpstreamPath::default()
        };
        self.confirmed_at = Some(now);
        lost_at.map(|at| PathChange::Restored(now.saturating_sub(at)))
    }

    /// Records that another vm reached an upstream before this one did. The path counts as lost if
    /// the direct connection `failed`, or if it was in doubt already; a slow connection alone only
    /// raises a doubt.
    pub fn record_indirect(
        &mut self,
        name: &UpstreamName,
        failed: bool,
        now: Duration,
    ) -> Option<PathChange> {
        let path = self.paths.entry(name.clone()).or_default();
        let lost = failed || path.doubted_at.is_some();
        path.doubted_at = Some(now);
        path.failures = 0;
        path.failed_until = None;
        path.paused_until = None;
        self.doubted_at = Some(now);
        if !lost || path.lost_at.is_some() {
            return None;
        }
        path.lost_at = Some(now);
        Some(PathChange::Lost)
    }

    /// Records that a direct connection to an upstream failed whose path is lost already; reports whether
    /// it is.
    pub fn record_still_lost(&mut self, name: &UpstreamName, now: Duration) -> bool {
        let lost = self.paths.get_mut(name).filter(|path| path.lost_at.is_some());
        lost.map(|path| path.doubted_at = Some(now)).is_some()
    }

    /// Records that neither this vm nor another one reached an upstream. `refused` tells whether its
    /// address refused the direct connection, which does not put the path in doubt.
    pub fn record_unreachable(
        &mut self,
        name: &UpstreamName,
        refused: bool,
        now: Duration,
    ) -> Option<PathChange> {
        let UpstreamPathsSettings { pause, max_pause, .. } = self.settings;
        let path = self.paths.entry(name.clone()).or_default();
        path.lost_at = None;
        if !refused {
            path.doubted_at = Some(now);
        }
        // Requests that tried at the same time tell the same once.
        if let Some(until) = path.failed_until.filter(|until| *until > now) {
            path.paused_until = Some(until);
            return None;
        }
        let pause = pause.saturating_mul(1 << path.failures.min(8)).min(max_pause);
        path.failures += 1;
        path.failed_until = Some(now + pause);
        path.paused_until = path.failed_until;
        Some(PathChange::Unreachable(pause))
    }

    /// Returns the time until an upstream that no vm reached may be tried again; `None` if it may be
    /// tried now.
    pub fn pause_left(&self, name: &UpstreamName, now: Duration) -> Option<Duration> {
        let until = self.paths.get(name)?.paused_until?;
        (until > now).then(|| until - now)
    }

    /// Records a response of an upstream, over any connection.
    pub fn record_response(&mut self, name: &UpstreamName, now: Duration) {
        self.paths.entry(name.clone()).or_default().responded_at = Some(now);
    }

    /// Reports whether no vm reaches the upstreams that hold what a request needs, `holders`: several
    /// upstreams of its service were tried in vain, and no holder has responded for a while. A single
    /// one has more likely crashed.
    pub fn is_unreachable(
        &self,
        holders: &[UpstreamName],
        service: &[UpstreamName],
        now: Duration,
    ) -> bool {
        let since = now.saturating_sub(self.settings.cut_time);
        let mut holders = holders.iter().filter_map(|name| self.paths.get(name));
        let responded = holders.any(|path| path.responded_at.is_some_and(|at| at > since));
        let failed = service.iter().filter(|name| self.has_failed(name));
        failed.count() >= self.settings.min_lost && !responded
    }

    /// Reports whether no vm reached an upstream when it was last tried.
    pub fn has_failed(&self, name: &UpstreamName) -> bool {
        self.paths.get(name).is_some_and(|path| path.failures > 0)
    }

    /// Records that a request tries an upstream after its pause. The others wait for the outcome.
    pub fn record_trial(&mut self, name: &UpstreamName, now: Duration) {
        let trial_time = self.settings.trial_time;
        if let Some(path) = self.paths.get_mut(name)
            && path.paused_until.is_some()
        {
            path.paused_until = Some(now + trial_time);
        }
    }

    /// Reports whether this vm lost its own path to an upstream that others reach.
    pub fn is_lost(&self, name: &UpstreamName) -> bool {
        self.paths.get(name).is_some_and(|path| path.lost_at.is_some())
    }

    /// Returns since when this vm lost its own path to an upstream that others reach, if it did.
    pub fn lost_at(&self, name: &UpstreamName) -> Option<Duration> {
        self.paths.get(name)?.lost_at
    }

    /// Returns the number of upstreams that other vms reach and this one does not.
    pub fn lost_count(&self) -> usize {
        self.paths.values().filter(|path| path.lost_at.is_some()).count()
    }

    /// Returns the upstream of the lost path that was checked the longest time ago.
    pub fn oldest_lost(&self) -> Option<&UpstreamName> {
        let lost = self.paths.iter().filter(|(_, path)| path.lost_at.is_some());
        lost.min_by_key(|(_, path)| path.checked_at).map(|(name, _)| name)
    }

    /// Reports whether this vm counts as cut off: it lost the paths to several upstreams for a while,
    /// and no direct connection was made meanwhile.
    pub fn is_cut_off(&self, now: Duration) -> bool {
        let UpstreamPathsSettings { min_lost, cut_time, evidence_ttl, .. } = self.settings;
        let since = now.saturating_sub(cut_time);
        let fresh = now.saturating_sub(evidence_ttl);
        let lost = self.paths.values().filter(|path| {
            path.lost_at.is_some_and(|at| at <= since)
                && path.doubted_at.is_some_and(|at| at >= fresh)
        });
        let connected = self.confirmed_at.is_some_and(|at| at > since);
        lost.count() >= min_lost && !connected
    }

    /// Reports whether the path to a silent upstream is to be checked now, and records the check.
    pub fn begin_check(&mut self, name: &UpstreamName, now: Duration) -> bool {
        let interval = self.settings.check_interval;
        let path = self.paths.entry(name.clone()).or_default();
        let due = path.checked_at.is_none_or(|at| now.saturating_sub(at) >= interval);
        if due {
            path.checked_at = Some(now);
        }
        due
    }

    /// Drops what is known of an upstream that is gone or restarted.
    pub fn remove(&mut self, name: &UpstreamName) {
        self.paths.remove(name);
    }
}
