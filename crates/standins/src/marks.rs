//! Start marks of target processes.

use amaranthgw_core::StartMark;

/// Exclusive upper bound of start marks, so that JSON readers which parse numbers as doubles lose
/// no digit.
const START_MARK_BOUND: u64 = 1 << 53;

/// Returns a random start mark; a collision with an earlier one is very unlikely.
pub(crate) fn new_start_mark() -> StartMark {
    StartMark::new(fastrand::u64(1..START_MARK_BOUND))
}
