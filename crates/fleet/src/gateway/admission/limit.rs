//! Limit on the requests of one service that this process has in flight.

use std::time::Duration;

use amaranthgw_core::{DemandShare, SlotCount, saturating_whole};
use tokio::time::Instant;

use super::meters::{UsualTime, WindowMinimum};

/// Load that a target reports in an answer.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct TargetLoad {
    /// Running and waiting requests.
    pub in_flight: u32,
    /// Requests that can run at once.
    pub slots: SlotCount,
}

/// What the head of an answer tells of the congestion of a service.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct AnswerSign {
    /// Time from the send to the head of the answer.
    pub first_byte: Duration,
    /// Latency objective of the request.
    pub objective: Duration,
    /// Load that the target reported.
    pub load: Option<TargetLoad>,
}

/// Time constant with which the weight of an answer decays.
const ANSWER_MEMORY: Duration = Duration::from_millis(400);
/// Least weight of answers on which a change of the limit is based.
const MIN_ANSWERS: f64 = 4.0;
/// Least time between two changes of the limit.
const CHANGE_INTERVAL: Duration = Duration::from_millis(250);
/// Window over which the least time to the first byte and the least objective are kept.
const MINIMUM_WINDOW: Duration = Duration::from_secs(5);
/// Part of the latency objective that requests may spend in the queues of targets.
const QUEUE_PART: f64 = 0.1;
/// Part of the latency objective by which a slow answer exceeds the least time to the first byte.
const DELAY_PART: f64 = 0.5;
/// Part of the slots that run requests from which the limit begins.
const FULL_PART: f64 = 0.97;
/// Part of slow answers from which a service counts as congested if its targets report no load.
const SLOW_PART: f64 = 0.5;
/// Bounds of one reduction, as a part of the limit.
const CUT_BOUNDS: (f64, f64) = (0.03, 0.4);
/// Reduction without reports of load, as a part of the limit.
const BLIND_CUT: f64 = 0.15;
/// Bounds of one growth, as a part of this process's share of the slots. As reductions are parts of
/// the limit, the limits of several gateways that use theirs up become equal.
const GROWTH_BOUNDS: (f64, f64) = (0.005, 0.25);
/// Weight of a reduction below the share.
const UNDER_SHARE_CUT: f64 = 0.5;
/// Least growth below the share, as a part of it.
const UNDER_SHARE_GROWTH: f64 = 0.02;
/// Growth without reports of load, as a part of this process's share of the slots.
const BLIND_GROWTH: f64 = 0.05;
/// Part of the limit in use from which it grows.
const USED_PART: f64 = 0.85;
/// Part of the limit in use below which the service counts as calm.
const CALM_PART: f64 = 0.7;
/// Calm time after which the limit ends.
const CALM_TIME: Duration = Duration::from_secs(1);
/// Least limit, in requests.
const MIN_LIMIT: f64 = 4.0;
/// Part of this process's share of the slots that it may always use.
const FLOOR_PART: f64 = 0.5;
/// Part of the limit that is in flight at most once a reduction is in effect.
const IN_EFFECT_PART: f64 = 1.1;
/// Part of the limit that the most urgent requests may use; targets begin them first.
pub(super) const URGENT_PART: f64 = 1.3;
/// Part of the limit that the least urgent requests may use.
pub(super) const LEAST_URGENT_PART: f64 = 0.9;

/// Recent answers, weighted by their age.
#[derive(Clone, Copy, Debug, Default)]
struct RecentAnswers {
    updated_at: Option<Instant>,
    answers: f64,
    slow: f64,
    reports: f64,
    running: f64,
    waiting: f64,
    slots: f64,
}

/// Limits the requests in flight while the targets are congested.
///
/// Targets that report queues longer than [`QUEUE_PART`] of the latency objective, or answers that take
/// much longer than the shortest lately, reduce the limit in proportion to what waits there; without
/// either it grows as long as it is used, and ends once it isn't.
#[derive(Clone, Debug)]
pub struct ServiceLimit {
    limit: Option<f64>,
    /// This process's share of the slots.
    share: f64,
    recent: RecentAnswers,
    changed_at: Option<Instant>,
    least_first_byte: WindowMinimum,
    least_objective: WindowMinimum,
    first_byte: UsualTime,
    flight: UsualTime,
    calm_since: Option<Instant>,
}

