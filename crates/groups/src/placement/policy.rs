//! Policies of placement: static, a full placement at each tick, and moves that pay.

use std::collections::BTreeSet;

use super::loads::{count, largest};
use super::moves::{LayerChange, layer_changes};
use super::{
    ExpertMap, GroupShape, LayerMap, LayerPopularity, LoadShare, MovePrice, pack_layer, rank_loads,
};

/// What a layer that shows no drift must win, relative to one that does.
const STEADY_FACTOR: f64 = 3.0;

/// What a policy decides on.
#[derive(Clone, Copy, Debug)]
pub struct PlacementInput<'a> {
    /// Sizes of the group.
    pub shape: GroupShape,
    /// Prices of a change.
    pub price: &'a MovePrice,
    /// Map in force.
    pub map: &'a ExpertMap,
    /// Popularity, by layer.
    pub popularity: &'a [LayerPopularity],
}

/// A map that is to replace the one in force.
#[derive(Clone, Debug, PartialEq)]
pub struct PlacementPlan {
    /// The new map.
    pub map: ExpertMap,
    /// Replicas that have to be loaded.
    pub loads: usize,
}

/// Decides whether and how a group's map changes.
pub trait PlacementPolicy: std::fmt::Debug + Send {
    /// Short name for logs and measurements.
    fn name(&self) -> &'static str;

    /// A better map, or `None` where the one in force should stay.
    fn plan(&self, input: PlacementInput<'_>) -> Option<PlacementPlan>;
}

/// Keeps the map in force.
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

/// Packs every layer anew each time.
#[derive(Debug, Default)]
pub struct EachTickPolicy;

impl PlacementPolicy for EachTickPolicy {
    fn name(&self) -> &'static str {
        "each-tick"
    }

    fn plan(&self, input: PlacementInput<'_>) -> Option<PlacementPlan> {
        let pack = |popularity: &LayerPopularity| pack_layer(input.shape, &popularity.loads());
        let map = ExpertMap {
            layers: input.popularity.iter().map(pack).collect(),
        };
        let loads = loaded_replicas(input.map, &map);
        (map != *input.map).then_some(PlacementPlan { map, loads })
    }
}

/// Changes a layer only where the step time won exceeds what the change costs, and where what is
/// won cannot be an effect of noise.
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

    /// The change of a layer with the largest net gain, and that gain in seconds.
    fn best_change(
        &self,
        input: &PlacementInput<'_>,
        map: &LayerMap,
        popularity: &LayerPopularity,
    ) -> Option<(LayerChange, f64)> {
        let (experts, ranks) = (popularity.loads(), usize::from(input.shape.ranks));
        let present = largest(&rank_loads(map, &experts, ranks));
        let noise = noise_bound(map, popularity, ranks);
        let noise = if popularity.is_drifting() {
            noise
        } else {
            noise * STEADY_FACTOR
        };
        let layers = count(input.popularity.len());
        let changes = layer_changes(map, &experts, ranks, self.max_moves);
        let priced = changes.into_iter().filter_map(|change| {
            let won = present - change.largest;
            let step_part = won * count(ranks) / layers;
            let gain = input.price.gain(step_part, change.moves);
            let net = gain - input.price.load_cost(change.moves);
            (won > noise && net > 0.0).then_some((change, net))
        });
        priced.max_by(|a, b| a.1.total_cmp(&b.1))
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
        let (mut net, mut loads) = (0.0, 0);
        for (layer, popularity) in map.layers.iter_mut().zip(input.popularity) {
            if let Some((change, gain)) = self.best_change(&input, layer, popularity) {
                *layer = change.map;
                net += gain;
                loads += change.moves;
            }
        }
        (net > input.price.switch_cost()).then_some(PlacementPlan { map, loads })
    }
}

/// What noise alone can add to the largest load of a number of ranks.
fn noise_bound(map: &LayerMap, popularity: &LayerPopularity, ranks: usize) -> LoadShare {
    let mut variances = vec![0.0; ranks];
    for (replicas, estimate) in map.experts.iter().zip(popularity.estimates()) {
        for replica in replicas {
            let deviation = estimate.deviation() * replica.share.fraction();
            variances[usize::from(replica.rank.get())] += deviation * deviation;
        }
    }
    let deviations = (2.0 * count(ranks).ln()).sqrt() + 1.5;
    largest(&variances).sqrt() * deviations
}

/// Replicas of `next` that `map` does not have: the ones whose weights have to be loaded.
#[must_use]
pub fn loaded_replicas(map: &ExpertMap, next: &ExpertMap) -> usize {
    let pairs = map.layers.iter().zip(&next.layers);
    pairs.map(|(old, new)| loaded_in_layer(old, new)).sum()
}

fn loaded_in_layer(old: &LayerMap, new: &LayerMap) -> usize {
    let mut loaded = 0;
    for (old, new) in old.experts.iter().zip(&new.experts) {
        let held: BTreeSet<_> = old.iter().map(|replica| replica.rank).collect();
        loaded += new
            .iter()
            .filter(|replica| !held.contains(&replica.rank))
            .count();
    }
    loaded
}
