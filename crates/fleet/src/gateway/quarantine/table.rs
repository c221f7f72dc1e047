//! The quarantine of one gateway, shared by its threads.

use std::collections::{BTreeMap, BTreeSet};
use std::hash::{DefaultHasher, Hash, Hasher};
use std::sync::{Mutex, MutexGuard, PoisonError};
use std::time::Duration;

use amaranthgw_core::{MilliSpan, PartId, TargetId, WorkspaceId};
use serde::{Deserialize, Serialize};
use tokio::time::Instant;

use super::begun::BegunTable;
use super::crash::{CrashReport, CrashRow, SuspectSet};
use super::policy::ConvictionPolicy;
use super::verdict::{PartConviction, RefusedParts};

/// Crashes that are kept.
const MAX_CRASHES: usize = 32;
/// Time for which a crash is kept; longer than the longest time until a trial.
const CRASH_MEMORY: Duration = Duration::from_mins(15);
/// Refused requests with a rival's parts from which the rival counts as likelier to crash targets.
const MIN_RIVAL_REFUSALS: u32 = 3;
/// Refused requests with a rival's parts for each with the own parts, from which the same holds.
const RIVAL_RATIO: u32 = 2;
/// Time before a crash in which a part counts as in use.
const TRUST_TIME: Duration = Duration::from_mins(1);

/// What a request with certain parts may do.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum PartVerdict {
    /// It may run.
    Allowed,
    /// It may run to find out whether its parts still crash targets.
    Trial,
    /// It must not run; the next trial is due after this time.
    Refused(Duration),
}

/// Digest of a quarantine's crashes: equal digests mean that two gateways know the same.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq, Serialize, Deserialize)]
#[serde(transparent)]
pub struct QuarantineDigest(u64);

/// What a gateway tells a peer of its quarantine.
#[derive(Clone, Debug, Default, PartialEq, Eq, Serialize, Deserialize)]
pub struct QuarantineNews {
    /// All crashes that it knows.
    pub crashes: Vec<CrashReport>,
}

/// A trial that this gateway may run.
#[derive(Debug)]
struct TrialRow {
    parts: BTreeSet<PartId>,
    open_until: Instant,
    is_taken: bool,
}

#[derive(Debug)]
struct QuarantineState {
    policy: Box<dyn ConvictionPolicy>,
    begun: BegunTable,
    crashes: Vec<CrashRow>,
    verdicts: Vec<RefusedParts>,
    trials: Vec<TrialRow>,
    /// Requests that this gateway has refused, by the parts that they were refused for.
    refusals: BTreeMap<BTreeSet<PartId>, u32>,
    /// Parts whose trial is due and of which a request was refused since.
    wanted: BTreeSet<BTreeSet<PartId>>,
}

/// Crashes, what they convict, and the parts on which targets have begun to write.
#[derive(Debug)]
pub struct PartQuarantine {
    state: Mutex<QuarantineState>,
}

impl PartQuarantine {
    /// Creates a quarantine of parts of prompts, without crashes.
    #[must_use]
    pub fn new(now: Instant) -> Self {
        Self::with_policy(now, Box::new(PartConviction))
    }

    /// Creates a quarantine without crashes whose verdicts `policy` derives.
    pub(super) fn with_policy(now: Instant, policy: Box<dyn ConvictionPolicy>) -> Self {
        let state = QuarantineState {
            policy,
            begun: BegunTable::new(now),
            crashes: Vec::new(),
            verdicts: Vec::new(),
            trials: Vec::new(),
            refusals: BTreeMap::new(),
            wanted: BTreeSet::new(),
        };
        Self {
            state: Mutex::new(state),
        }
    }

    /// Records that a target began to write on a request with the shared `parts`; returns whether
    /// that changes what is known of a crash.
    pub fn record_begun(&self, parts: &[PartId], now: Instant) -> bool {
        if parts.is_empty() {
            return false;
        }
        let mut state = self.lock();
        for part in parts {
            state.begun.record(*part, now);
        }
        let mut is_changed = false;
        for crash in state.crashes.iter_mut().filter(|crash| crash.at < now) {
            let known = crash.parts();
            for part in parts.iter().filter(|part| known.contains(part)) {
                is_changed |= crash.cleared.insert(*part);
            }
        }
        if is_changed {
            state.judge();
        }
        is_changed
    }

    /// Records that `target` crashed at `now`, after it had accepted a request of `workspace` with the
    /// shared `parts` and before it began to answer it; returns whether that is news.
    pub fn record_crash(
        &self,
        target: &TargetId,
        workspace: Option<&WorkspaceId>,
        parts: &[PartId],
        now: Instant,
    ) -> bool {
        self.record_suspect(
            target,
            SuspectSet::new(workspace.cloned(), parts),
            false,
            now,
        )
    }

