//! Synchronisation of the VM and target tables with the VM list.

use std::sync::Arc;

use amaranthgw_core::{ServiceId, SlotCount, TickSystem};
use tokio::time::Instant;

use crate::entry::{EntryWorld, ProbeState, TargetRow};
use crate::membership::VmRecord;

/// Applies a new VM list: adds, updates and removes VMs and targets.
#[derive(Debug)]
pub struct MembershipSystem;

impl TickSystem<EntryWorld> for MembershipSystem {
    fn name(&self) -> &'static str {
        "membership"
    }

    fn run(&mut self, world: &mut EntryWorld, _now: Instant) {
        let Some(records) = world.inbox.vm_list.take() else {
            return;
        };
        let vms = records
            .into_iter()
            .map(|record| (record.vm.clone(), record))
            .collect();
        if world.vms == vms {
            return;
        }
        world.vms = vms;
        world.needs_snapshot = true;
        remove_unlisted_targets(world);
        add_listed_targets(world);
    }
}

fn remove_unlisted_targets(world: &mut EntryWorld) {
    let vms = &world.vms;
    world.targets.retain(|target, row| {
        vms.get(&row.vm)
            .is_some_and(|record| record.target.as_ref() == Some(target))
    });
}

fn add_listed_targets(world: &mut EntryWorld) {
    let EntryWorld { vms, targets, .. } = world;
    for record in vms.rows() {
        let (Some(target), Some(service)) = (&record.target, &record.service) else {
            continue;
        };
        match targets.get_mut(target) {
            Some(row) if is_same_instance(row, record) => row.vm_state = record.state,
            _ => drop(targets.insert(target.clone(), new_row(record, service))),
        }
    }
}

fn is_same_instance(row: &TargetRow, record: &VmRecord) -> bool {
    row.vm == record.vm && row.address == record.address
}

fn new_row(record: &VmRecord, service: &ServiceId) -> TargetRow {
    TargetRow {
        service: service.clone(),
        vm: record.vm.clone(),
        domain: record.domain.clone(),
        region: record.region.clone(),
        address: record.address,
        vm_state: record.state,
        is_out: false,
        status: None,
        reported_at: None,
        own_at_report: SlotCount::default(),
        unreachable_since: None,
        probe: ProbeState::NeverSent,
        own_in_flight: Arc::default(),
    }
}
