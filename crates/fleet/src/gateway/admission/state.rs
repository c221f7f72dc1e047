//! Who is sent to the targets of a service, who waits and who is refused.

use std::collections::{BTreeMap, HashMap};
use std::time::Duration;

use amaranthgw_core::DemandShare;
use tokio::time::Instant;

use super::limit::{AnswerSign, LEAST_URGENT_PART, ServiceLimit, URGENT_PART};
use super::meters::RateMeter;
use super::rank::CallRank;
use super::returns::ReturnTable;
use super::room::{NextLane, WaitRoom, WaiterNumber, WaiterRow};
use super::terms::{
    AdmissionFigures, AdmissionNotice, AdmissionRefusal, AdmissionTerms, AdmissionVerdict,
    FlightBasis, LevelFigures, NoticeOutcome, RefusalReason,
};

/// Whether targets admit requests at all.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
enum TargetGate {
    Open,
    /// The last request found no target; the next one is let through after a change.
    Blocked {
        since: Instant,
    },
    /// One request looks whether a target admits it again.
    Probing {
        since: Instant,
        prober: WaiterNumber,
    },
}

/// A request that was granted a place.
#[derive(Clone, Debug)]
struct FlightRow {
    terms: AdmissionTerms,
    is_returned: bool,
    granted_at: Instant,
}

/// Requests of one rank.
#[derive(Clone, Copy, Debug)]
struct LevelRow {
    arrived_at: Instant,
    grants: RateMeter,
}

/// Time after its last request for which a rank counts.
const LEVEL_TIME: Duration = Duration::from_secs(5);
/// Part of the places that each rank is expected to get.
const LEAST_RATE_PART: f64 = 0.25;
/// Least rate at which places are taken to come free, per second.
const MIN_RATE: f64 = 0.01;
/// Least time by which a request must begin after its arrival, as a part of its objective.
const BEGIN_PART: f64 = 0.25;
/// Bounds of the time after which a refused request may come back.
const RETRY_BOUNDS: (Duration, Duration) = (Duration::from_millis(500), Duration::from_secs(8));
/// Largest part by which that time is prolonged at random, so that requests don't come back in step.
const RETRY_JITTER: f64 = 0.5;

/// Admission to the targets of one service; a plain state machine.
#[derive(Debug)]
pub struct AdmissionState {
    limit: ServiceLimit,
    room: WaitRoom,
    /// Waiters that found no target; they look again after a change.
    parked: HashMap<WaiterNumber, WaiterRow>,
    waiters: HashMap<WaiterNumber, AdmissionTerms>,
    flights: HashMap<WaiterNumber, FlightRow>,
    levels: BTreeMap<CallRank, LevelRow>,
    returns: ReturnTable,
    gate: TargetGate,
    last_number: u64,
    grants: u64,
}

impl Default for AdmissionState {
    fn default() -> Self {
        Self::new()
    }
}

impl AdmissionState {
    /// Creates the state of a service without requests.
    #[must_use]
    pub fn new() -> Self {
        Self {
            limit: ServiceLimit::new(),
            room: WaitRoom::new(),
            parked: HashMap::new(),
            waiters: HashMap::new(),
            flights: HashMap::new(),
            levels: BTreeMap::new(),
            returns: ReturnTable::default(),
            gate: TargetGate::Open,
            last_number: 0,
            grants: 0,
        }
    }

    /// Sets the slots of all targets of the service, and the part of them that this process may use; an
    /// even one among `gateways` if none is stated.
    pub fn adopt_capacity(&mut self, slots: u32, gateways: u32, part: Option<DemandShare>) {
        self.limit.adopt_capacity(slots, gateways, part);
    }

    /// Number of waiters.
    #[must_use]
    pub fn waiting(&self) -> usize {
        self.waiters.len()
    }

    /// Requests in flight or about to be sent.
    #[must_use]
    pub fn in_flight(&self) -> u32 {
        u32::try_from(self.flights.len()).unwrap_or(u32::MAX)
    }

    /// Limit in force; `None` while the targets are not congested.
    #[must_use]
    pub fn limit(&self) -> Option<u32> {
        self.limit.limit()
    }