    /// Records that `target` crashed at `now` before it had answered `suspect`; it may have begun to. Returns
    /// whether that is news.
    pub(super) fn record_suspect(
        &self,
        target: &TargetId,
        suspect: SuspectSet,
        has_begun: bool,
        now: Instant,
    ) -> bool {
        let begun = if has_begun {
            suspect.parts.clone()
        } else {
            BTreeSet::new()
        };
        let report = CrashReport {
            target: target.clone(),
            age: MilliSpan::default(),
            suspects: vec![suspect],
            begun,
            trusted: BTreeSet::new(),
            cleared: BTreeSet::new(),
        };
        let mut state = self.lock();
        let is_changed = state.merge(&report, now);
        for crash in state
            .crashes
            .iter_mut()
            .filter(|it| it.is_same(target, now))
        {
            crash.is_own = true;
        }
        state.judge();
        is_changed
    }

    /// Merges what a peer told or the key-value service held; returns whether that is news.
    pub fn adopt(&self, news: &QuarantineNews, now: Instant) -> bool {
        let mut state = self.lock();
        let mut is_changed = false;
        for report in &news.crashes {
            is_changed |= state.merge(report, now);
        }
        if is_changed {
            state.judge();
        }
        is_changed
    }

    /// Whether a request of `workspace` with the shared `parts` may run at `now`. A trial is granted
    /// to one request.
    pub fn check(
        &self,
        workspace: Option<&WorkspaceId>,
        parts: &[PartId],
        now: Instant,
    ) -> PartVerdict {
        if parts.is_empty() {
            return PartVerdict::Allowed;
        }
        let mut state = self.lock();
        let matching = |verdict: &&RefusedParts| verdict.matches(workspace, parts);
        let Some(verdict) = state.verdicts.iter().find(matching).cloned() else {
            return PartVerdict::Allowed;
        };
        *state.refusals.entry(verdict.parts.clone()).or_default() += 1;
        let trial_at = state.trial_at(&verdict);
        if trial_at > now {
            return PartVerdict::Refused(trial_at.saturating_duration_since(now));
        }
        let trial = state
            .trials
            .iter_mut()
            .find(|trial| trial.parts == verdict.parts && trial.open_until > now);
        if let Some(trial) = trial
            && !std::mem::replace(&mut trial.is_taken, true)
        {
            return PartVerdict::Trial;
        }
        state.wanted.insert(verdict.parts);
        PartVerdict::Refused(Duration::ZERO)
    }

    /// Whether a request of `workspace` with the shared `parts` that is under way is refused by now.
    pub fn is_refused(&self, workspace: Option<&WorkspaceId>, parts: &[PartId]) -> bool {
        let state = self.lock();
        let mut verdicts = state.verdicts.iter();
        !parts.is_empty() && verdicts.any(|verdict| verdict.matches(workspace, parts))
    }

    /// Whether a crash is known that a request with `part` may have caused.
    pub(super) fn is_suspected(&self, part: PartId) -> bool {
        let part = BTreeSet::from([part]);
        let state = self.lock();
        state.crashes.iter().any(|it| it.is_explained_by(&part))
    }

    /// Whether targets have begun to write on all of `parts` lately, so that a request with them is
    /// not likely to have crashed one.
    pub fn are_in_use(&self, parts: &[PartId], now: Instant) -> bool {
        let state = self.lock();
        let is_recent = |at: Instant| now.saturating_duration_since(at) < TRUST_TIME;
        parts
            .iter()
            .all(|part| state.begun.last(*part).is_some_and(is_recent))
    }

    /// The parts that are refused.
    #[must_use]
    pub fn verdicts(&self) -> Vec<RefusedParts> {
        self.lock().verdicts.clone()
    }

    /// Parts whose trial is due, and wanted by a request, without one of this gateway being open.
    #[must_use]
    pub fn due_trials(&self, now: Instant) -> Vec<RefusedParts> {
        let mut state = self.lock();
        state.trials.retain(|trial| trial.open_until > now);
        let wanted = std::mem::take(&mut state.wanted);
        let is_due = |verdict: &&RefusedParts| {
            let is_open = state.trials.iter().any(|it| it.parts == verdict.parts);
            state.trial_at(verdict) <= now && wanted.contains(&verdict.parts) && !is_open
        };
        state.verdicts.iter().filter(is_due).cloned().collect()
    }

    /// Lets this gateway run one request with `parts` until `open_until`.
    pub fn open_trial(&self, parts: BTreeSet<PartId>, open_until: Instant) {
        self.lock().trials.push(TrialRow {
            parts,
            open_until,
            is_taken: false,
        });
    }

