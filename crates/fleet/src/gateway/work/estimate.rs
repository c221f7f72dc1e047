//! Expected work of a request.

use std::time::Duration;

use amaranthgw_core::TokenCount;

/// What a request is expected to take from the target that runs it.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub struct WorkEstimate {
    /// Time to read the prompt.
    pub read_time: Duration,
    /// Time for which the request has a slot, at a target that runs as many as it can.
    pub slot_time: Duration,
    /// Memory at the end of the request.
    pub memory: TokenCount,
}