    /// Time since which no target has admitted a request, if that is so.
    #[must_use]
    pub const fn blocked_since(&self) -> Option<Instant> {
        match self.gate {
            TargetGate::Open => None,
            TargetGate::Blocked { since } | TargetGate::Probing { since, .. } => Some(since),
        }
    }

    /// The state that a decision on a request of `rank` is based on.
    #[must_use]
    pub fn basis(&self, rank: CallRank) -> FlightBasis {
        FlightBasis {
            in_flight: self.in_flight(),
            limit: self.limit.limit(),
            ahead: self.room.ahead_of(rank),
            grants: self.grants,
        }
    }

    /// Figures for metrics.
    #[must_use]
    pub fn figures(&self) -> AdmissionFigures {
        let level = |rank: &CallRank| LevelFigures {
            rank: *rank,
            waiting: self.room.waiting(*rank),
        };
        AdmissionFigures {
            in_flight: self.in_flight(),
            limit: self.limit.limit(),
            levels: self.levels.keys().map(level).collect(),
        }
    }

    /// Decides on a request that arrives or that needs a place again.
    pub fn arrive(
        &mut self,
        terms: AdmissionTerms,
        now: Instant,
        notices: &mut Vec<AdmissionNotice>,
    ) -> AdmissionVerdict {
        self.record_level(terms.rank, now);
        self.last_number += 1;
        let number = WaiterNumber::new(self.last_number);
        let is_returned = self.returns.take(terms.mark, now);
        if self.may_pass(terms.rank, now) {
            self.grant(number, terms, is_returned, now);
            return AdmissionVerdict::Granted(number);
        }
        if let Some(refusal) = self.refusal(&terms, is_returned, now) {
            self.returns.record(terms.mark, now);
            return AdmissionVerdict::Refused(refusal);
        }
        if self.waiters.len() >= WaitRoom::MAX_WAITERS && !self.displace(terms.rank, now, notices) {
            self.returns.record(terms.mark, now);
            let retry_after = self.retry_after(&terms, now);
            let reason = RefusalReason::RoomFull;
            return AdmissionVerdict::Refused(AdmissionRefusal {
                reason,
                retry_after,
            });
        }
        let row = self.waiter_row(&terms, is_returned);
        self.room.insert(number, row);
        self.waiters.insert(number, terms);
        AdmissionVerdict::Waits(number)
    }

    /// Removes a waiter whose caller left or whose time is up.
    pub fn leave(
        &mut self,
        number: WaiterNumber,
        now: Instant,
        notices: &mut Vec<AdmissionNotice>,
    ) {
        self.room.remove(number);
        self.parked.remove(&number);
        self.waiters.remove(&number);
        if self.waiters.is_empty() && matches!(self.gate, TargetGate::Blocked { .. }) {
            self.gate = TargetGate::Open;
        }
        if self.gate == TargetGate::Open {
            self.pump(now, notices);
        }
    }

    /// Records that a waiter is refused, as it found no target in time.
    pub fn give_up(&mut self, number: WaiterNumber, now: Instant) -> Option<Duration> {
        let terms = self.waiters.get(&number)?.clone();
        self.returns.record(terms.mark, now);
        self.limit.limit()?;
        Some(self.retry_after(&terms, now))
    }

    /// Records that a request with a place found a target.
    pub fn record_sent(
        &mut self,
        number: WaiterNumber,
        now: Instant,
        notices: &mut Vec<AdmissionNotice>,
    ) {
        if let Some(flight) = self.flights.get_mut(&number) {
            flight.granted_at = now;
        }
        if self.gate != TargetGate::Open {
            self.gate = TargetGate::Open;
            self.pump(now, notices);
        }
    }

    /// Puts a request with a place back among the waiters, as it found no target. `is_general` says that
    /// others would find none either.
    pub fn park(
        &mut self,
        number: WaiterNumber,
        is_general: bool,
        now: Instant,
        notices: &mut Vec<AdmissionNotice>,
    ) {
        let Some(flight) = self.flights.remove(&number) else {
            return;
        };
        let row = self.waiter_row(&flight.terms, flight.is_returned);
        self.parked.insert(number, row);
        self.waiters.insert(number, flight.terms);
        if is_general {
            let since = self.blocked_since().unwrap_or(now);
            self.gate = TargetGate::Blocked { since };
        } else {
            self.leave_probe(number);
            self.pump(now, notices);
        }
    }

