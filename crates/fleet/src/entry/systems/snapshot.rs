//! Publishes the routes to the traffic threads.

use std::sync::Arc;

use amaranthgw_core::{EntityTable, ServiceId, TargetId, TickSystem};
use tokio::time::Instant;

use crate::entry::{EntryOutput, EntryWorld, TargetRow};
use crate::membership::NodeIdentity;
use crate::routing::{RouteSnapshot, ServiceKind, ServiceRoutes, TargetRoute};

/// Makes a new route snapshot when a row that it shows has changed.
#[derive(Debug)]
pub struct SnapshotSystem;

impl TickSystem<EntryWorld> for SnapshotSystem {
    fn name(&self) -> &'static str {
        "snapshot"
    }

    fn run(&mut self, world: &mut EntryWorld, _now: Instant) {
        if !world.are_routes_dirty {
            return;
        }
        world.are_routes_dirty = false;
        let snapshot = make_snapshot(world);
        world
            .outbox
            .push(EntryOutput::PublishRoutes(Arc::new(snapshot)));
    }
}

fn make_snapshot(world: &EntryWorld) -> RouteSnapshot {
    let mut services: EntityTable<ServiceId, ServiceRoutes> = EntityTable::new();
    for (target, row) in world.targets.iter() {
        let routes = services.get_or_insert_with(row.service.clone(), || ServiceRoutes {
            kind: ServiceKind::Plain,
            targets: Vec::new(),
        });
        if let Some(status) = &row.status {
            routes.kind = status.kind;
        }
        routes
            .targets
            .push(make_route(&world.identity, target, row));
    }
    for (_, routes) in services.iter_mut() {
        routes.targets.sort_by_key(|route| route.distance);
    }
    RouteSnapshot {
        change: world.config.number,
        services,
    }
}

fn make_route(identity: &NodeIdentity, target: &TargetId, row: &TargetRow) -> TargetRoute {
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
