//! State shared by the threads of an entry.

use std::sync::Arc;
use std::sync::atomic::{AtomicU32, Ordering};

use amaranthgw_core::ByteCount;
use amaranthgw_fleet::entry::{EntrySnapshot, OutcomeRecord, TargetObservation};
use amaranthgw_fleet::retries::RetrySettings;
use amaranthgw_fleet::routing::RoutePolicy;
use amaranthgw_fleet::suspects::SuspectVerdict;
use arc_swap::ArcSwap;

use crate::control::{ClaimManager, ReportSender, SuspectTracker};
use crate::link::TargetLink;
use crate::peer::WarningSink;
use crate::runtime::{StopPhase, StopSignal};
use crate::telemetry::EventLog;

/// Report of a traffic thread to the control thread.
#[derive(Clone, Debug)]
pub(super) enum TrafficReport {
    /// Status of a target, or a failure to reach it.
    Observed(TargetObservation),
    /// A request ended, with its outcome for the service level.
    Answered(OutcomeRecord),
    /// New evidence on a request that may crash targets.
    Suspected(SuspectVerdict),
}

/// State shared by the control thread and the traffic threads of an entry.
#[derive(Debug)]
pub(super) struct EntryShared {
    /// Snapshot last published by the control thread.
    pub(super) snapshot: ArcSwap<EntrySnapshot>,
    /// Policy that chooses targets.
    pub(super) policy: Box<dyn RoutePolicy>,
    /// Limits and delays of retries.
    pub(super) retries: RetrySettings,
    /// Requests that may crash targets.
    pub(super) suspects: SuspectTracker,
    /// Held during the attempt of a suspect, so that only one runs at a time.
    pub(super) suspect_lock: tokio::sync::Mutex<()>,
    /// Client of the claims on idempotency keys.
    pub(super) claims: ClaimManager,
    /// Channel to the control thread.
    pub(super) reports: ReportSender<TrafficReport>,
    /// Number of requests in flight over all threads.
    pub(super) in_flight: AtomicU32,
    /// Largest allowed request body.
    pub(super) max_body: ByteCount,
    /// Phase of the process in its shutdown.
    pub(super) stop: StopSignal,
}

impl EntryShared {
    /// Returns whether the entry can serve callers.
    ///
    /// # Errors
    ///
    /// Returns the reason why it can't, which is the body of the readiness probe's response.
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

/// Resources of one traffic thread, shared by its requests.
#[derive(Debug)]
pub(super) struct TrafficThread {
    /// State shared with the other threads.
    pub(super) shared: Arc<EntryShared>,
    /// Client of the sidecars, with its own connections.
    pub(super) link: Box<dyn TargetLink>,
    /// Event log of the thread.
    pub(super) log: EventLog,
}

/// Counts one request as in flight at this entry until it is dropped.
#[derive(Debug)]
pub(super) struct InFlightGuard {
    shared: Arc<EntryShared>,
}

impl InFlightGuard {
    /// Increments the count of requests in flight.
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
