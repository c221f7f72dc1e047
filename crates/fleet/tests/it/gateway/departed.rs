//! Targets that left, and old heartbeats that the store executes late.

use std::sync::Arc;
use std::time::Duration;

use amaranthgw_core::{
    HeartbeatNumber, MilliSpan, StartMark, StoreEra, StoreRevision, TargetId, TickSchedule,
};
use amaranthgw_fleet::gateway::{
    GatewayWorld, HeartbeatMark, RegistryEntry, RegistryListing, TargetTransition, gateway_schedule,
};
use proptest::prelude::*;
use tokio::time::Instant;
use yare::parameterized;

use super::entry;
use super::world::{routed_targets, world};

/// Time after which a removed target is forgotten.
const LONG_TIME: Duration = Duration::from_secs(61);

/// Entry of the target `a`, written by heartbeat `number` of its start `born` and executed at `revision`.
fn heartbeat(born: u64, number: u64, revision: u64) -> RegistryEntry {
    let mut entry = entry("a", 1, revision);
    entry.record.heartbeat = HeartbeatMark {
        born: Some(StartMark::new(born)),
        number: HeartbeatNumber::new(number),
    };
    entry
}

fn draining(mut entry: RegistryEntry) -> RegistryEntry {
    entry.record.is_draining = true;
    entry
}

fn list(
    world: &mut GatewayWorld,
    entries: Vec<RegistryEntry>,
    as_of: u64,
    now: Instant,
) -> Vec<TargetTransition> {
    let listing = RegistryListing {
        entries,
        as_of: StoreRevision::new(as_of),
        asked_at: now,
    };
    world.adopt_registry(listing, now)
}

fn tick(world: &mut GatewayWorld, now: Instant) {
    let mut schedule: TickSchedule<GatewayWorld> = gateway_schedule();
    schedule.run(world, now);
    world.take_transitions();
}

/// Lets the target `a` say in an answer that it is leaving.
fn say_leaving(world: &mut GatewayWorld, now: Instant) {
    let target: TargetId = "a".parse().expect("target");
    let row = world.targets.get(&target).expect("row");
    row.gauge.record_leaving(true);
    tick(world, now);
}

/// Tells `peer` of leaving targets; `world` knows of no change of the registry that it doesn't know.
fn tell(world: &GatewayWorld, peer: &mut GatewayWorld, now: Instant) {
    let (log, _known_at) = world.registry_log().expect("log");
    let told = log.news_after(
        peer.registry_as_of(),
        world.registry_as_of(),
        Duration::ZERO,
    );
    assert!(told.changes.is_empty());
    peer.adopt_news(told, now, now);
}

/// A world that has read heartbeat 3 of the start 5 of the target `a`.
fn listed_world() -> (GatewayWorld, Instant) {
    let (mut world, now) = (world(), Instant::now());
    list(&mut world, vec![heartbeat(5, 3, 30)], 30, now);
    (world, now)
}

// Guards against DRAIN: the late heartbeat of a target that had said that it leaves brought it back.
#[parameterized(
    older = { 2 },
    same = { 3 },
    newer = { 4 },
)]
fn adopt_registry_late_heartbeat_of_leaver(number: u64) {
    let (mut world, now) = listed_world();
    say_leaving(&mut world, now);
    list(&mut world, Vec::new(), 40, now);
    let later = now + Duration::from_secs(6);
    tick(&mut world, later);
    list(&mut world, vec![heartbeat(5, number, 50)], 50, later);
    assert!(routed_targets(&mut world, later).is_empty());
    // The target starts again.
    list(&mut world, vec![heartbeat(6, 1, 60)], 60, later);
    assert_eq!(routed_targets(&mut world, later), ["a"]);
}

// Guards against DRAIN: an entry that is still there when the target says that it leaves, or is written
// again by the same start.
#[test]
fn adopt_registry_leaver_still_listed() {
    let (mut world, now) = listed_world();
    say_leaving(&mut world, now);
    for (number, revision) in [(3, 30), (4, 40), (5, 50)] {
        let later = now + Duration::from_secs(number);
        list(
            &mut world,
            vec![heartbeat(5, number, revision)],
            revision,
            later,
        );
        assert!(routed_targets(&mut world, later).is_empty());
    }
    list(&mut world, vec![heartbeat(6, 1, 60)], 60, now);
    assert_eq!(routed_targets(&mut world, now), ["a"]);
}

