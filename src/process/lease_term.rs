//! The term in which the platform's group assigned duties.

use crate::units::LogEra;

/// Bits of a fencing token that hold the group's generation; the higher bits hold the era.
const GENERATION_BITS: u32 = 32;

/// A generation of the group in an era of the log. After the log came back from an older copy it
/// gives out generations a second time, so the era is compared first.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq, PartialOrd, Ord)]
pub(super) struct LeaseTerm {
    era: LogEra,
    generation: u64,
}

impl LeaseTerm {
    /// Creates the term of a generation.
    pub(super) fn new(era: LogEra, generation: u64) -> Self {
        LeaseTerm { era, generation }
    }

    /// Returns the era of the log.
    pub(super) fn era(self) -> LogEra {
        self.era
    }

    /// Returns the group's generation.
    pub(super) fn generation(self) -> u64 {
        self.generation
    }

    /// Returns the term as one number, which rises with it: the fencing token of its orders.
    pub(super) fn number(self) -> u64 {
        let generation = self.generation.min((1 << GENERATION_BITS) - 1);
        (u64::from(self.era.0) << GENERATION_BITS) | generation
    }
}
