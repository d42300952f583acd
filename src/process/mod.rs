//! State that a process keeps for its whole run: the replayed log and the components built on it.

mod backoff;
mod control_state;
mod decaying_rate;
mod duty_claims;
mod duty_leases;
mod evacuations;
pub mod fleet;
mod freshness;
mod hub_selector;
mod lease_term;
pub mod ledger;
mod list_recovery;
mod load_tracker;
mod log_reading;
mod model_demand;
mod order_tracker;
pub mod placement;
mod placement_gossip;
mod prompt_quarantine;
mod quiet_times;
pub mod quota;
mod record;
mod replay;
mod replica_planner;
mod response_times;
mod room_schedule;
mod service_ratio;
mod service_versions;
mod slot_table;
mod stream_origins;
mod stream_progress;
mod suspects;
mod token_bucket;
mod tunnel_vms;
mod upstream_limits;
mod upstream_paths;
mod upstream_registry;
mod upstream_room;
mod usage_relay;
mod work_costs;
mod work_history;

pub use backoff::Backoff;
pub use control_state::{ControlState, Member, Verdict};
pub(crate) use decaying_rate::DecayingRate;
pub use duty_claims::DutyClaim;
pub use duty_leases::{DutyChange, DutyLeases, DutyLeasesSettings, GroupAssignment};
pub use evacuations::Evacuations;
pub use freshness::{Freshness, FreshnessSettings};
pub use hub_selector::{HubSelector, HubSelectorSettings, VmProfile};
pub use list_recovery::RecordsEra;
pub use load_tracker::{DECAY_INTERVAL, Load, LoadTracker, PEER_LOAD_TTL, name_hash};
pub use log_reading::{LogPosition, LogReading, RecentChanges};
pub use model_demand::ModelDemand;
pub use order_tracker::{
    EngineReport, OrderOutcome, OrderTarget, OrderTracker, OrderTrackerSettings,
};
pub use placement_gossip::{
    AdapterId, GossipScope, GossipSource, PlacementGossip, PlacementUpdate,
};
pub use prompt_quarantine::{
    BlockRecord, BlockedPrompt, Evidence, EvidenceStrength, PromptQuarantine, PromptVerdict,
    QuarantineReport, SharedPrompt, Suspect, UpstreamCrash, VerdictChange, VerdictReason,
};
pub use quiet_times::QuietTimes;
pub use record::{
    Claim, ClaimOutcome, ClaimRef, ConfigChange, Fingerprint, Join, LogEntry, OrderIntent,
    OrderKind, OrderResolution, Record, RequestOutcome, SlotChange, Snapshot, Suspicion,
    UpstreamRestart, VmRef,
};
pub use replay::{Replay, ReplayPage, ReplayStatus, StateMachine};
pub use replica_planner::{EngineState, ModelOrder, ReplicaPlanner, ReplicaPlannerSettings};
pub use response_times::ResponseTimes;
pub(crate) use service_ratio::ServiceRatio;
pub use service_versions::{ServiceVersions, ServiceVersionsSettings, VersionRecord};
pub use slot_table::{SLOT_LEASE, SLOTS, SLOTS_PER_GROUP, SlotHolder, SlotTable, tenant_slots};
pub use stream_origins::{
    OriginSource, StreamKey, StreamOrigin, StreamOrigins, StreamOriginsSettings,
};
pub(crate) use stream_progress::StreamProgress;
pub use suspects::{QUARANTINE_THRESHOLD, Suspects};
pub(crate) use token_bucket::TokenBucket;
pub use tunnel_vms::{TunnelVms, TunnelVmsSettings};
pub use upstream_limits::{ColdLimit, LimitNotice, Turn, UpstreamLimits};
pub use upstream_paths::{ConnectPlan, PathChange, UpstreamPaths, UpstreamPathsSettings};
pub use upstream_registry::{
    EntryChange, LeavingNotice, LoadedModel, UpstreamEntry, UpstreamRegistry,
    UpstreamRegistrySettings,
};
pub use upstream_room::{RoomEvent, RoomNotice, RoomRequest, RoomTicket, UpstreamRooms};
pub use usage_relay::{UsageRelay, UsageReport};
pub use work_costs::{ExpectedWork, WorkCosts, WorkReport};
pub use work_history::{WorkHistory, WorkHistorySettings, WorkTimes};
