//! One life of an engine, from a start to the next fall-over.

use amaranthgw_core::StartMark;

/// Start marks stay below this bound, so that any JSON reader keeps them exact.
const START_MARK_BOUND: u64 = 1 << 53;

/// What a start begins anew.
#[derive(Clone, Copy, Debug)]
pub(super) struct EngineLife {
    pub(super) start_mark: StartMark,
    pub(super) is_warm: bool,
    /// Requests finished since the engine was last cold.
    pub(super) finished: u64,
}

impl EngineLife {
    /// Begins a life with a new start mark.
    pub(super) fn new() -> Self {
        Self {
            start_mark: StartMark::new(fastrand::u64(1..START_MARK_BOUND)),
            is_warm: false,
            finished: 0,
        }
    }

    /// Turns cold within the same life.
    pub(super) fn turn_cold(&mut self) {
        self.is_warm = false;
        self.finished = 0;
    }
}
