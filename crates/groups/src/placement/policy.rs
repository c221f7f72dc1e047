//! Placement policies: static, repacking at each plan, and changes whose gain exceeds their cost.

use std::collections::BTreeSet;

use super::loads::{as_f64, largest};
use super::moves::{LayerChange, layer_changes};
use super::{
    ExpertMap, GroupShape, LayerMap, LayerPopularity, LoadShare, MoveCost, pack_layer, rank_loads,
};

/// In a layer without drift, the reduction of the largest load must exceed this multiple of the
/// noise bound.
const STEADY_NOISE_FACTOR: f64 = 3.0;

/// Input of a placement policy.
#[derive(Clone, Copy, Debug)]
pub struct PlacementInput<'a> {
    /// Shape of the group.
    pub shape: GroupShape,
    /// Cost model of a map change.
    pub cost: &'a MoveCost,
    /// Map in use.
    pub map: &'a ExpertMap,
    /// Popularity, by layer.
    pub popularity: &'a [LayerPopularity],
}

/// New map for a group, with the number of replicas to load.
#[derive(Clone, Debug, PartialEq)]
pub struct PlacementPlan {
    /// The new map.
    pub map: ExpertMap,
    /// Number of replicas whose weights have to be loaded.
    pub new_replicas: usize,
}

/// Policy that decides whether and how a group's map changes.
pub trait PlacementPolicy: std::fmt::Debug + Send {
    /// Short name for logs and measurements.
    fn name(&self) -> &'static str;

    /// Plans a better map; `None` keeps the one in use.
    fn plan(&self, input: PlacementInput<'_>) -> Option<PlacementPlan>;
}

/// Policy that never changes the map.
#[derive(Debug, Default)]
pub struct StaticPolicy;

impl PlacementPolicy for StaticPolicy {
    fn name(&self) -> &'static str {
        "static"
    }

    fn plan(&self, _input: PlacementInput<'_>) -> Option<PlacementPlan> {
        None
    }
}

/// Policy that repacks every layer at each plan.
#[derive(Debug, Default)]
pub struct RepackPolicy;

impl PlacementPolicy for RepackPolicy {
    fn name(&self) -> &'static str {
        "each-tick"
    }

    fn plan(&self, input: PlacementInput<'_>) -> Option<PlacementPlan> {
        let pack = |popularity: &LayerPopularity| pack_layer(input.shape, &popularity.loads());
        let map = ExpertMap {
            layers: input.popularity.iter().map(pack).collect(),
        };
        let new_replicas = count_new_replicas(input.map, &map);
        (map != *input.map).then_some(PlacementPlan { map, new_replicas })
    }
}

/// Policy that changes a layer only if this lowers its largest load by more than the estimated
/// noise and saves more time than loading costs, and the map only if the net gain of all layers
/// together exceeds the cost of the switch.
#[derive(Debug)]
pub struct GainPolicy {
    max_moves: usize,
}

impl GainPolicy {
    /// Creates the policy with the default limit of moves per layer and plan.
    #[must_use]
    pub fn new() -> Self {
        const MAX_MOVES: usize = 24;
        Self::with_max_moves(MAX_MOVES)
    }

    /// Creates the policy with a limit of moves per layer and plan.
    #[must_use]
    pub fn with_max_moves(max_moves: usize) -> Self {
        Self { max_moves }
    }

    /// The change to the layer `map` with the largest net gain, and that gain in seconds; `None` if
    /// no change has a gain above noise and cost.
    fn best_change(
        &self,
        input: &PlacementInput<'_>,
        map: &LayerMap,
        popularity: &LayerPopularity,
    ) -> Option<(LayerChange, f64)> {
        let (experts, ranks) = (popularity.loads(), usize::from(input.shape.ranks));
        let current = largest(&rank_loads(map, &experts, ranks));
        let noise = noise_bound(map, popularity, ranks);
        let noise = if popularity.is_drifting() {
            noise
        } else {
            noise * STEADY_NOISE_FACTOR
        };
        let layers = as_f64(input.popularity.len());
        let changes = layer_changes(map, &experts, ranks, self.max_moves);
        let scored = changes.into_iter().filter_map(|change| {
            let reduction = current - change.largest;
            let step_fraction = reduction * as_f64(ranks) / layers;
            let gain = input.cost.gain(step_fraction, change.moves);
            let net = gain - input.cost.load_cost(change.moves);
            (reduction > noise && net > 0.0).then_some((change, net))
        });
        scored.max_by(|a, b| a.1.total_cmp(&b.1))
    }
}

impl Default for GainPolicy {
    fn default() -> Self {
        Self::new()
    }
}

impl PlacementPolicy for GainPolicy {
    fn name(&self) -> &'static str {
        "gain"
    }

    fn plan(&self, input: PlacementInput<'_>) -> Option<PlacementPlan> {
        let mut map = input.map.clone();
        let (mut net, mut new_replicas) = (0.0, 0);
        for (layer, popularity) in map.layers.iter_mut().zip(input.popularity) {
            if let Some((change, gain)) = self.best_change(&input, layer, popularity) {
                *layer = change.map;
                net += gain;
                new_replicas += change.moves;
            }
        }
        (net > input.cost.switch_cost()).then_some(PlacementPlan { map, new_replicas })
    }
}

/// Upper estimate of what noise alone adds to the largest load of `ranks` ranks: the expected
/// maximum of that many normal variables, plus a margin of 1.5 standard deviations.
fn noise_bound(map: &LayerMap, popularity: &LayerPopularity, ranks: usize) -> LoadShare {
    let mut variances = vec![0.0; ranks];
    for (replicas, estimate) in map.experts.iter().zip(popularity.estimates()) {
        for replica in replicas {
            let deviation = estimate.deviation() * replica.share.fraction();
            variances[usize::from(replica.rank.get())] += deviation * deviation;
        }
    }
    let deviations = (2.0 * as_f64(ranks).ln()).sqrt() + 1.5;
    largest(&variances).sqrt() * deviations
}

/// Number of replicas in `next` that `map` doesn't have and whose weights have to be loaded.
#[must_use]
pub fn count_new_replicas(map: &ExpertMap, next: &ExpertMap) -> usize {
    let pairs = map.layers.iter().zip(&next.layers);
    pairs.map(|(old, new)| new_in_layer(old, new)).sum()
}

fn new_in_layer(old: &LayerMap, new: &LayerMap) -> usize {
    let mut count = 0;
    for (old, new) in old.experts.iter().zip(&new.experts) {
        let held: BTreeSet<_> = old.iter().map(|replica| replica.rank).collect();
        count += new
            .iter()
            .filter(|replica| !held.contains(&replica.rank))
            .count();
    }
    count
}