// Guards against DRAIN: an answer that said that its target leaves arrived after the target's entry was gone, and
// the entry came back with an older copy of the key-value service.
#[test]
fn note_leaving_of_removed_target() {
    let (mut world, now) = listed_world();
    let target: TargetId = "a".parse().expect("target");
    let gauge = Arc::clone(&world.targets.get(&target).expect("row").gauge);
    list(&mut world, Vec::new(), 40, now);
    gauge.record_leaving(true);
    tick(&mut world, now);
    let mut copied = heartbeat(5, 3, 30);
    copied.written = StoreRevision::in_era(StoreEra::new(1), 30);
    let listing = RegistryListing {
        entries: vec![copied],
        as_of: StoreRevision::in_era(StoreEra::new(1), 31),
        asked_at: now,
    };
    world.adopt_registry(listing, now);
    assert!(routed_targets(&mut world, now).is_empty());
    // Peers that had no such answer learn of it.
    let mut peer = self::world();
    list(&mut peer, vec![heartbeat(5, 3, 30)], 30, now);
    let (log, _known_at) = world.registry_log().expect("log");
    let told = log.news_after(
        peer.registry_as_of(),
        world.registry_as_of(),
        Duration::ZERO,
    );
    peer.adopt_news(told, now, now);
    assert!(routed_targets(&mut peer, now).is_empty());
}

#[test]
fn adopt_registry_late_heartbeat_of_removed() {
    let (mut world, now) = listed_world();
    list(&mut world, Vec::new(), 40, now);
    list(&mut world, vec![heartbeat(5, 2, 50)], 50, now);
    assert!(routed_targets(&mut world, now).is_empty());
    // The entry had lapsed; the target lives and writes it again.
    list(&mut world, vec![heartbeat(5, 9, 60)], 60, now);
    assert_eq!(routed_targets(&mut world, now), ["a"]);
}

// Guards against DRAIN: a late heartbeat from before turned a draining target ready again.
#[test]
fn adopt_registry_late_heartbeat_of_draining() {
    let (mut world, now) = listed_world();
    list(&mut world, vec![draining(heartbeat(5, 4, 40))], 40, now);
    let late = || vec![heartbeat(5, 2, 50)];
    let outdated = TargetTransition::Outdated("a".parse().expect("target"));
    assert_eq!(list(&mut world, late(), 50, now), [outdated]);
    assert!(list(&mut world, late(), 51, now).is_empty());
    assert!(routed_targets(&mut world, now).is_empty());
}

// Guards against DRAIN: the late heartbeat of an earlier start turned a draining target ready again, or brought
// back one that had left.
#[parameterized(
    drains = { true, false },
    drains_until_removed = { true, true },
    gone = { false, true },
)]
fn adopt_registry_late_heartbeat_of_earlier_start(is_draining: bool, is_removed: bool) {
    let (mut world, now) = listed_world();
    let restarted = heartbeat(7, 1, 40);
    let restarted = if is_draining {
        draining(restarted)
    } else {
        restarted
    };
    list(&mut world, vec![restarted], 40, now);
    if is_removed {
        list(&mut world, Vec::new(), 45, now);
    }
    let outdated = TargetTransition::Outdated("a".parse().expect("target"));
    let late = || vec![heartbeat(5, 9, 50)];
    assert_eq!(list(&mut world, late(), 50, now), [outdated]);
    assert!(routed_targets(&mut world, now).is_empty());
    // The entry stays as it is, as the target writes it only when more than the number has changed.
    let later = now + LONG_TIME;
    tick(&mut world, later);
    list(&mut world, late(), 51, later);
    assert!(routed_targets(&mut world, later).is_empty());
}

// Guards against FAILBACK: the late heartbeat of an earlier start hid that the target is cold.
#[test]
fn adopt_registry_late_heartbeat_hides_no_cold_target() {
    let (mut world, now) = listed_world();
    let mut restarted = heartbeat(7, 1, 40);
    restarted.record.cold_left = MilliSpan::new(3_000);
    list(&mut world, vec![restarted], 40, now);
    list(&mut world, vec![heartbeat(5, 9, 50)], 50, now);
    let target: TargetId = "a".parse().expect("target");
    let row = world.targets.get(&target).expect("row");
    assert_eq!(row.cold_until, now + Duration::from_secs(3));
}

// A target whose clock was set back between its starts isn't taken for its own past for ever.
#[test]
fn adopt_registry_start_after_clock_set_back() {
    let (mut world, now) = listed_world();
    list(&mut world, vec![draining(heartbeat(5, 4, 40))], 40, now);
    let later = now + LONG_TIME;
    list(&mut world, vec![heartbeat(4, 1, 50)], 50, later);
    assert_eq!(routed_targets(&mut world, later), ["a"]);
}

// Guards against DRAIN: news of an earlier start that left replaced what was known of a later one.
#[test]
fn adopt_news_leaver_of_earlier_start() {
    let (mut peer, now) = listed_world();
    say_leaving(&mut peer, now);
    list(&mut peer, Vec::new(), 35, now);
    let (mut world, _) = listed_world();
    list(&mut world, vec![heartbeat(7, 1, 40)], 40, now);
    say_leaving(&mut world, now);
    list(&mut world, Vec::new(), 45, now);
    tell(&peer, &mut world, now);
    list(&mut world, vec![heartbeat(7, 1, 50)], 50, now);
    assert!(routed_targets(&mut world, now).is_empty());
}

