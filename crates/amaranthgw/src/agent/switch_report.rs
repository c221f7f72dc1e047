//! Durations of the parts of a map switch, for the log and the metrics.

use std::time::Duration;

use amaranthgw_groups::rebalance::{DriverEvent, SwitchPhase};
use tokio::time::Instant;

/// A map switch in progress.
#[derive(Clone, Debug)]
pub(super) struct SwitchReport {
    began_at: Instant,
    phase: &'static str,
    phase_since: Instant,
    preparing: Duration,
    held: Duration,
    settling: Duration,
}

/// A map switch that has ended.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(super) struct SwitchOutcome {
    /// Whether the new map came into force.
    pub(super) is_switched: bool,
    /// Why it ended.
    pub(super) cause: &'static str,
    /// Time from the plan to the end.
    pub(super) total: Duration,
    /// Time in which the ranks copied weights.
    pub(super) preparing: Duration,
    /// Time from the order to hold a rank to its release.
    pub(super) held: Duration,
    /// Time from the release until all ranks used the map.
    pub(super) settling: Duration,
}

impl SwitchReport {
    /// Begins the report of a switch planned at `now`.
    pub(super) const fn new(now: Instant) -> Self {
        Self {
            began_at: now,
            phase: "preparing",
            phase_since: now,
            preparing: Duration::ZERO,
            held: Duration::ZERO,
            settling: Duration::ZERO,
        }
    }

    /// Records that the driver entered a phase; returns the outcome if the switch has ended.
    pub(super) fn record(&mut self, event: &DriverEvent, now: Instant) -> Option<SwitchOutcome> {
        let spent = now.saturating_duration_since(self.phase_since);
        match self.phase {
            "preparing" => self.preparing += spent,
            "settling" => self.settling += spent,
            _ => self.held += spent,
        }
        (self.phase, self.phase_since) = (event.phase, now);
        (event.phase == SwitchPhase::Idle.name()).then(|| SwitchOutcome {
            is_switched: event.cause == "switched",
            cause: event.cause,
            total: now.saturating_duration_since(self.began_at),
            preparing: self.preparing,
            held: self.held,
            settling: self.settling,
        })
    }
}
