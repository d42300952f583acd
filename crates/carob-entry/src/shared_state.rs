//! The state of the process, and the queries that combine several parts of it.

use std::collections::BTreeMap;
use std::sync::{Arc, Mutex};
use std::time::Duration;

use carob_net::{BodyBudget, Clock, HttpClient, SystemClock, lock};
use carobglade::{
    Heartbeat, Incarnation, Record, ServingStatus, TenantName, VmName, VmRef, tenant_slots,
};
use tokio::sync::Notify;

use crate::metrics::Metrics;
use crate::peer_transport::PeerTransport;
use crate::permit::Permit;
use crate::settings::Settings;
use crate::state::{
    Batcher, ClaimTracker, FleetView, Lifecycle, LogState, LogStream, Quota, RequestQueue,
    UpstreamTracker,
};

/// Time since the start of the process after which it stops waiting for heartbeats of peers.
const DISCOVERY_TIMEOUT: Duration = Duration::from_secs(3);
/// Time within which an equal record is not appended again.
const DEDUPLICATION_WINDOW: Duration = Duration::from_secs(1);

/// State shared by all tasks and request handlers of the process.
pub struct SharedState {
    /// This vm and its incarnation.
    pub me: VmRef,
    /// Settings of the process.
    pub settings: Settings,
    /// Clock of the process.
    pub clock: SystemClock,
    /// Metrics of the process.
    pub metrics: Metrics,
    /// Client without a connection pool, for calls that must not be repeated.
    pub unpooled_client: HttpClient,
    /// Records to append to the control stream.
    pub control_batcher: Batcher,
    /// Records to append to the claims stream.
    pub claims_batcher: Batcher,
    /// State replayed from the log.
    pub log_state: LogState,
    /// Memory for the bodies of requests.
    pub body_budget: Arc<BodyBudget>,
    /// Rate slots and tokens that this process holds.
    pub quota: Quota,
    /// The other processes, by their heartbeats.
    pub fleet: FleetView,
    /// Load and health of the upstreams.
    pub upstreams: Arc<UpstreamTracker>,
    /// Queued requests and the use of models.
    pub request_queue: Arc<RequestQueue<Permit>>,
    /// Claims of this process on idempotency keys.
    pub claim_tracker: ClaimTracker,
    /// Requests in flight, and the phase of shutdown.
    pub lifecycle: Arc<Lifecycle>,
    /// Notified when an entry of the log was applied.
    pub entry_applied: Notify,
    /// Notified when an upstream may accept another request.
    pub capacity_freed: Arc<Notify>,
    /// Notified when an operator asks the process to stop.
    pub stop_requested: Notify,
    /// Notified when placement should be planned without delay.
    pub replan: Notify,
    /// Notified when a heartbeat should be sent without delay.
    pub heartbeat_now: Notify,
    /// Connections to other vms.
    pub peer_transport: PeerTransport,
    /// Recently added records as JSON, with the time they were added.
    recent_records: Mutex<BTreeMap<String, Duration>>,
}

impl SharedState {
    /// Creates the state of a starting process.
    pub fn new(settings: Settings, me: VmRef, clock: SystemClock, metrics: Metrics) -> Self {
        let log = settings.log_address.to_string();
        SharedState {
            control_batcher: Batcher::new(&log, "control", &me),
            claims_batcher: Batcher::new(&log, "claims", &me),
            me,
            body_budget: BodyBudget::new(settings.limits.total_bodies),
            settings,
            clock,
            metrics,
            unpooled_client: HttpClient::unpooled(),
            log_state: LogState::default(),
            quota: Quota::default(),
            fleet: FleetView::default(),
            upstreams: Arc::default(),
            request_queue: Arc::default(),
            claim_tracker: ClaimTracker::default(),
            lifecycle: Arc::default(),
            entry_applied: Notify::new(),
            capacity_freed: Arc::default(),
            stop_requested: Notify::new(),
            replan: Notify::new(),
            heartbeat_now: Notify::new(),
            peer_transport: PeerTransport::default(),
            recent_records: Mutex::default(),
        }
    }

