//! The parts of the process, and what several of them say together.

use std::collections::BTreeMap;
use std::sync::{Arc, Mutex};
use std::time::Duration;

use carob_net::{Clock, HttpClient, SystemClock, lock};
use carobglade::{
    Heartbeat, Incarnation, Record, ServingStatus, TenantName, VmName, VmRef, tenant_slots,
};
use tokio::sync::Notify;

use crate::metrics::Metrics;
use crate::parts::{
    Batcher, ClaimTracker, FleetView, Lifecycle, LogState, LogStream, Quota, RequestQueue,
    UpstreamTracker,
};
use crate::peer_transport::PeerTransport;
use crate::permit::Permit;
use crate::settings::Settings;

const DISCOVERY_TIMEOUT: Duration = Duration::from_secs(3); // from the start of the process
const DEDUPLICATION_WINDOW: Duration = Duration::from_secs(1); // in which a record is not added again

/// The parts of the process.
pub struct SharedState {
    /// This run of this vm.
    pub me: VmRef,
    /// Settings.
    pub settings: Settings,
    /// The clock.
    pub clock: SystemClock,
    /// Metrics.
    pub metrics: Metrics,
    /// Calls that may not be repeated.
    pub unpooled_client: HttpClient,
    /// Appends to the control stream.
    pub control_batcher: Batcher,
    /// Appends to the claims stream.
    pub claims_batcher: Batcher,
    /// What was read of the log.
    pub log_state: LogState,
    /// Tokens and slots.
    pub quota: Quota,
    /// The other processes.
    pub fleet: FleetView,
    /// The upstreams.
    pub upstreams: Arc<UpstreamTracker>,
    /// Requests that wait, and the use of models.
    pub request_queue: Arc<RequestQueue<Permit>>,
    /// Calls that may not be repeated.
    pub claim_tracker: ClaimTracker,
    /// Requests under way, and the stop.
    pub lifecycle: Arc<Lifecycle>,
    /// Notified when an entry of a stream was applied.
    pub entry_applied: Notify,
    /// Notified when an upstream may have room.
    pub capacity_freed: Arc<Notify>,
    /// Notified when the process is to stop.
    pub stop_requested: Notify,
    /// Notified when the planner should look again.
    pub replan: Notify,
    /// Notified when a heartbeat should go out at once.
    pub heartbeat_now: Notify,
    /// Connections to other vms.
    pub peer_transport: PeerTransport,
    /// Records that were added lately, with the time.
    recent_records: Mutex<BTreeMap<String, Duration>>,
}

impl SharedState {
    /// The parts of a process that starts.
    pub fn new(settings: Settings, me: VmRef, clock: SystemClock, metrics: Metrics) -> Self {
        let log = settings.log_address.to_string();
        SharedState {
            control_batcher: Batcher::new(&log, "control", &me),
            claims_batcher: Batcher::new(&log, "claims", &me),
            me,
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

    /// Time since the process started.
    pub fn now(&self) -> Duration {
        self.clock.now()
    }

    /// The batcher of a stream.
    pub fn batcher(&self, stream: LogStream) -> &Batcher {
        match stream {
            LogStream::Control => &self.control_batcher,
            LogStream::Claims => &self.claims_batcher,
        }
    }

    /// Whether requests may be served.
    pub fn serving_status(&self, now: Duration) -> ServingStatus {
        let Some(confirmed) = self.log_state.confirmed_at(LogStream::Control) else {
            return ServingStatus::Isolated;
        };
        let others = self.log_state.other_members(&self.me);
        self.fleet.serving_status(now.saturating_sub(confirmed), &others, now)
    }

    /// Whether the process has heard of another, or has waited long enough for one.
    pub fn is_discovery_done(&self, now: Duration) -> bool {
        let alone = || self.log_state.other_members(&self.me).is_empty();
        self.fleet.live_count(now) > 0 || now > DISCOVERY_TIMEOUT || alone()
    }

    /// The other processes that hold slots of `tenant`, and how many each holds: those that are
    /// heard of, or all of them as long as none is.
    pub fn slot_holders(&self, tenant: &TenantName, now: Duration) -> Vec<(VmRef, u16)> {
        let mut holders: BTreeMap<VmRef, u16> = BTreeMap::new();
        self.log_state.control(|state| {
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

    /// What this process tells the others; `count` tells one heartbeat from the next.
    pub fn heartbeat(&self, count: u64, now: Duration) -> Heartbeat {
        let age = |at: Option<Duration>| {
            at.map_or(u64::MAX / 2, |at| now.saturating_sub(at).as_millis() as u64)
        };
        Heartbeat {
            vm: self.me.clone(),
            count,
            version: self.log_state.control(carobglade::ControlState::version),
            log_age: age(self.log_state.confirmed_at(LogStream::Control)),
            own_age: age(self.log_state.own_read()),
            draining: self.lifecycle.is_draining(),
            running: self.lifecycle.running(),
            slots: self.quota.slot_count() as u32,
            demand: self.request_queue.demand(now).into_iter().collect(),
            loads: self.upstreams.loads(),
            down: self.upstreams.down(),
        }
    }

    /// Adds a record unless the same one was added lately.
    pub fn add_deduplicated(&self, record: Record, now: Duration) {
        let text = match serde_json::to_string(&record) {
            Ok(text) => text,
            Err(err) => {
                log::error!("log: A record cannot be written: {err}.");
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

/// Names this run of the vm.
pub fn new_vm_ref(vm: VmName, clock: &SystemClock) -> VmRef {
    VmRef { vm, incarnation: Incarnation(clock.unix_millis()) }
}
