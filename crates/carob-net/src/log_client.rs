//! Client for the platform's append-only log.

use std::time::Duration;

use carobglade::{Error, ErrorKind, LogEntry, Offset, Record};
use serde::{Deserialize, Serialize};
use serde_json::value::RawValue;

use crate::HttpClient;

const READ_TIMEOUT_MARGIN: Duration = Duration::from_millis(1500); // added to the wait of a read

const MAX_ERROR_CHARS: usize = 300; // of an error in a log line

#[derive(Serialize)]
struct AppendRequest<'a> {
    id: &'a str,
    records: &'a [Record],
}

#[derive(Deserialize)]
struct AppendResponse {
    offset: Offset,
}

/// A page of entries of a log stream.
#[derive(Debug, Serialize, Deserialize)]
pub struct LogPage {
    /// The oldest offset that the log still holds.
    pub first: Offset,
    /// The offset of the next append.
    pub next: Offset,
    /// The entries in the order of their offsets.
    pub entries: Vec<LogEntry>,
}

/// A page whose records are not decoded yet, so that one that is odd hides no other.
#[derive(Deserialize)]
struct RawPage {
    first: Offset,
    next: Offset,
    entries: Vec<RawEntry>,
}

#[derive(Deserialize)]
struct RawEntry {
    offset: Offset,
    time: u64,
    id: String,
    records: Vec<Box<RawValue>>,
}

impl From<RawPage> for LogPage {
    fn from(page: RawPage) -> Self {
        let entries = page.entries.into_iter().map(LogEntry::from);
        LogPage { first: page.first, next: page.next, entries: entries.collect() }
    }
}

impl From<RawEntry> for LogEntry {
    /// Decodes the records; one that cannot be decoded is left out, in every process alike.
    fn from(entry: RawEntry) -> Self {
        let records = entry.records.iter().filter_map(|record| {
            let decoded = serde_json::from_str(record.get());
            let offset = entry.offset;
            decoded.inspect_err(|err| log_unreadable(offset, &entry.id, err)).ok()
        });
        let records = records.collect();
        LogEntry { offset: entry.offset, time_ms: entry.time, id: entry.id, records }
    }
}

fn log_unreadable(offset: Offset, id: &str, err: &serde_json::Error) {
    let error: String = err.to_string().chars().take(MAX_ERROR_CHARS).collect();
    let id: String = id.chars().take(MAX_ERROR_CHARS).collect();
    log::warn!("tail: a record of entry {id:?} at offset {offset} cannot be decoded: {error}");
}

/// Client for one stream of the platform's log.
#[derive(Clone, Debug)]
pub struct LogClient {
    client: HttpClient,
    stream_url: String,
}

impl LogClient {
    /// Creates a client for `stream` on the log at `address`.
    pub fn new(address: &str, stream: &str) -> Self {
        LogClient {
            client: HttpClient::pooled(),
            stream_url: format!("http://{address}/streams/{stream}"),
        }
    }

    /// Appends `records` as one entry and returns the offset.
    ///
    /// # Errors
    ///
    /// `LogUnavailable` when the log does not accept the append or no valid response arrives. The
    /// entry may still have been appended; look for its `id` in the stream.
    pub async fn append(
        &self,
        id: &str,
        records: &[Record],
        timeout: Duration,
    ) -> carobglade::Result<Offset> {
        let body = serde_json::to_vec(&AppendRequest { id, records }).map_err(decode_error)?;
        let url = format!("{}/append", self.stream_url);
        let response =
            self.client.post(&url, body.into(), timeout).await.map_err(unavailable_error)?;
        let appended: AppendResponse = decode(response.status, &response.body)?;
        Ok(appended.offset)
    }

    /// Reads entries from the offset `from` on, and waits up to `wait` for the first entry. A record
    /// that cannot be decoded is left out of its entry.
    ///
    /// # Errors
    ///
    /// `LogUnavailable` when the log does not respond or the response cannot be decoded.
    pub async fn read(&self, from: Offset, wait: Duration) -> carobglade::Result<LogPage> {
        let url = format!("{}/read?from={from}&wait_ms={}", self.stream_url, wait.as_millis());
        let response =
            self.client.get(&url, wait + READ_TIMEOUT_MARGIN).await.map_err(unavailable_error)?;
        let page: RawPage = decode(response.status, &response.body)?;
        Ok(page.into())
    }
}

fn decode<T: for<'de> Deserialize<'de>>(status: u16, body: &[u8]) -> carobglade::Result<T> {
    if status != 200 {
        let message = format!("log answered {status}");
        return Err(Error::new(ErrorKind::LogUnavailable, message));
    }
    serde_json::from_slice(body).map_err(decode_error)
}

fn decode_error(err: serde_json::Error) -> Error {
    Error::new(ErrorKind::LogUnavailable, format!("log entry: {err}"))
}

fn unavailable_error(err: Error) -> Error {
    Error::new(ErrorKind::LogUnavailable, err.message())
}
