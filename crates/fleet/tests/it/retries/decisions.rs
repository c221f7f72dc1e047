//! Retry decisions, budgets and proofs that an attempt did not run.

use std::io::{Error, ErrorKind};
use std::time::Duration;

use amaranthgw_core::{AttemptNumber, ChunkSequence, RequestId};
use amaranthgw_fleet::limits::MilliRate;
use amaranthgw_fleet::retries::{
    AttemptLog, BudgetSettings, EntryRefusalReason, FailureCause, GiveUpReason, NotRunProof,
    ProofError, ProofKind, RefusalReason, RepeatRule, RetryBudget, RetryDecision, RetryInput,
    RetrySettings, RunOutcome, SidecarRefusal, UnknownCause,
};
use proptest::prelude::*;
use tokio::time::Instant;
use yare::parameterized;

fn refusal(attempt: u32) -> SidecarRefusal {
    SidecarRefusal {
        request: request(),
        attempt: AttemptNumber::new(attempt),
        reason: RefusalReason::GateFull,
    }
}

fn request() -> RequestId {
    "order-7".parse().expect("valid id")
}

fn refused(attempt: u32) -> RunOutcome {
    let attempt = AttemptNumber::new(attempt);
    let proof = NotRunProof::with_sidecar_refusal(&request(), attempt, &refusal(attempt.get()));
    RunOutcome::NotRun(proof.expect("the same attempt"))
}

fn run_outcome() -> impl Strategy<Value = RunOutcome> {
    prop_oneof![
        Just(RunOutcome::Done),
        Just(refused(0)),
        Just(RunOutcome::NotRun(NotRunProof::with_entry_refusal(
            EntryRefusalReason::NoTarget
        ))),
        Just(RunOutcome::Failed(FailureCause::TargetError)),
        Just(RunOutcome::Failed(FailureCause::BrokenAnswer)),
        Just(RunOutcome::OutcomeUnknown(UnknownCause::TimedOut)),
        Just(RunOutcome::OutcomeUnknown(UnknownCause::ConnectionLost)),
    ]
}

fn repeat_rule() -> impl Strategy<Value = RepeatRule> {
    prop_oneof![
        Just(RepeatRule::NonIdempotent),
        Just(RepeatRule::Idempotent),
        Just(RepeatRule::Resumable),
    ]
}

fn may_have_run(outcome: RunOutcome) -> bool {
    !matches!(outcome, RunOutcome::NotRun(_))
}

fn full_budget(now: Instant) -> RetryBudget {
    let budget = RetryBudget::new(BudgetSettings::new(), now);
    (0..1_000).for_each(|_| budget.record_first());
    budget
}

proptest! {
    #![proptest_config(ProptestConfig { cases: 2_000, failure_persistence: None, ..ProptestConfig::default() })]

    #[test]
    fn decide_non_idempotent_runs_once(
        rule in repeat_rule(),
        outcomes in prop::collection::vec(run_outcome(), 1..8),
        resume_at in 0_u64..3,
        needed_ms in 0_u64..600,
        jitter in 0.0_f32..1.0,
    ) {
        let start = Instant::now();
        let (settings, budget) = (RetrySettings::new(), full_budget(start));
        let deadline = start + Duration::from_millis(500);
        let mut log = AttemptLog::new();
        let (mut now, mut runs) = (start, 0);
        for outcome in outcomes {
            log.record(outcome);
            runs += u32::from(may_have_run(outcome));
            let is_not_run = log.overall().is_some_and(|overall| !may_have_run(overall));
            prop_assert!(!is_not_run || runs == 0, "a request that may have run is reported as not run");
            let input = RetryInput {
                rule,
                outcome,
                attempts: log.count(),
                deadline,
                needed: Duration::from_millis(needed_ms),
                resume_from: ChunkSequence::new(resume_at),
                jitter,
            };
            let RetryDecision::Retry { start_at, resume_from } =
                RetryDecision::decide(&input, &settings, &budget, now)
            else {
                break;
            };
            prop_assert!(rule != RepeatRule::NonIdempotent || runs == 0);
            prop_assert!(resume_at == 0 || rule == RepeatRule::Resumable);
            prop_assert!(start_at >= now && start_at + input.needed <= deadline);
            prop_assert!(log.count() < settings.max_attempts && outcome != RunOutcome::Done);
            prop_assert_eq!(resume_from, input.resume_from);
            now = start_at;
        }
    }

    #[test]
    fn try_spend_within_budget(
        percent in 0_u32..50,
        max_saved in 0_u32..30,
        floor in 0_u64..3_000,
        steps in prop::collection::vec((0_u64..500, 0_u32..20, 0_u32..20), 1..60),
    ) {
        let start = Instant::now();
        let settings = BudgetSettings { percent, max_saved, floor: MilliRate::new(floor) };
        let budget = RetryBudget::new(settings, start);
        let (mut now, mut firsts, mut retries) = (start, 0_u32, 0_u32);
        for (gap_ms, new_firsts, tries) in steps {
            now += Duration::from_millis(gap_ms);
            (0..new_firsts).for_each(|_| budget.record_first());
            firsts += new_firsts;
            let spent = (0..tries).filter(|_| budget.try_spend(now)).count();
            retries += u32::try_from(spent).expect("small");
            // The meter of the floor admits `floor` over 0.1 s (`RateMeter::BURST_WINDOW`) and one
            // more retry at once.
            prop_assert!(spent <= max_saved as usize + 2 + (floor / 10_000) as usize);
            let seconds = (now - start).as_secs_f64() + 0.1;
            let floor_part = seconds * f64::from(u32::try_from(floor).expect("small")) / 1e3 + 1.0;
            let bound = f64::from(firsts * percent) / 100.0 + floor_part;
            prop_assert!(f64::from(retries) <= bound, "{retries} retries, allowed {bound}");
        }
    }
}

