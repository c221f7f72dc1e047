//! Times and parts that govern how entries share limits.

use std::time::Duration;

/// How entries share limits. All entries use the same settings.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct ShareSettings {
    /// How long a share may be used after the write that last renewed it was sent.
    pub lease: Duration,
    /// Largest error of one local clock against another over the lease, and the longest time
    /// between a check of the lease and the admission that relies on it.
    pub margin: Duration,
    /// Longest time that an admitted request can stay in flight.
    pub longest_request: Duration,
    /// Time between two renewals.
    pub renew_every: Duration,
    /// Time between two reads of an entry whose shares stay as they are.
    pub review_every: Duration,
    /// Shortest time between two cycles.
    pub cycle_gap: Duration,
    /// Part of each limit, in hundredths, that is fixed to the entry slots.
    pub floor_percent: u32,
    /// Number of entry slots among which the fixed part is divided.
    pub entry_slots: u32,
}

impl ShareSettings {
    /// Creates the usual settings for `entry_slots` entries.
    #[must_use]
    pub const fn new(entry_slots: u32) -> Self {
        Self {
            lease: Duration::from_mins(1),
            margin: Duration::from_secs(5),
            longest_request: Duration::from_mins(2),
            renew_every: Duration::from_secs(10),
            review_every: Duration::from_millis(500),
            cycle_gap: Duration::from_millis(500),
            floor_percent: 50,
            entry_slots,
        }
    }

    /// Sets the part of each limit that is fixed to the entry slots, in hundredths.
    #[must_use]
    pub const fn with_floor_percent(self, floor_percent: u32) -> Self {
        Self {
            floor_percent,
            ..self
        }
    }
}
