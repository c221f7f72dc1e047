//! Claims on idempotency keys, for plain calls that must not run twice.

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

/// Time from the start of the claim within which it must be granted and the request dispatched.
const CLAIM_TIMEOUT: Duration = Duration::from_secs(3);
/// Largest answer stored with a claim, in bytes; of a larger one only the status is stored.
const MAX_STORED_ANSWER: usize = 512;
/// Operation name that goes into the fingerprint of a request.
const OPERATION_NAME: &str = "call";

/// Result of claiming the idempotency key of a call.
#[derive(Clone, Debug)]
pub(super) enum CallClaim {
    /// The call has no key or may run more than once.
    NotNeeded,
    /// The call may run once.
    Granted(ClaimGrant),
    /// The call ran before; holds the stored status and body.
    Replayed(StatusCode, Bytes),
}

/// Claims the idempotency key of `call`, if it has one and must not run twice.
///
/// # Errors
///
/// Returns the [`CallError`] for the caller if the key is taken or cannot be claimed.
pub(super) async fn claim(
    thread: &TrafficThread,
    call: &AdmittedCall,
) -> Result<CallClaim, CallError> {
    let Some(key) = claimed_key(call) else {
        return Ok(CallClaim::NotNeeded);
    };
    let head = &call.head;
    let hash = KeyHash::new(&head.workspace, key);
    let fingerprint = BodyFingerprint::new(&head.service, OPERATION_NAME, &call.body);
    let give_up_at = call.cutoff.min(Instant::now() + CLAIM_TIMEOUT);
    let claims = &thread.shared.claims;
    let verdict = claims
        .claim(hash, fingerprint, head.request.clone(), give_up_at)
        .await;
    call_claim(verdict)
}

fn claimed_key(call: &AdmittedCall) -> Option<&IdempotencyKey> {
    let is_idempotent = call.head.rule != RepeatRule::NonIdempotent;
    call.head.key.as_ref().filter(|_| !is_idempotent)
}

fn call_claim(verdict: ClaimVerdict) -> Result<CallClaim, CallError> {
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

/// Stores the answer of a claimed call, or releases the claim if the call provably did not run.
///
/// After any other end the claim stays, so that a resend gets the error `already_sent`.
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
            // No attempt was made, or each one is proven not to have run.
            claims.release(grant, NotRunProof::with_refusal_before_dispatch());
        }
        Some(RunOutcome::Failed(_) | RunOutcome::OutcomeUnknown(_)) => {}
    }
}
