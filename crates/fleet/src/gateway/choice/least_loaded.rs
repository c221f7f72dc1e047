//! Choice by the number of requests per slot.

use super::{ChoiceInput, ChoicePolicy, TargetCandidate, choose_preferred, penalty};

/// Chooses the target with the lowest estimated load per slot.
#[derive(Debug, Default)]
pub struct LeastLoadedPolicy;

/// Upper bound of the random load, in requests, that keeps processes with equal information from
/// choosing the same target.
const MAX_JITTER: f64 = 0.2;

impl LeastLoadedPolicy {
    fn load(target: &TargetCandidate, input: &ChoiceInput<'_>) -> f64 {
        let slots = f64::from(target.record.slots.get().max(1));
        let load = target.gauge.estimated_in_flight(input.now) + penalty(target, input);
        (load + fastrand::f64() * MAX_JITTER) / slots
    }

    fn best<'a>(
        candidates: &mut dyn Iterator<Item = &'a TargetCandidate>,
        input: &ChoiceInput<'_>,
    ) -> Option<&'a TargetCandidate> {
        let mut loaded: Vec<_> = candidates
            .map(|target| (Self::load(target, input), target))
            .collect();
        loaded.sort_by(|a, b| a.0.total_cmp(&b.0));
        loaded
            .into_iter()
            .map(|(_load, target)| target)
            .find(|target| input.is_admitted(target) && target.gauge.try_admit_ejected(input.now))
    }
}

impl ChoicePolicy for LeastLoadedPolicy {
    fn name(&self) -> &'static str {
        "least_loaded"
    }

    fn choose<'a>(
        &self,
        targets: &'a [TargetCandidate],
        input: &ChoiceInput<'_>,
    ) -> Option<&'a TargetCandidate> {
        choose_preferred(targets, input, |candidates| Self::best(candidates, input))
    }
}
