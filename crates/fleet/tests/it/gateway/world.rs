//! Control state of a gateway: registry, configuration, failure domains and peers.

use std::collections::BTreeSet;
use std::sync::Arc;
use std::time::Duration;

use amaranthgw_core::{
    ConfigVersion, DomainId, MilliSpan, RequestRate, StoreEra, StoreRevision, TargetId,
    TickSchedule,
};
use amaranthgw_fleet::gateway::{
    ColdShare, FleetBounds, GatewayWorld, HeldEvacuations, RegistryEntry, RosterReading,
    RouteTable, ServiceRow, TargetTransition, gateway_schedule,
};
use tokio::time::Instant;

use super::{entry, listing};

pub(super) const RETURN_TIME: Duration = Duration::from_secs(2);

pub(super) fn world() -> GatewayWorld {
    let bounds = FleetBounds {
        retry_ratio: 0.2,
        retry_slack: 96.0,
        retry_window: Duration::from_secs(10),
        return_time: RETURN_TIME,
    };
    GatewayWorld::new("domain-a".parse().expect("domain"), bounds)
}

fn settled_roster(others: &[&str]) -> RosterReading {
    RosterReading {
        live: others.iter().map(|vm| vm.parse().expect("vm")).collect(),
        is_settled: true,
        ..RosterReading::default()
    }
}

pub(super) fn routed_targets(world: &mut GatewayWorld, now: Instant) -> Vec<String> {
    let snapshot = world.snapshot(now);
    let targets = snapshot.targets.values().flatten();
    let mut names: Vec<_> = targets
        .map(|target| target.record.target.to_string())
        .collect();
    names.sort();
    names
}

#[test]
fn adopt_registry_missing_is_gone() {
    let (mut world, now) = (world(), Instant::now());
    world.adopt_registry(listing(vec![entry("a", 1, 1), entry("b", 2, 2)], now), now);
    let transitions = world.adopt_registry(listing(vec![entry("a", 1, 3)], now), now);
    assert_eq!(
        transitions,
        [TargetTransition::Gone("b".parse().expect("target"))]
    );
    assert_eq!(routed_targets(&mut world, now), ["a"]);
}

#[test]
fn adopt_registry_newest_at_address() {
    let (mut world, now) = (world(), Instant::now());
    world.adopt_registry(listing(vec![entry("dead", 1, 4)], now), now);
    let entries: Vec<RegistryEntry> = vec![entry("live", 1, 7), entry("dead", 1, 4)];
    world.adopt_registry(listing(entries, now), now);
    assert_eq!(routed_targets(&mut world, now), ["live"]);
}

#[test]
fn adopt_registry_draining() {
    let (mut world, now) = (world(), Instant::now());
    world.adopt_registry(listing(vec![entry("a", 1, 1)], now), now);
    let mut leaving = entry("a", 1, 2);
    leaving.record.is_draining = true;
    let transitions = world.adopt_registry(listing(vec![leaving], now), now);
    assert_eq!(
        transitions,
        [TargetTransition::Draining("a".parse().expect("target"))]
    );
    assert!(routed_targets(&mut world, now).is_empty());
}

#[test]
fn adopt_routes_never_back() {
    let mut world = world();
    let routes = |version| Arc::new(RouteTable::new(ConfigVersion::new(version)));
    assert!(world.adopt_routes(routes(7)));
    assert!(!world.adopt_routes(routes(7)));
    assert!(!world.adopt_routes(routes(3)));
    assert_eq!(world.routes.version, ConfigVersion::new(7));
}

// Guards against ROUTE: a version without workspaces let everybody in.
#[test]
fn adopt_routes_keys_stay_required() {
    let mut world = world();
    let routes = |version| RouteTable::new(ConfigVersion::new(version));
    world.adopt_routes(Arc::new(routes(1)));
    assert!(!world.routes.requires_keys);
    let mut with_workspaces = routes(2);
    with_workspaces.require_keys();
    world.adopt_routes(Arc::new(with_workspaces));
    assert!(world.adopt_routes(Arc::new(routes(3))));
    assert!(world.routes.requires_keys);
}

