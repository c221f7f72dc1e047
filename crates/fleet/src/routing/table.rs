//! Sampling tables of a service's subset, computed once per snapshot.

use std::time::Duration;

use tokio::time::Instant;

use super::alias::AliasTable;
use super::candidate::CandidateRow;
use super::{ServiceKind, SubsetSettings, TargetRoute};

/// Estimated load of an entry's subset of targets.
#[derive(Clone, Copy, Debug, Default, PartialEq)]
pub struct SubsetLoad {
    /// Requests in flight from all entries.
    pub in_flight: f32,
    /// Concurrent requests that the targets' gates admit.
    pub limit: f32,
}

impl SubsetLoad {
    /// Fraction of the limit in use.
    #[must_use]
    pub fn utilisation(&self) -> f32 {
        self.in_flight / self.limit.max(1.0)
    }
}

/// The targets of the subset at one distance.
#[derive(Clone, Debug)]
pub(super) struct TierTable {
    candidates: Vec<CandidateRow>,
    draws: AliasTable,
}

impl TierTable {
    /// Targets, ordered by the hash of entry and target.
    pub fn candidates(&self) -> &[CandidateRow] {
        &self.candidates
    }

    /// Samples a target by weight.
    pub fn draw(&self) -> Option<&CandidateRow> {
        self.draws.draw().map(|position| &self.candidates[position])
    }
}

/// The subset of one service in tiers by distance, nearest first; empty tiers are omitted.
#[derive(Clone, Debug)]
pub(super) struct SubsetTable {
    tiers: Vec<TierTable>,
    spares: Vec<CandidateRow>,
    load: SubsetLoad,
}

impl SubsetTable {
    /// Selects the subset of `targets` and computes its tables at `now`.
    pub fn new(
        kind: ServiceKind,
        targets: &[TargetRoute],
        settings: &SubsetSettings,
        now: Instant,
    ) -> Self {
        let make_row = |index: usize| CandidateRow::new(kind, index, &targets[index]);
        let mut tiers: Vec<Vec<CandidateRow>> = Vec::new();
        for (distance, size) in settings.sizes() {
            let picked = settings.pick(targets, distance, size);
            tiers.push(picked.into_iter().map(make_row).collect());
        }
        tiers.retain(|rows| !rows.is_empty());
        let is_spare = |index: &usize| {
            let route = &targets[*index];
            let mut subset = tiers.iter().flatten();
            route.is_open() && route.load.is_some() && subset.all(|row| row.index != *index)
        };
        let spares = (0..targets.len()).filter(is_spare);
        let mut spares: Vec<CandidateRow> = spares.map(make_row).collect();
        set_subset_values(&mut tiers, &mut spares, now);
        let tiers: Vec<TierTable> = tiers.into_iter().map(make_tier).collect();
        let mut table = Self {
            tiers,
            spares,
            load: SubsetLoad::default(),
        };
        table.load = table.sum_load(targets, now);
        table
    }

    /// Tiers, nearest first.
    pub fn tiers(&self) -> &[TierTable] {
        &self.tiers
    }

    /// Targets of all tiers, nearest first.
    pub fn rows(&self) -> impl Iterator<Item = &CandidateRow> {
        self.tiers.iter().flat_map(TierTable::candidates)
    }

    /// Open targets outside the subset with a load report, from when they were part of it.
    pub fn spares(&self) -> &[CandidateRow] {
        &self.spares
    }

    /// Estimated load of the subset.
    pub fn load(&self) -> SubsetLoad {
        self.load
    }

    fn sum_load(&self, targets: &[TargetRoute], now: Instant) -> SubsetLoad {
        let mut load = SubsetLoad::default();
        for row in self.rows() {
            let own = targets[row.index].own_in_flight();
            load.in_flight += row.estimated_load(own, now);
            load.limit += row.limit;
        }
        load
    }
}

/// Computes the subset's load from other entries per slot and its median time to first chunk, and
/// sets them on every row and on the `spares`.
fn set_subset_values(tiers: &mut [Vec<CandidateRow>], spares: &mut [CandidateRow], now: Instant) {
    let (mut others, mut limit) = (0.0, 0.0);
    let mut first_chunks = Vec::new();
    for row in tiers.iter().flatten() {
        if let Some(reported) = row.reported_others() {
            others += reported;
            limit += row.limit;
        }
        first_chunks.extend(row.recent_first_chunk(now));
    }
    let others_per_slot = others / f32::max(limit, 1.0);
    let median = median(&mut first_chunks);
    for row in tiers.iter_mut().flatten().chain(spares) {
        row.set_subset_values(others_per_slot, median, now);
    }
}

fn make_tier(candidates: Vec<CandidateRow>) -> TierTable {
    let weights: Vec<f32> = candidates.iter().map(CandidateRow::weight).collect();
    TierTable {
        candidates,
        draws: AliasTable::new(&weights),
    }
}

fn median(values: &mut [Duration]) -> Option<Duration> {
    if values.is_empty() {
        return None;
    }
    let middle = values.len() / 2;
    let (_, median, _) = values.select_nth_unstable(middle);
    Some(*median)
}
