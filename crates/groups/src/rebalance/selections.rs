//! How often the ranks of a group selected each expert, in a form that can be added up on the way.

use amaranthgw_core::{GroupGeneration, StartMark};
use serde::{Deserialize, Serialize};

/// Number of experts that share a scale in a [`SelectionSample`].
const BLOCK_SIZE: usize = 64;

/// Selections of each expert over a while, set after set. The serialised form is rounded to a 255th
/// of the most selected expert of each block.
#[derive(Clone, Debug, Default, PartialEq, Eq, Serialize, Deserialize)]
#[serde(from = "PackedSample", into = "PackedSample")]
pub struct SelectionSample {
    counts: Vec<u64>,
}

/// Serialised form of a [`SelectionSample`].
#[derive(Clone, Debug, Serialize, Deserialize)]
struct PackedSample {
    /// Number of bits by which the counts of each block were shifted to the right.
    shifts: Vec<u8>,
    counts: Vec<u8>,
}

impl SelectionSample {
    /// Creates a sample of `counts`.
    #[must_use]
    pub const fn new(counts: Vec<u64>) -> Self {
        Self { counts }
    }

    /// The counts, set after set.
    #[must_use]
    pub fn counts(&self) -> &[u64] {
        &self.counts
    }

    /// Adds the selections of `other`. One of another size replaces these if it is larger and is
    /// dropped otherwise, as only samples of one group can be added up.
    pub fn add(&mut self, other: &Self) {
        if self.counts.len() != other.counts.len() {
            if other.counts.len() > self.counts.len() {
                self.clone_from(other);
            }
            return;
        }
        for (sum, count) in self.counts.iter_mut().zip(&other.counts) {
            *sum = sum.saturating_add(*count);
        }
    }
}

impl From<SelectionSample> for PackedSample {
    fn from(sample: SelectionSample) -> Self {
        let mut packed = Self {
            shifts: Vec::new(),
            counts: Vec::with_capacity(sample.counts.len()),
        };
        for block in sample.counts.chunks(BLOCK_SIZE) {
            let most = block.iter().copied().max().unwrap_or_default();
            let shift = (u64::BITS - most.leading_zeros()).saturating_sub(u8::BITS);
            let half = (1 << shift) >> 1;
            let scaled = |count: &u64| {
                let rounded = count.saturating_add(half) >> shift;
                u8::try_from(rounded).unwrap_or(u8::MAX)
            };
            packed.shifts.push(u8::try_from(shift).unwrap_or_default());
            packed.counts.extend(block.iter().map(scaled));
        }
        packed
    }
}

impl From<PackedSample> for SelectionSample {
    fn from(packed: PackedSample) -> Self {
        let shifts = packed.shifts.iter().copied().chain(std::iter::repeat(0));
        let blocks = packed.counts.chunks(BLOCK_SIZE).zip(shifts);
        let widened = |(block, shift): (&[u8], u8)| -> Vec<u64> {
            let shift = u32::from(shift).min(u64::BITS - u8::BITS);
            let counts = block.iter().map(|count| u64::from(*count) << shift);
            counts.collect()
        };
        Self {
            counts: blocks.flat_map(widened).collect(),
        }
    }
}

/// Turns the counts of one rank, which grow from its start, into samples.
#[derive(Clone, Debug, Default)]
pub struct SelectionCounter {
    last: Option<(StartMark, GroupGeneration, Vec<u64>)>,
}

impl SelectionCounter {
    /// Creates a counter that has read nothing.
    #[must_use]
    pub fn new() -> Self {
        Self::default()
    }

    /// The selections since the last call; `None` at the first one and after a restart of the rank
    /// or its group, when counts can't be compared.
    pub fn advance(
        &mut self,
        born: StartMark,
        generation: GroupGeneration,
        counts: Vec<u64>,
    ) -> Option<SelectionSample> {
        let last = self.last.take();
        let known = last.filter(|(last_born, last_generation, last)| {
            (*last_born, *last_generation, last.len()) == (born, generation, counts.len())
        });
        let sample = known.map(|(_, _, last)| {
            let pairs = counts.iter().zip(&last);
            SelectionSample::new(pairs.map(|(new, old)| new.saturating_sub(*old)).collect())
        });
        self.last = Some((born, generation, counts));
        sample
    }
}
