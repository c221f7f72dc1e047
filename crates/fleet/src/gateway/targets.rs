//! Targets of the registry, and their load and health as seen by this process.

use std::net::SocketAddr;
use std::sync::Arc;
use std::sync::atomic::{AtomicBool, AtomicU32, AtomicU64, Ordering};
use std::time::Duration;

use amaranthgw_core::{
    DomainId, MilliSpan, ServiceId, SlotCount, StoreRevision, TargetId, TokenCount,
};
use serde::{Deserialize, Serialize};
use tokio::time::Instant;

use super::cold::{ColdCounter, ColdShare};
use super::groups::GroupGauge;
use super::heartbeat::HeartbeatMark;
use super::window::SendWindow;
use super::work::{
    EngineFigures, RUNNING_SHARE, RankLoad, ReportOutcome, TargetWork, WorkEstimate, whole_millis,
};

/// What a target publishes about itself in the platform's registry.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct TargetRecord {
    /// Identifier of the target; may be new for each start of its process.
    pub target: TargetId,
    /// Service that it provides.
    pub service: ServiceId,
    /// Address at which it accepts requests.
    pub address: SocketAddr,
    /// Failure domain that it runs in.
    pub domain: DomainId,
    /// Number of requests that it can run at once.
    pub slots: SlotCount,
    /// Whether it is draining and accepts no new requests.
    pub is_draining: bool,
    /// Remaining time of its slow start, in which it is cold.
    pub cold_left: MilliSpan,
    /// Heartbeat that wrote the entry.
    #[serde(default)]
    pub heartbeat: HeartbeatMark,
}

/// Load and health of one target, updated by all traffic threads of this process.
#[derive(Debug)]
pub struct TargetGauge {
    started_at: Instant,
    work: TargetWork,
    // Fields in `_ms` are times in milliseconds since `started_at`, plus one; 0 for never.
    failures: AtomicU32,
    ejected_until_ms: AtomicU64,
    /// When an ejected target may be tried again if no other target admits a request.
    ejected_retry_ms: AtomicU64,
    displaced_until_ms: AtomicU64,
    /// Whether the target said in an answer that it is leaving.
    is_leaving: AtomicBool,
    /// Until when the target wants no requests.
    held_until_ms: AtomicU64,
    window: SendWindow,
    slow_until_ms: AtomicU64,
    cold_sends: ColdCounter,
    maybe_cold_until_ms: AtomicU64,
    /// Revision of the registry entry in force.
    entry_written: AtomicU64,
    entry_read_ms: AtomicU64,
    entry_listed_ms: AtomicU64,
}

/// Ejection time after a first failure; doubles with each further failure.
const BASE_EJECTION: Duration = Duration::from_millis(250);
/// Longest ejection; a recovered target is used again no later than a restarted one would be.
const MAX_EJECTION: Duration = Duration::from_secs(4);
/// Least time between two requests to an ejected target.
const EJECTED_RETRY_INTERVAL: Duration = BASE_EJECTION;
/// Time for which a target is skipped after another one answered at its address. The entry of the
/// displaced target expires within this time, after about three heartbeat intervals.
const DISPLACEMENT_BACKOFF: Duration = Duration::from_secs(4);
/// Time for which a report that a target is slow is valid; spans several report intervals.
const SLOW_REPORT_TTL: Duration = Duration::from_millis(1_500);
/// Time for which a report that a target is full is valid; a full target ends a request within it.
const FULL_REPORT_TTL: Duration = Duration::from_secs(2);

/// Bounds of the factor by which steps of a group may differ from the published figures.
const MIN_SLOWDOWN: f64 = 0.25;
const MAX_SLOWDOWN: f64 = 8.0;

impl TargetGauge {
    /// Creates the gauge of a target first seen at `now`.
    #[must_use]
    pub fn new(now: Instant) -> Self {
        Self {
            started_at: now,
            work: TargetWork::new(),
            failures: AtomicU32::new(0),
            ejected_until_ms: AtomicU64::new(0),
            ejected_retry_ms: AtomicU64::new(0),
            displaced_until_ms: AtomicU64::new(0),
            is_leaving: AtomicBool::new(false),
            held_until_ms: AtomicU64::new(0),
            window: SendWindow::new(),
            slow_until_ms: AtomicU64::new(0),
            cold_sends: ColdCounter::new(),
            maybe_cold_until_ms: AtomicU64::new(0),
            entry_written: AtomicU64::new(0),
            entry_read_ms: AtomicU64::new(0),
            entry_listed_ms: AtomicU64::new(0),
        }
    }

