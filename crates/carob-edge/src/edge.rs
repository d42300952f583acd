//! The shared state of the process, and the updates that affect several parts of it.

use std::cell::{Cell, OnceCell, RefCell};
use std::collections::BTreeMap;
use std::fmt::Display;
use std::rc::Rc;
use std::sync::Arc;
use std::sync::atomic::{AtomicBool, Ordering};
use std::time::Duration;

use carob_net::Clock;
use carobglade::{
    CallerTimeouts, CallerTimeoutsSettings, DutyLeases, DutyLeasesSettings, HubSelector,
    HubSelectorSettings, IdSources, Incarnation, Load, LoadTracker, ModelDemand, PlacementGossip,
    PlatformConfig, PromptQuarantine, QuietTimes, RateLimiter, RateLimiterSettings, RecentMaximum,
    ResponseTimes, RetryBudget, RetryBudgetSettings, Suspect, Suspects, TokenPace, Tokens,
    UpstreamCrash, UpstreamLimits, UpstreamName, UpstreamRooms, UrgentDemand, UsageRelay, VmName,
    VmProfile, WorkCosts,
};
use tokio::net::UdpSocket;
use tokio::sync::Notify;

use crate::broken_attempt::BrokenAttempt;
use crate::byte_budget::ByteBudget;
use crate::connection_gate::ConnectionGate;
use crate::in_flight::InFlightCounter;
use crate::metrics::Metrics;
use crate::origin_state::OriginState;
use crate::path_state::PathState;
use crate::pool::ConnectionPool;
use crate::settings::Settings;
use crate::stop_counts::StopCounts;
use crate::store::StoreClient;
use crate::turn_requests::TurnRequests;
use crate::undecoded::Undecoded;
use crate::view::ClusterView;

/// Fraction of `bounds.spare` that the retry budgets of all vms hold in reserve together.
const RETRY_RESERVE_FRACTION: f64 = 0.45;
/// Fraction of `bounds.retries` that each request adds to the retry budget.
const RETRY_RATIO_FRACTION: f64 = 0.8;

/// Fraction of `bounds.tokens` (the allowed overshoot) that the buckets of a tenant hold together
/// after all vms restarted.
const RESTART_TOKENS_FRACTION: f64 = 0.9;

/// Time in which a usage report reaches every vm through hubs; two hubs on the way batch reports.
const HUB_RELAY_DELAY: Duration = Duration::from_millis(350);

/// Time for which sums over all vms are cached, so that a hub computes them once for many members.
const TOTALS_MAX_AGE: Duration = Duration::from_millis(50);

/// Maximum size of all responses of upstreams together that are being read whole.
const MAX_RESPONSES_BYTES: usize = 16 << 20;

/// Sums over all vms, keyed by name hash.
#[derive(Clone, Debug, Default)]
pub struct Totals {
    /// Load of each upstream.
    pub loads: BTreeMap<u32, Load>,
    /// Demand for each model, in tokens per second.
    pub demand: BTreeMap<u32, u32>,
}

