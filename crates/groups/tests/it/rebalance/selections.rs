//! Samples of selections that are added up on the way.

use amaranthgw_groups::rebalance::SelectionSample;
use proptest::prelude::*;

/// Largest error of a count that was sent once, relative to the largest count of its block: half
/// a unit of the rounding, which keeps at least seven significant bits.
const MAX_ERROR: f64 = 0.5 / 128.0;
/// Number of experts in a block.
const BLOCK: usize = 64;

fn as_float(count: u64) -> f64 {
    f64::from(u32::try_from(count).expect("small count"))
}

/// The sample as its receiver gets it.
fn sent(sample: &SelectionSample) -> SelectionSample {
    let bytes = postcard::to_allocvec(sample).expect("bytes");
    postcard::from_bytes(&bytes).expect("sample")
}

proptest! {
    #[test]
    fn add_samples_of_many_ranks(
        ranks in prop::collection::vec(prop::collection::vec(0_u64..100_000, 200), 1..40)
    ) {
        let mut sum = SelectionSample::default();
        for counts in &ranks {
            sum.add(&sent(&SelectionSample::new(counts.clone())));
        }
        let sum = sent(&sum);
        let exact: Vec<u64> = (0..200).map(|expert| ranks.iter().map(|it| it[expert]).sum()).collect();
        for (sums, exacts) in sum.counts().chunks(BLOCK).zip(exact.chunks(BLOCK)) {
            let most = exacts.iter().copied().max().unwrap_or_default();
            // Once at each rank, whose largest counts sum up to more than that of the sum, and once
            // on the way on.
            let largest: u64 = ranks.iter().map(|it| it.iter().copied().max().unwrap_or(0)).sum();
            let tolerance = (as_float(largest) + as_float(most)) * MAX_ERROR + 1.0;
            for (sum, exact) in sums.iter().zip(exacts) {
                prop_assert!((as_float(*sum) - as_float(*exact)).abs() <= tolerance, "{sum} for {exact}");
            }
        }
    }

    #[test]
    fn counts_any_bytes(bytes in prop::collection::vec(any::<u8>(), 0..400)) {
        // A sample from outside may hold any shifts, and more or fewer of them than blocks.
        if let Ok(sample) = postcard::from_bytes::<SelectionSample>(&bytes) {
            let mut sum = sample.clone();
            sum.add(&sample);
            prop_assert!(sum.counts().len() <= bytes.len());
        }
    }
}

#[test]
fn new_small_counts_are_exact() {
    let sample = SelectionSample::new((0..250).collect());
    assert_eq!(sent(&sample), sample);
}

#[test]
fn new_is_small() {
    let sample = SelectionSample::new((0..3_072).map(|expert| expert * 977).collect());
    let bytes = postcard::to_allocvec(&sample).expect("bytes").len();
    assert!(bytes < 3_200, "{bytes}");
}

#[test]
fn add_other_size_keeps_larger() {
    let mut sample = SelectionSample::new(vec![1, 2]);
    sample.add(&SelectionSample::new(vec![1, 2, 3]));
    assert_eq!(sample.counts(), [1, 2, 3]);
    sample.add(&SelectionSample::new(vec![9]));
    assert_eq!(sample.counts(), [1, 2, 3]);
}
