//! Which parts of prompts were in requests whose responses had just begun when an upstream crashed.

use std::cmp::Reverse;
use std::collections::{BTreeMap, BTreeSet};
use std::fmt::{self, Display};
use std::str::FromStr;
use std::time::Duration;

use serde::{Deserialize, Serialize};

use super::overloads::CRASH_WEIGHT;
use crate::{Error, ErrorKind, ModelName, PromptPart, Result, UpstreamName};

/// How long a crash counts.
const CRASH_TTL: Duration = Duration::from_secs(600);
/// How long a change is reported to other processes.
const REPORT_TIME: Duration = Duration::from_secs(2);
/// Maximum number of changes in a report.
const MAX_REPORTED: usize = 60;
/// Maximum number of suspects that are remembered.
const MAX_SUSPECTS: usize = 512;
/// Maximum number of crashes that are remembered for a suspect.
const MAX_CRASHES: usize = 16;

/// One crash of an upstream.
#[derive(Clone, Debug, PartialEq, Eq, PartialOrd, Ord, Serialize, Deserialize)]
pub struct UpstreamCrash {
    /// The upstream.
    pub upstream: UpstreamName,
    /// Start of the run that ended, in Unix milliseconds.
    pub started_ms: u64,
}

impl Display for UpstreamCrash {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        write!(f, "{}#{}", self.upstream, self.started_ms)
    }
}

impl FromStr for UpstreamCrash {
    type Err = Error;

    fn from_str(text: &str) -> Result<Self> {
        let invalid = || Error::new(ErrorKind::InvalidRequest, "not the crash of an upstream");
        let (upstream, started_ms) = text.rsplit_once('#').ok_or_else(invalid)?;
        let started_ms = started_ms.parse().map_err(|_| invalid())?;
        Ok(UpstreamCrash { upstream: upstream.parse()?, started_ms })
    }
}

/// What may crash upstreams: a part of prompts with any model, or with one model.
#[derive(Clone, Debug, PartialEq, Eq, PartialOrd, Ord, Serialize, Deserialize)]
pub struct Suspect {
    /// The part.
    pub part: PromptPart,
    /// The model; none if the part crashes upstreams with any model.
    pub model: Option<ModelName>,
}

impl Display for Suspect {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        match &self.model {
            None => write!(f, "part {}", self.part),
            Some(model) => write!(f, "part {} with model {model}", self.part),
        }
    }
}

/// How clearly a crash points to the request that was in flight.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord)]
pub enum EvidenceStrength {
    /// The response had not begun, or its events had come for a moment; other requests may have
    /// been in the same place.
    Weak,
    /// The response had begun and had no event yet.
    Strong,
}

impl EvidenceStrength {
    /// Weight of a crash that nothing else explains.
    const fn weight(self) -> usize {
        match self {
            EvidenceStrength::Weak => CRASH_WEIGHT / 2,
            EvidenceStrength::Strong => CRASH_WEIGHT,
        }
    }
}

/// A crash that counts against a suspect, or no longer does.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub struct Evidence {
    /// The suspect.
    pub suspect: Suspect,
    /// The crash.
    pub crash: UpstreamCrash,
    /// Position of the part in the prompt, from 0.
    pub position: u8,
    /// Whether a request with the suspect ran well after the crash.
    pub cleared: bool,
}

/// Whether a crash counts against a suspect.
#[derive(Clone, Copy, Debug)]
struct CrashState {
    strength: EvidenceStrength,
    cleared: bool,
    seen_at: Duration,
    changed_at: Duration,
}

/// The crashes of one suspect.
#[derive(Clone, Debug)]
struct SuspectRecord {
    position: u8,
    crashes: BTreeMap<UpstreamCrash, CrashState>,
}

impl SuspectRecord {
    fn open_crashes(&self) -> BTreeMap<&UpstreamCrash, EvidenceStrength> {
        let open = self.crashes.iter().filter(|(_, state)| !state.cleared);
        open.map(|(crash, state)| (crash, state.strength)).collect()
    }

    fn open_count(&self) -> usize {
        self.crashes.values().filter(|state| !state.cleared).count()
    }

    fn changed_at(&self) -> Duration {
        self.crashes.values().map(|state| state.changed_at).max().unwrap_or_default()
    }

    /// Drops the oldest crash when there are too many.
    fn limit_crashes(&mut self) {
        if self.crashes.len() <= MAX_CRASHES {
            return;
        }
        let oldest = self.crashes.iter().min_by_key(|(_, state)| state.seen_at);
        if let Some(crash) = oldest.map(|(crash, _)| crash.clone()) {
            self.crashes.remove(&crash);
        }
    }
}

/// A suspect and the crashes that count against it and are not explained yet.
#[derive(Clone, Debug)]
struct Candidate<'a> {
    suspect: &'a Suspect,
    /// Weight of the crashes that it needs.
    threshold: usize,
    position: u8,
    crashes: BTreeMap<&'a UpstreamCrash, EvidenceStrength>,
}

