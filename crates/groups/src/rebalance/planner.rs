//! Planner of placement changes that balance the load of the ranks and copy few experts.

use super::{GroupPlacement, SLOWDOWN_THRESHOLD, SetPlacement};

/// Limits of one placement change.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct PlannerLimits {
    /// Experts that fit on one rank, per set; the `places` of the group's settings.
    pub places: usize,
    /// Most experts that one change adds to a rank, per set.
    pub new_per_set: usize,
    /// Most experts that one change adds to a rank, over all sets; a rank copies them one after the
    /// other.
    pub new_per_rank: usize,
    /// Imbalance up to which a set counts as balanced.
    pub tolerated_imbalance: f64,
    /// Smallest reduction of a set's largest step time for which a replica move is made, as a
    /// fraction of the mean load. The reduction is estimated from the imbalance cost.
    pub min_gain: f64,
}

/// A new placement, with its cost and effect.
#[derive(Clone, Debug, PartialEq)]
pub struct PlacementChange {
    /// The new placement.
    pub placement: GroupPlacement,
    /// Upper bound of the number of experts copied, over all ranks: one that a later move of the
    /// plan removes again still counts.
    pub copies: usize,
    /// Largest number of experts copied by one rank; an upper bound as well.
    pub most_copies: usize,
    /// Imbalance before the change, mean over the sets.
    pub before: f64,
    /// Imbalance after the change, mean over the sets.
    pub after: f64,
}

/// Experts of the most loaded rank considered for a move.
const MAX_HOT_EXPERTS: usize = 6;
/// Least loaded ranks considered for a new replica.
const MAX_COLD_RANKS: usize = 6;
/// Eviction candidates considered per rank, least popular first.
const MAX_EVICTION_CANDIDATES: usize = 4;
/// Most replica moves of one set in one change.
const MAX_MOVES_PER_SET: usize = 32;
/// Exponent of the imbalance cost of a set: the largest step time dominates, but relieving one of
/// several ranks with the same time still lowers the cost.
const COST_EXPONENT: i32 = 12;

/// Replica move: adds a replica of an expert, removes one, or both.
#[derive(Clone, Copy, Debug)]
struct ExpertMove {
    expert: u16,
    /// Destination of the new replica; `None` if one is only removed.
    to: Option<CopyDestination>,
    /// Rank whose replica is removed, if any.
    from: Option<usize>,
}

/// Destination of a copied expert.
#[derive(Clone, Copy, Debug)]
struct CopyDestination {
    rank: usize,
    /// Expert evicted to make room; `None` if the rank has room.
    evicted: Option<u16>,
}

/// Input of [`plan_change`].
#[derive(Clone, Copy, Debug)]
pub struct PlannerInput<'a> {
    /// Placement in use.
    pub placement: &'a GroupPlacement,
    /// Load of each expert, by set.
    pub demand: &'a [Vec<f64>],
    /// Long-term load of each expert, by set: demand that may return.
    pub long_term: &'a [Vec<f64>],
    /// Slowdown factor of each rank; 1 is normal.
    pub slowdown: &'a [f64],
}

/// Plans a placement change that balances the step times of the ranks; `None` if no change is
/// worthwhile.
#[must_use]
pub fn plan_change(input: PlannerInput<'_>, limits: &PlannerLimits) -> Option<PlacementChange> {
    let PlannerInput {
        placement,
        demand,
        long_term,
        slowdown,
    } = input;
    let ranks = placement.sets.first()?.ranks.len();
    let mut planned = placement.clone();
    let mut new_by_rank = vec![0; ranks];
    let mut order: Vec<usize> = (0..placement.sets.len().min(demand.len())).collect();
    // The most imbalanced set goes first, as the copies per rank are limited.
    let imbalance = |set: &usize| placement.sets[*set].imbalance(&demand[*set], slowdown);
    order.sort_by(|a, b| imbalance(b).total_cmp(&imbalance(a)));
    for set in order {
        let mut set_planner = SetPlanner {
            original: &placement.sets[set],
            set: &mut planned.sets[set],
            demand: &demand[set],
            long_term: &long_term[set],
            slowdown,
            limits,
            new_by_rank: &mut new_by_rank,
        };
        set_planner.rebalance();
    }
    let copies = new_by_rank.iter().sum();
    let change = PlacementChange {
        copies,
        most_copies: new_by_rank.into_iter().max().unwrap_or_default(),
        before: placement.imbalance(demand, slowdown),
        after: planned.imbalance(demand, slowdown),
        placement: planned,
    };
    (change.placement != *placement && change.after < change.before).then_some(change)
}

