//! What this process read of the log: the control stream and the claims.

use std::collections::BTreeMap;
use std::sync::{Arc, Mutex};
use std::time::Duration;

use carob_net::lock;
use carobglade::{
    ClaimState, Config, ControlState, Entry, Fingerprint, Member, ModelName, ModelPhase, Offset,
    Replay, ReplayPage, ReplayStatus, Snapshot, UpstreamName, VmRef,
};

const SNAPSHOT_RETRY_INTERVAL: Duration = Duration::from_secs(5); // for a snapshot to come back

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
    /// When the tail of each stream was last confirmed.
    confirmed: BTreeMap<LogStream, Duration>,
    /// When this process itself last read the control stream.
    own_read: Option<Duration>,
    /// Log time minus own time, in milliseconds.
    log_offset: i64,
    /// When the next snapshot of each stream may be made.
    snapshots: BTreeMap<LogStream, Duration>,
}

/// What this process read of the log.
#[derive(Default)]
pub struct LogState(Mutex<State>);

impl LogState {
    /// Looks at the control state; nothing else is to be locked meanwhile.
    pub fn control<T>(&self, look: impl FnOnce(&ControlState) -> T) -> T {
        look(lock(&self.0).control.state())
    }

    /// Looks at the claims; nothing else is to be locked meanwhile.
    pub fn claims<T>(&self, look: impl FnOnce(&ClaimState) -> T) -> T {
        look(lock(&self.0).claims.state())
    }

    /// The configuration in force.
    pub fn config(&self) -> Arc<Config> {
        self.control(|state| Arc::clone(state.config()))
    }

    /// The processes that joined, this one left out.
    pub fn other_members(&self, me: &VmRef) -> Vec<VmRef> {
        self.control(|state| {
            let members = state.members().values().filter(|member| member.vm.vm != me.vm);
            members.map(|member| member.vm.clone()).collect()
        })
    }

    /// The member that runs as `vm`.
    pub fn member(&self, vm: &VmRef) -> Option<Member> {
        self.control(|state| {
            let member = state.members().get(&vm.vm).filter(|member| member.vm == *vm);
            member.cloned()
        })
    }

    /// Crashes in which `request` was in flight.
    pub fn crash_count(&self, request: Fingerprint) -> usize {
        self.control(|state| state.suspects().crashes(request))
    }

    /// Whether `request` is refused for the crashes in which it was in flight.
    pub fn is_quarantined(&self, request: Fingerprint) -> bool {
        self.control(|state| state.suspects().quarantined(request))
    }

    /// The upstreams on which `model` and what it rests on are loaded.
    pub fn loaded_on(&self, model: &ModelName) -> Vec<UpstreamName> {
        self.control(|state| {
            let base = state.config().base_of(model).clone();
            let loaded = |name: &ModelName, account: &carobglade::MemoryAccount| {
                account.charges.get(name).is_some_and(|charge| charge.phase == ModelPhase::Loaded)
            };
            let holding = state.ledger().accounts_with(model);
            let holding = holding.filter(|(_, a)| loaded(model, a) && loaded(&base, a));
            holding.map(|(name, _)| name.clone()).collect()
        })
    }

    /// When the tail of a stream was last confirmed.
    pub fn confirmed_at(&self, stream: LogStream) -> Option<Duration> {
        lock(&self.0).confirmed.get(&stream).copied()
    }

    /// When this process itself last read the control stream.
    pub fn own_read(&self) -> Option<Duration> {
        lock(&self.0).own_read
    }

    /// Now on the log's clock, in milliseconds.
    pub fn log_time(&self, now: Duration) -> u64 {
        (now.as_millis() as i64 + lock(&self.0).log_offset).max(0) as u64
    }

    /// The offset to read from.
    pub fn next_offset(&self, stream: LogStream) -> Offset {
        let state = lock(&self.0);
        match stream {
            LogStream::Control => state.control.next_offset(),
            LogStream::Claims => state.claims.next_offset(),
        }
    }

    /// Applies a page that was asked for at `started`; returns the entries that are new. `own`
    /// tells that this process read it itself.
    pub fn apply_page(
        &self,
        stream: LogStream,
        page: &ReplayPage,
        started: Duration,
        own: bool,
        now: Duration,
    ) -> Vec<Entry> {
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
                state.own_read = Some(started);
            }
        }
        state.update_clock_offset(&applied, now);
        applied
    }

    /// Takes the state from another process, as confirmed at `confirmed`; returns whether the
    /// control stream could be taken.
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
            log::debug!("tail: The claims of a peer could not be taken: {err}.");
        }
        if installed {
            state.confirmed.insert(LogStream::Control, confirmed);
        }
        installed
    }

    /// The whole state of a stream.
    pub fn snapshot(&self, stream: LogStream) -> Option<Snapshot> {
        let state = lock(&self.0);
        match stream {
            LogStream::Control => state.control.snapshot(),
            LogStream::Claims => state.claims.snapshot(),
        }
    }

    /// Whether a stream has grown by `most` entries since its last snapshot, and none was made
    /// lately.
    pub fn is_snapshot_due(&self, stream: LogStream, most: u64, now: Duration) -> bool {
        let mut state = lock(&self.0);
        let grown = match stream {
            LogStream::Control => state.control.entries_since_snapshot(),
            LogStream::Claims => state.claims.entries_since_snapshot(),
        };
        if grown < most {
            state.snapshots.remove(&stream);
            return false;
        }
        state.snapshots.get(&stream).is_none_or(|at| now > *at)
    }

    /// A snapshot of a stream was made.
    pub fn record_snapshot(&self, stream: LogStream, now: Duration) {
        lock(&self.0).snapshots.insert(stream, now + SNAPSHOT_RETRY_INTERVAL);
    }
}

impl State {
    /// An entry is read after it was stamped, so the largest difference is the closest.
    fn update_clock_offset(&mut self, applied: &[Entry], now: Duration) {
        for entry in applied {
            let offset = entry.time as i64 - now.as_millis() as i64;
            if self.log_offset == 0 || offset > self.log_offset {
                self.log_offset = offset;
            }
        }
    }
}