// Guards against DRAIN: a gateway that had read only the late heartbeat of an earlier start didn't believe that
// the target leaves.
#[test]
fn adopt_news_leaver_of_later_start() {
    let (mut peer, now) = listed_world();
    list(&mut peer, vec![heartbeat(7, 1, 40)], 40, now);
    say_leaving(&mut peer, now);
    let mut world = world();
    let late = || vec![heartbeat(5, 9, 50)];
    list(&mut world, late(), 50, now);
    tell(&peer, &mut world, now);
    assert!(routed_targets(&mut world, now).is_empty());
    list(&mut world, late(), 51, now);
    assert!(routed_targets(&mut world, now).is_empty());
}

// Guards against DRAIN: gateways that had read only the late heartbeat of a target used it as it had been, although
// others knew better.
#[parameterized(
    draining = { true, false },
    gone = { false, true },
)]
fn adopt_news_of_outdated_entry(drains: bool, is_removed: bool) {
    let (mut peer, now) = listed_world();
    let mut known = heartbeat(7, 1, 40);
    known.record.is_draining = drains;
    list(&mut peer, vec![known], 40, now);
    if is_removed {
        list(&mut peer, Vec::new(), 45, now);
    }
    let late = || vec![heartbeat(5, 9, 50)];
    list(&mut peer, late(), 50, now);
    let mut world = world();
    list(&mut world, late(), 50, now);
    assert_eq!(routed_targets(&mut world, now), ["a"]);
    tell(&peer, &mut world, now);
    assert!(routed_targets(&mut world, now).is_empty());
    list(&mut world, late(), 51, now);
    assert!(routed_targets(&mut world, now).is_empty());
    // A start that nobody has known yet.
    list(&mut world, vec![heartbeat(8, 1, 60)], 60, now);
    assert_eq!(routed_targets(&mut world, now), ["a"]);
}

#[test]
fn adopt_news_of_outdated_entry_before_it_is_read() {
    let (mut peer, now) = listed_world();
    list(&mut peer, vec![heartbeat(7, 1, 40)], 40, now);
    list(&mut peer, Vec::new(), 45, now);
    let mut world = world();
    list(&mut world, Vec::new(), 45, now);
    list(&mut peer, vec![heartbeat(5, 9, 50)], 50, now);
    tell(&peer, &mut world, now);
    list(&mut world, vec![heartbeat(5, 9, 50)], 50, now);
    assert!(routed_targets(&mut world, now).is_empty());
}

// Guards against DRAIN: a target that had said that it leaves long before its late heartbeat was executed.
#[test]
fn adopt_news_of_leaver_with_late_heartbeat() {
    let (mut peer, now) = listed_world();
    say_leaving(&mut peer, now);
    list(&mut peer, Vec::new(), 40, now);
    let later = now + Duration::from_secs(20);
    tick(&mut peer, later);
    let late = || vec![heartbeat(5, 9, 50)];
    list(&mut peer, late(), 50, later);
    let mut world = world();
    list(&mut world, late(), 50, later);
    tell(&peer, &mut world, later);
    assert!(routed_targets(&mut world, later).is_empty());
}

// Guards against FAILBACK: what others know of a target that is cold, for as long as it still is.
#[test]
fn adopt_news_of_outdated_entry_cold() {
    let (mut peer, now) = listed_world();
    let mut restarted = heartbeat(7, 1, 40);
    restarted.record.cold_left = MilliSpan::new(3_000);
    list(&mut peer, vec![restarted], 40, now);
    let later = now + Duration::from_secs(1);
    list(&mut peer, vec![heartbeat(5, 9, 50)], 50, later);
    let mut world = world();
    list(&mut world, vec![heartbeat(5, 9, 50)], 50, later);
    tell(&peer, &mut world, later);
    let target: TargetId = "a".parse().expect("target");
    let row = world.targets.get(&target).expect("row");
    assert_eq!(row.cold_until, now + Duration::from_secs(3));
}

#[test]
fn adopt_registry_late_heartbeat_hides_none() {
    let (mut world, now) = listed_world();
    list(&mut world, Vec::new(), 40, now);
    let successor = entry("b", 1, 45);
    let entries = vec![successor, heartbeat(5, 2, 50)];
    list(&mut world, entries, 50, now);
    assert_eq!(routed_targets(&mut world, now), ["b"]);
}

