//! A value whose readers see it as it was some time ago.

use std::collections::VecDeque;
use std::time::Duration;

use tokio::time::Instant;

/// The history of a value, as far back as its lag reaches.
#[derive(Debug)]
pub(crate) struct LaggedValue<T> {
    lag: Duration,
    first: T,
    later: VecDeque<(Instant, T)>,
}

impl<T> LaggedValue<T> {
    /// Creates the value; readers see `first` at once.
    pub(crate) fn new(lag: Duration, first: T) -> Self {
        Self {
            lag,
            first,
            later: VecDeque::new(),
        }
    }

    /// Sets the value at `now`; readers see it one lag later.
    pub(crate) fn set(&mut self, now: Instant, value: T) {
        self.forget_passed(now);
        self.later.push_back((now, value));
    }

    /// Changes the lag for readers from now on.
    pub(crate) fn set_lag(&mut self, lag: Duration) {
        self.lag = lag;
    }

    /// How far behind its readers are.
    pub(crate) fn lag(&self) -> Duration {
        self.lag
    }

    /// The value as it was one lag before `now`.
    pub(crate) fn get(&self, now: Instant) -> &T {
        let passed = self
            .later
            .iter()
            .rev()
            .find(|entry| self.is_passed(entry, now));
        passed.map_or(&self.first, |(_, value)| value)
    }

    fn forget_passed(&mut self, now: Instant) {
        while self
            .later
            .front()
            .is_some_and(|entry| self.is_passed(entry, now))
        {
            if let Some((_, value)) = self.later.pop_front() {
                self.first = value;
            }
        }
    }

    fn is_passed(&self, entry: &(Instant, T), now: Instant) -> bool {
        now.saturating_duration_since(entry.0) >= self.lag
    }
}
