//! What is known of an attempt at the time of a decision.

use std::time::Duration;

/// How far the answer of an attempt has come.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum AttemptStage {
    /// Neither a whole plain answer nor an event has arrived; the request may still be queued.
    Waiting,
    /// The target has sent events of its stream.
    Streaming,
}

/// What is known of the rank group of a target.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum GroupHealth {
    /// The target has no group, or its group runs as far as is known.
    Sound,
    /// All streams of its group are silent, and so are those of any other group.
    Stalled,
    /// All streams of its group are silent, and another group of the service runs.
    StalledAlone,
}

/// Runs and sends of a request so far, with the current one.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct RunCount {
    /// Sends that a target has run or may have run.
    pub runs: u32,
    /// Sends to targets.
    pub sends: u32,
}

/// What is known of an attempt whose target sends nothing.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct AttemptFacts {
    /// How far its answer has come.
    pub stage: AttemptStage,
    /// Runs and sends of the request, with this one.
    pub count: RunCount,
    /// Time since the request was sent to the target, or since the last event.
    pub silent_for: Duration,
    /// Time until the deadline of the request.
    pub left: Duration,
    /// Time since the last search for another target ended; `None` if there was none.
    pub sought_before: Option<Duration>,
    /// Whether the target probably has as many requests as it can run, so that a new one is queued there.
    pub is_full: bool,
    /// State of the target's rank group.
    pub group: GroupHealth,
    /// Time since any target of the service sent data to this process.
    pub service_silent_for: Duration,
    /// Whether the request or parts of its prompt have crashed targets.
    pub is_convicted: bool,
}
