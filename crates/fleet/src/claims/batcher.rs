//! Group commit of the claims that share one stored value.

use amaranthgw_core::{EntityTable, StoreRevision};
use tokio::time::Instant;

use super::cache::{ReplyOutcome, ShardCache};
use super::compose::{ClaimStep, KnownShard, contains_claim, evaluate_claim, updated_content};
use super::rows::{FinishRow, PendingClaim, WithdrawnRow};
use super::{
    CallNumber, ClaimGrant, ClaimOutput, ClaimRefusal, ClaimSettings, ClaimShard, ClaimStamp,
    ClaimState, ClaimSubmission, ClaimVerdict, ClockReading, ShardNumber, StoreOperation,
    StoreReply, StoredAnswer,
};
use crate::gate::NotRunProof;

/// Batchers of one process, by shard.
pub type BatcherTable = EntityTable<ShardNumber, ClaimBatcher>;

/// Collects the claims on the keys of one shard and writes them in one compare-and-swap.
///
/// At most one call is in flight. A claim is granted only once the stored value is known to
/// contain it. After a conflict, a lost reply or an outage, the value is read again before the
/// next write.
#[derive(Clone, Debug)]
pub struct ClaimBatcher {
    settings: ClaimSettings,
    cache: ShardCache,
    used_at: Instant,
    pending: EntityTable<ClaimStamp, PendingClaim>,
    finishes: EntityTable<ClaimStamp, FinishRow>,
    withdrawn: EntityTable<ClaimStamp, WithdrawnRow>,
}

impl ClaimBatcher {
    /// Creates the batcher of `shard` with an empty cache.
    #[must_use]
    pub fn new(shard: ShardNumber, settings: ClaimSettings, now: Instant) -> Self {
        Self {
            cache: ShardCache::new(shard, &settings, now),
            settings,
            used_at: now,
            pending: EntityTable::new(),
            finishes: EntityTable::new(),
            withdrawn: EntityTable::new(),
        }
    }

    /// Queues a claim; its verdict is returned by a later [`Self::reply`] or [`Self::tick`].
    pub fn submit(&mut self, submission: ClaimSubmission, now: Instant) {
        let row = PendingClaim {
            submission,
            submitted_at: now,
            written_on: None,
        };
        self.pending.insert(row.submission.stamp, row);
    }

    /// Queues the answer to a granted request for storage.
    pub fn finish(&mut self, grant: &ClaimGrant, answer: StoredAnswer, now: Instant) {
        let row = FinishRow {
            key: grant.key(),
            answer,
            due_at: now + self.settings.finish_delay.duration(),
        };
        self.finishes.insert(grant.stamp(), row);
    }

    /// Releases the claim of a request that is proven not to have run.
    pub fn release(&mut self, grant: &ClaimGrant, _proof: NotRunProof) {
        let row = WithdrawnRow {
            key: grant.key(),
            written_on: StoreRevision::default(),
        };
        self.withdrawn.insert(grant.stamp(), row);
    }

    /// Handles the reply to the call `number`, then does what [`Self::tick`] does.
    pub fn reply(
        &mut self,
        number: CallNumber,
        reply: StoreReply,
        clock: ClockReading,
    ) -> ClaimOutput {
        let mut output = ClaimOutput::default();
        let outcome = self.cache.handle_reply(number, reply, clock.now);
        if outcome == ReplyOutcome::Unreadable {
            self.refuse_pending(ClaimRefusal::Unreadable, &mut output, |_| true);
        }
        self.advance(clock, &mut output);
        output
    }

    /// Refuses pending claims whose deadline has passed and starts the next call when it is due.
    pub fn tick(&mut self, clock: ClockReading) -> ClaimOutput {
        let mut output = ClaimOutput::default();
        self.advance(clock, &mut output);
        output
    }

    /// Time of the next tick that can have an effect without new input.
    #[must_use]
    pub fn wake_at(&self) -> Option<Instant> {
        let give_up = self
            .pending
            .rows()
            .map(|row| row.submission.give_up_at)
            .min();
        let call = self.next_call_at();
        give_up.into_iter().chain(call).min()
    }

    /// Starts no call before `until`.
    pub fn defer_calls(&mut self, until: Instant) {
        self.cache.defer_calls(until);
    }

    /// Submission time of the oldest pending claim.
    #[must_use]
    pub fn oldest_submission(&self) -> Option<Instant> {
        self.pending.rows().map(|row| row.submitted_at).min()
    }

    fn next_call_at(&self) -> Option<Instant> {
        if self.cache.is_busy() {
            return None;
        }
        if !self.pending.is_empty() || !self.withdrawn.is_empty() {
            return Some(self.cache.next_call_at());
        }
        let due = self.finishes.rows().map(|row| row.due_at).min();
        due.map(|due| due.max(self.cache.next_call_at()))
    }

