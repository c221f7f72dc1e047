//! Incremental changes of a layer: each move replaces a spare replica by one of a hot expert.

use amaranthgw_core::RankId;

use super::loads::{as_f64, largest};
use super::packing::split_evenly;
use super::{ExpertReplica, LayerMap, LoadShare, ReplicaShare, balance_shares, rank_loads};

/// Layer map after a number of moves, with its largest rank load.
#[derive(Clone, Debug)]
pub(super) struct LayerChange {
    pub(super) map: LayerMap,
    pub(super) largest: LoadShare,
    pub(super) moves: usize,
}

/// Exponent of the imbalance cost of a layer: the largest loads dominate, but a move that relieves
/// one of several equally loaded ranks still lowers the cost.
const COST_EXPONENT: i32 = 16;

/// Ranks considered for a new replica, least loaded first.
const MAX_COLD_RANKS: usize = 24;

/// First the layer with balanced shares and no move, then the layer after one move, two moves and
/// so on, up to `max_moves` moves and as long as each lowers the imbalance cost.
pub(super) fn layer_changes(
    map: &LayerMap,
    experts: &[LoadShare],
    ranks: usize,
    max_moves: usize,
) -> Vec<LayerChange> {
    let mut current = map.clone();
    let loads = balance_shares(&mut current, experts, ranks);
    let mut changes = vec![LayerChange {
        map: current,
        largest: largest(&loads),
        moves: 0,
    }];
    for moves in 1..=max_moves {
        let Some(last) = changes.last() else { break };
        let Some(map) = best_move(&last.map, experts, ranks) else {
            break;
        };
        let largest = largest(&rank_loads(&map, experts, ranks));
        changes.push(LayerChange {
            map,
            largest,
            moves,
        });
    }
    changes
}

fn best_move(map: &LayerMap, experts: &[LoadShare], ranks: usize) -> Option<LayerMap> {
    let loads = rank_loads(map, experts, ranks);
    let current_cost = imbalance_cost(&loads);
    let mut by_load: Vec<usize> = (0..ranks).collect();
    by_load.sort_by(|a, b| loads[*a].total_cmp(&loads[*b]));
    let hot = rank_id(*by_load.last()?);
    let mut candidates = experts_on_rank(map, experts, hot);
    // Only the two experts with the largest load on that rank are considered.
    candidates.truncate(2);
    let cold = by_load
        .iter()
        .take(MAX_COLD_RANKS)
        .map(|rank| rank_id(*rank));
    for destination in cold {
        for expert in &candidates {
            let Some(mut changed) = with_move(map, experts, *expert, destination) else {
                continue;
            };
            let loads = balance_shares(&mut changed, experts, ranks);
            if imbalance_cost(&loads) < current_cost {
                return Some(changed);
            }
        }
    }
    None
}

/// Sum of the loads relative to their mean, each raised to [`COST_EXPONENT`].
fn imbalance_cost(loads: &[LoadShare]) -> f64 {
    let mean = loads.iter().sum::<f64>() / as_f64(loads.len());
    loads
        .iter()
        .map(|load| (load / mean).powi(COST_EXPONENT))
        .sum()
}

/// Experts with a replica on the rank, by falling load there.
fn experts_on_rank(map: &LayerMap, experts: &[LoadShare], rank: RankId) -> Vec<usize> {
    let mut on_rank: Vec<(usize, LoadShare)> = Vec::new();
    for (expert, (replicas, load)) in map.experts.iter().zip(experts).enumerate() {
        let here = replicas.iter().find(|replica| replica.rank == rank);
        on_rank.extend(here.map(|replica| (expert, load * replica.share.fraction())));
    }
    on_rank.sort_by(|a, b| b.1.total_cmp(&a.1));
    on_rank.into_iter().map(|(expert, _)| expert).collect()
}

/// Places a replica of `expert` on `destination` instead of the least loaded replica there whose
/// expert has others; `None` if `expert` is there already or no replica is spare.
fn with_move(
    map: &LayerMap,
    experts: &[LoadShare],
    expert: usize,
    destination: RankId,
) -> Option<LayerMap> {
    if map.experts[expert]
        .iter()
        .any(|replica| replica.rank == destination)
    {
        return None;
    }
    let on_rank = experts_on_rank(map, experts, destination);
    let spare = on_rank
        .into_iter()
        .rev()
        .find(|other| map.experts[*other].len() > 1)?;
    let mut changed = map.clone();
    let reduced = &mut changed.experts[spare];
    reduced.retain(|replica| replica.rank != destination);
    split_evenly(reduced);
    let extended = &mut changed.experts[expert];
    extended.push(ExpertReplica {
        rank: destination,
        share: ReplicaShare(0),
    });
    Some(changed)
}

fn rank_id(rank: usize) -> RankId {
    RankId::new(u16::try_from(rank).unwrap_or(u16::MAX))
}
