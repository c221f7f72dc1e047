//! Which parts are refused, derived from crashes.

use std::collections::{BTreeMap, BTreeSet};
use std::time::Duration;

use amaranthgw_core::{PartId, WorkspaceId};
use compact_str::CompactString;
use tokio::time::Instant;

use super::crash::CrashRow;
use super::policy::ConvictionPolicy;

/// Time from the last crash until refused parts are tried again; doubles with each further crash. A
/// crash costs a rank group seconds.
const BASE_TRIAL_DELAY: Duration = Duration::from_mins(1);
/// Time from a crash with several suspects until those that are asked for least are tried; a rank group
/// is back by then.
pub(super) const SHARED_TRIAL_DELAY: Duration = Duration::from_secs(5);
/// Suspects of a crash up to which all of them are refused until all but one have begun.
const MAX_SHARED: usize = 4;
/// Time within which crashes are one event.
const EVENT_TIME: Duration = Duration::from_secs(1);
/// Crashes of one event from which it is an outage.
const OUTAGE_CRASHES: usize = 4;
/// Doublings of that time at most.
const MAX_DOUBLINGS: u32 = 3;

/// Parts whose requests are refused.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct RefusedParts {
    /// Parts that a request must have, all of them, to be refused.
    pub parts: BTreeSet<PartId>,
    /// Workspace that the requests come from; `None` if they came from several.
    pub workspace: Option<WorkspaceId>,
    /// Crashes that the parts explain.
    pub crashes: u32,
    /// When one request with them is tried again.
    pub trial_at: Instant,
    /// When that may be sooner: once requests with one of the rivals are refused far more often. Parts
    /// that are harmless and often asked for would be in use.
    pub early_trial_at: Instant,
    /// Parts of the other suspects of the crash; empty if these parts are the only ones.
    pub rivals: BTreeSet<BTreeSet<PartId>>,
}

impl RefusedParts {
    /// Whether a request of `workspace` with the shared `parts` is refused.
    #[must_use]
    pub fn matches(&self, workspace: Option<&WorkspaceId>, parts: &[PartId]) -> bool {
        let is_workspace = self
            .workspace
            .as_ref()
            .is_none_or(|it| Some(it) == workspace);
        is_workspace && self.parts.iter().all(|part| parts.contains(part))
    }

    /// The parts as text, separated by commas.
    #[must_use]
    pub fn label(&self) -> CompactString {
        self.joined(",")
    }

    /// The parts as text for a key of the key-value service.
    #[must_use]
    pub fn key_label(&self) -> CompactString {
        self.joined("-")
    }

    fn joined(&self, separator: &str) -> CompactString {
        let parts: Vec<_> = self.parts.iter().map(PartId::to_string).collect();
        parts.join(separator).into()
    }
}

/// Convicts parts of prompts.
#[derive(Clone, Copy, Debug)]
pub(super) struct PartConviction;

impl ConvictionPolicy for PartConviction {
    fn convict(&self, crashes: &[CrashRow]) -> Vec<RefusedParts> {
        convict(crashes)
    }
}

/// Crashes within a short time of each other, which may have one cause.
#[derive(Clone, Debug, Default)]
pub(super) struct CrashEvent<'a> {
    pub(super) crashes: Vec<&'a CrashRow>,
}

impl CrashEvent<'_> {
    /// Whether so many targets crashed at once that the cause is probably not a request.
    pub(super) const fn is_outage(&self) -> bool {
        self.crashes.len() >= OUTAGE_CRASHES
    }

    /// Open parts that may be the cause, each with whether it was not in use before. In an outage, only
    /// those of half of the crashes.
    fn candidates(&self) -> BTreeMap<PartId, bool> {
        let mut seen: BTreeMap<PartId, (usize, bool)> = BTreeMap::new();
        for crash in &self.crashes {
            for part in crash.parts().difference(&crash.cleared) {
                let (crashes, is_new) = seen.entry(*part).or_default();
                *crashes += 1;
                *is_new |= !crash.trusted.contains(part);
            }
        }
        let least = if self.is_outage() {
            self.crashes.len().div_ceil(2)
        } else {
            1
        };
        seen.retain(|_, (crashes, _)| *crashes >= least);
        let seen = seen.into_iter();
        seen.map(|(part, (_, is_new))| (part, is_new)).collect()
    }
}

/// Groups `crashes` into events, in the order of time.
pub(super) fn events(crashes: &[CrashRow]) -> Vec<CrashEvent<'_>> {
    let mut sorted: Vec<_> = crashes.iter().collect();
    sorted.sort_by_key(|crash| crash.at);
    let mut events: Vec<CrashEvent<'_>> = Vec::new();
    for crash in sorted {
        let last = events.last_mut().filter(|event| {
            let first = event.crashes.first();
            first.is_some_and(|it| crash.at.saturating_duration_since(it.at) < EVENT_TIME)
        });
        match last {
            Some(event) => event.crashes.push(crash),
            None => events.push(CrashEvent {
                crashes: vec![crash],
            }),
        }
    }
    events
}

