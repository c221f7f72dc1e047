//! What a batcher knows of its value, and the one call under way.

use amaranthgw_core::{MilliSpan, StoreRevision};
use tokio::time::Instant;

use super::compose::KnownShard;
use super::{
    CallNumber, ClaimSettings, ClaimShard, ShardNumber, StoreCall, StoreOrder, StoreReply,
};

#[derive(Clone, Debug)]
struct PendingCall {
    number: CallNumber,
    sent_at: Instant,
    swap: Option<ClaimShard>,
}

/// What a reply told about the value.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(super) enum ReplyOutcome {
    /// It is no reply to the call under way.
    Ignored,
    /// The content is known.
    Known,
    /// The content has to be read.
    Unknown,
    /// The content was read and cannot be decoded.
    Unreadable,
}

/// Link to one value of the key-value service.
#[derive(Clone, Debug)]
pub(super) struct ValueLink {
    shard: ShardNumber,
    call_gap: MilliSpan,
    retry_gap: MilliSpan,
    retry_gap_max: MilliSpan,
    failures: u32,
    known: Option<KnownShard>,
    pending: Option<PendingCall>,
    next_number: CallNumber,
    next_call_at: Instant,
}

impl ValueLink {
    pub(super) fn new(shard: ShardNumber, settings: &ClaimSettings, now: Instant) -> Self {
        Self {
            shard,
            call_gap: settings.call_gap,
            retry_gap: settings.retry_gap,
            retry_gap_max: settings.retry_gap_max,
            failures: 0,
            known: None,
            pending: None,
            next_number: CallNumber::new(1),
            next_call_at: now,
        }
    }

    pub(super) fn known(&self) -> Option<&KnownShard> {
        self.known.as_ref()
    }

    pub(super) fn forget(&mut self) {
        self.known = None;
    }

    pub(super) fn is_busy(&self) -> bool {
        self.pending.is_some()
    }

    pub(super) fn next_call_at(&self) -> Instant {
        self.next_call_at
    }

    pub(super) fn hold_calls(&mut self, until: Instant) {
        self.next_call_at = self.next_call_at.max(until);
    }

    pub(super) fn start(&mut self, order: StoreOrder, now: Instant) -> StoreCall {
        let number = self.next_number;
        self.next_number = number.next();
        let swap = match &order {
            StoreOrder::Swap { content, .. } => Some(content.clone()),
            StoreOrder::Read => None,
        };
        self.pending = Some(PendingCall {
            number,
            sent_at: now,
            swap,
        });
        StoreCall {
            shard: self.shard,
            number,
            order,
        }
    }

    /// Takes the reply to the call `number`.
    ///
    /// A swap is known to stand only by its own reply; whatever else comes, the value is to be
    /// read before the next swap.
    pub(super) fn take_reply(
        &mut self,
        number: CallNumber,
        reply: StoreReply,
        now: Instant,
    ) -> ReplyOutcome {
        let is_pending = |pending: &mut PendingCall| pending.number == number;
        let Some(pending) = self.pending.take_if(is_pending) else {
            return ReplyOutcome::Ignored;
        };
        self.count_failure(&reply);
        self.next_call_at = now + self.gap().duration();
        let is_unreadable = reply == StoreReply::Unreadable;
        let content = stored_content(reply, pending.swap);
        self.known = content.map(|(revision, content)| KnownShard {
            revision,
            content,
            current_after: pending.sent_at,
        });
        match self.known {
            Some(_) => ReplyOutcome::Known,
            None if is_unreadable => ReplyOutcome::Unreadable,
            None => ReplyOutcome::Unknown,
        }
    }

    fn count_failure(&mut self, reply: &StoreReply) {
        self.failures = match reply {
            StoreReply::Lost | StoreReply::Down | StoreReply::Unreadable => {
                self.failures.saturating_add(1)
            }
            _ => 0,
        };
    }

    /// Time to the next call: doubled with each failure in a row, up to the largest gap.
    fn gap(&self) -> MilliSpan {
        let Some(doublings) = self.failures.checked_sub(1) else {
            return self.call_gap;
        };
        let factor = 1_u64.checked_shl(doublings).unwrap_or(u64::MAX);
        let gap = self.retry_gap.millis().saturating_mul(factor);
        MilliSpan::new(gap).min(self.retry_gap_max)
    }
}

fn stored_content(
    reply: StoreReply,
    swap: Option<ClaimShard>,
) -> Option<(StoreRevision, ClaimShard)> {
    match (reply, swap) {
        (StoreReply::Value { revision, content }, None) => Some((revision, content)),
        (StoreReply::Absent, None) => Some((StoreRevision::default(), ClaimShard::new())),
        (StoreReply::Swapped { revision }, swap) => swap.map(|content| (revision, content)),
        _ => None,
    }
}
