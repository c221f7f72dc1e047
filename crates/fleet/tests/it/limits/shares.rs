use std::time::Duration;

use amaranthgw_core::{SlotCount, StartMark};
use amaranthgw_fleet::limits::{HolderId, MilliRate, ShareAmount, ShareSettings, ShareValue};
use proptest::prelude::*;

use super::world::{CallOutcome, ShareWorld, share_key};

const LIMIT_MILLI_RATE: u64 = 100_000;
const LIMIT_IN_FLIGHT: u32 = 37;
/// Rates of the entries' clocks; the drift stays within the margin of 5 s over a lease of 1 min.
const CLOCK_RATES: [f64; 3] = [1.0, 0.97, 1.03];

#[derive(Clone, Debug)]
enum ShareStep {
    Advance(u64),
    Fill(usize),
    FinishCall(usize, CallOutcome),
    ApplyLateWrite,
    Restart(usize),
    SetDemand(usize, u64, u32),
    SetStore(bool),
    SetLimit(u64),
}

fn share_step() -> impl Strategy<Value = ShareStep> {
    let entry = 0..CLOCK_RATES.len();
    let outcome = prop_oneof![
        6 => Just(CallOutcome::Replied),
        1 => Just(CallOutcome::RequestLost),
        1 => Just(CallOutcome::ReplyLost),
        1 => Just(CallOutcome::Delayed),
        1 => Just(CallOutcome::ReplyDelayed),
        1 => Just(CallOutcome::Stale),
    ];
    prop_oneof![
        6 => (1_u64..4_000).prop_map(ShareStep::Advance),
        2 => (10_000_u64..200_000).prop_map(ShareStep::Advance),
        4 => entry.clone().prop_map(ShareStep::Fill),
        14 => (entry.clone(), outcome)
            .prop_map(|(index, outcome)| ShareStep::FinishCall(index, outcome)),
        2 => Just(ShareStep::ApplyLateWrite),
        1 => entry.clone().prop_map(ShareStep::Restart),
        3 => (entry, 0..2 * LIMIT_MILLI_RATE, 0..2 * LIMIT_IN_FLIGHT)
            .prop_map(|(index, rate, in_flight)| ShareStep::SetDemand(index, rate, in_flight)),
        1 => any::<bool>().prop_map(ShareStep::SetStore),
        1 => (1..2 * LIMIT_MILLI_RATE).prop_map(ShareStep::SetLimit),
    ]
}

fn share_world(floor_percent: u32) -> ShareWorld {
    let settings = ShareSettings::new(4).with_floor_percent(floor_percent);
    let limit = ShareAmount::new(
        MilliRate::new(LIMIT_MILLI_RATE),
        SlotCount::new(LIMIT_IN_FLIGHT),
    );
    ShareWorld::new(settings, limit, &CLOCK_RATES)
}

/// Runs all entries without faults for `span`.
fn run_without_faults(world: &mut ShareWorld, span: Duration) {
    let end = world.now + span;
    while world.now < end {
        world.advance(Duration::from_millis(250));
        for index in 0..world.entries.len() {
            world.tick(index);
            world.finish_call(index, CallOutcome::Replied);
            world.finish_call(index, CallOutcome::Replied);
        }
        assert!(world.total_rate() <= world.limit.rate.get());
    }
}

proptest! {
    #![proptest_config(ProptestConfig {
        cases: 1_500,
        failure_persistence: None,
        ..ProptestConfig::default()
    })]

    #[test]
    fn local_share_sum_within_limit(
        seed in any::<u64>(),
        floor_percent in prop_oneof![Just(0_u32), Just(50)],
        steps in prop::collection::vec(share_step(), 1..160),
    ) {
        fastrand::seed(seed);
        let mut world = share_world(floor_percent);
        let mut requests_of_old_runs = Vec::new();
        for step in steps {
            match step {
                ShareStep::Advance(millis) => world.advance(Duration::from_millis(millis)),
                ShareStep::Fill(index) => world.fill(index),
                ShareStep::FinishCall(index, outcome) => {
                    world.tick(index);
                    world.finish_call(index, outcome);
                }
                ShareStep::ApplyLateWrite => world.apply_late_write(),
                ShareStep::Restart(index) if floor_percent == 0 => {
                    requests_of_old_runs.extend(world.restart(index));
                }
                // With a floor, the new run would use it while requests of the old run are in flight.
                ShareStep::Restart(_) => {}
                ShareStep::SetDemand(index, rate, in_flight) => {
                    world.set_demand(index, rate, in_flight);
                }
                ShareStep::SetStore(is_up) => world.is_store_up = is_up,
                ShareStep::SetLimit(rate) => world.set_limit_rate(rate),
            }
            let now = world.now;
            requests_of_old_runs.retain(|request| request.ends_at > now);
            prop_assert!(world.total_rate() <= world.limit.rate.get());
            prop_assert!(world.in_flight() + requests_of_old_runs.len() <= LIMIT_IN_FLIGHT as usize);
        }
    }
}

