//! Memory use of values, measured as growth of the resident set.

use std::hint::black_box;

/// Size of a memory page.
const PAGE_BYTES: u64 = 4_096;

/// Mean resident bytes of each of `copies` values created by `make`.
///
/// The same number of values is created first to use up freed memory that the allocator still
/// holds. All values are leaked, so that later measurements can't reuse their memory. The result
/// includes the allocator's rounding, so small values need many copies.
pub(super) fn resident_bytes<T>(copies: u32, mut make: impl FnMut() -> T) -> f64 {
    let filler: Vec<T> = (0..copies).map(|_| make()).collect();
    let before = resident_pages();
    let measured: Vec<T> = (0..copies).map(|_| make()).collect();
    let pages = resident_pages().saturating_sub(before);
    std::mem::forget(black_box((filler, measured)));
    let bytes = u32::try_from(pages * PAGE_BYTES).unwrap_or(u32::MAX);
    f64::from(bytes) / f64::from(copies)
}

fn resident_pages() -> u64 {
    let text = std::fs::read_to_string("/proc/self/statm").unwrap_or_default();
    let pages = text.split_whitespace().nth(1);
    pages.and_then(|pages| pages.parse().ok()).unwrap_or(0)
}
