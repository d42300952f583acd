//! The state that all parts of the process share.

use std::collections::{BTreeMap, BTreeSet};
use std::sync::{Mutex, MutexGuard};
use std::time::Duration;

use carob_net::{Caller, Clock, SystemClock};
use carobglade::{
    ClaimRef, ClaimState, ControlState, Demand, FairQueue, Fleet, Health, HealthSettings,
    Heartbeat, Incarnation, Member, ModelName, Offset, Phase, Pool, Replay, RetryBudget,
    RetrySettings, Standing, TenantName, UpstreamName, VmName, VmRef, slots_of,
};
use tokio::sync::Notify;

use crate::append::Batcher;
use crate::metrics::Metrics;
use crate::peers::Links;
use crate::queue::Ticket;
use crate::settings::Settings;
use crate::shares::Hold;

const HEAR_TIME: Duration = Duration::from_secs(3); // from the start of the process
const DOWN_AFTER: u32 = 3; // polls without an answer

/// Use of one model by this process.
#[derive(Debug, Default)]
pub struct ModelUse {
    /// Requests that run.
    pub running: u32,
    /// When requests that wait began to, by ticket.
    pub waiting: BTreeMap<u64, Duration>,
    /// Moving mean of `running`.
    pub mean: f32,
    /// When it was last asked for.
    pub used: Duration,
}

/// One upstream as this process sees it.
#[derive(Debug)]
pub struct UpstreamUse {
    /// Requests that run.
    pub running: u32,
    /// How earlier requests ended.
    pub health: Health,
    /// Polls in a row that it did not answer, while this process is in charge of it.
    pub missed: u32,
    /// Mean seconds to the head of an answer.
    pub first_byte: Option<f64>,
    /// Its connections, replaced when one went silent.
    pub caller: Caller,
}

/// What is shared, behind one lock that is held for short steps only.
pub struct Inner {
    /// The control stream.
    pub control: Replay<ControlState>,
    /// The claims stream.
    pub claims: Replay<ClaimState>,
    /// When the tail of the control stream was last confirmed.
    pub confirmed: Option<Duration>,
    /// When this process itself last read the control stream.
    pub own_read: Option<Duration>,
    /// When the tail of the claims stream was last confirmed.
    pub claims_read: Option<Duration>,
    /// Log time minus own time, in milliseconds.
    pub log_offset: i64,
    /// Tokens.
    pub pool: Pool,
    /// Slots whose shares are in the pool already, with the entry that took them.
    pub slots: BTreeMap<u16, Offset>,
    /// The version that the pool was set for.
    pub pool_version: Offset,
    /// Tenants that the pool was set for.
    pub pool_tenants: BTreeMap<TenantName, Offset>,
    /// The hold on the slots.
    pub hold: Hold,
    /// When the next snapshot of each stream may be made.
    pub snapshots: BTreeMap<String, Duration>,
    /// The other processes.
    pub fleet: Fleet,
    /// Requests that wait for an upstream.
    pub queue: FairQueue<Ticket>,
    /// Models in use.
    pub models: BTreeMap<ModelName, ModelUse>,
    /// Upstreams in use.
    pub upstreams: BTreeMap<UpstreamName, UpstreamUse>,
    /// Upstreams that the platform's list shows as leaving.
    pub leaving: BTreeSet<String>,
    /// Loaded models that are missing from reports, since when.
    pub absent: BTreeMap<(UpstreamName, ModelName), Duration>,
    /// Records that were added lately, with the time.
    pub added: BTreeMap<String, Duration>,
    /// Budget for retries.
    pub budget: RetryBudget,
    /// Attempts that wait for their claim.
    pub attempts: BTreeSet<String>,
    /// Attempts whose call was sent and whose end was not applied yet.
    pub sent: BTreeSet<String>,
    /// Claims that were given up and whose release is under way.
    pub releasing: BTreeSet<String>,
    /// Requests that run or wait.
    pub in_flight: u32,
    /// Whether the balancer is told to send nothing more.
    pub leaving_soon: bool,
    /// Whether new requests are refused.
    pub draining: bool,
    /// Heartbeats sent.
    pub beats: u64,
}

