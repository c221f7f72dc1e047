//! Loads of experts and ranks.

use super::LayerMap;

/// Share of the tokens of a layer, between 0 and 1.
pub type LoadShare = f64;

/// Load of each rank under a map, for the given load of each expert.
#[must_use]
pub fn rank_loads(map: &LayerMap, experts: &[LoadShare], ranks: usize) -> Vec<LoadShare> {
    let mut loads = vec![0.0; ranks];
    for (replicas, load) in map.experts.iter().zip(experts) {
        for replica in replicas {
            loads[usize::from(replica.rank.get())] += load * replica.share.fraction();
        }
    }
    loads
}

/// Largest load relative to the mean; 1 is perfect balance.
#[must_use]
pub fn skew(loads: &[LoadShare]) -> f64 {
    let total: f64 = loads.iter().sum();
    if total <= 0.0 {
        return 1.0;
    }
    largest(loads) * as_f64(loads.len()) / total
}

pub(super) fn largest(loads: &[LoadShare]) -> LoadShare {
    loads.iter().copied().fold(0.0, f64::max)
}

/// Converts a number to `f64`; one larger than `u32::MAX` counts as `u32::MAX`.
pub(crate) fn as_f64(number: usize) -> f64 {
    f64::from(u32::try_from(number).unwrap_or(u32::MAX))
}
