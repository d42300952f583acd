//! Parts of the cases of this review: machines that run the project's program as the deploy file
//! says, a server of streams, a client, and the record of a case.

mod http;
mod machine;
mod model_server;
mod record;
mod stream_server;

pub use http::{Answer, exchange, exchange_on};
pub use machine::{Machine, MachineLimits};
pub use model_server::{ModelServer, ModelServerSettings};
pub use record::{Record, Verdict, has_trouble};
pub use stream_server::{StreamServer, StreamServerSettings};
