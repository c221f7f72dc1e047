//! Requests suspected of crashing targets: runs them alone at a target, or refuses them.

use amaranthgw_fleet::entry::EntrySnapshot;
use amaranthgw_fleet::gate::GateStage;
use amaranthgw_fleet::retries::RunOutcome;
use amaranthgw_fleet::routing::{TargetRoute, TargetStage};
use amaranthgw_fleet::suspects::{
    IsolationCandidate, SuspectLevel, SuspectVerdict, choose_isolation,
};

use super::CallError;
use super::run::CallRun;
use super::shared::TrafficReport;

impl CallRun {
    /// Returns how the request may run, given the target crashes that this entry knows of.
    pub(super) fn suspect_level(&self) -> SuspectLevel {
        let head = &self.call.head;
        self.thread
            .shared
            .suspects
            .level(&head.service, head.kind, &self.call.body)
    }

    /// Runs the request alone at the target whose crash would affect the least work.
    ///
    /// Each entry runs one suspect at a time.
    pub(super) async fn attempt_alone(
        &mut self,
        snapshot: &EntrySnapshot,
    ) -> Result<(TargetRoute, RunOutcome), CallError> {
        let shared = std::sync::Arc::clone(&self.thread.shared);
        let waiting = shared.suspect_lock.lock();
        let guard = tokio::time::timeout_at(self.call.cutoff, waiting).await;
        let _guard = guard.map_err(|_elapsed| CallError::with_outcome(self.overall()))?;
        // Another run of the same request may have led to its refusal during the wait.
        if let SuspectLevel::Refused { .. } = self.suspect_level() {
            return Err(self.crash_error());
        }
        let route = self.choose_alone(snapshot)?;
        let outcome = self.attempt(&route, true).await;
        Ok((route, outcome))
    }

    /// Returns the error for a request that is refused because it crashes targets.
    pub(super) fn crash_error(&self) -> CallError {
        match self.overall() {
            None | Some(RunOutcome::NotRun(_)) => CallError::CrashesTargets,
            outcome => CallError::with_outcome(outcome),
        }
    }

    /// Merges the verdict on the request from the sidecar of a crashed target, and reports it if
    /// new.
    pub(super) fn merge_verdict(&self, verdict: Option<SuspectVerdict>) {
        let Some(verdict) = verdict else { return };
        if self.thread.shared.suspects.merge(&verdict) {
            self.report(TrafficReport::Suspected(verdict));
        }
    }

    /// Clears the request of suspicion after a complete answer.
    pub(super) fn clear_suspicion(&self) {
        let head = &self.call.head;
        let suspects = &self.thread.shared.suspects;
        if let Some(verdict) = suspects.clear(&head.service, head.kind, &self.call.body) {
            self.report(TrafficReport::Suspected(verdict));
        }
    }

    fn choose_alone(&self, snapshot: &EntrySnapshot) -> Result<TargetRoute, CallError> {
        let service = &self.call.head.service;
        let routes = snapshot
            .routes
            .services
            .get(service)
            .ok_or(CallError::UnknownService)?;
        let open: Vec<_> = routes
            .targets()
            .iter()
            .filter(|route| route.is_open())
            .collect();
        let candidates: Vec<_> = open.iter().map(|route| candidate(route)).collect();
        let chosen = choose_isolation(&candidates);
        let chosen = chosen.map_err(|_none| CallError::with_outcome(self.overall()))?;
        let route = open.into_iter().find(|route| route.target == chosen.target);
        route.cloned().ok_or(CallError::NoCapacity)
    }
}

fn candidate(route: &TargetRoute) -> IsolationCandidate {
    let stage = match route.stage {
        TargetStage::Warm => GateStage::Full,
        _ => GateStage::Cold,
    };
    IsolationCandidate {
        target: route.target.clone(),
        in_flight: route.load.map(|load| load.in_flight).unwrap_or_default(),
        stage,
    }
}
