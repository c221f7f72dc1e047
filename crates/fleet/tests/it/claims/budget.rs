use std::time::Duration;

use amaranthgw_core::RequestRate;
use amaranthgw_fleet::claims::{
    BatcherTable, CallBudget, ClaimBatcher, ClaimSettings, ClockReading, SHARD_COUNT, ShardNumber,
    StoreReply, tick_batchers,
};
use proptest::prelude::*;
use tokio::time::Instant;

use super::harness::{settings, submission};

const RATE: u64 = 50;
const BURST: u32 = 5;
const CLAIM_TIMEOUT: Duration = Duration::from_mins(1);

fn budget_settings() -> ClaimSettings {
    ClaimSettings {
        call_rate: RequestRate::new(RATE),
        call_burst: BURST,
        ..settings()
    }
}

proptest! {
    #![proptest_config(ProptestConfig { failure_persistence: None, ..ProptestConfig::with_cases(200) })]

    #[test]
    fn tick_batchers_within_rate(submissions in prop::collection::vec((0..SHARD_COUNT, 0..30_u64), 1..300)) {
        let start = Instant::now();
        let mut now = start;
        let mut batchers = BatcherTable::new();
        let mut budget = CallBudget::new(&budget_settings(), now);
        let mut calls = Vec::new();
        for (serial, (shard, pause_ms)) in (1..).zip(submissions) {
            now += Duration::from_millis(pause_ms);
            let shard = ShardNumber::new(shard);
            let make = || ClaimBatcher::new(shard, budget_settings(), now);
            batchers.get_or_insert_with(shard, make).submit(submission(serial, 0, 0, now + CLAIM_TIMEOUT), now);
            let clock = ClockReading { now, unix_ms: 1_000_000 };
            for (shard, output) in tick_batchers(&mut batchers, &mut budget, clock) {
                let Some(call) = output.call else { continue };
                calls.push(now);
                let batcher = batchers.get_mut(&shard).expect("known");
                batcher.reply(call.number, StoreReply::Conflict, clock);
            }
            let woken = batchers.rows().filter_map(ClaimBatcher::wake_at);
            prop_assert!(woken.min().is_none_or(|at| at > now), "the next wake-up is not in the future");
        }
        for (position, from) in calls.iter().enumerate() {
            for (count, to) in (1..).zip(&calls[position..]) {
                // 50.0 is `RATE`; the last term is a tolerance for floating-point rounding.
                let allowed = (*to - *from).as_secs_f64() * 50.0 + f64::from(BURST) + 0.001;
                prop_assert!(f64::from(count) <= allowed, "{count} calls, {allowed} allowed");
            }
        }
    }
}

#[test]
fn tick_batchers_longest_wait_first() {
    let now = Instant::now();
    let mut budget = CallBudget::new(&budget_settings(), now);
    for _ in 0..BURST {
        budget.charge(now);
    }
    let mut batchers = BatcherTable::new();
    for (shard, millis) in [(1, 3), (2, 1), (3, 2)] {
        let submitted_at = now + Duration::from_millis(millis);
        let shard = ShardNumber::new(shard);
        let mut batcher = ClaimBatcher::new(shard, budget_settings(), now);
        batcher.submit(submission(millis, 0, 0, now + CLAIM_TIMEOUT), submitted_at);
        batchers.insert(shard, batcher);
    }
    let clock = ClockReading {
        now: budget.earliest_call_at(),
        unix_ms: 1_000_000,
    };
    let outputs = tick_batchers(&mut batchers, &mut budget, clock);
    let called = outputs.iter().filter(|(_, output)| output.call.is_some());
    let called: Vec<_> = called.map(|(shard, _)| *shard).collect();
    assert_eq!(called, [ShardNumber::new(2)]);
}