    /// Records that the registry still had the known entry at `known_at`.
    pub fn record_listed(&self, known_at: Instant) {
        self.entry_listed_ms
            .fetch_max(self.millis(known_at), Ordering::Relaxed);
    }

    /// Records that the registry entry read at `now` was last written at revision `written`.
    pub fn record_entry(&self, written: StoreRevision, now: Instant) {
        self.entry_listed_ms
            .store(self.millis(now), Ordering::Relaxed);
        if self.entry_written.swap(written.get(), Ordering::Relaxed) != written.get() {
            self.entry_read_ms
                .store(self.millis(now), Ordering::Relaxed);
        }
    }

    /// Revision of the target's registry entry, and the time since that revision was first read.
    #[must_use]
    pub fn entry_age(&self, now: Instant) -> (StoreRevision, Duration) {
        let written = StoreRevision::new(self.entry_written.load(Ordering::Relaxed));
        let read_ms = self.entry_read_ms.load(Ordering::Relaxed);
        let age = self.millis(now).saturating_sub(read_ms);
        (written, Duration::from_millis(age))
    }

    /// Time since the registry last listed the target.
    #[must_use]
    pub fn listed_age(&self, now: Instant) -> Duration {
        let listed_ms = self.entry_listed_ms.load(Ordering::Relaxed);
        Duration::from_millis(self.millis(now).saturating_sub(listed_ms))
    }

    /// Requests in flight from this process.
    #[must_use]
    pub fn in_flight(&self) -> u32 {
        self.work.in_flight()
    }

    /// Counts a request of unknown size sent at `now` as in flight until the returned guard is dropped.
    #[must_use]
    pub fn begin_request(gauge: &Arc<Self>, now: Instant) -> FlightGuard {
        Self::begin_work(gauge, Duration::ZERO, now)
    }

    /// Counts a request sent at `now`, which is expected to need a slot for `slot_time`, as in flight until
    /// the returned guard is dropped.
    #[must_use]
    pub fn begin_work(gauge: &Arc<Self>, slot_time: Duration, now: Instant) -> FlightGuard {
        let age = gauge.age(now);
        gauge.work.begin(slot_time, age);
        gauge.window.begin(age);
        FlightGuard {
            gauge: Arc::clone(gauge),
            is_answered: false,
        }
    }

    /// Records the load that the target reported in an answer: requests from all processes, running
    /// or queued.
    pub fn record_load(&self, all_in_flight: u32, now: Instant) {
        self.work.record_answer(all_in_flight, self.age(now));
    }

    /// Applies the load that the agent of the target's rank read at `read_at`, unless a later one is known.
    pub fn record_report(&self, load: &RankLoad, read_at: Instant, now: Instant) -> ReportOutcome {
        self.work
            .record_report(load, self.age(read_at), self.age(now))
    }

    /// Whether the target lately reported as many requests in flight as its `slots`, so that a new one is
    /// queued there; `None` if it has reported nothing for a while.
    #[must_use]
    pub fn reported_full(&self, slots: SlotCount, now: Instant) -> Option<bool> {
        let age = self.work.load_age(self.age(now));
        let is_known = age.is_some_and(|age| age <= FULL_REPORT_TTL);
        is_known.then(|| self.work.known_in_flight() >= slots.get())
    }

    /// Estimates the requests in flight at the target: those of this process, and those of others
    /// as last reported, weighted by the age of the report.
    #[must_use]
    pub fn estimated_in_flight(&self, now: Instant) -> f64 {
        self.work.estimated_in_flight(self.age(now))
    }

    /// Time since the newest load of the target was read; `None` if there is none.
    #[must_use]
    pub fn load_age(&self, now: Instant) -> Option<Duration> {
        self.work.load_age(self.age(now))
    }

    /// Seconds in which the target would do all that it has to do, with `slots` at work; a usual request
    /// has a slot for `usual` seconds.
    #[must_use]
    pub(super) fn backlog(&self, usual: f64, slots: SlotCount, slowdown: f64, now: Instant) -> f64 {
        self.work.backlog(usual, slots, slowdown, self.age(now))
    }

    /// Adds `requests` to what this process owes the target; returns the sum.
    pub(super) fn add_credit(&self, requests: f64) -> f64 {
        self.work.add_credit(requests)
    }

    /// Counts work that other processes are thought to send at `now`.
    pub(super) fn foresee(&self, slot_time: Duration, now: Instant) {
        self.work.foresee(slot_time, self.age(now));
    }

    /// Whether the newest load of the target counts in full.
    pub(super) fn is_load_fresh(&self, now: Instant) -> bool {
        self.work.is_fresh(self.age(now))
    }

