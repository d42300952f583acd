//! HTTP server, HTTP client and the client for the platform's log, shared by the programs of
//! carobglade.
//!
//! ```no_run
//! use carob_net::{Reply, ServeOptions, serve};
//!
//! let options = ServeOptions { address: "127.0.0.1:8080".parse().unwrap(), ..Default::default() };
//! serve(options, |request| async move { Reply::text(200, request.path()) }).unwrap();
//! ```

mod body_budget;
mod body_end;
mod chunk_channel;
mod client;
mod clock;
mod connector;
mod exit_code;
mod keep_alive;
mod lock;
mod log_client;
mod metrics;
mod server;
mod silence;
mod watched_stream;

pub use body_budget::{BodyBudget, ReservedBody};
pub use body_end::{BodyEnd, OddHead};
pub use chunk_channel::{ChunkReceiver, ChunkSender, IncompleteBody, chunk_channel};
pub use client::{HttpClient, HttpResponse, StreamingResponse};
pub use clock::{BootClock, Clock, SystemClock};
pub use exit_code::{exit_code, report_invalid_settings};
pub use keep_alive::{KeepAlivePromises, PromiseGuard, announce_keep_alive};
pub use lock::lock;
pub use log_client::{LogClient, LogPage};
pub use metrics::MetricsRegistry;
pub use server::{Reply, Request, ServeOptions, Server, serve};
pub use silence::watch_silence;
pub use watched_stream::{WatchFlag, WatchedStream};
