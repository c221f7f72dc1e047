//! Subsets of targets: stable when one target leaves, and together they cover all targets.

use std::collections::BTreeSet;

use amaranthgw_core::TargetId;
use amaranthgw_fleet::routing::{
    DomainDistance, ServiceKind, ServiceRoutes, SubsetSettings, TargetRoute, TargetStage,
};
use proptest::prelude::*;
use tokio::time::Instant;

use super::world::{TargetSpec, target_route};

const DISTANCES: [DomainDistance; 3] = [
    DomainDistance::SameDomain,
    DomainDistance::SameRegion,
    DomainDistance::OtherRegion,
];

fn settings(entry: usize) -> SubsetSettings {
    SubsetSettings::new(&format!("entry-{entry}").parse().expect("valid id"))
}

/// Creates `count` targets at each distance.
fn targets(count: usize) -> Vec<TargetRoute> {
    let make = |index: usize| {
        let distance = DISTANCES[index % DISTANCES.len()];
        target_route(
            index,
            TargetSpec {
                distance,
                ..TargetSpec::new(8)
            },
        )
    };
    (0..count * DISTANCES.len()).map(make).collect()
}

fn subset(entry: usize, targets: Vec<TargetRoute>) -> Vec<TargetRoute> {
    let settings = settings(entry).with_sizes(8, 4, 2);
    let routes = ServiceRoutes::new(ServiceKind::Model, targets, &settings, Instant::now());
    routes.subset().cloned().collect()
}

fn ids(routes: &[TargetRoute]) -> BTreeSet<TargetId> {
    routes.iter().map(|route| route.target.clone()).collect()
}

proptest! {
    #[test]
    fn subset_changes_by_one(entry in 0_usize..1_000, closed in 0_usize..120) {
        let all = targets(40);
        let before = subset(entry, all.clone());
        prop_assert!(before.is_sorted_by_key(|route| route.distance));
        for (distance, size) in DISTANCES.into_iter().zip([8, 4, 2]) {
            let at = before.iter().filter(|route| route.distance == distance);
            prop_assert_eq!(at.count(), size);
        }
        let mut without = all;
        without[closed].stage = TargetStage::Leaving;
        let gone = without[closed].target.clone();
        let (before, after) = (ids(&before), ids(&subset(entry, without)));
        prop_assert!(!after.contains(&gone));
        let lost: Vec<&TargetId> = before.difference(&after).collect();
        let expected: Vec<&TargetId> = before.get(&gone).into_iter().collect();
        prop_assert_eq!(lost, expected);
        prop_assert_eq!(before.len(), after.len());
    }
}

#[test]
fn subset_entries_cover_own_domain() {
    let mut uses = std::collections::BTreeMap::new();
    for entry in 0..60 {
        let routes = subset(entry, targets(40)).into_iter();
        for route in routes.filter(|route| route.distance == DomainDistance::SameDomain) {
            *uses.entry(route.target).or_insert(0_u32) += 1;
        }
    }
    assert_eq!(uses.len(), 40, "some targets are in no subset");
    // The mean is 60 entries * 8 targets / 40 targets = 12.
    assert!(uses.values().all(|count| *count <= 2 * 12), "{uses:?}");
}
