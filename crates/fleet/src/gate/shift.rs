//! Outcomes of a gate, to be logged.

use amaranthgw_core::{SlotCount, StartMark};

/// How far the target has warmed up.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord)]
pub enum GateStage {
    /// Nothing is known of what the target still runs: no admission.
    Settling,
    /// At the cold limit.
    Cold,
    /// Between the cold and the full limit.
    Ramping,
    /// At the full limit.
    Full,
}

/// Why a gate fell back to cold.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum ColdCause {
    /// The target process started again.
    MarkChanged {
        /// Mark before.
        from: StartMark,
        /// Mark now.
        to: StartMark,
    },
    /// The time to the first chunk rose against its usual value at the same load.
    LatencyStep {
        /// Ratio of recent to usual value, in percent.
        ratio_percent: u32,
    },
    /// Too many answers failed within a window.
    Failures {
        /// Failed answers.
        failed: u32,
    },
    /// The connection to the target broke.
    Broken,
    /// The target is back in service after it had left.
    Returned,
    /// No answer arrived for so long that the evidence is out of date.
    Stale,
}

impl std::fmt::Display for ColdCause {
    fn fmt(&self, f: &mut std::fmt::Formatter<'_>) -> std::fmt::Result {
        match self {
            Self::MarkChanged { from, to } => {
                write!(f, "start mark changed from {from} to {to}")
            }
            Self::LatencyStep { ratio_percent } => {
                write!(
                    f,
                    "time to first chunk is {ratio_percent}% of its usual value"
                )
            }
            Self::Failures { failed } => write!(f, "{failed} answers failed"),
            Self::Broken => f.write_str("connection broke"),
            Self::Returned => f.write_str("back in service"),
            Self::Stale => f.write_str("no recent answer"),
        }
    }
}

/// What a decision was based on.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct ShiftInputs {
    /// Answers in time since the last change of the limit.
    pub in_time: u32,
    /// Late answers in the current window.
    pub late: u32,
    /// Failed answers in the current window.
    pub failed: u32,
    /// Largest number of requests in flight since the last change of the limit.
    pub peak_in_flight: SlotCount,
    /// Calls that the target may still run although nobody waits for them.
    pub leftover: SlotCount,
}

/// What one input or tick changed.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum GateShift {
    /// Nothing.
    Held,
    /// It is now known what the target still runs: admissions begin at the cold limit.
    Opened {
        /// Calls it may still run.
        leftover: SlotCount,
    },
    /// The limit rose.
    Raised {
        /// Limit before.
        from: SlotCount,
        /// Limit now.
        to: SlotCount,
        /// Inputs of the decision.
        inputs: ShiftInputs,
    },
    /// The limit fell because answers were late.
    Lowered {
        /// Limit before.
        from: SlotCount,
        /// Limit now.
        to: SlotCount,
        /// Inputs of the decision.
        inputs: ShiftInputs,
    },
    /// The gate fell back to cold.
    WentCold {
        /// Limit before.
        from: SlotCount,
        /// Limit now.
        to: SlotCount,
        /// Why.
        cause: ColdCause,
        /// Inputs of the decision.
        inputs: ShiftInputs,
    },
}
