//! Changes of a layer by single moves: a replica of a hot expert displaces a spare one.

use amaranthgw_core::RankId;

use super::loads::{count, largest};
use super::packing::split_evenly;
use super::{ExpertReplica, LayerMap, LoadShare, ReplicaShare, balance_shares, rank_loads};

/// A layer after a number of moves.
#[derive(Clone, Debug)]
pub(super) struct LayerChange {
    pub(super) map: LayerMap,
    pub(super) largest: LoadShare,
    pub(super) moves: usize,
}

/// Exponent of the pressure of a layer: large loads outweigh all others, but a move that relieves
/// one of several equally loaded ranks still counts.
const PRESSURE_EXPONENT: i32 = 16;

/// Ranks looked at for the place of a new replica, least loaded first.
const COLD_RANKS: usize = 24;

/// The layer with a new split, then after each further move that lowers the largest load.
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
    let bound = pressure(&loads);
    let mut by_load: Vec<usize> = (0..ranks).collect();
    by_load.sort_by(|a, b| loads[*a].total_cmp(&loads[*b]));
    let hot = rank_id(*by_load.last()?);
    let mut candidates = carried_experts(map, experts, hot);
    candidates.truncate(2);
    let cold = by_load.iter().take(COLD_RANKS).map(|rank| rank_id(*rank));
    for target in cold {
        for expert in &candidates {
            let Some(mut changed) = with_move(map, experts, *expert, target) else {
                continue;
            };
            let loads = balance_shares(&mut changed, experts, ranks);
            if pressure(&loads) < bound {
                return Some(changed);
            }
        }
    }
    None
}

/// The loads relative to their mean, raised to a high power and summed up.
fn pressure(loads: &[LoadShare]) -> f64 {
    let mean = loads.iter().sum::<f64>() / count(loads.len());
    loads
        .iter()
        .map(|load| (load / mean).powi(PRESSURE_EXPONENT))
        .sum()
}

/// Experts with a replica on the rank, the one with the largest load there first.
fn carried_experts(map: &LayerMap, experts: &[LoadShare], rank: RankId) -> Vec<usize> {
    let mut carried: Vec<(usize, LoadShare)> = Vec::new();
    for (expert, (replicas, load)) in map.experts.iter().zip(experts).enumerate() {
        let here = replicas.iter().find(|replica| replica.rank == rank);
        carried.extend(here.map(|replica| (expert, load * replica.share.fraction())));
    }
    carried.sort_by(|a, b| b.1.total_cmp(&a.1));
    carried.into_iter().map(|(expert, _)| expert).collect()
}

/// Puts a replica of `expert` on `target` in place of the replica that is missed least there.
fn with_move(
    map: &LayerMap,
    experts: &[LoadShare],
    expert: usize,
    target: RankId,
) -> Option<LayerMap> {
    if map.experts[expert]
        .iter()
        .any(|replica| replica.rank == target)
    {
        return None;
    }
    let carried = carried_experts(map, experts, target);
    let spare = carried
        .into_iter()
        .rev()
        .find(|other| map.experts[*other].len() > 1)?;
    let mut changed = map.clone();
    let left = &mut changed.experts[spare];
    left.retain(|replica| replica.rank != target);
    split_evenly(left);
    let grown = &mut changed.experts[expert];
    grown.push(ExpertReplica {
        rank: target,
        share: ReplicaShare(0),
    });
    Some(changed)
}

fn rank_id(rank: usize) -> RankId {
    RankId::new(u16::try_from(rank).unwrap_or(u16::MAX))
}