#[parameterized(
    decide_done = { RepeatRule::Resumable, RunOutcome::Done, 0, GiveUpReason::Done },
    decide_non_idempotent_unknown = { RepeatRule::NonIdempotent,
        RunOutcome::OutcomeUnknown(UnknownCause::TimedOut), 0, GiveUpReason::MayHaveRun },
    decide_non_idempotent_failed = { RepeatRule::NonIdempotent,
        RunOutcome::Failed(FailureCause::TargetError), 0, GiveUpReason::MayHaveRun },
    decide_begun_not_resumable = { RepeatRule::Idempotent,
        RunOutcome::Failed(FailureCause::BrokenAnswer), 5, GiveUpReason::NotResumable },
)]
fn decide_gives_up(rule: RepeatRule, outcome: RunOutcome, resume_at: u64, reason: GiveUpReason) {
    let now = Instant::now();
    let input = retry_input(rule, outcome, resume_at, now);
    let decision = RetryDecision::decide(&input, &RetrySettings::new(), &full_budget(now), now);
    assert_eq!(decision, RetryDecision::GiveUp(reason));
}

#[parameterized(
    decide_refusal_at_once = { RepeatRule::NonIdempotent, refused(0), 0, 0 },
    decide_broken_stream_resumed = { RepeatRule::Resumable,
        RunOutcome::Failed(FailureCause::BrokenAnswer), 5, 5 },
)]
fn decide_retries(rule: RepeatRule, outcome: RunOutcome, resume_at: u64, delay_ms: u64) {
    let now = Instant::now();
    let input = retry_input(rule, outcome, resume_at, now);
    let decision = RetryDecision::decide(&input, &RetrySettings::new(), &full_budget(now), now);
    let expected = RetryDecision::Retry {
        start_at: now + Duration::from_millis(delay_ms),
        resume_from: ChunkSequence::new(resume_at),
    };
    assert_eq!(decision, expected);
}

#[parameterized(
    decide_delay_first = { 1, 10 },
    decide_delay_doubles = { 3, 40 },
    decide_delay_bounded = { 12, 250 },
)]
fn decide_delay(attempts: u32, bound_ms: u64) {
    let now = Instant::now();
    let outcome = RunOutcome::OutcomeUnknown(UnknownCause::TimedOut);
    let settings = RetrySettings {
        max_attempts: 20,
        ..RetrySettings::new()
    };
    // `divisor` 0 stands for no delay.
    for (jitter, divisor) in [(0.0, 0), (0.5, 2), (1.0, 1)] {
        let input = RetryInput {
            attempts,
            jitter,
            ..retry_input(RepeatRule::Idempotent, outcome, 0, now)
        };
        let decision = RetryDecision::decide(&input, &settings, &full_budget(now), now);
        let RetryDecision::Retry { start_at, .. } = decision else {
            panic!("{decision:?}");
        };
        let delay = Duration::from_millis(bound_ms)
            .checked_div(divisor)
            .unwrap_or_default();
        assert!((start_at - now).abs_diff(delay) < Duration::from_micros(1));
    }
}

fn retry_input(rule: RepeatRule, outcome: RunOutcome, resume_at: u64, now: Instant) -> RetryInput {
    RetryInput {
        rule,
        outcome,
        attempts: 1,
        deadline: now + Duration::from_secs(1),
        needed: Duration::from_millis(100),
        resume_from: ChunkSequence::new(resume_at),
        jitter: 0.5,
    }
}

#[test]
fn with_sidecar_refusal_other_attempt() {
    let error = NotRunProof::with_sidecar_refusal(&request(), AttemptNumber::new(1), &refusal(0))
        .expect_err("a late refusal of an earlier attempt");
    assert!(matches!(error, ProofError::OtherAttempt { .. }));
    let other: RequestId = "order-8".parse().expect("valid id");
    NotRunProof::with_sidecar_refusal(&other, AttemptNumber::new(0), &refusal(0))
        .expect_err("the refusal of another request");
}

#[parameterized(
    with_connect_error_reset = { ErrorKind::ConnectionReset },
    with_connect_error_timeout = { ErrorKind::TimedOut },
    with_connect_error_broken_pipe = { ErrorKind::BrokenPipe },
)]
fn with_connect_error_no_proof(kind: ErrorKind) {
    let error = NotRunProof::with_connect_error(&Error::from(kind)).expect_err("no proof");
    assert_eq!(error, ProofError::BytesMayBeSent { kind });
}

#[test]
fn with_connect_error_refused() {
    let error = Error::from(ErrorKind::ConnectionRefused);
    let proof = NotRunProof::with_connect_error(&error).expect("no bytes sent");
    assert_eq!(proof.kind(), ProofKind::ConnectionRefused);
}
