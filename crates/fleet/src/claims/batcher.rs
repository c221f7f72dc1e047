//! Group commit of claims into one value.

use amaranthgw_core::{EntityTable, StoreRevision};
use tokio::time::Instant;

use super::compose::{AskStep, KnownShard, clean_content, holds, judge_ask};
use super::link::{ReplyOutcome, ValueLink};
use super::rows::{AskRow, FinishRow, WithdrawnRow};
use super::{
    CallNumber, ClaimAsk, ClaimGrant, ClaimOutput, ClaimRefusal, ClaimSettings, ClaimShard,
    ClaimStamp, ClaimState, ClaimVerdict, ClockReading, ShardNumber, StoreOrder, StoreReply,
    StoredAnswer,
};
use crate::gate::NotRunProof;

/// Batchers of one process.
pub type BatcherTable = EntityTable<ShardNumber, ClaimBatcher>;

/// Collects the claims on the keys of one value and writes them together.
///
/// One call is under way at a time. A claim is granted only when the value is known to hold it.
/// After a conflict, a lost reply or an outage the value is read before anything else.
#[derive(Clone, Debug)]
pub struct ClaimBatcher {
    settings: ClaimSettings,
    link: ValueLink,
    used_at: Instant,
    asks: EntityTable<ClaimStamp, AskRow>,
    finishes: EntityTable<ClaimStamp, FinishRow>,
    withdrawn: EntityTable<ClaimStamp, WithdrawnRow>,
}

impl ClaimBatcher {
    /// Creates the batcher of `shard`, of which nothing is known yet.
    #[must_use]
    pub fn new(shard: ShardNumber, settings: ClaimSettings, now: Instant) -> Self {
        Self {
            link: ValueLink::new(shard, &settings, now),
            settings,
            used_at: now,
            asks: EntityTable::new(),
            finishes: EntityTable::new(),
            withdrawn: EntityTable::new(),
        }
    }

    /// Adds an ask; its verdict comes from [`Self::reply`] or [`Self::tick`].
    pub fn ask(&mut self, ask: ClaimAsk, now: Instant) {
        let row = AskRow {
            ask,
            asked_at: now,
            written_on: None,
        };
        self.asks.insert(row.ask.stamp, row);
    }

    /// Records the end of a granted request.
    pub fn finish(&mut self, grant: &ClaimGrant, answer: StoredAnswer, now: Instant) {
        let row = FinishRow {
            key: grant.key(),
            answer,
            due_at: now + self.settings.finish_delay.duration(),
        };
        self.finishes.insert(grant.stamp(), row);
    }

    /// Gives a claim back whose request is proven not to have run.
    pub fn release(&mut self, grant: &ClaimGrant, _proof: NotRunProof) {
        let row = WithdrawnRow {
            key: grant.key(),
            written_on: StoreRevision::default(),
        };
        self.withdrawn.insert(grant.stamp(), row);
    }

    /// Takes the reply to the call `number`, then goes on as [`Self::tick`] does.
    pub fn reply(
        &mut self,
        number: CallNumber,
        reply: StoreReply,
        clock: ClockReading,
    ) -> ClaimOutput {
        let mut output = ClaimOutput::default();
        let outcome = self.link.take_reply(number, reply, clock.now);
        if outcome == ReplyOutcome::Unreadable {
            self.refuse_asks(ClaimRefusal::Unreadable, &mut output, |_| true);
        }
        self.advance(clock, &mut output);
        output
    }

    /// Refuses asks that waited too long and makes the next call when it is due.
    pub fn tick(&mut self, clock: ClockReading) -> ClaimOutput {
        let mut output = ClaimOutput::default();
        self.advance(clock, &mut output);
        output
    }

    /// When the next tick is useful without a new input.
    #[must_use]
    pub fn wake_at(&self) -> Option<Instant> {
        let give_up = self.asks.rows().map(|row| row.ask.give_up_at).min();
        let call = self.next_call_at();
        give_up.into_iter().chain(call).min()
    }

    /// Makes no call before `until`.
    pub fn hold_calls(&mut self, until: Instant) {
        self.link.hold_calls(until);
    }

    /// Since when the oldest ask waits.
    #[must_use]
    pub fn waits_since(&self) -> Option<Instant> {
        self.asks.rows().map(|row| row.asked_at).min()
    }

    fn next_call_at(&self) -> Option<Instant> {
        if self.link.is_busy() {
            return None;
        }
        if !self.asks.is_empty() || !self.withdrawn.is_empty() {
            return Some(self.link.next_call_at());
        }
        let due = self.finishes.rows().map(|row| row.due_at).min();
        due.map(|due| due.max(self.link.next_call_at()))
    }

