//! Straggler detection: distinguishes ranks that are slow for their load from overloaded ones.

use std::time::Duration;

use amaranthgw_core::{EntityTable, RankId, TokenCount};

use super::loads::as_f64;

/// A rank is slow if its busy time exceeds the time that its load explains by more than this
/// factor.
const STALL_FACTOR: f64 = 1.2;
/// Multiple of the mean load from which a rank is overloaded.
const OVERLOAD_FACTOR: f64 = 1.1;
/// Consecutive slow observations from which a rank counts as stalled.
const STALL_OBSERVATIONS: u32 = 3;

/// Work of a rank since the last observation.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct RankSample {
    /// The rank.
    pub rank: RankId,
    /// Tokens processed.
    pub tokens: TokenCount,
    /// Busy time, without waiting for other ranks.
    pub busy: Duration,
}

/// Why a rank slows its group down.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum StragglerCause {
    /// Its load does not explain its time, so a new placement can't help.
    Stalled,
    /// Its load is well above the mean of the ranks.
    Overloaded,
}

/// Detector of stragglers, with the number of consecutive slow observations of each rank.
#[derive(Clone, Debug, Default)]
pub struct StragglerTracker {
    slow: EntityTable<RankId, u32>,
}

impl StragglerTracker {
    /// Creates the tracker of a group without observations.
    #[must_use]
    pub fn new() -> Self {
        Self::default()
    }

    /// Records one sample of every rank and returns the ranks that slow the group down.
    pub fn observe(&mut self, samples: &[RankSample]) -> Vec<(RankId, StragglerCause)> {
        let time_fit = TimeFit::new(samples);
        let mean = mean_tokens(samples);
        let mut found = Vec::new();
        for sample in samples {
            let is_slow = seconds(sample) > time_fit.seconds(sample) * STALL_FACTOR;
            let consecutive = self.slow.get_or_insert_with(sample.rank, || 0);
            *consecutive = if is_slow {
                consecutive.saturating_add(1)
            } else {
                0
            };
            if *consecutive >= STALL_OBSERVATIONS {
                found.push((sample.rank, StragglerCause::Stalled));
            } else if !is_slow && tokens(sample) > mean * OVERLOAD_FACTOR {
                found.push((sample.rank, StragglerCause::Overloaded));
            }
        }
        found
    }
}

/// Linear fit of busy time to tokens, based on medians so that a few stalled ranks don't affect it.
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
        let base = median(
            sorted
                .iter()
                .map(|sample| seconds(sample) - per_token * tokens(sample)),
        );
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
    samples.iter().map(tokens).sum::<f64>() / as_f64(samples.len().max(1))
}

fn seconds(sample: &RankSample) -> f64 {
    sample.busy.as_secs_f64()
}

fn tokens(sample: &RankSample) -> f64 {
    as_f64(usize::try_from(sample.tokens.get()).unwrap_or(usize::MAX))
}
