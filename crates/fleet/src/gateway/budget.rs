//! The part of a service's requests that may be sent once more, over a sliding window.

use std::collections::VecDeque;
use std::sync::atomic::{AtomicU64, Ordering};
use std::sync::{Mutex, MutexGuard, PoisonError};
use std::time::Duration;

use tokio::time::Instant;

/// What a service may send once more.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct WindowSettings {
    /// Repeats that each request allows.
    pub ratio: f64,
    /// Repeats allowed beside these in each window.
    pub slack: f64,
    /// Length of the window.
    pub window: Duration,
}

/// Requests and repeats of one slice of time.
#[derive(Clone, Copy, Debug)]
struct WindowSlice {
    started_at: Instant,
    requests: u32,
    repeats: u32,
}

#[derive(Debug)]
struct WindowState {
    settings: WindowSettings,
    slices: VecDeque<WindowSlice>,
}

/// Slices of a window; each counts whole until its end leaves the window.
const SLICES: u32 = 20;

/// Requests and repeats of one service at this process; shared by its traffic threads.
#[derive(Debug)]
pub struct WindowBudget {
    state: Mutex<WindowState>,
    started_at: Instant,
    progress_ms: AtomicU64,
}

impl WindowBudget {
    /// Creates the budget of a service without traffic by `now`.
    #[must_use]
    pub fn new(settings: WindowSettings, now: Instant) -> Self {
        Self {
            state: Mutex::new(WindowState {
                settings,
                slices: VecDeque::new(),
            }),
            started_at: now,
            progress_ms: AtomicU64::new(0),
        }
    }

    /// Puts other settings in force; what was counted stays.
    pub fn adopt(&self, settings: WindowSettings) {
        self.state().settings = settings;
    }

    fn state(&self) -> MutexGuard<'_, WindowState> {
        self.state.lock().unwrap_or_else(PoisonError::into_inner)
    }

    /// Notes that a target of the service sent something at `now`.
    pub fn note_progress(&self, now: Instant) {
        self.progress_ms.store(self.millis(now), Ordering::Relaxed);
    }

    /// How long no target of the service has sent anything to this process at `now`.
    #[must_use]
    pub fn silent_for(&self, now: Instant) -> Duration {
        let last = self.progress_ms.load(Ordering::Relaxed);
        Duration::from_millis(self.millis(now).saturating_sub(last))
    }

    fn millis(&self, at: Instant) -> u64 {
        let since = at.saturating_duration_since(self.started_at).as_millis();
        u64::try_from(since).unwrap_or(u64::MAX)
    }

    /// Counts a request that is sent for the first time at `now`.
    pub fn record_request(&self, now: Instant) {
        if let Some(last) = self.state().advance(now) {
            last.requests += 1;
        }
    }

    /// Takes one repeat from the budget; `false` where none is left at `now`.
    #[must_use]
    pub fn try_repeat(&self, now: Instant) -> bool {
        let mut state = self.state();
        state.advance(now);
        let requests: u32 = state.slices.iter().map(|slice| slice.requests).sum();
        let repeats: u32 = state.slices.iter().map(|slice| slice.repeats).sum();
        let allowed = f64::from(requests) * state.settings.ratio + state.settings.slack;
        let is_allowed = f64::from(repeats) + 1.0 <= allowed;
        if let Some(last) = state.slices.back_mut().filter(|_| is_allowed) {
            last.repeats += 1;
        }
        is_allowed
    }
}

impl WindowState {
    /// Drops slices that left the window and gives the current one.
    fn advance(&mut self, now: Instant) -> Option<&mut WindowSlice> {
        let slice_length = self.settings.window / SLICES;
        let lasts = self.settings.window + slice_length;
        let age = |slice: &WindowSlice| now.saturating_duration_since(slice.started_at);
        while self.slices.front().is_some_and(|slice| age(slice) > lasts) {
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
                repeats: 0,
            });
        }
        self.slices.back_mut()
    }
}
