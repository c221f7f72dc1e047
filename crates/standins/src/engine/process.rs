//! State of an engine process, from its start to the next crash.

use amaranthgw_core::StartMark;

use crate::marks::new_start_mark;

/// State that is reset by a restart.
#[derive(Clone, Copy, Debug)]
pub(super) struct EngineProcess {
    pub(super) start_mark: StartMark,
    pub(super) is_warm: bool,
    /// Requests finished since the engine was last cold.
    pub(super) finished: u64,
}

impl EngineProcess {
    /// Creates the state of a cold process with a new start mark.
    pub(super) fn new() -> Self {
        Self {
            start_mark: new_start_mark(),
            is_warm: false,
            finished: 0,
        }
    }

    /// Makes the engine cold without a restart; the start mark stays.
    pub(super) fn turn_cold(&mut self) {
        self.is_warm = false;
        self.finished = 0;
    }
}
