//! Crashes of targets, and the requests that may have caused them.

use std::collections::BTreeSet;
use std::time::Duration;

use amaranthgw_core::{MilliSpan, PartId, TargetId, WorkspaceId};
use serde::{Deserialize, Serialize};
use tokio::time::Instant;

/// Time within which reports of a target's crash mean the same one: a target takes longer to start.
const SAME_CRASH_TIME: Duration = Duration::from_secs(2);
/// Suspects of one crash that are kept; a target has few requests that have not begun.
const MAX_SUSPECTS: usize = 16;
/// Suspects with a single part, as whole requests, that are kept: all that a target runs and has queued.
const MAX_SINGLE_SUSPECTS: usize = 48;
/// Parts of one suspect that are kept.
const MAX_PARTS: usize = 8;

/// A request that may have crashed a target.
#[derive(Clone, Debug, PartialEq, Eq, PartialOrd, Ord, Hash, Serialize, Deserialize)]
pub struct SuspectSet {
    /// Workspace of its caller.
    pub workspace: Option<WorkspaceId>,
    /// Shared parts of its prompt.
    pub parts: BTreeSet<PartId>,
}

impl SuspectSet {
    /// Creates the suspect with the first of `parts`.
    #[must_use]
    pub fn new(workspace: Option<WorkspaceId>, parts: &[PartId]) -> Self {
        Self {
            workspace,
            parts: parts.iter().copied().take(MAX_PARTS).collect(),
        }
    }
}

/// A crash as gateways tell each other and as it is stored.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct CrashReport {
    /// Target that crashed.
    pub target: TargetId,
    /// Time since the crash.
    pub age: MilliSpan,
    /// Requests that the target had accepted and not answered.
    pub suspects: Vec<SuspectSet>,
    /// Parts of suspects that the target had begun to answer.
    #[serde(default)]
    pub begun: BTreeSet<PartId>,
    /// Parts on which targets had begun to write shortly before the crash.
    #[serde(default)]
    pub trusted: BTreeSet<PartId>,
    /// Parts on which targets have begun to write since the crash.
    #[serde(default)]
    pub cleared: BTreeSet<PartId>,
}

/// A crash with what is known of its suspects. All sets only grow, so that gateways can merge them
/// in any order.
#[derive(Clone, Debug)]
pub(super) struct CrashRow {
    pub(super) target: TargetId,
    pub(super) at: Instant,
    pub(super) suspects: BTreeSet<SuspectSet>,
    pub(super) begun: BTreeSet<PartId>,
    pub(super) trusted: BTreeSet<PartId>,
    pub(super) cleared: BTreeSet<PartId>,
    /// Whether a request of this gateway is among the suspects.
    pub(super) is_own: bool,
}

impl CrashRow {
    /// Creates the row of a crash at `at`.
    pub(super) const fn new(target: TargetId, at: Instant) -> Self {
        Self {
            target,
            at,
            suspects: BTreeSet::new(),
            begun: BTreeSet::new(),
            trusted: BTreeSet::new(),
            cleared: BTreeSet::new(),
            is_own: false,
        }
    }

    /// Whether a report of a crash of `target` at `at` means this one.
    pub(super) fn is_same(&self, target: &TargetId, at: Instant) -> bool {
        let gap = at
            .saturating_duration_since(self.at)
            .max(self.at.saturating_duration_since(at));
        self.target == *target && gap < SAME_CRASH_TIME
    }

    /// Adds what `report` holds.
    pub(super) fn merge(&mut self, report: &CrashReport) {
        for suspect in &report.suspects {
            let most = if suspect.parts.len() > 1 {
                MAX_SUSPECTS
            } else {
                MAX_SINGLE_SUSPECTS
            };
            if self.suspects.len() < most && !suspect.parts.is_empty() {
                let parts: Vec<_> = suspect.parts.iter().copied().collect();
                let suspect = SuspectSet::new(suspect.workspace.clone(), &parts);
                self.suspects.insert(suspect);
            }
        }
        let known = self.parts();
        let of_suspects = |parts: &BTreeSet<PartId>| parts & &known;
        self.begun.append(&mut of_suspects(&report.begun));
        self.trusted.append(&mut of_suspects(&report.trusted));
        self.cleared.append(&mut of_suspects(&report.cleared));
    }

    /// All parts of its suspects.
    pub(super) fn parts(&self) -> BTreeSet<PartId> {
        let parts = self.suspects.iter().flat_map(|suspect| &suspect.parts);
        parts.copied().collect()
    }

    /// Parts of `suspect` that were not in use before the crash and were not cleared since.
    pub(super) fn open_parts(&self, suspect: &SuspectSet) -> BTreeSet<PartId> {
        &(&suspect.parts - &self.cleared) - &self.trusted
    }

    /// Whether a suspect has all of `parts`, none of which was cleared.
    pub(super) fn is_explained_by(&self, parts: &BTreeSet<PartId>) -> bool {
        let has_all = |suspect: &SuspectSet| parts.is_subset(&suspect.parts);
        self.cleared.is_disjoint(parts) && self.suspects.iter().any(has_all)
    }

    /// The report of the crash at `now`.
    pub(super) fn report(&self, now: Instant) -> CrashReport {
        CrashReport {
            target: self.target.clone(),
            age: MilliSpan::from_duration(now.saturating_duration_since(self.at)),
            suspects: self.suspects.iter().cloned().collect(),
            begun: self.begun.clone(),
            trusted: self.trusted.clone(),
            cleared: self.cleared.clone(),
        }
    }

    /// Size of its sets, which changes with each piece of news.
    pub(super) fn size(&self) -> usize {
        self.suspects.len() + self.begun.len() + self.trusted.len() + self.cleared.len()
    }
}
