//! Tests of the gateway's state and routing decisions.

mod admission;
mod budget;
mod choice;
mod cold;
mod demand;
mod departed;
mod events;
mod fleet_budget;
mod groups;
mod parts;
mod patience;
mod quarantine;
mod quarantined_requests;
mod registry;
mod registry_news;
mod roster;
mod routes;
mod shared_read;
mod spread;
mod stop;
mod work;
mod world;

use amaranthgw_core::{MilliSpan, SlotCount, StoreRevision};
use amaranthgw_fleet::gateway::{HeartbeatMark, RegistryEntry, RegistryListing, TargetRecord};
use tokio::time::Instant;

/// Registry entry of the target `id` at `port`, written at revision `written`.
fn entry(id: &str, port: u16, written: u64) -> RegistryEntry {
    RegistryEntry {
        record: TargetRecord {
            target: id.parse().expect("target"),
            service: "desk".parse().expect("service"),
            address: ([10, 0, 0, 1], port).into(),
            domain: "domain-a".parse().expect("domain"),
            slots: SlotCount::new(4),
            is_draining: false,
            cold_left: MilliSpan::new(0),
            heartbeat: HeartbeatMark::default(),
        },
        written: StoreRevision::new(written),
    }
}

/// A listing of `entries` at revision 100.
fn listing(entries: Vec<RegistryEntry>, asked_at: Instant) -> RegistryListing {
    RegistryListing {
        entries,
        as_of: StoreRevision::new(100),
        asked_at,
    }
}
