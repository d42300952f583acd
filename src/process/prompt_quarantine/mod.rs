//! Parts of prompts that crash upstreams, found by what the requests at their crashes have in
//! common, and blocked in all processes.
//!
//! When an upstream crashes, the parts of the requests that were in flight are suspected: fully
//! where a response had begun and had no event yet, and half where it had not begun or its events had
//! come for a moment, since sound requests in the same batch look alike. A response with a part that
//! ends well clears the part of all crashes before it, so only a part that no response has survived
//! gathers crashes. The crash of a brittle upstream that rejected requests just before counts half,
//! since too many rejections may have caused it.
//! Processes tell each other their evidence and their verdicts; all reach the same verdict from the
//! same evidence.

mod block_record;
mod evidence;
mod overloads;
mod survivors;
mod verdicts;

use std::fmt::{self, Display};
use std::time::Duration;

use serde::{Deserialize, Serialize};

pub use self::block_record::BlockRecord;
use self::evidence::{CrashEvidence, Explanation};
pub use self::evidence::{Evidence, EvidenceStrength, Suspect, UpstreamCrash};
use self::overloads::{CRASH_WEIGHT, Overloads};
use self::survivors::Survivors;
pub use self::verdicts::PromptVerdict;
use self::verdicts::Verdicts;
use crate::{ModelName, PromptPart};

/// Crashes without a response that ended well between them, after which a part is blocked.
const BLOCK_CRASHES: usize = 3;
const BLOCK_THRESHOLD: usize = BLOCK_CRASHES * CRASH_WEIGHT;
/// The same for a part with which responses ended well some minutes ago.
const SURVIVOR_THRESHOLD: usize = 6 * CRASH_WEIGHT;
/// Maximum number of parts of a prompt that are looked at.
const MAX_PARTS: usize = 16;

/// The parts of a request's prompt that other requests may share, in order, and its model.
#[derive(Clone, Debug, Default, PartialEq, Eq)]
pub struct SharedPrompt {
    parts: Vec<PromptPart>,
    model: Option<ModelName>,
}

impl SharedPrompt {
    /// Creates the shared prompt of a request; parts beyond the first sixteen are left out.
    pub fn new(mut parts: Vec<PromptPart>, model: Option<ModelName>) -> Self {
        parts.truncate(MAX_PARTS);
        SharedPrompt { parts, model }
    }

    /// Returns each part, alone and with the model, with its position.
    fn suspects(&self) -> Vec<(u8, Suspect)> {
        let models = std::iter::once(None).chain(self.model.iter().cloned().map(Some));
        let of_model = |model: Option<ModelName>| {
            let parts = (0u8..).zip(&self.parts);
            parts.map(move |(i, part)| (i, Suspect { part: *part, model: model.clone() }))
        };
        models.flat_map(of_model).collect()
    }
}

impl Display for SharedPrompt {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        for (i, part) in self.parts.iter().enumerate() {
            let separator = if i == 0 { "" } else { "," };
            write!(f, "{separator}{part}")?;
        }
        Ok(())
    }
}

/// A blocked suspect that a request has.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct BlockedPrompt {
    /// The suspect.
    pub suspect: Suspect,
    /// Time for which it stays blocked.
    pub remaining: Duration,
}

/// Why a verdict changed.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum VerdictReason {
    /// Upstreams crashed.
    Crashes,
    /// A response with the part ended well.
    Survived,
    /// The crashes have another part in common.
    OtherPart,
    /// Too many rejections may have caused the crashes.
    Overload,
    /// Another process told so.
    Reported,
}

impl VerdictReason {
    /// Returns the name used in logs.
    pub fn as_str(self) -> &'static str {
        match self {
            VerdictReason::Crashes => "crashes",
            VerdictReason::Survived => "survived",
            VerdictReason::OtherPart => "other_part",
            VerdictReason::Overload => "overload",
            VerdictReason::Reported => "reported",
        }
    }
}

/// A suspect that was blocked, or is no longer.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct VerdictChange {
    /// The verdict that holds now.
    pub verdict: PromptVerdict,
    /// Why it changed.
    pub reason: VerdictReason,
    /// The crashes that led to a block.
    pub crashes: Vec<UpstreamCrash>,
}

impl VerdictChange {
    /// Reports whether the suspect is blocked now.
    pub fn is_blocked(&self) -> bool {
        self.verdict.strikes > 0
    }
}

/// What a process tells others.
#[derive(Clone, Debug, Default, PartialEq, Serialize, Deserialize)]
pub struct QuarantineReport {
    /// The latest changes of the evidence.
    pub evidence: Vec<Evidence>,
    /// All verdicts.
    pub verdicts: Vec<PromptVerdict>,
    /// The latest changes of weak evidence, which is encoded apart.
    #[serde(skip)]
    pub weak: Vec<Evidence>,
}

