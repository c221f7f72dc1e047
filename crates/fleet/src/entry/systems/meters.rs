//! Limits and meters, one for each workspace and each service in the plan of the workspace.

use std::sync::Arc;

use amaranthgw_core::{EntityTable, TickSystem, WorkspaceId};
use tokio::time::Instant;

use crate::config::ServingState;
use crate::entry::{EntryOutput, EntryWorld, WorkspaceMeters};
use crate::limits::{LimitRow, LimitTable, ShareAmount, ShareKey, UsageMeter};

/// Rebuilds limits and meters when the configuration changes.
///
/// A new meter admits nothing until it is assigned a share by
/// [`ShareManager`](crate::limits::ShareManager), which receives the limits.
#[derive(Debug)]
pub struct MeterSystem;

impl TickSystem<EntryWorld> for MeterSystem {
    fn name(&self) -> &'static str {
        "meters"
    }

    fn run(&mut self, world: &mut EntryWorld, now: Instant) {
        if world.meters_change == world.config.number {
            return;
        }
        world.meters_change = world.config.number;
        let planned = planned_limits(&world.config);
        retire_unplanned(&mut world.limits, &planned);
        let meters = apply_limits(&mut world.limits, &planned, now);
        world.meters = Arc::new(meters);
        world.needs_snapshot = true;
        world
            .outbox
            .push(EntryOutput::ShareLimits(world.limits.clone()));
    }
}

/// Returns the limits that the plans of the configuration define.
fn planned_limits(config: &ServingState) -> EntityTable<ShareKey, ShareAmount> {
    let mut limits = EntityTable::new();
    for (workspace, row) in config.workspaces.iter() {
        let Some(plan) = config.plans.get(&row.plan) else {
            continue;
        };
        for (service, allowance) in plan.uses.iter() {
            let key = ShareKey::new(workspace.clone(), service.clone());
            limits.insert(key, ShareAmount::with_use(allowance));
        }
    }
    limits
}

/// Sets limits that no plan includes any more to zero and removes those that are unused.
///
/// A row stays for at least one more change and while it has requests in flight, because these
/// count against the limit if a plan includes it again.
fn retire_unplanned(limits: &mut LimitTable, planned: &EntityTable<ShareKey, ShareAmount>) {
    limits.retain(|key, row| {
        let is_used = row.meter.in_flight.used().get() > 0;
        planned.contains(key) || is_used || row.limit != ShareAmount::default()
    });
    for (key, row) in limits.iter_mut() {
        if !planned.contains(key) {
            row.limit = ShareAmount::default();
        }
    }
}

/// Applies the planned limits and returns their meters by workspace and service.
fn apply_limits(
    limits: &mut LimitTable,
    planned: &EntityTable<ShareKey, ShareAmount>,
    now: Instant,
) -> EntityTable<WorkspaceId, WorkspaceMeters> {
    let mut meters: EntityTable<WorkspaceId, WorkspaceMeters> = EntityTable::new();
    for (key, limit) in planned.iter() {
        let make = || LimitRow {
            limit: *limit,
            meter: Arc::new(UsageMeter::new(now)),
        };
        let row = limits.get_or_insert_with(key.clone(), make);
        row.limit = *limit;
        let workspace = meters.get_or_insert_with(key.workspace.clone(), WorkspaceMeters::new);
        workspace.insert(key.service.clone(), Arc::clone(&row.meter));
    }
    meters
}
