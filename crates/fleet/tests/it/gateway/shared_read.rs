//! Reads that one gateway makes for all.

use std::time::Duration;

use amaranthgw_fleet::gateway::ReadWindow;
use proptest::prelude::*;
use yare::parameterized;

const WINDOW: ReadWindow =
    ReadWindow::new(Duration::from_millis(400), Duration::from_millis(1_100));

proptest! {
    #[test]
    fn delay_within_window(gateways in 0_u32..5_000, draw in 0.0..1.0_f64) {
        let delay = WINDOW.delay(gateways, draw);
        prop_assert!(delay >= WINDOW.shortest && delay <= WINDOW.longest);
    }
}

// Without the exponential distribution, about a tenth of all gateways would read.
#[parameterized(
    five = { 5 },
    fifty = { 53 },
    fleet = { 1_747 },
)]
fn delay_few_read_before_the_others_hear(gateways: u32) {
    // Time from a read until the other gateways have heard of it.
    let told_after = Duration::from_millis(60);
    let mut rng = fastrand::Rng::with_seed(5);
    let rounds = 400;
    let mut reads = 0;
    for _ in 0..rounds {
        let draws = (0..gateways).map(|_| WINDOW.delay(gateways, rng.f64()));
        let delays: Vec<Duration> = draws.collect();
        let first = delays.iter().copied().min().expect("a gateway");
        let heard = first + told_after;
        reads += delays.iter().filter(|delay| **delay < heard).count();
    }
    assert!(reads < 4 * rounds, "{reads} reads in {rounds} rounds");
}

#[test]
fn delay_single_gateway() {
    assert_eq!(WINDOW.delay(1, 0.0), WINDOW.longest);
}
