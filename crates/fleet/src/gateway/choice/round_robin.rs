//! Choice in turn.

use super::{ChoiceInput, ChoicePolicy, TargetCandidate};

/// Chooses targets in turn; a baseline for measurements.
#[derive(Debug, Default)]
pub struct RoundRobinPolicy {
    next: std::sync::atomic::AtomicUsize,
}

impl ChoicePolicy for RoundRobinPolicy {
    fn name(&self) -> &'static str {
        "round_robin"
    }

    fn choose<'a>(
        &self,
        targets: &'a [TargetCandidate],
        input: &ChoiceInput<'_>,
    ) -> Option<&'a TargetCandidate> {
        let start = self.next.fetch_add(1, std::sync::atomic::Ordering::Relaxed);
        let in_turn = (0..targets.len()).map(|step| &targets[(start + step) % targets.len()]);
        let admits =
            |target: &&TargetCandidate| input.is_eligible(target) && input.is_admitted(target);
        in_turn.into_iter().find(admits)
    }
}
