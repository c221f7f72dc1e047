//! What a gateway knows of the registry: outages, peers, and the order of what it hears.

use std::collections::{BTreeMap, BTreeSet};
use std::sync::Arc;
use std::time::Duration;

use amaranthgw_core::{
    ConfigVersion, MilliSpan, RequestRate, StoreRevision, TargetId, TickSchedule,
};
use amaranthgw_fleet::gateway::{
    GatewayWorld, RegistryChange, RegistryEntry, RegistryListing, RegistryNews, RouteTable,
    ServiceRow, TargetTransition, gateway_schedule,
};
use proptest::prelude::*;
use tokio::time::Instant;

use super::world::{RETURN_TIME, routed_targets, world};
use super::{entry, listing};

/// Time without the registry in which entries expire.
const LONG_OUTAGE: Duration = Duration::from_secs(12);
/// Time after an outage within which targets that left get no more requests.
const TOUCH_TIME: Duration = Duration::from_secs(3);

fn target(id: &str) -> TargetId {
    id.parse().expect("target")
}

fn removal(id: &str, revision: u64) -> RegistryChange {
    RegistryChange {
        target: target(id),
        revision: StoreRevision::new(revision),
        record: None,
    }
}

fn writing(entry: RegistryEntry) -> RegistryChange {
    RegistryChange {
        target: entry.record.target.clone(),
        revision: entry.written,
        record: Some(entry.record),
    }
}

/// News of all changes after revision 100, which is that of `listing`, to a gateway that knows `a` and `b`.
fn news(changes: Vec<RegistryChange>, as_of: u64) -> RegistryNews {
    let mut targets: BTreeSet<_> = [target("a"), target("b")].into();
    for change in &changes {
        if change.record.is_some() {
            targets.insert(change.target.clone());
        } else {
            targets.remove(&change.target);
        }
    }
    RegistryNews {
        after: StoreRevision::new(100),
        as_of: StoreRevision::new(as_of),
        age: Some(MilliSpan::new(0)),
        changes,
        digest: Some(targets.iter().collect()),
        leavers: Vec::new(),
        outdated: Vec::new(),
    }
}

/// A world that listed the targets `a` and `b` at the returned time.
fn listed_world() -> (GatewayWorld, Instant) {
    let (mut world, now) = (world(), Instant::now());
    let entries = vec![entry("a", 1, 1), entry("b", 2, 2)];
    world.adopt_registry(listing(entries, now), now);
    (world, now)
}

fn tick(world: &mut GatewayWorld, now: Instant) -> Vec<TargetTransition> {
    let mut schedule: TickSchedule<GatewayWorld> = gateway_schedule();
    schedule.run(world, now);
    world.take_transitions()
}

#[test]
fn adopt_registry_expired_in_outage() {
    let (mut world, now) = listed_world();
    world.record_registry_failure();
    // The entries expired during the outage; one target renews its entry, the other does not.
    let ended = now + LONG_OUTAGE;
    let transitions = world.adopt_registry(listing(Vec::new(), ended), ended);
    assert_eq!(transitions.len(), 2);
    for id in ["a", "b"] {
        assert!(transitions.contains(&TargetTransition::Missing(target(id))));
    }
    assert_eq!(routed_targets(&mut world, ended), ["a", "b"]);
    let soon = ended + RETURN_TIME / 2;
    let transitions = world.adopt_registry(listing(vec![entry("a", 1, 9)], soon), soon);
    assert_eq!(transitions, [TargetTransition::Returned(target("a"))]);
    assert_eq!(routed_targets(&mut world, soon), ["a", "b"]);
    let later = ended + RETURN_TIME;
    world.adopt_registry(listing(vec![entry("a", 1, 9)], later), later);
    assert_eq!(routed_targets(&mut world, later), ["a"]);
}

