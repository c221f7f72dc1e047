//! Group commit of the claims that share one stored value.

use amaranthgw_core::{EntityTable, StoreRevision};
use tokio::time::Instant;

use super::cache::{ReplyOutcome, ShardCache};
use super::compose::{ClaimStep, KnownShard, contains_claim, evaluate_claim, updated_content};
use super::rows::{PendingClaim, UnsavedAnswer, WithdrawnClaim};
use super::{
    CallNumber, ClaimGrant, ClaimId, ClaimOutput, ClaimRefusal, ClaimSettings, ClaimShard,
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
    pending: EntityTable<ClaimId, PendingClaim>,
    unsaved_answers: EntityTable<ClaimId, UnsavedAnswer>,
    withdrawn: EntityTable<ClaimId, WithdrawnClaim>,
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
            unsaved_answers: EntityTable::new(),
            withdrawn: EntityTable::new(),
        }
    }

    /// Queues a claim; its verdict is returned by a later [`Self::reply`] or [`Self::tick`].
    pub fn submit(&mut self, submission: ClaimSubmission, now: Instant) {
        let row = PendingClaim {
            submission,
            submitted_at: now,
            expected_revision: None,
        };
        self.pending.insert(row.submission.id, row);
    }

    /// Queues the answer to a granted request for storage.
    pub fn finish(&mut self, grant: &ClaimGrant, answer: StoredAnswer, now: Instant) {
        let row = UnsavedAnswer {
            key: grant.key(),
            answer,
            due_at: now + self.settings.finish_delay.duration(),
        };
        self.unsaved_answers.insert(grant.id(), row);
    }

    /// Releases the claim of a request that is proven not to have run.
    pub fn release(&mut self, grant: &ClaimGrant, _proof: NotRunProof) {
        // A granted claim is known to be stored, so no earlier swap can store it again.
        let row = WithdrawnClaim {
            key: grant.key(),
            expected_revision: StoreRevision::default(),
        };
        self.withdrawn.insert(grant.id(), row);
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

    /// Earliest time at which a tick can return a verdict or a call if no input arrives before.
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

    /// Delays the next call until `until` at the earliest.
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
        let due = self.unsaved_answers.rows().map(|row| row.due_at).min();
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
        for (id, row) in self.pending.iter() {
            match evaluate_claim(row, &content, known, &self.settings, clock.unix_ms) {
                ClaimStep::Answer(verdict) => answered.push((*id, verdict)),
                ClaimStep::ReadAgain => needs_read = true,
                ClaimStep::Write(_) => {}
            }
        }
        for (id, verdict) in &answered {
            match verdict {
                ClaimVerdict::Granted(_) => drop(self.pending.remove(id)),
                _ => self.withdraw(id),
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
                row.expected_revision = Some(expect);
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
        let ids: Vec<_> = refused.map(|(id, _)| *id).collect();
        for id in ids {
            self.withdraw(&id);
            let verdict = ClaimVerdict::Refused(refusal);
            output.verdicts.push((id, verdict));
        }
    }

    /// Drops a pending claim without a grant. If a write may still store it, it is recorded as
    /// withdrawn so that a later write removes it.
    fn withdraw(&mut self, id: &ClaimId) {
        let Some(row) = self.pending.remove(id) else {
            return;
        };
        if let Some(expected_revision) = row.expected_revision {
            let key = row.submission.key;
            let row = WithdrawnClaim {
                key,
                expected_revision,
            };
            self.withdrawn.insert(*id, row);
        }
    }

    /// Drops withdrawn claims that are not and can no longer be stored, and answers that are stored
    /// or whose claim is gone.
    fn drop_settled(&mut self) {
        let Some(known) = self.cache.known() else {
            return;
        };
        self.withdrawn.retain(|id, row| {
            contains_claim(&known.content, &row.key, id) || known.revision <= row.expected_revision
        });
        self.unsaved_answers.retain(|id, row| {
            let entry = known.content.get(&row.key);
            entry.is_some_and(|entry| entry.id == *id && entry.state == ClaimState::Running)
        });
    }

    fn has_work(&self, now: Instant) -> bool {
        let is_due = |row: &UnsavedAnswer| row.due_at <= now;
        !self.pending.is_empty()
            || !self.withdrawn.is_empty()
            || self.unsaved_answers.rows().any(is_due)
    }

    fn drop_unused_cache(&mut self, now: Instant) {
        if now >= self.used_at + self.settings.cache_time.duration() {
            self.cache.clear();
        }
    }

    fn updated_content(&self, known: &KnownShard, clock: ClockReading) -> ClaimShard {
        let (withdrawn, unsaved_answers) = (&self.withdrawn, &self.unsaved_answers);
        updated_content(
            known,
            withdrawn,
            unsaved_answers,
            &self.settings,
            clock.unix_ms,
        )
    }
}
