//! Per-group stall detection, shared by traffic threads.
//!
//! All ranks of a group run each step together, so when every stream of a group goes silent, the
//! whole group has stalled and its requests are better sent to another group. The agent next to
//! each rank reports the state of the rank's group.

use std::net::SocketAddr;
use std::sync::atomic::{AtomicU32, AtomicU64, Ordering};
use std::sync::{Arc, Mutex, PoisonError};
use std::time::Duration;

use amaranthgw_core::{GroupGeneration, GroupId, StepNumber};
use tokio::time::Instant;

use super::RankLoadReport;
use super::work::GroupPace;

/// Time for which all streams of a group have to be silent before the group is suspected; spans
/// several steps.
const STREAM_STALL_TIMEOUT: Duration = Duration::from_millis(350);
/// Running streams required to detect a stall; a single stream can be silent although its
/// group is not stalled.
const MIN_STREAMS: u32 = 2;
/// Time after which a suspected group that is still open is cleared; longer than it takes until a
/// stalled rank is declared failed.
const SUSPICION_TIMEOUT: Duration = Duration::from_millis(1_700);
/// Time for which an agent's report that the group is closed is valid; spans several poll intervals.
const CLOSED_REPORT_TTL: Duration = Duration::from_secs(1);

/// State of a group as reported by the agent of one of its ranks.
#[derive(Clone, Debug, PartialEq, Eq, serde::Serialize, serde::Deserialize)]
pub struct GroupStatus {
    /// Group that the agent's rank belongs to.
    pub group: GroupId,
    /// Generation of the group; incremented whenever the group re-forms after a failure.
    pub generation: GroupGeneration,
    /// Whether the group is open, that is, formed and running steps.
    pub is_open: bool,
    /// Last step that started.
    pub step: StepNumber,
    /// Addresses of the ranks that the group's coordinator found slow.
    pub slow: Vec<SocketAddr>,
    /// Loads of the group's ranks; empty from agents that tell none.
    #[serde(default)]
    pub loads: Vec<RankLoadReport>,
}

/// Stream count, progress and suspicion of one group, updated by all threads of this process.
#[derive(Debug)]
pub struct GroupGauge {
    group: GroupId,
    started_at: Instant,
    streams: AtomicU32,
    // Milliseconds since `started_at`, plus one; 0 for never.
    progress_ms: AtomicU64,
    suspected_ms: AtomicU64,
    pace: Mutex<GroupPace>,
    /// First report that the group is closed, since the last one that it is open.
    closed_ms: AtomicU64,
    /// Last report that the group is closed.
    closed_report_ms: AtomicU64,
}

impl GroupGauge {
    /// Creates the gauge of a group first seen at `now`.
    #[must_use]
    pub fn new(group: GroupId, now: Instant) -> Self {
        Self {
            group,
            started_at: now,
            streams: AtomicU32::new(0),
            progress_ms: AtomicU64::new(0),
            suspected_ms: AtomicU64::new(0),
            pace: Mutex::default(),
            closed_ms: AtomicU64::new(0),
            closed_report_ms: AtomicU64::new(0),
        }
    }

    /// Identifier of the group.
    #[must_use]
    pub const fn group(&self) -> &GroupId {
        &self.group
    }

    /// Counts a running stream until the returned guard is dropped.
    #[must_use]
    pub fn begin_stream(gauge: &Arc<Self>, now: Instant) -> StreamGuard {
        gauge.record_progress(now);
        gauge.streams.fetch_add(1, Ordering::Relaxed);
        StreamGuard {
            gauge: Arc::clone(gauge),
        }
    }

    /// Records that a rank of the group sent data at `now`.
    pub fn record_progress(&self, now: Instant) {
        self.progress_ms.store(self.millis(now), Ordering::Relaxed);
    }

    /// Records that the group, in `generation`, had begun `step` at `now`.
    pub fn record_step(&self, generation: GroupGeneration, step: StepNumber, now: Instant) {
        let mut pace = self.pace.lock().unwrap_or_else(PoisonError::into_inner);
        pace.record(generation, step, now);
    }

    /// Time that the group's steps took lately; `None` if it is unknown or the group is idle.
    #[must_use]
    pub fn step_time(&self, now: Instant) -> Option<Duration> {
        let pace = self.pace.lock().unwrap_or_else(PoisonError::into_inner);
        pace.step_time(now)
    }

