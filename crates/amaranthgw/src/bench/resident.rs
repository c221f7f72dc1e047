//! Memory of values by the growth of the resident set.

use std::hint::black_box;

/// Bytes of a page of memory.
const PAGE_BYTES: u64 = 4_096;

/// Resident bytes that each of `copies` values made by `make` takes while all of them live.
///
/// As many values are made before them, which use up what the allocator still holds of memory
/// that was freed. All are kept until the process ends, so that no later measurement finds their
/// memory free. Counts what the allocator rounds up too, so small values need many copies.
pub(super) fn resident_bytes<T>(copies: u32, mut make: impl FnMut() -> T) -> f64 {
    let fill: Vec<T> = (0..copies).map(|_| make()).collect();
    let before = resident_pages();
    let kept: Vec<T> = (0..copies).map(|_| make()).collect();
    let pages = resident_pages().saturating_sub(before);
    std::mem::forget(black_box((fill, kept)));
    let bytes = u32::try_from(pages * PAGE_BYTES).unwrap_or(u32::MAX);
    f64::from(bytes) / f64::from(copies)
}

fn resident_pages() -> u64 {
    let text = std::fs::read_to_string("/proc/self/statm").unwrap_or_default();
    let pages = text.split_whitespace().nth(1);
    pages.and_then(|pages| pages.parse().ok()).unwrap_or(0)
}
