//! The steps of a group, for tests.

use std::time::Duration;

use amaranthgw_core::{EntityTable, GroupGeneration, MapVersion, RankId, StepNumber};
use serde::Serialize;

use super::rows::RankRow;

/// Consecutive steps in which each rank used the same map.
#[derive(Debug, Serialize)]
pub(super) struct StepRun {
    first: StepNumber,
    last: StepNumber,
    generation: GroupGeneration,
    /// The version that each rank used.
    versions: Vec<MapVersion>,
    /// Popular experts that no rank held.
    missing: usize,
    /// Sum over the steps of the slowest rank's time.
    #[serde(rename = "max_us_total", with = "crate::units::micros")]
    max_total: Duration,
    /// Sum over the steps of the ranks' mean time.
    #[serde(rename = "mean_us_total", with = "crate::units::micros")]
    mean_total: Duration,
}

/// All steps so far.
#[derive(Debug, Default, Serialize)]
pub(super) struct GroupLog {
    steps: Vec<StepRun>,
    /// Steps in which the ranks used different versions.
    mixed_steps: u64,
    /// Experts that ranks loaded.
    loads: u64,
}

impl GroupLog {
    /// Adds a step that has begun.
    pub(super) fn add_step(
        &mut self,
        step: StepNumber,
        ranks: &EntityTable<RankId, RankRow>,
        missing: usize,
    ) {
        let run = StepRun::new(step, ranks, missing);
        self.mixed_steps += u64::from(run.is_mixed());
        match self.steps.last_mut() {
            Some(last) if last.is_followed_by(&run) => last.extend(&run),
            _ => self.steps.push(run),
        }
    }

    /// Counts an expert that a rank loaded.
    pub(super) fn add_load(&mut self) {
        self.loads += 1;
    }
}

impl StepRun {
    fn new(step: StepNumber, ranks: &EntityTable<RankId, RankRow>, missing: usize) -> Self {
        let spans = || ranks.rows().map(|row| row.step_span);
        let count = u32::try_from(ranks.len()).unwrap_or(u32::MAX).max(1);
        Self {
            first: step,
            last: step,
            generation: ranks
                .rows()
                .map(|row| row.generation)
                .max()
                .unwrap_or_default(),
            versions: ranks.rows().map(|row| row.version).collect(),
            missing,
            max_total: spans().max().unwrap_or_default(),
            mean_total: spans().sum::<Duration>() / count,
        }
    }

    fn is_mixed(&self) -> bool {
        self.versions.windows(2).any(|pair| pair[0] != pair[1])
    }

    fn is_followed_by(&self, next: &Self) -> bool {
        self.last.next() == next.first
            && self.generation == next.generation
            && self.versions == next.versions
            && self.missing == next.missing
    }

    fn extend(&mut self, next: &Self) {
        self.last = next.last;
        self.max_total += next.max_total;
        self.mean_total += next.mean_total;
    }
}
