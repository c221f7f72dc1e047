//! Tells a rank that is slow for its load from one that carries too much of it.

use std::time::Duration;

use amaranthgw_core::{EntityTable, RankId, TokenCount};

use super::loads::count;

/// A rank is slow if it takes this many times what its load explains.
const STALL_FACTOR: f64 = 1.2;
/// A rank is overloaded from this many times the mean load on.
const OVERLOAD_FACTOR: f64 = 1.1;
/// Observations in a row after which a slow rank counts as stalled.
const STALL_OBSERVATIONS: u32 = 3;

/// What a rank did since the last observation.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct RankSample {
    /// The rank.
    pub rank: RankId,
    /// Tokens it worked on.
    pub tokens: TokenCount,
    /// Time it worked, without waiting for other ranks.
    pub busy: Duration,
}

/// Why a rank slows its group down.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum StragglerCause {
    /// Its load does not explain its time: placement cannot help.
    Stalled,
    /// It carries more than the other ranks.
    Overloaded,
}

/// Slow observations in a row of each rank.
#[derive(Clone, Debug, Default)]
pub struct StragglerTracker {
    slow: EntityTable<RankId, u32>,
}

impl StragglerTracker {
    /// Creates the tracker of a group that has not been observed.
    #[must_use]
    pub fn new() -> Self {
        Self::default()
    }

    /// Takes one sample of every rank and returns the ranks that slow the group down.
    pub fn observe(&mut self, samples: &[RankSample]) -> Vec<(RankId, StragglerCause)> {
        let fit = TimeFit::new(samples);
        let mean = mean_tokens(samples);
        let mut found = Vec::new();
        for sample in samples {
            let is_slow = seconds(sample) > fit.seconds(sample) * STALL_FACTOR;
            let in_row = self.slow.get_or_insert_with(sample.rank, || 0);
            *in_row = if is_slow { in_row.saturating_add(1) } else { 0 };
            if *in_row >= STALL_OBSERVATIONS {
                found.push((sample.rank, StragglerCause::Stalled));
            } else if !is_slow && tokens(sample) > mean * OVERLOAD_FACTOR {
                found.push((sample.rank, StragglerCause::Overloaded));
            }
        }
        found
    }
}

/// Time of a rank as a base and a part per token, robust against a few stalled ranks.
#[derive(Clone, Copy, Debug)]
struct TimeFit {
    base: f64,
    per_token: f64,
}

impl TimeFit {
    fn new(samples: &[RankSample]) -> Self {
        let mut sorted = samples.to_vec();
        sorted.sort_by_key(|sample| sample.tokens);
        let (low, high) = sorted.split_at(sorted.len() / 2);
        let width = median(high.iter().map(tokens)) - median(low.iter().map(tokens));
        let rise = median(high.iter().map(seconds)) - median(low.iter().map(seconds));
        let per_token = if width > 0.0 {
            (rise / width).max(0.0)
        } else {
            0.0
        };
        let base = median(sorted.iter().map(|it| seconds(it) - per_token * tokens(it)));
        Self { base, per_token }
    }

    fn seconds(&self, sample: &RankSample) -> f64 {
        self.base + self.per_token * tokens(sample)
    }
}

fn median(values: impl Iterator<Item = f64>) -> f64 {
    let mut sorted: Vec<f64> = values.collect();
    sorted.sort_by(f64::total_cmp);
    sorted.get(sorted.len() / 2).copied().unwrap_or(0.0)
}

fn mean_tokens(samples: &[RankSample]) -> f64 {
    samples.iter().map(tokens).sum::<f64>() / count(samples.len().max(1))
}

fn seconds(sample: &RankSample) -> f64 {
    sample.busy.as_secs_f64()
}

fn tokens(sample: &RankSample) -> f64 {
    count(usize::try_from(sample.tokens.get()).unwrap_or(usize::MAX))
}