impl Default for ServiceLimit {
    fn default() -> Self {
        Self::new()
    }
}

impl ServiceLimit {
    /// Creates the limit of a service that is not known to be congested.
    #[must_use]
    pub fn new() -> Self {
        Self {
            limit: None,
            share: MIN_LIMIT,
            recent: RecentAnswers::default(),
            changed_at: None,
            least_first_byte: WindowMinimum::new(MINIMUM_WINDOW),
            least_objective: WindowMinimum::new(MINIMUM_WINDOW),
            first_byte: UsualTime::default(),
            flight: UsualTime::default(),
            calm_since: None,
        }
    }

    /// Sets the slots of all targets of the service, and the part of them that this process may use; an
    /// even one among `gateways` if none is stated.
    pub fn adopt_capacity(&mut self, slots: u32, gateways: u32, part: Option<DemandShare>) {
        let even = 1.0 / f64::from(gateways.max(1));
        let part = part.map_or(even, DemandShare::fraction);
        self.share = (f64::from(slots) * part).max(MIN_LIMIT);
    }

    /// Requests that may be in flight; `None` while the targets are not congested.
    #[must_use]
    pub fn limit(&self) -> Option<u32> {
        self.limit
            .map(|limit| u32::try_from(saturating_whole(limit.round())).unwrap_or(u32::MAX))
    }

    /// Requests that may be in flight, as a part `factor` of the limit; at least one.
    #[must_use]
    pub fn allowance(&self, factor: f64) -> Option<u32> {
        let part = self.limit? * factor;
        Some(
            u32::try_from(saturating_whole(part.round()))
                .unwrap_or(u32::MAX)
                .max(1),
        )
    }

    /// Time from the send to the first byte that most requests stay under.
    #[must_use]
    pub fn usual_first_byte(&self) -> Duration {
        self.first_byte.covering()
    }

    /// Mean time that a request is in flight.
    #[must_use]
    pub fn usual_flight(&self) -> Duration {
        self.flight.mean()
    }

    /// Places that come free per second; `None` while there is no limit.
    #[must_use]
    pub fn places_per_second(&self) -> Option<f64> {
        let flight = self.flight.mean().as_secs_f64();
        self.limit.map(|limit| limit / flight.max(0.001))
    }

    /// Records that a request was in flight for `time`.
    pub fn record_flight(&mut self, time: Duration) {
        self.flight.record(time);
    }

    /// Records the head of an answer, with `in_flight` requests in flight, and adjusts the limit.
    pub fn record_answer(
        &mut self,
        sign: AnswerSign,
        in_flight: u32,
        has_waiters: bool,
        now: Instant,
    ) {
        self.least_first_byte.record(sign.first_byte, now);
        self.least_objective.record(sign.objective, now);
        self.first_byte.record(sign.first_byte);
        let least = self.least_first_byte.get().unwrap_or_default();
        let is_slow = sign.first_byte > least + sign.objective.mul_f64(DELAY_PART);
        self.recent.add(&sign, is_slow, now);
        let is_new = |at: Instant| now.saturating_duration_since(at) < CHANGE_INTERVAL;
        if self.recent.answers < MIN_ANSWERS || self.changed_at.is_some_and(is_new) {
            return;
        }
        let before = self.limit;
        if self.is_congested() {
            self.calm_since = None;
            self.reduce(f64::from(in_flight));
        } else {
            self.relax(f64::from(in_flight), has_waiters, now);
        }
        if self.limit != before {
            self.changed_at = Some(now);
        }
    }

    fn floor(&self) -> f64 {
        (self.share * FLOOR_PART).max(MIN_LIMIT)
    }

