//! Demand for each expert, estimated from the selection counts that ranks report.

use std::time::Duration;

use tokio::time::Instant;

use super::SelectionSample;

/// Half-life of the recent demand; shorter than the one to two seconds for which a request and its
/// topic last.
const RECENT_HALF_LIFE: Duration = Duration::from_millis(450);
/// Half-life of the long-term demand, which spans several topic shifts.
const LONG_TERM_HALF_LIFE: Duration = Duration::from_secs(12);
/// Number of selections below which an observation is too small to use.
const MIN_SELECTIONS: f64 = 200.0;

/// Recent and long-term demand for the experts of a group, as moving averages.
#[derive(Clone, Debug)]
pub struct ExpertDemand {
    sets: usize,
    experts: usize,
    observed_at: Option<Instant>,
    recent: Vec<Vec<f64>>,
    long_term: Vec<Vec<f64>>,
}

impl ExpertDemand {
    /// Creates the demand of a group without observations.
    #[must_use]
    pub fn new(sets: usize, experts: usize) -> Self {
        Self {
            sets,
            experts,
            observed_at: None,
            recent: vec![vec![0.0; experts]; sets],
            long_term: vec![vec![0.0; experts]; sets],
        }
    }

    /// Updates the demand from the selections that ranks made until `now`; returns `false` and drops
    /// them if they are too few or of another group shape.
    pub fn observe(&mut self, sample: &SelectionSample, now: Instant) -> bool {
        let selected: Vec<f64> = sample
            .counts()
            .iter()
            .map(|count| f64::from(u32::try_from(*count).unwrap_or(u32::MAX)))
            .collect();
        if selected.len() != self.sets * self.experts
            || selected.iter().sum::<f64>() < MIN_SELECTIONS
        {
            return false;
        }
        let elapsed = self.observed_at.map(|at| now.saturating_duration_since(at));
        self.observed_at = Some(now);
        let decay = |half_life: Duration| {
            let elapsed = elapsed.unwrap_or(Duration::MAX).as_secs_f64();
            (-elapsed / half_life.as_secs_f64()).exp2()
        };
        let (recent, long_term) = (decay(RECENT_HALF_LIFE), decay(LONG_TERM_HALF_LIFE));
        for (set, selected) in selected.chunks(self.experts).enumerate() {
            let total = selected.iter().sum::<f64>().max(1.0);
            for (expert, selected) in selected.iter().enumerate() {
                let share = selected / total;
                update_average(&mut self.recent[set][expert], share, recent);
                update_average(&mut self.long_term[set][expert], share, long_term);
            }
        }
        true
    }

    /// Time of the last observation.
    #[must_use]
    pub const fn observed_at(&self) -> Option<Instant> {
        self.observed_at
    }

    /// Recent average of the share of each set's selections that fell on each expert.
    #[must_use]
    pub fn recent(&self) -> &[Vec<f64>] {
        &self.recent
    }

    /// Long-term average of the share of each set's selections that fell on each expert.
    #[must_use]
    pub fn long_term(&self) -> &[Vec<f64>] {
        &self.long_term
    }
}

fn update_average(value: &mut f64, observed: f64, decay: f64) {
    *value = *value * decay + observed * (1.0 - decay);
}
