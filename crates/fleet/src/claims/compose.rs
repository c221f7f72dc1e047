//! Computes the next content of a stored value from its last known content and pending changes.

use amaranthgw_core::{EntityTable, StoreRevision};
use tokio::time::Instant;

use super::rows::{PendingClaim, UnsavedAnswer, WithdrawnClaim};
use super::{
    ClaimEntry, ClaimGrant, ClaimId, ClaimRefusal, ClaimSettings, ClaimShard, ClaimState,
    ClaimVerdict,
};

/// Content of a stored value at a revision.
#[derive(Clone, Debug)]
pub(super) struct KnownShard {
    pub(super) revision: StoreRevision,
    pub(super) content: ClaimShard,
    /// Time at which the call that returned the content was sent; the content was current then or
    /// later.
    pub(super) current_after: Instant,
}

/// Next step for one pending claim.
#[derive(Clone, Debug, PartialEq)]
pub(super) enum ClaimStep {
    /// Return this verdict.
    Answer(ClaimVerdict),
    /// Write this entry.
    Write(ClaimEntry),
    /// Read the value again: it may have changed since the known content was current.
    ReadAgain,
}

/// Returns the known content without withdrawn and expired claims, and with the unsaved answers
/// recorded.
pub(super) fn updated_content(
    known: &KnownShard,
    withdrawn: &EntityTable<ClaimId, WithdrawnClaim>,
    unsaved_answers: &EntityTable<ClaimId, UnsavedAnswer>,
    settings: &ClaimSettings,
    unix_ms: u64,
) -> ClaimShard {
    let mut content = known.content.clone();
    for (id, row) in withdrawn.iter() {
        if contains_claim(&content, &row.key, id) {
            content.remove(&row.key);
        }
    }
    for (id, row) in unsaved_answers.iter() {
        record_answer(&mut content, id, row, settings);
    }
    content.prune(settings, unix_ms);
    content
}

/// Decides the next step for one pending claim on the updated `content` of its shard.
pub(super) fn evaluate_claim(
    row: &PendingClaim,
    content: &ClaimShard,
    known: &KnownShard,
    settings: &ClaimSettings,
    unix_ms: u64,
) -> ClaimStep {
    let submission = &row.submission;
    if contains_claim(&known.content, &submission.key, &submission.id) {
        return ClaimStep::Answer(ClaimVerdict::Granted(ClaimGrant::new(submission)));
    }
    let entry = ClaimEntry {
        id: submission.id,
        request: submission.request.clone(),
        fingerprint: submission.fingerprint,
        made_at_unix_ms: unix_ms,
        state: ClaimState::Running,
    };
    let verdict = match content.get(&submission.key) {
        Some(earlier) => duplicate_verdict(earlier, &entry),
        None if content.has_room(&entry, settings) => return ClaimStep::Write(entry),
        None => ClaimVerdict::Refused(ClaimRefusal::ShardFull),
    };
    // A swap fails if the content is outdated; a verdict without one needs content read after the
    // submission.
    if known.current_after < row.submitted_at {
        return ClaimStep::ReadAgain;
    }
    ClaimStep::Answer(verdict)
}

/// Whether `content` holds the claim identified by `id`.
pub(super) fn contains_claim(content: &ClaimShard, key: &super::KeyHash, id: &ClaimId) -> bool {
    content.get(key).is_some_and(|entry| entry.id == *id)
}

fn duplicate_verdict(earlier: &ClaimEntry, entry: &ClaimEntry) -> ClaimVerdict {
    if earlier.fingerprint != entry.fingerprint {
        return ClaimVerdict::Refused(ClaimRefusal::KeyReused);
    }
    match &earlier.state {
        ClaimState::Running => ClaimVerdict::OutcomeUnknown {
            made_at_unix_ms: earlier.made_at_unix_ms,
        },
        ClaimState::Finished(answer) => ClaimVerdict::Finished(answer.clone()),
    }
}

fn record_answer(
    content: &mut ClaimShard,
    id: &ClaimId,
    row: &UnsavedAnswer,
    settings: &ClaimSettings,
) {
    if !contains_claim(content, &row.key, id) {
        return;
    }
    let Some(mut entry) = content.remove(&row.key) else {
        return;
    };
    entry.state = ClaimState::Finished(row.answer.clone());
    if !content.has_room(&entry, settings) {
        entry.state = ClaimState::Finished(row.answer.without_body());
    }
    content.insert(row.key, entry);
}
