//! Retry budget over a sliding window.

use std::time::Duration;

use amaranthgw_fleet::gateway::{WindowBudget, WindowSettings};
use proptest::prelude::*;
use tokio::time::Instant;

const SETTINGS: WindowSettings = WindowSettings {
    ratio: 0.2,
    slack: 5.0,
    window: Duration::from_secs(10),
};

#[test]
fn try_spend_slack_only() {
    let now = Instant::now();
    let budget = WindowBudget::new(SETTINGS, now);
    let granted = (0..20).filter(|_| budget.try_spend(now)).count();
    assert_eq!(granted, 5);
    assert!(budget.try_spend(now + Duration::from_secs(12)));
}

#[test]
fn try_spend_earned() {
    let now = Instant::now();
    let budget = WindowBudget::new(SETTINGS, now);
    for _ in 0..50 {
        budget.record_first(now);
    }
    let granted = (0..100).filter(|_| budget.try_spend(now)).count();
    assert_eq!(granted, 15);
}

#[test]
fn adopt_keeps_counts() {
    let now = Instant::now();
    let budget = WindowBudget::new(SETTINGS, now);
    while budget.try_spend(now) {}
    budget.adopt(WindowSettings {
        slack: 7.0,
        ..SETTINGS
    });
    let granted = (0..20).filter(|_| budget.try_spend(now)).count();
    assert_eq!(granted, 2);
}

#[test]
fn silent_for_since_progress() {
    let start = Instant::now();
    let budget = WindowBudget::new(SETTINGS, start);
    budget.record_progress(start + Duration::from_millis(300));
    let silent_for = budget.silent_for(start + Duration::from_millis(900));
    assert_eq!(silent_for, Duration::from_millis(600));
}

proptest! {
    #[test]
    fn try_spend_bounded_in_every_window(steps in prop::collection::vec((0_u64..900, any::<bool>()), 1..400)) {
        let start = Instant::now();
        let budget = WindowBudget::new(SETTINGS, start);
        let mut now = start;
        let (mut requests, mut retries) = (Vec::new(), Vec::new());
        for (pause, is_request) in steps {
            now += Duration::from_millis(pause);
            if is_request {
                budget.record_first(now);
                requests.push(now);
            } else if budget.try_spend(now) {
                retries.push(now);
            }
        }
        for end in &retries {
            let within = |at: &&Instant| **at <= *end && end.duration_since(**at) <= SETTINGS.window;
            let retries = retries.iter().filter(within).count();
            // A request is counted until its slice, a twentieth of the window, lies before the
            // window. The bound allows two slices.
            let slice = SETTINGS.window / 10;
            let counted = |at: &&Instant| **at <= *end && end.duration_since(**at) <= SETTINGS.window + slice;
            let requests = requests.iter().filter(counted).count();
            let count = |length: usize| f64::from(u32::try_from(length).expect("count"));
            prop_assert!(count(retries) <= count(requests) * SETTINGS.ratio + SETTINGS.slack);
        }
    }
}
