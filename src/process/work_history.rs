//! How much work the prompts of each model are, and how slow each upstream is now, learned from the
//! times to the first event that all processes saw.

use std::cmp::Reverse;
use std::collections::BTreeMap;
use std::time::Duration;

use crate::VmName;

/// How long what another process told is kept, if it tells nothing further.
const PEER_TTL: Duration = Duration::from_secs(60);
/// Maximum number of keys that are told to other processes.
const MAX_TOLD: usize = 500;
/// Longest observed time of one request that counts, as a multiple of its nominal time.
const MAX_RATIO: f64 = 5.0;
/// Nominal time below which the sums of a key are forgotten, in milliseconds.
const MIN_NOMINAL: f64 = 1.0;
/// Range of a ratio.
const RATIO_RANGE: (f64, f64) = (0.05, 20.0);

/// Time that requests took and what was expected without knowledge of them, summed.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub struct WorkTimes {
    /// Observed time in milliseconds.
    pub observed: u32,
    /// Nominal time in milliseconds.
    pub nominal: u32,
}

#[derive(Clone, Copy, Debug, Default)]
struct Sums {
    observed: f64,
    nominal: f64,
}

impl Sums {
    fn add(&mut self, observed: f64, nominal: f64) {
        self.observed += observed;
        self.nominal += nominal;
    }

    fn plus(&mut self, other: Sums) {
        self.add(other.observed, other.nominal);
    }

    fn minus(&mut self, other: Sums) {
        self.add(-other.observed, -other.nominal);
    }

    fn rounded(self) -> WorkTimes {
        WorkTimes { observed: self.observed as u32, nominal: self.nominal as u32 }
    }
}

impl From<WorkTimes> for Sums {
    fn from(times: WorkTimes) -> Self {
        Sums { observed: f64::from(times.observed), nominal: f64::from(times.nominal) }
    }
}

/// Settings of [`WorkHistory`].
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct WorkHistorySettings {
    /// Time after which an observation counts half.
    pub half_life: Duration,
    /// Nominal time of observations that outweighs the ratio assumed without any.
    pub prior: Duration,
}

impl Default for WorkHistorySettings {
    fn default() -> Self {
        WorkHistorySettings {
            half_life: Duration::from_secs(300),
            prior: Duration::from_millis(300),
        }
    }
}

#[derive(Clone, Debug)]
struct PeerTimes {
    received_at: Duration,
    times: BTreeMap<u32, Sums>,
}

/// Ratios of observed to nominal time, by the hash of a name.
///
/// Sums of several processes add up, so that a process that has seen little uses what the others
/// have seen.
///
/// ```
/// use std::time::Duration;
/// use carobglade::{WorkHistory, WorkHistorySettings};
///
/// let mut history = WorkHistory::new(WorkHistorySettings::default());
/// assert_eq!(history.ratio(7, 1.0), 1.0);
/// history.record(7, Duration::from_millis(900), Duration::from_millis(300));
/// assert_eq!(history.ratio(7, 1.0), 2.0);
/// ```
#[derive(Clone, Debug)]
pub struct WorkHistory {
    settings: WorkHistorySettings,
    local: BTreeMap<u32, Sums>,
    peers: BTreeMap<VmName, PeerTimes>,
    /// Sums over `peers`.
    told: BTreeMap<u32, Sums>,
    decayed_at: Duration,
}

/// Rounds sums, and leaves out those with the fewest observations if there are too many to tell.
fn most_observed(sums: BTreeMap<u32, Sums>) -> BTreeMap<u32, WorkTimes> {
    let rounded = sums.into_iter().map(|(key, sums)| (key, sums.rounded()));
    let mut rows: Vec<_> = rounded.filter(|(_, times)| times.nominal > 0).collect();
    if rows.len() > MAX_TOLD {
        rows.sort_unstable_by_key(|(key, times)| (Reverse(times.nominal), *key));
        rows.truncate(MAX_TOLD);
    }
    rows.into_iter().collect()
}

impl WorkHistory {
    /// Creates a history without observations.
    pub fn new(settings: WorkHistorySettings) -> Self {
        WorkHistory {
            settings,
            local: BTreeMap::new(),
            peers: BTreeMap::new(),
            told: BTreeMap::new(),
            decayed_at: Duration::ZERO,
        }
    }