/// The shared state of the process. No cell stays borrowed across an `await`.
pub struct Edge {
    /// The settings read at startup.
    pub settings: Settings,
    /// The name of this vm.
    pub vm: VmName,
    /// Identifies this run of the process by its start, in milliseconds of Unix time.
    pub incarnation: Incarnation,
    /// A monotonic clock that also advances while the vm is suspended.
    pub clock: Rc<dyn Clock>,
    /// The configuration, the upstreams and the other vms as this process knows them.
    pub view: RefCell<ClusterView>,
    /// Loads of upstreams, from this vm and its peers.
    pub loads: RefCell<LoadTracker>,
    /// Token buckets of tenants.
    pub rate_limiter: RefCell<RateLimiter>,
    /// Tokens that tenants ask for, by the priority of routes.
    pub urgent_demand: RefCell<UrgentDemand>,
    /// Tokens that the largest recent request of each route was charged.
    largest_charges: RefCell<BTreeMap<String, RecentMaximum>>,
    /// Demand for models, from this vm and its peers.
    pub demand: RefCell<ModelDemand>,
    /// Pace at which the responses of each service have to be generated.
    pub token_pace: RefCell<TokenPace>,
    /// How long plain requests take at each service.
    pub response_times: RefCell<ResponseTimes>,
    /// How far apart the ids of events are, by model and software version.
    pub id_sources: RefCell<IdSources>,
    /// Requests that were in flight when an upstream crashed.
    pub suspects: RefCell<Suspects>,
    /// Parts of prompts that crash upstreams.
    pub quarantine: RefCell<PromptQuarantine>,
    /// Broken attempts whose upstreams may have ended, by the crash that would have ended them.
    pub crash_checks: RefCell<BTreeMap<UpstreamCrash, Vec<BrokenAttempt>>>,
    /// Retry budget of each service.
    pub retry_budgets: RefCell<BTreeMap<String, RetryBudget>>,
    /// Duties that this process holds.
    pub duty_leases: RefCell<DutyLeases>,
    /// The vms that relay messages in a large fleet.
    pub hubs: RefCell<HubSelector>,
    /// Usage reports that this vm relays when it is a hub.
    pub usage_relay: RefCell<UsageRelay>,
    /// Cached sums over all vms with the time when they were computed, for digests to members.
    totals: RefCell<Option<(Duration, Rc<Totals>)>>,
    /// Upstreams that want no requests for a while.
    pub quiet_times: RefCell<QuietTimes>,
    /// What requests for each model cost, and how slow each upstream is.
    pub work: RefCell<WorkCosts>,
    /// Requested adapters, and the placement changes that were announced.
    pub placement: RefCell<PlacementGossip>,
    /// Pooled connections to upstreams and to the log.
    pub pool: Rc<ConnectionPool>,
    /// Memory for responses of upstreams that are read whole.
    pub response_budget: Rc<ByteBudget>,
    /// Memory for the bodies of requests.
    pub body_budget: Rc<ByteBudget>,
    /// Client of the platform's log.
    pub store: StoreClient,
    /// Metrics of the process.
    pub metrics: Arc<Metrics>,
    /// Readiness as reported to the load balancer.
    pub ready: Arc<AtomicBool>,
    /// Whether the process is shutting down.
    pub stopping: Cell<bool>,
    /// Time by which all requests have to end, set once the process stops.
    pub drain_deadline: Cell<Option<Duration>>,
    /// Time from which callers that are refused in a stop reach another vm.
    pub rerouted_at: Cell<Duration>,
    /// Whether requests without a response are aborted because the process is about to exit.
    pub aborting: Cell<bool>,
    /// Whether the process ended its shutdown; requests that are still open are dropped.
    pub stopped: Cell<bool>,
    /// Time until which callers may use idle connections, as they were told.
    pub promised_until: Cell<Duration>,
    /// What the stop did to callers.
    pub stop_counts: StopCounts,
    /// Wakes requests when `aborting` is set.
    pub shutdown_changed: Notify,
    /// Requests in flight.
    pub active_requests: InFlightCounter,
    /// Ends of the waits of callers' connections.
    pub caller_timeouts: RefCell<CallerTimeouts>,
    /// Heads of requests that have arrived in part.
    pub partial_heads: InFlightCounter,
    /// Bounds the connections of callers.
    pub caller_gate: Rc<ConnectionGate>,
    /// Open connections of callers.
    pub open_connections: InFlightCounter,
    /// Orders to engines without a response yet.
    pub orders_in_flight: InFlightCounter,
    /// Wakes requests that wait for a model, an adapter or an upstream.
    pub capacity_changed: Notify,
    /// Paths to upstreams, directly and through other vms.
    pub paths: PathState,
    /// Limits that upstreams name.
    pub limits: RefCell<UpstreamLimits>,
    /// Brittle upstreams, and who may send to them.
    pub rooms: RefCell<UpstreamRooms>,
    /// Turns at limited upstreams that other vms were asked for.
    pub turn_requests: TurnRequests,
    /// Messages and records that could not be decoded.
    pub undecoded: Undecoded,
    /// The socket for messages to other vms, once it is open.
    pub peer_socket: OnceCell<Rc<UdpSocket>>,
    /// Versions of upstreams' software, and the streams that began at them.
    pub origins: OriginState,
    /// Generations of the verdicts on parts of prompts that the log keeps.
    pub kept_verdicts: RefCell<BTreeMap<Suspect, u32>>,
    /// Wakes requests when a part of prompts is blocked.
    pub quarantine_changed: Notify,
    /// Wakes the planner before its interval ends.
    pub planner_wakeup: Notify,
    /// Wakes the sender of messages to other vms before its interval ends.
    pub gossip_wakeup: Notify,
    /// Wakes the relay of usage reports.
    pub relay_wakeup: Notify,
}

