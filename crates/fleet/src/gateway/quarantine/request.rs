//! Whole requests that crash targets: such a request comes again with the same caller, method, path
//! and body, whatever its prompt shares with others.

use std::collections::{BTreeMap, BTreeSet};
use std::hash::{DefaultHasher, Hash, Hasher};

use amaranthgw_core::{PartId, WorkspaceId};

use super::crash::CrashRow;
use super::policy::ConvictionPolicy;
use super::verdict::{CrashEvent, RefusedParts, SHARED_TRIAL_DELAY, events, verdict};

/// Crashes that convict a request that no target had begun to answer lately. A single crash convicts
/// none: targets also crash for other reasons, and sound requests are in flight there.
const NEW_REQUEST_CRASHES: usize = 2;
/// Crashes that convict a request that a target had answered shortly before, and one of several that targets
/// had begun to answer and that share all their crashes.
const KNOWN_REQUEST_CRASHES: usize = 3;

/// Mark of the request of `workspace` with `method`, `path`, which includes the query, and `body`.
///
/// Gateways have to agree on it, so the hash has no random key. A caller could at most have requests of its
/// own workspace refused with a collision.
#[must_use]
pub fn request_mark(
    workspace: Option<&WorkspaceId>,
    method: &str,
    path: &str,
    body: &[u8],
) -> PartId {
    let mut hasher = DefaultHasher::new();
    let workspace = workspace.map(WorkspaceId::as_str);
    (workspace, method, path, body).hash(&mut hasher);
    PartId::new(hasher.finish())
}

/// Convicts requests that were under way in several crashes without having been answered since.
#[derive(Clone, Copy, Debug)]
pub(super) struct RequestConviction;

/// The crashes in which a request was under way.
#[derive(Debug, Default)]
struct SuspectRow {
    /// Indices of the crashes, in the order of time.
    crashes: BTreeSet<usize>,
    /// Crashes that count as evidence.
    evidence: usize,
    /// Whether the request was answered shortly before one of them.
    is_known: bool,
    /// Crashes of targets that had begun to answer it.
    begun: usize,
}

impl SuspectRow {
    const fn is_guilty(&self) -> bool {
        let needed = if self.is_known {
            KNOWN_REQUEST_CRASHES
        } else {
            NEW_REQUEST_CRASHES
        };
        self.evidence >= needed
    }

    /// Whether the request may as well be one that the crashes cut: others share them all.
    fn is_ambiguous(&self, rivals: usize) -> bool {
        let has_begun = self.begun == self.crashes.len();
        rivals > 0 && has_begun && self.evidence < KNOWN_REQUEST_CRASHES
    }
}

impl ConvictionPolicy for RequestConviction {
    fn convict(&self, crashes: &[CrashRow]) -> Vec<RefusedParts> {
        let mut rows: BTreeMap<PartId, SuspectRow> = BTreeMap::new();
        let mut first = 0;
        for event in events(crashes) {
            add_event(&mut rows, &event, first);
            first += event.crashes.len();
        }
        rows.retain(|_, row| row.is_guilty());
        let convicted = rows.iter().filter_map(|(mark, row)| {
            let mut refused = verdict(&BTreeSet::from([*mark]), crashes)?;
            let is_rival =
                |it: &(&PartId, &SuspectRow)| it.0 != mark && row.crashes.is_subset(&it.1.crashes);
            let rivals = rows.iter().filter(is_rival);
            if row.is_ambiguous(rivals.clone().count()) {
                return None;
            }
            refused.rivals = rivals.map(|(mark, _)| BTreeSet::from([*mark])).collect();
            if !refused.rivals.is_empty() {
                // Only one of them need be the cause; the other is cleared by its trial.
                let last_at = crashes
                    .iter()
                    .filter(|it| it.is_explained_by(&refused.parts));
                let last_at = last_at.map(|crash| crash.at).max()?;
                refused.trial_at = last_at + SHARED_TRIAL_DELAY;
                refused.early_trial_at = refused.trial_at;
            }
            Some(refused)
        });
        convicted.collect()
    }
}

/// Adds the suspects of `event`, whose first crash has the index `first`. Of an outage, all crashes
/// count only for a request that was under way in half of them.
fn add_event(rows: &mut BTreeMap<PartId, SuspectRow>, event: &CrashEvent<'_>, first: usize) {
    let mut seen: BTreeMap<PartId, BTreeSet<usize>> = BTreeMap::new();
    for (index, crash) in event.crashes.iter().enumerate() {
        for mark in crash.parts().difference(&crash.cleared) {
            seen.entry(*mark).or_default().insert(first + index);
            let row = rows.entry(*mark).or_default();
            row.is_known |= crash.trusted.contains(mark);
            row.begun += usize::from(crash.begun.contains(mark));
        }
    }
    for (mark, crashes) in seen {
        let is_frequent = crashes.len() * 2 >= event.crashes.len();
        let row = rows.entry(mark).or_default();
        row.evidence += if event.is_outage() && !is_frequent {
            1
        } else {
            crashes.len()
        };
        row.crashes.extend(crashes);
    }
}
