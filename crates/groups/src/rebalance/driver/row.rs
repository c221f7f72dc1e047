//! What a driver knows of one rank: its latest view, how old that is, and the state of its order.

use std::time::Duration;

use tokio::time::Instant;

use super::super::RankView;

/// When a view of a rank was requested, and how old the state in it could be by then.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct ViewTime {
    requested_at: Instant,
    max_age: Duration,
}

impl ViewTime {
    /// Creates the time of a view requested at `requested_at` that shows the state as of then or later.
    #[must_use]
    pub const fn new(requested_at: Instant) -> Self {
        Self {
            requested_at,
            max_age: Duration::ZERO,
        }
    }

    /// Sets the age that the state could have when the view was requested.
    #[must_use]
    pub const fn with_max_age(mut self, max_age: Duration) -> Self {
        self.max_age = max_age;
        self
    }

    /// Whether the view shows the state as of a time later than `at`.
    fn is_after(self, at: Instant) -> bool {
        self.requested_at > at + self.max_age
    }

    /// Whether the view shows the state as of `at` or later.
    fn is_since(self, at: Instant) -> bool {
        self.requested_at >= at + self.max_age
    }

    /// Whether the view may show an earlier state than that of `other`.
    fn precedes(self, other: Self) -> bool {
        self.requested_at + other.max_age < other.requested_at + self.max_age
    }
}

/// State of a rank and of its order in the current phase.
#[derive(Clone, Debug)]
pub(super) struct RankRow {
    pub(super) view: RankView,
    /// Time of `view`.
    time: ViewTime,
    /// Time at which the last reply was requested, which may have shown an earlier state than `view`.
    pub(super) replied_at: Instant,
    /// Whether the rank has completed the order of the current phase.
    pub(super) is_done: bool,
    /// Whether an order of the current phase was sent and has no reply yet.
    pub(super) is_awaiting_reply: bool,
}

impl RankRow {
    /// Creates the row of a rank first seen in `view`, with no order sent.
    pub(super) const fn new(view: RankView, time: ViewTime) -> Self {
        Self {
            view,
            time,
            replied_at: time.requested_at,
            is_done: false,
            is_awaiting_reply: false,
        }
    }

    /// Records a later reply; its view is dropped if it may show an earlier state than the known one.
    pub(super) fn record(&mut self, view: RankView, time: ViewTime) {
        self.replied_at = self.replied_at.max(time.requested_at);
        let (known, new) = (self.view.generation, view.generation);
        if new > known || (new == known && !time.precedes(self.time)) {
            self.view = view;
            self.time = time;
        }
    }

    /// Whether the view shows the rank as of a time later than `at`.
    pub(super) fn is_viewed_after(&self, at: Instant) -> bool {
        self.time.is_after(at)
    }

    /// Whether the view shows the rank as of `at` or later.
    pub(super) fn is_viewed_since(&self, at: Instant) -> bool {
        self.time.is_since(at)
    }

    /// Age that the state in the view could have when the view was requested.
    pub(super) const fn max_age(&self) -> Duration {
        self.time.max_age
    }
}
