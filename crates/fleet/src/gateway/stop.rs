//! Which requests a stopping gateway still takes.

use std::time::Duration;

use tokio::time::Instant;

/// Time for the platform's balancer to stop sending connections to a stopping gateway: it polls
/// once a second and removes a process after two failed polls.
const BALANCER_NOTICE_DELAY: Duration = Duration::from_millis(2_800);
/// Time before the forced end at which remaining requests are cut off.
const CUT_OFF_MARGIN: Duration = Duration::from_millis(400);
/// Time after the deadline of a request within which the end of its answer is written.
const LATE_ANSWER_TIME: Duration = Duration::from_millis(250);

/// Times of a gateway's stop.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct StopPlan {
    drains_from: Instant,
    ends_at: Instant,
}

impl StopPlan {
    /// Plans a stop that was asked for at `stopped_at` and is forced after `grace`.
    #[must_use]
    pub fn new(stopped_at: Instant, grace: Duration) -> Self {
        Self {
            drains_from: stopped_at + BALANCER_NOTICE_DELAY.min(grace / 2),
            ends_at: stopped_at + grace.saturating_sub(CUT_OFF_MARGIN),
        }
    }

    /// When the process closes its listener.
    #[must_use]
    pub const fn drains_from(&self) -> Instant {
        self.drains_from
    }

    /// When the process ends at the latest.
    #[must_use]
    pub const fn ends_at(&self) -> Instant {
        self.ends_at
    }

    /// Whether a request that is complete at `now` is taken: while connections still arrive, or if it ends by
    /// its `deadline` before the process does.
    #[must_use]
    pub fn takes(&self, deadline: Instant, now: Instant) -> bool {
        now < self.drains_from || deadline + LATE_ANSWER_TIME <= self.ends_at
    }
}
