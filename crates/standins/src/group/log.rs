//! Log of a group's steps, read by tests through `GET /admin/log`.

use std::time::Duration;

use amaranthgw_core::{EntityTable, GroupGeneration, MapVersion, RankId, StepNumber};
use serde::Serialize;

use super::rows::RankRow;

/// Consecutive steps with the same generation, map versions and number of missing experts.
#[derive(Debug, Serialize)]
pub(super) struct StepRun {
    first: StepNumber,
    last: StepNumber,
    generation: GroupGeneration,
    /// Map version that each rank used, in rank order.
    versions: Vec<MapVersion>,
    /// Number of experts, in each of the steps, that got tokens but were on no rank.
    missing: usize,
    /// Step time of the slowest rank, summed over the steps.
    #[serde(rename = "max_us_total", with = "crate::units::micros")]
    max_total: Duration,
    /// Mean step time of the ranks, summed over the steps.
    #[serde(rename = "mean_us_total", with = "crate::units::micros")]
    mean_total: Duration,
}

/// All steps so far, with totals.
#[derive(Debug, Default, Serialize)]
pub(super) struct GroupLog {
    steps: Vec<StepRun>,
    /// Steps in which the ranks used different map versions.
    mixed_steps: u64,
    /// Number of expert loads on all ranks.
    loads: u64,
}

impl GroupLog {
    /// Records a step that has begun.
    pub(super) fn record_step(
        &mut self,
        step: StepNumber,
        ranks: &EntityTable<RankId, RankRow>,
        missing: usize,
    ) {
        let run = StepRun::new(step, ranks, missing);
        self.mixed_steps += u64::from(run.is_mixed());
        match self.steps.last_mut() {
            Some(last) if last.can_extend_to(&run) => last.extend(&run),
            _ => self.steps.push(run),
        }
    }

    /// Counts one loaded expert.
    pub(super) fn record_load(&mut self) {
        self.loads += 1;
    }
}

impl StepRun {
    fn new(step: StepNumber, ranks: &EntityTable<RankId, RankRow>, missing: usize) -> Self {
        let spans = || ranks.rows().map(|row| row.compute_span);
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

    fn can_extend_to(&self, next: &Self) -> bool {
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
