//! Time limits of the agreement.

use std::time::Duration;

use amaranthgw_core::{MilliSpan, RankId};

/// Time limits of a group.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct GroupTiming {
    /// Between two sendings of an unanswered message or order.
    pub retry: MilliSpan,
    /// From a promise to the first question about its outcome.
    pub doubt: MilliSpan,
    /// Silence of an opener after which another rank opens a generation.
    pub opening: MilliSpan,
    /// Added per rank, so that ranks do not act at once.
    pub stagger: MilliSpan,
    /// From the first `Prepare` until the coordinator gives up.
    pub prepare: MilliSpan,
    /// Steps between the current one and the step of a change.
    pub lead_steps: u64,
}

impl GroupTiming {
    /// Creates the limits for a network with round trips of a few milliseconds.
    #[must_use]
    pub const fn new() -> Self {
        Self {
            retry: MilliSpan::new(200),
            doubt: MilliSpan::new(300),
            opening: MilliSpan::new(1_000),
            stagger: MilliSpan::new(5),
            prepare: MilliSpan::new(2_000),
            lead_steps: 8,
        }
    }

    /// A limit plus the stagger of a rank.
    #[must_use]
    pub fn staggered(&self, limit: MilliSpan, rank: RankId) -> Duration {
        limit.duration() + self.stagger.duration() * u32::from(rank.get())
    }
}

impl Default for GroupTiming {
    fn default() -> Self {
        Self::new()
    }
}
