//! Work at one target: what this process sent there and what others are known to have there.

use std::sync::atomic::{AtomicI32, AtomicU32, AtomicU64, Ordering};
use std::sync::{Mutex, MutexGuard, PoisonError};
use std::time::Duration;

use amaranthgw_core::{SlotCount, TokenCount};

use super::RankLoad;
use super::engine::tokens;

/// Half-life of the weight of an answer's load; between the durations of a plain request (about ten
/// milliseconds) and of a stream (one to two seconds).
const LOAD_HALF_LIFE: Duration = Duration::from_millis(700);
/// Age up to which a load counts in full, with all that this process sent since. The load of a rank
/// reaches a gateway over two agents, each of which adds an interval between two polls.
const FRESH_AGE: Duration = Duration::from_secs(1);
/// Length in milliseconds of a period over which sends are counted.
const PERIOD_MILLIS: u64 = 32;
/// Periods kept; together longer than `FRESH_AGE`.
const PERIODS: usize = 32;
/// Credit of one request.
const CREDIT_UNIT: i32 = 1_000_000;
/// Most that a target is owed, or owes.
const MAX_CREDIT: i32 = 2 * CREDIT_UNIT;
/// Share of a running request's work that is left, on average.
pub(in crate::gateway) const RUNNING_SHARE: f64 = 0.5;
/// Share of a target's memory above which a further request may preempt another.
const MEMORY_SHARE: f64 = 0.9;

/// Sends of the last [`PERIODS`] periods.
type SentPeriods = [SentWork; PERIODS];

/// Sends of one period.
#[derive(Clone, Copy, Debug, Default)]
struct SentWork {
    period: u64,
    requests: u32,
    /// Slot time of these, and of what others are thought to have sent meanwhile, in microseconds.
    slot_micros: u64,
}

impl SentWork {
    /// Sum of the periods that began after `read_at`.
    fn since(periods: &[Self], read_at: Duration) -> Self {
        let first = period(read_at).saturating_add(1);
        let later = periods.iter().filter(|it| it.period >= first);
        later.fold(Self::default(), |sum, it| Self {
            period: sum.period.max(it.period),
            requests: sum.requests.saturating_add(it.requests),
            slot_micros: sum.slot_micros.saturating_add(it.slot_micros),
        })
    }
}

/// What became of a report.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum ReportOutcome {
    /// It is the newest.
    Applied,
    /// A newer one, or the same, is known; or it is too old to be of use.
    Outdated,
}

/// Work at one target. Times are given as the time since the owner was created.
#[derive(Debug)]
pub struct TargetWork {
    in_flight: AtomicU32,
    others: AtomicU32,
    /// Requests of others by the last answer.
    answered_others: AtomicU32,
    /// Time of that answer in milliseconds, plus one; 0 for never.
    answered_ms: AtomicU64,
    /// Requests of all processes at the time of the newest load, and those sent since.
    known: AtomicU32,
    /// Slot time of the requests that this process sent since the newest load, and of those that others are
    /// thought to have sent, in microseconds.
    sent_micros: AtomicU64,
    /// Requests sent since the newest load.
    sent: AtomicU32,
    /// Time of the newest load in milliseconds, plus one; 0 for never.
    read_ms: AtomicU64,
    /// Time of the newest report in milliseconds, plus one; 0 for never.
    report_ms: AtomicU64,
    pace_milli: AtomicU32,
    memory_used: AtomicU64,
    memory_total: AtomicU64,
    periods: Mutex<SentPeriods>,
    /// Requests that this process owes the target, in units of `CREDIT_UNIT`.
    credit: AtomicI32,
}

impl TargetWork {
    pub(in crate::gateway) fn new() -> Self {
        Self {
            in_flight: AtomicU32::new(0),
            others: AtomicU32::new(0),
            answered_others: AtomicU32::new(0),
            answered_ms: AtomicU64::new(0),
            known: AtomicU32::new(0),
            sent_micros: AtomicU64::new(0),
            sent: AtomicU32::new(0),
            read_ms: AtomicU64::new(0),
            report_ms: AtomicU64::new(0),
            pace_milli: AtomicU32::new(NORMAL_PACE),
            memory_used: AtomicU64::new(0),
            memory_total: AtomicU64::new(0),
            periods: Mutex::default(),
            // Processes with equal information begin at different targets.
            credit: AtomicI32::new(fastrand::i32(0..CREDIT_UNIT)),
        }
    }

    /// Requests in flight from this process.
    #[must_use]
    pub fn in_flight(&self) -> u32 {
        self.in_flight.load(Ordering::Relaxed)
    }

    /// Counts a request that is sent at `age`.
    pub(in crate::gateway) fn begin(&self, slot_time: Duration, age: Duration) {
        self.in_flight.fetch_add(1, Ordering::Relaxed);
        self.sent.fetch_add(1, Ordering::Relaxed);
        self.add(1, slot_time, age);
    }

