//! How fast a reader takes what is written to it.

use std::time::Duration;

use tokio::time::Instant;

/// Time within which a reader that can't take all has to take [`MIN_TAKEN_BYTES`].
const PACE_PERIOD: Duration = Duration::from_secs(5);
/// Least number of bytes taken within a period: no more than fits into the buffers of a connection, so that
/// only longer answers are affected.
const MIN_TAKEN_BYTES: usize = 64 * 1024;

/// What becomes of a write that has to wait for its reader.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum PaceVerdict {
    /// It may wait until the given time.
    WaitUntil(Instant),
    /// The reader is too slow.
    TooSlow,
}

/// Pace of one reader.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub struct ReaderPace {
    /// Start of the current period; `None` while the reader takes all.
    since: Option<Instant>,
    /// Bytes taken in the period.
    taken: usize,
}

impl ReaderPace {
    /// Creates the pace of a reader that has taken all so far.
    #[must_use]
    pub const fn new() -> Self {
        Self {
            since: None,
            taken: 0,
        }
    }

    /// Whether the reader has left something of what was written.
    #[must_use]
    pub const fn is_behind(&self) -> bool {
        self.since.is_some()
    }

    /// Records that the reader took `taken` of `offered` bytes at `now`.
    pub const fn record_taken(&mut self, taken: usize, offered: usize, now: Instant) {
        if taken >= offered {
            self.since = None;
            self.taken = 0;
            return;
        }
        self.taken += taken;
        if self.since.is_none() || self.taken >= MIN_TAKEN_BYTES {
            self.since = Some(now);
            self.taken = 0;
        }
    }

    /// Records that the reader took nothing at `now`.
    pub fn record_blocked(&mut self, now: Instant) -> PaceVerdict {
        let ends_at = *self.since.get_or_insert(now) + PACE_PERIOD;
        if now < ends_at {
            PaceVerdict::WaitUntil(ends_at)
        } else {
            PaceVerdict::TooSlow
        }
    }
}
