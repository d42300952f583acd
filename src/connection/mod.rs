//! What lives for a connection.

mod events;
mod health;
mod progress;

pub use events::EventSplitter;
pub use health::{Health, HealthSettings};
pub use progress::{Progress, ProgressSettings};
