//! Fault modes of the key-value service.

use std::time::Duration;

use amaranthgw_core::MilliSpan;
use serde::{Deserialize, Serialize};

/// How the service answers.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq, Serialize, Deserialize)]
#[serde(rename_all = "lowercase")]
pub(super) enum FaultMode {
    /// Without faults.
    #[default]
    Up,
    /// Closes connections at once.
    Down,
    /// Answers late.
    Slow,
}

/// The fault settings as the test control sends them; each message replaces the last.
#[derive(Clone, Debug, Default, Deserialize)]
#[serde(default, deny_unknown_fields)]
pub(super) struct StoreFaults {
    pub(super) mode: FaultMode,
    #[serde(rename = "delay_ms", with = "crate::millis")]
    delay: MilliSpan,
    lose_answers: u64,
}

impl StoreFaults {
    /// Delay of each call, half of it before the call takes effect and half after.
    pub(super) fn half_delay(&self) -> Duration {
        if self.mode == FaultMode::Slow {
            self.delay.duration() / 2
        } else {
            Duration::ZERO
        }
    }

    /// Whether the answer to a write that took effect is lost.
    pub(super) fn take_lost_answer(&mut self) -> bool {
        let is_lost = self.lose_answers > 0;
        self.lose_answers = self.lose_answers.saturating_sub(1);
        is_lost
    }
}

/// Calls since the start.
#[derive(Clone, Copy, Debug, Default, Serialize)]
pub(super) struct CallCounts {
    pub(super) reads: u64,
    pub(super) writes: u64,
    pub(super) watches: u64,
}
