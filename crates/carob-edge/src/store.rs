//! A client of the platform's log.

use std::cell::Cell;
use std::net::SocketAddr;
use std::rc::Rc;
use std::time::Duration;

use bytes::Bytes;
use carob_net::Clock;
use carob_platform::{LogRequest, log_era};
use carobglade::{AttemptOutcome, LogEra, UpstreamName};
use http::{HeaderMap, HeaderValue, Method};
use tokio::sync::Notify;

use crate::byte_budget::ByteBudget;
use crate::outgoing_request::OutgoingRequest;
use crate::pool::ConnectionPool;

const MAX_RESPONSE_BYTES: usize = 4 << 20;
/// Maximum size of all responses together that are being read.
const MAX_RESPONSES_BYTES: usize = 8 << 20;

/// Why a call to the log failed.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum StoreError {
    /// The log responded with this HTTP status instead of 200.
    Status(u16),
    /// The log did not respond in time, or the connection failed.
    Unreachable,
    /// The response could not be decoded.
    Unreadable(String),
    /// The log came back from an older copy in the meantime: the response is of the era before, or
    /// the call named an offset of it.
    EraChanged,
}

impl std::fmt::Display for StoreError {
    fn fmt(&self, f: &mut std::fmt::Formatter<'_>) -> std::fmt::Result {
        match self {
            StoreError::Status(status) => write!(f, "status {status}"),
            StoreError::Unreachable => f.write_str("no answer"),
            StoreError::Unreadable(why) => write!(f, "unreadable: {why}"),
            StoreError::EraChanged => f.write_str("the log came back from an older copy"),
        }
    }
}

impl From<carob_platform::DecodeError> for StoreError {
    fn from(err: carob_platform::DecodeError) -> Self {
        StoreError::Unreadable(err.to_string())
    }
}

/// Client of the platform's log.
pub struct StoreClient {
    pool: Rc<ConnectionPool>,
    clock: Rc<dyn Clock>,
    address: SocketAddr,
    name: UpstreamName,
    budget: Rc<ByteBudget>,
    /// The newest era that a response told; none before the first response.
    era: Cell<Option<LogEra>>,
    /// Wakes the tasks that wait for another era.
    era_changed: Notify,
}

/// A response of the log.
pub struct StoreResponse {
    /// The response body.
    pub body: Bytes,
    /// The time when the call was sent.
    pub sent_at: Duration,
    /// The era of the log.
    pub era: LogEra,
}

impl StoreClient {
    /// Creates a client of the log at `address`.
    pub fn new(pool: Rc<ConnectionPool>, clock: Rc<dyn Clock>, address: SocketAddr) -> Self {
        let name = address.to_string().parse().unwrap_or_default();
        let budget = ByteBudget::new(MAX_RESPONSES_BYTES);
        StoreClient {
            pool,
            clock,
            address,
            name,
            budget,
            era: Cell::default(),
            era_changed: Notify::new(),
        }
    }

    /// Returns the newest era of the log that this process knows.
    pub fn era(&self) -> LogEra {
        self.era.get().unwrap_or_default()
    }

    /// Waits until the log has come back from an older copy since it told the era `known`; the default
    /// stands for a log that has told none yet. Returns the present era.
    pub async fn wait_for_older_copy(&self, known: LogEra) -> LogEra {
        let mut known = known;
        if known == LogEra::default() {
            self.wait_for_era_after(known).await;
            known = self.era();
        }
        self.wait_for_era_after(known).await;
        self.era()
    }

    /// Waits until the era of the log is newer than `known`.
    async fn wait_for_era_after(&self, known: LogEra) {
        loop {
            let changed = self.era_changed.notified();
            if self.era() > known {
                return;
            }
            changed.await;
        }
    }

    /// Makes a call and reads the response within `timeout`.
    ///
    /// # Errors
    ///
    /// Returns an error for any status but 200, when there is no response in time, and for a response
    /// of an older era of the log.
    pub async fn call(
        &self,
        call: LogRequest,
        timeout: Duration,
    ) -> Result<StoreResponse, StoreError> {
        match self.call_any(call, timeout).await? {
            (200, response) => Ok(response),
            (status, _) => Err(StoreError::Status(status)),
        }
    }

    /// Makes a call and reads the response within `timeout`; returns its status too.
    ///
    /// # Errors
    ///
    /// Returns `Unreachable` when there is no response in time, and `EraChanged` for a response of an
    /// older era of the log.
    pub async fn call_any(
        &self,
        call: LogRequest,
        timeout: Duration,
    ) -> Result<(u16, StoreResponse), StoreError> {
        let sent_at = self.clock.now();
        let result = tokio::time::timeout(timeout, self.send(call)).await;
        let (status, headers, body) =
            result.ok().and_then(Result::ok).ok_or(StoreError::Unreachable)?;
        let era = log_era(&headers)?;
        self.record_era(era)?;
        Ok((status, StoreResponse { body, sent_at, era }))
    }

    /// Records the era that a response told.
    fn record_era(&self, era: LogEra) -> Result<(), StoreError> {
        let known = self.era.get();
        if known.is_some_and(|known| era < known) {
            return Err(StoreError::EraChanged);
        }
        if known == Some(era) {
            return Ok(());
        }
        self.era.set(Some(era));
        self.era_changed.notify_waiters();
        if let Some(before) = known {
            log::warn!(target: "log", before:% = before, era:% = era; "The log came back from an older copy.");
        }
        Ok(())
    }

    async fn send(&self, call: LogRequest) -> Result<(u16, HeaderMap, Bytes), AttemptOutcome> {
        let mut headers = HeaderMap::new();
        if let Ok(host) = HeaderValue::from_str(&self.address.to_string()) {
            headers.insert("host", host);
        }
        if call.is_post {
            headers.insert("content-type", HeaderValue::from_static("application/json"));
        }
        let request = OutgoingRequest {
            method: if call.is_post { Method::POST } else { Method::GET },
            target: call.target.parse().map_err(|_| AttemptOutcome::Unsent)?,
            headers,
            body: call.body.into(),
        };
        let sent = if call.is_post {
            self.pool.send(&self.name, self.address, request).await
        } else {
            self.pool.send_repeatable(&self.name, self.address, request).await
        };
        let mut response = sent?;
        let body = response.read_to_end(MAX_RESPONSE_BYTES, &self.budget).await?;
        Ok((response.status, response.headers, body))
    }
}
