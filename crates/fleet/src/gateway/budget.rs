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

/// Whether a retry was granted, with the counts that decided it.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct BudgetDecision {
    /// Whether the retry was granted.
    pub is_granted: bool,
    /// Requests of the last window.
    pub requests: u32,
    /// Retries of the window that leaves the fewest, without this one.
    pub retries: u32,
    /// Retries that this window allows.
    pub allowed: f64,
}

/// Requests and retries counted in one slice of time.
#[derive(Clone, Copy, Debug)]
struct WindowSlice {
    /// Number of the slice since the start of the budget.
    number: u64,
    requests: u32,
    retries: u32,
}

#[derive(Debug)]
struct WindowState {
    settings: WindowSettings,
    /// End of a time in which other processes may have spent the same slack.
    unknown_until: Option<Instant>,
    started_at: Instant,
    /// Slices of the last two windows with requests or retries.
    slices: VecDeque<WindowSlice>,
}

/// Slices per half window.
const HALF_SLICES: u64 = 20;
/// Slices per window.
const SLICES: u64 = 2 * HALF_SLICES;
/// Slices that are kept before the current one.
const HISTORY_SLICES: u64 = 2 * SLICES;
/// Totals of these slices and of the current one, after a first one of zero.
const TOTALS: usize = 82;
const _: () = assert!(
    TOTALS as u64 == HISTORY_SLICES + 2,
    "one total for each slice"
);

/// Counts requests and retries of one service in this process, and keeps the time of the last data
/// from its targets; shared by traffic threads.
///
/// In every window of time, retries are at most the slack and the ratio of the mean of three counts of
/// requests: those of the window, of the window before it, and of the one half a window before it. The
/// bound is linear in the requests, so it holds for the sum of many processes if each keeps to it,
/// wherever the traffic moves between them, with their slack added up. The mean of the counts is never
/// above the largest of them.
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
                started_at: now,
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

    /// Grants slack from now on, as no earlier process has served.
    pub fn trust_past(&self) {
        self.state().unknown_until = None;
    }

    /// Applies new settings; accumulated counts are kept.
    pub fn adopt(&self, settings: WindowSettings) {
        let mut state = self.state();
        if state.settings.window != settings.window {
            state.renumber(settings.window);
        }
        state.settings = settings;
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
        self.state().current(now).requests += 1;
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
        let decision = state.decide(now);
        if decision.is_granted {
            state.current(now).retries += 1;
        }
        decision
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

    /// Number of the slice of `now`. Threads may pass times that are slightly out of order.
    fn number(&self, now: Instant) -> u64 {
        let last = self.slices.back().map_or(0, |slice| slice.number);
        slice_number(self.started_at, now, self.settings.window).max(last)
    }

    /// The slice of `now`; slices before the last two windows are dropped.
    fn current(&mut self, now: Instant) -> &mut WindowSlice {
        let number = self.number(now);
        let is_old = |slice: &WindowSlice| slice.number + HISTORY_SLICES < number;
        while self.slices.front().is_some_and(is_old) {
            self.slices.pop_front();
        }
        let mut slice = WindowSlice {
            number,
            requests: 0,
            retries: 0,
        };
        if let Some(known) = self.slices.pop_back_if(|last| last.number == number) {
            slice = known;
        }
        self.slices.push_back_mut(slice)
    }

    /// Checks all windows that hold one more retry at `now`.
    fn decide(&self, now: Instant) -> BudgetDecision {
        let last = self.number(now);
        let totals = WindowTotals::new(&self.slices, last);
        let slack = self.slack(now);
        let mut decision = BudgetDecision {
            is_granted: true,
            requests: totals.requests(last.saturating_sub(SLICES), last),
            retries: 0,
            allowed: f64::INFINITY,
        };
        let mut least_left = f64::INFINITY;
        for first in last.saturating_sub(SLICES)..=last {
            let retries = totals.retries_since(first);
            let allowed = self.settings.ratio * totals.mean_requests(first) + slack;
            let left = allowed - f64::from(retries) - 1.0;
            if left < least_left {
                least_left = left;
                decision.retries = retries;
                decision.allowed = allowed;
            }
        }
        decision.is_granted = least_left >= 0.0;
        decision
    }

    /// Numbers the slices anew for a window of another length, by their starts.
    fn renumber(&mut self, window: Duration) {
        let old_window = self.settings.window.as_secs_f64();
        for slice in &mut self.slices {
            let offset = as_f64(slice.number) / as_f64(SLICES) * old_window;
            let offset = Duration::try_from_secs_f64(offset).unwrap_or_default();
            slice.number = slice_number(self.started_at, self.started_at + offset, window);
        }
    }
}

/// Requests and retries of the last two windows, summed up to each slice.
struct WindowTotals {
    /// Number of the first slice.
    oldest: u64,
    /// Number of the last slice.
    last: u64,
    /// Requests before the slice at each index.
    requests: [u32; TOTALS],
    /// Retries before the slice at each index.
    retries: [u32; TOTALS],
}

impl WindowTotals {
    fn new(slices: &VecDeque<WindowSlice>, last: u64) -> Self {
        let oldest = last.saturating_sub(HISTORY_SLICES);
        let (mut requests, mut retries) = ([0; TOTALS], [0; TOTALS]);
        for slice in slices.iter().filter(|slice| slice.number >= oldest) {
            let index = index_after(oldest, slice.number);
            requests[index] += slice.requests;
            retries[index] += slice.retries;
        }
        for index in 1..TOTALS {
            requests[index] += requests[index - 1];
            retries[index] += retries[index - 1];
        }
        Self {
            oldest,
            last,
            requests,
            retries,
        }
    }

    /// Requests of the slices `from` to `until`.
    fn requests(&self, from: u64, until: u64) -> u32 {
        let from = from.max(self.oldest);
        let until = until.min(self.last);
        if until < from {
            return 0;
        }
        let before = self.requests[index_after(self.oldest, from) - 1];
        self.requests[index_after(self.oldest, until)] - before
    }

    /// Retries of the slices since `from`.
    fn retries_since(&self, from: u64) -> u32 {
        let before = self.retries[index_after(self.oldest, from) - 1];
        self.retries[index_after(self.oldest, self.last)] - before
    }

    /// Mean of the requests in a window that begins within the slice `first`, in the one half a window
    /// before it and in the one before it. Slices of which only a part lies in a window don't count, but
    /// for `first` itself, as all its requests lie either in the window or in the one before it.
    fn mean_requests(&self, first: u64) -> f64 {
        let both = self.requests((first + 1).saturating_sub(SLICES), self.last);
        let half_before = self.requests(
            (first + 1).saturating_sub(HALF_SLICES),
            first + HALF_SLICES - 1,
        );
        (f64::from(both) + f64::from(half_before)) / 3.0
    }
}

/// Index of the totals that include the slice `number`, if they begin with `oldest`.
fn index_after(oldest: u64, number: u64) -> usize {
    let index = usize::try_from(number.saturating_sub(oldest)).unwrap_or(usize::MAX);
    index.saturating_add(1).min(TOTALS - 1)
}

/// Number of the slice of `at`, counted from `started_at`.
fn slice_number(started_at: Instant, at: Instant, window: Duration) -> u64 {
    let since = at.saturating_duration_since(started_at).as_nanos();
    let number = since * u128::from(SLICES) / window.as_nanos().max(1);
    u64::try_from(number).unwrap_or(u64::MAX)
}

/// `number` as a float; exact below 2^53.
#[expect(
    clippy::cast_precision_loss,
    reason = "numbers of slices are far below 2^53"
)]
const fn as_f64(number: u64) -> f64 {
    number as f64
}
