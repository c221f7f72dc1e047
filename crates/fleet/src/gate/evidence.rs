//! What a gate learns about its target.

use std::time::Duration;

use amaranthgw_core::{SlotCount, StartMark};
use tokio::time::Instant;

/// One whole answer of the target.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct AnswerEvidence {
    /// When the request was admitted.
    pub admitted_at: Instant,
    /// Requests in flight right after its admission, itself included.
    pub in_flight: SlotCount,
    /// Time from hand-over to the first chunk.
    pub first_chunk: Duration,
    /// Whether the answer kept its service level as far as the target is concerned.
    pub is_in_time: bool,
}

/// A load report of the target.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct LoadEvidence {
    /// Start mark of the target process.
    pub mark: StartMark,
    /// Requests that run or queue at the target.
    pub in_flight: SlotCount,
    /// Earliest time at which the report can have been true.
    pub sampled_at: Instant,
}

/// Input of a gate.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum GateEvidence {
    /// The target finished an answer.
    Answer(AnswerEvidence),
    /// The target answered with an error of its own.
    Failed,
    /// The connection to the target broke, or the target refused it.
    Broken,
    /// The target reported its load.
    Load(LoadEvidence),
    /// The target is back in service after it had left.
    Returned,
    /// Calls were given up whose end the target has not confirmed.
    Abandoned(SlotCount),
}
