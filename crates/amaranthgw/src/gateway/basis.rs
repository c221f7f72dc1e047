//! Inputs of the choice of a target, for the log of the attempt.

use std::sync::atomic::{AtomicU64, Ordering};
use std::time::Duration;

use amaranthgw_core::StoreRevision;
use amaranthgw_fleet::gateway::{CallWork, TargetCandidate};
use tokio::time::Instant;

/// What the gateway knew of a target when it chose it, and when a connection to it was open.
#[derive(Debug)]
pub(super) struct ChoiceBasis {
    chosen_at: Instant,
    /// Whether the target was taken for `cold`, `maybe_cold` or `warm`.
    pub(super) warmth: &'static str,
    /// Revision of the target's registry entry.
    pub(super) entry: StoreRevision,
    /// Time since that revision was first read.
    pub(super) entry_age: Duration,
    /// Time since the registry last listed the target.
    pub(super) listed_age: Duration,
    /// Gateways that the shares of common limits were divided by.
    pub(super) gateways: u32,
    /// Time since the load of the target was read; `None` if it is unknown.
    pub(super) load_age: Option<Duration>,
    /// Expected time from the choice until the target begins the request; `None` if the service publishes
    /// no figures.
    pub(super) expected_begin: Option<Duration>,
    /// Expected time for which the request has a slot.
    slot_time: Duration,
    /// Reading time that held parts of its prompt are expected to save at the target.
    pub(super) saving: Duration,
    // Milliseconds since `chosen_at`, plus one; 0 for never.
    connected_ms: AtomicU64,
}

impl ChoiceBasis {
    /// Records the inputs of choosing `target` at `now`.
    pub(super) fn new(target: &TargetCandidate, gateways: u32, now: Instant) -> Self {
        let (entry, entry_age) = target.gauge.entry_age(now);
        Self {
            chosen_at: now,
            warmth: warmth(target, now),
            entry,
            entry_age,
            listed_age: target.gauge.listed_age(now),
            gateways,
            load_age: target.gauge.load_age(now),
            expected_begin: None,
            slot_time: Duration::ZERO,
            saving: Duration::ZERO,
            connected_ms: AtomicU64::new(0),
        }
    }

    /// Adds the expected work of the request at `target`.
    pub(super) fn with_work(
        mut self,
        target: &TargetCandidate,
        work: Option<CallWork<'_>>,
    ) -> Self {
        if let Some(work) = work {
            let (engine, estimate) = (work.engine, work.estimate);
            self.saving = work.saving(target, self.chosen_at);
            let begin = target.expected_begin(engine, &estimate, self.chosen_at);
            self.expected_begin = Some(begin);
            self.slot_time = estimate.slot_time;
        }
        self
    }

    /// Expected time for which the request has a slot; zero if it is unknown.
    pub(super) const fn slot_time(&self) -> Duration {
        self.slot_time
    }

    /// When the target was chosen.
    pub(super) const fn chosen_at(&self) -> Instant {
        self.chosen_at
    }

    /// Records that a connection for the request is open.
    pub(super) fn record_connected(&self) {
        let waited = whole_millis(self.chosen_at.elapsed());
        self.connected_ms
            .store(waited.saturating_add(1), Ordering::Relaxed);
    }

    /// Milliseconds from the choice until a connection was open; `None` if none was.
    pub(super) fn connected_ms(&self) -> Option<u64> {
        self.connected_ms.load(Ordering::Relaxed).checked_sub(1)
    }
}

fn warmth(target: &TargetCandidate, now: Instant) -> &'static str {
    if target.is_cold(now) {
        "cold"
    } else if target.is_limited(now) {
        "maybe_cold"
    } else {
        "warm"
    }
}

/// Whole milliseconds of `time`; saturates at the maximum.
pub(super) fn whole_millis(time: Duration) -> u64 {
    u64::try_from(time.as_millis()).unwrap_or(u64::MAX)
}
