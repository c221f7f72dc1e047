//! Times of operations on one thread.

use std::time::Instant;

/// Median time of `repeats` runs of `run`, in microseconds.
pub(super) fn median_us(repeats: u32, mut run: impl FnMut(u32)) -> f64 {
    let time = |turn| {
        let started_at = Instant::now();
        run(turn);
        started_at.elapsed().as_secs_f64() * 1e6
    };
    let mut times: Vec<f64> = (0..repeats).map(time).collect();
    times.sort_unstable_by(f64::total_cmp);
    times[times.len() / 2]
}
