//! Control thread of a gateway: owns the world and publishes snapshots for the traffic threads.

use std::collections::HashMap;
use std::sync::Arc;

use amaranthgw_core::{DemandShare, DomainId, GroupId, ServiceId, TargetId, TickSchedule, VmId};
use amaranthgw_fleet::gateway::{
    FleetBounds, GatewaySnapshot, GatewayWorld, HeldEvacuations, RegistryListing, RegistryNews,
    RosterReading, TargetTransition,
};
use compact_str::{CompactString, ToCompactString};
use ractor::{Actor, ActorProcessingErr, ActorRef};
use tokio::time::Instant;

use super::operators::{EvacuatedDomains, StoredConfig};
use super::peers::{PeerRegistry, RegistryKnowledge};
use super::shared::GatewayShared;
use crate::runtime::StopPhase;
use crate::telemetry::{EventLog, NodeEvent, set_admission, set_demand_share, set_held_parts};

/// Factor by which a share of room changes until it is logged again.
const NOTABLE_FACTOR: f64 = 1.5;

/// Message to the control thread.
#[derive(Debug)]
pub(super) enum ControlMessage {
    /// Runs the systems once.
    Tick,
    /// A configuration and its source.
    Config(StoredConfig, &'static str),
    /// An earlier configuration had workspaces, so keys are required.
    KeysRequired,
    /// The failure domains taken out of service, and the source of the set.
    Evacuated(EvacuatedDomains, &'static str),
    /// Evacuations that a peer holds although it doesn't read them.
    EvacuationsHeld(HeldEvacuations),
    /// A peer gateway sent a query or a reply.
    Peer(VmId),
    /// A read of the registrations of gateways.
    Roster(RosterReading),
    /// A read of the registry.
    Registry(RegistryListing),
    /// Changes of the registry that a peer told, and when it was asked.
    RegistryNews(RegistryNews, Instant),
    /// Bounds that hold for all gateways together.
    Bounds(FleetBounds),
    /// A target and its rank group.
    Grouped(TargetId, GroupId),
    /// The registry could not be read.
    RegistryFailed,
}

/// The actor of the control thread.
#[derive(Debug)]
pub(super) struct GatewayControl;

/// State of the actor.
#[derive(Debug)]
pub(super) struct ControlState {
    pub(super) world: GatewayWorld,
    pub(super) shared: Arc<GatewayShared>,
    pub(super) peer_registry: Arc<PeerRegistry>,
    pub(super) schedule: TickSchedule<GatewayWorld>,
    pub(super) log: EventLog,
    pub(super) was_ready: bool,
    /// Shares of services' room as last logged.
    pub(super) logged_shares: HashMap<ServiceId, DemandShare>,
}

impl Actor for GatewayControl {
    type Msg = ControlMessage;
    type State = ControlState;
    type Arguments = ControlState;

    async fn pre_start(
        &self,
        _myself: ActorRef<ControlMessage>,
        args: ControlState,
    ) -> Result<ControlState, ActorProcessingErr> {
        Ok(args)
    }

    async fn handle(
        &self,
        _myself: ActorRef<ControlMessage>,
        message: ControlMessage,
        state: &mut ControlState,
    ) -> Result<(), ActorProcessingErr> {
        match message {
            ControlMessage::Tick => state.tick(),
            ControlMessage::Config(config, source) => state.adopt_config(&config, source),
            ControlMessage::KeysRequired => state.require_keys(),
            ControlMessage::Evacuated(domains, source) => state.adopt_evacuated(&domains, source),
            ControlMessage::EvacuationsHeld(held) => {
                if state.world.adopt_held(held, Instant::now()) {
                    state.record_evacuated("peer");
                }
            }
            ControlMessage::Peer(vm) => state.world.record_peer(vm, Instant::now()),
            ControlMessage::Roster(reading) => state.world.adopt_roster(reading),
            ControlMessage::Registry(listing) => {
                let transitions = state.world.adopt_registry(listing, Instant::now());
                state.record_transitions(transitions, "store");
            }
            ControlMessage::RegistryNews(news, asked_at) => {
                let transitions = state.world.adopt_news(news, asked_at, Instant::now());
                state.record_transitions(transitions, "peer");
            }
            ControlMessage::Bounds(bounds) => state.world.adopt_bounds(bounds),
            ControlMessage::Grouped(target, group) => {
                state.world.adopt_group(&target, &group, Instant::now());
            }
            ControlMessage::RegistryFailed => state.world.record_registry_failure(),
        }
        state.publish();
        Ok(())
    }
}

impl ControlState {
    fn adopt_config(&mut self, config: &StoredConfig, source: &'static str) {
        let previous = self.world.routes.version;
        if !self.world.adopt_routes(Arc::clone(&config.routes)) {
            return;
        }
        self.log.record(NodeEvent::RoutesAdopted {
            version: config.routes.version,
            previous,
            routes: u64::try_from(config.routes.route_count()).unwrap_or(u64::MAX),
            unusable_rows: config.unusable_rows,
            requires_keys: self.world.routes.requires_keys,
            source,
        });
        self.peer_registry
            .set_config(config, self.world.routes.requires_keys);
    }

    fn require_keys(&mut self) {
        self.world.require_keys();
        self.peer_registry.set_requires_keys();
    }

    fn adopt_evacuated(&mut self, evacuated: &EvacuatedDomains, source: &'static str) {
        let is_changed =
            self.world
                .adopt_evacuated(evacuated.domains.clone(), evacuated.as_of, Instant::now());
        // Peers get the set if it is the latest known, even if only its revision changed.
        if self.world.evacuated_as_of == evacuated.as_of {
            self.peer_registry.set_evacuated(evacuated);
        }
        if is_changed {
            self.record_evacuated(source);
        }
    }

    /// Logs the failure domains out of service.
    fn record_evacuated(&self, source: &'static str) {
        let domains = self.world.evacuated.iter().map(DomainId::as_str);
        let domains = CompactString::from(domains.collect::<Vec<_>>().join(","));
        self.log.record(NodeEvent::DomainsOut { domains, source });
    }

    fn record_transitions(&self, transitions: Vec<TargetTransition>, source: &'static str) {
        for transition in transitions {
            let (target, state, address) = match transition {
                TargetTransition::Seen(record) => {
                    let address = record.address.to_compact_string();
                    (record.target, "seen", address)
                }
                TargetTransition::Draining(target) => {
                    (target, "draining", CompactString::default())
                }
                TargetTransition::Leaving(target) => (target, "leaving", CompactString::default()),
                TargetTransition::Outdated(target) => {
                    (target, "outdated", CompactString::default())
                }
                TargetTransition::Missing(target) => (target, "missing", CompactString::default()),
                TargetTransition::Returned(target) => {
                    (target, "returned", CompactString::default())
                }
                TargetTransition::Gone(target) => (target, "gone", CompactString::default()),
                TargetTransition::Cold(target) => (target, "cold", CompactString::default()),
            };
            self.log.record(NodeEvent::TargetShifted {
                target,
                state,
                address,
                source,
            });
        }
    }

    fn tick(&mut self) {
        if self.shared.stop.phase() > StopPhase::Serving {
            self.world.begin_stop();
        }
        self.schedule.run(&mut self.world, Instant::now());
        self.shared.memory.record_metrics();
        let held = self.shared.parts.expire(Instant::now());
        set_held_parts(held, self.shared.parts.saved_share());
        for (service, admission) in &self.shared.snapshot.load().admissions {
            set_admission(service, &admission.figures());
        }
        let transitions = self.world.take_transitions();
        self.record_transitions(transitions, "tick");
    }

    /// Exports the shares of room, and logs those that changed much since they were last logged.
    fn record_shares(&mut self, snapshot: &GatewaySnapshot) {
        for (service, &share) in &snapshot.demand_shares {
            set_demand_share(service, share);
            let previous = self.logged_shares.entry(service.clone()).or_default();
            let (less, more) = (share.min(*previous), share.max(*previous));
            if more.fraction() < less.fraction() * NOTABLE_FACTOR {
                continue;
            }
            self.log.record(NodeEvent::RoomShifted {
                service: service.clone(),
                share: share.to_compact_string(),
                previous: previous.to_compact_string(),
                gateways: snapshot.gateway_count,
            });
            *previous = share;
        }
    }

    fn publish(&mut self) {
        self.peer_registry
            .set_registry(RegistryKnowledge::new(&self.world));
        self.peer_registry
            .set_held(self.world.held_evacuations(Instant::now()));
        if self.world.is_changed {
            let previous = self.world.snapshot_gateway_count();
            let snapshot = Arc::new(self.world.snapshot(Instant::now()));
            let gateways = snapshot.gateway_count;
            if gateways != previous {
                self.log
                    .record(NodeEvent::GatewaysCounted { gateways, previous });
            }
            self.record_shares(&snapshot);
            self.shared.snapshot.store(snapshot);
            self.shared.published.notify_waiters();
        }
        let ready = self.shared.readiness().is_ok();
        if ready != self.was_ready {
            self.was_ready = ready;
            self.log.record(NodeEvent::ReadinessShifted { ready });
        }
    }
}