#[test]
fn local_share_follows_demand() {
    let mut world = share_world(0);
    world.set_demand(0, 90_000, 30);
    world.set_demand(1, 10_000, 4);
    run_without_faults(&mut world, Duration::from_secs(30));
    assert!(world.rate(0) >= 85_000, "{}", world.rate(0));
    world.set_demand(0, 10_000, 4);
    world.set_demand(1, 90_000, 30);
    run_without_faults(&mut world, Duration::from_secs(30));
    assert!(world.rate(1) >= 85_000, "{}", world.rate(1));
}

#[test]
fn local_share_divided_by_demand() {
    let mut world = share_world(0);
    for (index, demand) in [(0, 300_000), (1, 200_000), (2, 100_000)] {
        world.set_demand(index, demand, 20);
        run_without_faults(&mut world, Duration::from_secs(20));
    }
    run_without_faults(&mut world, Duration::from_mins(1));
    let rates = [world.rate(0), world.rate(1), world.rate(2)];
    for (rate, fair) in rates.into_iter().zip([50_000, 33_333, 16_667]) {
        assert!(rate.abs_diff(fair) <= fair / 8, "{rates:?}");
    }
}

/// A write that was planned under a larger limit takes effect after the limit was reduced. An entry
/// that then reads a value older than this write must scale its share down from the larger pool, or
/// the rates together exceed the new limit. The numbers are from a schedule of the property test.
#[test]
fn local_share_old_read_keeps_larger_pool() {
    let mut world = share_world(0);
    world.set_demand(1, 3, 38);
    world.tick(1);
    world.finish_call(1, CallOutcome::Replied);
    world.set_limit_rate(147_519);
    world.finish_call(1, CallOutcome::Replied);
    world.set_demand(0, 73_757, 0);
    world.tick(0);
    world.finish_call(0, CallOutcome::Replied);
    world.set_limit_rate(83_334);
    world.advance(Duration::from_secs(1));
    world.finish_call(0, CallOutcome::Replied);
    world.tick(1);
    world.finish_call(1, CallOutcome::Stale);
    assert!(world.total_rate() <= 83_334, "{}", world.total_rate());
}

/// An entry whose demand fell must reduce its share before it reads, so that the write of the same
/// cycle gives up the surplus. Otherwise this takes another cycle.
#[test]
fn local_share_unused_given_up_at_once() {
    let mut world = share_world(0);
    world.set_demand(0, 100_000, 30);
    run_without_faults(&mut world, Duration::from_secs(10));
    world.set_demand(0, 10_000, 4);
    world.advance(Duration::from_secs(10));
    world.tick(0);
    world.finish_call(0, CallOutcome::Replied);
    world.finish_call(0, CallOutcome::Replied);
    let nobody = HolderId::new("nobody".parse().expect("valid id"), StartMark::new(0));
    let shares = world.value().keys.get(&share_key()).expect("a holder");
    assert!(shares.others(&nobody).held.in_flight.get() <= 8);
}

#[test]
fn local_share_in_flight_drains_to_fair() {
    let mut world = share_world(0);
    world.set_demand(0, 10_000, 40);
    run_without_faults(&mut world, Duration::from_secs(5));
    world.fill(0);
    assert_eq!(world.in_flight(), LIMIT_IN_FLIGHT as usize);
    world.set_demand(1, 10_000, 40);
    for _ in 0..180 {
        run_without_faults(&mut world, Duration::from_secs(1));
        world.fill(0);
    }
    world.fill(1);
    assert!(world.in_flight_of(0) <= 20, "{}", world.in_flight_of(0));
    assert_eq!(world.in_flight(), LIMIT_IN_FLIGHT as usize);
}

