//! Shares of a cold target's rate.

use std::time::Duration;

use amaranthgw_core::RequestRate;
use amaranthgw_fleet::gateway::{ColdShare, TargetGauge};
use tokio::time::Instant;
use yare::parameterized;

const SECOND: Duration = Duration::from_secs(1);
const STEP: Duration = Duration::from_millis(5);
/// Length of a simulation; all gateways restart in the middle.
const LENGTH: Duration = Duration::from_secs(8);

/// Requests that a cold target may get within any second.
fn bound(rate: u64) -> usize {
    usize::try_from(rate * 3 / 2 + 5).expect("fits")
}

/// Times at which `gateways` admit requests to one cold target for which each always has one.
fn admitted(rate: u64, gateways: u32) -> Vec<Instant> {
    let share = ColdShare::new(RequestRate::new(rate), gateways);
    let start = Instant::now();
    let restart = || -> Vec<_> { (0..gateways).map(|_| TargetGauge::new(start)).collect() };
    let mut gauges = restart();
    let mut times = Vec::new();
    // The demand begins long after the start, and at all gateways at once.
    let mut now = start + Duration::from_mins(1);
    let (restart_at, end) = (now + LENGTH / 2, now + LENGTH);
    while now < end {
        if now == restart_at {
            gauges = restart();
        }
        for gauge in &gauges {
            while gauge.try_admit_cold(share, now) {
                times.push(now);
            }
        }
        now += STEP;
    }
    times
}

fn peak(times: &[Instant]) -> usize {
    let in_second_from = |(first, start): (usize, &Instant)| {
        let end = *start + SECOND;
        times[first..].iter().take_while(|at| **at < end).count()
    };
    let counts = times.iter().enumerate().map(in_second_from);
    counts.max().unwrap_or(0)
}

// A cold target was flooded: two windows of every gateway fitted in a second, a restart began a new
// window, and each gateway could send one request a window however many gateways there were.
#[parameterized(
    single = { 28, 1 },
    few = { 28, 3 },
    site = { 28, 14 },
    site_low_rate = { 4, 14 },
    more_gateways_than_rate = { 28, 60 },
    target_size = { 28, 400 },
)]
fn try_admit_cold_bounded_in_every_second(rate: u64, gateways: u32) {
    for seed in 0..10 {
        fastrand::seed(seed);
        let times = admitted(rate, gateways);
        let peak = peak(&times);
        assert!(peak <= bound(rate), "seed {seed}: {peak}");
        // About three quarters of the rate is used.
        let least = usize::try_from(rate * LENGTH.as_secs() / 2).expect("fits");
        assert!(times.len() >= least, "seed {seed}: {}", times.len());
    }
}

#[parameterized(
    high_rate = { 10_000, 2 },
    no_rate = { 0, 3 },
)]
fn new_share_of_extreme_rate(rate: u64, gateways: u32) {
    let share = ColdShare::new(RequestRate::new(rate), gateways);
    let per_second = f64::from(share.sends()) / share.slot().as_secs_f64() * f64::from(gateways);
    let rate = f64::from(u32::try_from(rate.max(1)).expect("fits"));
    assert!((per_second / rate - 0.75).abs() < 0.01, "{per_second}");
}
