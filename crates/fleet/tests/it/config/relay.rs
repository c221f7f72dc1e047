use std::collections::{BTreeMap, BTreeSet};

use amaranthgw_core::VmId;
use amaranthgw_fleet::config::{
    DOMAIN_DEGREE, RelayPlan, RelayVm, WATCHER_DEGREE, WATCHERS_PER_DOMAIN,
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

fn plans(vms: &[RelayVm]) -> BTreeMap<VmId, RelayPlan> {
    let plan = |row: &RelayVm| (row.vm.clone(), RelayPlan::new(&row.vm, &row.domain, vms));
    vms.iter().map(plan).collect()
}

/// Returns the number of rounds until a message from `start` reaches no further node, and the
/// number of nodes that it reached.
fn broadcast(plans: &BTreeMap<VmId, RelayPlan>, start: &VmId) -> (usize, usize) {
    let mut reached = BTreeSet::from([start.clone()]);
    let mut newest = vec![start.clone()];
    let mut rounds = 0;
    loop {
        let receivers = newest.iter().flat_map(|vm| plans[vm].successors());
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
        let plans = plans(&vms);
        let start = start.get(&vms);
        let (rounds, reached) = broadcast(&plans, &start.vm);
        prop_assert_eq!(reached, vms.len());
        // Rounds to the watchers of the start's domain, across the domains and within the last
        // domain.
        prop_assert!(rounds <= 4 + 3 + 4, "{} rounds", rounds);
        for (vm, plan) in &plans {
            let across = if plan.is_watcher() { WATCHER_DEGREE * WATCHERS_PER_DOMAIN } else { 0 };
            prop_assert!(plan.successors().len() <= DOMAIN_DEGREE + across);
            prop_assert!(!plan.successors().contains(vm));
        }
        let watchers = plans.values().filter(|plan| plan.is_watcher()).count();
        let expected: usize = sizes.iter().map(|size| (*size).min(WATCHERS_PER_DOMAIN)).sum();
        prop_assert_eq!(watchers, expected);
    }
}

#[test]
fn relay_plan_unlisted_node() {
    let vms = fleet(&[5]);
    let plan = RelayPlan::new(&id("new-vm"), &id("domain-0"), &vms);
    assert_eq!((plan.domain_size(), plan.fleet_size()), (6, 6));
    assert!(!plan.successors().is_empty());
}

/// Nodes may receive the VM list in different orders; their plans must still agree.
#[test]
fn relay_plan_order_of_list_is_irrelevant() {
    let mut vms = fleet(&[9, 7]);
    let first = plans(&vms);
    vms.reverse();
    assert_eq!(plans(&vms), first);
}