/// Finds and blocks the parts of prompts that crash upstreams.
#[derive(Clone, Debug, Default)]
pub struct PromptQuarantine {
    evidence: CrashEvidence,
    overloads: Overloads,
    survivors: Survivors,
    verdicts: Verdicts,
}

impl PromptQuarantine {
    /// Sets the time after the end of a block at which this process lets requests through again, so
    /// that one process after the other tries them.
    pub fn set_release_delay(&mut self, delay: Duration) {
        self.verdicts.set_release_delay(delay);
    }

    /// Records that a run of a brittle upstream rejected a request at `at`; returns the verdicts that
    /// changed.
    pub fn record_rejection(
        &mut self,
        run: &UpstreamCrash,
        at: Duration,
        now: Duration,
    ) -> Vec<VerdictChange> {
        let seen_at = self.evidence.seen_at(run);
        if self.overloads.record_rejection(run, at, seen_at) { self.judge(now) } else { Vec::new() }
    }

    /// Reports whether a run of a brittle upstream rejected requests lately, so that too many
    /// rejections may explain its crash.
    pub fn has_rejected(&self, run: &UpstreamCrash, now: Duration) -> bool {
        self.overloads.has_rejected(run, now)
    }

    /// Records that an upstream crashed while a request was in flight; returns the verdicts that
    /// changed.
    pub fn record_crash(
        &mut self,
        prompt: &SharedPrompt,
        strength: EvidenceStrength,
        crash: &UpstreamCrash,
        now: Duration,
    ) -> Vec<VerdictChange> {
        let mut news = false;
        self.overloads.record_crash(crash, now);
        for (position, suspect) in prompt.suspects() {
            let evidence = Evidence { suspect, crash: crash.clone(), position, cleared: false };
            news |= self.evidence.apply(&evidence, strength, now);
        }
        self.evidence.limit_suspects();
        if news { self.judge(now) } else { Vec::new() }
    }

    /// Records that the response to a request ended well; returns the verdicts that changed.
    pub fn record_survival(&mut self, prompt: &SharedPrompt, now: Duration) -> Vec<VerdictChange> {
        let mut changes = Vec::new();
        for (_, suspect) in prompt.suspects() {
            self.survivors.record(&suspect, now);
            if !self.evidence.is_empty() || !self.verdicts.is_empty() {
                self.evidence.clear(&suspect, now);
                changes.extend(self.lift(&suspect, VerdictReason::Survived, now));
            }
        }
        changes
    }

    /// Returns the weight of crashes from which on a suspect is blocked.
    fn threshold(&self, suspect: &Suspect) -> usize {
        if self.survivors.contains(suspect) { SURVIVOR_THRESHOLD } else { BLOCK_THRESHOLD }
    }

    /// Returns the weight of the crashes that count against a suspect.
    fn open_weight(&self, suspect: &Suspect) -> usize {
        self.evidence.open_weight(suspect, |crash| self.overloads.is_doubtful(crash))
    }

    fn lift(
        &mut self,
        suspect: &Suspect,
        reason: VerdictReason,
        now: Duration,
    ) -> Option<VerdictChange> {
        let lifted = self.verdicts.lift(suspect, now);
        if lifted {
            self.evidence.clear(suspect, now);
        }
        let verdict = self.verdicts.get(suspect, now).filter(|_| lifted)?;
        Some(VerdictChange { verdict, reason, crashes: Vec::new() })
    }

    /// Blocks the suspects that the evidence names, and lifts those that it no longer names.
    fn judge(&mut self, now: Duration) -> Vec<VerdictChange> {
        let mut explanations = self.relapses(now);
        explanations.extend(
            self.evidence.explain(
                |suspect| self.threshold(suspect),
                |crash| self.overloads.is_doubtful(crash),
            ),
        );
        let mut changes = Vec::new();
        for Explanation { suspect, crashes } in &explanations {
            if self.verdicts.blocked_for(suspect, now).is_none() {
                self.verdicts.block(suspect, now);
                let verdict = self.verdicts.get(suspect, now);
                changes.extend(verdict.map(|verdict| VerdictChange {
                    verdict,
                    reason: VerdictReason::Crashes,
                    crashes: crashes.clone(),
                }));
            }
        }
        let named = |suspect: &Suspect| explanations.iter().any(|e| e.suspect == *suspect);
        for suspect in self.verdicts.held().into_iter().filter(|suspect| !named(suspect)) {
            // A process that lacks the evidence for a block does not judge it.
            let threshold = self.threshold(&suspect);
            let weight = self.open_weight(&suspect);
            let undoubted = self.evidence.open_weight(&suspect, |_| false);
            let is_doubtful = |crash: &UpstreamCrash| self.overloads.is_doubtful(crash);
            let unexplained =
                self.evidence.unexplained_weight(&suspect, &explanations, is_doubtful);
            if weight >= threshold && unexplained < threshold {
                changes.extend(self.lift(&suspect, VerdictReason::OtherPart, now));
            } else if weight < threshold && undoubted >= threshold {
                changes.extend(self.lift(&suspect, VerdictReason::Overload, now));
            }
        }
        changes
    }

