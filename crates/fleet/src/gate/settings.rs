//! Settings of a gate.

use amaranthgw_core::{MilliSpan, SlotCount};
use serde::{Deserialize, Serialize};

use super::PartPercent;

/// Limits, growth and windows of a gate.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
#[serde(default, deny_unknown_fields)]
pub struct GateSettings {
    /// Requests that a target bears right after its start.
    pub cold_limit: SlotCount,
    /// Requests that a warmed-up target bears.
    pub full_limit: SlotCount,
    /// Growth of the limit at one raise, below the level that last proved too high.
    pub growth: PartPercent,
    /// Smallest growth at one raise, and all of it above the level that last proved too high.
    pub growth_step: SlotCount,
    /// Shortest time between two raises.
    pub growth_window: MilliSpan,
    /// Answers in time that a raise needs at least; it also needs as many as the limit.
    pub growth_answers: u32,
    /// Share of the limit that must have been in flight for an answer to count for a raise.
    pub growth_use: PartPercent,
    /// Window over which late answers and failures are counted.
    pub trouble_window: MilliSpan,
    /// Share of late answers in a window above which the limit is lowered.
    pub late_share: PartPercent,
    /// Share of the limit that is kept when it is lowered.
    pub late_keep: PartPercent,
    /// Failed answers in a window at which the gate falls back to cold.
    pub failed_answers: u32,
    /// Ratio of recent to usual time to the first chunk at which the gate falls back to cold.
    pub latency_step: PartPercent,
    /// Time without an answer after which a warm gate falls back to cold.
    pub stale_after: MilliSpan,
    /// Longest time that the target may go on running a call nobody waits for.
    pub settle_time: MilliSpan,
    /// Longest time between the hand-over of a call and its appearance in a load report.
    pub report_margin: MilliSpan,
}

impl Default for GateSettings {
    fn default() -> Self {
        Self {
            cold_limit: SlotCount::new(2),
            full_limit: SlotCount::new(32),
            growth: PartPercent::new(50),
            growth_step: SlotCount::new(1),
            growth_window: MilliSpan::new(500),
            growth_answers: 4,
            growth_use: PartPercent::new(50),
            trouble_window: MilliSpan::new(2_000),
            late_share: PartPercent::new(10),
            late_keep: PartPercent::new(70),
            failed_answers: 3,
            latency_step: PartPercent::new(300),
            stale_after: MilliSpan::new(600_000),
            settle_time: MilliSpan::new(60_000),
            report_margin: MilliSpan::new(250),
        }
    }
}
