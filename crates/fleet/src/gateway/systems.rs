//! Systems that run over a gateway's tables each tick.

use std::time::Duration;

use amaranthgw_core::{DemandShare, ServiceId, TickSchedule, TickSystem};
use tokio::time::Instant;

use super::GatewayWorld;

/// Time after which a gateway that sent no heartbeat no longer counts as a peer.
pub const PEER_TIMEOUT: Duration = Duration::from_secs(5);

/// Creates the schedule of a gateway's systems, in execution order.
#[must_use]
pub fn gateway_schedule() -> TickSchedule<GatewayWorld> {
    TickSchedule::new()
        .with_system(ForgetPeers)
        .with_system(NoteLeaving)
        .with_system(ExpireMissing)
        .with_system(ExpireEvacuations)
        .with_system(ForgetDeparted)
        .with_system(ShareBounds)
        .with_system(DivideRoom)
}

/// Removes peers that have not been seen for [`PEER_TIMEOUT`].
#[derive(Debug)]
struct ForgetPeers;

impl TickSystem<GatewayWorld> for ForgetPeers {
    fn name(&self) -> &'static str {
        "forget_peers"
    }

    fn run(&mut self, world: &mut GatewayWorld, now: Instant) {
        let is_live = |at: &Instant| now.saturating_duration_since(*at) < PEER_TIMEOUT;
        world.peers.retain(|_, seen_at| is_live(seen_at));
    }
}

/// Requests a new snapshot when the number of gateways, by which shared limits are divided, has
/// changed.
#[derive(Debug)]
struct ShareBounds;

impl TickSystem<GatewayWorld> for ShareBounds {
    fn name(&self) -> &'static str {
        "share_bounds"
    }

    fn run(&mut self, world: &mut GatewayWorld, _now: Instant) {
        world.is_changed |= world.gateway_count() != world.snapshot_gateway_count();
    }
}

/// Requests a new snapshot when a share of a service's room shrinks, or grows by a notable part.
#[derive(Debug)]
struct DivideRoom;

/// Part of a share by which it grows before a new snapshot is made for it.
const NOTABLE_GROWTH: f64 = 0.05;

impl TickSystem<GatewayWorld> for DivideRoom {
    fn name(&self) -> &'static str {
        "divide_room"
    }

    fn run(&mut self, world: &mut GatewayWorld, now: Instant) {
        let shares = world.divide_room(now);
        let published = &world.demand_shares;
        let is_notable = |(service, share): (&ServiceId, &DemandShare)| {
            let Some(known) = published.get(service) else {
                return true;
            };
            share < known || share.fraction() > known.fraction() * (1.0 + NOTABLE_GROWTH)
        };
        let is_changed = shares.len() != published.len() || shares.iter().any(is_notable);
        world.is_changed |= is_changed;
    }
}

/// Removes targets whose registry entries have not returned after an outage.
#[derive(Debug)]
struct ExpireMissing;

impl TickSystem<GatewayWorld> for ExpireMissing {
    fn name(&self) -> &'static str {
        "expire_missing"
    }

    fn run(&mut self, world: &mut GatewayWorld, now: Instant) {
        world.expire_missing(now);
    }
}

/// Takes targets that said in an answer that they are leaving out of service.
#[derive(Debug)]
struct NoteLeaving;

impl TickSystem<GatewayWorld> for NoteLeaving {
    fn name(&self) -> &'static str {
        "note_leaving"
    }

    fn run(&mut self, world: &mut GatewayWorld, now: Instant) {
        world.note_leaving(now);
    }
}

/// Ends evacuations that were held after the key-value service came back from an older copy.
#[derive(Debug)]
struct ExpireEvacuations;

impl TickSystem<GatewayWorld> for ExpireEvacuations {
    fn name(&self) -> &'static str {
        "expire_evacuations"
    }

    fn run(&mut self, world: &mut GatewayWorld, now: Instant) {
        world.expire_evacuations(now);
    }
}

/// Forgets targets that were removed long ago and whose pauses are over.
#[derive(Debug)]
struct ForgetDeparted;

impl TickSystem<GatewayWorld> for ForgetDeparted {
    fn name(&self) -> &'static str {
        "forget_departed"
    }

    fn run(&mut self, world: &mut GatewayWorld, now: Instant) {
        world.forget_departed(now);
    }
}
