//! Appends records to the streams of the log, each exactly once.

use std::sync::Arc;
use std::time::Duration;

use carobglade::Record;
use tokio::sync::Semaphore;

use crate::settings::millis;
use crate::shared_state::SharedState;
use crate::state::LogStream;

const APPEND_TIMEOUT: Duration = Duration::from_millis(1500);
const RETRY_INTERVAL: Duration = Duration::from_millis(100);
const MAX_CONCURRENT_APPENDS: usize = 4;
/// Minimum time between appends, for each vm of the fleet.
const APPEND_INTERVAL_PER_VM: Duration = Duration::from_micros(2500);

/// Returns the time between two appends. The time grows with the fleet, so that all vms together
/// stay within the rate limit of the log.
fn append_interval(shared: &SharedState) -> Duration {
    let members = shared.log_state.with_control(|state| state.members().len()) as u32;
    millis(shared.settings.times.append_interval).max(APPEND_INTERVAL_PER_VM * members)
}

/// Appends the batched records of a stream until the process ends.
pub async fn run(shared: Arc<SharedState>, stream: LogStream) {
    let concurrency = Arc::new(Semaphore::new(MAX_CONCURRENT_APPENDS));
    loop {
        let (id, records) = shared.batcher(stream).next_batch().await;
        let Ok(permit) = Arc::clone(&concurrency).acquire_owned().await else {
            return;
        };
        let task = Arc::clone(&shared);
        tokio::spawn(async move {
            append(&task, stream, &id, &records).await;
            drop(permit);
        });
        tokio::time::sleep(append_interval(&shared)).await;
    }
}

/// Appends a batch until the log accepts it or the batch is read back. After a failure the append
/// is repeated only once a later read confirmed the end of the stream without the batch, since the
/// failed append may have been stored.
async fn append(shared: &SharedState, stream: LogStream, id: &str, records: &[Record]) {
    let batcher = shared.batcher(stream);
    while batcher.is_pending(id) {
        let result = batcher.client().append(id, records, APPEND_TIMEOUT).await;
        let now = shared.now();
        match result {
            Ok(_) => return batcher.set_last_failure(None),
            Err(_) => batcher.set_last_failure(Some(now)),
        }
        tokio::time::sleep(RETRY_INTERVAL).await;
        wait_for_tail(shared, stream, now).await;
    }
}

/// Waits until a read that began after `since` confirms the end of the stream.
async fn wait_for_tail(shared: &SharedState, stream: LogStream, since: Duration) {
    while shared.log_state.confirmed_at(stream).is_none_or(|at| at <= since) {
        tokio::time::sleep(RETRY_INTERVAL).await;
    }
}
