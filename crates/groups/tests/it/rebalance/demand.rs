//! Expert demand from the selection counts that ranks report.

use std::time::Duration;

use amaranthgw_core::{GroupGeneration, MapVersion, RankId, StartMark, StepNumber};
use amaranthgw_groups::rebalance::{ExpertDemand, RankView};
use tokio::time::Instant;

fn view(rank: u16, born: u64, counts: [u64; 3]) -> RankView {
    RankView {
        group: "g".parse().expect("group"),
        generation: GroupGeneration::new(1),
        rank: RankId::new(rank),
        size: 2,
        is_open: true,
        born: StartMark::new(born),
        step: StepNumber::new(1),
        map: MapVersion::new(0),
        prepared: None,
        armed: None,
        held: None,
        pace_milli: 1_000,
        counts: counts.to_vec(),
        experts: Vec::new(),
    }
}

fn near(value: f64, expected: f64) -> bool {
    (value - expected).abs() < 0.02
}

#[test]
fn observe_differences() {
    let (mut demand, start) = (ExpertDemand::new(1, 3), Instant::now());
    assert!(!demand.observe(&[view(0, 1, [5_000, 0, 0]), view(1, 1, [0, 0, 0])], start));
    let later = start + Duration::from_secs(5);
    let views = [view(0, 1, [5_000, 600, 0]), view(1, 1, [0, 0, 200])];
    assert!(demand.observe(&views, later));
    let recent = &demand.recent()[0];
    assert!(
        near(recent[0], 0.0) && near(recent[1], 0.75) && near(recent[2], 0.25),
        "{recent:?}"
    );
}

#[test]
fn observe_restarted_rank() {
    let (mut demand, start) = (ExpertDemand::new(1, 3), Instant::now());
    demand.observe(&[view(0, 1, [9_000, 0, 0])], start);
    // The counts of a new process restart at 0 and can't be compared with the old ones.
    assert!(!demand.observe(&[view(0, 2, [0, 500, 0])], start + Duration::from_secs(1)));
    assert!(demand.observe(&[view(0, 2, [0, 500, 900])], start + Duration::from_secs(9)));
    assert!(near(demand.recent()[0][2], 1.0));
}

#[test]
fn observe_long_term_outlives_shift() {
    let (mut demand, mut now) = (ExpertDemand::new(1, 3), Instant::now());
    let mut counts = [0; 3];
    for round in 0..40 {
        now += Duration::from_millis(250);
        counts[usize::from(round >= 20)] += 1_000;
        demand.observe(&[view(0, 1, counts)], now);
    }
    assert!(demand.recent()[0][0] < 0.05);
    assert!(demand.long_term()[0][0] > 0.3);
}

#[test]
fn observe_counts_not_read() {
    let (mut demand, start) = (ExpertDemand::new(1, 3), Instant::now());
    let mut unread = view(0, 1, [0, 0, 0]);
    unread.counts.clear();
    assert!(!demand.observe(&[unread], start));
}