/// The parts that `crashes` convict, those of the last crash first.
///
/// A crash with a single suspect that has parts not in use before convicts these parts, together. If it
/// has a few of them, all are refused until one is left. Other crashes convict a part that suspects of
/// two events have, if no request with it began in between; one that suspects of three events have is
/// convicted in any case. An outage convicts parts not in use before that suspects of half of its crashes
/// have, and counts as an event for such parts alone.
fn convict(crashes: &[CrashRow]) -> Vec<RefusedParts> {
    let events = events(crashes);
    let single = || {
        let of_requests = events.iter().filter(|event| !event.is_outage());
        of_requests.flat_map(|event| event.crashes.iter().copied())
    };
    let mut guilty: BTreeSet<BTreeSet<PartId>> = single().filter_map(single_suspect).collect();
    for outage in events.iter().filter(|event| event.is_outage()) {
        let new = outage
            .candidates()
            .into_iter()
            .filter(|(_, is_new)| *is_new);
        guilty.extend(new.map(|(part, _)| BTreeSet::from([part])));
    }
    let explained = guilty.clone();
    let is_explained = |crash: &CrashRow| explained.iter().any(|it| crash.is_explained_by(it));
    let unexplained: Vec<_> = events
        .iter()
        .map(|event| {
            let crashes = event.crashes.iter().copied();
            CrashEvent {
                crashes: crashes.filter(|crash| !is_explained(crash)).collect(),
            }
        })
        .collect();
    guilty.extend(repeated_parts(&unexplained, 2));
    guilty.extend(repeated_parts(&events, 3));
    let convicted = guilty.iter().filter_map(|parts| verdict(parts, crashes));
    let mut verdicts: Vec<_> = convicted.collect();
    let is_explained = |crash: &CrashRow| guilty.iter().any(|it| crash.is_explained_by(it));
    let shared = single().filter(|crash| !is_explained(crash));
    verdicts.extend(shared.flat_map(shared_verdicts));
    verdicts.sort_by_key(|verdict| std::cmp::Reverse(verdict.trial_at));
    verdicts
}

/// The parts of the only suspect of `crash` that has any not in use before; `None` if there is no such
/// suspect or there are several that differ.
fn single_suspect(crash: &CrashRow) -> Option<BTreeSet<PartId>> {
    let mut open = open_suspects(crash).into_iter();
    let single = open.next()?;
    open.next().is_none().then_some(single)
}

/// The parts of each suspect that were not in use before the crash, unless there are none.
fn open_suspects(crash: &CrashRow) -> BTreeSet<BTreeSet<PartId>> {
    let suspects = crash.suspects.iter();
    let open = suspects.map(|suspect| crash.open_parts(suspect));
    open.filter(|parts| !parts.is_empty()).collect()
}

/// The verdicts on all suspects of a crash that has a few of them.
fn shared_verdicts(crash: &CrashRow) -> Vec<RefusedParts> {
    let open = open_suspects(crash);
    if open.len() > MAX_SHARED {
        return Vec::new();
    }
    let share = |parts: &BTreeSet<PartId>| {
        let mut shared = verdict(parts, std::slice::from_ref(crash))?;
        shared.early_trial_at = crash.at + SHARED_TRIAL_DELAY;
        shared.rivals = open.iter().filter(|it| *it != parts).cloned().collect();
        Some(shared)
    };
    open.iter().filter_map(share).collect()
}

/// Parts, each by itself, that are candidates of at least `count` of `events`; only those not in use
/// before the crashes if there are any.
fn repeated_parts(events: &[CrashEvent<'_>], count: usize) -> Vec<BTreeSet<PartId>> {
    let mut seen: BTreeMap<PartId, (usize, bool)> = BTreeMap::new();
    for (part, is_new) in events.iter().flat_map(CrashEvent::candidates) {
        let row = seen.entry(part).or_default();
        *row = (row.0 + 1, row.1 | is_new);
    }
    seen.retain(|_, (events, _)| *events >= count);
    let has_new = seen.values().any(|(_, is_new)| *is_new);
    let repeated = seen
        .into_iter()
        .filter(|(_, (_, is_new))| *is_new || !has_new);
    repeated.map(|(part, _)| [part].into()).collect()
}

/// The verdict on `parts`; `None` if no crash supports it.
pub(super) fn verdict(parts: &BTreeSet<PartId>, crashes: &[CrashRow]) -> Option<RefusedParts> {
    let supporting: Vec<_> = crashes
        .iter()
        .filter(|it| it.is_explained_by(parts))
        .collect();
    let last_at = supporting.iter().map(|crash| crash.at).max()?;
    let suspects = supporting.iter().flat_map(|crash| &crash.suspects);
    let workspaces: BTreeSet<_> = suspects
        .filter(|suspect| parts.is_subset(&suspect.parts))
        .map(|suspect| suspect.workspace.clone())
        .collect();
    let crashes = u32::try_from(supporting.len()).unwrap_or(u32::MAX);
    let doublings = crashes.min(MAX_DOUBLINGS + 1).saturating_sub(1);
    let mut workspaces = workspaces.into_iter();
    let first = workspaces.next().flatten();
    let trial_at = last_at + BASE_TRIAL_DELAY * (1 << doublings);
    Some(RefusedParts {
        parts: parts.clone(),
        workspace: first.filter(|_| workspaces.next().is_none()),
        crashes,
        trial_at,
        early_trial_at: trial_at,
        rivals: BTreeSet::new(),
    })
}