    /// The crashes that support the verdict on `parts`, reduced to them, for the key-value service;
    /// none if only other gateways saw them.
    #[must_use]
    pub fn own_evidence(&self, parts: &BTreeSet<PartId>, now: Instant) -> QuarantineNews {
        let state = self.lock();
        let is_supporting = |it: &&CrashRow| it.is_own && it.is_explained_by(parts);
        let supporting = state.crashes.iter().filter(is_supporting);
        let reduced = supporting.map(|crash| {
            let mut report = crash.report(now);
            report.suspects.retain(|it| parts.is_subset(&it.parts));
            report
        });
        QuarantineNews {
            crashes: reduced.collect(),
        }
    }

    /// Digest of what is known.
    #[must_use]
    pub fn digest(&self) -> QuarantineDigest {
        self.lock().digest()
    }

    /// All crashes for a peer with the digest `known`; `None` if it knows the same.
    #[must_use]
    pub fn news_for(&self, known: QuarantineDigest, now: Instant) -> Option<QuarantineNews> {
        let state = self.lock();
        if state.digest() == known {
            return None;
        }
        let crashes = state.crashes.iter().map(|crash| crash.report(now));
        Some(QuarantineNews {
            crashes: crashes.collect(),
        })
    }

    /// Forgets crashes that are too old.
    pub fn prune(&self, now: Instant) {
        let mut state = self.lock();
        let before = state.crashes.len();
        let is_recent = |crash: &CrashRow| now.saturating_duration_since(crash.at) < CRASH_MEMORY;
        state.crashes.retain(is_recent);
        if state.crashes.len() != before {
            state.judge();
        }
    }

    fn lock(&self) -> MutexGuard<'_, QuarantineState> {
        self.state.lock().unwrap_or_else(PoisonError::into_inner)
    }
}

impl QuarantineState {
    /// Adds `report` and what this gateway knows of its parts; returns whether that is news.
    fn merge(&mut self, report: &CrashReport, now: Instant) -> bool {
        let age = report.age.duration();
        if age >= CRASH_MEMORY || report.suspects.iter().all(|it| it.parts.is_empty()) {
            return false;
        }
        let at = now.checked_sub(age).unwrap_or(now);
        let known = self
            .crashes
            .iter()
            .position(|it| it.is_same(&report.target, at));
        let index = known.unwrap_or_else(|| {
            self.make_room();
            self.crashes.push(CrashRow::new(report.target.clone(), at));
            self.crashes.len() - 1
        });
        let crash = &mut self.crashes[index];
        let before = crash.size();
        crash.merge(report);
        for part in crash.parts() {
            let Some(begun_at) = self.begun.last(part) else {
                continue;
            };
            if begun_at > crash.at {
                crash.cleared.insert(part);
            } else if crash.at.saturating_duration_since(begun_at) < TRUST_TIME {
                crash.trusted.insert(part);
            }
        }
        crash.size() != before
    }

    /// Drops a crash if there are too many: the oldest one that supports no verdict, else the oldest.
    fn make_room(&mut self) {
        if self.crashes.len() < MAX_CRASHES {
            return;
        }
        let verdicts = &self.verdicts;
        let supports = |crash: &CrashRow| {
            let mut parts = verdicts.iter().map(|verdict| &verdict.parts);
            parts.any(|parts| crash.is_explained_by(parts))
        };
        let oldest = (0..self.crashes.len())
            .min_by_key(|index| (supports(&self.crashes[*index]), self.crashes[*index].at));
        if let Some(oldest) = oldest {
            self.crashes.swap_remove(oldest);
        }
    }

    /// Derives the verdicts anew.
    fn judge(&mut self) {
        self.verdicts = self.policy.convict(&self.crashes);
        let verdicts = &self.verdicts;
        let is_refused = |parts: &BTreeSet<PartId>| verdicts.iter().any(|it| it.parts == *parts);
        self.refusals.retain(|parts, _| is_refused(parts));
    }

    /// When a request with the parts of `verdict` is tried again.
    fn trial_at(&self, verdict: &RefusedParts) -> Instant {
        let refusals = |parts| self.refusals.get(parts).copied().unwrap_or_default();
        let of_rivals = verdict
            .rivals
            .iter()
            .map(refusals)
            .max()
            .unwrap_or_default();
        let is_rival_likelier = of_rivals >= MIN_RIVAL_REFUSALS
            && of_rivals > refusals(&verdict.parts).saturating_mul(RIVAL_RATIO);
        if is_rival_likelier {
            verdict.early_trial_at
        } else {
            verdict.trial_at
        }
    }

    fn digest(&self) -> QuarantineDigest {
        let digests = self.crashes.iter().map(|crash| {
            let mut hasher = DefaultHasher::new();
            let content = (
                &crash.target,
                &crash.suspects,
                &crash.begun,
                &crash.trusted,
                &crash.cleared,
            );
            content.hash(&mut hasher);
            hasher.finish()
        });
        QuarantineDigest(digests.fold(0, u64::wrapping_add))
    }
}
