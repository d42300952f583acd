//! State replayed from the control and claims streams of the log.

use std::collections::BTreeMap;
use std::sync::{Arc, Mutex};
use std::time::Duration;

use carob_net::lock;
use carobglade::{
    ClaimState, Config, ControlState, Fingerprint, LogEntry, Member, ModelName, ModelPhase, Offset,
    Replay, ReplayPage, ReplayStatus, Snapshot, UpstreamName, VmRef,
};

/// Time for an appended snapshot to be read back before another one is made.
const SNAPSHOT_RETRY_INTERVAL: Duration = Duration::from_secs(5);

/// A stream of the log.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord)]
pub enum LogStream {
    /// Configuration, members, slots, orders.
    Control,
    /// Claims on idempotency keys.
    Claims,
}

#[derive(Default)]
struct State {
    control: Replay<ControlState>,
    claims: Replay<ClaimState>,
    /// Time at which the end of each stream was last confirmed.
    confirmed: BTreeMap<LogStream, Duration>,
    /// Time at which this process itself last read to the end of the control stream.
    last_own_read: Option<Duration>,
    /// Clock of the log minus the clock of this process, in milliseconds.
    clock_offset_ms: i64,
    /// Earliest time for the next snapshot of each stream.
    next_snapshot: BTreeMap<LogStream, Duration>,
}

/// State replayed from the log.
#[derive(Default)]
pub struct LogState(Mutex<State>);

impl LogState {
    /// Calls `look` with the control state. `look` must not lock another part.
    pub fn with_control<T>(&self, look: impl FnOnce(&ControlState) -> T) -> T {
        look(lock(&self.0).control.state())
    }

    /// Calls `look` with the claims. `look` must not lock another part.
    pub fn with_claims<T>(&self, look: impl FnOnce(&ClaimState) -> T) -> T {
        look(lock(&self.0).claims.state())
    }

    /// Returns the current configuration.
    pub fn config(&self) -> Arc<Config> {
        self.with_control(|state| Arc::clone(state.config()))
    }

    /// Returns the members of the fleet other than this vm.
    pub fn other_members(&self, me: &VmRef) -> Vec<VmRef> {
        self.with_control(|state| {
            let members = state.members().values().filter(|member| member.vm.vm != me.vm);
            members.map(|member| member.vm.clone()).collect()
        })
    }

    /// Returns the member `vm` if it is part of the fleet with the same incarnation.
    pub fn member(&self, vm: &VmRef) -> Option<Member> {
        self.with_control(|state| {
            let member = state.members().get(&vm.vm).filter(|member| member.vm == *vm);
            member.cloned()
        })
    }

    /// Returns the number of crashes during which `request` was in flight.
    pub fn crash_count(&self, request: Fingerprint) -> usize {
        self.with_control(|state| state.suspects().crash_count(request))
    }

    /// Reports whether `request` is quarantined because it was in flight during crashes.
    pub fn is_quarantined(&self, request: Fingerprint) -> bool {
        self.with_control(|state| state.suspects().is_quarantined(request))
    }

    /// Returns the upstreams on which `model` and its base model are loaded.
    pub fn loaded_on(&self, model: &ModelName) -> Vec<UpstreamName> {
        self.with_control(|state| {
            let base = state.config().base_of(model).clone();
            let loaded = |name: &ModelName, account: &carobglade::MemoryAccount| {
                account.charges.get(name).is_some_and(|charge| charge.phase == ModelPhase::Loaded)
            };
            let holding = state.ledger().accounts_with(model);
            let holding = holding.filter(|(_, a)| loaded(model, a) && loaded(&base, a));
            holding.map(|(name, _)| name.clone()).collect()
        })
    }

    /// Returns the time at which the end of a stream was last confirmed; `None` if never.
    pub fn confirmed_at(&self, stream: LogStream) -> Option<Duration> {
        lock(&self.0).confirmed.get(&stream).copied()
    }

    /// Returns the time at which this process itself last read to the end of the control stream.
    pub fn last_own_read(&self) -> Option<Duration> {
        lock(&self.0).last_own_read
    }

