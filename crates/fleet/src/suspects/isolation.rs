//! Isolated execution of a service's suspect requests.

use amaranthgw_core::{MilliSpan, SlotCount, TargetId};
use tokio::time::Instant;

use super::{Result, SuspectRefusal};
use crate::claims::BodyFingerprint;
use crate::gate::GateStage;

/// An open target that could run a suspect.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct IsolationCandidate {
    /// Identifier of the target.
    pub target: TargetId,
    /// Requests in flight at the target.
    pub in_flight: SlotCount,
    /// Slow-start stage of its gate.
    pub stage: GateStage,
}

/// Chooses the target whose crash has the least impact: the one with the fewest requests in flight,
/// then the one at the earliest slow-start stage.
///
/// # Errors
///
/// Returns [`SuspectRefusal::NoSpareTarget`] unless at least one other target is open.
pub fn choose_isolation(candidates: &[IsolationCandidate]) -> Result<&IsolationCandidate> {
    let impact = |candidate: &&IsolationCandidate| {
        (
            candidate.in_flight,
            candidate.stage,
            candidate.target.clone(),
        )
    };
    let chosen = candidates.iter().min_by_key(impact);
    let spare = chosen.filter(|_| candidates.len() > 1);
    spare.ok_or_else(|| SuspectRefusal::NoSpareTarget {
        only: chosen.map(|candidate| candidate.target.clone()),
    })
}

/// A suspect that is queued to run alone.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct QueuedSuspect {
    /// Fingerprint of the request.
    pub fingerprint: BodyFingerprint,
    /// How long it had been running when its target last died.
    pub ran_for: MilliSpan,
}

/// Ensures that the suspects of one service run one at a time.
///
/// Every sidecar has a row, but only the sidecar that holds the service's isolation lease starts
/// suspects, so at most one suspect of the service runs at a time.
#[derive(Clone, Debug, Default)]
pub struct IsolationRow {
    lease_until: Option<Instant>,
    running: Option<BodyFingerprint>,
}

impl IsolationRow {
    /// Creates the row of a sidecar that does not hold the lease.
    #[must_use]
    pub fn new() -> Self {
        Self::default()
    }

    /// Records that the isolation lease is held until `until` by the local clock.
    pub fn hold_lease(&mut self, until: Instant) {
        self.lease_until = Some(until);
    }

    /// Records that the lease was lost.
    pub fn lose_lease(&mut self) {
        self.lease_until = None;
    }

    /// The suspect that is running.
    #[must_use]
    pub fn running(&self) -> Option<BodyFingerprint> {
        self.running
    }

    /// Starts a suspect that will end by `latest_end`.
    ///
    /// # Errors
    ///
    /// Returns [`SuspectRefusal::NotIsolated`] unless the lease is held until then, and
    /// [`SuspectRefusal::OtherRunning`] while another suspect is running.
    pub fn start(
        &mut self,
        fingerprint: BodyFingerprint,
        latest_end: Instant,
        now: Instant,
    ) -> Result<()> {
        let is_held = |until: &Instant| latest_end <= *until && now < *until;
        if self
            .lease_until
            .as_ref()
            .is_none_or(|until| !is_held(until))
        {
            return Err(SuspectRefusal::NotIsolated);
        }
        if self.running.is_some() {
            return Err(SuspectRefusal::OtherRunning);
        }
        self.running = Some(fingerprint);
        Ok(())
    }

    /// Records that the running suspect finished or its target died.
    pub fn end(&mut self) {
        self.running = None;
    }

    /// Chooses the next suspect to run: the one that had run for the shortest time when its target
    /// died.
    #[must_use]
    pub fn next_suspect(queued: &[QueuedSuspect]) -> Option<&QueuedSuspect> {
        queued
            .iter()
            .min_by_key(|suspect| (suspect.ran_for, suspect.fingerprint))
    }
}
