//! Placements that an agent knows as bases of changes.

use std::sync::Arc;

use amaranthgw_core::{GroupGeneration, MapVersion};
use amaranthgw_groups::rebalance::{
    BaseError, DeltaError, GroupPlacement, MapContent, MapHistory, PlacementDelta, RankOrder,
};

const FIRST: GroupGeneration = GroupGeneration::new(1);

/// The placement that map `version` has in these tests.
fn placement(version: u64) -> GroupPlacement {
    let mut placement = GroupPlacement::initial(2, 8, 4);
    for expert in 0..u16::try_from(version).expect("small") {
        let experts = &mut placement.sets[0].ranks[usize::from(expert + 1) % 4];
        if !experts.contains(&expert) {
            experts.push(expert);
            experts.sort_unstable();
        }
    }
    placement
}

fn changed(base: u64, version: u64) -> RankOrder<MapContent> {
    let delta = PlacementDelta::new(MapVersion::new(base), &placement(base), &placement(version));
    RankOrder::Prepare {
        version: MapVersion::new(version),
        map: MapContent::Changed(Arc::new(delta.expect("one shape"))),
    }
}

fn whole(version: u64) -> RankOrder<MapContent> {
    RankOrder::Prepare {
        version: MapVersion::new(version),
        map: MapContent::Whole(Arc::new(placement(version))),
    }
}

fn prepare(version: u64) -> RankOrder {
    RankOrder::Prepare {
        version: MapVersion::new(version),
        map: Arc::new(placement(version)),
    }
}

#[test]
fn resolve_chain_of_changes() {
    let history = MapHistory::new();
    assert_eq!(history.resolve(changed(0, 1), FIRST), Ok(prepare(1)));
    assert_eq!(history.resolve(changed(1, 2), FIRST), Ok(prepare(2)));
    // The switch to 2 was given up, and another change starts from 1.
    assert_eq!(history.resolve(changed(1, 3), FIRST), Ok(prepare(3)));
}

#[test]
fn resolve_doubled_change() {
    let history = MapHistory::new();
    for _ in 0..3 {
        assert_eq!(history.resolve(changed(0, 1), FIRST), Ok(prepare(1)));
    }
    assert_eq!(history.resolve(changed(1, 2), FIRST), Ok(prepare(2)));
}

#[test]
fn resolve_unknown_base() {
    let history = MapHistory::new();
    let unknown = Err(BaseError::Unknown);
    assert_eq!(history.resolve(changed(4, 5), FIRST), unknown);
    assert_eq!(history.resolve(whole(5), FIRST), Ok(prepare(5)));
    assert_eq!(history.resolve(changed(5, 6), FIRST), Ok(prepare(6)));
    // Map 6 of another generation is another map.
    assert_eq!(
        history.resolve(changed(6, 7), GroupGeneration::new(2)),
        unknown
    );
}

#[test]
fn resolve_base_of_other_coordinator() {
    let history = MapHistory::new();
    let mut other = placement(1);
    other.sets[1].ranks[0] = vec![0, 4, 5];
    let order = RankOrder::Prepare {
        version: MapVersion::new(1),
        map: MapContent::Whole(Arc::new(other)),
    };
    history.resolve(order, FIRST).expect("whole placement");
    assert_eq!(
        history.resolve(changed(1, 2), FIRST),
        Err(BaseError::Unfit(DeltaError::DigestMismatch))
    );
}
