//! The ranks of a service and the ways to them.

use std::collections::HashMap;
use std::net::SocketAddr;
use std::sync::Arc;
use std::time::Duration;

use amaranthgw_core::{ServiceId, StoreRevision};
use amaranthgw_fleet::gateway::{ExpertShape, TargetRecord};
use amaranthgw_platform::Result;
use amaranthgw_platform::config::decode_config;
use amaranthgw_platform::registry::decode_entry;
use amaranthgw_platform::store::{CONFIG_KEY, PlatformStore, REGISTRY_PREFIX, ReadFreshness};

use super::beside::RankBeside;
use super::link::{FarRank, SharedLink};
use crate::telemetry::count_store_call;

/// Longest wait for the store.
const CALL_LIMIT: Duration = Duration::from_millis(700);

/// Ways to all ranks of a service, by the address of the rank.
#[derive(Debug)]
pub(super) struct RankRoster {
    service: ServiceId,
    own: SocketAddr,
    agent_port: u16,
    links: HashMap<SocketAddr, SharedLink>,
}

impl RankRoster {
    /// Creates a roster that knows only the rank beside this process.
    pub(super) fn new(
        service: ServiceId,
        own: SocketAddr,
        agent_port: u16,
        beside: Arc<RankBeside>,
    ) -> Self {
        let links = HashMap::from([(own, beside as SharedLink)]);
        Self {
            service,
            own,
            agent_port,
            links,
        }
    }

    /// Takes the registered targets.
    pub(super) fn adopt(&mut self, records: &[TargetRecord]) {
        let ranks: Vec<SocketAddr> = records
            .iter()
            .filter(|record| record.service == self.service)
            .map(|record| record.address)
            .collect();
        self.links
            .retain(|rank, _| *rank == self.own || ranks.contains(rank));
        for rank in ranks {
            let agent = SocketAddr::new(rank.ip(), self.agent_port);
            let make = || Arc::new(FarRank::new(agent, rank)) as SharedLink;
            self.links.entry(rank).or_insert_with(make);
        }
    }

    /// The ways to the ranks, with the address of each.
    pub(super) fn links(&self) -> impl Iterator<Item = (&SocketAddr, &SharedLink)> {
        self.links.iter()
    }
}

/// The registered targets, with the revision of the store; entries that no target wrote name none.
pub(super) async fn list_ranks(
    store: &PlatformStore,
) -> Result<(Vec<TargetRecord>, StoreRevision)> {
    let listed = store
        .list(REGISTRY_PREFIX, ReadFreshness::MayBeStale, CALL_LIMIT)
        .await;
    count_store_call("list_ranks", &listed);
    let listing = listed?;
    let decoded = listing
        .items
        .iter()
        .filter_map(|item| decode_entry(item).ok());
    let records = decoded.map(|entry| entry.record).collect();
    Ok((records, listing.as_of))
}

/// Sizes of the groups of `service`, by the operators' configuration.
pub(super) async fn read_shape(
    store: &PlatformStore,
    service: &ServiceId,
) -> Result<Option<ExpertShape>> {
    let read = store.read(CONFIG_KEY, CALL_LIMIT).await;
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
