//! Running the suspects of one service alone.

use amaranthgw_core::{MilliSpan, SlotCount, TargetId};
use tokio::time::Instant;

use super::{Result, SuspectRefusal};
use crate::claims::BodyFingerprint;
use crate::gate::GateStage;

/// An open target on which a suspect might run.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct IsolationCandidate {
    /// The target.
    pub target: TargetId,
    /// Requests it runs.
    pub in_flight: SlotCount,
    /// How far it has warmed up.
    pub stage: GateStage,
}

/// Chooses the target whose death harms least: the one with the least work, then the coldest.
///
/// # Errors
///
/// Returns [`SuspectRefusal::NoSpareTarget`] unless another open target would be left.
pub fn choose_isolation(candidates: &[IsolationCandidate]) -> Result<&IsolationCandidate> {
    let harm = |candidate: &&IsolationCandidate| {
        (
            candidate.in_flight,
            candidate.stage,
            candidate.target.clone(),
        )
    };
    let chosen = candidates.iter().min_by_key(harm);
    let spare = chosen.filter(|_| candidates.len() > 1);
    spare.ok_or_else(|| SuspectRefusal::NoSpareTarget {
        only: chosen.map(|candidate| candidate.target.clone()),
    })
}

/// A suspect that waits to run alone.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct SuspectWait {
    /// What the request asks for.
    pub fingerprint: BodyFingerprint,
    /// How long it had run when the last target died.
    pub ran_for: MilliSpan,
}

/// The turn of the suspects of one service.
///
/// The sidecar that holds the service's isolation lease keeps the row, so that at most one
/// suspect of the service runs at once.
#[derive(Clone, Debug, Default)]
pub struct IsolationRow {
    lease_until: Option<Instant>,
    running: Option<BodyFingerprint>,
}

impl IsolationRow {
    /// Creates the row of a sidecar without the lease.
    #[must_use]
    pub fn new() -> Self {
        Self::default()
    }

    /// Notes that the isolation lease is held until `until` by this process's clock.
    pub fn hold_lease(&mut self, until: Instant) {
        self.lease_until = Some(until);
    }

    /// Notes that the lease is lost.
    pub fn lose_lease(&mut self) {
        self.lease_until = None;
    }

    /// The suspect that runs now.
    #[must_use]
    pub fn running(&self) -> Option<BodyFingerprint> {
        self.running
    }

    /// Begins to run a suspect, which takes at most until `latest_end`.
    ///
    /// # Errors
    ///
    /// Returns [`SuspectRefusal::NotIsolated`] unless the lease lasts that long, and
    /// [`SuspectRefusal::OtherRunning`] while another suspect runs.
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

    /// Ends the run: the suspect finished, or the target died.
    pub fn end(&mut self) {
        self.running = None;
    }

    /// The waiting suspect to run next: the one that had run least when the target died.
    #[must_use]
    pub fn next_suspect(waiting: &[SuspectWait]) -> Option<&SuspectWait> {
        waiting
            .iter()
            .min_by_key(|wait| (wait.ran_for, wait.fingerprint))
    }
}
