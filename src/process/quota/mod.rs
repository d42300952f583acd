//! Rate and burst of tenants across all vms, divided among the vms by escrow.
//!
//! Each process owns the share of a tenant's rate and burst that belongs to its slots
//! ([`SlotTable`](crate::SlotTable)) and keeps the share in a [`QuotaBucket`]. A process that needs
//! more tokens borrows them from the buckets of other processes for a short time. At every moment
//! the unspent tokens of all buckets and loans together are at most the burst, and all buckets
//! together refill at most at the rate. So in every interval `[s, t]` the tokens charged are at
//! most `burst + rate * (t - s)`, where a request's tokens are deemed used when they were reserved.
//!
//! A [`RateLimiter`] works without slots and loans: every process keeps a replica of each tenant's
//! whole bucket, and this bound does not hold for it at every moment.

mod lender;
mod quota_bucket;
mod rate_limiter;
mod report_times;
mod tenant_bucket;
mod token_pool;

pub use lender::{LOAN_TTL, Lender, LoanReport, LoanRequest, LoanResponse};
pub use quota_bucket::{QuotaBucket, RefundPoint, SlotShare};
pub use rate_limiter::{RateLimiter, RateLimiterSettings, ReporterState, TenantUsage};
pub use tenant_bucket::BucketState;
pub use token_pool::{Reservation, TokenPool};
