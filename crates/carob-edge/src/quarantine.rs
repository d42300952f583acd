//! Parts of prompts that crash upstreams: what is seen of them here, and which requests are refused.

use std::rc::Rc;
use std::time::Duration;

use carob_platform::{LogRequest, VM_TOPIC, encode_keyed_record};
use carobglade::{
    Backoff, BlockRecord, BlockedPrompt, Error, ErrorKind, EvidenceStrength, Fingerprint,
    PromptVerdict, QuarantineReport, Result, SharedPrompt, UpstreamCrash, VerdictChange,
    VerdictReason,
};
use rand::Rng;

use crate::broken_attempt::{BrokenAttempt, UpstreamRun};
use crate::crash_check;
use crate::edge::Edge;

/// Maximum retry time of a request that is refused for an hour or more.
pub const QUARANTINE_RETRY_AFTER: Duration = Duration::from_secs(60);
/// Maximum delay before a verdict is written that other vms may have reached too.
const MAX_KEEP_DELAY: Duration = Duration::from_secs(5);
/// Time in which the records of a log that came back are read.
const RESTORE_DELAY: Duration = Duration::from_secs(4);
/// Time limit for writing a verdict to the log.
const APPEND_TIMEOUT: Duration = Duration::from_millis(1200);
const APPEND_MAX_BACKOFF: Duration = Duration::from_secs(2);
/// Time from its first event after which a stream has survived.
const SURVIVAL_TIME: Duration = Duration::from_secs(1);
/// Time between the vms of a fleet, one after the other, that let requests through again at the end
/// of a block.
const RELEASE_STEP: Duration = Duration::from_secs(2);

/// Returns an error if the prompt has a blocked part.
///
/// # Errors
///
/// Returns `Quarantined`, which names the part.
pub fn check(edge: &Edge, prompt: &SharedPrompt) -> Result<()> {
    let blocked = edge.quarantine.borrow().blocked(prompt, edge.now());
    blocked.map_or(Ok(()), |blocked| Err(blocked_error(&blocked)))
}

fn blocked_error(blocked: &BlockedPrompt) -> Error {
    let message = format!("upstreams crashed on {} of the prompt", blocked.suspect);
    Error::new(ErrorKind::Quarantined, message)
        .with_retry_after(blocked.remaining.min(QUARANTINE_RETRY_AFTER))
}

/// Completes when a part of the prompt is blocked.
pub async fn wait_until_blocked(edge: &Edge, prompt: &SharedPrompt) -> Error {
    loop {
        let changed = edge.quarantine_changed.notified();
        if let Err(err) = check(edge, prompt) {
            return err;
        }
        changed.await;
    }
}

/// Records that the connection of an attempt broke. That counts as a crash if the upstream ends:
/// one that lives may just have closed the connection.
pub fn record_broken(edge: &Rc<Edge>, broken: BrokenAttempt, run: &UpstreamRun) {
    let mut checks = edge.crash_checks.borrow_mut();
    if let Some(waiting) = checks.get_mut(&run.crash) {
        waiting.push(broken);
        return;
    }
    checks.insert(run.crash.clone(), vec![broken]);
    drop(checks);
    tokio::task::spawn_local(check_run(Rc::clone(edge), run.clone()));
}

/// Checks whether a run ends, once for all attempts that broke before the check and again for those
/// that broke meanwhile.
async fn check_run(edge: Rc<Edge>, run: UpstreamRun) {
    let mut waiting = 1;
    while waiting > 0 {
        let ended = crash_check::ends(&edge, &run).await;
        let mut all = edge.crash_checks.borrow_mut().remove(&run.crash).unwrap_or_default();
        if ended {
            all.iter().for_each(|broken| record_crash(&edge, broken, &run.crash));
            return;
        }
        all.drain(..waiting.min(all.len()));
        waiting = all.len();
        if waiting > 0 {
            edge.crash_checks.borrow_mut().insert(run.crash.clone(), all);
        }
    }
}

