//! Publication of routes, meters and budgets to the traffic threads.

use std::sync::Arc;

use amaranthgw_core::{EntityTable, ServiceId, TargetId, TickSystem};
use tokio::time::Instant;

use crate::entry::{EntryOutput, EntrySnapshot, EntryWorld, TargetRow};
use crate::membership::NodeIdentity;
use crate::routing::{RouteSnapshot, ServiceKind, ServiceRoutes, TargetRoute};

/// Publishes a new snapshot when its content may have changed.
#[derive(Debug)]
pub struct SnapshotSystem;

impl TickSystem<EntryWorld> for SnapshotSystem {
    fn name(&self) -> &'static str {
        "snapshot"
    }

    fn run(&mut self, world: &mut EntryWorld, now: Instant) {
        if !world.needs_snapshot {
            return;
        }
        world.needs_snapshot = false;
        let snapshot = EntrySnapshot {
            config: Arc::clone(&world.config),
            routes: build_routes(world, now),
            meters: Arc::clone(&world.meters),
            budgets: world.budgets.clone(),
        };
        world.outbox.push(EntryOutput::Publish(Arc::new(snapshot)));
    }
}

/// Targets of one service, collected before its routes are built.
#[derive(Debug)]
struct ServiceTargets {
    kind: ServiceKind,
    targets: Vec<TargetRoute>,
}

fn build_routes(world: &EntryWorld, now: Instant) -> RouteSnapshot {
    let mut by_service: EntityTable<ServiceId, ServiceTargets> = EntityTable::new();
    for (target, row) in world.targets.iter() {
        let empty = || ServiceTargets {
            kind: ServiceKind::Plain,
            targets: Vec::new(),
        };
        let service = by_service.get_or_insert_with(row.service.clone(), empty);
        // The last target in the table that has reported decides; before any report, `Plain` does.
        if let Some(status) = &row.status {
            service.kind = status.kind;
        }
        service
            .targets
            .push(build_route(&world.identity, target, row));
    }
    let mut services = EntityTable::new();
    for (service, row) in by_service.iter_mut() {
        let targets = std::mem::take(&mut row.targets);
        let routes = ServiceRoutes::new(row.kind, targets, &world.subset, now);
        services.insert(service.clone(), routes);
    }
    RouteSnapshot {
        change: world.config.number,
        services,
    }
}

fn build_route(identity: &NodeIdentity, target: &TargetId, row: &TargetRow) -> TargetRoute {
    TargetRoute {
        target: target.clone(),
        vm: row.vm.clone(),
        domain: row.domain.clone(),
        distance: identity.distance_to(&row.domain, &row.region),
        address: row.address,
        stage: row.stage(),
        load: row.load(),
        own_in_flight: Arc::clone(&row.own_in_flight),
    }
}
