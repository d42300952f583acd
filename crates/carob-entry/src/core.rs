//! The parts of the process, and what several of them say together.

use std::collections::BTreeMap;
use std::sync::{Arc, Mutex};
use std::time::Duration;

use carob_net::{Clock, HttpClient, SystemClock, lock};
use carobglade::{
    Heartbeat, Incarnation, Record, ServingStatus, TenantName, VmName, VmRef, tenant_slots,
};
use tokio::sync::Notify;

use crate::links::Links;
use crate::metrics::Metrics;
use crate::parts::{
    Batcher, Holdings, Life, Neighbours, OpenCalls, Stream, Streams, Upstreams, Waiting,
};
use crate::permit::Permit;
use crate::settings::Settings;

const HEAR_TIME: Duration = Duration::from_secs(3); // from the start of the process
const ADDED_TIME: Duration = Duration::from_secs(1); // in which a record is not added again

/// The parts of the process.
pub struct Core {
    /// This run of this vm.
    pub me: VmRef,
    /// Settings.
    pub settings: Settings,
    /// The clock.
    pub clock: SystemClock,
    /// Metrics.
    pub metrics: Metrics,
    /// Calls that may not be repeated.
    pub fresh: HttpClient,
    /// Appends to the control stream.
    pub control_log: Batcher,
    /// Appends to the claims stream.
    pub claims_log: Batcher,
    /// What was read of the log.
    pub streams: Streams,
    /// Tokens and slots.
    pub holdings: Holdings,
    /// The other processes.
    pub neighbours: Neighbours,
    /// The upstreams.
    pub upstreams: Arc<Upstreams>,
    /// Requests that wait, and the use of models.
    pub waiting: Arc<Waiting<Permit>>,
    /// Calls that may not be repeated.
    pub calls: OpenCalls,
    /// Requests under way, and the stop.
    pub life: Arc<Life>,
    /// Notified when an entry of a stream was applied.
    pub applied: Notify,
    /// Notified when an upstream may have room.
    pub room: Arc<Notify>,
    /// Notified when the process is to stop.
    pub stop: Notify,
    /// Notified when the planner should look again.
    pub planning: Notify,
    /// Notified when a heartbeat should go out at once.
    pub urgent: Notify,
    /// Connections to other vms.
    pub links: Links,
    /// Records that were added lately, with the time.
    added: Mutex<BTreeMap<String, Duration>>,
}

impl Core {
    /// The parts of a process that starts.
    pub fn new(settings: Settings, me: VmRef, clock: SystemClock, metrics: Metrics) -> Self {
        let log = settings.log.to_string();
        Core {
            control_log: Batcher::new(&log, "control", &me),
            claims_log: Batcher::new(&log, "claims", &me),
            me,
            settings,
            clock,
            metrics,
            fresh: HttpClient::unpooled(),
            streams: Streams::default(),
            holdings: Holdings::default(),
            neighbours: Neighbours::default(),
            upstreams: Arc::default(),
            waiting: Arc::default(),
            calls: OpenCalls::default(),
            life: Arc::default(),
            applied: Notify::new(),
            room: Arc::default(),
            stop: Notify::new(),
            planning: Notify::new(),
            urgent: Notify::new(),
            links: Links::default(),
            added: Mutex::default(),
        }
    }

    /// Time since the process started.
    pub fn now(&self) -> Duration {
        self.clock.now()
    }

    /// The batcher of a stream.
    pub fn batcher(&self, stream: Stream) -> &Batcher {
        match stream {
            Stream::Control => &self.control_log,
            Stream::Claims => &self.claims_log,
        }
    }

    /// Whether requests may be served.
    pub fn standing(&self, now: Duration) -> ServingStatus {
        let Some(confirmed) = self.streams.confirmed(Stream::Control) else {
            return ServingStatus::Isolated;
        };
        let others = self.streams.others(&self.me);
        self.neighbours.standing(now.saturating_sub(confirmed), &others, now)
    }

    /// Whether the process has heard of another, or has waited long enough for one.
    pub fn has_heard(&self, now: Duration) -> bool {
        let alone = || self.streams.others(&self.me).is_empty();
        self.neighbours.count(now) > 0 || now > HEAR_TIME || alone()
    }

    /// The other processes that hold slots of `tenant`, and how many each holds: those that are
    /// heard of, or all of them as long as none is.
    pub fn homes(&self, tenant: &TenantName, now: Duration) -> Vec<(VmRef, u16)> {
        let mut homes: BTreeMap<VmRef, u16> = BTreeMap::new();
        self.streams.control(|state| {
            for holder in tenant_slots(tenant).filter_map(|slot| state.slots().holder(slot)) {
                if holder.vm != self.me {
                    *homes.entry(holder.vm.clone()).or_insert(0) += 1;
                }
            }
        });
        if homes.keys().any(|vm| self.neighbours.alive(vm, now)) {
            homes.retain(|vm, _| self.neighbours.alive(vm, now));
        }
        homes.into_iter().collect()
    }

    /// What this process tells the others; `count` tells one heartbeat from the next.
    pub fn heartbeat(&self, count: u64, now: Duration) -> Heartbeat {
        let age = |at: Option<Duration>| {
            at.map_or(u64::MAX / 2, |at| now.saturating_sub(at).as_millis() as u64)
        };
        Heartbeat {
            vm: self.me.clone(),
            count,
            version: self.streams.control(carobglade::ControlState::version),
            log_age: age(self.streams.confirmed(Stream::Control)),
            own_age: age(self.streams.own_read()),
            draining: self.life.draining(),
            running: self.life.running(),
            slots: self.holdings.count() as u32,
            demand: self.waiting.demand(now).into_iter().collect(),
            loads: self.upstreams.loads(),
            down: self.upstreams.down(),
        }
    }

    /// Adds a record unless the same one was added lately.
    pub fn add_new(&self, record: Record, now: Duration) {
        let text = match serde_json::to_string(&record) {
            Ok(text) => text,
            Err(err) => {
                log::error!("log: A record cannot be written: {err}.");
                return;
            }
        };
        let mut added = lock(&self.added);
        added.retain(|_, at| now.saturating_sub(*at) < ADDED_TIME);
        if added.insert(text, now).is_none() {
            drop(self.control_log.add(record));
        }
    }
}

/// Names this run of the vm.
pub fn identity(vm: VmName, clock: &SystemClock) -> VmRef {
    VmRef { vm, incarnation: Incarnation(clock.unix_millis()) }
}
