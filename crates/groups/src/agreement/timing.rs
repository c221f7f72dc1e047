//! Intervals and timeouts of the agreement.

use std::time::Duration;

use amaranthgw_core::{MilliSpan, RankId};

/// Intervals and timeouts of a group.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct GroupTiming {
    /// Interval between transmissions of an unanswered message or order.
    pub retry_interval: MilliSpan,
    /// Delay from a promise to the first query for its outcome.
    pub query_delay: MilliSpan,
    /// Time without a message from the opener after which another rank opens a generation.
    pub opener_timeout: MilliSpan,
    /// Extra delay per rank number, so that ranks do not act simultaneously.
    pub stagger: MilliSpan,
    /// Time from the first `Prepare` until the coordinator gives the proposal up.
    pub prepare_timeout: MilliSpan,
    /// Steps from the newest reported step to the step of a change.
    pub lead_steps: u64,
}

impl GroupTiming {
    /// Creates the values for a network with round trips of a few milliseconds.
    #[must_use]
    pub const fn new() -> Self {
        Self {
            retry_interval: MilliSpan::new(200),
            query_delay: MilliSpan::new(300),
            opener_timeout: MilliSpan::new(1_000),
            stagger: MilliSpan::new(5),
            prepare_timeout: MilliSpan::new(2_000),
            lead_steps: 8,
        }
    }

    /// `delay` plus the stagger of a rank.
    #[must_use]
    pub fn staggered(&self, delay: MilliSpan, rank: RankId) -> Duration {
        delay.duration() + self.stagger.duration() * u32::from(rank.get())
    }
}

impl Default for GroupTiming {
    fn default() -> Self {
        Self::new()
    }
}
