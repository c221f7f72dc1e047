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
        let holders = planned.sets[set].holders(demand[set].len());
        let mut set_planner = SetPlanner {
            original: &placement.sets[set],
            set: &mut planned.sets[set],
            holders,
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
    /// Ranks that hold each expert in `set`.
    holders: Vec<Vec<usize>>,
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
            let mut costs = RankCosts::new(&loads, self.slowdown, mean);
            if mean <= 0.0 || costs.largest_time() <= mean * self.limits.tolerated_imbalance {
                return;
            }
            let Some((candidate, after)) = self.best_move(&mut costs) else {
                return;
            };
            // The cost is close to the largest relative step time raised to the exponent.
            let root = |cost: f64| cost.max(0.0).powf(1.0 / f64::from(COST_EXPONENT));
            if root(costs.total) - root(after) < self.limits.min_gain {
                return;
            }
            self.apply(candidate);
        }
    }

    fn best_move(&self, costs: &mut RankCosts) -> Option<(ExpertMove, f64)> {
        let mut by_time: Vec<usize> = (0..costs.loads.len()).collect();
        by_time.sort_by(|a, b| costs.time(*a).total_cmp(&costs.time(*b)));
        let hot = *by_time.last()?;
        let mut experts = self.set.ranks[hot].clone();
        experts.sort_by(|a, b| self.share(*b).total_cmp(&self.share(*a)));
        experts.truncate(MAX_HOT_EXPERTS);
        let mut candidates: Vec<ExpertMove> = experts
            .iter()
            .filter(|expert| self.replicas(**expert) > 1)
            .map(|expert| ExpertMove {
                expert: *expert,
                to: None,
                from: Some(hot),
            })
            .collect();
        let cold = by_time.iter().copied().take(MAX_COLD_RANKS);
        for rank in cold.filter(|rank| *rank != hot && self.may_copy_to(*rank)) {
            let evictions = self.eviction_candidates(rank);
            let held = &self.set.ranks[rank];
            for expert in experts.iter().filter(|expert| !held.contains(expert)) {
                for evicted in evictions.iter().copied() {
                    let to = Some(CopyDestination { rank, evicted });
                    candidates.extend([None, Some(hot)].map(|from| ExpertMove {
                        expert: *expert,
                        to,
                        from,
                    }));
                }
            }
        }
        let scored = candidates
            .into_iter()
            .map(|candidate| (candidate, self.cost_after(candidate, costs)));
        scored.min_by(|a, b| a.1.total_cmp(&b.1))
    }

    fn replicas(&self, expert: u16) -> usize {
        self.holders[usize::from(expert)].len()
    }

    /// Load that each replica of the expert takes.
    fn share(&self, expert: u16) -> f64 {
        self.demand[usize::from(expert)] / to_f64(self.replicas(expert).max(1))
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
    fn eviction_candidates(&self, rank: usize) -> Vec<Option<u16>> {
        let held = &self.set.ranks[rank];
        if held.len() < self.limits.places {
            return vec![None];
        }
        let popularity = |expert: u16| {
            let others = to_f64(self.replicas(expert).max(2) - 1);
            let expert = usize::from(expert);
            // Load that each remaining replica would have, now and when earlier topics return.
            (self.demand[expert] + self.long_term[expert]) / others
        };
        let mut replicated: Vec<u16> = held
            .iter()
            .copied()
            .filter(|expert| self.replicas(*expert) > 1)
            .collect();
        replicated.sort_by(|a, b| popularity(*a).total_cmp(&popularity(*b)));
        replicated
            .into_iter()
            .take(MAX_EVICTION_CANDIDATES)
            .map(Some)
            .collect()
    }

    /// Cost of the set after a move; leaves `costs` as it was.
    fn cost_after(&self, candidate: ExpertMove, costs: &mut RankCosts) -> f64 {
        let count = to_f64(self.replicas(candidate.expert));
        let demand = self.demand[usize::from(candidate.expert)];
        let gained = if candidate.to.is_some() { 1.0 } else { 0.0 };
        let lost = if candidate.from.is_some() { 1.0 } else { 0.0 };
        let after = count + gained - lost;
        let change = demand / after - demand / count;
        for rank in &self.holders[usize::from(candidate.expert)] {
            costs.add(*rank, change);
        }
        if let Some(from) = candidate.from {
            costs.add(from, -demand / after);
        }
        if let Some(to) = candidate.to {
            costs.add(to.rank, demand / after);
            if let Some(evicted) = to.evicted {
                let count = to_f64(self.replicas(evicted));
                let demand = self.demand[usize::from(evicted)];
                let change = demand / (count - 1.0) - demand / count;
                for rank in &self.holders[usize::from(evicted)] {
                    costs.add(*rank, change);
                }
                costs.add(to.rank, -demand / (count - 1.0));
            }
        }
        let cost = costs.trial_total();
        costs.undo();
        cost
    }

    fn apply(&mut self, candidate: ExpertMove) {
        if let Some(to) = candidate.to {
            let was_there = self.original.ranks[to.rank].contains(&candidate.expert);
            self.new_by_rank[to.rank] += usize::from(!was_there);
            if let Some(evicted) = to.evicted {
                self.remove(to.rank, evicted);
            }
            self.set.ranks[to.rank].push(candidate.expert);
            self.holders[usize::from(candidate.expert)].push(to.rank);
        }
        if let Some(from) = candidate.from {
            self.remove(from, candidate.expert);
        }
    }

    fn remove(&mut self, rank: usize, expert: u16) {
        self.set.ranks[rank].retain(|held| *held != expert);
        self.holders[usize::from(expert)].retain(|holder| *holder != rank);
    }
}

