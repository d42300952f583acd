//! What lives for a request.

mod attempt;
mod budget;
pub mod choose;
pub mod claim;
mod class;
mod dispatch;
mod estimate;
mod key;
pub mod queue;

pub use attempt::{AttemptHistory, AttemptOutcome, RetryDecision};
pub use budget::{RetryBudget, RetrySettings};
pub use class::Class;
pub use dispatch::{
    DispatchCandidate, DispatchDecision, DispatchSettings, RequestTiming, dispatch,
};
pub use estimate::{ModelCall, prompt_tokens};
pub use key::{is_key_header, strip_key, take_key};