    /// Counts work that other processes are thought to send at `age`.
    pub(in crate::gateway) fn foresee(&self, slot_time: Duration, age: Duration) {
        self.add(0, slot_time, age);
    }

    fn add(&self, requests: u32, slot_time: Duration, age: Duration) {
        let period = period(age);
        let slot_micros = micros(slot_time);
        let mut periods = self.periods();
        let sent = &mut periods[index(period)];
        if sent.period != period {
            *sent = SentWork {
                period,
                ..SentWork::default()
            };
        }
        sent.requests = sent.requests.saturating_add(requests);
        sent.slot_micros = sent.slot_micros.saturating_add(slot_micros);
        self.sent_micros.fetch_add(slot_micros, Ordering::Relaxed);
    }

    /// Counts a request as ended.
    pub(in crate::gateway) fn end(&self) {
        self.in_flight.fetch_sub(1, Ordering::Relaxed);
    }

    /// Records the requests of all processes, running or waiting, that the target told of in an answer at
    /// `age`.
    pub(in crate::gateway) fn record_answer(&self, all_in_flight: u32, age: Duration) {
        let _periods = self.periods();
        self.adopt(all_in_flight, SentWork::default(), age);
        let others = self.others.load(Ordering::Relaxed);
        self.answered_others.store(others, Ordering::Relaxed);
        self.answered_ms.store(millis(age), Ordering::Relaxed);
    }

    /// Applies the load that an agent read at `read_at`, unless a later one is known.
    pub(in crate::gateway) fn record_report(
        &self,
        load: &RankLoad,
        read_at: Duration,
        age: Duration,
    ) -> ReportOutcome {
        let is_old = age.saturating_sub(read_at) > FRESH_AGE;
        let periods = self.periods();
        if is_old || millis(read_at) <= self.report_ms.load(Ordering::Relaxed) {
            return ReportOutcome::Outdated;
        }
        self.report_ms.store(millis(read_at), Ordering::Relaxed);
        self.pace_milli.store(load.pace_milli, Ordering::Relaxed);
        let (used, total) = (load.memory_used.get(), load.memory_total.get());
        self.memory_used.store(used, Ordering::Relaxed);
        self.memory_total.store(total, Ordering::Relaxed);
        // An answer may have told of the load since.
        if millis(read_at) > self.read_ms.load(Ordering::Relaxed) {
            let sent = SentWork::since(&periods[..], read_at);
            self.adopt(load.in_flight(), sent, read_at);
        }
        ReportOutcome::Applied
    }

    /// Sets the load known at `read_at`, with what this process sent since.
    fn adopt(&self, all_in_flight: u32, sent: SentWork, read_at: Duration) {
        let own = self.in_flight().saturating_sub(sent.requests);
        let others = all_in_flight.saturating_sub(own);
        self.others.store(others, Ordering::Relaxed);
        self.known.store(all_in_flight, Ordering::Relaxed);
        self.sent.store(sent.requests, Ordering::Relaxed);
        self.sent_micros.store(sent.slot_micros, Ordering::Relaxed);
        self.read_ms.store(millis(read_at), Ordering::Relaxed);
    }

    /// Requests in flight at the target: those of this process, and those of others as the last answer told,
    /// weighted by its age. Loads from agents, which all gateways read alike, would send all to one target.
    #[must_use]
    pub fn estimated_in_flight(&self, age: Duration) -> f64 {
        let others = f64::from(self.answered_others.load(Ordering::Relaxed));
        let answered_ms = self.answered_ms.load(Ordering::Relaxed);
        let elapsed = Duration::from_millis(millis(age).saturating_sub(answered_ms));
        f64::from(self.in_flight()) + others * weight(elapsed)
    }

    /// Requests in flight at the target by the newest load, and those of this process since.
    pub(in crate::gateway) fn known_in_flight(&self) -> u32 {
        self.others
            .load(Ordering::Relaxed)
            .saturating_add(self.in_flight())
    }

    /// Time since the newest load was read; `None` if there is none.
    #[must_use]
    pub fn load_age(&self, age: Duration) -> Option<Duration> {
        let is_known = self.read_ms.load(Ordering::Relaxed) > 0;
        is_known.then(|| self.elapsed(age))
    }

    /// Whether the newest load counts in full.
    pub(in crate::gateway) fn is_fresh(&self, age: Duration) -> bool {
        self.elapsed(age) <= FRESH_AGE
    }