#[test]
fn local_share_reclaimed_after_expiry() {
    let mut world = share_world(0);
    world.set_demand(0, 100_000, 10);
    run_without_faults(&mut world, Duration::from_secs(10));
    let _requests = world.restart(0);
    world.set_demand(0, 0, 0);
    world.set_demand(1, 100_000, 10);
    run_without_faults(&mut world, Duration::from_mins(1));
    assert!(world.rate(1) <= 1_000, "{}", world.rate(1));
    run_without_faults(&mut world, Duration::from_secs(30));
    assert!(world.rate(1) >= 99_000, "{}", world.rate(1));
}

/// Runs only the entries in `active`, without faults, for `span`.
fn run_only(world: &mut ShareWorld, active: &[usize], span: Duration) {
    let end = world.now + span;
    while world.now < end {
        world.advance(Duration::from_millis(250));
        for index in active {
            world.tick(*index);
            world.finish_call(*index, CallOutcome::Replied);
            world.finish_call(*index, CallOutcome::Replied);
        }
        assert!(world.total_rate() <= world.limit.rate.get());
    }
}

/// By the reclaiming entry's clock, a holder with a slow clock (entry 1) uses its share for longer
/// than a lease.
#[test]
fn local_share_reclaim_waits_for_slow_clock() {
    let mut world = share_world(0);
    world.set_demand(1, 100_000, 10);
    run_without_faults(&mut world, Duration::from_secs(10));
    world.set_demand(2, 100_000, 10);
    run_only(&mut world, &[2], Duration::from_mins(2));
    assert!(world.rate(2) >= 99_000, "{}", world.rate(2));
}

/// The reply to a write arrives 50 s late. If the lease started with the reply, the holder would
/// still use its share after another entry has reclaimed it.
#[test]
fn local_share_lease_starts_before_write() {
    let mut world = share_world(0);
    world.set_demand(1, 100_000, 10);
    world.tick(1);
    world.finish_call(1, CallOutcome::Replied);
    world.finish_call(1, CallOutcome::ReplyDelayed);
    world.set_demand(2, 100_000, 10);
    run_only(&mut world, &[2], Duration::from_secs(50));
    world.finish_call(1, CallOutcome::Replied);
    assert!(
        world.rate(1) >= 99_000,
        "the answer arrived within the lease"
    );
    run_only(&mut world, &[2], Duration::from_mins(1));
    assert!(world.rate(2) >= 99_000, "{}", world.rate(2));
}

/// A write that was counted as lost takes effect later and grants less than the entry still held.
/// The entry must not use more than the late write grants.
#[test]
fn local_share_late_write_lowers() {
    let mut world = share_world(0);
    world.set_demand(0, 100_000, 10);
    run_without_faults(&mut world, Duration::from_secs(2));
    world.set_demand(0, 10_000, 10);
    world.tick(0);
    world.finish_call(0, CallOutcome::Replied);
    world.finish_call(0, CallOutcome::Delayed);
    world.set_demand(0, 100_000, 10);
    world.advance(Duration::from_secs(1));
    world.tick(0);
    world.finish_call(0, CallOutcome::Replied);
    world.apply_late_write();
    world.set_demand(1, 100_000, 10);
    run_only(&mut world, &[1], Duration::from_secs(5));
    assert!(
        world.rate(1) > 0,
        "the share that the late write gave up was not taken over"
    );
}

#[test]
fn local_share_outage_keeps_floor() {
    let mut world = share_world(50);
    world.set_demand(0, 100_000, 10);
    run_without_faults(&mut world, Duration::from_secs(10));
    assert!(world.rate(0) >= 60_000, "{}", world.rate(0));
    world.is_store_up = false;
    run_without_faults(&mut world, Duration::from_secs(45));
    assert!(
        world.rate(0) >= 60_000,
        "the lease ended within a short outage"
    );
    run_without_faults(&mut world, Duration::from_hours(3));
    // The floor: half of the limit, divided among 4 slots.
    assert_eq!(world.rate(0), LIMIT_MILLI_RATE / 2 / 4);
    world.is_store_up = true;
    run_without_faults(&mut world, Duration::from_secs(20));
    assert!(world.rate(0) >= 60_000, "{}", world.rate(0));
}

#[test]
fn share_value_round_trip() {
    let mut world = share_world(0);
    world.set_demand(0, 100_000, 10);
    run_without_faults(&mut world, Duration::from_secs(5));
    let json = serde_json::to_string(world.value()).expect("serialises");
    let value: ShareValue = serde_json::from_str(&json).expect("deserialises");
    assert_eq!(&value, world.value());
    assert!(json.contains("schools|draft-llm"), "{json}");
}
