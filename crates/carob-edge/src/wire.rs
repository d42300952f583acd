//! What vms of different builds tell each other and write to the log for each other, with its
//! encoding.
//!
//! `docs/design/old-and-new-builds.md` says how a field or a variant is added.

pub use crate::datagram::{decode, encode};
pub use crate::duty_claims::{CLAIM_VERSION, ClaimMessage};
pub use crate::event_ids::{IDS_VERSION, IdsMessage};
pub use crate::follow::VmEntry;
pub use crate::origin_log::{decode_streams, encode_streams};
pub use crate::origin_message::{ORIGIN_VERSION, OriginMessage};
pub use crate::peers::{
    Decoded, Extension, Message, OwnUsage, SenderRole, UnknownNumber, WireLoad, WireProgress,
    WireReading, WireReporter, WireTimes, WireTopic, WireUsageReport, WireWork,
};
pub use crate::rooms::{ROOM_VERSION, RoomMessage};
pub use crate::turns::{TURN_VERSION, TurnMessage};
pub use crate::view::Topic;
