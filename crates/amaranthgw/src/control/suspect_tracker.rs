//! Table of the suspect requests known to a node: requests that may crash their targets.

use std::sync::{Mutex, MutexGuard, PoisonError};

use amaranthgw_core::ServiceId;
use amaranthgw_fleet::claims::BodyFingerprint;
use amaranthgw_fleet::routing::ServiceKind;
use amaranthgw_fleet::suspects::{SuspectLevel, SuspectSettings, SuspectTable, SuspectVerdict};

use crate::operator::unix_ms;

/// Table of the suspect requests known to a node, shared by its threads.
#[derive(Debug)]
pub struct SuspectTracker {
    table: Mutex<SuspectTable>,
}

impl SuspectTracker {
    /// Creates a tracker without suspects.
    #[must_use]
    pub fn new() -> Self {
        Self {
            table: Mutex::new(SuspectTable::new(SuspectSettings::default())),
        }
    }

    /// Returns how a call may run: normally, only alone at a target, or not at all.
    #[must_use]
    pub fn level(&self, service: &ServiceId, kind: ServiceKind, body: &[u8]) -> SuspectLevel {
        let table = self.lock();
        if table.rows().len() == 0 {
            return SuspectLevel::Clear;
        }
        table.level(&call_fingerprint(service, kind, body), unix_ms())
    }

    /// Merges the verdict of another node; returns whether it changed the table.
    pub fn merge(&self, verdict: &SuspectVerdict) -> bool {
        self.lock().merge(verdict, unix_ms())
    }

    /// Clears a call that finished; returns the verdict to send to peers if it changed.
    #[must_use]
    pub fn clear(
        &self,
        service: &ServiceId,
        kind: ServiceKind,
        body: &[u8],
    ) -> Option<SuspectVerdict> {
        let mut table = self.lock();
        if table.rows().len() == 0 {
            return None;
        }
        table.record_finish(call_fingerprint(service, kind, body))
    }

    /// Locks the table, for instance to record the crash of a target.
    pub fn lock(&self) -> MutexGuard<'_, SuspectTable> {
        self.table.lock().unwrap_or_else(PoisonError::into_inner)
    }
}

impl Default for SuspectTracker {
    fn default() -> Self {
        Self::new()
    }
}

/// Returns the fingerprint that identifies equal calls: the same service, kind and body.
#[must_use]
pub fn call_fingerprint(service: &ServiceId, kind: ServiceKind, body: &[u8]) -> BodyFingerprint {
    let name = match kind {
        ServiceKind::Model => "generate",
        ServiceKind::Plain => "call",
    };
    BodyFingerprint::new(service, name, body)
}
