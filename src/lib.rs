//! Coordination components for serving many models with bursty load on fewer accelerators.
//!
//! The components do no I/O and read no clock. Each takes the time and the events as arguments and
//! returns the actions to take, so that it can be embedded in any runtime and driven by a virtual
//! clock in tests.
//!
//! Every process replays the same log, so that all processes reach the same verdict:
//!
//! ```
//! use carobglade::{
//!     Change, ConfigChange, ControlState, LogEntry, Offset, Record, Replay, ReplayPage, TenantWire,
//!     Verdict,
//! };
//!
//! let tenant = TenantWire {
//!     name: "apron-desk".into(),
//!     class: "interactive".into(),
//!     rate: "1200/s".into(),
//!     burst: 4000,
//!     ..TenantWire::default()
//! };
//! let change = ConfigChange { base: Offset(0), changes: vec![Change::Tenant(tenant)] };
//! let entry = LogEntry {
//!     offset: Offset(1),
//!     time_ms: 1000,
//!     id: "first".into(),
//!     records: vec![Record::ConfigChange(change)],
//! };
//!
//! let mut replay = Replay::<ControlState>::default();
//! replay.apply_page(&ReplayPage { first: Offset(0), next: Offset(2), entries: vec![entry] });
//! assert_eq!(replay.state().verdict("first"), Some(&Verdict::Accepted(Offset(1))));
//! assert_eq!(replay.state().config().tenants.len(), 1);
//! ```

mod connection;
mod error;
mod process;
mod request;
mod units;
mod version;

pub use connection::{
    CallerTimeouts, CallerTimeoutsSettings, CircuitBreaker, CircuitBreakerSettings,
    ConnectionAdmission, ConnectionId, ConnectionStage, ConnectionTable, EventCheck, EventSequence,
    EventSplitter, EventTooLong, IdDistances, IdSource, IdSources, IdStep, InactivityTimeout,
    InactivityTimeoutSettings, KeepAlivePromise, MAX_EVENT_BYTES, NotNext, StreamPoint,
    TimeoutHistory,
};
pub use error::{Error, ErrorKind, ErrorResponse, ExecutionState, Result};
pub use process::fleet::{
    Fleet, HEARTBEAT_TIMEOUT, HashRing, Heartbeat, MAX_LOG_AGE, ServingStatus, UpstreamLoad,
    is_large_fleet,
};
pub use process::ledger::{MemoryAccount, MemoryCharge, MemoryLedger, ModelPhase, ORDER_TTL_MS};
pub use process::placement::{
    Demand, PlacementPolicy, PlacementSettings, PlanInput, plan_placement,
};
pub use process::quota::{
    BucketState, LOAN_TTL, Lender, LoanReport, LoanRequest, LoanResponse, QuotaBucket, RateLimiter,
    RateLimiterSettings, RefundPoint, ReporterState, Reservation, SlotShare, TenantUsage,
    TokenPool,
};
pub use process::{
    AdapterId, Backoff, BlockRecord, BlockedPrompt, Claim, ClaimOutcome, ClaimRef, ColdLimit,
    ConfigChange, ConnectPlan, ControlState, DECAY_INTERVAL, DutyChange, DutyClaim, DutyLeases,
    DutyLeasesSettings, EngineReport, EngineState, EntryChange, Evacuations, Evidence,
    EvidenceStrength, ExpectedWork, Fingerprint, Freshness, FreshnessSettings, GossipScope,
    GossipSource, GroupAssignment, HubSelector, HubSelectorSettings, Join, LeavingNotice,
    LimitNotice, Load, LoadTracker, LoadedModel, LogEntry, LogPosition, LogReading, Member,
    ModelDemand, ModelOrder, OrderIntent, OrderKind, OrderOutcome, OrderResolution, OrderTarget,
    OrderTracker, OrderTrackerSettings, OriginSource, PEER_LOAD_TTL, PathChange, PlacementGossip,
    PlacementUpdate, PromptQuarantine, PromptVerdict, QUARANTINE_THRESHOLD, QuarantineReport,
    QuietTimes, RecentChanges, Record, RecordsEra, Replay, ReplayPage, ReplayStatus,
    ReplicaPlanner, ReplicaPlannerSettings, RequestOutcome, ResponseTimes, RoomEvent, RoomNotice,
    RoomRequest, RoomTicket, SLOT_LEASE, SLOTS, SLOTS_PER_GROUP, ServiceVersions,
    ServiceVersionsSettings, SharedPrompt, SlotChange, SlotHolder, SlotTable, Snapshot,
    StateMachine, StreamKey, StreamOrigin, StreamOrigins, StreamOriginsSettings, Suspect, Suspects,
    Suspicion, TunnelVms, TunnelVmsSettings, Turn, UpstreamCrash, UpstreamEntry, UpstreamLimits,
    UpstreamPaths, UpstreamPathsSettings, UpstreamRegistry, UpstreamRegistrySettings,
    UpstreamRestart, UpstreamRooms, UsageRelay, UsageReport, Verdict, VerdictChange, VerdictReason,
    VersionRecord, VmProfile, VmRef, WorkCosts, WorkHistory, WorkHistorySettings, WorkReport,
    WorkTimes, name_hash, tenant_slots,
};
pub use request::claim::{
    ClaimDecision, ClaimPhase, ClaimState, KEY_RETENTION, RESPONSE_RETENTION, WinningClaim,
    validate_idempotency_key,
};
pub use request::fair_queue::{FairQueue, QueuedRequest};
pub use request::routing::{RoutingPolicy, UpstreamCandidate, choose_upstream};
pub use request::{
    AttemptHistory, AttemptOutcome, DispatchCandidate, DispatchDecision, DispatchSettings,
    HedgeSettings, HedgeTimer, ModelCall, RecentMaximum, RequestClass, RequestTiming, RequestWork,
    RetryBudget, RetryBudgetSettings, RetryDecision, StopAdmission, StopAdmissionSettings,
    TokenPace, Urgency, UrgencyClass, UrgentDemand, dispatch, estimate_prompt_tokens,
    extract_api_key, is_credential_header, is_final_status, strip_query_keys,
};
pub use units::{
    ByteSize, DataCentre, Incarnation, LogEra, ModelName, Offset, PromptPart, RejectionLimit,
    RequestRate, SoftwareVersion, TenantName, TokenRate, Tokens, UpstreamName, VmName,
    deserialize_told_time,
};
pub use version::{
    CallerLimits, Change, Config, ConfigProblem, ConfigWire, Difference, DifferenceKind, Engine,
    EngineModel, KeyDigest, KeyIndex, Model, ModelWire, PlatformConfig, PlatformRoute,
    PlatformService, PlatformTenant, RateLimit, Route, RouteKind, RouteWire, Service, ServiceWire,
    Tenant, TenantWire, Upstream, UpstreamWire, validate_config,
};
