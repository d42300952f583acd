//! What lives for a process: the replayed state of the platform log and the parts built on it.

mod control;
pub mod fleet;
pub mod ledger;
pub mod placement;
pub mod quota;
mod record;
mod replay;
mod slots;
mod suspects;

pub use control::{ControlState, Member, Verdict};
pub use record::{
    Claim, ClaimDone, ClaimRef, ConfigChange, Entry, Fingerprint, Intent, IntentKind, Join,
    Outcome, Record, Resolve, Restarted, SlotTake, Snapshot, Suspicion, VmRef,
};
pub use replay::{Fold, Page, Replay, ReplayStatus};
pub use slots::{Holder, SLOT_LEASE, SLOTS, SLOTS_PER_GROUP, SlotTable, slots_of};
pub use suspects::{QUARANTINE_AFTER, Suspects};