    /// Returns the time since the process started.
    pub fn now(&self) -> Duration {
        self.clock.now()
    }

    /// Returns the batcher of a stream.
    pub fn batcher(&self, stream: LogStream) -> &Batcher {
        match stream {
            LogStream::Control => &self.control_batcher,
            LogStream::Claims => &self.claims_batcher,
        }
    }

    /// Returns whether requests may be served; `Isolated` before the log was read.
    pub fn serving_status(&self, now: Duration) -> ServingStatus {
        let Some(confirmed) = self.log_state.confirmed_at(LogStream::Control) else {
            return ServingStatus::Isolated;
        };
        let others = self.log_state.other_members(&self.me);
        self.fleet.serving_status(now.saturating_sub(confirmed), &others, now)
    }

    /// Reports whether another process is known to be alive, the fleet has no other members, or
    /// `DISCOVERY_TIMEOUT` has passed.
    pub fn is_discovery_done(&self, now: Duration) -> bool {
        let alone = || self.log_state.other_members(&self.me).is_empty();
        self.fleet.live_count(now) > 0 || now > DISCOVERY_TIMEOUT || alone()
    }

    /// Returns the other processes that hold slots of `tenant`, with their number of slots. Dead
    /// processes are left out unless all of them count as dead.
    pub fn slot_holders(&self, tenant: &TenantName, now: Duration) -> Vec<(VmRef, u16)> {
        let mut holders: BTreeMap<VmRef, u16> = BTreeMap::new();
        self.log_state.with_control(|state| {
            for holder in tenant_slots(tenant).filter_map(|slot| state.slots().holder(slot)) {
                if holder.vm != self.me {
                    *holders.entry(holder.vm.clone()).or_insert(0) += 1;
                }
            }
        });
        if holders.keys().any(|vm| self.fleet.is_alive(vm, now)) {
            holders.retain(|vm, _| self.fleet.is_alive(vm, now));
        }
        holders.into_iter().collect()
    }

    /// Returns the heartbeat of this process with the given sequence number.
    pub fn heartbeat(&self, sequence: u64, now: Duration) -> Heartbeat {
        let age = |at: Option<Duration>| {
            at.map_or(u64::MAX / 2, |at| now.saturating_sub(at).as_millis() as u64)
        };
        Heartbeat {
            vm: self.me.clone(),
            sequence,
            version: self.log_state.with_control(carobglade::ControlState::version),
            log_age_ms: age(self.log_state.confirmed_at(LogStream::Control)),
            read_age_ms: age(self.log_state.last_own_read()),
            draining: self.lifecycle.is_draining(),
            running: self.lifecycle.running(),
            slots: self.quota.slot_count() as u32,
            demand: self.request_queue.demand(now).into_iter().collect(),
            loads: self.upstreams.own_loads(),
            down: self.upstreams.unresponsive(),
        }
    }

    /// Appends a record to the control stream unless an equal one was added within
    /// `DEDUPLICATION_WINDOW`.
    pub fn add_deduplicated(&self, record: Record, now: Duration) {
        let text = match serde_json::to_string(&record) {
            Ok(text) => text,
            Err(err) => {
                log::error!("log: record could not be serialized: {err}");
                return;
            }
        };
        let mut recent_records = lock(&self.recent_records);
        recent_records.retain(|_, at| now.saturating_sub(*at) < DEDUPLICATION_WINDOW);
        if recent_records.insert(text, now).is_none() {
            drop(self.control_batcher.add(record));
        }
    }
}

/// Returns the reference to this vm, with the start time in Unix milliseconds as its incarnation.
pub fn new_vm_ref(vm: VmName, clock: &SystemClock) -> VmRef {
    VmRef { vm, incarnation: Incarnation(clock.unix_millis()) }
}
