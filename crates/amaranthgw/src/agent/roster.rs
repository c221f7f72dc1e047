//! The registered ranks of a service, with a link to each.

use std::collections::HashMap;
use std::net::SocketAddr;
use std::sync::Arc;
use std::time::Duration;

use amaranthgw_core::{GroupId, ServiceId, StoreRevision};
use amaranthgw_fleet::gateway::{ExpertShape, TargetRecord};
use amaranthgw_platform::Result;
use amaranthgw_platform::config::decode_config;
use amaranthgw_platform::registry::decode_entry;
use amaranthgw_platform::store::{
    CONFIG_KEY, PlatformStore, REGISTRY_PREFIX, ReadFreshness, StoreItem, coordinator_key,
};

use super::link::{RemoteRank, SharedLink};
use super::local_rank::LocalRank;
use super::relay::AgentRelay;
use crate::telemetry::count_store_call;

/// Time limit of one store call.
const STORE_TIMEOUT: Duration = Duration::from_millis(700);

/// Links to all ranks of a service, by the address of the rank.
#[derive(Debug)]
pub(super) struct RankRoster {
    service: ServiceId,
    local_address: SocketAddr,
    relay: Arc<AgentRelay>,
    links: HashMap<SocketAddr, SharedLink>,
}

impl RankRoster {
    /// Creates a roster with only the rank on this VM.
    pub(super) fn new(
        service: ServiceId,
        relay: Arc<AgentRelay>,
        local_rank: Arc<LocalRank>,
    ) -> Self {
        let local_address = local_rank.address();
        let links = HashMap::from([(local_address, local_rank as SharedLink)]);
        Self {
            service,
            local_address,
            relay,
            links,
        }
    }

    /// Keeps the local rank and the registered ranks of the service, with the links that exist, and
    /// adds links to new ranks.
    pub(super) fn adopt(&mut self, records: &[TargetRecord]) {
        let ranks: Vec<SocketAddr> = records
            .iter()
            .filter(|record| record.service == self.service)
            .map(|record| record.address)
            .collect();
        self.links
            .retain(|rank, _| *rank == self.local_address || ranks.contains(rank));
        for rank in ranks {
            let make = || Arc::new(RemoteRank::new(Arc::clone(&self.relay), rank)) as SharedLink;
            self.links.entry(rank).or_insert_with(make);
        }
    }

    /// Address of the rank on this VM.
    pub(super) const fn local_address(&self) -> SocketAddr {
        self.local_address
    }

    /// Client of the other agents.
    pub(super) const fn relay(&self) -> &Arc<AgentRelay> {
        &self.relay
    }

    /// The address of each rank and the link to it.
    pub(super) fn links(&self) -> impl Iterator<Item = (&SocketAddr, &SharedLink)> {
        self.links.iter()
    }
}

/// Reads the registered targets; undecodable entries are skipped.
pub(super) async fn list_targets(store: &PlatformStore) -> Result<Vec<TargetRecord>> {
    let listed = store
        .list(REGISTRY_PREFIX, ReadFreshness::MayBeStale, STORE_TIMEOUT)
        .await;
    count_store_call("list_ranks", &listed);
    let listing = listed?;
    let decoded = listing
        .items
        .iter()
        .filter_map(|item| decode_entry(item).ok());
    Ok(decoded.map(|entry| entry.record).collect())
}

/// Reads the key of a coordinator's lease; returns a revision as of which it was last written at `written`, if it
/// was.
pub(super) async fn confirm_key(
    store: &PlatformStore,
    group: &GroupId,
    written: StoreRevision,
) -> Option<StoreRevision> {
    let key = coordinator_key(group.as_str());
    let listed = store
        .list(&key, ReadFreshness::MayBeStale, STORE_TIMEOUT)
        .await;
    count_store_call("confirm_lease", &listed);
    let listing = listed.ok()?;
    let is_held = |item: &StoreItem| item.key == key && item.revision == written;
    listing.items.iter().any(is_held).then_some(listing.as_of)
}

/// Reads the expert shape of `service` from the operators' configuration.
pub(super) async fn read_shape(
    store: &PlatformStore,
    service: &ServiceId,
) -> Result<Option<ExpertShape>> {
    let read = store.read(CONFIG_KEY, STORE_TIMEOUT).await;
    count_store_call("read_config", &read);
    let Some(item) = read? else {
        return Ok(None);
    };
    let decoded = decode_config(&item.value)?;
    Ok(decoded
        .routes
        .services
        .get(service)
        .and_then(|row| row.experts))
}