/// Returns the weight of crashes; `is_doubtful` tells which may come from too many rejections.
fn total_weight(
    crashes: &BTreeMap<&UpstreamCrash, EvidenceStrength>,
    is_doubtful: impl Fn(&UpstreamCrash) -> bool,
) -> usize {
    let weight = |(crash, strength): (&&UpstreamCrash, &EvidenceStrength)| {
        strength.weight() / if is_doubtful(crash) { 2 } else { 1 }
    };
    crashes.iter().map(weight).sum()
}

impl Candidate<'_> {
    /// Returns a value that is the highest for the suspect that is taken first.
    fn rank(&self) -> (Reverse<usize>, usize, u8, bool) {
        let any_model = self.suspect.model.is_none();
        (Reverse(self.threshold), self.crashes.len(), self.position, any_model)
    }

    /// Reports whether this suspect, a later part, explains most of the crashes of `other`, and the
    /// others are weakly linked ones that block no part by themselves: requests without the part may
    /// have waited at those upstreams beside a deadly one that left no evidence, as one that was
    /// given up.
    fn narrows(&self, other: &Candidate<'_>, is_doubtful: impl Fn(&UpstreamCrash) -> bool) -> bool {
        let mut surplus = other.crashes.clone();
        surplus.retain(|crash, _| !self.crashes.contains_key(crash));
        let is_part = self.crashes.len() + surplus.len() == other.crashes.len();
        let is_weak = surplus.values().all(|strength| *strength == EvidenceStrength::Weak);
        let weight = total_weight(&surplus, &is_doubtful);
        self.position > other.position
            && self.threshold <= other.threshold
            && is_part
            && is_weak
            && weight < other.threshold
            && weight < total_weight(&self.crashes, &is_doubtful)
    }

    /// Reports whether several later parts of prompts explain the crashes too, each of them more
    /// than one: the suspect may only be what they have in common.
    fn is_ambiguous(&self, all: &[Candidate<'_>]) -> bool {
        let later = all
            .iter()
            .filter(|other| other.position > self.position && other.threshold <= self.threshold);
        let explained: BTreeSet<&UpstreamCrash> =
            later.flat_map(|other| other.crashes.keys().copied()).collect();
        self.crashes.keys().all(|crash| explained.contains(crash))
    }
}

/// A suspect and the crashes that it explains.
#[derive(Clone, Debug, PartialEq)]
pub(super) struct Explanation {
    pub suspect: Suspect,
    pub crashes: Vec<UpstreamCrash>,
}

/// The crashes that count against each suspect.
#[derive(Clone, Debug, Default)]
pub(super) struct CrashEvidence {
    suspects: BTreeMap<Suspect, SuspectRecord>,
}

impl CrashEvidence {
    /// Adds evidence; returns whether it was news. A crash that was cleared stays so, and strong
    /// evidence stays strong.
    pub fn apply(
        &mut self,
        evidence: &Evidence,
        strength: EvidenceStrength,
        now: Duration,
    ) -> bool {
        let record = self.suspects.entry(evidence.suspect.clone());
        let record = record.or_insert_with(|| SuspectRecord {
            position: evidence.position,
            crashes: BTreeMap::new(),
        });
        let cleared = evidence.cleared;
        let fresh = CrashState { strength, cleared, seen_at: now, changed_at: now };
        let news = match record.crashes.get_mut(&evidence.crash) {
            Some(state) if state.cleared || (!cleared && state.strength >= strength) => false,
            Some(state) => {
                let strength = strength.max(state.strength);
                *state = CrashState { strength, seen_at: state.seen_at, ..fresh };
                true
            }
            None => {
                record.crashes.insert(evidence.crash.clone(), fresh);
                true
            }
        };
        record.limit_crashes();
        news
    }

    /// Drops the suspects with the fewest crashes, and of these the oldest, when there are too many.
    pub fn limit_suspects(&mut self) {
        let excess = self.suspects.len().saturating_sub(MAX_SUSPECTS);
        if excess == 0 {
            return;
        }
        let records = self.suspects.iter();
        let mut ranked: Vec<_> = records
            .map(|(suspect, record)| (record.open_count(), record.changed_at(), suspect.clone()))
            .collect();
        ranked.sort();
        for (_, _, suspect) in ranked.drain(..excess) {
            self.suspects.remove(&suspect);
        }
    }

    /// Reports whether no crash is known.
    pub fn is_empty(&self) -> bool {
        self.suspects.is_empty()
    }

    /// Clears all crashes of a suspect.
    pub fn clear(&mut self, suspect: &Suspect, now: Duration) {
        let Some(record) = self.suspects.get_mut(suspect) else {
            return;
        };
        for state in record.crashes.values_mut().filter(|state| !state.cleared) {
            *state = CrashState { cleared: true, changed_at: now, ..*state };
        }
    }