    /// Whether the agent of the target's rank told its load lately.
    pub(super) fn is_reported(&self, now: Instant) -> bool {
        self.work.is_reported(self.age(now))
    }

    /// Slowdown factor that the target's rank reported, at least 1.
    pub(super) fn slowdown(&self, now: Instant) -> f64 {
        self.work.slowdown(self.age(now))
    }

    /// Whether a request that needs `memory` fits beside those known to run there, with `usual` for those
    /// sent since.
    #[must_use]
    pub fn has_memory(&self, memory: TokenCount, usual: TokenCount, now: Instant) -> bool {
        self.work.has_memory(memory, usual, self.age(now))
    }

    /// Memory that requests leave free at the target, as last reported; `None` if it wasn't lately.
    #[must_use]
    pub fn free_memory(&self, now: Instant) -> Option<TokenCount> {
        self.work.free_memory(self.age(now))
    }

    /// Records a success, which ends an ejection.
    pub fn record_success(&self) {
        self.failures.store(0, Ordering::Relaxed);
        self.ejected_until_ms.store(0, Ordering::Relaxed);
    }

    /// Records a failure that is the target's fault and ejects it; returns the ejection time.
    pub fn record_failure(&self, now: Instant) -> Duration {
        let failures = self.failures.fetch_add(1, Ordering::Relaxed);
        let ejection = BASE_EJECTION
            .saturating_mul(1 << failures.min(8))
            .min(MAX_EJECTION);
        self.ejected_until_ms
            .store(self.millis(now + ejection), Ordering::Relaxed);
        ejection
    }

    /// Records at `now` that the target's process was down: it is cold for `cold_time` when it is back, which its
    /// registry entry says later than its first answers.
    pub fn record_down(&self, cold_time: Duration, now: Instant) {
        let until = self.millis(now + cold_time);
        self.maybe_cold_until_ms.fetch_max(until, Ordering::Relaxed);
    }

    /// Records that the registry tells how cold the target is since its last start.
    pub(super) fn record_start_known(&self) {
        self.maybe_cold_until_ms.store(0, Ordering::Relaxed);
    }

    /// Time until which the target may be cold although its entry doesn't say so; long ago if it was never down.
    fn maybe_cold_until(&self) -> Instant {
        let until_ms = self.maybe_cold_until_ms.load(Ordering::Relaxed);
        // One less than stored, since 0 means never.
        self.started_at + Duration::from_millis(until_ms.saturating_sub(1))
    }

    /// Records that another target answered at its address.
    pub fn record_displacement(&self, now: Instant) {
        let until = self.millis(now + DISPLACEMENT_BACKOFF);
        self.displaced_until_ms.store(until, Ordering::Relaxed);
    }

    /// Whether another target answered at its address recently.
    #[must_use]
    pub fn is_displaced(&self, now: Instant) -> bool {
        self.is_before(&self.displaced_until_ms, now)
    }

    /// Records whether the target is leaving; if so, it gets no more requests.
    pub fn record_leaving(&self, is_leaving: bool) {
        self.is_leaving.store(is_leaving, Ordering::Relaxed);
    }

    /// Whether the target said that it is leaving.
    #[must_use]
    pub fn is_leaving(&self) -> bool {
        self.is_leaving.load(Ordering::Relaxed)
    }

    /// Records that the target wants no requests for `time`.
    pub fn record_hold(&self, time: Duration, now: Instant) {
        let until = self.millis(now + time);
        self.held_until_ms.fetch_max(until, Ordering::Relaxed);
    }

    /// Takes over from `earlier`, the gauge of the same target before it was removed, until when the target
    /// wants no requests.
    pub fn adopt_hold(&self, earlier: &Self, now: Instant) {
        let time = earlier.held_until(now).saturating_duration_since(now);
        if !time.is_zero() {
            self.record_hold(time, now);
        }
    }

    /// Whether the target wants no requests at `now`.
    #[must_use]
    pub fn is_held(&self, now: Instant) -> bool {
        self.held_until(now) > now
    }

    /// Until when the target wants no requests; `now` if it takes them.
    fn held_until(&self, now: Instant) -> Instant {
        let until_ms = self.held_until_ms.load(Ordering::Relaxed);
        // One less than stored, since 0 means never.
        now.max(self.started_at + Duration::from_millis(until_ms.saturating_sub(1)))
    }

    /// Records that the target rejected a request.
    pub fn record_rejection(&self, now: Instant) {
        self.window.record_rejection(self.age(now));
    }