    fn advance(&mut self, clock: ClockReading, output: &mut ClaimOutput) {
        let is_expired = |row: &PendingClaim| row.submission.give_up_at <= clock.now;
        self.refuse_pending(ClaimRefusal::StoreUnavailable, output, is_expired);
        if self.cache.is_busy() {
            return;
        }
        let needs_read = self.resolve_pending(clock, output);
        self.drop_settled();
        if !self.has_work(clock.now) {
            self.drop_unused_cache(clock.now);
            return;
        }
        self.used_at = clock.now;
        if clock.now < self.cache.next_call_at() {
            return;
        }
        let operation = if needs_read {
            StoreOperation::Read
        } else {
            self.next_operation(clock)
        };
        output.call = Some(self.cache.start(operation, clock.now));
    }

    /// Resolves every pending claim that needs no write; returns whether one needs a new read.
    fn resolve_pending(&mut self, clock: ClockReading, output: &mut ClaimOutput) -> bool {
        let Some(known) = self.cache.known().filter(|_| !self.pending.is_empty()) else {
            return false;
        };
        let content = self.updated_content(known, clock);
        let mut needs_read = false;
        let mut answered = Vec::new();
        for (stamp, row) in self.pending.iter() {
            match evaluate_claim(row, &content, known, &self.settings, clock.unix_ms) {
                ClaimStep::Answer(verdict) => answered.push((*stamp, verdict)),
                ClaimStep::ReadAgain => needs_read = true,
                ClaimStep::Write(_) => {}
            }
        }
        for (stamp, verdict) in &answered {
            match verdict {
                ClaimVerdict::Granted(_) => drop(self.pending.remove(stamp)),
                _ => self.withdraw(stamp),
            }
        }
        output.verdicts.extend(answered);
        needs_read
    }

    /// Returns a read where the content is unknown, else a swap with all pending changes.
    fn next_operation(&mut self, clock: ClockReading) -> StoreOperation {
        let Some(known) = self.cache.known() else {
            return StoreOperation::Read;
        };
        let mut content = self.updated_content(known, clock);
        let expect = known.revision;
        for (_, row) in self.pending.iter_mut() {
            let step = evaluate_claim(row, &content, known, &self.settings, clock.unix_ms);
            if let ClaimStep::Write(entry) = step {
                content.insert(row.submission.key, entry);
                row.written_on = Some(expect);
            }
        }
        StoreOperation::Swap { expect, content }
    }

    fn refuse_pending(
        &mut self,
        refusal: ClaimRefusal,
        output: &mut ClaimOutput,
        is_refused: impl Fn(&PendingClaim) -> bool,
    ) {
        let refused = self.pending.iter().filter(|(_, row)| is_refused(row));
        let stamps: Vec<_> = refused.map(|(stamp, _)| *stamp).collect();
        for stamp in stamps {
            self.withdraw(&stamp);
            let verdict = ClaimVerdict::Refused(refusal);
            output.verdicts.push((stamp, verdict));
        }
    }

    /// Drops a pending claim without a grant. If a write may still store it, it is recorded as
    /// withdrawn so that a later write removes it.
    fn withdraw(&mut self, stamp: &ClaimStamp) {
        let Some(row) = self.pending.remove(stamp) else {
            return;
        };
        if let Some(written_on) = row.written_on {
            let key = row.submission.key;
            let row = WithdrawnRow { key, written_on };
            self.withdrawn.insert(*stamp, row);
        }
    }

    /// Drops withdrawn claims that can no longer be stored and finishes that are stored.
    fn drop_settled(&mut self) {
        let Some(known) = self.cache.known() else {
            return;
        };
        self.withdrawn.retain(|stamp, row| {
            contains_claim(&known.content, &row.key, stamp) || known.revision <= row.written_on
        });
        self.finishes.retain(|stamp, row| {
            let entry = known.content.get(&row.key);
            entry.is_some_and(|entry| entry.stamp == *stamp && entry.state == ClaimState::Running)
        });
    }

    fn has_work(&self, now: Instant) -> bool {
        let is_due = |row: &FinishRow| row.due_at <= now;
        !self.pending.is_empty() || !self.withdrawn.is_empty() || self.finishes.rows().any(is_due)
    }

    fn drop_unused_cache(&mut self, now: Instant) {
        if now >= self.used_at + self.settings.cache_time.duration() {
            self.cache.clear();
        }
    }

    fn updated_content(&self, known: &KnownShard, clock: ClockReading) -> ClaimShard {
        let (withdrawn, finishes) = (&self.withdrawn, &self.finishes);
        updated_content(known, withdrawn, finishes, &self.settings, clock.unix_ms)
    }
}
