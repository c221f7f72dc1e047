//! Cached content of one stored value and the call in flight for it.

use amaranthgw_core::{MilliSpan, StoreRevision};
use tokio::time::Instant;

use super::compose::KnownShard;
use super::{
    CallNumber, ClaimSettings, ClaimShard, ShardNumber, StoreCall, StoreOperation, StoreReply,
};

#[derive(Clone, Debug)]
struct CallInFlight {
    number: CallNumber,
    sent_at: Instant,
    /// Content that the call writes; `None` for a read.
    written: Option<ClaimShard>,
}

/// What a reply revealed about the stored value.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(super) enum ReplyOutcome {
    /// The reply does not belong to the call in flight.
    Ignored,
    /// The current content is known.
    Known,
    /// The content is unknown and has to be read.
    Unknown,
    /// The content was read but cannot be decoded.
    Unreadable,
}

/// Cache of one value of the key-value service, with at most one call in flight.
#[derive(Clone, Debug)]
pub(super) struct ShardCache {
    shard: ShardNumber,
    call_gap: MilliSpan,
    retry_gap: MilliSpan,
    retry_gap_max: MilliSpan,
    consecutive_failures: u32,
    known: Option<KnownShard>,
    in_flight: Option<CallInFlight>,
    next_number: CallNumber,
    next_call_at: Instant,
}

impl ShardCache {
    pub(super) fn new(shard: ShardNumber, settings: &ClaimSettings, now: Instant) -> Self {
        Self {
            shard,
            call_gap: settings.call_gap,
            retry_gap: settings.retry_gap,
            retry_gap_max: settings.retry_gap_max,
            consecutive_failures: 0,
            known: None,
            in_flight: None,
            next_number: CallNumber::new(1),
            next_call_at: now,
        }
    }

    pub(super) fn known(&self) -> Option<&KnownShard> {
        self.known.as_ref()
    }

    pub(super) fn clear(&mut self) {
        self.known = None;
    }

    pub(super) fn is_busy(&self) -> bool {
        self.in_flight.is_some()
    }

    pub(super) fn next_call_at(&self) -> Instant {
        self.next_call_at
    }

    pub(super) fn defer_calls(&mut self, until: Instant) {
        self.next_call_at = self.next_call_at.max(until);
    }

    pub(super) fn start(&mut self, operation: StoreOperation, now: Instant) -> StoreCall {
        let number = self.next_number;
        self.next_number = number.next();
        let written = match &operation {
            StoreOperation::Swap { content, .. } => Some(content.clone()),
            StoreOperation::Read => None,
        };
        self.in_flight = Some(CallInFlight {
            number,
            sent_at: now,
            written,
        });
        StoreCall {
            shard: self.shard,
            number,
            operation,
        }
    }

    /// Handles the reply to the call `number`.
    ///
    /// The content is known after an answered read and after a confirmed swap. After any other
    /// reply to the call in flight it has to be read before the next swap.
    pub(super) fn handle_reply(
        &mut self,
        number: CallNumber,
        reply: StoreReply,
        now: Instant,
    ) -> ReplyOutcome {
        let is_same = |call: &mut CallInFlight| call.number == number;
        let Some(call) = self.in_flight.take_if(is_same) else {
            return ReplyOutcome::Ignored;
        };
        self.update_failures(&reply);
        self.next_call_at = now + self.call_delay().duration();
        let is_unreadable = reply == StoreReply::Unreadable;
        let content = content_after(reply, call.written);
        self.known = content.map(|(revision, content)| KnownShard {
            revision,
            content,
            current_after: call.sent_at,
        });
        match self.known {
            Some(_) => ReplyOutcome::Known,
            None if is_unreadable => ReplyOutcome::Unreadable,
            None => ReplyOutcome::Unknown,
        }
    }

    fn update_failures(&mut self, reply: &StoreReply) {
        self.consecutive_failures = match reply {
            StoreReply::Lost | StoreReply::Down | StoreReply::Unreadable => {
                self.consecutive_failures.saturating_add(1)
            }
            _ => 0,
        };
    }

    /// Delay before the next call: exponential backoff over consecutive failures, with a maximum.
    fn call_delay(&self) -> MilliSpan {
        let Some(doublings) = self.consecutive_failures.checked_sub(1) else {
            return self.call_gap;
        };
        let factor = 1_u64.checked_shl(doublings).unwrap_or(u64::MAX);
        let delay = self.retry_gap.millis().saturating_mul(factor);
        MilliSpan::new(delay).min(self.retry_gap_max)
    }
}

fn content_after(
    reply: StoreReply,
    written: Option<ClaimShard>,
) -> Option<(StoreRevision, ClaimShard)> {
    match (reply, written) {
        (StoreReply::Value { revision, content }, None) => Some((revision, content)),
        (StoreReply::Absent, None) => Some((StoreRevision::default(), ClaimShard::new())),
        (StoreReply::Swapped { revision }, written) => written.map(|content| (revision, content)),
        _ => None,
    }
}