    /// Whether the target may get another request at `now`: it wants requests, its window is open, and
    /// if it is ejected, none was sent to it in the last interval.
    #[must_use]
    pub fn is_open(&self, now: Instant) -> bool {
        self.held_until(now) <= now
            && self.window.is_open(self.age(now))
            && self.ejected_retry_at(now) <= now
    }

    /// Whether the target gets no request at `now` because too many have no answer yet.
    #[must_use]
    pub fn is_busy(&self, now: Instant) -> bool {
        self.backoff_until(now) <= now && !self.is_open(now)
    }

    /// Counts a request offered to the target while it is ejected; returns whether it may get one.
    /// Always `true` if it is not ejected.
    #[must_use]
    pub fn try_admit_ejected(&self, now: Instant) -> bool {
        if !self.is_ejected(now) {
            return true;
        }
        let retry_ms = self.ejected_retry_ms.load(Ordering::Relaxed);
        if self.millis(now) < retry_ms {
            return false;
        }
        let next_ms = self.millis(now + EJECTED_RETRY_INTERVAL);
        let (success, failure) = (Ordering::Relaxed, Ordering::Relaxed);
        self.ejected_retry_ms
            .compare_exchange(retry_ms, next_ms, success, failure)
            .is_ok()
    }

    /// Records a report that the target is much slower than usual.
    pub fn record_slow(&self, now: Instant) {
        let until = self.millis(now + SLOW_REPORT_TTL);
        self.slow_until_ms.store(until, Ordering::Relaxed);
    }

    /// Whether the target was reported slow recently.
    #[must_use]
    pub fn is_slow(&self, now: Instant) -> bool {
        self.is_before(&self.slow_until_ms, now)
    }

    /// Whether the target is ejected at `now`.
    #[must_use]
    pub fn is_ejected(&self, now: Instant) -> bool {
        self.is_before(&self.ejected_until_ms, now)
    }

    /// Whether the target has failed since its last success.
    #[must_use]
    pub fn has_failed(&self) -> bool {
        self.failures.load(Ordering::Relaxed) > 0
    }

    /// Counts a request offered to a cold target; returns whether `share` admits it.
    #[must_use]
    pub fn try_admit_cold(&self, share: ColdShare, now: Instant) -> bool {
        self.cold_sends.try_admit(share, self.age(now))
    }

    /// Time until `share` admits a request to the target while it is cold.
    fn cold_opens_in(&self, share: ColdShare, now: Instant) -> Duration {
        self.cold_sends.opens_in(share, self.age(now))
    }

    /// Least time between two requests from `now` until `until`, if the target is not expected to
    /// admit more: it rejects all, or is ejected.
    fn retry_interval(&self, now: Instant, until: Instant) -> Option<Duration> {
        if let Some(backoff) = self.window.longest_backoff(self.age(now)) {
            return Some(backoff);
        }
        let is_ejected = self.is_ejected(now) && self.is_ejected(until);
        is_ejected.then_some(EJECTED_RETRY_INTERVAL)
    }

    /// When the target may be tried again after it rejected a request or while it is ejected.
    fn backoff_until(&self, now: Instant) -> Instant {
        let rejected = self.started_at + self.window.backoff_until();
        rejected
            .max(self.ejected_retry_at(now))
            .max(self.held_until(now))
    }

    /// When the target may be tried again although it is ejected; `now` if it isn't.
    fn ejected_retry_at(&self, now: Instant) -> Instant {
        if !self.is_ejected(now) {
            return now;
        }
        let retry_ms = self.ejected_retry_ms.load(Ordering::Relaxed);
        // One less than stored, since 0 means never.
        self.started_at + Duration::from_millis(retry_ms.saturating_sub(1))
    }

    /// Whether `now` is before the time `until_ms`.
    fn is_before(&self, until_ms: &AtomicU64, now: Instant) -> bool {
        let until_ms = until_ms.load(Ordering::Relaxed);
        until_ms > 0 && until_ms > self.millis(now)
    }

    fn age(&self, now: Instant) -> Duration {
        now.saturating_duration_since(self.started_at)
    }

    fn millis(&self, at: Instant) -> u64 {
        // Adds one, since 0 means never.
        whole_millis(self.age(at)).saturating_add(1)
    }
}

/// Guard that counts one request in flight until dropped.
#[derive(Debug)]
pub struct FlightGuard {
    gauge: Arc<TargetGauge>,
    is_answered: bool,
}

impl FlightGuard {
    /// Records that the target accepted the request.
    pub fn record_acceptance(&mut self) {
        if !std::mem::replace(&mut self.is_answered, true) {
            self.gauge.window.record_acceptance();
            self.gauge.window.end();
        }
    }
}

