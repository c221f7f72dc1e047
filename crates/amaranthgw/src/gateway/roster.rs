//! Registers this gateway in the key-value service and follows the registrations of the others, which
//! also name the addresses of peers.

use std::net::SocketAddr;
use std::sync::Arc;

use amaranthgw_core::VmId;
use amaranthgw_fleet::gateway::{GatewayRoster, RosterEntry, RosterReading};
use amaranthgw_platform::Result;
use amaranthgw_platform::store::{
    GATEWAY_PREFIX, PlatformStore, ReadFreshness, gateway_entry, gateway_key,
};
use bytes::Bytes;
use ractor::ActorRef;
use serde::{Deserialize, Serialize};
use tokio::time::sleep;

use super::control::ControlMessage;
use super::feeds::{STORE_TIMEOUT, retry_delay};
use super::peers::PeerRegistry;
use crate::telemetry::{EventLog, NodeEvent, count_store_call};

/// Value of a registration.
#[derive(Debug, Serialize, Deserialize)]
struct GatewayRegistration {
    /// Address at which peers reach the gateway.
    address: SocketAddr,
}

/// Reads and renews registrations until the process ends.
pub(super) async fn follow_roster(
    store: Arc<PlatformStore>,
    vm: VmId,
    peer_registry: Arc<PeerRegistry>,
    control: ActorRef<ControlMessage>,
    log: EventLog,
) {
    let mut feed = RosterFeed {
        roster: GatewayRoster::new(vm.clone()),
        store,
        vm,
        peer_registry,
        log,
    };
    loop {
        let reading = feed.read().await;
        for entry in &reading.departed {
            feed.remove(entry).await;
        }
        // Fails only while the process stops.
        drop(control.cast(ControlMessage::Roster(reading)));
        feed.register().await;
        sleep(feed.roster.interval()).await;
    }
}

struct RosterFeed {
    roster: GatewayRoster,
    store: Arc<PlatformStore>,
    vm: VmId,
    peer_registry: Arc<PeerRegistry>,
    log: EventLog,
}

impl RosterFeed {
    /// Reads all registrations; tries again until the store answers.
    async fn read(&mut self) -> RosterReading {
        let mut failures = 0;
        loop {
            let listed = self
                .store
                .list(GATEWAY_PREFIX, self.freshness(), STORE_TIMEOUT)
                .await;
            count_store_call("list_gateways", &listed);
            if let Ok(listing) = listed {
                let entries = listing.items.iter().filter_map(gateway_entry).collect();
                let reading = self.roster.adopt(entries);
                let is_live = |vm: &VmId| reading.live.contains(vm);
                let live = listing
                    .items
                    .iter()
                    .filter(|item| gateway_entry(item).is_some_and(|entry| is_live(&entry.vm)));
                // Values of other versions of the program name no address.
                let addresses = live.filter_map(|item| {
                    let registration = serde_json::from_slice::<GatewayRegistration>(&item.value);
                    registration.ok().map(|registration| registration.address)
                });
                self.peer_registry.add_peers(addresses);
                return reading;
            }
            // Counted in the metrics only; the operator feed logs an outage of the store.
            failures += 1;
            sleep(retry_delay(failures)).await;
        }
    }

    /// Consistency of the next read. Once the roster is settled, a read that is some seconds old
    /// does, as gossip tells of new gateways sooner.
    const fn freshness(&self) -> ReadFreshness {
        if self.roster.is_settled() {
            ReadFreshness::MayBeStale
        } else {
            ReadFreshness::Linearizable
        }
    }

    /// Writes the own registration; tries again until the store acknowledges it.
    async fn register(&self) {
        let key = gateway_key(&self.vm);
        let address = self.peer_registry.address();
        let value = serde_json::to_vec(&GatewayRegistration { address }).unwrap_or_default();
        let value = Bytes::from(value);
        let mut failures = 0;
        loop {
            let written = self.store.put(&key, &value, STORE_TIMEOUT).await;
            count_store_call("register_gateway", &written);
            if written.is_ok() {
                return;
            }
            failures += 1;
            sleep(retry_delay(failures)).await;
        }
    }

    /// Removes the registration of a gateway that is gone; a later read tries again if this fails.
    async fn remove(&self, entry: &RosterEntry) {
        let key = gateway_key(&entry.vm);
        let removed: Result<_> = self.store.remove(&key, entry.written, STORE_TIMEOUT).await;
        count_store_call("remove_gateway", &removed);
        if removed.is_ok() {
            self.log.record(NodeEvent::GatewayRemoved {
                vm: entry.vm.clone(),
            });
        }
    }
}