struct SetPlanner<'a> {
    original: &'a SetPlacement,
    set: &'a mut SetPlacement,
    demand: &'a [f64],
    long_term: &'a [f64],
    slowdown: &'a [f64],
    limits: &'a PlannerLimits,
    new_by_rank: &'a mut [usize],
}

impl SetPlanner<'_> {
    fn rebalance(&mut self) {
        for _ in 0..MAX_MOVES_PER_SET {
            let loads = self.set.loads(self.demand);
            let mean = loads.iter().sum::<f64>() / to_f64(loads.len());
            let times = self.times(&loads);
            let most = times.iter().copied().fold(0.0, f64::max);
            if mean <= 0.0 || most <= mean * self.limits.tolerated_imbalance {
                return;
            }
            let replica_counts = self.set.replica_counts(self.demand.len());
            let Some((candidate, after)) = self.best_move(&loads, &replica_counts, mean) else {
                return;
            };
            let before = imbalance_cost(&times, mean);
            // The cost is close to the largest relative step time raised to the exponent.
            let root = |cost: f64| cost.powf(1.0 / f64::from(COST_EXPONENT));
            if root(before) - root(after) < self.limits.min_gain {
                return;
            }
            self.apply(candidate);
        }
    }

    fn best_move(
        &self,
        loads: &[f64],
        replica_counts: &[u16],
        mean: f64,
    ) -> Option<(ExpertMove, f64)> {
        let times = self.times(loads);
        let mut by_time: Vec<usize> = (0..loads.len()).collect();
        by_time.sort_by(|a, b| times[*a].total_cmp(&times[*b]));
        let hot = *by_time.last()?;
        let share = |expert: u16| {
            self.demand[usize::from(expert)] / f64::from(replica_counts[usize::from(expert)].max(1))
        };
        let mut experts = self.set.ranks[hot].clone();
        experts.sort_by(|a, b| share(*b).total_cmp(&share(*a)));
        experts.truncate(MAX_HOT_EXPERTS);
        let mut candidates: Vec<ExpertMove> = experts
            .iter()
            .filter(|expert| replica_counts[usize::from(**expert)] > 1)
            .map(|expert| ExpertMove {
                expert: *expert,
                to: None,
                from: Some(hot),
            })
            .collect();
        let cold = by_time.iter().copied().take(MAX_COLD_RANKS);
        for rank in cold.filter(|rank| *rank != hot && self.may_copy_to(*rank)) {
            let held = &self.set.ranks[rank];
            for expert in experts.iter().filter(|expert| !held.contains(expert)) {
                for evicted in self.eviction_candidates(rank, replica_counts) {
                    let to = Some(CopyDestination { rank, evicted });
                    candidates.extend([None, Some(hot)].map(|from| ExpertMove {
                        expert: *expert,
                        to,
                        from,
                    }));
                }
            }
        }
        let scored = candidates.into_iter().map(|candidate| {
            (
                candidate,
                self.cost_after(candidate, loads, replica_counts, mean),
            )
        });
        scored.min_by(|a, b| a.1.total_cmp(&b.1))
    }

    fn may_copy_to(&self, rank: usize) -> bool {
        if self
            .slowdown
            .get(rank)
            .is_some_and(|slowdown| *slowdown >= SLOWDOWN_THRESHOLD)
        {
            return false;
        }
        let original = &self.original.ranks[rank];
        let new = self.set.ranks[rank]
            .iter()
            .filter(|expert| !original.contains(expert));
        new.count() < self.limits.new_per_set && self.new_by_rank[rank] < self.limits.new_per_rank
    }

    /// Experts that may be evicted from a rank for a new one; a single `None` if the rank has room
    /// without an eviction.
    fn eviction_candidates(&self, rank: usize, replica_counts: &[u16]) -> Vec<Option<u16>> {
        let held = &self.set.ranks[rank];
        if held.len() < self.limits.places {
            return vec![None];
        }
        let popularity = |expert: u16| {
            let expert = usize::from(expert);
            let others = f64::from(replica_counts[expert].max(2) - 1);
            // Load that each remaining replica would have, now and when earlier topics return.
            (self.demand[expert] + self.long_term[expert]) / others
        };
        let mut replicated: Vec<u16> = held
            .iter()
            .copied()
            .filter(|expert| replica_counts[usize::from(*expert)] > 1)
            .collect();
        replicated.sort_by(|a, b| popularity(*a).total_cmp(&popularity(*b)));
        replicated
            .into_iter()
            .take(MAX_EVICTION_CANDIDATES)
            .map(Some)
            .collect()
    }

    fn cost_after(
        &self,
        candidate: ExpertMove,
        loads: &[f64],
        replica_counts: &[u16],
        mean: f64,
    ) -> f64 {
        let mut loads = loads.to_vec();
        let count = f64::from(replica_counts[usize::from(candidate.expert)]);
        let demand = self.demand[usize::from(candidate.expert)];
        let gained = if candidate.to.is_some() { 1.0 } else { 0.0 };
        let lost = if candidate.from.is_some() { 1.0 } else { 0.0 };
        let after = count + gained - lost;
        let change = demand / after - demand / count;
        self.add_load_at_replicas(&mut loads, candidate.expert, change);
        if let Some(from) = candidate.from {
            loads[from] -= demand / after;
        }
        if let Some(to) = candidate.to {
            loads[to.rank] += demand / after;
            if let Some(evicted) = to.evicted {
                let count = f64::from(replica_counts[usize::from(evicted)]);
                let demand = self.demand[usize::from(evicted)];
                let change = demand / (count - 1.0) - demand / count;
                self.add_load_at_replicas(&mut loads, evicted, change);
                loads[to.rank] -= demand / (count - 1.0);
            }
        }
        imbalance_cost(&self.times(&loads), mean)
    }

    /// Step time of each rank: its load times its slowdown.
    fn times(&self, loads: &[f64]) -> Vec<f64> {
        let slowdown = self.slowdown.iter().copied().chain(std::iter::repeat(1.0));
        loads
            .iter()
            .zip(slowdown)
            .map(|(load, slowdown)| load * slowdown)
            .collect()
    }

    fn add_load_at_replicas(&self, loads: &mut [f64], expert: u16, change: f64) {
        for (load, experts) in loads.iter_mut().zip(&self.set.ranks) {
            if experts.contains(&expert) {
                *load += change;
            }
        }
    }

    fn apply(&mut self, candidate: ExpertMove) {
        if let Some(to) = candidate.to {
            let was_there = self.original.ranks[to.rank].contains(&candidate.expert);
            self.new_by_rank[to.rank] += usize::from(!was_there);
            let experts = &mut self.set.ranks[to.rank];
            if let Some(evicted) = to.evicted {
                experts.retain(|expert| *expert != evicted);
            }
            experts.push(candidate.expert);
        }
        if let Some(from) = candidate.from {
            self.set.ranks[from].retain(|expert| *expert != candidate.expert);
        }
    }
}

/// Sum of the step times relative to `mean`, the mean load, each raised to [`COST_EXPONENT`].
fn imbalance_cost(times: &[f64], mean: f64) -> f64 {
    let relative = |time: &f64| (time / mean).max(0.0).powi(COST_EXPONENT);
    times.iter().map(relative).sum()
}

fn to_f64(count: usize) -> f64 {
    f64::from(u32::try_from(count).unwrap_or(u32::MAX))
}
