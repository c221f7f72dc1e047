//! Fault injection of the key-value service, and its call counters.

use std::time::Duration;

use amaranthgw_core::MilliSpan;
use serde::{Deserialize, Serialize};

/// Fault mode of the service.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq, Serialize, Deserialize)]
#[serde(rename_all = "lowercase")]
pub(super) enum FaultMode {
    /// Answers without faults.
    #[default]
    Up,
    /// Closes connections without an answer.
    Down,
    /// Delays every call, half before and half after it takes effect.
    Slow,
}

/// Body of `POST /admin/faults`; replaces all earlier fault settings.
#[derive(Clone, Debug, Default, Deserialize)]
#[serde(default, deny_unknown_fields)]
pub(super) struct StoreFaults {
    pub(super) mode: FaultMode,
    #[serde(rename = "delay_ms", with = "crate::units::millis")]
    delay: MilliSpan,
    /// Number of following writes that take effect but get no answer.
    lose_answers: u64,
}

impl StoreFaults {
    /// Half of the injected delay: calls wait this long before they take effect and again after.
    pub(super) fn half_delay(&self) -> Duration {
        if self.mode == FaultMode::Slow {
            self.delay.duration() / 2
        } else {
            Duration::ZERO
        }
    }

    /// Whether to lose the answer to a successful write; counts down the answers to lose.
    pub(super) fn take_lost_answer(&mut self) -> bool {
        let is_lost = self.lose_answers > 0;
        self.lose_answers = self.lose_answers.saturating_sub(1);
        is_lost
    }
}

/// Number of calls since the start, by type; `writes` includes calls that grant, renew or end a
/// lease.
#[derive(Clone, Copy, Debug, Default, Serialize)]
pub(super) struct CallCounts {
    pub(super) reads: u64,
    pub(super) writes: u64,
    pub(super) watches: u64,
}
