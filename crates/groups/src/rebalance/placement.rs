//! Placement of experts on ranks, by set of layers.

/// Experts of one set of layers, by rank. The replicas of an expert share its tokens evenly.
#[derive(Clone, Debug, Default, PartialEq, Eq, serde::Serialize, serde::Deserialize)]
#[serde(transparent)]
pub struct SetPlacement {
    /// Experts held by each rank.
    pub ranks: Vec<Vec<u16>>,
}

impl SetPlacement {
    /// Number of replicas of each expert.
    #[must_use]
    pub fn replica_counts(&self, experts: usize) -> Vec<u16> {
        let mut replica_counts = vec![0; experts];
        for expert in self.ranks.iter().flatten() {
            if let Some(count) = replica_counts.get_mut(usize::from(*expert)) {
                *count += 1;
            }
        }
        replica_counts
    }

    /// Ranks that hold each expert.
    #[must_use]
    pub fn holders(&self, experts: usize) -> Vec<Vec<usize>> {
        let mut holders = vec![Vec::new(); experts];
        for (rank, held) in self.ranks.iter().enumerate() {
            for expert in held {
                if let Some(holders) = holders.get_mut(usize::from(*expert)) {
                    holders.push(rank);
                }
            }
        }
        holders
    }

    /// Load of each rank, given the load of each expert in `demand`.
    #[must_use]
    pub fn loads(&self, demand: &[f64]) -> Vec<f64> {
        let replica_counts = self.replica_counts(demand.len());
        let share = |expert: &u16| {
            let expert = usize::from(*expert);
            demand.get(expert).copied().unwrap_or_default()
                / f64::from(replica_counts.get(expert).copied().unwrap_or(1).max(1))
        };
        let load = |experts: &Vec<u16>| experts.iter().map(share).sum();
        self.ranks.iter().map(load).collect()
    }

    /// Largest product of load and slowdown of a rank, relative to the mean load; 1 without load.
    #[must_use]
    pub fn imbalance(&self, demand: &[f64], slowdown: &[f64]) -> f64 {
        let loads = self.loads(demand);
        let sum: f64 = loads.iter().sum();
        let slowdown = slowdown.iter().copied().chain(std::iter::repeat(1.0));
        let times = loads
            .iter()
            .zip(slowdown)
            .map(|(load, slowdown)| load * slowdown);
        let most = times.fold(0.0, f64::max);
        let ranks = f64::from(u32::try_from(loads.len()).unwrap_or(u32::MAX));
        if sum > 0.0 { most * ranks / sum } else { 1.0 }
    }

    /// Whether each of `experts` experts has at least one replica.
    #[must_use]
    pub fn is_complete(&self, experts: usize) -> bool {
        self.replica_counts(experts).iter().all(|count| *count > 0)
    }
}

/// Placements of all layer sets of a group.
#[derive(Clone, Debug, Default, PartialEq, Eq, serde::Serialize, serde::Deserialize)]
#[serde(transparent)]
pub struct GroupPlacement {
    /// Placement of each set.
    pub sets: Vec<SetPlacement>,
}

impl GroupPlacement {
    /// Placement of map 0, with which a group starts under [`rebalance`](super): experts are
    /// assigned to ranks round-robin.
    #[must_use]
    pub fn initial(sets: usize, experts: usize, ranks: usize) -> Self {
        let mut set = SetPlacement {
            ranks: vec![Vec::new(); ranks],
        };
        for expert in 0..experts {
            let number = u16::try_from(expert).unwrap_or(u16::MAX);
            set.ranks[expert % ranks.max(1)].push(number);
        }
        Self {
            sets: vec![set; sets],
        }
    }

    /// Mean imbalance over the sets.
    #[must_use]
    pub fn imbalance(&self, demand: &[Vec<f64>], slowdown: &[f64]) -> f64 {
        let sets = f64::from(u32::try_from(self.sets.len().max(1)).unwrap_or(u32::MAX));
        let pairs = self.sets.iter().zip(demand);
        pairs
            .map(|(set, demand)| set.imbalance(demand, slowdown))
            .sum::<f64>()
            / sets
    }
}
