//! Claims on the idempotency key of a call that must not run twice.

use std::time::Duration;

use amaranthgw_core::IdempotencyKey;
use amaranthgw_fleet::claims::{
    BodyFingerprint, ClaimGrant, ClaimRefusal, ClaimVerdict, KeyHash, StoredAnswer,
};
use amaranthgw_fleet::gate::NotRunProof;
use amaranthgw_fleet::retries::{RepeatRule, RunOutcome};
use bytes::Bytes;
use http::StatusCode;
use tokio::time::Instant;

use super::CallError;
use super::run::AdmittedCall;
use super::shared::TrafficThread;

/// Longest wait for a claim, and longest time from its grant to a hand-over.
const CLAIM_TIME: Duration = Duration::from_secs(3);
/// Longest answer that is kept with a claim, in bytes.
const MAX_STORED_ANSWER: usize = 512;
/// Name of the call in fingerprints.
const CALL_NAME: &str = "call";

/// What came of a claim.
#[derive(Clone, Debug)]
pub(super) enum CallClaim {
    /// The call needs no claim.
    NotNeeded,
    /// The call may run once.
    Granted(ClaimGrant),
    /// The call ran before and this was its answer.
    Replayed(StatusCode, Bytes),
}

/// Claims the key of `call`, where it has one and must not run twice.
pub(super) async fn claim(
    thread: &TrafficThread,
    call: &AdmittedCall,
) -> Result<CallClaim, CallError> {
    let Some(key) = claimed_key(call) else {
        return Ok(CallClaim::NotNeeded);
    };
    let head = &call.head;
    let hash = KeyHash::new(&head.workspace, key);
    let fingerprint = BodyFingerprint::new(&head.service, CALL_NAME, &call.body);
    let give_up_at = call.cutoff.min(Instant::now() + CLAIM_TIME);
    let claims = &thread.shared.claims;
    let verdict = claims
        .claim(hash, fingerprint, head.request.clone(), give_up_at)
        .await;
    read_verdict(verdict)
}

fn claimed_key(call: &AdmittedCall) -> Option<&IdempotencyKey> {
    let is_repeatable = call.head.rule != RepeatRule::NonIdempotent;
    call.head.key.as_ref().filter(|_| !is_repeatable)
}

fn read_verdict(verdict: ClaimVerdict) -> Result<CallClaim, CallError> {
    match verdict {
        ClaimVerdict::Granted(grant) => Ok(CallClaim::Granted(grant)),
        ClaimVerdict::OutcomeUnknown { .. } => Err(CallError::AlreadySent),
        ClaimVerdict::Finished(StoredAnswer::Whole { status, body }) => {
            let status = StatusCode::from_u16(status).unwrap_or(StatusCode::OK);
            Ok(CallClaim::Replayed(
                status,
                Bytes::copy_from_slice(body.as_bytes()),
            ))
        }
        ClaimVerdict::Finished(StoredAnswer::StatusOnly { .. }) => Err(CallError::AlreadyDone),
        ClaimVerdict::Refused(ClaimRefusal::KeyReused) => Err(CallError::KeyReused),
        ClaimVerdict::Refused(_) => Err(CallError::KeyUnavailable),
    }
}

/// Records how a claimed call ended: its answer, or that it is proven not to have run.
///
/// Any other end leaves the claim as it is, so that a resend is told that the outcome is unknown.
pub(super) fn settle(
    thread: &TrafficThread,
    grant: Option<ClaimGrant>,
    outcome: Option<RunOutcome>,
    answer: &[u8],
) {
    let Some(grant) = grant else { return };
    let claims = &thread.shared.claims;
    match outcome {
        Some(RunOutcome::Done) => {
            let status = StatusCode::OK.as_u16();
            claims.finish(grant, StoredAnswer::new(status, answer, MAX_STORED_ANSWER));
        }
        None | Some(RunOutcome::NotRun(_)) => {
            claims.release(grant, NotRunProof::with_refusal_before_dispatch());
        }
        Some(RunOutcome::Failed(_) | RunOutcome::OutcomeUnknown(_)) => {}
    }
}