    /// Records that an agent reported at `now` whether the group is open. A closed one is suspected.
    pub fn record_report(&self, is_open: bool, now: Instant) {
        if is_open {
            self.closed_ms.store(0, Ordering::Relaxed);
            return;
        }
        let at = self.millis(now);
        let (set, fetch) = (Ordering::Relaxed, Ordering::Relaxed);
        // Fails if the group was closed before, whose time is kept.
        let _closed = self.closed_ms.compare_exchange(0, at, set, fetch);
        self.closed_report_ms.store(at, Ordering::Relaxed);
        self.suspect(now);
    }

    /// Time for which the group has been closed, as its agents report; `None` if it is open, or if none
    /// reported lately.
    #[must_use]
    pub fn closed_for(&self, now: Instant) -> Option<Duration> {
        let (closed_ms, now_ms) = (self.closed_ms.load(Ordering::Relaxed), self.millis(now));
        let report_ms = self.closed_report_ms.load(Ordering::Relaxed);
        let is_told = Duration::from_millis(now_ms.saturating_sub(report_ms)) < CLOSED_REPORT_TTL;
        (closed_ms > 0 && is_told).then(|| Duration::from_millis(now_ms.saturating_sub(closed_ms)))
    }

    /// Marks the group as suspected since `now`, unless it already is.
    pub fn suspect(&self, now: Instant) {
        let at = self.millis(now);
        let (set, fetch) = (Ordering::Relaxed, Ordering::Relaxed);
        // Fails if another thread suspected the group first, whose time is kept.
        let _suspected = self.suspected_ms.compare_exchange(0, at, set, fetch);
    }

    /// Clears the suspicion.
    pub fn clear(&self) {
        self.suspected_ms.store(0, Ordering::Relaxed);
    }

    /// When the group became suspected; `None` if it is not.
    #[must_use]
    pub fn suspected_at(&self) -> Option<Instant> {
        let at = self.suspected_ms.load(Ordering::Relaxed);
        (at > 0).then(|| self.started_at + Duration::from_millis(at - 1))
    }

    /// Returns whether the group is considered stalled at `now`; suspects it if its streams are
    /// silent.
    pub fn check_stalled(&self, now: Instant) -> bool {
        if self.suspected_at().is_some() {
            return true;
        }
        let silent_ms = self
            .millis(now)
            .saturating_sub(self.progress_ms.load(Ordering::Relaxed));
        let is_silent = self.streams.load(Ordering::Relaxed) >= MIN_STREAMS
            && Duration::from_millis(silent_ms) >= STREAM_STALL_TIMEOUT;
        if is_silent {
            self.suspect(now);
        }
        is_silent
    }

    fn millis(&self, at: Instant) -> u64 {
        let since = at.saturating_duration_since(self.started_at).as_millis();
        // Adds one, since 0 means never.
        u64::try_from(since).unwrap_or(u64::MAX).saturating_add(1)
    }
}

/// Guard that counts one running stream of a group until dropped.
#[derive(Debug)]
pub struct StreamGuard {
    gauge: Arc<GroupGauge>,
}

impl Drop for StreamGuard {
    fn drop(&mut self) {
        self.gauge.streams.fetch_sub(1, Ordering::Relaxed);
    }
}

/// Decides from agents' reports when a suspected group may receive requests again.
#[derive(Clone, Debug)]
pub struct GroupSuspicion {
    since: Instant,
    reference: Option<GroupStatus>,
}

impl GroupSuspicion {
    /// Creates the state of a suspicion that began at `since`.
    #[must_use]
    pub const fn new(since: Instant) -> Self {
        Self {
            since,
            reference: None,
        }
    }

    /// When the suspicion began.
    #[must_use]
    pub const fn since(&self) -> Instant {
        self.since
    }

    /// Applies an agent's report; returns whether the suspicion ends.
    ///
    /// The first report and each report of a closed group only become the reference for later ones.
    /// A later report of an open group ends the suspicion if the group re-formed, reopened or
    /// started another step since the reference, or if `SUSPICION_TIMEOUT` has passed since the
    /// suspicion began.
    pub fn is_cleared_by(&mut self, status: &GroupStatus, now: Instant) -> bool {
        if !status.is_open {
            self.reference = Some(status.clone());
            return false;
        }
        let Some(reference) = &self.reference else {
            self.reference = Some(status.clone());
            return false;
        };
        let has_reformed = status.generation > reference.generation || !reference.is_open;
        let has_progressed = status.step > reference.step;
        let has_timed_out = now.saturating_duration_since(self.since) >= SUSPICION_TIMEOUT;
        has_reformed || has_progressed || has_timed_out
    }
}