    /// Converts a time of this process to the clock of the log, in milliseconds.
    pub fn to_log_time(&self, now: Duration) -> u64 {
        (now.as_millis() as i64 + lock(&self.0).clock_offset_ms).max(0) as u64
    }

    /// Returns the offset of the next entry to read.
    pub fn next_offset(&self, stream: LogStream) -> Offset {
        let state = lock(&self.0);
        match stream {
            LogStream::Control => state.control.next_offset(),
            LogStream::Claims => state.claims.next_offset(),
        }
    }

    /// Applies a page that was requested at `started`, and returns the new entries. `own` is true
    /// if this process read the page itself, not through a peer.
    pub fn apply_page(
        &self,
        stream: LogStream,
        page: &ReplayPage,
        started: Duration,
        own: bool,
        now: Duration,
    ) -> Vec<LogEntry> {
        let mut state = lock(&self.0);
        let (applied, status, next) = match stream {
            LogStream::Control => {
                let applied = state.control.apply_page(page);
                (applied, state.control.status(), state.control.next_offset())
            }
            LogStream::Claims => {
                let applied = state.claims.apply_page(page);
                (applied, state.claims.status(), state.claims.next_offset())
            }
        };
        if status == ReplayStatus::Current && next >= page.next {
            let confirmed = state.confirmed.entry(stream).or_insert(started);
            *confirmed = started.max(*confirmed);
            if own && stream == LogStream::Control {
                state.last_own_read = Some(started);
            }
        }
        state.update_clock_offset(&applied, now);
        applied
    }

    /// Installs snapshots from another process, which confirmed the end of the log at `confirmed`.
    /// Reports whether the snapshot of the control stream was installed.
    pub fn install_snapshots(
        &self,
        control: Option<Snapshot>,
        claims: Option<Snapshot>,
        confirmed: Duration,
    ) -> bool {
        let mut state = lock(&self.0);
        let installed =
            control.is_some_and(|snapshot| state.control.install_snapshot(&snapshot).is_ok());
        if let Some(Err(err)) = claims.map(|snapshot| state.claims.install_snapshot(&snapshot)) {
            log::debug!("tail: claims snapshot of a peer rejected: {err}");
        }
        if installed {
            state.confirmed.insert(LogStream::Control, confirmed);
        }
        installed
    }

    /// Returns a snapshot of a stream; `None` if entries are missing or none was read.
    pub fn snapshot(&self, stream: LogStream) -> Option<Snapshot> {
        let state = lock(&self.0);
        match stream {
            LogStream::Control => state.control.snapshot(),
            LogStream::Claims => state.claims.snapshot(),
        }
    }

    /// Reports whether a stream has grown by `most` entries since its last snapshot, and no
    /// snapshot was made within `SNAPSHOT_RETRY_INTERVAL`.
    pub fn is_snapshot_due(&self, stream: LogStream, most: u64, now: Duration) -> bool {
        let mut state = lock(&self.0);
        let grown = match stream {
            LogStream::Control => state.control.entries_since_snapshot(),
            LogStream::Claims => state.claims.entries_since_snapshot(),
        };
        if grown < most {
            state.next_snapshot.remove(&stream);
            return false;
        }
        state.next_snapshot.get(&stream).is_none_or(|at| now > *at)
    }

    /// Records that a snapshot of a stream was made.
    pub fn record_snapshot(&self, stream: LogStream, now: Duration) {
        lock(&self.0).next_snapshot.insert(stream, now + SNAPSHOT_RETRY_INTERVAL);
    }
}

impl State {
    /// Updates the clock offset. Entries are read after the log stamps them, so the largest
    /// difference is the most accurate.
    fn update_clock_offset(&mut self, applied: &[LogEntry], now: Duration) {
        for entry in applied {
            let offset = entry.time_ms as i64 - now.as_millis() as i64;
            if self.clock_offset_ms == 0 || offset > self.clock_offset_ms {
                self.clock_offset_ms = offset;
            }
        }
    }
}
