//! Load-balancing policies that choose an upstream for a request.

use xxhash_rust::xxh3::xxh3_64;

use crate::UpstreamName;

const AFFINITY_SLACK: u32 = 2; // requests above the mean load

/// An upstream that could take a request.
#[derive(Clone, Debug, PartialEq)]
pub struct UpstreamCandidate {
    /// Name of the upstream.
    pub name: UpstreamName,
    /// Requests of this process that the upstream runs now.
    pub local_requests: u32,
    /// Requests of other processes that the upstream ran when it last reported.
    pub peer_requests: u32,
    /// Whether the upstream is in another data centre.
    pub remote: bool,
}

impl UpstreamCandidate {
    fn load(&self) -> u32 {
        self.local_requests + self.peer_requests
    }
}

/// Load-balancing policy.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum RoutingPolicy {
    /// Chooses a candidate at random.
    Random,
    /// Chooses the candidates in turn.
    RoundRobin,
    /// Chooses the candidate with the fewest requests of other processes in its last report.
    LeastReported,
    /// Chooses the less loaded of two random candidates; requests of this process count at once.
    TwoChoices,
    /// Chooses the candidate that most likely has the prefix cached, by rendezvous hashing; falls
    /// back to [`RoutingPolicy::TwoChoices`] when the load of that candidate is too far above the
    /// mean.
    Affinity,
}

/// Returns the index of the candidate for a request that starts with `prefix`, or `None` without
/// candidates.
///
/// `random(n)` returns a number below `n`. For [`RoutingPolicy::RoundRobin`], the caller passes a
/// running count instead.
pub fn choose_upstream(
    policy: RoutingPolicy,
    candidates: &[UpstreamCandidate],
    prefix: &str,
    mut random: impl FnMut(usize) -> usize,
) -> Option<usize> {
    if candidates.is_empty() {
        return None;
    }
    match policy {
        RoutingPolicy::Random | RoutingPolicy::RoundRobin => {
            Some(random(candidates.len()) % candidates.len())
        }
        RoutingPolicy::LeastReported => (0..candidates.len())
            .min_by_key(|i| (candidates[*i].peer_requests, candidates[*i].remote)),
        RoutingPolicy::TwoChoices => Some(two_choices(candidates, &mut random)),
        RoutingPolicy::Affinity => {
            let preferred = rendezvous_choice(candidates, prefix);
            let total: u32 = candidates.iter().map(UpstreamCandidate::load).sum();
            let mean = total / candidates.len() as u32;
            if candidates[preferred].load() <= mean + AFFINITY_SLACK {
                return Some(preferred);
            }
            Some(two_choices(candidates, &mut random))
        }
    }
}

fn rendezvous_choice(candidates: &[UpstreamCandidate], prefix: &str) -> usize {
    let weight = |i: &usize| xxh3_64(format!("{prefix}\0{}", candidates[*i].name).as_bytes());
    (0..candidates.len()).max_by_key(weight).unwrap_or(0)
}

fn two_choices(candidates: &[UpstreamCandidate], random: &mut impl FnMut(usize) -> usize) -> usize {
    let count = candidates.len();
    let first = random(count) % count;
    let second = (first + 1 + random(count.max(2) - 1)) % count;
    let cost = |i: usize| (candidates[i].load(), candidates[i].remote);
    if cost(second) < cost(first) { second } else { first }
}
