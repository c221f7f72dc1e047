//! What gateways tell each other of the registry is never more than what they act on.

use std::collections::BTreeMap;
use std::time::Duration;

use amaranthgw_core::{StoreRevision, TickSchedule};
use amaranthgw_fleet::gateway::{
    GatewayWorld, RegistryEntry, RegistryListing, RegistryNews, TargetTransition, gateway_schedule,
};
use proptest::prelude::*;
use tokio::time::Instant;

use super::entry;
use super::world::{RETURN_TIME, routed_targets, world, world as new_world};

/// Time without the registry in which entries expire.
const LONG_CUT: Duration = Duration::from_millis(3_500);

/// The registry, with its content as of each revision.
#[derive(Debug)]
struct RegistryHistory {
    contents: Vec<BTreeMap<u16, RegistryEntry>>,
}

impl RegistryHistory {
    fn new() -> Self {
        Self {
            contents: vec![BTreeMap::new()],
        }
    }

    fn revision(&self) -> u64 {
        u64::try_from(self.contents.len() - 1).expect("revision")
    }

    fn as_of(&self, revision: StoreRevision) -> &BTreeMap<u16, RegistryEntry> {
        &self.contents[usize::try_from(revision.get()).expect("index")]
    }

    fn write(&mut self, id: u16, drains: bool) {
        let mut content = self.contents.last().expect("content").clone();
        let mut written = entry(&format!("t-{id}"), id, self.revision() + 1);
        written.record.is_draining = drains;
        content.insert(id, written);
        self.contents.push(content);
    }

    fn remove(&mut self, id: u16) {
        let mut content = self.contents.last().expect("content").clone();
        content.remove(&id);
        self.contents.push(content);
    }

    fn listing(&self, now: Instant) -> RegistryListing {
        self.listing_as_of(StoreRevision::new(self.revision()), now)
    }

    fn listing_as_of(&self, as_of: StoreRevision, now: Instant) -> RegistryListing {
        RegistryListing {
            entries: self.as_of(as_of).values().cloned().collect(),
            as_of,
            asked_at: now,
        }
    }
}

fn news_for(world: &GatewayWorld, known: u64, now: Instant) -> RegistryNews {
    let (log, known_at) = world.registry_log().expect("log");
    let age = now.saturating_duration_since(known_at);
    log.news_after(StoreRevision::new(known), world.registry_as_of(), age)
}

fn tick(world: &mut GatewayWorld, now: Instant) {
    let mut schedule: TickSchedule<GatewayWorld> = gateway_schedule();
    schedule.run(world, now);
    world.take_transitions();
}

/// A gateway and a peer that know the targets 1 and 2; the registry drops 2 while the gateway is cut off,
/// which then reads the registry.
fn cut_off_world() -> (RegistryHistory, GatewayWorld, GatewayWorld, Instant) {
    let mut history = RegistryHistory::new();
    history.write(1, false);
    history.write(2, false);
    let now = Instant::now();
    let (mut cut_off, mut peer) = (world(), world());
    cut_off.adopt_registry(history.listing(now), now);
    peer.adopt_registry(history.listing(now), now);
    cut_off.record_registry_failure();
    history.remove(2);
    let later = now + LONG_CUT;
    let transitions = cut_off.adopt_registry(history.listing(later), later);
    let missing = TargetTransition::Missing("t-2".parse().expect("target"));
    assert_eq!(transitions, [missing]);
    (history, cut_off, peer, later)
}

// Guards against DRAIN: a gateway that was cut off kept missing entries, and told peers that it knew all.
#[test]
fn registry_log_missing_entries() {
    let (history, mut cut_off, mut peer, now) = cut_off_world();
    let known = peer.registry_as_of();
    let told = news_for(&cut_off, known.get(), now);
    peer.adopt_news(told, now, now);
    // The peer knows no more than before, so that it reads the registry itself.
    assert_eq!(peer.registry_as_of(), known);
    let (_log, known_at) = peer.registry_log().expect("log");
    assert!(now.saturating_duration_since(known_at) >= LONG_CUT);
    // Once the entry has not returned, the peer is told.
    let later = now + RETURN_TIME;
    cut_off.adopt_registry(history.listing(later), later);
    tick(&mut cut_off, later);
    let told = news_for(&cut_off, known.get(), later);
    peer.adopt_news(told, later, later);
    assert_eq!(
        peer.registry_as_of(),
        StoreRevision::new(history.revision())
    );
    assert_eq!(routed_targets(&mut peer, later), ["t-1"]);
}

