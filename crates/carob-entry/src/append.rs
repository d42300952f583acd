//! Batched appends to a stream of the log, each made once.

use std::collections::BTreeSet;
use std::sync::{Arc, Mutex};
use std::time::Duration;

use carob_net::LogClient;
use carobglade::{Error, ErrorKind, Record, VmRef};
use tokio::sync::{Notify, Semaphore, oneshot};

use crate::core::Core;
use crate::settings::millis;

const BATCH_MAX: usize = 500; // records of one append
const APPEND_TIMEOUT: Duration = Duration::from_millis(1500);
const RETRY_PAUSE: Duration = Duration::from_millis(100);
const SENDERS: usize = 4; // appends under way at once
const PER_MEMBER: Duration = Duration::from_micros(2500); // between appends, for each vm

struct Item {
    record: Record,
    solo: bool,
    sent: oneshot::Sender<String>,
}

#[derive(Default)]
struct Pending {
    items: Vec<Item>,
    count: u64,
    own: BTreeSet<String>,
    failed: Option<Duration>,
}

/// Appends records in batches. An append without an answer is looked for in the log before it is
/// made again.
pub struct Batcher {
    client: LogClient,
    prefix: String,
    pending: Mutex<Pending>,
    added: Notify,
}

impl Batcher {
    /// A batcher for `stream` on the log at `address`.
    pub fn new(address: &str, stream: &str, me: &VmRef) -> Self {
        Batcher {
            client: LogClient::new(address, stream),
            prefix: format!("{me}-"),
            pending: Mutex::default(),
            added: Notify::new(),
        }
    }

    /// The client of the stream.
    pub fn client(&self) -> &LogClient {
        &self.client
    }

    fn lock(&self) -> std::sync::MutexGuard<'_, Pending> {
        self.pending.lock().unwrap_or_else(std::sync::PoisonError::into_inner)
    }

    /// Adds a record to the next append; returns the entry's id once the append is on its way.
    pub fn add(&self, record: Record) -> oneshot::Receiver<String> {
        self.push(record, false)
    }

    /// Adds a record that gets an entry of its own.
    pub fn add_solo(&self, record: Record) -> oneshot::Receiver<String> {
        self.push(record, true)
    }

    fn push(&self, record: Record, solo: bool) -> oneshot::Receiver<String> {
        let (sent, received) = oneshot::channel();
        self.lock().items.push(Item { record, solo, sent });
        self.added.notify_one();
        received
    }

    /// Notes the ids of entries that were applied.
    pub fn applied<'a>(&self, ids: impl Iterator<Item = &'a str>) {
        let mut pending = self.lock();
        for id in ids.filter(|id| id.starts_with(&self.prefix)) {
            pending.own.remove(id);
        }
    }

    /// Fails fast when the log did not take the last append.
    ///
    /// # Errors
    ///
    /// `LogUnavailable` with the delay after which to come back.
    pub fn check(&self, now: Duration) -> carobglade::Result<()> {
        let failed = self.lock().failed;
        if failed.is_some_and(|at| now.saturating_sub(at) < Duration::from_secs(1)) {
            return Err(unavailable());
        }
        Ok(())
    }

    fn take_batch(&self) -> Option<(String, Vec<Record>)> {
        let mut pending = self.lock();
        if pending.items.is_empty() {
            return None;
        }
        let solo = pending.items.iter().position(|item| item.solo);
        let count = match solo {
            Some(0) => 1,
            Some(at) => at.min(BATCH_MAX),
            None => pending.items.len().min(BATCH_MAX),
        };
        pending.count += 1;
        let id = format!("{}{}", self.prefix, pending.count);
        pending.own.insert(id.clone());
        let items: Vec<Item> = pending.items.drain(..count).collect();
        let mut records = Vec::with_capacity(count);
        for item in items {
            let _ = item.sent.send(id.clone());
            records.push(item.record);
        }
        Some((id, records))
    }

    async fn next_batch(&self) -> (String, Vec<Record>) {
        loop {
            let added = self.added.notified();
            if let Some(batch) = self.take_batch() {
                return batch;
            }
            added.await;
        }
    }

    /// Whether the entry with `id` was not applied yet.
    fn missing(&self, id: &str) -> bool {
        self.lock().own.contains(id)
    }

    fn note(&self, failed: Option<Duration>) {
        self.lock().failed = failed;
    }
}

/// A stream of the log.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Stream {
    /// Configuration, members, slots, orders.
    Control,
    /// Claims on idempotency keys.
    Claims,
}

impl Core {
    /// The batcher of a stream.
    pub fn batcher(&self, stream: Stream) -> &Batcher {
        match stream {
            Stream::Control => &self.control_log,
            Stream::Claims => &self.claims_log,
        }
    }

    /// When the tail of a stream was last confirmed.
    pub fn confirmed(&self, stream: Stream) -> Option<Duration> {
        let inner = self.lock();
        match stream {
            Stream::Control => inner.confirmed,
            Stream::Claims => inner.claims_read,
        }
    }

    /// The pause between two appends, so that the whole fleet stays within the log's rate.
    fn append_pause(&self) -> Duration {
        let members = self.lock().control.state().members().len() as u32;
        millis(self.settings.times.append).max(PER_MEMBER * members)
    }
}

/// Appends what is added to a stream until the process ends.
pub async fn run(core: Arc<Core>, stream: Stream) {
    let senders = Arc::new(Semaphore::new(SENDERS));
    loop {
        let (id, records) = core.batcher(stream).next_batch().await;
        let Ok(permit) = Arc::clone(&senders).acquire_owned().await else {
            return;
        };
        let task = Arc::clone(&core);
        tokio::spawn(async move {
            append(&task, stream, &id, &records).await;
            drop(permit);
        });
        tokio::time::sleep(core.append_pause()).await;
    }
}

async fn append(core: &Core, stream: Stream, id: &str, records: &[Record]) {
    let batcher = core.batcher(stream);
    while batcher.missing(id) {
        let result = batcher.client.append(id, records, APPEND_TIMEOUT).await;
        let now = core.now();
        match result {
            Ok(_) => return batcher.note(None),
            Err(_) => batcher.note(Some(now)),
        }
        tokio::time::sleep(RETRY_PAUSE).await;
        wait_for_tail(core, stream, now).await;
    }
}

/// Waits until the tail of the stream was confirmed by a read that began after `since`.
async fn wait_for_tail(core: &Core, stream: Stream, since: Duration) {
    while core.confirmed(stream).is_none_or(|at| at <= since) {
        tokio::time::sleep(RETRY_PAUSE).await;
    }
}

/// The error for calls that need the log while it does not answer.
pub fn unavailable() -> Error {
    Error::new(ErrorKind::LogUnavailable, "the platform log does not answer")
        .with_retry(Duration::from_secs(1))
}