/// Imbalance cost of a set: the sum of the ranks' relative step times, each raised to
/// [`COST_EXPONENT`]. A trial recomputes only the ranks whose load it changes.
#[derive(Debug)]
struct RankCosts {
    loads: Vec<f64>,
    /// Slowdown of each rank over the mean load.
    scales: Vec<f64>,
    costs: Vec<f64>,
    total: f64,
    mean: f64,
    /// Ranks whose load the current trial changed, with the load before it.
    changed: Vec<(usize, f64)>,
}

impl RankCosts {
    fn new(loads: &[f64], slowdown: &[f64], mean: f64) -> Self {
        let slowdown = slowdown.iter().copied().chain(std::iter::repeat(1.0));
        let scales: Vec<f64> = slowdown
            .zip(loads)
            .map(|(slowdown, _load)| slowdown / mean)
            .collect();
        let costs: Vec<f64> = loads
            .iter()
            .zip(&scales)
            .map(|(load, scale)| cost_of(load * scale))
            .collect();
        Self {
            loads: loads.to_vec(),
            total: costs.iter().sum(),
            scales,
            costs,
            mean,
            changed: Vec::new(),
        }
    }

    /// Step time of a rank: its load times its slowdown.
    fn time(&self, rank: usize) -> f64 {
        self.loads[rank] * self.scales[rank] * self.mean
    }

    fn largest_time(&self) -> f64 {
        let times = (0..self.loads.len()).map(|rank| self.time(rank));
        times.fold(0.0, f64::max)
    }

    fn add(&mut self, rank: usize, load: f64) {
        if !self.changed.iter().any(|(changed, _)| *changed == rank) {
            self.changed.push((rank, self.loads[rank]));
        }
        self.loads[rank] += load;
    }

    /// Cost with the changes of the trial.
    fn trial_total(&self) -> f64 {
        let change = |(rank, _): &(usize, f64)| {
            cost_of(self.loads[*rank] * self.scales[*rank]) - self.costs[*rank]
        };
        self.total + self.changed.iter().map(change).sum::<f64>()
    }

    fn undo(&mut self) {
        for (rank, load) in self.changed.drain(..) {
            self.loads[rank] = load;
        }
    }
}

fn cost_of(relative_time: f64) -> f64 {
    relative_time.max(0.0).powi(COST_EXPONENT)
}

fn to_f64(count: usize) -> f64 {
    f64::from(u32::try_from(count).unwrap_or(u32::MAX))
}
