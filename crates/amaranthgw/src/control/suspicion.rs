//! What a node knows of requests that may crash the targets that run them.

use std::sync::{Mutex, MutexGuard, PoisonError};

use amaranthgw_core::ServiceId;
use amaranthgw_fleet::claims::BodyFingerprint;
use amaranthgw_fleet::routing::ServiceKind;
use amaranthgw_fleet::suspects::{SuspectLevel, SuspectSettings, SuspectTable, SuspectVerdict};

use crate::operator::unix_ms;

/// The suspects that a node knows, shared by its threads.
#[derive(Debug)]
pub struct SuspectDesk {
    table: Mutex<SuspectTable>,
}

impl SuspectDesk {
    /// Creates the desk of a node that knows of none.
    #[must_use]
    pub fn new() -> Self {
        Self {
            table: Mutex::new(SuspectTable::new(SuspectSettings::default())),
        }
    }

    /// How a call may run.
    #[must_use]
    pub fn level(&self, service: &ServiceId, kind: ServiceKind, body: &[u8]) -> SuspectLevel {
        let table = self.lock();
        if table.rows().len() == 0 {
            return SuspectLevel::Clear;
        }
        table.level(&call_fingerprint(service, kind, body), unix_ms())
    }

    /// Takes in what another node knows; returns whether it was news.
    pub fn merge(&self, verdict: &SuspectVerdict) -> bool {
        self.lock().merge(verdict, unix_ms())
    }

    /// Clears a call that finished; returns what peers should know, if that was news.
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

    /// The table, to record a death in.
    pub fn lock(&self) -> MutexGuard<'_, SuspectTable> {
        self.table.lock().unwrap_or_else(PoisonError::into_inner)
    }
}

impl Default for SuspectDesk {
    fn default() -> Self {
        Self::new()
    }
}

/// Identifies what a call asks for.
#[must_use]
pub fn call_fingerprint(service: &ServiceId, kind: ServiceKind, body: &[u8]) -> BodyFingerprint {
    let name = match kind {
        ServiceKind::Model => "generate",
        ServiceKind::Plain => "call",
    };
    BodyFingerprint::new(service, name, body)
}
