//! Load shedding by refund weight and deadline.

use std::time::Duration;

use amaranthgw_fleet::retries::{ShedInput, ShedReason, ShedThreshold, ShedVerdict, WeightLoad};
use proptest::prelude::*;
use tokio::time::Instant;

fn admitted_share(threshold: ShedThreshold, refund_weight: u32) -> f32 {
    const DRAWS: u16 = 1_000;
    let now = Instant::now();
    let admits = |draw: &u16| {
        let input = ShedInput {
            refund_weight,
            needed: Duration::ZERO,
            deadline: now,
            draw: f32::from(*draw) / f32::from(DRAWS),
        };
        threshold.decide(&input, now) == ShedVerdict::Admit
    };
    let admitted = (0..DRAWS).filter(admits).count();
    f32::from(u16::try_from(admitted).expect("small")) / f32::from(DRAWS)
}

proptest! {
    #[test]
    fn decide_highest_weight_first_within_capacity(
        loads in prop::collection::vec((0_u32..5, 0.0_f32..100.0), 1..8),
        capacity in 0.0_f32..300.0,
    ) {
        let make = |(refund_weight, load)| WeightLoad { refund_weight, load };
        let offered: Vec<WeightLoad> = loads.into_iter().map(make).collect();
        let threshold = ShedThreshold::with_load(&offered, capacity);
        let share = |row: &WeightLoad| admitted_share(threshold, row.refund_weight);
        let admitted: f32 = offered.iter().map(|row| row.load * share(row)).sum();
        let total: f32 = offered.iter().map(|row| row.load).sum();
        prop_assert!(admitted <= capacity.min(total) + total * 0.002 + 0.01);
        prop_assert!(admitted >= capacity.min(total) - total * 0.002 - 0.01, "capacity is left unused");
        for (low, high) in offered.iter().zip(offered.iter().skip(1)) {
            let is_ordered = low.refund_weight < high.refund_weight;
            prop_assert!(!is_ordered || share(low) <= 0.0 || share(high) >= 1.0);
        }
    }
}

#[test]
fn decide_deadline_too_near() {
    let now = Instant::now();
    let input = ShedInput {
        refund_weight: 9,
        needed: Duration::from_millis(101),
        deadline: now + Duration::from_millis(100),
        draw: 0.0,
    };
    let verdict = ShedThreshold::new().decide(&input, now);
    assert_eq!(verdict, ShedVerdict::Shed(ShedReason::DeadlineTooNear));
}
