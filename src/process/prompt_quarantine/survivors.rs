//! Suspects with which responses ended well lately.

use std::collections::HashSet;
use std::time::Duration;

use xxhash_rust::xxh3::xxh3_64;

use super::evidence::Suspect;

/// Time after which the older half of what is remembered is dropped.
const GENERATION_TIME: Duration = Duration::from_secs(300);
/// Number of suspects after which the older half is dropped.
const MAX_GENERATION: usize = 4096;

/// Remembers, by their hashes, the suspects of the last minutes that responses survived.
#[derive(Clone, Debug, Default)]
pub(super) struct Survivors {
    recent: HashSet<u64>,
    older: HashSet<u64>,
    started_at: Duration,
}

fn hash(suspect: &Suspect) -> u64 {
    let model = suspect.model.as_ref().map_or("", |model| model.as_str());
    xxh3_64(format!("{}\0{model}", suspect.part).as_bytes())
}

impl Survivors {
    /// Records that a response with the suspect ended well.
    pub fn record(&mut self, suspect: &Suspect, now: Duration) {
        self.recent.insert(hash(suspect));
        if self.recent.len() >= MAX_GENERATION {
            self.start_generation(now);
        }
    }

    /// Reports whether a response with the suspect ended well lately.
    pub fn contains(&self, suspect: &Suspect) -> bool {
        let hash = hash(suspect);
        self.recent.contains(&hash) || self.older.contains(&hash)
    }

    /// Forgets what is old.
    pub fn expire(&mut self, now: Duration) {
        if now.saturating_sub(self.started_at) >= GENERATION_TIME {
            self.start_generation(now);
        }
    }

    fn start_generation(&mut self, now: Duration) {
        self.older = std::mem::take(&mut self.recent);
        self.started_at = now;
    }
}
