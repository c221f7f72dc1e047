//! Complete placements of a layer: a static one, and packing by falling load (the LPT heuristic).

use std::cmp::Reverse;
use std::collections::BinaryHeap;

use amaranthgw_core::RankId;

use super::loads::as_f64;
use super::{ExpertReplica, LayerMap, LoadShare, ReplicaShare, balance_shares};

/// Number of ranks of a group, of experts per layer, and of replica slots per rank and layer.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct GroupShape {
    /// Number of ranks.
    pub ranks: u16,
    /// Number of experts of each layer.
    pub experts: u16,
    /// Replicas per layer that the memory of one rank has room for.
    pub slots: u16,
}

impl GroupShape {
    /// Whether the ranks together have room for every expert.
    #[must_use]
    pub fn has_room(self) -> bool {
        u32::from(self.ranks) * u32::from(self.slots) >= u32::from(self.experts)
    }

    /// Number of replicas that fit in addition to the first one of each expert.
    fn spare_replicas(self) -> usize {
        let room = usize::from(self.ranks) * usize::from(self.slots);
        room.saturating_sub(usize::from(self.experts))
    }
}

/// Load with a total order, for heaps.
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

/// Placement of a layer that depends on the group's shape alone. The static map, version 0 of
/// [`agreement`](crate::agreement), consists of such layers.
#[must_use]
pub fn static_layer(shape: GroupShape) -> LayerMap {
    let uniform = vec![1.0 / f64::from(shape.experts.max(1)); usize::from(shape.experts)];
    pack_layer(shape, &uniform)
}

/// Packs a layer from scratch: gives the hottest experts more replicas, then places the replicas by
/// falling load.
#[must_use]
pub fn pack_layer(shape: GroupShape, experts: &[LoadShare]) -> LayerMap {
    let counts = replica_counts(shape, experts);
    let mut replica_loads: Vec<(HeapLoad, usize)> = Vec::new();
    for (expert, (load, replicas)) in experts.iter().zip(&counts).enumerate() {
        let replica_load = HeapLoad(load / as_f64(*replicas));
        replica_loads.extend(std::iter::repeat_n((replica_load, expert), *replicas));
    }
    replica_loads.sort_by_key(|(load, expert)| (Reverse(*load), *expert));
    let mut map = place_replicas(shape, &replica_loads, experts.len());
    balance_shares(&mut map, experts, usize::from(shape.ranks));
    map
}

/// Number of replicas of each expert; each spare one goes to the expert with the largest load per
/// replica.
fn replica_counts(shape: GroupShape, experts: &[LoadShare]) -> Vec<usize> {
    let mut counts = vec![1; experts.len()];
    let max_replicas = usize::from(shape.ranks);
    let mut heap: BinaryHeap<(HeapLoad, Reverse<usize>)> = experts
        .iter()
        .enumerate()
        .map(|(expert, load)| (HeapLoad(*load), Reverse(expert)))
        .collect();
    for _ in 0..shape.spare_replicas() {
        let Some((_, Reverse(expert))) = heap.pop() else {
            break;
        };
        counts[expert] += 1;
        if counts[expert] < max_replicas {
            heap.push((
                HeapLoad(experts[expert] / as_f64(counts[expert])),
                Reverse(expert),
            ));
        }
    }
    counts
}

fn place_replicas(
    shape: GroupShape,
    replica_loads: &[(HeapLoad, usize)],
    experts: usize,
) -> LayerMap {
    let mut map = LayerMap {
        experts: vec![Vec::new(); experts],
    };
    let mut free = vec![shape.slots; usize::from(shape.ranks)];
    let mut heap: BinaryHeap<Reverse<(HeapLoad, u16)>> = (0..shape.ranks)
        .map(|rank| Reverse((HeapLoad(0.0), rank)))
        .collect();
    for (load, expert) in replica_loads {
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

/// Removes from the heap the least loaded rank with a free slot and no replica of the expert.
fn pop_rank(
    heap: &mut BinaryHeap<Reverse<(HeapLoad, u16)>>,
    replicas: &[ExpertReplica],
) -> Option<(HeapLoad, u16)> {
    let mut skipped = Vec::new();
    let mut found = None;
    while let Some(Reverse((load, rank))) = heap.pop() {
        if replicas.iter().all(|replica| replica.rank.get() != rank) {
            found = Some((load, rank));
            break;
        }
        skipped.push(Reverse((load, rank)));
    }
    heap.extend(skipped);
    found
}

pub(super) fn split_evenly(replicas: &mut [ExpertReplica]) {
    let count = u16::try_from(replicas.len()).unwrap_or(u16::MAX).max(1);
    let (base, remainder) = (ReplicaShare::WHOLE.0 / count, ReplicaShare::WHOLE.0 % count);
    for (index, replica) in replicas.iter_mut().enumerate() {
        let extra = u16::from(index < usize::from(remainder));
        replica.share = ReplicaShare(base + extra);
    }
}