impl Drop for FlightGuard {
    fn drop(&mut self) {
        if !self.is_answered {
            self.gauge.window.end();
        }
        self.gauge.work.end();
    }
}

/// A target that accepts new requests, as a candidate for a request.
#[derive(Clone, Debug)]
pub struct TargetCandidate {
    /// Content of its registry entry.
    pub record: TargetRecord,
    /// Load and health as seen by this process.
    pub gauge: Arc<TargetGauge>,
    /// End of its slow start, until which it is cold.
    pub cold_until: Instant,
    /// Time until which its rate is limited: it is cold, or may be as its failure domain has just returned.
    pub limited_until: Instant,
    /// Its rank group; `None` if it has none or the agent of its rank has not reported it.
    pub group: Option<Arc<GroupGauge>>,
}

impl TargetCandidate {
    /// Whether the target is in slow start at `now`.
    #[must_use]
    pub fn is_cold(&self, now: Instant) -> bool {
        now < self.cold_until
    }

    /// Whether it gets no more than the rate of a cold target at `now`.
    #[must_use]
    pub fn is_limited(&self, now: Instant) -> bool {
        now < self.limited_until()
    }

    /// Time until which its rate is limited.
    fn limited_until(&self) -> Instant {
        self.limited_until.max(self.gauge.maybe_cold_until())
    }

    /// Earliest time from `now` at which the target admits a request, with `share` of a cold target's
    /// rate while it is limited. `None` if it is not known: the share isn't yet, or the target is
    /// displaced and the registry is about to list its successor.
    #[must_use]
    pub fn admits_from(&self, share: Option<ColdShare>, now: Instant) -> Option<Instant> {
        if self.gauge.is_displaced(now) {
            return None;
        }
        let at = now.max(self.gauge.backoff_until(now));
        if !self.is_limited(at) {
            return Some(at);
        }
        let opens_at = now + self.gauge.cold_opens_in(share?, now);
        Some(at.max(opens_at.min(self.limited_until())))
    }

    /// Number of requests that the target is expected to admit from `now` until `until`, with `share`
    /// of a cold target's rate while it is limited; `None` if it may admit any number.
    #[must_use]
    pub fn admissions_until(
        &self,
        share: Option<ColdShare>,
        now: Instant,
        until: Instant,
    ) -> Option<u32> {
        let from = self.admits_from(share, now)?;
        let left = until.saturating_duration_since(from);
        if left.is_zero() {
            return Some(0);
        }
        let (interval, requests) = match share.filter(|_| self.limited_until() >= until) {
            Some(share) => (share.slot(), share.sends()),
            None => (self.gauge.retry_interval(now, until)?, 1),
        };
        let intervals = left.as_millis() / interval.as_millis().max(1) + 1;
        Some(requests.saturating_mul(u32::try_from(intervals).unwrap_or(u32::MAX)))
    }

    /// Factor by which what the target does takes longer than the figures of `engine` say, as measured by the
    /// steps of its group, or as its rank reports.
    #[must_use]
    pub fn slowdown(&self, engine: &EngineFigures, now: Instant) -> f64 {
        self.slowdown_from(engine.pass_time().as_secs_f64(), now)
    }

    /// As [`slowdown`](Self::slowdown), with the time in seconds that a pass takes by the figures.
    pub(super) fn slowdown_from(&self, pass_time: f64, now: Instant) -> f64 {
        let step_time = self.group.as_ref().and_then(|group| group.step_time(now));
        let Some(step_time) = step_time else {
            return self.gauge.slowdown(now);
        };
        (step_time.as_secs_f64() / pass_time).clamp(MIN_SLOWDOWN, MAX_SLOWDOWN)
    }

    /// Time until a request of `estimate` that is sent at `now` would begin at the target.
    #[must_use]
    pub fn expected_begin(
        &self,
        engine: &EngineFigures,
        estimate: &WorkEstimate,
        now: Instant,
    ) -> Duration {
        let slowdown = self.slowdown(engine, now);
        let usual = engine.usual().slot_time.as_secs_f64();
        let full = usual * RUNNING_SHARE * slowdown;
        let backlog = self.gauge.backlog(usual, self.record.slots, slowdown, now);
        let wait = (backlog - full).max(0.0);
        let reading = estimate.read_time + engine.pass_time() / 2;
        Duration::from_secs_f64(wait) + reading.mul_f64(slowdown)
    }

    /// Returns whether its rank group is considered stalled at `now`; suspects the group if its
    /// streams are silent.
    #[must_use]
    pub fn check_group_stalled(&self, now: Instant) -> bool {
        self.group
            .as_ref()
            .is_some_and(|group| group.check_stalled(now))
    }
}