    /// Time that requests spend in the queues of targets, by their reports.
    fn queue_time(&self) -> f64 {
        self.flight.mean().as_secs_f64() * self.recent.waiting / self.recent.slots.max(1.0)
    }

    /// Time that they may spend there.
    fn queue_bound(&self) -> f64 {
        let objective = self.least_objective.get().unwrap_or_default();
        objective.as_secs_f64() * QUEUE_PART
    }

    fn is_congested(&self) -> bool {
        if self.recent.has_load() {
            return self.queue_time() > self.queue_bound();
        }
        self.recent.slow >= self.recent.answers * SLOW_PART
    }

    fn reduce(&mut self, in_flight: f64) {
        let limit = self.limit.unwrap_or(in_flight);
        if in_flight > (limit * IN_EFFECT_PART).ceil() {
            // The last reduction isn't in effect yet.
            return;
        }
        let cut = if self.recent.has_load() {
            let flight = self.flight.mean().as_secs_f64().max(0.001);
            let excess = (self.queue_time() - self.queue_bound() * 0.5) / flight;
            let used = self.recent.running + self.recent.waiting;
            excess * self.recent.slots / used.max(1.0)
        } else {
            BLIND_CUT
        };
        let weight = if limit < self.share {
            UNDER_SHARE_CUT
        } else {
            1.0
        };
        let cut = cut.clamp(CUT_BOUNDS.0, CUT_BOUNDS.1) * weight;
        let base = limit.min(in_flight);
        self.limit = Some((base * (1.0 - cut)).max(self.floor()));
    }

    fn relax(&mut self, in_flight: f64, has_waiters: bool, now: Instant) {
        let Some(limit) = self.limit else {
            if self.recent.is_full() {
                self.limit = Some(in_flight.max(self.share));
            }
            return;
        };
        if in_flight < limit * CALM_PART && !has_waiters {
            let since = *self.calm_since.get_or_insert(now);
            if now.saturating_duration_since(since) >= CALM_TIME {
                self.limit = None;
            }
            return;
        }
        self.calm_since = None;
        let is_used = has_waiters || in_flight >= limit * USED_PART;
        let has_load = self.recent.has_load();
        let is_under_share = limit < self.share;
        let has_queue = has_load && self.queue_time() > self.queue_bound() * 0.5;
        if !is_used || (has_queue && !is_under_share) {
            return;
        }
        let part = if has_load {
            let free = 1.0 - self.recent.running / self.recent.slots.max(1.0);
            let least = if is_under_share {
                UNDER_SHARE_GROWTH
            } else {
                GROWTH_BOUNDS.0
            };
            (free * 0.5).clamp(least, GROWTH_BOUNDS.1)
        } else {
            BLIND_GROWTH
        };
        self.limit = Some(limit + self.share * part);
    }
}

impl RecentAnswers {
    fn add(&mut self, sign: &AnswerSign, is_slow: bool, now: Instant) {
        let updated_at = self.updated_at.replace(now).unwrap_or(now);
        let age = now.saturating_duration_since(updated_at);
        self.decay((-age.as_secs_f64() / ANSWER_MEMORY.as_secs_f64()).exp());
        self.answers += 1.0;
        self.slow += f64::from(u8::from(is_slow));
        if let Some(load) = sign.load {
            let slots = load.slots.get().max(1);
            self.reports += 1.0;
            self.slots += f64::from(slots);
            self.running += f64::from(load.in_flight.min(slots));
            self.waiting += f64::from(load.in_flight.saturating_sub(slots));
        }
    }

    fn decay(&mut self, weight: f64) {
        let sums = [
            &mut self.answers,
            &mut self.slow,
            &mut self.reports,
            &mut self.running,
            &mut self.waiting,
            &mut self.slots,
        ];
        for sum in sums {
            *sum *= weight;
        }
    }

    /// Whether the targets have hardly a free slot.
    fn is_full(&self) -> bool {
        self.has_load() && self.running >= self.slots * FULL_PART
    }

    /// Whether most of the answers reported a load.
    fn has_load(&self) -> bool {
        self.reports * 2.0 >= self.answers
    }
}
