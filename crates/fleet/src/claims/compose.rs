//! Builds the next content of a value from what is known of it.

use amaranthgw_core::{EntityTable, StoreRevision};
use tokio::time::Instant;

use super::rows::{AskRow, FinishRow, WithdrawnRow};
use super::{
    ClaimEntry, ClaimGrant, ClaimRefusal, ClaimSettings, ClaimShard, ClaimStamp, ClaimState,
    ClaimVerdict,
};

/// The content of a value at a revision.
#[derive(Clone, Debug)]
pub(super) struct KnownShard {
    pub(super) revision: StoreRevision,
    pub(super) content: ClaimShard,
    /// The content was current at some time after this.
    pub(super) current_after: Instant,
}

/// What is to be done about one ask.
#[derive(Clone, Debug, PartialEq)]
pub(super) enum AskStep {
    /// Answer it.
    Answer(ClaimVerdict),
    /// Write its claim.
    Write(ClaimEntry),
    /// Read the value again: it may have changed since.
    ReadAgain,
}

/// Removes claims that never ran, prunes old ones and records ends.
pub(super) fn clean_content(
    known: &KnownShard,
    withdrawn: &EntityTable<ClaimStamp, WithdrawnRow>,
    finishes: &EntityTable<ClaimStamp, FinishRow>,
    settings: &ClaimSettings,
    unix_ms: u64,
) -> ClaimShard {
    let mut content = known.content.clone();
    for (stamp, row) in withdrawn.iter() {
        if holds(&content, &row.key, stamp) {
            content.remove(&row.key);
        }
    }
    for (stamp, row) in finishes.iter() {
        record_finish(&mut content, stamp, row, settings);
    }
    content.prune(settings, unix_ms);
    content
}

/// Decides about one ask on the cleaned `content` of a value.
pub(super) fn judge_ask(
    row: &AskRow,
    content: &ClaimShard,
    known: &KnownShard,
    settings: &ClaimSettings,
    unix_ms: u64,
) -> AskStep {
    let ask = &row.ask;
    if holds(&known.content, &ask.key, &ask.stamp) {
        return AskStep::Answer(ClaimVerdict::Granted(ClaimGrant::new(ask)));
    }
    let entry = ClaimEntry {
        stamp: ask.stamp,
        request: ask.request.clone(),
        fingerprint: ask.fingerprint,
        made_at_unix_ms: unix_ms,
        state: ClaimState::Running,
    };
    let verdict = match content.get(&ask.key) {
        Some(earlier) => earlier_verdict(earlier, &entry),
        None if content.has_room(&entry, settings) => return AskStep::Write(entry),
        None => ClaimVerdict::Refused(ClaimRefusal::ShardFull),
    };
    if known.current_after < row.asked_at {
        return AskStep::ReadAgain;
    }
    AskStep::Answer(verdict)
}

/// Whether the claim with `stamp` stands in `content`.
pub(super) fn holds(content: &ClaimShard, key: &super::KeyHash, stamp: &ClaimStamp) -> bool {
    content.get(key).is_some_and(|entry| entry.stamp == *stamp)
}

fn earlier_verdict(earlier: &ClaimEntry, entry: &ClaimEntry) -> ClaimVerdict {
    if earlier.fingerprint != entry.fingerprint {
        return ClaimVerdict::Refused(ClaimRefusal::OtherBody);
    }
    match &earlier.state {
        ClaimState::Running => ClaimVerdict::OutcomeUnknown {
            made_at_unix_ms: earlier.made_at_unix_ms,
        },
        ClaimState::Finished(answer) => ClaimVerdict::Finished(answer.clone()),
    }
}

fn record_finish(
    content: &mut ClaimShard,
    stamp: &ClaimStamp,
    row: &FinishRow,
    settings: &ClaimSettings,
) {
    if !holds(content, &row.key, stamp) {
        return;
    }
    let Some(mut entry) = content.remove(&row.key) else {
        return;
    };
    entry.state = ClaimState::Finished(row.answer.clone());
    if !content.has_room(&entry, settings) {
        entry.state = ClaimState::Finished(row.answer.to_digest());
    }
    content.insert(row.key, entry);
}
