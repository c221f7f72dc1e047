use std::collections::{BTreeMap, BTreeSet};

use amaranthgw_core::VmId;
use amaranthgw_fleet::config::{
    DOMAIN_DEGREE, RelayTopology, RelayVm, WATCHER_DEGREE, WATCHERS_PER_DOMAIN,
};
use proptest::prelude::*;

use super::fixtures::id;

fn fleet(sizes: &[usize]) -> Vec<RelayVm> {
    let rows = |(domain, size): (usize, &usize)| {
        let row = move |vm| RelayVm {
            vm: id(&format!("vm-{domain}-{vm}")),
            domain: id(&format!("domain-{domain}")),
        };
        (0..*size).map(row).collect::<Vec<_>>()
    };
    sizes.iter().enumerate().flat_map(rows).collect()
}

fn topologies(vms: &[RelayVm]) -> BTreeMap<VmId, RelayTopology> {
    let topology = |row: &RelayVm| {
        (
            row.vm.clone(),
            RelayTopology::new(&row.vm, &row.domain, vms),
        )
    };
    vms.iter().map(topology).collect()
}

/// Returns the number of rounds until a message from `start` reaches no further node, and the
/// number of nodes that it reached.
fn broadcast(topologies: &BTreeMap<VmId, RelayTopology>, start: &VmId) -> (usize, usize) {
    let mut reached = BTreeSet::from([start.clone()]);
    let mut newest = vec![start.clone()];
    let mut rounds = 0;
    loop {
        let receivers = newest.iter().flat_map(|vm| topologies[vm].successors());
        newest = receivers
            .filter(|vm| reached.insert((*vm).clone()))
            .cloned()
            .collect();
        if newest.is_empty() {
            return (rounds, reached.len());
        }
        rounds += 1;
    }
}

proptest! {
    #![proptest_config(ProptestConfig { cases: 48, ..ProptestConfig::default() })]

    #[test]
    fn successors_reach_everyone(sizes in prop::collection::vec(1..80_usize, 1..8), start in any::<prop::sample::Index>()) {
        let vms = fleet(&sizes);
        let topologies = topologies(&vms);
        let start = start.get(&vms);
        let (rounds, reached) = broadcast(&topologies, &start.vm);
        prop_assert_eq!(reached, vms.len());
        // At most 4 rounds to a watcher of the own domain, 3 across the domains and 4 within the
        // last one.
        prop_assert!(rounds <= 4 + 3 + 4, "{} rounds", rounds);
        for (vm, topology) in &topologies {
            let across = if topology.is_watcher() { WATCHER_DEGREE * WATCHERS_PER_DOMAIN } else { 0 };
            prop_assert!(topology.successors().len() <= DOMAIN_DEGREE + across);
            prop_assert!(!topology.successors().contains(vm));
        }
        let watchers = topologies.values().filter(|topology| topology.is_watcher()).count();
        let expected: usize = sizes.iter().map(|size| (*size).min(WATCHERS_PER_DOMAIN)).sum();
        prop_assert_eq!(watchers, expected);
    }
}

#[test]
fn relay_topology_unlisted_node() {
    let vms = fleet(&[5]);
    let topology = RelayTopology::new(&id("new-vm"), &id("domain-0"), &vms);
    assert_eq!((topology.domain_size(), topology.fleet_size()), (6, 6));
    assert!(!topology.successors().is_empty());
}

/// Nodes may receive the VM list in different orders; their topologies must still agree.
#[test]
fn relay_topology_order_of_list_is_irrelevant() {
    let mut vms = fleet(&[9, 7]);
    let first = topologies(&vms);
    vms.reverse();
    assert_eq!(topologies(&vms), first);
}
