//! What the threads of an entry share.

use std::sync::Arc;
use std::sync::atomic::{AtomicU32, Ordering};

use amaranthgw_core::ByteCount;
use amaranthgw_fleet::entry::{AnswerRecord, EntrySnapshot, TargetObservation};
use amaranthgw_fleet::retries::RetrySettings;
use amaranthgw_fleet::routing::RoutePolicy;
use amaranthgw_fleet::suspects::SuspectVerdict;
use arc_swap::ArcSwap;

use crate::control::{ClaimDesk, ReportSender, SuspectDesk};
use crate::link::TargetLink;
use crate::peer::WarningSink;
use crate::runtime::{StopPhase, StopSignal};
use crate::telemetry::EventLog;

/// Report of a traffic thread.
#[derive(Clone, Debug)]
pub(super) enum TrafficReport {
    /// Something was learned of a target.
    Observed(TargetObservation),
    /// An answer ended.
    Answered(AnswerRecord),
    /// Something is known of a request that may crash targets.
    Suspected(SuspectVerdict),
}

/// State of an entry that all its threads use.
#[derive(Debug)]
pub(super) struct EntryShared {
    /// What the control thread last published.
    pub(super) snapshot: ArcSwap<EntrySnapshot>,
    /// Chooses targets.
    pub(super) policy: Box<dyn RoutePolicy>,
    /// Limits and delays of retries.
    pub(super) retries: RetrySettings,
    /// Requests that may crash targets.
    pub(super) suspects: SuspectDesk,
    /// Lets one suspect run at a time.
    pub(super) suspect_turn: tokio::sync::Mutex<()>,
    /// Claims on idempotency keys.
    pub(super) claims: ClaimDesk,
    /// Way of reports to the control thread.
    pub(super) reports: ReportSender<TrafficReport>,
    /// Requests in flight over all threads.
    pub(super) in_flight: AtomicU32,
    /// Largest body of a request.
    pub(super) max_body: ByteCount,
    /// Phase of the process.
    pub(super) stop: StopSignal,
}

impl EntryShared {
    /// Whether the entry can serve, or why not.
    pub(super) fn readiness(&self) -> Result<(), &'static str> {
        if self.stop.phase() > StopPhase::Serving {
            return Err("leaving");
        }
        let snapshot = self.snapshot.load();
        if snapshot.config.workspaces.is_empty() {
            return Err("no configuration");
        }
        let mut services = snapshot.routes.services.rows();
        if !services.any(|routes| routes.subset().next().is_some()) {
            return Err("no target");
        }
        Ok(())
    }
}

impl WarningSink for EntryShared {
    fn warn(&self, verdict: &SuspectVerdict) {
        self.suspects.merge(verdict);
    }
}

/// What the requests of one traffic thread use.
#[derive(Debug)]
pub(super) struct TrafficThread {
    /// State of the entry.
    pub(super) shared: Arc<EntryShared>,
    /// Connections to sidecars.
    pub(super) link: Box<dyn TargetLink>,
    /// Where events go.
    pub(super) log: EventLog,
}

/// Counts one request in flight until it is dropped.
#[derive(Debug)]
pub(super) struct InFlightGuard {
    shared: Arc<EntryShared>,
}

impl InFlightGuard {
    /// Counts one more request.
    pub(super) fn new(shared: &Arc<EntryShared>) -> Self {
        shared.in_flight.fetch_add(1, Ordering::SeqCst);
        Self {
            shared: Arc::clone(shared),
        }
    }
}

impl Drop for InFlightGuard {
    fn drop(&mut self) {
        self.shared.in_flight.fetch_sub(1, Ordering::SeqCst);
    }
}
