//! Expert demand from the selections that ranks report.

use std::time::Duration;

use amaranthgw_core::{GroupGeneration, StartMark};
use amaranthgw_groups::rebalance::{ExpertDemand, SelectionCounter, SelectionSample};
use tokio::time::Instant;

fn near(value: f64, expected: f64) -> bool {
    (value - expected).abs() < 0.02
}

/// Sample of one rank's counter after `counts`, which grow from the start `born` of the rank.
fn advance(counter: &mut SelectionCounter, born: u64, counts: [u64; 3]) -> Option<SelectionSample> {
    counter.advance(
        StartMark::new(born),
        GroupGeneration::new(1),
        counts.to_vec(),
    )
}

#[test]
fn observe_differences() {
    let (mut demand, start) = (ExpertDemand::new(1, 3), Instant::now());
    let (mut first, mut second) = (SelectionCounter::new(), SelectionCounter::new());
    assert_eq!(advance(&mut first, 1, [5_000, 0, 0]), None);
    assert_eq!(advance(&mut second, 1, [0, 0, 0]), None);
    let mut sum = advance(&mut first, 1, [5_000, 600, 0]).expect("sample");
    sum.add(&advance(&mut second, 1, [0, 0, 200]).expect("sample"));
    assert!(demand.observe(&sum, start + Duration::from_secs(5)));
    let recent = &demand.recent()[0];
    assert!(
        near(recent[0], 0.0) && near(recent[1], 0.75) && near(recent[2], 0.25),
        "{recent:?}"
    );
}

#[test]
fn observe_restarted_rank() {
    let (mut demand, start) = (ExpertDemand::new(1, 3), Instant::now());
    let mut counter = SelectionCounter::new();
    advance(&mut counter, 1, [9_000, 0, 0]);
    // The counts of a new process restart at 0 and can't be compared with the old ones.
    assert_eq!(advance(&mut counter, 2, [0, 500, 0]), None);
    let sample = advance(&mut counter, 2, [0, 500, 900]).expect("sample");
    assert!(demand.observe(&sample, start + Duration::from_secs(9)));
    assert!(near(demand.recent()[0][2], 1.0));
}

#[test]
fn advance_new_generation() {
    let mut counter = SelectionCounter::new();
    advance(&mut counter, 1, [9_000, 0, 0]);
    let counts = vec![9_500, 0, 0];
    let reopened = GroupGeneration::new(2);
    assert_eq!(counter.advance(StartMark::new(1), reopened, counts), None);
}

#[test]
fn observe_long_term_outlives_shift() {
    let (mut demand, mut now) = (ExpertDemand::new(1, 3), Instant::now());
    let mut counter = SelectionCounter::new();
    let mut counts = [0; 3];
    advance(&mut counter, 1, counts);
    for round in 0..40 {
        now += Duration::from_millis(250);
        counts[usize::from(round >= 20)] += 1_000;
        let sample = advance(&mut counter, 1, counts).expect("sample");
        demand.observe(&sample, now);
    }
    assert!(demand.recent()[0][0] < 0.05);
    assert!(demand.long_term()[0][0] > 0.3);
}

#[test]
fn observe_other_shape() {
    let (mut demand, start) = (ExpertDemand::new(1, 3), Instant::now());
    assert!(!demand.observe(&SelectionSample::default(), start));
    assert!(!demand.observe(&SelectionSample::new(vec![500; 4]), start));
    assert_eq!(demand.observed_at(), None);
}

#[test]
fn observe_few_selections() {
    let (mut demand, start) = (ExpertDemand::new(1, 3), Instant::now());
    assert!(!demand.observe(&SelectionSample::new(vec![60; 3]), start));
    assert!(demand.observe(&SelectionSample::new(vec![70; 3]), start));
}