#[test]
fn adopt_registry_ready_target_kept() {
    let (mut world, now) = listed_world();
    list(&mut world, vec![heartbeat(5, 2, 50)], 50, now);
    assert_eq!(routed_targets(&mut world, now), ["a"]);
}

// Guards against DRAIN: a peer that never got an answer of the leaving target knows as much as the gateway
// that did, whatever it has read meanwhile.
#[parameterized(
    listed = { true, false },
    removed = { true, true },
    unknown = { false, true },
)]
fn adopt_news_left_target(is_known: bool, is_removed: bool) {
    let mut peer = world();
    let (mut world, now) = listed_world();
    if is_known {
        list(&mut peer, vec![heartbeat(5, 3, 30)], 30, now);
    }
    if is_removed {
        list(&mut peer, Vec::new(), 40, now);
    }
    say_leaving(&mut world, now);
    tell(&world, &mut peer, now);
    assert!(routed_targets(&mut peer, now).is_empty());
    list(&mut peer, vec![heartbeat(5, 4, 50)], 50, now);
    assert!(routed_targets(&mut peer, now).is_empty());
}

#[test]
fn forget_departed_after_long_time() {
    let (mut world, now) = listed_world();
    list(&mut world, Vec::new(), 40, now);
    let later = now + LONG_TIME;
    tick(&mut world, later);
    list(&mut world, vec![heartbeat(5, 2, 50)], 50, later);
    assert_eq!(routed_targets(&mut world, later), ["a"]);
}

/// Whether requests to the target `a` are limited as if it were cold.
fn is_limited(world: &mut GatewayWorld, now: Instant) -> bool {
    let snapshot = world.snapshot(now);
    let mut targets = snapshot.targets.values().flatten();
    targets.next().expect("target").is_limited(now)
}

// Guards against FAILBACK: a target that has been down may be cold before its entry says so.
#[test]
fn record_down_limits_target() {
    const COLD_TIME: Duration = Duration::from_secs(3);
    let (mut world, now) = listed_world();
    let target: TargetId = "a".parse().expect("target");
    world
        .targets
        .get(&target)
        .expect("row")
        .gauge
        .record_down(COLD_TIME, now);
    assert!(is_limited(&mut world, now + Duration::from_secs(2)));
    assert!(!is_limited(&mut world, now + COLD_TIME));
    // The entry of the new start tells how cold it is.
    list(&mut world, vec![heartbeat(6, 1, 60)], 60, now);
    assert!(!is_limited(&mut world, now));
}

/// What the store executes, each followed by a listing.
#[derive(Clone, Copy, Debug)]
enum StoreStep {
    /// A heartbeat: start, number, and whether it drains from then on.
    Write(u64, u64),
    Remove,
    /// The target says in an answer that it is leaving.
    Leave,
}

fn store_steps() -> impl Strategy<Value = Vec<StoreStep>> {
    let step = prop_oneof![
        (1_u64..4, 1_u64..8).prop_map(|(born, number)| StoreStep::Write(born, number)),
        Just(StoreStep::Remove),
        Just(StoreStep::Leave),
    ];
    proptest::collection::vec(step, 1..40)
}

/// Number of the heartbeat from which each start of the target drains.
const DRAINS_FROM: u64 = 5;

proptest! {
    // Heartbeats of some starts of a target are executed in any order, late ones too. Once a start is known
    // to drain or to leave, nothing is sent to it until a later start is known.
    #[test]
    fn adopt_heartbeats_of_any_order(steps in store_steps()) {
        let (mut world, now) = (world(), Instant::now());
        let mut stored: Option<RegistryEntry> = None;
        let mut revision = 1;
        list(&mut world, Vec::new(), revision, now);
        // The start that was known last, and whether it drains or leaves.
        let mut known: Option<(StartMark, bool)> = None;
        for step in steps {
            revision += 1;
            match step {
                StoreStep::Write(born, number) => {
                    let written = heartbeat(born, number, revision);
                    let drains = number >= DRAINS_FROM;
                    stored = Some(if drains { draining(written) } else { written });
                    let born = StartMark::new(born);
                    let was_over = known.is_some_and(|(last, is_over)| last == born && is_over);
                    // A write of an earlier start than the last one is late.
                    if known.is_none_or(|(last, _is_over)| last <= born) {
                        known = Some((born, was_over || drains));
                    }
                }
                StoreStep::Remove => stored = None,
                StoreStep::Leave if world.targets.is_empty() => {}
                StoreStep::Leave => {
                    say_leaving(&mut world, now);
                    known = known.map(|(born, _is_over)| (born, true));
                }
            }
            list(&mut world, stored.clone().into_iter().collect(), revision, now);
            let is_over = known.is_some_and(|(_born, is_over)| is_over);
            prop_assert!(!is_over || routed_targets(&mut world, now).is_empty());
        }
    }
}
