//! The parts of the process, and what happens when one of them learns something.

use std::cell::{Cell, RefCell};
use std::collections::BTreeMap;
use std::rc::Rc;
use std::sync::Arc;
use std::sync::atomic::{AtomicBool, Ordering};
use std::time::Duration;

use carob_net::Clock;
use carobglade::{
    Board, Duties, DutySettings, HubSettings, Hubs, Incarnation, Load, Loads, ModelDemand,
    RateLimiter, RateLimiterSettings, RetryBudget, RetrySettings, Seat, Site, Suspects,
    UpstreamName, UsageRelay, VmName,
};
use tokio::sync::Notify;

use crate::metrics::Metrics;
use crate::pool::ConnectionPool;
use crate::settings::Settings;
use crate::store::StoreClient;
use crate::view::ClusterView;

/// Retries that all vms together keep in reserve, of those that the deployment allows.
const RETRY_RESERVE_FRACTION: f64 = 0.45;
/// Retries that a request earns, of those that the deployment allows.
const RETRY_RATIO_FRACTION: f64 = 0.8;

/// Tokens that a tenant's buckets hold together after a restart of all vms, of those that it may go
/// beyond its limit.
const RESTART_TOKENS_FRACTION: f64 = 0.9;

/// Time in which what a vm tells of tokens reaches all through hubs: two of them gather it.
const HUB_RELAY_DELAY: Duration = Duration::from_millis(350);

/// How long sums over all vms are used again, so that a hub adds them up once for many members.
const TOTALS_MAX_AGE: Duration = Duration::from_millis(50);

/// Sums over all vms, by short names.
#[derive(Clone, Debug, Default)]
pub struct Totals {
    /// Loads of upstreams.
    pub loads: BTreeMap<u32, Load>,
    /// Demand for models, in tokens a second.
    pub demand: BTreeMap<u32, u32>,
}

/// Counts things as long as they last.
#[derive(Clone, Debug, Default)]
pub struct InFlightCounter(Rc<Cell<u64>>);

/// One that is counted, until it is dropped.
#[derive(Debug)]
pub struct InFlightGuard(InFlightCounter);

impl InFlightCounter {
    /// Counts one more.
    pub fn increment(&self) -> InFlightGuard {
        self.0.set(self.0.get() + 1);
        InFlightGuard(self.clone())
    }

    /// How many there are.
    pub fn get(&self) -> u64 {
        self.0.get()
    }
}

impl Drop for InFlightGuard {
    fn drop(&mut self) {
        let counter = &self.0.0;
        counter.set(counter.get() - 1);
    }
}

/// The parts of the process. Each has its own state; none is held across a wait.
pub struct Edge {
    /// Settings.
    pub settings: Settings,
    /// The vm's name.
    pub vm: VmName,
    /// This run of the process.
    pub incarnation: Incarnation,
    /// A clock that runs on while the vm is suspended.
    pub clock: Rc<dyn Clock>,
    /// What the process believes.
    pub view: RefCell<ClusterView>,
    /// Loads of upstreams.
    pub loads: RefCell<Loads>,
    /// Tokens of tenants.
    pub meter: RefCell<RateLimiter>,
    /// Demand for models.
    pub demand: RefCell<ModelDemand>,
    /// Requests that crash upstreams.
    pub suspects: RefCell<Suspects>,
    /// Retries of each service.
    pub retry_budgets: RefCell<BTreeMap<String, RetryBudget>>,
    /// Duties of this process.
    pub duties: RefCell<Duties>,
    /// The vms that pass messages on in a large fleet.
    pub hubs: RefCell<Hubs>,
    /// Tokens that a hub has to pass on.
    pub token_relay: RefCell<UsageRelay>,
    /// Loads and demand of all vms, for the answers to members.
    totals: RefCell<Option<(Duration, Rc<Totals>)>>,
    /// Adapters that are asked for, and those that were ordered.
    pub board: RefCell<Board>,
    /// Connections to upstreams.
    pub pool: Rc<ConnectionPool>,
    /// The platform's log.
    pub store: StoreClient,
    /// Metrics.
    pub metrics: Arc<Metrics>,
    /// Whether the process takes new callers, as the balancer is told.
    pub ready: Arc<AtomicBool>,
    /// Whether the process is stopping.
    pub stopping: Cell<bool>,
    /// When the process ends, once it closes connections.
    pub drain_deadline: Cell<Option<Duration>>,
    /// Whether requests without an answer have to be given up, as the process ends.
    pub aborting: Cell<bool>,
    /// Wakes requests when the process begins to close connections, and when it ends.
    pub shutdown_changed: Notify,
    /// Requests under way.
    pub active_requests: InFlightCounter,
    /// Connections of callers.
    pub open_connections: InFlightCounter,
    /// Wakes those that wait for a model, an adapter or an upstream.
    pub capacity_changed: Notify,
    /// Wakes the planner.
    pub planner_wakeup: Notify,
    /// Wakes the messages to other vms.
    pub gossip_wakeup: Notify,
    /// Wakes a hub that has tokens to pass on.
    pub relay_wakeup: Notify,
}

