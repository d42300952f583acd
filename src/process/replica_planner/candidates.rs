//! Engines in the order of a cost, found by the room that they have.

use std::cmp::Ordering;
use std::collections::{BTreeMap, BTreeSet};

/// A cost or a rate that orders candidates, in tokens a second.
#[derive(Clone, Copy, Debug)]
pub(super) struct Cost(pub f64);

impl PartialEq for Cost {
    fn eq(&self, other: &Self) -> bool {
        self.cmp(other).is_eq()
    }
}

impl Eq for Cost {}

impl PartialOrd for Cost {
    fn partial_cmp(&self, other: &Self) -> Option<Ordering> {
        Some(self.cmp(other))
    }
}

impl Ord for Cost {
    fn cmp(&self, other: &Self) -> Ordering {
        self.0.total_cmp(&other.0)
    }
}

/// The sizes of models, each once, in ascending order. A size class is the number of sizes that are
/// not above a size, so a model has room where the class of the room is not below its own.
#[derive(Clone, Debug, Default)]
pub(super) struct SizeClasses(Vec<f64>);

impl SizeClasses {
    /// Collects the classes of sizes in MB.
    pub(super) fn new(sizes: impl Iterator<Item = f64>) -> Self {
        let mut sizes: Vec<f64> = sizes.collect();
        sizes.sort_by(f64::total_cmp);
        sizes.dedup();
        SizeClasses(sizes)
    }

    /// Returns the class of a size or of room, in MB; 0 for room that no model fits into.
    pub(super) fn class(&self, size: f64) -> usize {
        self.0.partition_point(|known| *known <= size)
    }
}

/// Engines by the size class of their room, in each class by cost and then by index.
#[derive(Clone, Debug, Default)]
pub(super) struct Candidates(BTreeMap<usize, BTreeSet<(Cost, usize)>>);

impl Candidates {
    /// Adds an engine whose room is of a size class.
    pub(super) fn insert(&mut self, class: usize, cost: Cost, engine: usize) {
        self.0.entry(class).or_default().insert((cost, engine));
    }

    /// Removes an engine that was added with the same class and cost.
    pub(super) fn remove(&mut self, class: usize, cost: Cost, engine: usize) {
        if let Some(engines) = self.0.get_mut(&class) {
            engines.remove(&(cost, engine));
        }
    }

    /// Returns the cheapest engine with room of at least a size class that is accepted.
    pub(super) fn cheapest(
        &self,
        class: usize,
        accepts: impl Fn(usize) -> bool,
    ) -> Option<(Cost, usize)> {
        let classes = self.0.range(class..).map(|(_, engines)| engines);
        let firsts =
            classes.filter_map(|engines| engines.iter().find(|(_, engine)| accepts(*engine)));
        firsts.min().copied()
    }
}
