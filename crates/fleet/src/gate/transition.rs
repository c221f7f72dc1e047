//! Gate stages and transitions, as reported for logging.

use amaranthgw_core::{SlotCount, StartMark};

/// Slow-start stage of a target.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord)]
pub enum GateStage {
    /// Unknown what the target still runs: nothing is admitted.
    Settling,
    /// At the cold limit.
    Cold,
    /// Between the cold and the full limit.
    Warming,
    /// At the full limit.
    Full,
}

/// Reason why a gate was reset to the cold limit.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum ColdCause {
    /// The target process restarted.
    MarkChanged {
        /// Previous start mark.
        from: StartMark,
        /// New start mark.
        to: StartMark,
    },
    /// The time to the first chunk rose above its baseline at the same load.
    LatencyStep {
        /// Ratio of recent median to baseline, in percent.
        ratio_percent: u32,
    },
    /// Too many answers failed within a window.
    Failures {
        /// Failed answers in the window.
        failed: u32,
    },
    /// A connection to the target broke or was refused.
    Broken,
    /// The target returned to service after a drain.
    Returned,
    /// No answer arrived for so long that earlier observations are out of date.
    Stale,
}

impl std::fmt::Display for ColdCause {
    fn fmt(&self, f: &mut std::fmt::Formatter<'_>) -> std::fmt::Result {
        match self {
            Self::MarkChanged { from, to } => {
                write!(f, "start mark changed from {from} to {to}")
            }
            Self::LatencyStep { ratio_percent } => {
                write!(f, "time to first chunk is {ratio_percent}% of its baseline")
            }
            Self::Failures { failed } => write!(f, "{failed} answers failed"),
            Self::Broken => f.write_str("connection broke"),
            Self::Returned => f.write_str("back in service"),
            Self::Stale => f.write_str("no recent answer"),
        }
    }
}

/// Inputs of a limit decision.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct ShiftInputs {
    /// Answers in time since the last change of the limit.
    pub in_time: u32,
    /// Late answers in the current window.
    pub late: u32,
    /// Failed answers in the current window.
    pub failed: u32,
    /// Peak requests in flight since the last change of the limit.
    pub peak_in_flight: SlotCount,
    /// Upper bound on requests that the target may still run and that the sidecar does not wait for.
    pub leftover: SlotCount,
}

/// Effect of one observation or tick on the gate.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum GateTransition {
    /// The limit before abandoned calls are subtracted is unchanged.
    Unchanged,
    /// Admission began at the cold limit: a bound on what the target still runs is known.
    Opened {
        /// Calls that the target may still run.
        leftover: SlotCount,
    },
    /// The limit was increased.
    Raised {
        /// Previous limit.
        from: SlotCount,
        /// New limit.
        to: SlotCount,
        /// Inputs of the decision.
        inputs: ShiftInputs,
    },
    /// The limit was decreased because of late answers.
    Lowered {
        /// Previous limit.
        from: SlotCount,
        /// New limit.
        to: SlotCount,
        /// Inputs of the decision.
        inputs: ShiftInputs,
    },
    /// The gate was reset to the cold limit.
    WentCold {
        /// Previous limit.
        from: SlotCount,
        /// New limit.
        to: SlotCount,
        /// Reason of the reset.
        cause: ColdCause,
        /// Inputs of the decision.
        inputs: ShiftInputs,
    },
}
