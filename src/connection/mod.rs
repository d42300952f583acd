//! What lives for a connection.

mod health;
mod progress;

pub use health::{Health, HealthSettings};
pub use progress::{Progress, ProgressSettings};
