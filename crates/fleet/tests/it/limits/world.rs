//! Simulation of entries that share one limit through a store and have clocks of different rates.

use std::sync::Arc;
use std::time::Duration;

use amaranthgw_core::{EntityTable, SlotCount, StartMark, StoreRevision};
use amaranthgw_fleet::limits::{
    DemandRow, HolderId, InFlightPermit, MilliRate, ReadReply, ShareAmount, ShareBatcher,
    ShareCall, ShareKey, ShareSettings, ShareValue, UsageMeter, WriteReply,
};
use tokio::time::Instant;

/// Outcome of the call that an entry has pending.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(super) enum CallOutcome {
    Replied,
    /// The call never takes effect, and its reply is lost.
    RequestLost,
    /// The call takes effect, but its reply is lost.
    ReplyLost,
    /// The call takes effect later, and its reply is lost.
    Delayed,
    /// The call takes effect, and its reply arrives later.
    ReplyDelayed,
    /// A read returns the value before the last write.
    Stale,
}

enum CallReply {
    Read(ReadReply),
    Write(WriteReply),
}

pub(super) fn share_key() -> ShareKey {
    "schools|draft-llm".parse().expect("valid key")
}

/// A request in flight that ends after the longest allowed time.
pub(super) struct OpenRequest {
    pub ends_at: Instant,
    _permit: InFlightPermit,
}

pub(super) struct EntrySim {
    start: u64,
    index: usize,
    clock_rate: f64,
    batcher: ShareBatcher,
    meter: Arc<UsageMeter>,
    demand: ShareAmount,
    pending_call: Option<ShareCall>,
    late_reply: Option<CallReply>,
    requests: Vec<OpenRequest>,
}

pub(super) struct ShareWorld {
    pub settings: ShareSettings,
    pub limit: ShareAmount,
    pub entries: Vec<EntrySim>,
    pub is_store_up: bool,
    base: Instant,
    pub now: Instant,
    value: ShareValue,
    revision: StoreRevision,
    previous: (StoreRevision, ShareValue),
    late_writes: Vec<ShareCall>,
}

impl ShareWorld {
    pub fn new(settings: ShareSettings, limit: ShareAmount, clock_rates: &[f64]) -> Self {
        let now = Instant::now();
        let mut world = Self {
            settings,
            limit,
            entries: Vec::new(),
            is_store_up: true,
            base: now,
            now,
            value: ShareValue::default(),
            revision: StoreRevision::new(0),
            previous: (StoreRevision::new(0), ShareValue::default()),
            late_writes: Vec::new(),
        };
        for (index, clock_rate) in clock_rates.iter().enumerate() {
            let entry = EntrySim::new(index, 0, *clock_rate, settings, now);
            world.entries.push(entry);
            world.apply(index);
        }
        world
    }

    /// Current time by the clock of entry `index`.
    pub fn local_now(&self, index: usize) -> Instant {
        let since = (self.now - self.base).mul_f64(self.entries[index].clock_rate);
        self.base + since
    }

    pub fn advance(&mut self, span: Duration) {
        self.now += span;
        let now = self.now;
        for entry in &mut self.entries {
            entry.requests.retain(|request| request.ends_at > now);
        }
    }

    pub fn set_demand(&mut self, index: usize, milli_rate: u64, in_flight: u32) {
        let rate = MilliRate::new(milli_rate);
        self.entries[index].demand = ShareAmount::new(rate, SlotCount::new(in_flight));
    }

    /// Starts as many requests as the entry admits, each of the longest allowed duration.
    pub fn fill(&mut self, index: usize) {
        let now = self.local_now(index);
        let ends_at = self.now + self.settings.max_request_duration;
        let entry = &mut self.entries[index];
        while let Ok(permit) = entry.meter.in_flight.try_enter(now) {
            entry.requests.push(OpenRequest {
                ends_at,
                _permit: permit,
            });
        }
    }

    pub fn tick(&mut self, index: usize) {
        let (now, demand) = (self.local_now(index), self.demand(index));
        let call = self.entries[index].batcher.on_tick(&demand, now);
        self.apply(index);
        if let Some(call) = call {
            self.entries[index].pending_call = Some(call);
        }
    }

    /// Delivers a late reply if there is one, else completes the pending call of an entry.
    pub fn finish_call(&mut self, index: usize, outcome: CallOutcome) {
        if let Some(reply) = self.entries[index].late_reply.take() {
            self.deliver(index, reply);
            return;
        }
        let Some(call) = self.entries[index].pending_call.take() else {
            return;
        };
        let outcome = if self.is_store_up {
            outcome
        } else {
            CallOutcome::RequestLost
        };
        let reply = match call {
            ShareCall::Read => CallReply::Read(self.read(outcome)),
            ShareCall::Write { .. } => CallReply::Write(self.write(call, outcome)),
        };
        if outcome == CallOutcome::ReplyDelayed {
            self.entries[index].late_reply = Some(reply);
            return;
        }
        self.deliver(index, reply);
    }

