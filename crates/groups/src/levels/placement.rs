//! Which ranks hold which experts.

/// Experts of one set of layers, by rank. Ranks that hold an expert share its tokens evenly.
#[derive(Clone, Debug, Default, PartialEq, Eq, serde::Serialize, serde::Deserialize)]
#[serde(transparent)]
pub struct SetPlacement {
    /// Experts of each rank.
    pub ranks: Vec<Vec<u16>>,
}

impl SetPlacement {
    /// Number of ranks that hold each expert.
    #[must_use]
    pub fn holders(&self, experts: usize) -> Vec<u16> {
        let mut holders = vec![0; experts];
        for expert in self.ranks.iter().flatten() {
            if let Some(holders) = holders.get_mut(usize::from(*expert)) {
                *holders += 1;
            }
        }
        holders
    }

    /// Load of each rank where `demand` is the load of each expert.
    #[must_use]
    pub fn loads(&self, demand: &[f64]) -> Vec<f64> {
        let holders = self.holders(demand.len());
        let share = |expert: &u16| {
            let expert = usize::from(*expert);
            demand.get(expert).copied().unwrap_or_default()
                / f64::from(holders.get(expert).copied().unwrap_or(1).max(1))
        };
        let load = |experts: &Vec<u16>| experts.iter().map(share).sum();
        self.ranks.iter().map(load).collect()
    }

    /// Time of the slowest rank relative to the mean load, where `pace` says how slow each rank
    /// works; 1 where there is no load.
    #[must_use]
    pub fn imbalance(&self, demand: &[f64], pace: &[f64]) -> f64 {
        let loads = self.loads(demand);
        let sum: f64 = loads.iter().sum();
        let pace = pace.iter().copied().chain(std::iter::repeat(1.0));
        let times = loads.iter().zip(pace).map(|(load, pace)| load * pace);
        let most = times.fold(0.0, f64::max);
        let ranks = f64::from(u32::try_from(loads.len()).unwrap_or(u32::MAX));
        if sum > 0.0 { most * ranks / sum } else { 1.0 }
    }

    /// Whether each of `experts` experts is on at least one rank.
    #[must_use]
    pub fn is_complete(&self, experts: usize) -> bool {
        self.holders(experts).iter().all(|holders| *holders > 0)
    }
}

/// Placements of all sets of a group.
#[derive(Clone, Debug, Default, PartialEq, Eq, serde::Serialize, serde::Deserialize)]
#[serde(transparent)]
pub struct GroupPlacement {
    /// Placement of each set.
    pub sets: Vec<SetPlacement>,
}

impl GroupPlacement {
    /// The placement of map 0: experts in turn.
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
    pub fn imbalance(&self, demand: &[Vec<f64>], pace: &[f64]) -> f64 {
        let sets = f64::from(u32::try_from(self.sets.len().max(1)).unwrap_or(u32::MAX));
        let pairs = self.sets.iter().zip(demand);
        pairs
            .map(|(set, demand)| set.imbalance(demand, pace))
            .sum::<f64>()
            / sets
    }
}
