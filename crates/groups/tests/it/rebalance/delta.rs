//! Differences between placements.

use amaranthgw_core::MapVersion;
use amaranthgw_groups::rebalance::{DeltaError, GroupPlacement, PlacementDelta};
use proptest::prelude::*;

const SETS: usize = 12;
const EXPERTS: usize = 256;
const RANKS: usize = 64;

/// A placement that differs from `placement` by `moves` random copies or removals of replicas.
fn changed(placement: &GroupPlacement, moves: usize, rng: &mut fastrand::Rng) -> GroupPlacement {
    let mut changed = placement.clone();
    for _ in 0..moves {
        let ranks = &mut changed.sets[rng.usize(0..SETS)].ranks;
        let expert = u16::try_from(rng.usize(0..EXPERTS)).expect("expert");
        let experts = &mut ranks[rng.usize(0..RANKS)];
        if experts.contains(&expert) {
            experts.retain(|held| *held != expert);
        } else {
            experts.push(expert);
            experts.sort_unstable();
        }
    }
    changed
}

proptest! {
    #[test]
    fn apply_gives_target(seed in any::<u64>(), moves in 0_usize..400) {
        let mut rng = fastrand::Rng::with_seed(seed);
        let base = GroupPlacement::initial(SETS, EXPERTS, RANKS);
        let target = changed(&base, moves, &mut rng);
        let delta = PlacementDelta::new(MapVersion::new(0), &base, &target).expect("one shape");
        prop_assert_eq!(delta.apply(&base), Ok(target));
        prop_assert_eq!(delta.initial_placement(), Some(base));
    }

    #[test]
    fn apply_other_base_is_refused(seed in any::<u64>()) {
        let mut rng = fastrand::Rng::with_seed(seed);
        let base = GroupPlacement::initial(SETS, EXPERTS, RANKS);
        let other = changed(&base, 1, &mut rng);
        let target = changed(&base, 100, &mut rng);
        let delta = PlacementDelta::new(MapVersion::new(0), &base, &target).expect("one shape");
        // The change may happen to set right what the other base has wrong.
        if let Ok(result) = delta.apply(&other) {
            prop_assert_eq!(result, target);
        }
    }

    #[test]
    fn apply_any_bytes(flips in prop::collection::vec((any::<prop::sample::Index>(), any::<u8>()), 1..6)) {
        let mut rng = fastrand::Rng::with_seed(1);
        let base = GroupPlacement::initial(SETS, EXPERTS, RANKS);
        let target = changed(&base, 30, &mut rng);
        let delta = PlacementDelta::new(MapVersion::new(0), &base, &target).expect("one shape");
        let mut bytes = postcard::to_allocvec(&delta).expect("bytes");
        for (index, value) in flips {
            *index.get_mut(&mut bytes) = value;
        }
        if let Ok(delta) = postcard::from_bytes::<PlacementDelta>(&bytes) {
            if let Some(initial) = delta.initial_placement() {
                prop_assert!(u16::try_from(initial.sets.len()).is_ok());
            }
            if let Ok(result) = delta.apply(&base) {
                prop_assert_eq!(result, target);
            }
        }
    }
}

#[test]
fn new_is_small() {
    let mut rng = fastrand::Rng::with_seed(3);
    let base = GroupPlacement::initial(SETS, EXPERTS, RANKS);
    let target = changed(&base, 150, &mut rng);
    let delta = PlacementDelta::new(MapVersion::new(0), &base, &target).expect("one shape");
    let bytes = postcard::to_allocvec(&delta).expect("bytes").len();
    assert!(bytes < 1_500, "{bytes}");
}

#[test]
fn apply_other_shape() {
    let base = GroupPlacement::initial(2, 8, 4);
    let delta = PlacementDelta::new(MapVersion::new(0), &base, &base).expect("one shape");
    let smaller = GroupPlacement::initial(2, 8, 3);
    assert_eq!(delta.apply(&smaller), Err(DeltaError::ShapeMismatch));
    assert_eq!(
        PlacementDelta::new(MapVersion::new(0), &base, &smaller),
        None
    );
}