    /// Records that a target may admit requests again.
    pub fn record_change(&mut self, now: Instant, notices: &mut Vec<AdmissionNotice>) {
        for (number, row) in std::mem::take(&mut self.parked) {
            self.room.insert(number, row);
        }
        self.pump(now, notices);
    }

    /// Records the head of an answer.
    pub fn record_answer(
        &mut self,
        sign: AnswerSign,
        now: Instant,
        notices: &mut Vec<AdmissionNotice>,
    ) {
        let (in_flight, has_waiters) = (self.in_flight(), !self.waiters.is_empty());
        self.limit.record_answer(sign, in_flight, has_waiters, now);
        self.record_change(now, notices);
    }

    /// Records that a request gives its place back.
    pub fn end_flight(
        &mut self,
        number: WaiterNumber,
        was_answered: bool,
        now: Instant,
        notices: &mut Vec<AdmissionNotice>,
    ) {
        let Some(flight) = self.flights.remove(&number) else {
            return;
        };
        if was_answered {
            let time = now.saturating_duration_since(flight.granted_at);
            self.limit.record_flight(time);
        }
        self.leave_probe(number);
        self.record_change(now, notices);
    }

    /// Whether a request that arrives needs not wait.
    fn may_pass(&self, rank: CallRank, now: Instant) -> bool {
        let is_free = match self.gate {
            TargetGate::Open => true,
            TargetGate::Blocked { .. } => self.waiters.is_empty(),
            TargetGate::Probing { .. } => false,
        };
        let is_first = self.room.ahead_of(rank) == 0;
        let lane = NextLane {
            rank,
            is_due: false,
        };
        is_free && is_first && self.has_place(lane, now)
    }

    fn has_place(&self, next: NextLane, now: Instant) -> bool {
        let factor = if next.is_due {
            URGENT_PART
        } else {
            self.limit_part(next.rank, now)
        };
        let allowance = self.limit.allowance(factor);
        allowance.is_none_or(|allowance| self.in_flight() < allowance)
    }

    /// Part of the limit that requests of `rank` may use: the more, the more urgent they are.
    fn limit_part(&self, rank: CallRank, now: Instant) -> f64 {
        let recent = |(_rank, row): &(&CallRank, &LevelRow)| {
            now.saturating_duration_since(row.arrived_at) < LEVEL_TIME
        };
        let (mut before, mut all) = (0_u32, 0_u32);
        for (level, _row) in self.levels.iter().filter(recent) {
            all += 1;
            before += u32::from(*level < rank);
        }
        if all < 2 {
            return 1.0;
        }
        let place = f64::from(before) / f64::from(all - 1);
        URGENT_PART + (LEAST_URGENT_PART - URGENT_PART) * place.min(1.0)
    }

    fn record_level(&mut self, rank: CallRank, now: Instant) {
        let row = self.levels.entry(rank).or_insert_with(|| LevelRow {
            arrived_at: now,
            grants: RateMeter::new(now),
        });
        row.arrived_at = now;
    }

    fn grant(
        &mut self,
        number: WaiterNumber,
        terms: AdmissionTerms,
        is_returned: bool,
        now: Instant,
    ) {
        if let Some(level) = self.levels.get_mut(&terms.rank) {
            level.grants.record(now);
        }
        self.grants += 1;
        self.room.pass_over(terms.rank);
        if let TargetGate::Blocked { since } = self.gate {
            let prober = number;
            self.gate = TargetGate::Probing { since, prober };
        }
        let granted_at = now;
        self.flights.insert(
            number,
            FlightRow {
                terms,
                is_returned,
                granted_at,
            },
        );
    }