// Guards against DRAIN: a row whose time was over was used until the next listing.
#[test]
fn expire_missing_between_listings() {
    let (mut world, now) = listed_world();
    world.record_registry_failure();
    let ended = now + LONG_OUTAGE;
    world.adopt_registry(listing(vec![entry("a", 1, 9)], ended), ended);
    let soon = ended + RETURN_TIME / 2;
    assert!(tick(&mut world, soon).is_empty());
    assert_eq!(routed_targets(&mut world, soon), ["a", "b"]);
    let later = ended + RETURN_TIME;
    assert!(later < ended + TOUCH_TIME);
    let transitions = tick(&mut world, later);
    assert_eq!(transitions, [TargetTransition::Gone(target("b"))]);
    assert_eq!(routed_targets(&mut world, later), ["a"]);
}

#[test]
fn expire_missing_registry_down_again() {
    let (mut world, now) = listed_world();
    world.record_registry_failure();
    let ended = now + LONG_OUTAGE;
    world.adopt_registry(listing(vec![entry("a", 1, 9)], ended), ended);
    world.record_registry_failure();
    let later = ended + LONG_OUTAGE;
    assert!(tick(&mut world, later).is_empty());
    assert_eq!(routed_targets(&mut world, later), ["a", "b"]);
}

// Guards against DRAIN: after a single failed call, targets that left were kept as after an outage.
#[test]
fn adopt_registry_left_after_failed_call() {
    let (mut world, now) = listed_world();
    world.record_registry_failure();
    let soon = now + Duration::from_millis(1_800);
    let transitions = world.adopt_registry(listing(vec![entry("a", 1, 1)], soon), soon);
    assert_eq!(transitions, [TargetTransition::Gone(target("b"))]);
    assert_eq!(routed_targets(&mut world, soon), ["a"]);
}

#[test]
fn adopt_registry_displaced_in_outage() {
    let (mut world, now) = listed_world();
    world.record_registry_failure();
    let ended = now + LONG_OUTAGE;
    world.adopt_registry(listing(vec![entry("live", 1, 7)], ended), ended);
    assert_eq!(routed_targets(&mut world, ended), ["b", "live"]);
}

// Guards against DRAIN: an older entry turned a draining target ready again.
#[test]
fn adopt_registry_older_entry() {
    let (mut world, now) = listed_world();
    let mut leaving = entry("a", 1, 8);
    leaving.record.is_draining = true;
    world.adopt_registry(listing(vec![leaving, entry("b", 2, 2)], now), now);
    let entries = vec![entry("a", 1, 1), entry("b", 2, 2)];
    world.adopt_registry(listing(entries, now), now);
    assert_eq!(routed_targets(&mut world, now), ["b"]);
}

// Guards against DRAIN: a gateway without the registry went on using targets that its peers knew to
// have left.
#[test]
fn adopt_news_left_in_outage() {
    let (mut world, now) = listed_world();
    world.record_registry_failure();
    let mut leaving = entry("a", 1, 104);
    leaving.record.is_draining = true;
    let changes = vec![writing(leaving), removal("b", 105)];
    let transitions = world.adopt_news(news(changes, 106), now, now);
    let expected = [
        TargetTransition::Draining(target("a")),
        TargetTransition::Gone(target("b")),
    ];
    assert_eq!(transitions, expected);
    assert!(routed_targets(&mut world, now).is_empty());
}

#[test]
fn adopt_news_new_targets() {
    let (mut world, now) = listed_world();
    // The new target has the address of one that crashed.
    let changes = vec![writing(entry("c", 3, 104)), writing(entry("d", 1, 105))];
    world.adopt_news(news(changes, 106), now, now);
    assert_eq!(routed_targets(&mut world, now), ["b", "c", "d"]);
}

#[test]
fn adopt_news_older_than_listing() {
    let (mut world, now) = listed_world();
    let written = vec![entry("a", 1, 90), entry("b", 2, 2)];
    world.adopt_registry(listing(written, now), now);
    let mut leaving = entry("a", 1, 80);
    leaving.record.is_draining = true;
    world.adopt_news(news(vec![writing(leaving), removal("a", 85)], 85), now, now);
    assert_eq!(routed_targets(&mut world, now), ["a", "b"]);
}

