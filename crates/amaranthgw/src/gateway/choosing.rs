//! Choice of the target of the next send.

use std::sync::Arc;

use amaranthgw_fleet::gateway::{
    CallWork, ChoiceInput, GatewaySnapshot, HeldParts, ServiceRow, TargetCandidate,
};
use tokio::time::Instant;

use super::basis::ChoiceBasis;
use super::refusal::CallRefusal;
use super::run::{CallRun, MAX_SENDS};
use crate::telemetry::record_choice;

impl CallRun {
    /// Chooses the next target and takes a retry from the budget, or returns the refusal.
    pub(super) fn next_target(
        &mut self,
    ) -> Result<(TargetCandidate, Arc<ChoiceBasis>), CallRefusal> {
        let now = Instant::now();
        let is_over = now >= self.call.deadline || self.sends >= MAX_SENDS;
        if is_over || (self.may_have_run && !self.may_run_again()) {
            return Err(self.final_refusal());
        }
        let snapshot = self.thread.shared.snapshot.load();
        let (target, next_admission) = self.choose(&snapshot, now);
        self.next_admission = next_admission;
        let target = target.ok_or_else(|| self.final_refusal())?;
        if !self.admit_send(&snapshot, now) {
            return Err(self.final_refusal());
        }
        self.record_sent(now);
        let work = self.choice_input(&snapshot, now).work;
        let basis = ChoiceBasis::new(&target, snapshot.gateway_count, now).with_work(&target, work);
        record_choice(basis.load_age, basis.expected_begin);
        Ok((target, Arc::new(basis)))
    }

    /// Whether all rank groups of the service have been closed for longer than the request has left, so
    /// that none can be expected to open in time.
    pub(super) fn is_service_closed(&self) -> bool {
        let now = Instant::now();
        let left = self.call.deadline.saturating_duration_since(now);
        let snapshot = self.thread.shared.snapshot.load();
        let closed_for = snapshot.closed_for(&self.call.service, now);
        closed_for.is_some_and(|time| time > left)
    }

    /// The chosen target, or the time at which one is known to admit the request.
    fn choose(
        &self,
        snapshot: &GatewaySnapshot,
        now: Instant,
    ) -> (Option<TargetCandidate>, Option<Instant>) {
        let Some(targets) = snapshot.targets.get(&self.call.service) else {
            return (None, None);
        };
        let input = self.choice_input(snapshot, now);
        match self.thread.shared.policy.choose(targets, &input) {
            Some(target) => (Some(target.clone()), None),
            None => (None, input.next_admission(targets)),
        }
    }

    pub(super) fn choice_input<'a>(
        &'a self,
        snapshot: &'a GatewaySnapshot,
        now: Instant,
    ) -> ChoiceInput<'a> {
        let service = snapshot.routes.services.get(&self.call.service);
        ChoiceInput {
            tried: &self.tried,
            domain: &self.thread.shared.domain,
            cold_share: service.and_then(|service| snapshot.cold_share(service.cold_rate)),
            work: service.and_then(|service| self.work(service, snapshot)),
            now,
        }
    }

    /// Expected work of the request at targets of `service`, if it publishes how fast they are.
    fn work<'a>(
        &'a self,
        service: &'a ServiceRow,
        snapshot: &GatewaySnapshot,
    ) -> Option<CallWork<'a>> {
        let engine = service.engine.as_ref()?;
        let admission = snapshot.admissions.get(&self.call.service);
        let is_congested = admission.is_some_and(|admission| admission.is_congested());
        let gateways = snapshot.gateway_count;
        let terms = &self.call.terms;
        Some(CallWork {
            engine,
            estimate: service.work_estimate(terms.prompt_tokens, terms.output_tokens)?,
            gateways,
            is_congested,
            parts: (!terms.sized_parts.is_empty()).then(|| HeldParts {
                memory: &self.thread.shared.parts,
                parts: &terms.sized_parts,
            }),
        })
    }
}