/// Records that an upstream crashed while an attempt was under way.
fn record_crash(edge: &Rc<Edge>, broken: &BrokenAttempt, crash: &UpstreamCrash) {
    log::info!(target: "quarantine", upstream:% = crash.upstream, request:? = broken.fingerprint, parts:% = broken.prompt; "An upstream crashed while a request was in flight.");
    record_suspect(edge, broken.fingerprint, crash);
    if broken.strength == EvidenceStrength::Strong {
        log::warn!(target: "quarantine", upstream:% = crash.upstream, parts:% = broken.prompt; "An upstream crashed at the start of a response.");
    }
    let mut quarantine = edge.quarantine.borrow_mut();
    let changes = quarantine.record_crash(&broken.prompt, broken.strength, crash, edge.now());
    drop(quarantine);
    report_changes(edge, &changes);
    edge.gossip_wakeup.notify_one();
    keep_changes(edge, &changes, Duration::ZERO);
}

/// Records that a request was served: it does not crash each upstream that runs it.
pub fn record_served(edge: &Edge, fingerprint: Fingerprint) {
    edge.suspects.borrow_mut().clear(fingerprint);
}

/// Records that a run of a brittle upstream rejected a request at `at`.
pub fn record_rejection(edge: &Rc<Edge>, run: &UpstreamCrash, at: Duration) {
    let changes = edge.quarantine.borrow_mut().record_rejection(run, at, edge.now());
    report_changes(edge, &changes);
    keep_changes(edge, &changes, Duration::ZERO);
}

/// Records that the request `fingerprint` was in flight when an upstream crashed.
fn record_suspect(edge: &Edge, fingerprint: Fingerprint, crash: &UpstreamCrash) {
    let (name, unix_ms) = (crash.to_string(), edge.clock.unix_millis());
    let mut suspects = edge.suspects.borrow_mut();
    suspects.record_crash(fingerprint, &name, unix_ms);
    if edge.quarantine.borrow().has_rejected(crash, edge.now()) {
        suspects.record_doubt(&name);
    }
}

/// Applies what another vm told of requests that were in flight when upstreams crashed.
pub fn apply_suspects(edge: &Edge, suspects: &[(Fingerprint, String)]) {
    for (fingerprint, crash) in suspects {
        match crash.parse() {
            Ok(crash) => record_suspect(edge, *fingerprint, &crash),
            Err(err) => {
                log::debug!(target: "quarantine", crash = crash.as_str(), error:% = err; "A crash cannot be read.");
            }
        }
    }
}

/// Applies what another vm told.
pub fn apply_report(edge: &Rc<Edge>, report: &QuarantineReport) {
    let changes = edge.quarantine.borrow_mut().apply_report(report, edge.now());
    report_changes(edge, &changes);
    // Several vms may reach a verdict when each has seen one of the crashes.
    keep_changes(edge, &changes, MAX_KEEP_DELAY.mul_f64(rand::rng().random()));
}

/// Applies a verdict that the log keeps.
pub fn apply_record(edge: &Edge, record: &BlockRecord) {
    let (now, unix_ms) = (edge.now(), edge.clock.unix_millis());
    edge.kept_verdicts.borrow_mut().insert(record.suspect.clone(), record.generation);
    let changes = edge.quarantine.borrow_mut().apply_record(record, now, unix_ms);
    report_changes(edge, &changes);
}

/// Writes verdicts that this vm reached to the log after `delay`, for vms that start when no other
/// one runs.
fn keep_changes(edge: &Rc<Edge>, changes: &[VerdictChange], delay: Duration) {
    for change in changes.iter().filter(|change| change.reason != VerdictReason::Reported) {
        let (edge, verdict) = (Rc::clone(edge), change.verdict.clone());
        tokio::task::spawn_local(async move {
            tokio::time::sleep(delay).await;
            keep_verdict(&edge, &verdict).await;
        });
    }
}

/// Writes the verdicts to the log again whenever it came back from a copy that may lack them. What
/// the copy holds is read before, and a verdict that another vm wrote is not written twice.
pub async fn restore_verdicts(edge: Rc<Edge>) {
    let mut era = edge.store.era();
    loop {
        era = edge.store.wait_for_older_copy(era).await;
        edge.kept_verdicts.borrow_mut().clear();
        tokio::time::sleep(RESTORE_DELAY + MAX_KEEP_DELAY.mul_f64(rand::rng().random())).await;
        let verdicts = edge.quarantine.borrow().report(edge.now()).verdicts;
        for verdict in &verdicts {
            keep_verdict(&edge, verdict).await;
        }
    }
}