impl Edge {
    /// The parts, knowing nothing yet.
    pub fn new(settings: Settings, clock: Rc<dyn Clock>, metrics: Arc<Metrics>) -> Rc<Self> {
        let now = clock.now();
        let pool = ConnectionPool::new(Rc::clone(&clock));
        let store = StoreClient::new(Rc::clone(&pool), Rc::clone(&clock), settings.store.address);
        let defaults = DutySettings::default();
        let shortest = Duration::from_millis(settings.store.shortest);
        let duties = DutySettings {
            ttl: defaults.ttl.max(shortest),
            longest: defaults.longest.max(shortest),
            lease: Duration::from_millis(settings.bounds.lease),
            ..defaults
        };
        let meter = RateLimiterSettings {
            initial_tokens: (settings.bounds.tokens as f64 * RESTART_TOKENS_FRACTION) as u64,
            ..RateLimiterSettings::default()
        };
        let vm: VmName = settings.vm.parse().unwrap_or_default();
        let place = settings.data_centre.parse().unwrap_or_default();
        let seat = Seat { place, power: settings.power() };
        let hubs = HubSettings { fleet: settings.hub_fleet, ..HubSettings::default() };
        let hubs = Hubs::new(hubs, vm.clone(), seat);
        Rc::new(Edge {
            vm,
            incarnation: Incarnation(clock.unix_millis()),
            view: RefCell::new(ClusterView::new(Duration::from_millis(settings.bounds.revoke))),
            loads: RefCell::default(),
            meter: RefCell::new(RateLimiter::new(meter, settings.first, now)),
            demand: RefCell::default(),
            suspects: RefCell::default(),
            retry_budgets: RefCell::default(),
            duties: RefCell::new(Duties::new(duties)),
            hubs: RefCell::new(hubs),
            token_relay: RefCell::default(),
            totals: RefCell::default(),
            board: RefCell::default(),
            pool,
            store,
            metrics,
            ready: Arc::new(AtomicBool::new(false)),
            stopping: Cell::new(false),
            drain_deadline: Cell::new(None),
            aborting: Cell::new(false),
            shutdown_changed: Notify::new(),
            active_requests: InFlightCounter::default(),
            open_connections: InFlightCounter::default(),
            capacity_changed: Notify::new(),
            planner_wakeup: Notify::new(),
            gossip_wakeup: Notify::new(),
            relay_wakeup: Notify::new(),
            settings,
            clock,
        })
    }

    /// Time since the vm started; runs on while the vm is suspended.
    pub fn now(&self) -> Duration {
        self.clock.now()
    }

    /// The configuration in force.
    pub fn site(&self) -> Option<Rc<Site>> {
        self.view.borrow().site.clone()
    }

