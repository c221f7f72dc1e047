//! Retry budget over a sliding window.

use std::time::Duration;

use amaranthgw_fleet::gateway::{WindowBudget, WindowSettings};
use proptest::prelude::*;
use tokio::time::Instant;

use super::fleet_budget::{counts, window_starts};

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
    // Two of the three windows hold the requests: 5 + 0.2 * 100 / 3.
    let granted = (0..100).filter(|_| budget.try_spend(now)).count();
    assert_eq!(granted, 11);
}

#[test]
fn try_spend_earned_steadily() {
    let start = Instant::now();
    let budget = WindowBudget::new(SETTINGS, start);
    let mut granted = 0;
    for step in 0..3_000 {
        let now = start + Duration::from_millis(10) * step;
        budget.record_first(now);
        granted += u32::from(budget.try_spend(now) && step >= 2_000);
    }
    // A fifth of the 1,000 requests of a window, less what partial slices hold, and the slack.
    assert!((185..=205).contains(&granted), "{granted} retries");
}

#[test]
fn adopt_other_window_keeps_counts() {
    let start = Instant::now();
    let budget = WindowBudget::new(SETTINGS, start);
    let now = start + Duration::from_secs(7);
    while budget.try_spend(now) {}
    budget.adopt(WindowSettings {
        window: Duration::from_secs(20),
        ..SETTINGS
    });
    assert!(!budget.try_spend(now + Duration::from_secs(19)));
    assert!(budget.try_spend(now + Duration::from_secs(22)));
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
        for from in window_starts(&retries, SETTINGS.window) {
            let (retries, requests) = counts(&retries, &requests, from, SETTINGS.window);
            prop_assert!(retries <= requests * SETTINGS.ratio + SETTINGS.slack);
        }
    }
}