// What is known of earlier versions holds for the configuration in force and for later ones.
#[test]
fn require_keys_before_and_after_config() {
    let mut world = world();
    let routes = |version| Arc::new(RouteTable::new(ConfigVersion::new(version)));
    world.require_keys();
    assert_eq!(world.routes.version, ConfigVersion::default());
    world.adopt_routes(routes(1));
    assert!(world.routes.requires_keys);
}

#[test]
fn adopt_evacuated_never_back() {
    let (mut world, now) = (world(), Instant::now());
    world.adopt_registry(listing(vec![entry("a", 1, 1)], now), now);
    let out = BTreeSet::from(["domain-a".parse().expect("domain")]);
    assert!(world.adopt_evacuated(out, StoreRevision::new(9), now));
    assert!(routed_targets(&mut world, now).is_empty());
    assert!(!world.adopt_evacuated(BTreeSet::new(), StoreRevision::new(8), now));
    assert!(routed_targets(&mut world, now).is_empty());
    assert!(world.adopt_evacuated(BTreeSet::new(), StoreRevision::new(10), now));
    assert_eq!(routed_targets(&mut world, now), ["a"]);
}

// Idle targets of a domain that came back were flooded before their entries said that they are cold.
#[test]
fn adopt_evacuated_returned_targets_limited() {
    let (mut world, now) = (world(), Instant::now());
    let mut routes = RouteTable::new(ConfigVersion::new(1));
    let service = ServiceRow {
        cold_rate: RequestRate::new(28),
        cold_time: MilliSpan::new(3_000),
        experts: None,
        engine: None,
    };
    routes.add_service("desk".parse().expect("service"), service);
    world.adopt_routes(Arc::new(routes));
    let mut elsewhere = entry("b", 2, 2);
    elsewhere.record.domain = "domain-b".parse().expect("domain");
    let entries = vec![entry("a", 1, 1), elsewhere];
    world.adopt_registry(listing(entries.clone(), now), now);
    let out = BTreeSet::from(["domain-a".parse().expect("domain")]);
    world.adopt_evacuated(out, StoreRevision::new(9), now);
    let returned = now + Duration::from_mins(1);
    world.adopt_evacuated(BTreeSet::new(), StoreRevision::new(10), returned);
    // An entry from before the return doesn't show that the target is warm.
    world.adopt_registry(listing(entries, returned), returned);
    let limited = |world: &mut GatewayWorld, at| {
        let snapshot = world.snapshot(at);
        let targets = snapshot.targets.values().flatten();
        let limited = targets.filter(|target| target.is_limited(at));
        limited
            .map(|target| target.record.target.to_string())
            .collect::<Vec<_>>()
    };
    assert_eq!(limited(&mut world, returned), ["a"]);
    let later = returned + Duration::from_secs(3);
    assert!(limited(&mut world, later).is_empty());
}

#[test]
fn gateway_schedule_forgets_peers() {
    let (mut world, now) = (world(), Instant::now());
    let mut schedule: TickSchedule<GatewayWorld> = gateway_schedule();
    world.adopt_roster(settled_roster(&[]));
    for vm in ["gateway-1", "gateway-2", "gateway-3"] {
        world.record_peer(vm.parse().expect("vm"), now);
    }
    schedule.run(&mut world, now);
    assert_eq!(world.snapshot(now).gateway_count, 4);
    let later = now + Duration::from_secs(6);
    world.record_peer("gateway-1".parse().expect("vm"), later);
    schedule.run(&mut world, later);
    assert!(world.is_changed);
    assert_eq!(world.snapshot(later).gateway_count, 2);
}

#[test]
fn adopt_roster_counts_unregistered_peers() {
    let (mut world, now) = (world(), Instant::now());
    world.adopt_roster(settled_roster(&["gateway-1", "gateway-2"]));
    for vm in ["gateway-2", "gateway-3"] {
        world.record_peer(vm.parse().expect("vm"), now);
    }
    assert_eq!(world.snapshot(now).gateway_count, 4);
}

// Shares were too large after a restart: one peer heard of replaced the cautious first count.
#[test]
fn gateway_count_first_peer_heard() {
    let (mut world, now) = (world(), Instant::now());
    let before = world.gateway_count();
    world.record_peer("gateway-1".parse().expect("vm"), now);
    assert_eq!(world.gateway_count(), before);
}

