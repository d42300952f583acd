//! Variants as numbers in messages, so that one that a newer build added loses only itself.

use carobglade::ReporterState;
use serde::{Deserialize, Serialize};

use crate::view::Topic;

/// The number of a topic of the log.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize, Deserialize)]
#[serde(transparent)]
pub struct WireTopic(pub u32);

/// The error for a number that this build knows no variant of.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct UnknownNumber;

impl From<Topic> for WireTopic {
    fn from(topic: Topic) -> Self {
        match topic {
            Topic::Configuration => WireTopic(0),
            Topic::Upstreams => WireTopic(1),
        }
    }
}

impl TryFrom<WireTopic> for Topic {
    type Error = UnknownNumber;

    fn try_from(wire: WireTopic) -> Result<Self, UnknownNumber> {
        match wire.0 {
            0 => Ok(Topic::Configuration),
            1 => Ok(Topic::Upstreams),
            _ => Err(UnknownNumber),
        }
    }
}

/// The number of the state of a reporter of usage.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize, Deserialize)]
#[serde(transparent)]
pub struct WireReporter(pub u32);

impl From<ReporterState> for WireReporter {
    fn from(state: ReporterState) -> Self {
        match state {
            ReporterState::New => WireReporter(0),
            ReporterState::Settled => WireReporter(1),
            ReporterState::Leaving => WireReporter(2),
        }
    }
}

impl From<WireReporter> for ReporterState {
    /// An unknown state is taken for `Leaving`: the tokens that were admitted count, the levels are
    /// not used.
    fn from(wire: WireReporter) -> Self {
        match wire.0 {
            0 => ReporterState::New,
            1 => ReporterState::Settled,
            _ => ReporterState::Leaving,
        }
    }
}