    /// Returns the suspects on probation that a crash counts against again.
    fn relapses(&self, now: Duration) -> Vec<Explanation> {
        let held = self.verdicts.held().into_iter();
        let tried = held.filter(|suspect| self.verdicts.is_on_probation(suspect, now));
        let relapsed = tried.filter(|suspect| self.open_weight(suspect) >= CRASH_WEIGHT);
        relapsed.map(|suspect| Explanation { suspect, crashes: Vec::new() }).collect()
    }

    /// Returns the blocked suspect that a request has, if any.
    pub fn blocked(&self, prompt: &SharedPrompt, now: Duration) -> Option<BlockedPrompt> {
        if self.verdicts.is_empty() {
            return None;
        }
        let suspects = prompt.suspects().into_iter();
        let mut blocked = suspects.filter_map(|(_, suspect)| {
            let remaining = self.verdicts.blocked_for(&suspect, now)?;
            Some(BlockedPrompt { suspect, remaining })
        });
        blocked.next()
    }

    /// Returns the number of blocked suspects.
    pub fn blocked_count(&self, now: Duration) -> usize {
        self.verdicts.blocked_count(now)
    }

    /// Applies what another process told; returns the verdicts that changed.
    pub fn apply_report(&mut self, report: &QuarantineReport, now: Duration) -> Vec<VerdictChange> {
        let mut changes: Vec<VerdictChange> =
            report.verdicts.iter().flat_map(|verdict| self.apply_verdict(verdict, now)).collect();
        let mut news = false;
        let strong = report.evidence.iter().map(|evidence| (evidence, EvidenceStrength::Strong));
        let weak = report.weak.iter().map(|evidence| (evidence, EvidenceStrength::Weak));
        for (evidence, strength) in strong.chain(weak) {
            self.overloads.record_crash(&evidence.crash, now);
            news |= self.evidence.apply(evidence, strength, now);
        }
        self.evidence.limit_suspects();
        if news {
            changes.extend(self.judge(now));
        }
        changes
    }

    /// Applies a verdict that the log keeps; returns the verdicts that changed.
    pub fn apply_record(
        &mut self,
        record: &BlockRecord,
        now: Duration,
        unix_ms: u64,
    ) -> Vec<VerdictChange> {
        self.apply_verdict(&record.verdict(unix_ms), now)
    }

    /// Returns the verdict on a suspect, if there is one.
    pub fn verdict(&self, suspect: &Suspect, now: Duration) -> Option<PromptVerdict> {
        self.verdicts.get(suspect, now)
    }

    /// Applies a verdict of another process. A block of a part that survived here, without the
    /// evidence that such a part needs, is lifted again.
    fn apply_verdict(&mut self, verdict: &PromptVerdict, now: Duration) -> Vec<VerdictChange> {
        if !self.verdicts.apply(verdict, now) {
            return Vec::new();
        }
        let suspect = &verdict.suspect;
        let mut changes = vec![VerdictChange {
            verdict: verdict.clone(),
            reason: VerdictReason::Reported,
            crashes: Vec::new(),
        }];
        if verdict.strikes == 0 {
            self.evidence.clear(suspect, now);
        } else if self.survivors.contains(suspect) && self.open_weight(suspect) < SURVIVOR_THRESHOLD
        {
            changes.extend(self.lift(suspect, VerdictReason::Survived, now));
        }
        changes
    }

    /// Returns what other processes are told.
    pub fn report(&self, now: Duration) -> QuarantineReport {
        let recent = |strength| {
            self.evidence.recent(strength, |suspect| self.survivors.contains(suspect), now)
        };
        QuarantineReport {
            evidence: recent(EvidenceStrength::Strong),
            verdicts: self.verdicts.all(now),
            weak: recent(EvidenceStrength::Weak),
        }
    }

    /// Forgets what no longer counts.
    pub fn expire(&mut self, now: Duration) {
        self.evidence.expire(now);
        self.overloads.expire(now, |crash| self.evidence.seen_at(crash).is_some());
        self.survivors.expire(now);
        self.verdicts.expire(now);
    }
}