    fn advance(&mut self, clock: ClockReading, output: &mut ClaimOutput) {
        let is_over = |row: &AskRow| row.ask.give_up_at <= clock.now;
        self.refuse_asks(ClaimRefusal::StoreUnavailable, output, is_over);
        if self.link.is_busy() {
            return;
        }
        let needs_read = self.judge_asks(clock, output);
        self.forget_settled();
        if !self.has_work(clock.now) {
            self.drop_unused(clock.now);
            return;
        }
        self.used_at = clock.now;
        if clock.now < self.link.next_call_at() {
            return;
        }
        let order = if needs_read {
            StoreOrder::Read
        } else {
            self.next_order(clock)
        };
        output.call = Some(self.link.start(order, clock.now));
    }

    /// Answers every ask that needs no write; returns whether one needs a new read.
    fn judge_asks(&mut self, clock: ClockReading, output: &mut ClaimOutput) -> bool {
        let Some(known) = self.link.known().filter(|_| !self.asks.is_empty()) else {
            return false;
        };
        let content = self.cleaned(known, clock);
        let mut needs_read = false;
        let mut answered = Vec::new();
        for (stamp, row) in self.asks.iter() {
            match judge_ask(row, &content, known, &self.settings, clock.unix_ms) {
                AskStep::Answer(verdict) => answered.push((*stamp, verdict)),
                AskStep::ReadAgain => needs_read = true,
                AskStep::Write(_) => {}
            }
        }
        for (stamp, verdict) in &answered {
            match verdict {
                ClaimVerdict::Granted(_) => drop(self.asks.remove(stamp)),
                _ => self.withdraw(stamp),
            }
        }
        output.verdicts.extend(answered);
        needs_read
    }

    /// A read where the content is not known, else a swap that carries all that waits.
    fn next_order(&mut self, clock: ClockReading) -> StoreOrder {
        let Some(known) = self.link.known() else {
            return StoreOrder::Read;
        };
        let mut content = self.cleaned(known, clock);
        let expect = known.revision;
        for (_, row) in self.asks.iter_mut() {
            let step = judge_ask(row, &content, known, &self.settings, clock.unix_ms);
            if let AskStep::Write(entry) = step {
                content.insert(row.ask.key, entry);
                row.written_on = Some(expect);
            }
        }
        StoreOrder::Swap { expect, content }
    }

    fn refuse_asks(
        &mut self,
        refusal: ClaimRefusal,
        output: &mut ClaimOutput,
        is_refused: impl Fn(&AskRow) -> bool,
    ) {
        let refused = self.asks.iter().filter(|(_, row)| is_refused(row));
        let stamps: Vec<_> = refused.map(|(stamp, _)| *stamp).collect();
        for stamp in stamps {
            self.withdraw(&stamp);
            let verdict = ClaimVerdict::Refused(refusal);
            output.verdicts.push((stamp, verdict));
        }
    }

    /// Drops an ask without a grant; a write that may bring its claim in is remembered.
    fn withdraw(&mut self, stamp: &ClaimStamp) {
        let Some(row) = self.asks.remove(stamp) else {
            return;
        };
        if let Some(written_on) = row.written_on {
            let key = row.ask.key;
            let row = WithdrawnRow { key, written_on };
            self.withdrawn.insert(*stamp, row);
        }
    }

    /// Forgets withdrawn claims that are out for good and ends that are stored.
    fn forget_settled(&mut self) {
        let Some(known) = self.link.known() else {
            return;
        };
        self.withdrawn.retain(|stamp, row| {
            holds(&known.content, &row.key, stamp) || known.revision <= row.written_on
        });
        self.finishes.retain(|stamp, row| {
            let entry = known.content.get(&row.key);
            entry.is_some_and(|entry| entry.stamp == *stamp && entry.state == ClaimState::Running)
        });
    }

    fn has_work(&self, now: Instant) -> bool {
        let is_due = |row: &FinishRow| row.due_at <= now;
        !self.asks.is_empty() || !self.withdrawn.is_empty() || self.finishes.rows().any(is_due)
    }

    fn drop_unused(&mut self, now: Instant) {
        if now >= self.used_at + self.settings.cache_time.duration() {
            self.link.forget();
        }
    }

    fn cleaned(&self, known: &KnownShard, clock: ClockReading) -> ClaimShard {
        let (withdrawn, finishes) = (&self.withdrawn, &self.finishes);
        clean_content(known, withdrawn, finishes, &self.settings, clock.unix_ms)
    }
}
