//! Choice of an upstream for a request.

use xxhash_rust::xxh3::xxh3_64;

use crate::UpstreamName;

const LOAD_SLACK: u32 = 2; // requests above the mean load that affinity may cost

/// An upstream that could take a request.
#[derive(Clone, Debug, PartialEq)]
pub struct Candidate {
    /// Its name.
    pub name: UpstreamName,
    /// Requests of this process that it runs now.
    pub own: u32,
    /// Requests of other processes that it ran when it last reported.
    pub others: u32,
    /// Whether it is in another data centre.
    pub remote: bool,
}

impl Candidate {
    fn load(&self) -> u32 {
        self.own + self.others
    }
}

/// How an upstream is chosen.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Policy {
    /// Any, at random.
    Random,
    /// One after the other.
    RoundRobin,
    /// The least load by the last reports alone.
    LeastReported,
    /// The lesser load of two at random, own requests counted at once.
    TwoChoices,
    /// The upstream that most likely has the prefix cached, unless its load is above the mean;
    /// two choices otherwise.
    Affinity,
}

/// Chooses one of `candidates` for a request that starts with `prefix`.
///
/// `random(n)` returns a number below `n`; for [`Policy::RoundRobin`] it is the running count.
pub fn choose(
    policy: Policy,
    candidates: &[Candidate],
    prefix: &str,
    mut random: impl FnMut(usize) -> usize,
) -> Option<usize> {
    if candidates.is_empty() {
        return None;
    }
    match policy {
        Policy::Random | Policy::RoundRobin => Some(random(candidates.len()) % candidates.len()),
        Policy::LeastReported => {
            (0..candidates.len()).min_by_key(|i| (candidates[*i].others, candidates[*i].remote))
        }
        Policy::TwoChoices => Some(two_choices(candidates, &mut random)),
        Policy::Affinity => {
            let favourite = favourite(candidates, prefix);
            let total: u32 = candidates.iter().map(Candidate::load).sum();
            let mean = total / candidates.len() as u32;
            if candidates[favourite].load() <= mean + LOAD_SLACK {
                return Some(favourite);
            }
            Some(two_choices(candidates, &mut random))
        }
    }
}

fn favourite(candidates: &[Candidate], prefix: &str) -> usize {
    let weight = |i: &usize| xxh3_64(format!("{prefix}\0{}", candidates[*i].name).as_bytes());
    (0..candidates.len()).max_by_key(weight).unwrap_or(0)
}

fn two_choices(candidates: &[Candidate], random: &mut impl FnMut(usize) -> usize) -> usize {
    let count = candidates.len();
    let first = random(count) % count;
    let second = (first + 1 + random(count.max(2) - 1)) % count;
    let cost = |i: usize| (candidates[i].load(), candidates[i].remote);
    if cost(second) < cost(first) { second } else { first }
}