impl Edge {
    /// Creates the state of a process that has read nothing yet.
    pub fn new(settings: Settings, clock: Rc<dyn Clock>, metrics: Arc<Metrics>) -> Rc<Self> {
        let now = clock.now();
        let pool = ConnectionPool::new(Rc::clone(&clock));
        let store = StoreClient::new(Rc::clone(&pool), Rc::clone(&clock), settings.store.address);
        let defaults = DutyLeasesSettings::default();
        let min_ttl = Duration::from_millis(settings.store.shortest);
        let duty_settings = DutyLeasesSettings {
            min_ttl: defaults.min_ttl.max(min_ttl),
            max_ttl: defaults.max_ttl.max(min_ttl),
            reacquire_delay: Duration::from_millis(settings.bounds.lease),
            ..defaults
        };
        let limiter_settings = RateLimiterSettings {
            initial_tokens: (settings.bounds.tokens as f64 * RESTART_TOKENS_FRACTION) as u64,
            ..RateLimiterSettings::default()
        };
        let timeout_settings = CallerTimeoutsSettings {
            min_idle: settings.keep_alive_promise().idle_time(),
            ..CallerTimeoutsSettings::default()
        };
        let vm: VmName = settings.vm.parse().unwrap_or_default();
        let data_centre = settings.data_centre.parse().unwrap_or_default();
        let profile = VmProfile { data_centre, cpu_capacity: settings.cpu_capacity() };
        let hub_settings =
            HubSelectorSettings { min_fleet: settings.hub_fleet, ..HubSelectorSettings::default() };
        let hubs = HubSelector::new(hub_settings, vm.clone(), profile);
        let caller_gate =
            ConnectionGate::new("callers", settings.max_caller_connections(), Rc::clone(&clock));
        Rc::new(Edge {
            vm,
            incarnation: Incarnation(clock.unix_millis()),
            view: RefCell::new(ClusterView::new(Duration::from_millis(settings.bounds.revoke))),
            loads: RefCell::default(),
            rate_limiter: RefCell::new(RateLimiter::new(limiter_settings, settings.first, now)),
            urgent_demand: RefCell::default(),
            largest_charges: RefCell::default(),
            demand: RefCell::default(),
            token_pace: RefCell::default(),
            response_times: RefCell::default(),
            id_sources: RefCell::default(),
            suspects: RefCell::default(),
            quarantine: RefCell::default(),
            crash_checks: RefCell::default(),
            retry_budgets: RefCell::default(),
            duty_leases: RefCell::new(DutyLeases::new(duty_settings)),
            hubs: RefCell::new(hubs),
            usage_relay: RefCell::default(),
            totals: RefCell::default(),
            quiet_times: RefCell::default(),
            work: RefCell::default(),
            placement: RefCell::default(),
            pool,
            response_budget: ByteBudget::new(MAX_RESPONSES_BYTES),
            body_budget: ByteBudget::new(settings.max_bodies_bytes()),
            store,
            metrics,
            ready: Arc::new(AtomicBool::new(false)),
            stopping: Cell::new(false),
            drain_deadline: Cell::new(None),
            rerouted_at: Cell::default(),
            aborting: Cell::new(false),
            stopped: Cell::new(false),
            promised_until: Cell::default(),
            stop_counts: StopCounts::default(),
            shutdown_changed: Notify::new(),
            active_requests: InFlightCounter::default(),
            caller_timeouts: RefCell::new(CallerTimeouts::new(timeout_settings)),
            partial_heads: InFlightCounter::default(),
            caller_gate,
            open_connections: InFlightCounter::default(),
            orders_in_flight: InFlightCounter::default(),
            capacity_changed: Notify::new(),
            paths: PathState::default(),
            limits: RefCell::default(),
            rooms: RefCell::default(),
            turn_requests: TurnRequests::default(),
            undecoded: Undecoded::default(),
            peer_socket: OnceCell::new(),
            origins: OriginState::new(settings.first),
            kept_verdicts: RefCell::default(),
            quarantine_changed: Notify::new(),
            planner_wakeup: Notify::new(),
            gossip_wakeup: Notify::new(),
            relay_wakeup: Notify::new(),
            settings,
            clock,
        })
    }