    /// Records that a request took `observed` where `nominal` says the same without knowledge of the
    /// key.
    pub fn record(&mut self, key: u32, observed: Duration, nominal: Duration) {
        let nominal = nominal.as_secs_f64() * 1000.0;
        let observed = (observed.as_secs_f64() * 1000.0).min(nominal * MAX_RATIO);
        self.local.entry(key).or_default().add(observed, nominal);
    }

    /// Returns the ratio of observed to nominal time; near `prior` where little was observed.
    pub fn ratio(&self, key: u32, prior: f64) -> f64 {
        let weight = self.settings.prior.as_secs_f64() * 1000.0;
        let mut sums = Sums { observed: prior * weight, nominal: weight };
        for known in [self.local.get(&key), self.told.get(&key)].into_iter().flatten() {
            sums.plus(*known);
        }
        (sums.observed / sums.nominal).clamp(RATIO_RANGE.0, RATIO_RANGE.1)
    }

    /// Returns the sums of this process and of the vms that `vms` accepts.
    pub fn sum_over(&self, vms: impl Fn(&VmName) -> bool) -> BTreeMap<u32, WorkTimes> {
        let mut sums = self.local.clone();
        let counted = self.peers.iter().filter(|(vm, _)| vms(vm));
        for (key, times) in counted.flat_map(|(_, peer)| &peer.times) {
            sums.entry(*key).or_default().plus(*times);
        }
        most_observed(sums)
    }

    /// Returns the sums of all processes but `vm`.
    pub fn excluding_vm(&self, vm: &VmName) -> BTreeMap<u32, WorkTimes> {
        let mut sums = self.local.clone();
        for (key, told) in &self.told {
            sums.entry(*key).or_default().plus(*told);
        }
        for (key, times) in self.peers.get(vm).into_iter().flat_map(|peer| &peer.times) {
            sums.entry(*key).or_default().minus(*times);
        }
        most_observed(sums)
    }

    /// Applies what a peer told, in place of what it told before.
    pub fn apply_report(&mut self, vm: &VmName, times: BTreeMap<u32, WorkTimes>, now: Duration) {
        self.forget_peer(vm);
        let times: BTreeMap<u32, Sums> =
            times.into_iter().map(|(key, times)| (key, times.into())).collect();
        for (key, times) in &times {
            self.told.entry(*key).or_default().plus(*times);
        }
        self.peers.insert(vm.clone(), PeerTimes { received_at: now, times });
    }

    fn forget_peer(&mut self, vm: &VmName) {
        let Some(peer) = self.peers.remove(vm) else {
            return;
        };
        for (key, times) in &peer.times {
            if let Some(sums) = self.told.get_mut(key) {
                sums.minus(*times);
                if sums.nominal < MIN_NOMINAL {
                    self.told.remove(key);
                }
            }
        }
    }

    /// Forgets a key, of an upstream that has started again.
    pub fn reset(&mut self, key: u32) {
        self.local.remove(&key);
        self.told.remove(&key);
        for peer in self.peers.values_mut() {
            peer.times.remove(&key);
        }
    }

    /// Lets older observations count less, and forgets peers that told nothing for long.
    pub fn decay(&mut self, now: Duration) {
        let passed = now.saturating_sub(self.decayed_at);
        self.decayed_at = now;
        let kept = 0.5_f64.powf(passed.as_secs_f64() / self.settings.half_life.as_secs_f64());
        let decayed = |sums: &mut Sums| {
            *sums = Sums { observed: sums.observed * kept, nominal: sums.nominal * kept };
            sums.nominal >= MIN_NOMINAL
        };
        self.local.retain(|_, sums| decayed(sums));
        self.told.retain(|_, sums| decayed(sums));
        for peer in self.peers.values_mut() {
            peer.times.retain(|_, sums| decayed(sums));
        }
        let expired = |peer: &PeerTimes| now.saturating_sub(peer.received_at) >= PEER_TTL;
        let silent = self.peers.iter().filter(|(_, peer)| expired(peer));
        let silent: Vec<VmName> = silent.map(|(vm, _)| vm.clone()).collect();
        silent.iter().for_each(|vm| self.forget_peer(vm));
    }
}
