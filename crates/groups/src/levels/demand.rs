//! How much each expert is wanted, from the counts that ranks report.

use std::collections::HashMap;
use std::time::Duration;

use amaranthgw_core::{RankId, StartMark};
use tokio::time::Instant;

use super::RankView;

/// Half-life of the recent demand: requests, which bring their topics, last a second or two.
const RECENT_HALF_LIFE: Duration = Duration::from_millis(450);
/// Half-life of the lasting demand, which outlives several shifts of topics.
const LASTING_HALF_LIFE: Duration = Duration::from_secs(12);
/// Choices below which an observation is too small to go by.
const MIN_CHOICES: f64 = 200.0;

/// Demand for the experts of a group.
#[derive(Clone, Debug)]
pub struct ExpertDemand {
    sets: usize,
    experts: usize,
    last_counts: HashMap<RankId, (StartMark, Vec<u64>)>,
    observed_at: Option<Instant>,
    recent: Vec<Vec<f64>>,
    lasting: Vec<Vec<f64>>,
}

impl ExpertDemand {
    /// Creates the demand of a group that was not observed.
    #[must_use]
    pub fn new(sets: usize, experts: usize) -> Self {
        Self {
            sets,
            experts,
            last_counts: HashMap::new(),
            observed_at: None,
            recent: vec![vec![0.0; experts]; sets],
            lasting: vec![vec![0.0; experts]; sets],
        }
    }

    /// Takes the counts of the ranks in `views` as of `now`; says whether they tell anything new.
    pub fn observe<'a>(
        &mut self,
        views: impl IntoIterator<Item = &'a RankView>,
        now: Instant,
    ) -> bool {
        let mut chosen = vec![0.0; self.sets * self.experts];
        for view in views {
            if view.counts.len() != chosen.len() {
                continue;
            }
            let entry = (view.born, view.counts.clone());
            let before = self.last_counts.insert(view.rank, entry);
            let Some((_, before)) = before.filter(|(born, _)| *born == view.born) else {
                continue;
            };
            for (sum, (new, old)) in chosen.iter_mut().zip(view.counts.iter().zip(&before)) {
                *sum += f64::from(u32::try_from(new.saturating_sub(*old)).unwrap_or(u32::MAX));
            }
        }
        if chosen.iter().sum::<f64>() < MIN_CHOICES {
            return false;
        }
        let span = self.observed_at.map(|at| now.saturating_duration_since(at));
        self.observed_at = Some(now);
        let keep = |half_life: Duration| {
            let span = span.unwrap_or(Duration::MAX).as_secs_f64();
            (-span / half_life.as_secs_f64()).exp2()
        };
        let (recent, lasting) = (keep(RECENT_HALF_LIFE), keep(LASTING_HALF_LIFE));
        for (set, chosen) in chosen.chunks(self.experts).enumerate() {
            let total = chosen.iter().sum::<f64>().max(1.0);
            for (expert, chosen) in chosen.iter().enumerate() {
                let part = chosen / total;
                mix(&mut self.recent[set][expert], part, recent);
                mix(&mut self.lasting[set][expert], part, lasting);
            }
        }
        true
    }

    /// Part of the tokens of each set that each expert lately got.
    #[must_use]
    pub fn recent(&self) -> &[Vec<f64>] {
        &self.recent
    }

    /// Part of the tokens of each set that each expert got over a longer time.
    #[must_use]
    pub fn lasting(&self) -> &[Vec<f64>] {
        &self.lasting
    }
}

fn mix(value: &mut f64, observed: f64, keep: f64) {
    *value = *value * keep + observed * (1.0 - keep);
}
