//! Settings for admission control.

use amaranthgw_core::{MilliSpan, SlotCount};
use serde::{Deserialize, Serialize};

use super::PartPercent;

/// Limits, slow start and failure windows of a gate.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
#[serde(default, deny_unknown_fields)]
pub struct GateSettings {
    /// Requests in flight that a target can handle right after its start.
    pub cold_limit: SlotCount,
    /// Requests in flight that a warm target can handle.
    pub full_limit: SlotCount,
    /// Growth at one raise, in percent of the limit, while the limit is below the one set by the
    /// last decrease for late answers. Without such a decrease since the last reset, it always
    /// applies.
    pub growth: PartPercent,
    /// Minimum growth at one raise. Once the limit has reached the one set by the last decrease for
    /// late answers, every raise is by this much.
    pub growth_step: SlotCount,
    /// Minimum time between a change of the limit and the next raise.
    pub growth_window: MilliSpan,
    /// Minimum answers in time before a raise, which also needs at least as many answers in time as
    /// the current limit.
    pub growth_answers: u32,
    /// Share of the limit that requests in flight must have reached since the last change before a
    /// raise.
    pub growth_use: PartPercent,
    /// Length of the window over which late and failed answers are counted.
    pub trouble_window: MilliSpan,
    /// Share of late answers in a window above which the limit is decreased.
    pub late_share: PartPercent,
    /// Share of the limit that remains after a decrease.
    pub late_keep: PartPercent,
    /// Number of failed answers in a window that resets the gate to the cold limit.
    pub failed_answers: u32,
    /// The gate is reset to the cold limit when the recent time to the first chunk reaches this
    /// percentage of its baseline.
    pub latency_step: PartPercent,
    /// Time without an answer after which the gate is reset to the cold limit.
    pub stale_after: MilliSpan,
    /// Maximum time for which the target may keep running an abandoned call; also the longest wait
    /// before admission begins.
    pub settle_time: MilliSpan,
    /// Maximum time between the dispatch of a call and its appearance in a load report.
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