    /// Returns the time since the vm booted, including time in suspension.
    pub fn now(&self) -> Duration {
        self.clock.now()
    }

    /// Counts a message or a record that cannot be decoded, and logs one line in an interval. `role`
    /// is the label in metrics, `from` the sender or the topic of the log.
    pub fn report_undecoded(&self, role: &'static str, from: &str, err: &dyn Display) {
        self.metrics.record_undecoded(role);
        if let Some(count) = self.undecoded.record(role, self.now()) {
            log::warn!(target: "peers", role = role, from = from, error:% = err, count = count; "A message or record cannot be decoded.");
        }
    }

    /// Keeps idle connections of callers open for at least `time` from now.
    pub fn keep_connections_open(&self, time: Duration) {
        self.promised_until.set(self.promised_until.get().max(self.now() + time));
    }

    /// Returns the configuration in force, or `None` before one was read.
    pub fn config(&self) -> Option<Rc<PlatformConfig>> {
        self.view.borrow().config.clone()
    }

    /// Applies a configuration unless the one in force has the same or a newer version.
    pub fn apply_config(&self, config: PlatformConfig, offset: u64) {
        let version = config.version;
        if !self.view.borrow_mut().apply_config(config) {
            return;
        }
        let Some(config) = self.config() else {
            return;
        };
        self.caller_timeouts.borrow_mut().record(&config.limits, self.now());
        let mut rate_limiter = self.rate_limiter.borrow_mut();
        rate_limiter.retain(|name| config.tenants.contains_key(name));
        for tenant in config.tenants.values() {
            rate_limiter.set_limits(&tenant.name, tenant.rate, tenant.burst);
        }
        self.urgent_demand.borrow_mut().retain(|name| config.tenants.contains_key(name));
        self.largest_charges
            .borrow_mut()
            .retain(|name, _| config.routes.values().flatten().any(|route| route.name == *name));
        self.metrics.record_version(version);
        log::info!(target: "config", version = version, offset = offset, routes = config.routes.values().map(Vec::len).sum::<usize>(), tenants = config.tenants.len(); "A configuration is in force.");
        self.capacity_changed.notify_waiters();
    }

    /// Recomputes the readiness that the load balancer sees.
    pub fn update_ready(&self) {
        let view = self.view.borrow();
        let known = view.config.is_some()
            && view.upstreams.was_read()
            && self.origins.versions.borrow().was_known();
        let ready = !self.stopping.get() && known && view.freshness.is_ready(self.now());
        if self.ready.swap(ready, Ordering::Relaxed) != ready {
            let age = view.freshness.age(self.now()).map_or(0, |age| age.as_millis() as u64);
            log::info!(target: "ready", ready = ready, age = age; "The process changed whether it takes callers.");
        }
    }