// What a peer told of is not undone by a listing from before.
#[test]
fn adopt_registry_older_than_news() {
    let (mut world, now) = listed_world();
    let changes = vec![removal("b", 104), writing(entry("c", 3, 105))];
    world.adopt_news(news(changes, 106), now, now);
    let entries = vec![entry("a", 1, 1), entry("b", 2, 2)];
    world.adopt_registry(listing(entries, now), now);
    assert_eq!(routed_targets(&mut world, now), ["a", "c"]);
}

// Peers that read the registry all the time show that no entries expired.
#[test]
fn adopt_registry_outage_of_this_gateway_only() {
    let (mut world, now) = listed_world();
    world.record_registry_failure();
    let ended = now + LONG_OUTAGE;
    for second in 1..=12 {
        let at = now + Duration::from_secs(second);
        world.adopt_news(news(Vec::new(), 100 + second), at, at);
    }
    let transitions = world.adopt_registry(listing(vec![entry("a", 1, 1)], ended), ended);
    assert_eq!(transitions, [TargetTransition::Gone(target("b"))]);
}

// A peer that sees the end of the outage first doesn't take their time from the others' targets.
#[test]
fn adopt_registry_outage_of_all_ended_at_peer() {
    let (mut world, now) = listed_world();
    world.record_registry_failure();
    let ended = now + LONG_OUTAGE;
    world.adopt_news(news(Vec::new(), 120), ended, ended);
    let soon = ended + Duration::from_millis(300);
    world.adopt_registry(listing(vec![entry("a", 1, 1)], soon), soon);
    assert_eq!(routed_targets(&mut world, soon), ["a", "b"]);
}

#[test]
fn news_after_unknown_only() {
    let (mut world, now) = listed_world();
    let changes = vec![removal("b", 104), writing(entry("c", 3, 105))];
    world.adopt_news(news(changes.clone(), 106), now, now);
    let (log, _known_at) = world.registry_log().expect("log");
    let as_of = world.registry_as_of();
    let told = |known| {
        let known = StoreRevision::new(known);
        log.news_after(known, as_of, Duration::ZERO).changes
    };
    assert_eq!(told(100), changes);
    assert_eq!(told(104), changes[1..]);
    assert!(told(105).is_empty());
}

// A peer that missed more than the log holds isn't told that it knows everything.
#[test]
fn news_after_incomplete() {
    let (mut world, now) = listed_world();
    let left = (1..=400).map(|n| removal(&format!("t-{n}"), 100 + n));
    for change in left {
        let RegistryChange {
            target, revision, ..
        } = change;
        let mut written = entry(target.as_str(), 500, revision.get());
        written.record.is_draining = true;
        world.adopt_news(news(vec![writing(written)], revision.get()), now, now);
    }
    let (log, _known_at) = world.registry_log().expect("log");
    let told = log.news_after(
        StoreRevision::new(100),
        world.registry_as_of(),
        Duration::ZERO,
    );
    assert!(told.after > StoreRevision::new(100));
    assert!(told.as_of < world.registry_as_of());
    let last = told.changes.last().expect("change");
    assert_eq!(last.revision, told.as_of);
    let mut other = listed_world().0;
    other.adopt_news(told, now, now);
    assert_eq!(other.registry_as_of(), StoreRevision::new(100));
}

#[test]
fn note_leaving_told_to_peers() {
    let (mut world, now) = listed_world();
    let row = world.targets.get(&target("a")).expect("row");
    row.gauge.record_leaving(true);
    let transitions = tick(&mut world, now);
    assert_eq!(transitions, [TargetTransition::Leaving(target("a"))]);
    assert_eq!(routed_targets(&mut world, now), ["b"]);
    let (log, _known_at) = world.registry_log().expect("log");
    let told = log.news_after(
        StoreRevision::new(99),
        world.registry_as_of(),
        Duration::ZERO,
    );
    let mut peer = listed_world().0;
    peer.adopt_news(told, now, now);
    assert_eq!(routed_targets(&mut peer, now), ["b"]);
}

