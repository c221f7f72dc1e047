//! Gathers what is known of an attempt whose target is silent, for the decision what becomes of it.

use std::time::Duration;

use amaranthgw_fleet::gateway::{
    AttemptFacts, AttemptStage, GroupHealth, PatienceVerdict, StayCause, TargetCandidate,
    is_probably_queued,
};
use tokio::time::Instant;

use super::basis::whole_millis;
use super::run::CallRun;
use crate::telemetry::NodeEvent;

impl CallRun {
    /// Decides what becomes of an attempt at `target` that has sent nothing since `since`.
    pub(super) fn judge(
        &mut self,
        target: &TargetCandidate,
        stage: AttemptStage,
        since: Instant,
    ) -> PatienceVerdict {
        let facts = self.attempt_facts(target, stage, since);
        let verdict = self.patience().decide(&facts);
        self.log_verdict(target, &facts, verdict);
        verdict
    }

    fn attempt_facts(
        &self,
        target: &TargetCandidate,
        stage: AttemptStage,
        since: Instant,
    ) -> AttemptFacts {
        let now = Instant::now();
        let silent_for = now.saturating_duration_since(since);
        let is_silent = self.patience().is_silent(silent_for);
        let service_silent_for = self.budget().map(|budget| budget.silent_for(now));
        AttemptFacts {
            stage,
            count: self.run_count(),
            silent_for,
            left: self.call.deadline.saturating_duration_since(now),
            sought_before: self.sought_at.map(|at| now.saturating_duration_since(at)),
            is_full: is_silent && self.is_full(target, now),
            group: self.group_health(target, now),
            service_silent_for: service_silent_for.unwrap_or(Duration::ZERO),
            is_convicted: stage == AttemptStage::Waiting && self.is_convicted(),
        }
    }

    fn is_full(&self, target: &TargetCandidate, now: Instant) -> bool {
        let snapshot = self.thread.shared.snapshot.load();
        let targets = snapshot.targets.get(&self.call.service);
        let targets = targets.map_or(&[][..], |targets| targets);
        is_probably_queued(target, targets, fastrand::usize(..), now)
    }

    fn group_health(&self, target: &TargetCandidate, now: Instant) -> GroupHealth {
        if !target.check_group_stalled(now) {
            return GroupHealth::Sound;
        }
        let snapshot = self.thread.shared.snapshot.load();
        let targets = snapshot.targets.get(&self.call.service);
        let runs = |it: &TargetCandidate| it.group.is_some() && !it.check_group_stalled(now);
        if targets.into_iter().flatten().any(runs) {
            GroupHealth::StalledAlone
        } else {
            GroupHealth::Stalled
        }
    }

    /// Logs `verdict` unless the last one was the same or nothing is in doubt.
    fn log_verdict(
        &mut self,
        target: &TargetCandidate,
        facts: &AttemptFacts,
        verdict: PatienceVerdict,
    ) {
        let is_ordinary = matches!(
            verdict,
            PatienceVerdict::Stay(StayCause::Fresh | StayCause::SoughtLately)
                | PatienceVerdict::End(_)
        );
        if is_ordinary || self.logged_verdict == Some(verdict) {
            return;
        }
        self.logged_verdict = Some(verdict);
        self.thread.log.record(NodeEvent::TargetDoubted {
            request: self.call.name(),
            target: target.record.target.clone(),
            decision: verdict.name(),
            cause: verdict.cause(),
            silent_ms: whole_millis(facts.silent_for),
            has_begun: facts.stage == AttemptStage::Streaming,
            is_full: facts.is_full,
            runs: facts.count.runs,
            sends: facts.count.sends,
            left_ms: whole_millis(facts.left),
        });
    }
}
