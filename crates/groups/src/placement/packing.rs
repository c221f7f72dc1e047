//! Full placements of a layer: the static one, and replicas packed longest first.

use std::cmp::Reverse;
use std::collections::BinaryHeap;

use amaranthgw_core::RankId;

use super::loads::count;
use super::{ExpertReplica, LayerMap, LoadShare, ReplicaShare, balance_shares};

/// Sizes of a rank group.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct GroupShape {
    /// Number of ranks.
    pub ranks: u16,
    /// Number of experts of each layer.
    pub experts: u16,
    /// Replicas that the memory of one rank has room for, per layer.
    pub slots: u16,
}

impl GroupShape {
    /// Whether the ranks have room for every expert.
    #[must_use]
    pub fn has_room(self) -> bool {
        u32::from(self.ranks) * u32::from(self.slots) >= u32::from(self.experts)
    }

    /// Replicas beyond the first of each expert that the memory has room for.
    fn spare(self) -> usize {
        let room = usize::from(self.ranks) * usize::from(self.slots);
        room.saturating_sub(usize::from(self.experts))
    }
}

/// A load with a total order, for heaps.
#[derive(Clone, Copy, Debug, PartialEq)]
struct HeapLoad(LoadShare);

impl Eq for HeapLoad {}

impl PartialOrd for HeapLoad {
    fn partial_cmp(&self, other: &Self) -> Option<std::cmp::Ordering> {
        Some(self.cmp(other))
    }
}

impl Ord for HeapLoad {
    fn cmp(&self, other: &Self) -> std::cmp::Ordering {
        self.0.total_cmp(&other.0)
    }
}

/// The placement that depends on nothing but the sizes: map version 0.
#[must_use]
pub fn static_layer(shape: GroupShape) -> LayerMap {
    let uniform = vec![1.0 / f64::from(shape.experts.max(1)); usize::from(shape.experts)];
    pack_layer(shape, &uniform)
}

/// Packs a layer anew: replicas for the hottest experts, then longest first.
#[must_use]
pub fn pack_layer(shape: GroupShape, experts: &[LoadShare]) -> LayerMap {
    let counts = replica_counts(shape, experts);
    let mut pieces: Vec<(HeapLoad, usize)> = Vec::new();
    for (expert, (load, replicas)) in experts.iter().zip(&counts).enumerate() {
        let piece = HeapLoad(load / count(*replicas));
        pieces.extend(std::iter::repeat_n((piece, expert), *replicas));
    }
    pieces.sort_by_key(|(load, expert)| (Reverse(*load), *expert));
    let mut map = place_pieces(shape, &pieces, experts.len());
    balance_shares(&mut map, experts, usize::from(shape.ranks));
    map
}

/// Number of replicas of each expert; the next one goes where a replica carries most.
fn replica_counts(shape: GroupShape, experts: &[LoadShare]) -> Vec<usize> {
    let mut counts = vec![1; experts.len()];
    let most = usize::from(shape.ranks);
    let mut heap: BinaryHeap<(HeapLoad, Reverse<usize>)> = experts
        .iter()
        .enumerate()
        .map(|(expert, load)| (HeapLoad(*load), Reverse(expert)))
        .collect();
    for _ in 0..shape.spare() {
        let Some((_, Reverse(expert))) = heap.pop() else {
            break;
        };
        counts[expert] += 1;
        if counts[expert] < most {
            heap.push((
                HeapLoad(experts[expert] / count(counts[expert])),
                Reverse(expert),
            ));
        }
    }
    counts
}

fn place_pieces(shape: GroupShape, pieces: &[(HeapLoad, usize)], experts: usize) -> LayerMap {
    let mut map = LayerMap {
        experts: vec![Vec::new(); experts],
    };
    let mut free = vec![shape.slots; usize::from(shape.ranks)];
    let mut heap: BinaryHeap<Reverse<(HeapLoad, u16)>> = (0..shape.ranks)
        .map(|rank| Reverse((HeapLoad(0.0), rank)))
        .collect();
    for (load, expert) in pieces {
        let replicas = &mut map.experts[*expert];
        let Some((rank_load, rank)) = pop_rank(&mut heap, replicas) else {
            continue;
        };
        replicas.push(ExpertReplica {
            rank: RankId::new(rank),
            share: ReplicaShare(0),
        });
        free[usize::from(rank)] -= 1;
        if free[usize::from(rank)] > 0 {
            heap.push(Reverse((HeapLoad(rank_load.0 + load.0), rank)));
        }
    }
    for replicas in &mut map.experts {
        split_evenly(replicas);
    }
    map
}

/// The least loaded rank with room that has no replica of the expert yet.
fn pop_rank(
    heap: &mut BinaryHeap<Reverse<(HeapLoad, u16)>>,
    replicas: &[ExpertReplica],
) -> Option<(HeapLoad, u16)> {
    let mut passed = Vec::new();
    let mut found = None;
    while let Some(Reverse((load, rank))) = heap.pop() {
        if replicas.iter().all(|replica| replica.rank.get() != rank) {
            found = Some((load, rank));
            break;
        }
        passed.push(Reverse((load, rank)));
    }
    heap.extend(passed);
    found
}

pub(super) fn split_evenly(replicas: &mut [ExpertReplica]) {
    let number = u16::try_from(replicas.len()).unwrap_or(u16::MAX).max(1);
    let (part, rest) = (
        ReplicaShare::WHOLE.0 / number,
        ReplicaShare::WHOLE.0 % number,
    );
    for (index, replica) in replicas.iter_mut().enumerate() {
        let extra = u16::from(index < usize::from(rest));
        replica.share = ReplicaShare(part + extra);
    }
}