    /// Discards the state of an upstream that left the registry; wakes waiting requests and the
    /// planner.
    pub fn on_upstream_removed(&self, name: &UpstreamName) {
        log::info!(target: "upstreams", upstream:% = name; "Upstream removed from the registry.");
        self.on_upstream_restarted(name);
        self.limits.borrow_mut().remove(name);
        self.rooms.borrow_mut().remove(name, self.now());
        self.on_placement_changed();
    }

    /// Discards the state of an upstream that restarted: its connections, loads and placement.
    pub fn on_upstream_restarted(&self, name: &UpstreamName) {
        self.pool.close_idle(name);
        self.paths.table.borrow_mut().remove(name);
        self.loads.borrow_mut().reset_stats(name);
        self.work.borrow_mut().reset_upstream(name);
        self.quiet_times.borrow_mut().remove(name);
        self.placement.borrow_mut().remove_updates(name);
    }

    /// Wakes waiting requests and the planner after the models of upstreams changed.
    pub fn on_placement_changed(&self) {
        self.capacity_changed.notify_waiters();
        self.planner_wakeup.notify_one();
    }

    /// Returns the number of vms in the fleet, including this one.
    pub fn fleet_size(&self) -> usize {
        self.view.borrow().peers.len() + 1
    }

    /// Passes the fleet size and the relay delay of usage reports to the rate limiter, once the
    /// list of vms was read.
    pub fn update_fleet_size(&self) {
        if self.view.borrow().vms_known {
            let relayed = self.hubs.borrow().uses_hubs();
            let mut rate_limiter = self.rate_limiter.borrow_mut();
            rate_limiter.set_fleet_size(self.fleet_size(), self.now());
            rate_limiter.set_relay_delay(if relayed { HUB_RELAY_DELAY } else { Duration::ZERO });
        }
    }

    /// Returns the loads and demand of all vms, computed at most `TOTALS_MAX_AGE` ago.
    pub fn totals(&self, now: Duration) -> Rc<Totals> {
        let mut cached = self.totals.borrow_mut();
        if let Some((at, totals)) = &*cached
            && now.saturating_sub(*at) < TOTALS_MAX_AGE
        {
            return Rc::clone(totals);
        }
        let loads = self.loads.borrow().sum_over(|_| true, now);
        let demand = self.demand.borrow_mut().sum_over(|_| true, now);
        let totals = Rc::new(Totals { loads, demand });
        *cached = Some((now, Rc::clone(&totals)));
        totals
    }

    /// Records the tokens charged for a request of a route, and returns those of the largest recent
    /// request of the route.
    pub fn largest_charge(&self, route: &str, tokens: Tokens) -> Tokens {
        let mut largest = self.largest_charges.borrow_mut();
        let maximum = largest.entry(route.to_owned()).or_default();
        Tokens(maximum.record(tokens.0 as f64, self.now()) as u64)
    }

    /// Adds the share of one request to the retry budget of a service.
    pub fn deposit_retry(&self, service: &str) {
        self.with_retry_budget(service, RetryBudget::deposit);
    }

    /// Takes one retry from the budget of a service; returns false when the budget is exhausted.
    pub fn withdraw_retry(&self, service: &str) -> bool {
        let now = self.now();
        self.with_retry_budget(service, |budget| budget.withdraw(now))
    }

    /// Gives back a retry that was taken from the budget of a service and not made.
    pub fn refund_retry(&self, service: &str) {
        self.with_retry_budget(service, RetryBudget::refund);
    }

    fn with_retry_budget<T>(&self, service: &str, act: impl FnOnce(&mut RetryBudget) -> T) -> T {
        let bounds = self.settings.bounds;
        let reserve = bounds.spare * RETRY_RESERVE_FRACTION;
        let capacity = (reserve / self.fleet_size() as f64).max(1.0);
        let mut retries = self.retry_budgets.borrow_mut();
        let budget = retries.entry(service.to_owned()).or_insert_with(|| {
            let ratio = bounds.retries * RETRY_RATIO_FRACTION;
            RetryBudget::new(RetryBudgetSettings { ratio, capacity, min_rate: 0.0 })
        });
        budget.set_capacity(capacity);
        act(budget)
    }
}
