//! A value whose readers see it with a fixed delay.

use std::collections::VecDeque;
use std::time::Duration;

use tokio::time::Instant;

/// A value whose changes become visible after the lag.
#[derive(Debug)]
pub(crate) struct LaggedValue<T> {
    lag: Duration,
    /// Value before all of `changes`.
    base: T,
    /// Later values and when they were set, oldest first.
    changes: VecDeque<(Instant, T)>,
}

impl<T> LaggedValue<T> {
    /// Creates a lagged value; `initial` is visible immediately.
    pub(crate) fn new(lag: Duration, initial: T) -> Self {
        Self {
            lag,
            base: initial,
            changes: VecDeque::new(),
        }
    }

    /// Sets the value at `now`; it becomes visible after the lag.
    pub(crate) fn set(&mut self, now: Instant, value: T) {
        self.drop_superseded(now);
        self.changes.push_back((now, value));
    }

    /// Sets the lag of all later reads, also for changes already made.
    pub(crate) fn set_lag(&mut self, lag: Duration) {
        self.lag = lag;
    }

    /// Delay until a change becomes visible.
    pub(crate) fn lag(&self) -> Duration {
        self.lag
    }

    /// The value that is visible at `now`.
    pub(crate) fn get(&self, now: Instant) -> &T {
        let visible = self
            .changes
            .iter()
            .rev()
            .find(|entry| self.is_visible(entry, now));
        visible.map_or(&self.base, |(_, value)| value)
    }

    fn drop_superseded(&mut self, now: Instant) {
        while self
            .changes
            .front()
            .is_some_and(|entry| self.is_visible(entry, now))
        {
            if let Some((_, value)) = self.changes.pop_front() {
                self.base = value;
            }
        }
    }

    fn is_visible(&self, entry: &(Instant, T), now: Instant) -> bool {
        now.saturating_duration_since(entry.0) >= self.lag
    }
}