    /// Returns when a crash was first heard of.
    pub fn seen_at(&self, crash: &UpstreamCrash) -> Option<Duration> {
        let states = self.suspects.values().filter_map(|record| record.crashes.get(crash));
        states.map(|state| state.seen_at).min()
    }

    /// Returns the weight of the crashes that count against a suspect; `is_doubtful` tells which may
    /// come from too many rejections.
    pub fn open_weight(
        &self,
        suspect: &Suspect,
        is_doubtful: impl Fn(&UpstreamCrash) -> bool,
    ) -> usize {
        let record = self.suspects.get(suspect);
        record.map_or(0, |record| total_weight(&record.open_crashes(), is_doubtful))
    }

    /// Returns the fewest suspects that explain the crashes; `threshold` is the weight of crashes
    /// that a suspect needs, which no suspect before it explains; crashes for which `is_doubtful` is
    /// true count half.
    ///
    /// Suspects with a low threshold come first, and of these the one with the most crashes. Of
    /// several that were in the same requests the last part counts, since the parts before it are
    /// shared with more requests, which may be in flight at further crashes by chance.
    pub fn explain(
        &self,
        threshold: impl Fn(&Suspect) -> usize,
        is_doubtful: impl Fn(&UpstreamCrash) -> bool,
    ) -> Vec<Explanation> {
        let all = self.candidates(threshold);
        let mut left = all.clone();
        let mut explanations = Vec::new();
        loop {
            let weighty = left.iter().filter(|candidate| {
                total_weight(&candidate.crashes, &is_doubtful) >= candidate.threshold
            });
            let Some(first) = weighty.max_by_key(|candidate| candidate.rank()) else {
                return explanations;
            };
            let narrower = left.iter().filter(|other| other.narrows(first, &is_doubtful));
            let best = narrower.max_by_key(|candidate| candidate.rank()).unwrap_or(first).clone();
            left.retain(|candidate| candidate.suspect != best.suspect);
            if best.is_ambiguous(&all) {
                continue;
            }
            for candidate in &mut left {
                candidate.crashes.retain(|crash, _| !best.crashes.contains_key(crash));
            }
            explanations.push(Explanation {
                suspect: best.suspect.clone(),
                crashes: best.crashes.into_keys().cloned().collect(),
            });
        }
    }

    /// Returns the suspects that more than one crash counts against.
    fn candidates(&self, threshold: impl Fn(&Suspect) -> usize) -> Vec<Candidate<'_>> {
        let records = self.suspects.iter().filter(|(_, record)| record.open_count() > 1);
        let candidates = records.map(|(suspect, record)| Candidate {
            suspect,
            threshold: threshold(suspect),
            position: record.position,
            crashes: record.open_crashes(),
        });
        candidates.collect()
    }

    /// Returns the weight of the crashes that count against a suspect and are not in `explanations`.
    pub fn unexplained_weight(
        &self,
        suspect: &Suspect,
        explanations: &[Explanation],
        is_doubtful: impl Fn(&UpstreamCrash) -> bool,
    ) -> usize {
        let Some(record) = self.suspects.get(suspect) else {
            return 0;
        };
        let is_explained = |crash: &UpstreamCrash| {
            explanations.iter().any(|explanation| explanation.crashes.contains(crash))
        };
        let mut crashes = record.open_crashes();
        crashes.retain(|crash, _| !is_explained(crash));
        total_weight(&crashes, is_doubtful)
    }

    /// Returns the latest changes with evidence of one strength, for reports to other processes.
    /// Changes for which `is_unlikely` is true are left out first.
    pub fn recent(
        &self,
        strength: EvidenceStrength,
        is_unlikely: impl Fn(&Suspect) -> bool,
        now: Duration,
    ) -> Vec<Evidence> {
        let all = self.suspects.iter().flat_map(|(suspect, record)| {
            let crashes = record.crashes.iter();
            crashes.map(move |(crash, state)| (suspect, record.position, crash, state))
        });
        let mut fresh: Vec<_> = all
            .filter(|(_, _, _, state)| state.strength == strength)
            .filter(|(_, _, _, state)| now.saturating_sub(state.changed_at) < REPORT_TIME)
            .collect();
        if fresh.len() > MAX_REPORTED {
            fresh.sort_by_cached_key(|(suspect, _, _, state)| {
                (is_unlikely(suspect), Reverse(state.changed_at))
            });
            fresh.truncate(MAX_REPORTED);
        }
        let evidence = fresh.into_iter().map(|(suspect, position, crash, state)| Evidence {
            suspect: suspect.clone(),
            crash: crash.clone(),
            position,
            cleared: state.cleared,
        });
        evidence.collect()
    }

    /// Forgets crashes that no longer count.
    pub fn expire(&mut self, now: Duration) {
        for record in self.suspects.values_mut() {
            record.crashes.retain(|_, state| now.saturating_sub(state.seen_at) < CRASH_TTL);
        }
        self.suspects.retain(|_, record| !record.crashes.is_empty());
    }
}
