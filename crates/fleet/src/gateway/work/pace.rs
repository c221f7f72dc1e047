//! Speed of a rank group, measured by the steps that it begins.
//!
//! All ranks run each step together, and all of them share the work of the experts. How long a step takes
//! therefore depends on the requests at all ranks, and differs between groups whose ranks are equally busy.

use std::time::Duration;

use amaranthgw_core::{GroupGeneration, StepNumber};
use tokio::time::Instant;

/// Least time between two readings from which a step time is worked out; spans a few steps.
const MIN_READING_GAP: Duration = Duration::from_millis(150);
/// Age up to which a step time is used, and longest time between two readings.
const MAX_AGE: Duration = Duration::from_millis(1_500);
/// Weight of the newest reading in the mean.
const NEWEST_WEIGHT: f64 = 0.5;

/// Mean duration of a group's latest steps.
#[derive(Debug, Default)]
pub(in crate::gateway) struct GroupPace {
    last: Option<(GroupGeneration, StepNumber, Instant)>,
    mean: Option<(Duration, Instant)>,
}

impl GroupPace {
    /// Records that the group had begun `step` at `now`.
    pub(in crate::gateway) fn record(
        &mut self,
        generation: GroupGeneration,
        step: StepNumber,
        now: Instant,
    ) {
        let Some((known, from, at)) = self.last else {
            self.last = Some((generation, step, now));
            return;
        };
        let gap = now.saturating_duration_since(at);
        let is_same_run = known == generation && step >= from && gap <= MAX_AGE;
        if is_same_run && gap < MIN_READING_GAP {
            return;
        }
        self.last = Some((generation, step, now));
        if !is_same_run {
            self.mean = None;
            return;
        }
        let steps = u32::try_from(step.get() - from.get()).unwrap_or(u32::MAX);
        let Some(latest) = gap.checked_div(steps) else {
            return;
        };
        let earlier = self.mean.map_or(latest, |(mean, _)| mean);
        let mean = earlier.mul_f64(1.0 - NEWEST_WEIGHT) + latest.mul_f64(NEWEST_WEIGHT);
        self.mean = Some((mean, now));
    }

    /// Mean duration of the latest steps; `None` if none began lately.
    pub(in crate::gateway) fn step_time(&self, now: Instant) -> Option<Duration> {
        let (mean, at) = self.mean?;
        (now.saturating_duration_since(at) <= MAX_AGE).then_some(mean)
    }
}