    /// Takes a configuration into force unless a newer one is.
    pub fn apply_config(&self, site: Site, offset: u64) {
        let version = site.version;
        if !self.view.borrow_mut().apply_config(site) {
            return;
        }
        let Some(site) = self.site() else {
            return;
        };
        let mut meter = self.meter.borrow_mut();
        meter.retain(|name| site.tenants.contains_key(name));
        for tenant in site.tenants.values() {
            meter.set_limits(&tenant.name, tenant.rate, tenant.burst);
        }
        self.metrics.record_version(version);
        log::info!(target: "config", version = version, offset = offset, routes = site.routes.values().map(Vec::len).sum::<usize>(), tenants = site.tenants.len(); "A configuration is in force.");
        self.capacity_changed.notify_waiters();
    }

    /// Tells the balancer whether to send callers here.
    pub fn update_ready(&self) {
        let view = self.view.borrow();
        let known = view.site.is_some() && view.roster.is_known();
        let ready = !self.stopping.get() && known && view.freshness.ready(self.now());
        if self.ready.swap(ready, Ordering::Relaxed) != ready {
            let age = view.freshness.age(self.now()).map_or(0, |age| age.as_millis() as u64);
            log::info!(target: "ready", ready = ready, age = age; "The process changed whether it takes callers.");
        }
    }

    /// An upstream is gone.
    pub fn on_upstream_removed(&self, name: &UpstreamName) {
        log::info!(target: "upstreams", upstream:% = name; "An upstream is gone.");
        self.on_upstream_restarted(name);
        self.on_placement_changed();
    }

    /// An upstream started again: nothing that was known of it holds.
    pub fn on_upstream_restarted(&self, name: &UpstreamName) {
        self.pool.close_idle(name);
        self.loads.borrow_mut().forget(name);
        self.board.borrow_mut().forget(name);
    }

    /// What upstreams hold changed.
    pub fn on_placement_changed(&self) {
        self.capacity_changed.notify_waiters();
        self.planner_wakeup.notify_one();
    }

    /// Vms that share the work, this one included.
    pub fn fleet_size(&self) -> usize {
        self.view.borrow().peers.len() + 1
    }

    /// Tells the tenants' buckets how many vms share them, once that is known.
    pub fn update_fleet_size(&self) {
        if self.view.borrow().vms_known {
            let relayed = self.hubs.borrow().in_use();
            let mut meter = self.meter.borrow_mut();
            meter.set_fleet_size(self.fleet_size(), self.now());
            meter.set_report_delay(if relayed { HUB_RELAY_DELAY } else { Duration::ZERO });
        }
    }

    /// Loads and demand of all vms, added up at most a short time ago.
    pub fn totals(&self, now: Duration) -> Rc<Totals> {
        let mut kept = self.totals.borrow_mut();
        if let Some((at, totals)) = &*kept
            && now.saturating_sub(*at) < TOTALS_MAX_AGE
        {
            return Rc::clone(totals);
        }
        let loads = self.loads.borrow().sum(|_| true, now);
        let demand = self.demand.borrow_mut().sum(|_| true, now);
        let totals = Rc::new(Totals { loads, demand });
        *kept = Some((now, Rc::clone(&totals)));
        totals
    }

    /// Counts a request that came for a service.
    pub fn deposit_retry(&self, service: &str) {
        self.with_retry_budget(service, RetryBudget::deposit);
    }

    /// Takes a retry from the budget of a service; false when it is used up.
    pub fn withdraw_retry(&self, service: &str) -> bool {
        let now = self.now();
        self.with_retry_budget(service, |budget| budget.withdraw(now))
    }

    fn with_retry_budget<T>(&self, service: &str, act: impl FnOnce(&mut RetryBudget) -> T) -> T {
        let mut retries = self.retry_budgets.borrow_mut();
        let budget = retries.entry(service.to_owned()).or_insert_with(|| {
            let bounds = self.settings.bounds;
            RetryBudget::new(RetrySettings {
                ratio: bounds.retries * RETRY_RATIO_FRACTION,
                most: (bounds.spare * RETRY_RESERVE_FRACTION / self.fleet_size() as f64).max(1.0),
                floor: 0.0,
            })
        });
        act(budget)
    }
}