    /// Slowdown factor of the target, at least 1; 1 if it was not reported lately.
    #[must_use]
    pub fn slowdown(&self, age: Duration) -> f64 {
        if !self.is_reported(age) {
            return 1.0;
        }
        let pace = self.pace_milli.load(Ordering::Relaxed).max(NORMAL_PACE);
        f64::from(pace) / f64::from(NORMAL_PACE)
    }

    /// Whether an agent told the load of the target lately.
    pub(in crate::gateway) fn is_reported(&self, age: Duration) -> bool {
        let report_ms = self.report_ms.load(Ordering::Relaxed);
        report_ms > 0 && millis(age).saturating_sub(report_ms) <= whole_millis(FRESH_AGE)
    }

    /// Seconds in which the target would do all that it has to do at `age`, with `slots` at work; a usual
    /// request has a slot for `usual` seconds, and everything takes `slowdown` times as long as usual.
    #[must_use]
    pub fn backlog(&self, usual: f64, slots: SlotCount, slowdown: f64, age: Duration) -> f64 {
        let slots = f64::from(slots.get().max(1));
        let (known, sent, since) = if self.is_fresh(age) {
            let sent = self.sent_micros.load(Ordering::Relaxed);
            let known = f64::from(self.known.load(Ordering::Relaxed));
            let sent = Duration::from_micros(sent).as_secs_f64();
            (known, sent, self.elapsed(age).as_secs_f64())
        } else {
            (self.estimated_in_flight(age), 0.0, 0.0)
        };
        let running = known.min(slots);
        let left = (known - running + running * RUNNING_SHARE) * usual / slots;
        let done = since * running / slots / slowdown;
        ((left - done).max(0.0) + sent / slots) * slowdown
    }

    /// Whether a request that needs `memory` fits beside those known to run there.
    #[must_use]
    pub fn has_memory(&self, memory: TokenCount, usual: TokenCount, age: Duration) -> bool {
        if !self.is_reported(age) {
            return true;
        }
        let total = self.memory_total.load(Ordering::Relaxed);
        let sent = u64::from(self.sent.load(Ordering::Relaxed)).saturating_mul(usual.get());
        let used = self.memory_used.load(Ordering::Relaxed);
        let needed = used.saturating_add(sent).saturating_add(memory.get());
        total == 0
            || tokens(TokenCount::new(needed)) <= tokens(TokenCount::new(total)) * MEMORY_SHARE
    }

    /// Memory that requests leave free, as last reported; `None` if it wasn't lately.
    #[must_use]
    pub fn free_memory(&self, age: Duration) -> Option<TokenCount> {
        let total = self.memory_total.load(Ordering::Relaxed);
        let used = self.memory_used.load(Ordering::Relaxed);
        let is_known = self.is_reported(age) && total > 0;
        is_known.then(|| TokenCount::new(total.saturating_sub(used)))
    }

    /// Adds `requests` to what this process owes the target; returns the sum.
    pub(in crate::gateway) fn add_credit(&self, requests: f64) -> f64 {
        let unit = f64::from(CREDIT_UNIT);
        #[expect(
            clippy::cast_possible_truncation,
            reason = "the cast saturates, and so does the sum"
        )]
        let added = (requests * unit) as i32;
        let credit = self.credit.load(Ordering::Relaxed).saturating_add(added);
        let credit = credit.clamp(-MAX_CREDIT, MAX_CREDIT);
        self.credit.store(credit, Ordering::Relaxed);
        f64::from(credit) / unit
    }

    fn elapsed(&self, age: Duration) -> Duration {
        let read_ms = self.read_ms.load(Ordering::Relaxed);
        Duration::from_millis(millis(age).saturating_sub(read_ms))
    }

    fn periods(&self) -> MutexGuard<'_, SentPeriods> {
        self.periods.lock().unwrap_or_else(PoisonError::into_inner)
    }
}

/// Pace of a target at its usual speed, in thousandths.
const NORMAL_PACE: u32 = 1_000;

fn weight(age: Duration) -> f64 {
    (-age.as_secs_f64() / LOAD_HALF_LIFE.as_secs_f64()).exp2()
}

fn period(age: Duration) -> u64 {
    // Adds one, since 0 is that of an unused entry.
    whole_millis(age) / PERIOD_MILLIS + 1
}

fn index(period: u64) -> usize {
    usize::try_from(period).unwrap_or_default() % PERIODS
}

fn millis(age: Duration) -> u64 {
    // Adds one, since 0 means never.
    whole_millis(age).saturating_add(1)
}

/// Whole milliseconds of `time`, without the division of 128 bits that `as_millis` takes.
pub(in crate::gateway) fn whole_millis(time: Duration) -> u64 {
    time.as_secs()
        .saturating_mul(1_000)
        .saturating_add(u64::from(time.subsec_millis()))
}

fn micros(time: Duration) -> u64 {
    u64::try_from(time.as_micros()).unwrap_or(u64::MAX)
}
