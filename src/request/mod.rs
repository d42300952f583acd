//! What lives for a request.

mod budget;
pub mod choose;
pub mod claim;
mod class;
mod estimate;
mod key;
pub mod queue;

pub use budget::{RetryBudget, RetrySettings};
pub use class::Class;
pub use estimate::{ModelCall, prompt_tokens};
pub use key::{is_key_header, strip_key, take_key};
