//! Timing of operations on one thread.

use std::time::Instant;

/// Median duration of `repeats` runs of `run`, in microseconds; `run` gets the index of the run.
pub(super) fn median_us(repeats: u32, mut run: impl FnMut(u32)) -> f64 {
    let time = |index| {
        let started_at = Instant::now();
        run(index);
        started_at.elapsed().as_secs_f64() * 1e6
    };
    let mut times: Vec<f64> = (0..repeats).map(time).collect();
    times.sort_unstable_by(f64::total_cmp);
    times[times.len() / 2]
}
