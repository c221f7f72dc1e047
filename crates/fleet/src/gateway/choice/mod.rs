//! Load-balancing policies that choose the target of an attempt.

mod earliest_begin;
mod fill;
mod least_loaded;
mod round_robin;

use std::time::Duration;

use amaranthgw_core::{DomainId, TargetId};
use tokio::time::Instant;

use super::{ColdShare, EngineFigures, PartMemory, PromptPart, TargetCandidate, WorkEstimate};

pub use earliest_begin::EarliestBeginPolicy;
pub use least_loaded::LeastLoadedPolicy;
pub use round_robin::RoundRobinPolicy;

/// Work of the request that a target is sought for.
#[derive(Clone, Copy, Debug)]
pub struct CallWork<'a> {
    /// Figures of the service's engines.
    pub engine: &'a EngineFigures,
    /// Expected work of the request.
    pub estimate: WorkEstimate,
    /// Number of gateways that send requests to the service.
    pub gateways: u32,
    /// Whether the targets of the service are congested.
    pub is_congested: bool,
    /// Parts of its prompt that targets may hold; `None` if it shares none.
    pub parts: Option<HeldParts<'a>>,
}

/// Parts of a prompt, and what is known of the targets that hold them.
#[derive(Clone, Copy, Debug)]
pub struct HeldParts<'a> {
    /// What this process knows of the targets.
    pub memory: &'a PartMemory,
    /// The parts, in the order of the prompt.
    pub parts: &'a [PromptPart],
}

impl CallWork<'_> {
    /// Time by which the request begins earlier at `target`, as it holds the beginning of the prompt. One
    /// that is cold, slow or leaving is expected to hold nothing.
    #[must_use]
    pub fn saving(&self, target: &TargetCandidate, now: Instant) -> Duration {
        let Some(held) = self.parts else {
            return Duration::ZERO;
        };
        let gauge = &target.gauge;
        if target.is_cold(now) || gauge.is_slow(now) || gauge.is_leaving() || gauge.has_failed() {
            return Duration::ZERO;
        }
        let (target, rate) = (&target.record.target, self.engine.read_rate);
        held.memory.saving(target, held.parts, rate, now)
    }
}

/// Input of a load-balancing decision.
#[derive(Clone, Copy, Debug)]
pub struct ChoiceInput<'a> {
    /// Targets that earlier attempts of the request were sent to.
    pub tried: &'a [TargetId],
    /// Failure domain of this process.
    pub domain: &'a DomainId,
    /// Requests that this process may send to one cold target; `None` for none.
    pub cold_share: Option<ColdShare>,
    /// Expected work of the request; `None` if the service publishes no figures.
    pub work: Option<CallWork<'a>>,
    /// Time of the decision.
    pub now: Instant,
}

impl ChoiceInput<'_> {
    /// Earliest time at which one of `targets` that is eligible admits the request; `None` if there
    /// is no such target or the time of one is not known.
    #[must_use]
    pub fn next_admission(&self, targets: &[TargetCandidate]) -> Option<Instant> {
        let eligible = targets.iter().filter(|it| self.is_eligible(it));
        let times: Option<Vec<_>> = eligible
            .map(|target| target.admits_from(self.cold_share, self.now))
            .collect();
        times?.into_iter().min()
    }

    /// Number of requests that the eligible ones of `targets` are expected to admit until
    /// `until`; `None` if one of them may admit any number, or there is none.
    #[must_use]
    pub fn admissions_until(&self, targets: &[TargetCandidate], until: Instant) -> Option<u32> {
        let mut eligible = targets.iter().filter(|it| self.is_eligible(it)).peekable();
        eligible.peek()?;
        let counts = eligible.map(|it| it.admissions_until(self.cold_share, self.now, until));
        counts.sum()
    }

    /// Whether `target` may get the request at some time: it wasn't tried and doesn't leave.
    fn is_eligible(&self, target: &TargetCandidate) -> bool {
        !self.tried.contains(&target.record.target) && !target.gauge.is_leaving()
    }

    /// Whether `target` admits the request; counts the request if the target's rate is limited.
    fn is_admitted(&self, target: &TargetCandidate) -> bool {
        let admit = |share| target.gauge.try_admit_cold(share, self.now);
        !target.is_limited(self.now) || self.cold_share.is_some_and(admit)
    }
}

/// Chooses among the targets that accept new requests.
pub trait ChoicePolicy: std::fmt::Debug + Send + Sync {
    /// Label in logs and metrics.
    fn name(&self) -> &'static str;

    /// Chooses the target of an attempt; `None` if no eligible target admits it.
    fn choose<'a>(
        &self,
        targets: &'a [TargetCandidate],
        input: &ChoiceInput<'_>,
    ) -> Option<&'a TargetCandidate>;
}

/// Load, in requests, added to a target in another failure domain; less than one, so that it only
/// matters between nearly equal targets.
const OTHER_DOMAIN_PENALTY: f64 = 0.25;
/// Load, in requests, added to a target that has failed since its last success, so that it is tried
/// again only once others are busier by this much.
const FAILURE_PENALTY: f64 = 1.5;
/// Load, in requests, added to a cold target, as it is slow.
const COLD_PENALTY: f64 = 2.0;

/// Load, in requests, by which `target` is less attractive than what it has to do says.
fn penalty(target: &TargetCandidate, input: &ChoiceInput<'_>) -> f64 {
    let mut penalty = 0.0;
    if target.record.domain != *input.domain {
        penalty += OTHER_DOMAIN_PENALTY;
    }
    if target.gauge.has_failed() {
        penalty += FAILURE_PENALTY;
    }
    if target.is_cold(input.now) {
        penalty += COLD_PENALTY;
    }
    penalty
}

/// Chooses by `best` among the healthy targets of running groups; among the others only if none of
/// these is about to admit the request.
fn choose_preferred<'a>(
    targets: &'a [TargetCandidate],
    input: &ChoiceInput<'_>,
    best: impl Fn(&mut dyn Iterator<Item = &'a TargetCandidate>) -> Option<&'a TargetCandidate>,
) -> Option<&'a TargetCandidate> {
    let eligible = |target: &&TargetCandidate| {
        input.is_eligible(target) && !target.gauge.is_displaced(input.now)
    };
    let open = |target: &&TargetCandidate| target.gauge.is_open(input.now);
    let running = |target: &&TargetCandidate| !target.check_group_stalled(input.now);
    let healthy = |target: &&TargetCandidate| {
        !target.gauge.is_ejected(input.now) && !target.gauge.is_slow(input.now)
    };
    let eligible = || targets.iter().filter(eligible);
    let preferred = || eligible().filter(running).filter(healthy);
    if let Some(target) = best(&mut preferred().filter(open)) {
        return Some(target);
    }
    // A healthy target is about to answer requests, and to admit this one.
    if preferred().any(|target| target.gauge.is_busy(input.now)) {
        return None;
    }
    // Ejected and slow targets are considered next, then those of stalled groups.
    best(&mut eligible().filter(running).filter(open))
        .or_else(|| best(&mut eligible().filter(open)))
}
