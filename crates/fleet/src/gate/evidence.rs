//! Observations of a target that its gate bases decisions on.

use std::time::Duration;

use amaranthgw_core::{SlotCount, StartMark};
use tokio::time::Instant;

/// One complete answer of the target.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct AnswerEvidence {
    /// Admission time of the request.
    pub admitted_at: Instant,
    /// Requests in flight right after admission, including this one.
    pub in_flight: SlotCount,
    /// Time from dispatch to the first chunk.
    pub first_chunk: Duration,
    /// Whether the answer ended by the plan's deadline, which the entry passes on.
    pub is_in_time: bool,
}

/// Load report of the target.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct LoadEvidence {
    /// Start mark of the target process; changes with each restart.
    pub mark: StartMark,
    /// Requests that are running or queued at the target.
    pub in_flight: SlotCount,
    /// Earliest time at which the load can have been sampled.
    pub sampled_at: Instant,
}

/// One observation of a target.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum GateEvidence {
    /// The target completed an answer.
    Answer(AnswerEvidence),
    /// The target answered with an error.
    Failed,
    /// The connection to the target broke, or the target refused it.
    Broken,
    /// The target reported its load.
    Load(LoadEvidence),
    /// The target returned to service after a drain.
    Returned,
    /// This many calls were abandoned before the target confirmed their end.
    Abandoned(SlotCount),
}
