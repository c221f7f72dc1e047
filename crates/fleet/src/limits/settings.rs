//! Settings of the division of limits among entries.

use std::time::Duration;

/// Timing and proportions of the division of limits. All entries must use the same settings.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct ShareSettings {
    /// Time that a share may be used after its last renewal was sent.
    pub lease: Duration,
    /// Added to a lease before its share is reclaimed, for clock drift between two entries and for
    /// requests that were checked just before the lease ended and are admitted after.
    pub margin: Duration,
    /// Longest time that an admitted request can stay in flight.
    pub max_request_duration: Duration,
    /// Interval of the lease renewals.
    pub renew_interval: Duration,
    /// Interval of the reads while the shares don't change.
    pub poll_interval: Duration,
    /// Minimum time between two read-and-write cycles.
    pub min_cycle_interval: Duration,
    /// Fixed part of each limit that is divided among the entry slots, in percent.
    pub floor_percent: u32,
    /// Number of entry slots among which the fixed part is divided.
    pub entry_slots: u32,
}

impl ShareSettings {
    /// Creates the default settings for `entry_slots` entries.
    #[must_use]
    pub const fn new(entry_slots: u32) -> Self {
        Self {
            lease: Duration::from_mins(1),
            margin: Duration::from_secs(5),
            max_request_duration: Duration::from_mins(2),
            renew_interval: Duration::from_secs(10),
            poll_interval: Duration::from_millis(500),
            min_cycle_interval: Duration::from_millis(500),
            floor_percent: 50,
            entry_slots,
        }
    }

    /// Sets the fixed part of each limit, in percent.
    #[must_use]
    pub const fn with_floor_percent(self, floor_percent: u32) -> Self {
        Self {
            floor_percent,
            ..self
        }
    }
}
