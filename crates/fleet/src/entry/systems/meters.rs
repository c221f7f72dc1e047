//! Keeps one meter for each workspace and service that its plan may use.

use std::sync::Arc;

use amaranthgw_core::{EntityTable, SlotCount, TickSystem, WorkspaceId};
use tokio::time::Instant;

use crate::config::{PlanRow, UseRow};
use crate::entry::{EntryWorld, WorkspaceMeters};
use crate::limits::{MilliRate, UsageMeter};
use crate::membership::NodeRole;

/// Rebuilds the meters when the configuration or the number of entries changes.
///
/// Each entry enforces an equal part of every limit, rounded down, so that all parts together
/// never exceed it.
#[derive(Debug, Default)]
pub struct MeterSystem {
    entries: u32,
}

impl TickSystem<EntryWorld> for MeterSystem {
    fn name(&self) -> &'static str {
        "meters"
    }

    fn run(&mut self, world: &mut EntryWorld, now: Instant) {
        let entries = count_entries(world);
        let is_changed = entries != self.entries || world.meters_change != world.config.number;
        if !is_changed || entries == 0 {
            return;
        }
        self.entries = entries;
        world.meters_change = world.config.number;
        world.meters = Arc::new(make_meters(world, entries, now));
        world.are_routes_dirty = true;
    }
}

fn count_entries(world: &EntryWorld) -> u32 {
    let entries = world
        .vms
        .rows()
        .filter(|record| record.role == NodeRole::Entry)
        .count();
    u32::try_from(entries).unwrap_or(u32::MAX)
}

fn make_meters(
    world: &EntryWorld,
    entries: u32,
    now: Instant,
) -> EntityTable<WorkspaceId, WorkspaceMeters> {
    let mut meters = EntityTable::new();
    for (workspace, row) in world.config.workspaces.iter() {
        let Some(plan) = world.config.plans.get(&row.plan) else {
            continue;
        };
        let old = world.meters.get(workspace);
        meters.insert(workspace.clone(), make_workspace(plan, old, entries, now));
    }
    meters
}

/// Keeps the meters of services that stay, as their requests in flight still count.
fn make_workspace(
    plan: &PlanRow,
    old: Option<&WorkspaceMeters>,
    entries: u32,
    now: Instant,
) -> WorkspaceMeters {
    let mut meters = WorkspaceMeters::new();
    for (service, allowance) in plan.uses.iter() {
        let kept = old.and_then(|meters| meters.get(service)).map(Arc::clone);
        let meter = kept.unwrap_or_else(|| Arc::new(UsageMeter::new(now)));
        set_share(&meter, allowance, entries);
        meters.insert(service.clone(), meter);
    }
    meters
}

fn set_share(meter: &UsageMeter, allowance: &UseRow, entries: u32) {
    let rate = MilliRate::with_rate(allowance.rate).get() / u64::from(entries);
    meter.rate.set_floor(MilliRate::new(rate));
    let slots = allowance.in_flight.get() / entries;
    meter.in_flight.set_floor(SlotCount::new(slots));
}
