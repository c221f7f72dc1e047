//! Placement changes that balance the ranks with few expert copies.

use amaranthgw_groups::rebalance::{GroupPlacement, PlannerInput, PlannerLimits, plan_change};
use proptest::prelude::*;

const LIMITS: PlannerLimits = PlannerLimits {
    places: 11,
    new_per_set: 4,
    new_per_rank: 4,
    tolerated_imbalance: 1.08,
    min_gain: 0.02,
};
const RANKS: usize = 12;
const EXPERTS: usize = 96;

/// Random demand with a few hot experts; it sums to 1.
fn skewed(rng: &mut fastrand::Rng) -> Vec<f64> {
    let mut demand: Vec<f64> = (0..EXPERTS).map(|_| rng.f64() * 0.3).collect();
    for _ in 0..8 {
        demand[rng.usize(0..EXPERTS)] += 2.0 + rng.f64() * 3.0;
    }
    let sum: f64 = demand.iter().sum();
    demand.into_iter().map(|load| load / sum).collect()
}

fn input<'a>(
    placement: &'a GroupPlacement,
    demand: &'a [Vec<f64>],
    slowdown: &'a [f64],
) -> PlannerInput<'a> {
    PlannerInput {
        placement,
        demand,
        long_term: demand,
        slowdown,
    }
}

proptest! {
    #[test]
    fn plan_change_within_limits(seed in any::<u64>()) {
        let mut rng = fastrand::Rng::with_seed(seed);
        let mut placement = GroupPlacement::initial(3, EXPERTS, RANKS);
        for _ in 0..4 {
            let demand: Vec<_> = (0..3).map(|_| skewed(&mut rng)).collect();
            let planned = plan_change(input(&placement, &demand, &[1.0; RANKS]), &LIMITS);
            let Some(change) = planned else { continue };
            prop_assert!(change.after < change.before);
            let mut copies = [0; RANKS];
            for (old, new) in placement.sets.iter().zip(&change.placement.sets) {
                prop_assert!(new.is_complete(EXPERTS));
                for (rank, (old, new)) in old.ranks.iter().zip(&new.ranks).enumerate() {
                    prop_assert!(new.len() <= LIMITS.places);
                    let added = new.iter().filter(|expert| !old.contains(expert)).count();
                    prop_assert!(added <= LIMITS.new_per_set);
                    copies[rank] += added;
                    let mut unique = new.clone();
                    unique.sort_unstable();
                    unique.dedup();
                    prop_assert_eq!(unique.len(), new.len());
                }
            }
            prop_assert!(copies.iter().all(|copies| *copies <= LIMITS.new_per_rank));
            placement = change.placement;
        }
    }

    #[test]
    fn plan_change_reaches_balance(seed in any::<u64>()) {
        let mut rng = fastrand::Rng::with_seed(seed);
        let demand = vec![skewed(&mut rng)];
        let mut placement = GroupPlacement::initial(1, EXPERTS, RANKS);
        for _ in 0..6 {
            if let Some(change) = plan_change(input(&placement, &demand, &[1.0; RANKS]), &LIMITS) {
                placement = change.placement;
            }
        }
        let imbalance = placement.imbalance(&demand, &[1.0; RANKS]);
        prop_assert!(imbalance < 1.5, "{imbalance}");
    }
}

#[test]
fn plan_change_already_balanced() {
    let placement = GroupPlacement::initial(1, EXPERTS, RANKS);
    let demand = vec![vec![1.0; EXPERTS]];
    assert_eq!(
        plan_change(input(&placement, &demand, &[1.0; RANKS]), &LIMITS),
        None
    );
}

#[test]
fn plan_change_relieves_slow_rank() {
    let placement = GroupPlacement::initial(1, EXPERTS, RANKS);
    let demand = vec![vec![1.0; EXPERTS]];
    let mut slowdown = [1.0; RANKS];
    slowdown[3] = 2.0;
    let change = plan_change(input(&placement, &demand, &slowdown), &LIMITS).expect("change");
    let loads = change.placement.sets[0].loads(&demand[0]);
    // Every rank starts with `EXPERTS / RANKS`, that is 8, experts of load 1.
    assert!(loads[3] < 8.0 - 1.0, "{loads:?}");
    assert!(change.after < change.before);
}

#[test]
fn plan_change_slow_rank_copies_nothing() {
    let mut rng = fastrand::Rng::with_seed(7);
    let mut placement = GroupPlacement::initial(1, EXPERTS, RANKS);
    for _ in 0..6 {
        let demand = vec![skewed(&mut rng)];
        if let Some(change) = plan_change(input(&placement, &demand, &[1.0; RANKS]), &LIMITS) {
            placement = change.placement;
        }
    }
    let (demand, mut slowdown) = (vec![skewed(&mut rng)], [1.0; RANKS]);
    slowdown[3] = 12.0;
    let before = placement.sets[0].ranks[3].clone();
    for _ in 0..3 {
        let planned = plan_change(input(&placement, &demand, &slowdown), &LIMITS);
        placement = planned.map_or(placement, |change| change.placement);
    }
    let set = &placement.sets[0];
    assert!(set.is_complete(EXPERTS));
    assert!(set.ranks[3].iter().all(|expert| before.contains(expert)));
    let loads = set.loads(&demand[0]);
    // Sum of all loads over the number of other ranks: bounds the mean load of these from above.
    let others_mean = loads.iter().sum::<f64>() / 11.0;
    assert!(loads[3] < others_mean / 6.0, "{loads:?}");
}

#[test]
fn imbalance_without_load() {
    let placement = GroupPlacement::initial(1, 4, 2);
    let imbalance = placement.imbalance(&[vec![0.0; 4]], &[]);
    assert!((imbalance - 1.0).abs() < f64::EPSILON);
}
