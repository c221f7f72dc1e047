//! The peers that a gateway knows, and what it tells them.

use std::collections::HashMap;
use std::net::SocketAddr;
use std::sync::{Arc, Mutex, MutexGuard, PoisonError};

use amaranthgw_core::{ConfigVersion, StoreRevision, VmId};
use amaranthgw_fleet::gateway::{
    CallNews, CallQuarantine, GatewayWorld, HeldEvacuations, PEER_TIMEOUT, RegistryLog,
};
use amaranthgw_net::{DialSettings, PooledClient};
use bytes::Bytes;
use serde_json::Value;
use tokio::time::Instant;

use super::gossip::{GossipQuery, GossipReply, PEER_CALL_TIMEOUT};
use super::operators::{EvacuatedDomains, StoredConfig};

/// A known peer and the time of the last contact.
#[derive(Debug)]
struct PeerRow {
    client: Arc<PooledClient>,
    last_contact_at: Option<Instant>,
    /// When the peer was last asked for room.
    asked_at: Option<Instant>,
}

/// What a gateway knows of the registry, as it tells peers and asks them.
#[derive(Debug, Default)]
pub(super) struct RegistryKnowledge {
    /// Revision as of which the registry is in force.
    as_of: StoreRevision,
    /// Revision after which peers are asked for changes.
    asked_after: StoreRevision,
    /// Recent changes, and when `as_of` was last known to be the current revision.
    told: Option<(Arc<RegistryLog>, Instant)>,
}

impl RegistryKnowledge {
    /// Creates what `world` knows.
    pub(super) fn new(world: &GatewayWorld) -> Self {
        Self {
            as_of: world.registry_as_of(),
            asked_after: world.registry_asked_after(),
            told: world.registry_log(),
        }
    }
}

#[derive(Debug)]
struct SharedState {
    version: ConfigVersion,
    config: Vec<u8>,
    /// Whether this or an earlier configuration had workspaces.
    requires_keys: bool,
    evacuated: EvacuatedDomains,
    held: Option<HeldEvacuations>,
    registry: RegistryKnowledge,
    peers: HashMap<SocketAddr, PeerRow>,
}

impl SharedState {
    fn row(&mut self, address: SocketAddr) -> &mut PeerRow {
        self.peers.entry(address).or_insert_with(|| PeerRow {
            client: Arc::new(PooledClient::new(
                address,
                DialSettings::new(PEER_CALL_TIMEOUT),
            )),
            last_contact_at: None,
            asked_at: None,
        })
    }
}

/// Known peers of a gateway, and the state that it shares with them.
#[derive(Debug)]
pub(super) struct PeerRegistry {
    vm: VmId,
    address: SocketAddr,
    seeds: Vec<SocketAddr>,
    state: Mutex<SharedState>,
}

impl PeerRegistry {
    /// Creates the registry of the gateway `vm`, which its peers reach at `address`.
    pub(super) fn new(vm: VmId, address: SocketAddr, seeds: Vec<SocketAddr>) -> Self {
        Self {
            vm,
            address,
            seeds,
            state: Mutex::new(SharedState {
                version: ConfigVersion::default(),
                config: Vec::new(),
                requires_keys: false,
                evacuated: EvacuatedDomains::default(),
                held: None,
                registry: RegistryKnowledge::default(),
                peers: HashMap::new(),
            }),
        }
    }

    /// Sets the configuration to share, and whether it requires keys.
    pub(super) fn set_config(&self, config: &StoredConfig, requires_keys: bool) {
        let mut state = self.state();
        state.version = config.routes.version;
        state.requires_keys = requires_keys;
        state.config.clone_from(&config.value);
    }

    /// Tells peers from now on that keys are required.
    pub(super) fn set_requires_keys(&self) {
        self.state().requires_keys = true;
    }

    /// Sets the failure domains taken out of service.
    pub(super) fn set_evacuated(&self, evacuated: &EvacuatedDomains) {
        self.state().evacuated.clone_from(evacuated);
    }

    /// Sets the evacuations that are held although they aren't read.
    pub(super) fn set_held(&self, held: Option<HeldEvacuations>) {
        self.state().held = held;
    }

    /// Sets what is known of the registry.
    pub(super) fn set_registry(&self, registry: RegistryKnowledge) {
        self.state().registry = registry;
    }

