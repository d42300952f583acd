//! Batches of records that wait to be appended to a stream of the log.

use std::collections::BTreeSet;
use std::sync::Mutex;
use std::time::Duration;

use carob_net::{LogClient, lock};
use carobglade::{Error, ErrorKind, Record, VmRef};
use tokio::sync::{Notify, oneshot};

const MAX_BATCH_RECORDS: usize = 500;

/// A record that waits for an append.
struct PendingRecord {
    record: Record,
    separate: bool,
    id_sender: oneshot::Sender<String>,
}

#[derive(Default)]
struct Pending {
    records: Vec<PendingRecord>,
    batch_count: u64,
    unconfirmed: BTreeSet<String>,
    last_failure: Option<Duration>,
}

/// Collects records into batches, and tracks each batch until it is read back from the log, so that
/// an append without a response is not repeated if the log stored it.
pub struct Batcher {
    client: LogClient,
    prefix: String,
    pending: Mutex<Pending>,
    added: Notify,
}

impl Batcher {
    /// Creates a batcher for `stream` of the log at `address`.
    pub fn new(address: &str, stream: &str, me: &VmRef) -> Self {
        Batcher {
            client: LogClient::new(address, stream),
            prefix: format!("{me}-"),
            pending: Mutex::default(),
            added: Notify::new(),
        }
    }

    /// Returns the log client for the stream.
    pub fn client(&self) -> &LogClient {
        &self.client
    }

    /// Adds a record to the next batch. The receiver yields the id of the entry once the batch is
    /// taken for an append.
    pub fn add(&self, record: Record) -> oneshot::Receiver<String> {
        self.push(record, false)
    }

    /// Adds a record that is appended as an entry of its own.
    pub fn add_separate(&self, record: Record) -> oneshot::Receiver<String> {
        self.push(record, true)
    }

    fn push(&self, record: Record, separate: bool) -> oneshot::Receiver<String> {
        let (id_sender, received) = oneshot::channel();
        lock(&self.pending).records.push(PendingRecord { record, separate, id_sender });
        self.added.notify_one();
        received
    }

    /// Records the ids of entries that were applied.
    pub fn confirm_applied<'a>(&self, ids: impl Iterator<Item = &'a str>) {
        let mut pending = lock(&self.pending);
        for id in ids.filter(|id| id.starts_with(&self.prefix)) {
            pending.unconfirmed.remove(id);
        }
    }

    /// Fails fast if the last append failed within the last second.
    ///
    /// # Errors
    ///
    /// `LogUnavailable`, with the delay after which to retry.
    pub fn check_available(&self, now: Duration) -> carobglade::Result<()> {
        let last_failure = lock(&self.pending).last_failure;
        if last_failure.is_some_and(|at| now.saturating_sub(at) < Duration::from_secs(1)) {
            return Err(log_unavailable());
        }
        Ok(())
    }

    fn take_batch(&self) -> Option<(String, Vec<Record>)> {
        let mut pending = lock(&self.pending);
        if pending.records.is_empty() {
            return None;
        }
        let separate = pending.records.iter().position(|pending_record| pending_record.separate);
        let count = match separate {
            Some(0) => 1,
            Some(at) => at.min(MAX_BATCH_RECORDS),
            None => pending.records.len().min(MAX_BATCH_RECORDS),
        };
        pending.batch_count += 1;
        let id = format!("{}{}", self.prefix, pending.batch_count);
        pending.unconfirmed.insert(id.clone());
        let batch: Vec<PendingRecord> = pending.records.drain(..count).collect();
        let mut records = Vec::with_capacity(count);
        for pending_record in batch {
            let _ = pending_record.id_sender.send(id.clone());
            records.push(pending_record.record);
        }
        Some((id, records))
    }

    /// Waits for the next batch and returns the id of its entry and the records.
    pub async fn next_batch(&self) -> (String, Vec<Record>) {
        loop {
            let added = self.added.notified();
            if let Some(batch) = self.take_batch() {
                return batch;
            }
            added.await;
        }
    }

    /// Reports whether the entry with `id` is not applied yet.
    pub fn is_pending(&self, id: &str) -> bool {
        lock(&self.pending).unconfirmed.contains(id)
    }

    /// Sets the time of the last failed append; `None` after a success.
    pub fn set_last_failure(&self, last_failure: Option<Duration>) {
        lock(&self.pending).last_failure = last_failure;
    }
}

/// Returns the error for calls that need the log while it is unavailable.
pub fn log_unavailable() -> Error {
    Error::new(ErrorKind::LogUnavailable, "the platform log does not answer")
        .with_retry_after(Duration::from_secs(1))
}
