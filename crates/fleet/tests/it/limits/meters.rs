use std::sync::Arc;
use std::time::Duration;

use amaranthgw_core::SlotCount;
use amaranthgw_fleet::limits::{
    InFlightMeter, LimitError, MilliRate, RateMeter, ShareKey, ShareShard,
};
use proptest::prelude::*;
use tokio::time::Instant;

proptest! {
    #[test]
    fn try_admit_any_window_within_rate(
        rate in 1_u64..200_000,
        gaps in prop::collection::vec(0_u64..40, 1..400),
    ) {
        let start = Instant::now();
        let meter = RateMeter::new(start);
        meter.set_floor(MilliRate::new(rate));
        let mut now = start;
        let mut admitted = Vec::new();
        for gap in gaps {
            now += Duration::from_millis(gap);
            if meter.try_admit(now).is_ok() {
                admitted.push(now);
            }
        }
        for (first, from) in admitted.iter().enumerate() {
            for (last, until) in admitted.iter().enumerate().skip(first) {
                let window = (*until - *from + RateMeter::BURST_WINDOW).as_secs_f64();
                let bound = window * f64::from(u32::try_from(rate).expect("small")) / 1_000.0 + 1.0;
                let count = f64::from(u32::try_from(last - first + 1).expect("small"));
                prop_assert!(count <= bound + 1e-6, "{count} in {window} s, allowed {bound}");
            }
        }
    }
}

#[test]
fn try_admit_retry_after_is_enough() {
    let now = Instant::now();
    let meter = RateMeter::new(now);
    meter.set_floor(MilliRate::new(3_000));
    meter.try_admit(now).expect("first request");
    let Err(LimitError::RateExceeded { retry_after }) = meter.try_admit(now) else {
        panic!("the second request exceeds the rate");
    };
    let just_before = now
        + retry_after
            .checked_sub(Duration::from_nanos(1))
            .expect("positive");
    meter
        .try_admit(just_before)
        .expect_err("before retry_after");
    meter
        .try_admit(now + retry_after)
        .expect("retry_after has passed");
}

#[test]
fn rate_leased_part_ends_with_lease() {
    let now = Instant::now();
    let meter = RateMeter::new(now);
    assert_eq!(meter.try_admit(now), Err(LimitError::NoShare));
    meter.set_floor(MilliRate::new(5));
    meter.set_leased(MilliRate::new(7), Some(now + Duration::from_secs(1)));
    assert_eq!(meter.rate(now), MilliRate::new(12));
    assert_eq!(meter.rate(now + Duration::from_secs(1)), MilliRate::new(5));
}

/// A reader that combines the amount of one lease with the end of another would admit requests
/// beyond the share.
#[test]
fn set_leased_threads_never_torn() {
    const ROUNDS: u64 = 500_000;
    let now = Instant::now();
    let meter = RateMeter::new(now);
    std::thread::scope(|scope| {
        let writer = scope.spawn(|| {
            for round in 1..=ROUNDS {
                let until = now + Duration::from_nanos(round);
                meter.set_leased(MilliRate::new(1), Some(until));
                meter.set_leased(MilliRate::new(100), Some(now));
            }
        });
        while !writer.is_finished() {
            assert!(
                meter.rate(now).get() <= 1,
                "the amount of one lease was read with the end of another"
            );
        }
    });
}

#[test]
fn try_enter_threads_within_limit() {
    const LIMIT: u32 = 7;
    let now = Instant::now();
    let meter = Arc::new(InFlightMeter::new(now));
    meter.set_floor(SlotCount::new(LIMIT));
    std::thread::scope(|scope| {
        for _ in 0..4 {
            scope.spawn(|| {
                for _ in 0..2_000 {
                    let permit = meter.try_enter(now);
                    assert!(meter.used().get() <= LIMIT);
                    drop(permit);
                }
            });
        }
    });
    assert_eq!(meter.used().get(), 0);
    let permits: Vec<_> = (0..=LIMIT)
        .filter_map(|_| meter.try_enter(now).ok())
        .collect();
    assert_eq!(permits.len(), LIMIT as usize);
}

#[test]
fn with_workspace_spreads_over_shards() {
    let shard_of = |number: u32| {
        let key: ShareKey = format!("workspace-{number}|llm")
            .parse()
            .expect("valid key");
        ShareShard::with_workspace(&key.workspace, 8)
    };
    let mut counts = std::collections::BTreeMap::new();
    for number in 0..3_800 {
        *counts.entry(shard_of(number)).or_insert(0_u32) += 1;
    }
    assert_eq!(counts.len(), 8);
    // 475 on average, 20 % either way.
    assert!(
        counts.values().all(|count| (380..=570).contains(count)),
        "{counts:?}"
    );
}
