//! Parts of the cases of this review: machines that run the project's program as the deploy file
//! says, a client, and the record of a case.

mod http;
mod machine;
mod record;

pub use http::{Answer, exchange, exchange_on};
pub use machine::{Machine, MachineLimits};
pub use record::{Record, Verdict, has_trouble};
