//! State shared by the threads of a gateway.

use std::sync::atomic::{AtomicU32, Ordering};
use std::sync::{Arc, OnceLock};

use amaranthgw_core::{DomainId, TargetId};
use amaranthgw_fleet::gateway::{
    CallMarks, CallQuarantine, ChoicePolicy, DemandLedger, GatewaySnapshot, PartMemory, StopPlan,
};
use amaranthgw_net::ConnectionPool;
use arc_swap::ArcSwap;
use tokio::sync::{Notify, watch};
use tokio::time::Instant;

use crate::memory::MemoryBudget;
use crate::runtime::{StopPhase, StopSignal};
use crate::telemetry::EventLog;

/// State that the control thread publishes and traffic threads read.
#[derive(Debug)]
pub(super) struct GatewayShared {
    /// Current routes, targets and budgets.
    pub(super) snapshot: ArcSwap<GatewaySnapshot>,
    /// Wakes requests that wait for a newer snapshot.
    pub(super) published: Notify,
    /// Policy that chooses targets.
    pub(super) policy: Box<dyn ChoicePolicy>,
    /// Failure domain of the process.
    pub(super) domain: DomainId,
    /// Largest body of a plain answer, in bytes.
    pub(super) max_answer: usize,
    /// Memory for bodies of requests and answers.
    pub(super) memory: Arc<MemoryBudget>,
    /// Number of requests in flight.
    pub(super) in_flight: AtomicU32,
    /// Requests and parts of prompts that crash targets.
    pub(super) quarantine: CallQuarantine,
    /// Parts of prompts that targets hold.
    pub(super) parts: PartMemory,
    /// Demand of this gateway, and the room that it shares with others.
    pub(super) demand: Arc<DemandLedger>,
    /// Counts the changes of `quarantine`, to wake those who tell others of them.
    pub(super) quarantine_changes: watch::Sender<u64>,
    /// Stop signal, with the current phase of the process.
    pub(super) stop: StopSignal,
    /// Times of the stop, once it has begun.
    pub(super) stop_plan: OnceLock<StopPlan>,
}

impl GatewayShared {
    /// Records that `target` crashed at `at` with the request `marks` under way, which it may have begun to
    /// answer, and wakes those who tell others if that is news.
    pub(super) fn record_crash(
        &self,
        target: &TargetId,
        marks: &CallMarks<'_>,
        has_begun: bool,
        at: Instant,
    ) {
        let is_news = if has_begun {
            self.quarantine.record_crash_in_answer(target, marks, at)
        } else {
            self.quarantine.record_crash(target, marks, at)
        };
        if is_news {
            self.announce_quarantine();
        }
    }

    /// Wakes those who tell others of changes of the quarantine.
    pub(super) fn announce_quarantine(&self) {
        self.quarantine_changes.send_modify(|count| *count += 1);
    }

    /// Whether a request with `deadline` that is complete at `now` is taken.
    pub(super) fn takes(&self, deadline: Instant, now: Instant) -> bool {
        let plan = self.stop_plan.get();
        plan.is_none_or(|plan| plan.takes(deadline, now))
    }

    /// Whether the platform's balancer should send new connections.
    ///
    /// # Errors
    ///
    /// Returns the reason if it should not.
    pub(super) fn readiness(&self) -> Result<(), &'static str> {
        if self.stop.phase() > StopPhase::Serving {
            return Err("stopping");
        }
        if self.snapshot.load().is_ready {
            Ok(())
        } else {
            Err("configuration or targets not loaded yet")
        }
    }
}

/// State of one traffic thread.
#[derive(Debug)]
pub(super) struct GatewayThread {
    /// State shared with the other threads.
    pub(super) shared: Arc<GatewayShared>,
    /// Idle connections to targets.
    pub(super) pool: ConnectionPool,
    /// Event log of the thread.
    pub(super) log: EventLog,
}

/// Counts one request in flight until it is dropped.
#[derive(Debug)]
pub(super) struct CallGuard {
    shared: Arc<GatewayShared>,
}

impl CallGuard {
    /// Adds one to the requests in flight.
    pub(super) fn new(shared: &Arc<GatewayShared>) -> Self {
        shared.in_flight.fetch_add(1, Ordering::Relaxed);
        Self {
            shared: Arc::clone(shared),
        }
    }
}

impl Drop for CallGuard {
    fn drop(&mut self) {
        self.shared.in_flight.fetch_sub(1, Ordering::Relaxed);
    }
}

/// Targets that have run or may have run a request.
pub(super) type TriedTargets = Vec<TargetId>;