/// The state that all parts of the process share.
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
    pub fresh: Caller,
    /// Appends to the control stream.
    pub control_log: Batcher,
    /// Appends to the claims stream.
    pub claims_log: Batcher,
    /// Notified when an entry of a stream was applied.
    pub applied: Notify,
    /// Notified when an upstream may have room.
    pub room: Notify,
    /// Notified when the process is to stop.
    pub stop: Notify,
    /// Notified when the planner should look again.
    pub planning: Notify,
    /// Notified when a heartbeat should go out at once.
    pub urgent: Notify,
    /// Connections to other vms.
    pub links: Links,
    inner: Mutex<Inner>,
}

impl Core {
    /// The state of a process that starts.
    pub fn new(settings: Settings, me: VmRef, clock: SystemClock, metrics: Metrics) -> Self {
        let inner = Inner {
            control: Replay::default(),
            claims: Replay::default(),
            confirmed: None,
            own_read: None,
            claims_read: None,
            log_offset: 0,
            pool: Pool::default(),
            slots: BTreeMap::new(),
            pool_version: Offset(0),
            pool_tenants: BTreeMap::new(),
            hold: Hold::default(),
            snapshots: BTreeMap::new(),
            fleet: Fleet::default(),
            queue: FairQueue::default(),
            models: BTreeMap::new(),
            upstreams: BTreeMap::new(),
            leaving: BTreeSet::new(),
            absent: BTreeMap::new(),
            added: BTreeMap::new(),
            budget: RetryBudget::new(RetrySettings::default()),
            attempts: BTreeSet::new(),
            sent: BTreeSet::new(),
            releasing: BTreeSet::new(),
            in_flight: 0,
            leaving_soon: false,
            draining: false,
            beats: 0,
        };
        let log = settings.log.to_string();
        Core {
            control_log: Batcher::new(&log, "control", &me),
            claims_log: Batcher::new(&log, "claims", &me),
            me,
            settings,
            clock,
            metrics,
            fresh: Caller::fresh(),
            applied: Notify::new(),
            room: Notify::new(),
            stop: Notify::new(),
            planning: Notify::new(),
            urgent: Notify::new(),
            links: Links::default(),
            inner: Mutex::new(inner),
        }
    }

    /// Locks the shared state.
    pub fn lock(&self) -> MutexGuard<'_, Inner> {
        self.inner.lock().unwrap_or_else(std::sync::PoisonError::into_inner)
    }

    /// Time since the process started.
    pub fn now(&self) -> Duration {
        self.clock.now()
    }
}

impl Inner {
    /// The other processes that joined.
    pub fn others(&self, me: &VmRef) -> Vec<VmRef> {
        let members = self.control.state().members().values();
        members.filter(|member| member.vm.vm != me.vm).map(|member| member.vm.clone()).collect()
    }

    /// The member that runs as `vm`.
    pub fn member(&self, vm: &VmRef) -> Option<&Member> {
        self.control.state().members().get(&vm.vm).filter(|member| member.vm == *vm)
    }

    /// Whether requests may be served.
    pub fn standing(&self, me: &VmRef, now: Duration) -> Standing {
        let age = self.confirmed.map_or(Duration::MAX, |at| now.saturating_sub(at));
        if age == Duration::MAX {
            return Standing::Isolated;
        }
        self.fleet.standing(age, &self.others(me), now)
    }

    /// The other processes that hold slots of `tenant`, and how many each holds: those that are
    /// heard of, or all of them as long as none is.
    pub fn homes(&self, tenant: &TenantName, me: &VmRef, now: Duration) -> Vec<(VmRef, u16)> {
        let mut homes: BTreeMap<VmRef, u16> = BTreeMap::new();
        let slots = self.control.state().slots();
        for holder in slots_of(tenant).filter_map(|slot| slots.holder(slot)) {
            if holder.vm != *me {
                *homes.entry(holder.vm.clone()).or_insert(0) += 1;
            }
        }
        if homes.keys().any(|vm| self.fleet.alive(vm, now)) {
            homes.retain(|vm, _| self.fleet.alive(vm, now));
        }
        homes.into_iter().collect()
    }

    /// Whether the process has heard of another, or has waited long enough for one.
    pub fn has_heard(&self, me: &VmRef, now: Duration) -> bool {
        let heard = self.fleet.living(now).next().is_some();
        heard || self.others(me).is_empty() || now > HEAR_TIME
    }

    /// Now on the log's clock, in milliseconds.
    pub fn log_time(&self, now: Duration) -> u64 {
        (now.as_millis() as i64 + self.log_offset).max(0) as u64
    }

