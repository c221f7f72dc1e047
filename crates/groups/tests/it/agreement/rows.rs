//! Single rows and systems of the agreement, without the scheduler.

use std::sync::Arc;
use std::time::Duration;

use amaranthgw_core::{FencingNumber, GroupGeneration, MapVersion, MilliSpan, RankId, StartMark};
use amaranthgw_core::{GroupId, StoreRevision, TickSchedule};
use amaranthgw_groups::agreement::{
    CoordinatorSystem, GroupEffect, GroupMessage, GroupTables, GroupTiming, LeaseGuard,
    MapCoordinator, MapRecord, MemberIdentity, MemberPhase, MemberStatus, MemberSystem, RankMember,
    StoreAnswer,
};
use amaranthgw_groups::placement::ExpertMap;
use tokio::time::Instant;

const TTL: MilliSpan = MilliSpan::new(3_000);
const MARGIN: MilliSpan = MilliSpan::new(500);

fn identity() -> MemberIdentity {
    MemberIdentity {
        rank: RankId::new(0),
        ranks: 2,
        start: StartMark::new(7),
        generation_floor: GroupGeneration::default(),
    }
}

fn status() -> MemberStatus {
    MemberStatus {
        phase: MemberPhase::Active,
        generation: GroupGeneration::new(1),
        version: MapVersion::new(0),
        floor: MapVersion::new(0),
    }
}

fn coordinator(now: Instant) -> MapCoordinator {
    let lease = LeaseGuard::new(FencingNumber::new(1), now, TTL, MARGIN);
    let mut row = MapCoordinator::new(identity(), GroupTiming::new(), lease, now);
    row.request_map(Arc::new(ExpertMap::default()));
    row
}

/// Runs the coordinator up to its first write and returns the written record.
fn written_record(row: &mut MapCoordinator, now: Instant) -> MapRecord {
    assert_eq!(row.tick(status(), now), [GroupEffect::ReadStore]);
    row.handle_store(&StoreAnswer::Read(None), now);
    let effects = row.tick(status(), now);
    let [GroupEffect::WriteStore { record, .. }] = effects.as_slice() else {
        panic!("expected one write: {effects:?}");
    };
    record.clone()
}

fn proposes(effects: &[GroupEffect]) -> bool {
    let is_propose = |effect: &GroupEffect| {
        matches!(
            effect,
            GroupEffect::Send {
                message: GroupMessage::Propose { .. },
                ..
            }
        )
    };
    effects.iter().any(is_propose)
}

#[test]
fn tick_lapsed_lease() {
    let now = Instant::now();
    let mut row = coordinator(now);
    let late = now + Duration::from_millis(2_500);
    assert!(row.tick(status(), late).is_empty());
    row.lease_mut().renew(late, TTL);
    assert_eq!(row.tick(status(), late), [GroupEffect::ReadStore]);
}

#[test]
fn handle_loaded_lapsed_lease() {
    let now = Instant::now();
    let mut row = coordinator(now);
    let record = written_record(&mut row, now);
    row.handle_store(&StoreAnswer::Written(StoreRevision::new(1)), now);
    assert!(proposes(&row.tick(status(), now)));
    let loaded = GroupMessage::Loaded {
        generation: GroupGeneration::new(1),
        version: record.version,
        step: amaranthgw_core::StepNumber::new(5),
    };
    let late = now + Duration::from_millis(2_500);
    assert!(row.handle(RankId::new(0), &loaded, late).is_empty());
    assert!(row.handle(RankId::new(1), &loaded, late).is_empty());
    row.lease_mut().renew(late, TTL);
    assert_eq!(row.handle(RankId::new(1), &loaded, late).len(), 2);
}

#[test]
fn handle_store_lost_answer() {
    let now = Instant::now();
    let mut row = coordinator(now);
    let record = written_record(&mut row, now);
    row.handle_store(&StoreAnswer::Conflict, now);
    assert_eq!(row.tick(status(), now), [GroupEffect::ReadStore]);
    row.handle_store(
        &StoreAnswer::Read(Some((StoreRevision::new(4), record))),
        now,
    );
    assert!(proposes(&row.tick(status(), now)));
}

#[test]
fn handle_store_lost_race() {
    let now = Instant::now();
    let mut row = coordinator(now);
    let record = written_record(&mut row, now);
    let other = MapRecord {
        author: StartMark::new(8),
        ..record.clone()
    };
    row.handle_store(&StoreAnswer::Conflict, now);
    row.handle_store(
        &StoreAnswer::Read(Some((StoreRevision::new(4), other))),
        now,
    );
    let effects = row.tick(status(), now);
    let [
        GroupEffect::WriteStore {
            expected,
            record: next,
        },
    ] = effects.as_slice()
    else {
        panic!("expected one write: {effects:?}");
    };
    assert_eq!(*expected, StoreRevision::new(4));
    assert_eq!(next.version, record.version.next());
}

#[test]
fn run_systems_in_order() {
    let now = Instant::now();
    let group: GroupId = "helper-llm/1".parse().expect("valid id");
    let mut tables = GroupTables::default();
    let member = RankMember::new(identity(), GroupTiming::new(), now);
    tables.members.insert(group.clone(), member);
    tables.coordinators.insert(group.clone(), coordinator(now));
    let mut schedule = TickSchedule::new()
        .with_system(MemberSystem)
        .with_system(CoordinatorSystem);
    schedule.run(&mut tables, now);
    let expected = [
        (group.clone(), GroupEffect::ReadEngine),
        (group, GroupEffect::ReadStore),
    ];
    assert_eq!(tables.outbox, expected);
}
