//! Retry budget of a service, as a ratio of its requests over a sliding window.

use std::collections::VecDeque;
use std::sync::atomic::{AtomicU64, Ordering};
use std::sync::{Mutex, MutexGuard, PoisonError};
use std::time::Duration;

use tokio::time::Instant;

/// Limits of a retry budget.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct WindowSettings {
    /// Ratio of retries to requests that is allowed within a window.
    pub ratio: f64,
    /// Retries allowed per window in addition to the ratio.
    pub slack: f64,
    /// Length of the sliding window.
    pub window: Duration,
}

/// Requests and retries counted in one slice of the window.
#[derive(Clone, Copy, Debug)]
struct WindowSlice {
    started_at: Instant,
    requests: u32,
    retries: u32,
}

#[derive(Debug)]
struct WindowState {
    settings: WindowSettings,
    /// End of a time in which other processes may have spent the same slack.
    unknown_until: Option<Instant>,
    slices: VecDeque<WindowSlice>,
}

/// Whether a retry was granted, with the counts that decided it.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct BudgetDecision {
    /// Whether the retry was granted.
    pub is_granted: bool,
    /// Requests of the window.
    pub requests: u32,
    /// Retries of the window, without this one.
    pub retries: u32,
    /// Retries that were allowed.
    pub allowed: f64,
}

/// Slices per window; a slice is counted until it lies entirely before the window.
const SLICES: u32 = 20;

/// Counts requests and retries of one service in this process, and keeps the time of the last data
/// from its targets; shared by traffic threads.
#[derive(Debug)]
pub struct WindowBudget {
    state: Mutex<WindowState>,
    started_at: Instant,
    progress_ms: AtomicU64,
}

impl WindowBudget {
    /// Creates the budget of a service that has had no traffic before `now`.
    #[must_use]
    pub fn new(settings: WindowSettings, now: Instant) -> Self {
        Self {
            state: Mutex::new(WindowState {
                settings,
                unknown_until: None,
                slices: VecDeque::new(),
            }),
            started_at: now,
            progress_ms: AtomicU64::new(0),
        }
    }

    /// Grants no slack until a whole window has passed since `until`: up to then an earlier process may
    /// have granted the same, which nothing has recorded. The ratio holds at once, as it applies to the
    /// requests of this process.
    #[must_use]
    pub fn with_unknown_past(self, until: Instant) -> Self {
        self.state().unknown_until = Some(until);
        self
    }

    /// Applies new settings; accumulated counts are kept.
    pub fn adopt(&self, settings: WindowSettings) {
        self.state().settings = settings;
    }

    fn state(&self) -> MutexGuard<'_, WindowState> {
        self.state.lock().unwrap_or_else(PoisonError::into_inner)
    }

    /// Records that a target of the service sent data at `now`.
    pub fn record_progress(&self, now: Instant) {
        self.progress_ms.store(self.millis(now), Ordering::Relaxed);
    }

    /// Time since a target of the service last sent data to this process, or since the creation of
    /// the budget.
    #[must_use]
    pub fn silent_for(&self, now: Instant) -> Duration {
        let last = self.progress_ms.load(Ordering::Relaxed);
        Duration::from_millis(self.millis(now).saturating_sub(last))
    }

    fn millis(&self, at: Instant) -> u64 {
        let since = at.saturating_duration_since(self.started_at).as_millis();
        u64::try_from(since).unwrap_or(u64::MAX)
    }

    /// Counts the first attempt of a request at `now`.
    pub fn record_first(&self, now: Instant) {
        if let Some(last) = self.state().advance(now) {
            last.requests += 1;
        }
    }

    /// Takes one retry from the budget; `false` if the budget is exhausted at `now`.
    #[must_use]
    pub fn try_spend(&self, now: Instant) -> bool {
        self.spend(now).is_granted
    }

    /// Takes one retry from the budget at `now`, unless it is exhausted.
    #[must_use]
    pub fn spend(&self, now: Instant) -> BudgetDecision {
        let mut state = self.state();
        state.advance(now);
        let requests: u32 = state.slices.iter().map(|slice| slice.requests).sum();
        let retries: u32 = state.slices.iter().map(|slice| slice.retries).sum();
        let allowed = f64::from(requests) * state.settings.ratio + state.slack(now);
        let is_granted = f64::from(retries) + 1.0 <= allowed;
        if let Some(last) = state.slices.back_mut().filter(|_| is_granted) {
            last.retries += 1;
        }
        BudgetDecision {
            is_granted,
            requests,
            retries,
            allowed,
        }
    }
}

impl WindowState {
    fn slack(&self, now: Instant) -> f64 {
        let is_unknown = |until| now.saturating_duration_since(until) <= self.settings.window;
        if self.unknown_until.is_some_and(is_unknown) {
            return 0.0;
        }
        self.settings.slack
    }

    /// Drops slices that left the window and returns the current one, which it starts if needed.
    fn advance(&mut self, now: Instant) -> Option<&mut WindowSlice> {
        let slice_length = self.settings.window / SLICES;
        let retention = self.settings.window + slice_length;
        let age = |slice: &WindowSlice| now.saturating_duration_since(slice.started_at);
        while self
            .slices
            .front()
            .is_some_and(|slice| age(slice) > retention)
        {
            self.slices.pop_front();
        }
        if self
            .slices
            .back()
            .is_none_or(|slice| age(slice) >= slice_length)
        {
            self.slices.push_back(WindowSlice {
                started_at: now,
                requests: 0,
                retries: 0,
            });
        }
        self.slices.back_mut()
    }
}
