//! Start marks of target processes.

use amaranthgw_core::StartMark;

/// Start marks stay below this bound, so that any JSON reader keeps them exact.
const START_MARK_BOUND: u64 = 1 << 53;

/// A start mark that no earlier start had, but for a vanishing chance.
pub(crate) fn new_start_mark() -> StartMark {
    StartMark::new(fastrand::u64(1..START_MARK_BOUND))
}