    /// One upstream's use.
    pub fn upstream(&mut self, name: &UpstreamName) -> &mut UpstreamUse {
        self.upstreams.entry(name.clone()).or_insert_with(|| UpstreamUse {
            running: 0,
            health: Health::new(HealthSettings::default()),
            missed: 0,
            first_byte: None,
            caller: Caller::pooled(),
        })
    }

    /// Whether `upstream` takes new requests, as far as is known.
    pub fn takes_new(&self, upstream: &UpstreamName) -> bool {
        let config = self.control.state().config();
        let known = config.upstreams.get(upstream);
        let listed = self.leaving.contains(upstream.as_str());
        let reported = self.leaving.contains(&format!("report:{upstream}"));
        known.is_some_and(|u| !u.leaving) && !listed && !reported
    }

    /// The upstreams on which `model` is loaded.
    pub fn loaded_on(&self, model: &ModelName) -> Vec<UpstreamName> {
        let state = self.control.state();
        let base = state.config().base_of(model).clone();
        let loaded = |name: &ModelName, account: &carobglade::Account| {
            account.charges.get(name).is_some_and(|charge| charge.phase == Phase::Loaded)
        };
        let holding = state.ledger().holding(model);
        let holding = holding.filter(|(_, a)| loaded(model, a) && loaded(&base, a));
        holding.map(|(name, _)| name.clone()).filter(|name| self.takes_new(name)).collect()
    }

    /// Demand of this process for each model.
    pub fn own_demand(&self, now: Duration) -> BTreeMap<ModelName, Demand> {
        let used =
            self.models.iter().filter(|(_, used)| used.mean > 0.01 || !used.waiting.is_empty());
        let demand = used.map(|(model, used)| {
            let since = used.waiting.values().min().copied().unwrap_or(now);
            let demand = Demand {
                running: used.mean,
                waiting: used.waiting.len() as u32,
                oldest: now.saturating_sub(since).as_millis() as u32,
            };
            (model.clone(), demand)
        });
        demand.collect()
    }

    /// What this process tells the others.
    pub fn heartbeat(&mut self, me: &VmRef, now: Duration) -> Heartbeat {
        self.beats += 1;
        let age = |at: Option<Duration>| {
            at.map_or(u64::MAX / 2, |at| now.saturating_sub(at).as_millis() as u64)
        };
        let loads = self.upstreams.iter().filter(|(_, used)| used.running > 0);
        Heartbeat {
            vm: me.clone(),
            count: self.beats,
            version: self.control.state().version(),
            log_age: age(self.confirmed),
            own_age: age(self.own_read),
            draining: self.draining,
            running: self.in_flight,
            slots: self.slots.len() as u32,
            demand: self.own_demand(now).into_iter().collect(),
            loads: loads
                .map(|(name, used)| carobglade::UpstreamLoad {
                    upstream: name.clone(),
                    running: used.running,
                })
                .collect(),
            down: self.down(),
        }
    }

    /// Upstreams in this process's charge that do not answer.
    fn down(&self) -> Vec<UpstreamName> {
        let down = self.upstreams.iter().filter(|(_, used)| used.missed >= DOWN_AFTER);
        down.map(|(name, _)| name.clone()).collect()
    }

    /// Whether no process in charge of `upstream` finds that it does not answer.
    pub fn reachable(&self, upstream: &UpstreamName, now: Duration) -> bool {
        let own = self.upstreams.get(upstream);
        let usable = own.is_none_or(|used| used.missed < DOWN_AFTER && used.health.usable(now));
        usable && !self.fleet.living(now).any(|beat| beat.down.contains(upstream))
    }

    /// Claims of this process that no request stands behind and whose call was never sent.
    pub fn orphans(&self, me: &VmRef) -> Vec<ClaimRef> {
        let backed =
            |attempt: &String| self.attempts.contains(attempt) || self.sent.contains(attempt);
        self.claims.state().open_of(me).filter(|claim| !backed(&claim.attempt)).collect()
    }

    /// Forgets sent calls whose end was applied.
    pub fn forget_ended(&mut self, me: &VmRef) {
        let open: BTreeSet<String> =
            self.claims.state().open_of(me).map(|claim| claim.attempt).collect();
        self.sent.retain(|attempt| open.contains(attempt));
    }
}

/// Names this run of the vm.
pub fn identity(vm: VmName, clock: &SystemClock) -> VmRef {
    VmRef { vm, incarnation: Incarnation(clock.unix_millis()) }
}
