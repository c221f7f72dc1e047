//! Attempts running at the target, which become suspects if it crashes.

use std::sync::{Mutex, MutexGuard, PoisonError};

use amaranthgw_core::{AttemptNumber, EntityTable, MilliSpan, RequestId, StartMark};
use amaranthgw_fleet::sidecar::ServedTarget;
use amaranthgw_fleet::suspects::{DeathId, RunningRow, TargetDeath};
use bytes::Bytes;
use tokio::time::Instant;

use crate::control::{SuspectTracker, call_fingerprint};
use crate::operator::unix_ms;

/// One attempt that was sent to the target.
#[derive(Clone, Debug)]
struct AttemptRow {
    body: Bytes,
    started_at: Instant,
}

type AttemptKey = (RequestId, AttemptNumber);

/// Table of the attempts running at the target.
#[derive(Debug, Default)]
pub(super) struct RunningAttempts {
    state: Mutex<RunningState>,
}

#[derive(Debug, Default)]
struct RunningState {
    rows: EntityTable<AttemptKey, AttemptRow>,
    last_death: Option<StartMark>,
}

impl RunningAttempts {
    /// Adds an attempt that is about to be sent to the target.
    pub(super) fn add(&self, request: &RequestId, attempt: AttemptNumber, body: &Bytes) {
        let row = AttemptRow {
            body: body.clone(),
            started_at: Instant::now(),
        };
        self.lock().rows.insert((request.clone(), attempt), row);
    }

    /// Removes an attempt that has ended.
    pub(super) fn remove(&self, request: &RequestId, attempt: AttemptNumber) {
        self.lock().rows.remove(&(request.clone(), attempt));
    }

    /// Records that the target process with start mark `mark` crashed, and the attempts that it ran.
    ///
    /// Further calls for the same process are ignored.
    pub(super) fn record_death(
        &self,
        served: &ServedTarget,
        mark: StartMark,
        suspects: &SuspectTracker,
    ) {
        let mut state = self.lock();
        if state.last_death.replace(mark) == Some(mark) {
            return;
        }
        let running: Vec<_> = state
            .rows
            .rows()
            .map(|row| running_row(served, row))
            .collect();
        let death = TargetDeath {
            id: DeathId {
                target: served.target.clone(),
                mark,
            },
            at_unix_ms: unix_ms(),
            // All requests of the target pass this sidecar.
            is_whole_view: true,
        };
        suspects.lock().record_death(&death, &running);
    }

    fn lock(&self) -> MutexGuard<'_, RunningState> {
        self.state.lock().unwrap_or_else(PoisonError::into_inner)
    }
}

fn running_row(served: &ServedTarget, row: &AttemptRow) -> RunningRow {
    RunningRow {
        fingerprint: call_fingerprint(&served.service, served.kind, &row.body),
        ran_for: MilliSpan::from_duration(row.started_at.elapsed()),
    }
}