#[test]
fn cold_share_unsettled_roster() {
    let (mut world, now) = (world(), Instant::now());
    let rate = RequestRate::new(28);
    assert_eq!(world.snapshot(now).cold_share(rate), None);
    world.adopt_roster(settled_roster(&[]));
    let share = world.snapshot(now).cold_share(rate);
    assert_eq!(share, Some(ColdShare::new(rate, 1)));
}

#[test]
fn adopt_registry_cold_once() {
    let (mut world, now) = (world(), Instant::now());
    world.adopt_registry(listing(vec![entry("a", 1, 1)], now), now);
    let mut cold = entry("a", 1, 2);
    cold.record.cold_left = MilliSpan::new(3_000);
    let transitions = world.adopt_registry(listing(vec![cold.clone()], now), now);
    let target = "a".parse().expect("target");
    assert_eq!(transitions, [TargetTransition::Cold(target)]);
    assert!(
        world
            .adopt_registry(listing(vec![cold], now), now)
            .is_empty()
    );
}

#[test]
fn adopt_registry_entry_age() {
    let (mut world, now) = (world(), Instant::now());
    world.adopt_registry(listing(vec![entry("a", 1, 4)], now), now);
    let age = |world: &GatewayWorld, at| {
        let target: TargetId = "a".parse().expect("target");
        let row = world.targets.get(&target).expect("row");
        row.gauge.entry_age(at)
    };
    let later = now + Duration::from_secs(2);
    world.adopt_registry(listing(vec![entry("a", 1, 4)], later), later);
    let (written, since_read) = age(&world, later);
    assert_eq!(written, StoreRevision::new(4));
    assert_eq!(since_read, Duration::from_secs(2));
    world.adopt_registry(listing(vec![entry("a", 1, 9)], later), later);
    let (written, since_read) = age(&world, later);
    assert_eq!(written, StoreRevision::new(9));
    assert_eq!(since_read, Duration::ZERO);
}

fn domains(names: &[&str]) -> BTreeSet<DomainId> {
    let domains = names.iter().map(|name| name.parse().expect("domain"));
    domains.collect()
}

fn in_era(era: u64, number: u64) -> StoreRevision {
    StoreRevision::in_era(StoreEra::new(era), number)
}

/// What a gateway tells peers that holds `domain-a` since the store has come back in era 1.
fn held_by_peer(now: Instant) -> HeldEvacuations {
    let mut peer = world();
    peer.adopt_evacuated(domains(&["domain-a"]), in_era(0, 9), now);
    peer.adopt_evacuated(domains(&[]), in_era(1, 5), now);
    peer.held_evacuations(now).expect("held evacuations")
}

// Guards against EVAC: a gateway that started after the store's return had read only the copy.
#[test]
fn adopt_held_of_peer() {
    let (mut world, now) = (world(), Instant::now());
    world.adopt_evacuated(domains(&[]), in_era(1, 5), now);
    assert!(world.adopt_held(held_by_peer(now), now));
    assert_eq!(world.evacuated, domains(&["domain-a"]));
    // It ends like that of the peer, unless operators write it again.
    let later = now + Duration::from_secs(11);
    gateway_schedule().run(&mut world, later);
    assert_eq!(world.evacuated, domains(&[]));
    assert!(world.held_evacuations(later).is_none());
}

#[test]
fn adopt_held_taken_back_since() {
    let (mut world, now) = (world(), Instant::now());
    world.adopt_evacuated(domains(&["domain-a"]), in_era(1, 5), now);
    world.adopt_evacuated(domains(&[]), in_era(1, 6), now);
    assert!(!world.adopt_held(held_by_peer(now), now));
    assert_eq!(world.evacuated, domains(&[]));
}

// A gateway that has not read the store since its return still has what it knew.
#[test]
fn adopt_held_of_other_era() {
    let (mut world, now) = (world(), Instant::now());
    world.adopt_evacuated(domains(&["domain-b"]), in_era(0, 9), now);
    assert!(!world.adopt_held(held_by_peer(now), now));
    assert_eq!(world.evacuated, domains(&["domain-b"]));
}