// An entry that was written before a target said that it is leaving doesn't bring it back.
#[test]
fn note_leaving_entry_written_before() {
    let (mut world, now) = listed_world();
    let row = world.targets.get(&target("a")).expect("row");
    row.gauge.record_leaving(true);
    tick(&mut world, now);
    let later = now + Duration::from_secs(1);
    let entries = vec![entry("a", 1, 90), entry("b", 2, 2)];
    world.adopt_registry(listing(entries.clone(), later), later);
    world.adopt_registry(listing(entries, later), later);
    assert_eq!(routed_targets(&mut world, later), ["b"]);
    let mut anew = listing(vec![entry("a", 1, 101), entry("b", 2, 2)], later);
    anew.as_of = StoreRevision::new(102);
    world.adopt_registry(anew, later);
    assert_eq!(routed_targets(&mut world, later), ["a", "b"]);
}

// Guards against LOST: an entry of another writer, with the address of a live target, hid it.
#[test]
fn adopt_registry_unknown_service_hides_none() {
    let (mut world, now) = listed_world();
    let mut routes = RouteTable::new(ConfigVersion::new(1));
    let service = ServiceRow {
        cold_rate: RequestRate::new(28),
        cold_time: MilliSpan::new(3_000),
        experts: None,
        engine: None,
    };
    routes.add_service("desk".parse().expect("service"), service);
    world.adopt_routes(Arc::new(routes));
    let mut odd = entry("odd", 1, 50);
    odd.record.service = "nowhere".parse().expect("service");
    let entries = vec![entry("a", 1, 1), entry("b", 2, 2), odd.clone()];
    world.adopt_registry(listing(entries, now), now);
    assert_eq!(routed_targets(&mut world, now), ["a", "b"]);
    odd.written = StoreRevision::new(104);
    world.adopt_news(news(vec![writing(odd)], 105), now, now);
    let desk = "desk".parse().expect("service");
    assert_eq!(world.snapshot(now).targets[&desk].len(), 2);
}

// An answer that was long on its way says nothing of what happened meanwhile.
#[test]
fn adopt_news_late_answer() {
    let (mut world, asked_at) = listed_world();
    let now = asked_at + Duration::from_secs(5);
    let mut told = news(Vec::new(), 120);
    told.age = Some(MilliSpan::new(300));
    let at = asked_at + Duration::from_secs(1);
    world.adopt_news(told, at, now);
    let (_log, known_at) = world.registry_log().expect("log");
    assert_eq!(
        known_at,
        at.checked_sub(Duration::from_millis(300)).expect("time")
    );
}

// News that end before the peer's revision are followed by others.
#[test]
fn adopt_news_truncated() {
    let (mut world, start) = listed_world();
    let now = start + Duration::from_secs(5);
    let mut told = news(vec![removal("b", 104)], 104);
    told.age = None;
    told.digest = None;
    let transitions = world.adopt_news(told, now, now);
    assert_eq!(transitions, [TargetTransition::Gone(target("b"))]);
    assert_eq!(world.registry_asked_after(), StoreRevision::new(104));
    // Peers are told of no more than what the rest may not change.
    assert_eq!(world.registry_as_of(), StoreRevision::new(100));
    let (_log, known_at) = world.registry_log().expect("log");
    assert_eq!(known_at, start);
}

/// What happens to the registry, or is heard of it.
#[derive(Clone, Copy, Debug)]
enum RegistryStep {
    /// A target writes its entry: its number, and whether it drains.
    Write(u16, bool),
    /// An entry is removed.
    Remove(u16),
    /// The first gateway reads a listing.
    ListFirst,
    /// The second gateway reads a listing; if `true`, an old one, which was delayed.
    ListSecond(bool),
    /// The first gateway tells the second.
    Tell,
}