/// Writes a verdict to the log; retries until the log accepts it or another verdict holds.
async fn keep_verdict(edge: &Edge, verdict: &PromptVerdict) {
    let record = BlockRecord::new(verdict, edge.clock.unix_millis());
    let bytes = encode_keyed_record(&record.key(), &record.encode());
    let mut backoff = Backoff::default();
    loop {
        let holds = edge.quarantine.borrow().verdict(&verdict.suspect, edge.now());
        let kept = edge.kept_verdicts.borrow().get(&verdict.suspect).copied();
        if holds.is_none_or(|holds| holds.generation != verdict.generation)
            || kept.is_some_and(|kept| kept >= verdict.generation)
        {
            return;
        }
        let call = LogRequest::append(VM_TOPIC, bytes.clone());
        match edge.store.call(call, APPEND_TIMEOUT).await {
            Ok(_) => {
                log::info!(target: "quarantine", suspect:% = verdict.suspect, generation = verdict.generation; "A verdict was written to the log.");
                return;
            }
            Err(err) => {
                log::debug!(target: "quarantine", error:% = err; "Writing a verdict failed; retrying.");
                let pause = backoff.record_failure(APPEND_MAX_BACKOFF, rand::rng().random());
                tokio::time::sleep(pause).await;
            }
        }
    }
}

fn report_changes(edge: &Edge, changes: &[VerdictChange]) {
    for change in changes {
        let crashes: Vec<&str> =
            change.crashes.iter().map(|crash| crash.upstream.as_str()).collect();
        let reason = change.reason.as_str();
        edge.metrics.record_block_change(reason);
        log::warn!(target: "quarantine", suspect:% = change.verdict.suspect, blocked = change.is_blocked(), reason = reason, crashes = crashes.join(",").as_str(), seconds = change.verdict.remaining.as_secs(), generation = change.verdict.generation; "The block of a part of prompts changed.");
    }
    if !changes.is_empty() {
        edge.quarantine_changed.notify_waiters();
        edge.gossip_wakeup.notify_one();
    }
}

/// Forgets what no longer counts, and sets when this vm lets requests through again after a block.
pub fn maintain(edge: &Edge) {
    let view = edge.view.borrow();
    let rank = view.peers.keys().filter(|peer| **peer < edge.vm).count();
    let mut quarantine = edge.quarantine.borrow_mut();
    quarantine.set_release_delay(RELEASE_STEP.saturating_mul(rank as u32));
    quarantine.expire(edge.now());
}

/// Records once for each source of a stream that it survived its start.
pub struct SurvivalTimer {
    started: Duration,
    recorded: bool,
    /// What is recorded if the source breaks off before.
    attempt: BrokenAttempt,
}

impl SurvivalTimer {
    /// Starts at the first event from an upstream.
    pub fn start(edge: &Edge, attempt: BrokenAttempt) -> Self {
        SurvivalTimer { started: edge.now(), recorded: false, attempt }
    }

    /// Records that the source broke off. The start of a stream that has not survived may have
    /// crashed its upstream, like one without an event.
    pub fn record_broken(&self, edge: &Rc<Edge>, run: &UpstreamRun) {
        if !self.recorded {
            record_broken(edge, self.attempt.clone(), run);
        }
    }

    /// Records further events.
    pub fn record_events(&mut self, edge: &Rc<Edge>) {
        if !self.recorded && edge.now().saturating_sub(self.started) >= SURVIVAL_TIME {
            self.record(edge);
        }
    }

    /// Records the end of the stream. An end that only the connection tells proves nothing: it may
    /// be that of the upstream.
    pub fn record_end(&mut self, edge: &Rc<Edge>, delimited: bool) {
        if !self.recorded && delimited {
            self.record(edge);
        }
    }

    fn record(&mut self, edge: &Rc<Edge>) {
        self.recorded = true;
        record_served(edge, self.attempt.fingerprint);
        let mut quarantine = edge.quarantine.borrow_mut();
        let changes = quarantine.record_survival(&self.attempt.prompt, edge.now());
        drop(quarantine);
        report_changes(edge, &changes);
        keep_changes(edge, &changes, Duration::ZERO);
    }
}