    /// Address at which peers reach this gateway.
    pub(super) const fn address(&self) -> SocketAddr {
        self.address
    }

    /// When the registry was last known to be current; `None` before the first listing.
    pub(super) fn registry_known_at(&self) -> Option<Instant> {
        let state = self.state();
        let told = state.registry.told.as_ref();
        told.map(|(_log, known_at)| *known_at)
    }

    /// Client of the peer at `address`.
    pub(super) fn client(&self, address: SocketAddr) -> Arc<PooledClient> {
        Arc::clone(&self.state().row(address).client)
    }

    fn state(&self) -> MutexGuard<'_, SharedState> {
        self.state.lock().unwrap_or_else(PoisonError::into_inner)
    }

    /// Records that the peer at `address` was heard of.
    pub(super) fn record_contact(&self, address: SocketAddr, now: Instant) {
        if address != self.address {
            self.state().row(address).last_contact_at = Some(now);
        }
    }

    /// Adds peers that another one knows.
    pub(super) fn add_peers(&self, addresses: impl IntoIterator<Item = SocketAddr>) {
        let mut state = self.state();
        for address in addresses
            .into_iter()
            .filter(|address| *address != self.address)
        {
            state.row(address);
        }
    }

    /// Removes silent peers and returns a random selection of at most `count` others.
    pub(super) fn choose_peers(&self, count: usize, now: Instant) -> Vec<Arc<PooledClient>> {
        self.add_peers(self.seeds.iter().copied());
        let mut state = self.state();
        let is_seed = |address: &SocketAddr| self.seeds.contains(address);
        state.peers.retain(|address, row| {
            let is_alive = |at: Instant| now.saturating_duration_since(at) < PEER_TIMEOUT;
            is_seed(address) || row.last_contact_at.is_none_or(is_alive)
        });
        let mut clients: Vec<_> = state
            .peers
            .values()
            .map(|row| Arc::clone(&row.client))
            .collect();
        drop(state);
        fastrand::shuffle(&mut clients);
        clients.truncate(count);
        clients
    }

    /// The `count` peers that were not asked for room for the longest time; removes silent peers.
    pub(super) fn choose_unasked(&self, count: usize, now: Instant) -> Vec<Arc<PooledClient>> {
        let clients = self.choose_peers(usize::MAX, now);
        let mut state = self.state();
        let mut chosen: Vec<_> = clients
            .into_iter()
            .map(|client| (state.row(client.address()).asked_at, client))
            .collect();
        // Stable: those that were asked at the same time stay in the random order of `choose_peers`.
        chosen.sort_by_key(|(asked_at, _client)| *asked_at);
        chosen.truncate(count);
        for (_asked_at, client) in &chosen {
            state.row(client.address()).asked_at = Some(now);
        }
        chosen
            .into_iter()
            .map(|(_asked_at, client)| client)
            .collect()
    }

    /// The query of this gateway, with `crashes` that peers should know at once and its demand.
    pub(super) fn query(
        &self,
        quarantine: &CallQuarantine,
        crashes: Option<CallNews>,
        demand: Option<Value>,
    ) -> Bytes {
        let state = self.state();
        let query = GossipQuery {
            vm: self.vm.clone(),
            address: self.address,
            version: state.version,
            registry: state.registry.asked_after,
            quarantine: quarantine.digest(),
            crashes,
            demand,
        };
        drop(state);
        serde_json::to_vec(&query).unwrap_or_default().into()
    }

    /// The reply to `query`, with `demand` as the answer to its demand report.
    pub(super) fn reply(
        &self,
        query: &GossipQuery,
        quarantine: &CallQuarantine,
        demand: Option<Value>,
    ) -> GossipReply {
        let state = self.state();
        let told = state.registry.told.as_ref();
        let registry = told.map(|(log, known_at)| {
            log.news_after(query.registry, state.registry.as_of, known_at.elapsed())
        });
        GossipReply {
            registry,
            crashes: quarantine.news_for(query.quarantine, Instant::now()),
            vm: self.vm.clone(),
            demand,
            peers: state.peers.keys().copied().collect(),
            evacuated: state.evacuated.clone(),
            held: state.held.clone(),
            requires_keys: state.requires_keys,
            config: (state.version > query.version)
                .then(|| String::from_utf8_lossy(&state.config).into_owned()),
        }
    }
}
