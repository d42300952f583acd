//! Client of the platform's append-only log.

use std::time::Duration;

use carobglade::{Entry, Error, ErrorKind, Offset, Record};
use serde::{Deserialize, Serialize};

use crate::HttpClient;

const SLACK: Duration = Duration::from_millis(1500); // added to a read's own waiting time

#[derive(Serialize)]
struct AppendWire<'a> {
    id: &'a str,
    records: &'a [Record],
}

#[derive(Deserialize)]
struct AppendedWire {
    offset: Offset,
}

/// A page of a stream.
#[derive(Debug, Serialize, Deserialize)]
pub struct LogPage {
    /// The oldest offset that is still kept.
    pub first: Offset,
    /// The offset that the next append will get.
    pub next: Offset,
    /// The entries, in order.
    pub entries: Vec<Entry>,
}

/// Client of one stream of the platform's log.
#[derive(Clone, Debug)]
pub struct LogClient {
    client: HttpClient,
    base: String,
}

impl LogClient {
    /// A client of `stream` on the log at `address`.
    pub fn new(address: &str, stream: &str) -> Self {
        LogClient {
            client: HttpClient::pooled(),
            base: format!("http://{address}/streams/{stream}"),
        }
    }

    /// Appends `records` as one entry.
    ///
    /// # Errors
    ///
    /// `LogUnavailable` when no answer came; the entry may have taken effect all the same, and is
    /// found by its `id`.
    pub async fn append(
        &self,
        id: &str,
        records: &[Record],
        within: Duration,
    ) -> carobglade::Result<Offset> {
        let body = serde_json::to_vec(&AppendWire { id, records }).map_err(unreadable)?;
        let url = format!("{}/append", self.base);
        let answer = self.client.post(&url, body.into(), within).await.map_err(unavailable)?;
        let appended: AppendedWire = parse(answer.status, &answer.body)?;
        Ok(appended.offset)
    }

    /// Reads entries from `from` on, waiting up to `wait` for the first.
    ///
    /// # Errors
    ///
    /// `LogUnavailable` when the log does not answer.
    pub async fn read(&self, from: Offset, wait: Duration) -> carobglade::Result<LogPage> {
        let url = format!("{}/read?from={from}&wait_ms={}", self.base, wait.as_millis());
        let answer = self.client.get(&url, wait + SLACK).await.map_err(unavailable)?;
        parse(answer.status, &answer.body)
    }
}

fn parse<T: for<'de> Deserialize<'de>>(status: u16, body: &[u8]) -> carobglade::Result<T> {
    if status != 200 {
        let message = format!("log answered {status}");
        return Err(Error::new(ErrorKind::LogUnavailable, message));
    }
    serde_json::from_slice(body).map_err(unreadable)
}

fn unreadable(err: serde_json::Error) -> Error {
    Error::new(ErrorKind::LogUnavailable, format!("log entry: {err}"))
}

fn unavailable(err: Error) -> Error {
    Error::new(ErrorKind::LogUnavailable, err.message())
}