fn registry_steps() -> impl Strategy<Value = Vec<RegistryStep>> {
    let step = prop_oneof![
        (0..4_u16, any::<bool>()).prop_map(|(id, drains)| RegistryStep::Write(id, drains)),
        (0..4_u16).prop_map(RegistryStep::Remove),
        Just(RegistryStep::ListFirst),
        any::<bool>().prop_map(RegistryStep::ListSecond),
        Just(RegistryStep::Tell),
    ];
    proptest::collection::vec(step, 1..40)
}

/// The registry itself, with its last listing.
#[derive(Clone, Debug, Default)]
struct RegistryModel {
    entries: BTreeMap<u16, RegistryEntry>,
    revision: u64,
    /// Revision of the last write of each target that was ready.
    ready_at: BTreeMap<u16, u64>,
}

impl RegistryModel {
    fn listing(&self, now: Instant) -> RegistryListing {
        RegistryListing {
            entries: self.entries.values().cloned().collect(),
            as_of: StoreRevision::new(self.revision),
            asked_at: now,
        }
    }

    fn ready(&self) -> Vec<String> {
        let entries = self.entries.values();
        let ready = entries.filter(|entry| !entry.record.is_draining);
        ready.map(|entry| entry.record.target.to_string()).collect()
    }
}

proptest! {
    // In whatever order listings and news arrive, late ones too, a gateway never goes back behind what
    // it heard, and agrees with the registry once it has read it.
    #[test]
    fn adopt_any_order_agrees_with_registry(steps in registry_steps()) {
        let now = Instant::now();
        let (mut first, mut second) = (world(), world());
        let mut model = RegistryModel { revision: 1, ..RegistryModel::default() };
        let mut old = model.clone();
        first.adopt_registry(model.listing(now), now);
        second.adopt_registry(model.listing(now), now);
        // Targets that the second gateway knows to have left, with the revision.
        let mut left: BTreeMap<u16, u64> = BTreeMap::new();
        for step in steps {
            match step {
                RegistryStep::Write(id, drains) => {
                    model.revision += 1;
                    if !drains {
                        model.ready_at.insert(id, model.revision);
                    }
                    let mut written = entry(&format!("t-{id}"), id, model.revision);
                    written.record.is_draining = drains;
                    model.entries.insert(id, written);
                }
                RegistryStep::Remove(id) => {
                    model.revision += 1;
                    model.entries.remove(&id);
                }
                RegistryStep::ListFirst => {
                    first.adopt_registry(model.listing(now), now);
                    old = model.clone();
                }
                RegistryStep::ListSecond(is_old) => {
                    let listed = if is_old { &old } else { &model };
                    second.adopt_registry(listed.listing(now), now);
                }
                RegistryStep::Tell => {
                    let (log, known_at) = first.registry_log().expect("log");
                    let age = now.saturating_duration_since(known_at);
                    let as_of = first.registry_as_of();
                    let told = log.news_after(second.registry_as_of(), as_of, age);
                    for change in &told.changes {
                        let is_left = change.record.as_ref().is_none_or(|it| it.is_draining);
                        let id = change.target.as_str()[2..].parse().expect("number");
                        if is_left {
                            left.insert(id, change.revision.get());
                        }
                    }
                    second.adopt_news(told, now, now);
                }
            }
            let routed = routed_targets(&mut second, now);
            for (id, revision) in &left {
                let is_back = model.ready_at.get(id).is_some_and(|at| at > revision);
                let name = format!("t-{id}");
                prop_assert!(is_back || !routed.contains(&name), "{name} after {revision}");
            }
        }
        second.adopt_registry(model.listing(now), now);
        prop_assert_eq!(routed_targets(&mut second, now), model.ready());
    }
}
