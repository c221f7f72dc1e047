//! Straggler detection: a stalled rank must not be reported as an overloaded one.

use std::time::Duration;

use amaranthgw_core::{RankId, TokenCount};
use amaranthgw_groups::placement::{RankSample, StragglerCause, StragglerTracker};
use yare::parameterized;

const RANKS: u16 = 32;
const CHANGED_RANK: u16 = 7;

/// Samples of ranks with 1,000 to 1,031 tokens that take 10 ms plus 10 µs per token, and of
/// [`CHANGED_RANK`], which has `changed_tokens` and takes `busy_factor` times as long.
fn samples(changed_tokens: u64, busy_factor: u32) -> Vec<RankSample> {
    let sample = |rank: u16| {
        let is_changed = rank == CHANGED_RANK;
        let tokens = if is_changed {
            changed_tokens
        } else {
            1_000 + u64::from(rank)
        };
        let busy = Duration::from_millis(10) + Duration::from_micros(10 * tokens);
        RankSample {
            rank: RankId::new(rank),
            tokens: TokenCount::new(tokens),
            busy: if is_changed { busy * busy_factor } else { busy },
        }
    };
    (0..RANKS).map(sample).collect()
}

#[parameterized(
    observe_even = { 1_000, 1, None },
    observe_overloaded = { 2_000, 1, Some(StragglerCause::Overloaded) },
    observe_stalled = { 1_000, 2, Some(StragglerCause::Stalled) },
    observe_stalled_with_little_load = { 300, 3, Some(StragglerCause::Stalled) },
    observe_stalled_and_overloaded = { 2_000, 2, Some(StragglerCause::Stalled) },
)]
fn observe(changed_tokens: u64, busy_factor: u32, cause: Option<StragglerCause>) {
    let mut tracker = StragglerTracker::new();
    let mut found = Vec::new();
    for _ in 0..4 {
        found = tracker.observe(&samples(changed_tokens, busy_factor));
    }
    let expected: Vec<_> = cause
        .map(|cause| (RankId::new(CHANGED_RANK), cause))
        .into_iter()
        .collect();
    assert_eq!(found, expected);
}

#[test]
fn observe_one_slow_sample() {
    let mut tracker = StragglerTracker::new();
    assert!(tracker.observe(&samples(1_000, 3)).is_empty());
    assert!(tracker.observe(&samples(1_000, 1)).is_empty());
}