    /// Admits waiters while there are places.
    fn pump(&mut self, now: Instant, notices: &mut Vec<AdmissionNotice>) {
        while !matches!(self.gate, TargetGate::Probing { .. }) {
            let Some(next) = self.room.next_lane() else {
                return;
            };
            if !self.has_place(next, now) {
                return;
            }
            let Some((number, row)) = self.room.pop_from(next, now) else {
                return;
            };
            let Some(terms) = self.waiters.remove(&number) else {
                continue;
            };
            self.grant(number, terms, row.is_returned, now);
            notices.push(AdmissionNotice {
                number,
                outcome: NoticeOutcome::Granted,
            });
        }
    }

    /// Ends the probe of `number`, which didn't tell whether targets admit requests.
    fn leave_probe(&mut self, number: WaiterNumber) {
        if let TargetGate::Probing { since, prober } = self.gate
            && prober == number
        {
            self.gate = TargetGate::Blocked { since };
        }
    }

    fn waiter_row(&self, terms: &AdmissionTerms, is_returned: bool) -> WaiterRow {
        let usual = self.limit.usual_first_byte();
        let left = terms.objective.saturating_sub(usual);
        let left = left.max(terms.objective.mul_f64(BEGIN_PART));
        WaiterRow {
            rank: terms.rank,
            workspace: terms.workspace.clone(),
            begin_by: terms.arrived_at + left,
            is_returned,
        }
    }

    /// Whether the request can't begin before its deadline at the rate at which places come free.
    fn refusal(
        &self,
        terms: &AdmissionTerms,
        is_returned: bool,
        now: Instant,
    ) -> Option<AdmissionRefusal> {
        let wait = self.expected_wait(terms.rank, is_returned, now)?;
        let latest = terms.deadline.checked_sub(self.limit.usual_flight())?;
        if now + wait <= latest {
            return None;
        }
        Some(AdmissionRefusal {
            reason: RefusalReason::Backlog,
            retry_after: self.retry_after(terms, now),
        })
    }

    /// Time until the waiters before a request of `rank` have begun; `None` while places are not limited.
    fn expected_wait(&self, rank: CallRank, is_returned: bool, now: Instant) -> Option<Duration> {
        let grants = |(_rank, row): (&CallRank, &LevelRow)| row.grants.per_second(now);
        let granted: f64 = self.levels.iter().map(grants).sum();
        let others: f64 = self.levels.range(..rank).map(grants).sum();
        let all = self.limit.places_per_second()?.max(granted);
        let own = (all - others).max(all * LEAST_RATE_PART);
        let waiting = self.room.waiting(rank);
        let before = self.room.ahead_of(rank) - waiting;
        let same = if is_returned {
            self.room.returned(rank)
        } else {
            waiting
        };
        let count = |waiters: usize| f64::from(u32::try_from(waiters).unwrap_or(u32::MAX));
        let wait = count(before) / all.max(MIN_RATE) + count(same) / own.max(MIN_RATE);
        Some(Duration::from_secs_f64(wait))
    }

    /// Time after which the backlog is expected to let a request like this begin within its objective.
    fn retry_after(&self, terms: &AdmissionTerms, now: Instant) -> Duration {
        let wait = self.expected_wait(terms.rank, false, now);
        let wait = wait.unwrap_or_default();
        let wait = wait.saturating_sub(terms.objective);
        let wait = wait.clamp(RETRY_BOUNDS.0, RETRY_BOUNDS.1);
        wait.mul_f64(1.0 + fastrand::f64() * RETRY_JITTER)
    }

    /// Refuses the waiter that gives way to a request of `rank`; `false` if there is none.
    fn displace(
        &mut self,
        rank: CallRank,
        now: Instant,
        notices: &mut Vec<AdmissionNotice>,
    ) -> bool {
        let Some(number) = self.room.displace(rank) else {
            return false;
        };
        let Some(terms) = self.waiters.remove(&number) else {
            return false;
        };
        self.returns.record(terms.mark, now);
        let refusal = AdmissionRefusal {
            reason: RefusalReason::Displaced,
            retry_after: self.retry_after(&terms, now),
        };
        notices.push(AdmissionNotice {
            number,
            outcome: NoticeOutcome::Refused(refusal),
        });
        true
    }
}
