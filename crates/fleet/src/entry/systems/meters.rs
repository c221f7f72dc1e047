//! Keeps one meter for each workspace and service that its plan may use.

use std::sync::Arc;

use amaranthgw_core::{EntityTable, TickSystem, WorkspaceId};
use tokio::time::Instant;

use crate::config::ServingState;
use crate::entry::{EntryOutput, EntryWorld, WorkspaceMeters};
use crate::limits::{LimitRow, LimitTable, ShareAmount, ShareKey, UsageMeter};

/// Rebuilds limits and meters when the configuration changes.
///
/// A new meter admits nothing: the shares come from
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
        keep_used(&mut world.limits, &planned);
        let meters = put_limits(&mut world.limits, &planned, now);
        world.meters = Arc::new(meters);
        world.are_routes_dirty = true;
        world
            .outbox
            .push(EntryOutput::ShareLimits(world.limits.clone()));
    }
}

/// What the plans of the configuration allow.
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

/// Allows nothing under limits that no plan includes any more.
///
/// Their rows stay until the next change at least, and while requests are in flight, as these
/// count should a plan include the limit again.
fn keep_used(limits: &mut LimitTable, planned: &EntityTable<ShareKey, ShareAmount>) {
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

/// Sets the planned limits and gives their meters by workspace and service.
fn put_limits(
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