// A peer that wasn't cut off knows that the target is gone, and tells.
#[test]
fn adopt_news_of_missing_entries() {
    let (history, mut cut_off, mut peer, now) = cut_off_world();
    peer.adopt_registry(history.listing(now), now);
    let told = news_for(&peer, cut_off.registry_as_of().get(), now);
    cut_off.adopt_news(told, now, now);
    assert_eq!(routed_targets(&mut cut_off, now), ["t-1"]);
    assert_eq!(
        cut_off.registry_as_of(),
        StoreRevision::new(history.revision())
    );
}

// What happens later is told also while entries are missing.
#[test]
fn registry_log_later_changes() {
    let (mut history, mut cut_off, mut peer, now) = cut_off_world();
    history.write(1, true);
    cut_off.adopt_registry(history.listing(now), now);
    let known = peer.registry_as_of();
    peer.adopt_news(news_for(&cut_off, known.get(), now), now, now);
    assert_eq!(peer.registry_as_of(), known);
    assert_eq!(routed_targets(&mut peer, now), ["t-2"]);
}

#[derive(Clone, Copy, Debug)]
enum NewsStep {
    /// A target writes its entry: its number, and whether it drains.
    Write(u16, bool),
    /// An entry is removed.
    Remove(u16),
    /// The gateway reads the registry.
    List,
    /// The gateway can't read it.
    Fail,
    /// Time passes, in milliseconds.
    Wait(u64),
    /// A peer that has just read the registry tells the gateway, asked for what comes after its revision.
    Hear,
}

fn news_steps() -> impl Strategy<Value = Vec<NewsStep>> {
    let step = prop_oneof![
        (1_u16..5, any::<bool>()).prop_map(|(id, drains)| NewsStep::Write(id, drains)),
        (1_u16..5).prop_map(NewsStep::Remove),
        Just(NewsStep::List),
        Just(NewsStep::Fail),
        (100_u64..3_000).prop_map(NewsStep::Wait),
        Just(NewsStep::Hear),
    ];
    proptest::collection::vec(step, 1..50)
}

/// Checks what `told` makes of a peer that knew the registry as of `known`.
fn check_told(
    history: &RegistryHistory,
    told: RegistryNews,
    known: u64,
    now: Instant,
) -> Result<(), TestCaseError> {
    let known = StoreRevision::new(known);
    let (as_of, mut peer) = (told.as_of, new_world());
    peer.adopt_registry(history.listing_as_of(known, now), now);
    peer.adopt_news(told, now, now);
    if peer.registry_as_of() < as_of {
        return Ok(());
    }
    let truth = history.as_of(as_of);
    let rows = peer.targets.rows().filter(|row| !row.record.is_draining);
    for row in rows.filter(|row| row.written <= as_of) {
        let same = |it: &&RegistryEntry| it.record.target == row.record.target;
        let listed = truth.values().find(same);
        let is_ready = listed.is_some_and(|it| !it.record.is_draining);
        prop_assert!(
            is_ready,
            "{} as of {as_of}, from {known}",
            row.record.target
        );
    }
    Ok(())
}

proptest! {
    // In whatever order reads, cuts, news and returns come, a peer that relies on what it is told uses no
    // target that had left.
    #[test]
    fn registry_log_of_any_order_is_true(steps in news_steps()) {
        let mut now = Instant::now();
        let mut history = RegistryHistory::new();
        let mut world = world();
        world.adopt_registry(history.listing(now), now);
        for step in steps {
            match step {
                NewsStep::Write(id, drains) => history.write(id, drains),
                NewsStep::Remove(id) => history.remove(id),
                NewsStep::List => {
                    world.adopt_registry(history.listing(now), now);
                }
                NewsStep::Fail => world.record_registry_failure(),
                NewsStep::Wait(millis) => now += Duration::from_millis(millis),
                NewsStep::Hear => {
                    let mut peer = new_world();
                    let known = world.registry_as_of();
                    let content = history.as_of(known).values().cloned().collect();
                    let listing = RegistryListing { entries: content, as_of: known, asked_at: now };
                    peer.adopt_registry(listing, now);
                    peer.adopt_registry(history.listing(now), now);
                    world.adopt_news(news_for(&peer, known.get(), now), now, now);
                }
            }
            tick(&mut world, now);
            for known in 0..=history.revision() {
                let told = news_for(&world, known, now);
                if told.as_of.get() > known {
                    check_told(&history, told, known, now)?;
                }
            }
        }
    }
}