    fn deliver(&mut self, index: usize, reply: CallReply) {
        let (now, demand) = (self.local_now(index), self.demand(index));
        let entry = &mut self.entries[index];
        match reply {
            CallReply::Read(reply) => {
                entry.pending_call = entry.batcher.on_read(reply, &demand, now);
            }
            CallReply::Write(reply) => entry.batcher.on_write(reply, now),
        }
        self.apply(index);
    }

    /// Applies to the store a write that the entry counted as lost.
    pub fn apply_late_write(&mut self) {
        if let Some(call) = self.late_writes.pop() {
            self.write(call, CallOutcome::ReplyLost);
        }
    }

    /// Restarts the process of an entry and returns its requests, which continue at the targets.
    pub fn restart(&mut self, index: usize) -> Vec<OpenRequest> {
        let now = self.local_now(index);
        let old = &mut self.entries[index];
        let (start, rate) = (old.start + 1, old.clock_rate);
        let new = EntrySim::new(index, start, rate, self.settings, now);
        let old = std::mem::replace(&mut self.entries[index], new);
        self.entries[index].demand = old.demand;
        self.apply(index);
        old.requests
    }

    pub fn rate(&self, index: usize) -> u64 {
        let now = self.local_now(index);
        self.entries[index].meter.rate.rate(now).get()
    }

    pub fn total_rate(&self) -> u64 {
        (0..self.entries.len()).map(|index| self.rate(index)).sum()
    }

    pub fn value(&self) -> &ShareValue {
        &self.value
    }

    pub fn in_flight_of(&self, index: usize) -> usize {
        self.entries[index].requests.len()
    }

    pub fn in_flight(&self) -> usize {
        self.entries.iter().map(|entry| entry.requests.len()).sum()
    }

    fn apply(&mut self, index: usize) {
        let entry = &self.entries[index];
        let share = entry.batcher.local_share(&share_key(), self.limit);
        let until = share.leased_until;
        entry.meter.rate.set_floor(share.floor.rate);
        entry.meter.rate.set_leased(share.leased.rate, until);
        entry.meter.in_flight.set_floor(share.floor.in_flight);
        entry
            .meter
            .in_flight
            .set_leased(share.leased.in_flight, until);
    }

    /// Sets the rate of the limit, in requests per 1,000 seconds.
    pub fn set_limit_rate(&mut self, milli_rate: u64) {
        self.limit.rate = MilliRate::new(milli_rate);
        for index in 0..self.entries.len() {
            let (now, demand) = (self.local_now(index), self.demand(index));
            if self.entries[index].pending_call.is_some() {
                self.entries[index].batcher.on_tick(&demand, now);
            } else {
                self.tick(index);
            }
            self.apply(index);
        }
    }

    fn demand(&self, index: usize) -> EntityTable<ShareKey, DemandRow> {
        let entry = &self.entries[index];
        let row = DemandRow {
            limit: self.limit,
            demand: entry.demand,
            used: entry.meter.in_flight.used(),
        };
        let is_idle = row.demand == ShareAmount::default() && row.used.get() == 0;
        let rows = (!is_idle).then(|| (share_key(), row));
        rows.into_iter().collect()
    }

    fn read(&self, outcome: CallOutcome) -> ReadReply {
        let (revision, value) = match outcome {
            CallOutcome::Replied | CallOutcome::ReplyDelayed => (self.revision, self.value.clone()),
            CallOutcome::Stale => self.previous.clone(),
            _ => return ReadReply::Lost,
        };
        ReadReply::Found { revision, value }
    }

    fn write(&mut self, call: ShareCall, outcome: CallOutcome) -> WriteReply {
        if outcome == CallOutcome::Delayed {
            self.late_writes.push(call);
            return WriteReply::Lost;
        }
        let ShareCall::Write { expect, value } = call else {
            return WriteReply::Lost;
        };
        if outcome == CallOutcome::RequestLost {
            return WriteReply::Lost;
        }
        let is_current = expect == self.revision;
        if is_current {
            let value = std::mem::replace(&mut self.value, value);
            self.previous = (self.revision, value);
            self.revision = self.revision.next();
        }
        match outcome {
            CallOutcome::ReplyLost => WriteReply::Lost,
            _ if is_current => WriteReply::Written {
                revision: self.revision,
            },
            _ => WriteReply::Conflict,
        }
    }
}

impl EntrySim {
    fn new(
        index: usize,
        start: u64,
        clock_rate: f64,
        settings: ShareSettings,
        now: Instant,
    ) -> Self {
        let vm = format!("entry-{index}").parse().expect("valid id");
        let holder = HolderId::new(vm, StartMark::new(start));
        Self {
            start,
            index,
            clock_rate,
            batcher: ShareBatcher::new(holder, settings, now).with_slot(),
            meter: Arc::new(UsageMeter::new(now)),
            demand: ShareAmount::default(),
            pending_call: None,
            late_reply: None,
            requests: Vec::new(),
        }
    }
}

impl std::fmt::Debug for EntrySim {
    fn fmt(&self, f: &mut std::fmt::Formatter<'_>) -> std::fmt::Result {
        write!(f, "entry-{}@{}", self.index, self.start)
    }
}
