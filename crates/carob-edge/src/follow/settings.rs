//! How each topic of the log is followed: how often it is read, and how long a read may take.

use std::time::Duration;

use carob_platform::{OPERATOR_TOPIC, UPSTREAM_TOPIC, VM_TOPIC};

use crate::edge::Edge;
use crate::view::Topic;

/// How to follow a topic of the log.
#[derive(Clone, Copy)]
pub(super) struct FollowSettings {
    pub(super) topic: &'static str,
    /// The topic, if vms share their reads of it; `None` when every vm reads by itself.
    pub(super) shared_topic: Option<Topic>,
    /// Time for which the log may delay a response until a record is added.
    pub(super) long_poll: Duration,
    /// Pause between two reads.
    pub(super) read_interval: Duration,
    /// Time limit for a response, in addition to `long_poll`.
    pub(super) response_timeout: Duration,
    /// Maximum pause after failed reads.
    pub(super) max_backoff: Duration,
}

pub(super) const CONFIG: FollowSettings = FollowSettings {
    topic: OPERATOR_TOPIC,
    shared_topic: Some(Topic::Configuration),
    long_poll: Duration::from_millis(1300),
    read_interval: Duration::from_millis(10),
    response_timeout: RESPONSE_TIMEOUT,
    max_backoff: Duration::from_millis(600),
};
pub(super) const UPSTREAMS: FollowSettings = FollowSettings {
    topic: UPSTREAM_TOPIC,
    shared_topic: Some(Topic::Upstreams),
    long_poll: Duration::from_millis(600),
    read_interval: Duration::from_millis(800),
    response_timeout: RESPONSE_TIMEOUT,
    max_backoff: Duration::from_millis(600),
};
pub(super) const VMS: FollowSettings = FollowSettings {
    topic: VM_TOPIC,
    shared_topic: None,
    long_poll: Duration::from_secs(10),
    read_interval: Duration::from_millis(300),
    // One response holds the whole list, and the log may be slow.
    response_timeout: Duration::from_secs(4),
    max_backoff: Duration::from_millis(2500),
};

/// Pause between two reads of the list of vms in a large fleet, where many vms may start at once.
const LARGE_FLEET_INTERVAL: Duration = Duration::from_millis(1500);
/// Interval between two reads of the list of vms until the versions of services are known. Shorter
/// than the time by which the records of versions may be older than the list of upstreams.
const START_READ_INTERVAL: Duration = Duration::from_millis(800);
/// Maximum pause after failed reads of the list of vms until then, as for the other topics.
const START_MAX_BACKOFF: Duration = Duration::from_millis(600);
/// Time limit for a response; a log that responds at all is faster.
pub(super) const RESPONSE_TIMEOUT: Duration = Duration::from_millis(1200);
/// Long poll of a hub; short, because its members depend on the age of its reads.
const HUB_LONG_POLL: Duration = Duration::from_millis(400);
const HUB_READ_INTERVAL: Duration = Duration::from_millis(200);
/// Maximum backoff of a hub's member, which learns from the hub when the log responds again.
const MEMBER_MAX_BACKOFF: Duration = Duration::from_secs(2);
impl FollowSettings {
    /// Reports whether this vm reads the topic for other vms.
    pub(super) fn reads_for_others(&self, edge: &Edge) -> bool {
        self.shared_topic.is_some() && edge.hubs.borrow_mut().reads_log(edge.now())
    }

    /// Returns the settings for a vm that reads for others: shorter intervals, because the members
    /// depend on the age of its reads.
    pub(super) fn for_hub(self) -> Self {
        FollowSettings {
            long_poll: self.long_poll.min(HUB_LONG_POLL),
            read_interval: self.read_interval.min(HUB_READ_INTERVAL),
            ..self
        }
    }

    /// Returns the settings for the present size of the fleet.
    pub(super) fn for_fleet(self, edge: &Edge) -> Self {
        if self.topic == VM_TOPIC && edge.hubs.borrow().uses_hubs() {
            return FollowSettings { read_interval: LARGE_FLEET_INTERVAL, ..self };
        }
        self
    }

    /// Returns the settings for a vm that takes no callers before it knows the versions of services,
    /// which the list of vms holds.
    pub(super) fn for_start(self, edge: &Edge) -> Self {
        if self.topic != VM_TOPIC || edge.origins.versions.borrow().was_known() {
            return self;
        }
        FollowSettings {
            long_poll: Duration::ZERO,
            read_interval: self.read_interval.min(START_READ_INTERVAL),
            max_backoff: START_MAX_BACKOFF,
            ..self
        }
    }

    /// Returns the settings for the time after the log came back from an older copy, in which callers
    /// wait until the list of upstreams is whole again.
    pub(super) fn for_recovery(self, edge: &Edge) -> Self {
        let waits =
            edge.origins.versions.borrow().is_recovering() && !edge.hubs.borrow().uses_hubs();
        if self.topic == UPSTREAM_TOPIC && waits { self.for_hub() } else { self }
    }

    /// Returns the maximum pause after failed reads. It is longer for members of a hub, which learn
    /// from the hub that the log responds again.
    pub(super) fn max_backoff(&self, edge: &Edge, reads_for_others: bool) -> Duration {
        let member =
            self.shared_topic.is_some() && !reads_for_others && edge.hubs.borrow().uses_hubs();
        if member { MEMBER_MAX_BACKOFF } else { self.max_backoff }
    }
}
