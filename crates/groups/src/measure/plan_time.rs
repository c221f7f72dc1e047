//! Time to plan one layer, by policy and group size.

use std::time::{Duration, Instant};

use super::drift::{DriftPattern, LayerDrift};
use super::simulation::SimulationSettings;
use crate::placement::{
    ExpertMap, GainPolicy, GroupShape, LayerPopularity, PlacementInput, PlacementPolicy,
    RepackPolicy, static_layer,
};

/// Plans timed per group size and policy.
const PLANS: usize = 100;

/// Time to plan one layer.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct PlanTime {
    /// Number of ranks, and of experts of the layer.
    pub size: u16,
    /// Name of the policy.
    pub policy: &'static str,
    /// Median time.
    pub median: Duration,
    /// 99th percentile of the time.
    pub p99: Duration,
}

impl std::fmt::Display for PlanTime {
    fn fmt(&self, f: &mut std::fmt::Formatter<'_>) -> std::fmt::Result {
        let (median, p99) = (self.median.as_micros(), self.p99.as_micros());
        write!(
            f,
            "| {0} | {0} | {1} | {median} | {p99} |",
            self.size, self.policy
        )
    }
}

/// Times plans for groups of 32 to 256 ranks with as many experts, from the static map and skewed
/// popularity.
#[must_use]
pub fn measure_plan_time(seed: u64) -> Vec<PlanTime> {
    let policies: [Box<dyn PlacementPolicy>; 2] =
        [Box::new(RepackPolicy), Box::new(GainPolicy::new())];
    let mut times = Vec::new();
    for size in [32, 64, 128, 256] {
        times.extend(
            policies
                .iter()
                .map(|policy| time_plans(policy.as_ref(), size, seed)),
        );
    }
    times
}

fn time_plans(policy: &dyn PlacementPolicy, size: u16, seed: u64) -> PlanTime {
    let mut rng = fastrand::Rng::with_seed(seed);
    let shape = GroupShape {
        ranks: size,
        experts: size,
        slots: 2,
    };
    let map = ExpertMap {
        layers: vec![static_layer(shape)],
    };
    let cost = SimulationSettings::new().cost;
    let mut times: Vec<Duration> = Vec::new();
    for _ in 0..PLANS {
        let popularity = [observed_popularity(size, &mut rng)];
        let input = PlacementInput {
            shape,
            cost: &cost,
            map: &map,
            popularity: &popularity,
        };
        let began_at = Instant::now();
        let plan = policy.plan(input);
        times.push(began_at.elapsed());
        drop(plan);
    }
    times.sort();
    PlanTime {
        size,
        policy: policy.name(),
        median: times[PLANS / 2],
        p99: times[PLANS - 1 - PLANS / 100],
    }
}

#[expect(
    clippy::cast_possible_truncation,
    clippy::cast_sign_loss,
    reason = "a share is positive"
)]
fn observed_popularity(experts: u16, rng: &mut fastrand::Rng) -> LayerPopularity {
    const TOKENS: f64 = 1.0e7;
    const OBSERVATIONS: usize = 5;
    let drift = LayerDrift::new(DriftPattern::SlowShift, usize::from(experts), rng);
    let mut popularity = LayerPopularity::new(experts);
    for _ in 0..OBSERVATIONS {
        let loads = drift.loads(0.3, rng);
        let tokens: Vec<u64> = loads.iter().map(|load| (load * TOKENS) as u64).collect();
        popularity.observe(&tokens);
    }
    popularity
}
