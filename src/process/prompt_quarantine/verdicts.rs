//! Which suspects are blocked, and how long.

use std::collections::BTreeMap;
use std::time::Duration;

use serde::{Deserialize, Serialize};

use super::evidence::Suspect;

/// How long a suspect is blocked the first time; each further time lasts twice as long.
const BLOCK_TIME: Duration = Duration::from_secs(3600);
const MAX_BLOCK_TIME: Duration = Duration::from_secs(24 * 3600);
/// How long a verdict that no longer blocks is remembered.
const VERDICT_TTL: Duration = Duration::from_secs(24 * 3600);
/// Maximum number of verdicts that are remembered.
const MAX_VERDICTS: usize = 32;

/// Whether a suspect is blocked. Of two verdicts on the same suspect, the one with the higher
/// generation holds.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct PromptVerdict {
    /// The suspect.
    pub suspect: Suspect,
    /// Rises by one with each change.
    pub generation: u32,
    /// How often in a row the suspect was blocked; 0 once it is lifted.
    pub strikes: u32,
    /// Time for which it stays blocked.
    #[serde(deserialize_with = "crate::deserialize_told_time")]
    pub remaining: Duration,
}

/// Where one suspect stands.
#[derive(Clone, Copy, Debug)]
struct Standing {
    generation: u32,
    strikes: u32,
    until: Duration,
    changed_at: Duration,
}

/// The verdicts on all suspects.
#[derive(Clone, Debug, Default)]
pub(super) struct Verdicts {
    standings: BTreeMap<Suspect, Standing>,
    /// Time after the end of a block at which this process lets requests through again.
    release_delay: Duration,
}

impl Verdicts {
    /// Sets the time after the end of a block at which this process lets requests through again.
    pub fn set_release_delay(&mut self, delay: Duration) {
        self.release_delay = delay;
    }

    /// Returns how long a suspect stays blocked; none if it is not.
    pub fn blocked_for(&self, suspect: &Suspect, now: Duration) -> Option<Duration> {
        let standing = self.standings.get(suspect).filter(|standing| standing.strikes > 0)?;
        let left = (standing.until + self.release_delay).saturating_sub(now);
        (!left.is_zero()).then_some(left)
    }

    /// Reports whether a suspect was blocked and is tried again.
    pub fn is_on_probation(&self, suspect: &Suspect, now: Duration) -> bool {
        let standing = self.standings.get(suspect);
        standing.is_some_and(|standing| standing.strikes > 0 && standing.until <= now)
    }

    /// Returns the suspects that are blocked or on probation.
    pub fn held(&self) -> Vec<Suspect> {
        let held = self.standings.iter().filter(|(_, standing)| standing.strikes > 0);
        held.map(|(suspect, _)| suspect.clone()).collect()
    }

    /// Returns the number of blocked suspects.
    pub fn blocked_count(&self, now: Duration) -> usize {
        self.standings.keys().filter(|suspect| self.blocked_for(suspect, now).is_some()).count()
    }

    /// Reports whether no suspect was ever blocked, as far as is remembered.
    pub fn is_empty(&self) -> bool {
        self.standings.is_empty()
    }

    /// Blocks a suspect; returns for how long.
    pub fn block(&mut self, suspect: &Suspect, now: Duration) -> Duration {
        let known = self.standings.get(suspect).copied();
        let strikes = known.map_or(0, |standing| standing.strikes);
        let time = BLOCK_TIME.saturating_mul(1 << strikes.min(8)).min(MAX_BLOCK_TIME);
        self.set(
            suspect,
            Standing {
                generation: known.map_or(0, |standing| standing.generation).saturating_add(1),
                strikes: strikes.saturating_add(1),
                until: now + time,
                changed_at: now,
            },
        );
        time
    }

    /// Lifts the block of a suspect; returns whether it was blocked or on probation.
    pub fn lift(&mut self, suspect: &Suspect, now: Duration) -> bool {
        let Some(standing) = self.standings.get_mut(suspect).filter(|s| s.strikes > 0) else {
            return false;
        };
        let generation = standing.generation.saturating_add(1);
        *standing = Standing { generation, strikes: 0, until: now, changed_at: now };
        true
    }

    /// Applies a verdict of another process; returns whether it changed whether the suspect is
    /// blocked.
    pub fn apply(&mut self, verdict: &PromptVerdict, now: Duration) -> bool {
        let known = self.standings.get(&verdict.suspect).copied();
        let newer = known.is_none_or(|standing| {
            (verdict.generation, verdict.strikes) > (standing.generation, standing.strikes)
        });
        if !newer {
            return false;
        }
        let before = self.blocked_for(&verdict.suspect, now).is_some();
        self.set(
            &verdict.suspect,
            Standing {
                generation: verdict.generation,
                strikes: verdict.strikes,
                until: now + verdict.remaining.min(MAX_BLOCK_TIME),
                changed_at: now,
            },
        );
        before != self.blocked_for(&verdict.suspect, now).is_some()
    }

    fn set(&mut self, suspect: &Suspect, standing: Standing) {
        self.standings.insert(suspect.clone(), standing);
        if self.standings.len() <= MAX_VERDICTS {
            return;
        }
        let oldest = self.standings.iter().min_by_key(|(_, s)| (s.strikes > 0, s.changed_at));
        if let Some(suspect) = oldest.map(|(suspect, _)| suspect.clone()) {
            self.standings.remove(&suspect);
        }
    }

    /// Returns the verdict on a suspect.
    pub fn get(&self, suspect: &Suspect, now: Duration) -> Option<PromptVerdict> {
        let standing = self.standings.get(suspect)?;
        Some(PromptVerdict {
            suspect: suspect.clone(),
            generation: standing.generation,
            strikes: standing.strikes,
            remaining: standing.until.saturating_sub(now),
        })
    }

    /// Returns all verdicts, for reports to other processes.
    pub fn all(&self, now: Duration) -> Vec<PromptVerdict> {
        self.standings.keys().filter_map(|suspect| self.get(suspect, now)).collect()
    }

    /// Forgets verdicts that have not blocked for long.
    pub fn expire(&mut self, now: Duration) {
        self.standings.retain(|_, standing| now.saturating_sub(standing.until) < VERDICT_TTL);
    }
}
