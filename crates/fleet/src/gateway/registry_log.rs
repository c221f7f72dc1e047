//! Recent changes of the registry, which gateways tell each other.
//!
//! A gateway tells no more than what it acts on: once a peer that knew the registry as of
//! [`RegistryNews::after`] has applied the changes, it uses no target that the registry no longer had as of
//! [`RegistryNews::as_of`]. A peer relies on that and doesn't read the registry itself. The changes alone don't
//! hold it: they are found by comparing listings, so that a target that came and went between two of them is
//! in none. A peer therefore relies on news only if it ends up with the same targets, by
//! [`RegistryNews::digest`].

use std::collections::VecDeque;
use std::hash::{DefaultHasher, Hash, Hasher};
use std::time::Duration;

use amaranthgw_core::{MilliSpan, StoreRevision, TargetId};
use serde::{Deserialize, Serialize};

use super::{HeartbeatMark, TargetRecord};

/// Most changes that are kept: more than targets leave within a few gossip rounds.
const MAX_CHANGES: usize = 256;
/// Changes after which a reply to a peer ends, about 16 KB.
const MAX_NEWS: usize = 64;

/// Change of one target's registration, ordered by its revision.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct RegistryChange {
    /// The target.
    pub target: TargetId,
    /// Store revision at which the change was in effect.
    pub revision: StoreRevision,
    /// Its new entry; `None` if the target is gone.
    pub record: Option<TargetRecord>,
}

/// A target that said in an answer that it is leaving, which holds until it starts again.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct LeavingNotice {
    /// The target.
    pub target: TargetId,
    /// Its last known heartbeat.
    pub heartbeat: HeartbeatMark,
}

/// What is known of a target whose registry entry tells of the past.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct OutdatedNotice {
    /// The target.
    pub target: TargetId,
    /// Its last known heartbeat.
    pub heartbeat: HeartbeatMark,
    /// Its state as of that heartbeat; `None` if it is gone since.
    pub record: Option<TargetRecord>,
}

/// Digest of the names of all targets of the registry.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq, Serialize, Deserialize)]
#[serde(transparent)]
pub struct RegistryDigest(u64);

impl<'a> FromIterator<&'a TargetId> for RegistryDigest {
    fn from_iter<T: IntoIterator<Item = &'a TargetId>>(iter: T) -> Self {
        let digests = iter.into_iter().map(|target| {
            let mut hasher = DefaultHasher::new();
            target.hash(&mut hasher);
            hasher.finish()
        });
        Self(digests.fold(0, u64::wrapping_add))
    }
}

/// What a gateway tells a peer about the registry.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct RegistryNews {
    /// Revision after which `changes` holds every change up to `as_of`.
    pub after: StoreRevision,
    /// Revision up to which the changes are known.
    pub as_of: StoreRevision,
    /// Time since the registry was known to have that revision; `None` if it has a later one.
    pub age: Option<MilliSpan>,
    /// The changes, oldest first, and later ones as far as they are known.
    pub changes: Vec<RegistryChange>,
    /// Digest of all targets as of `as_of`; `None` if the changes end earlier.
    #[serde(default)]
    pub digest: Option<RegistryDigest>,
    /// Targets that have lately said that they are leaving, whatever their registration.
    #[serde(default)]
    pub leavers: Vec<LeavingNotice>,
    /// Targets whose registry entries tell of the past.
    #[serde(default, skip_serializing_if = "Vec::is_empty")]
    pub outdated: Vec<OutdatedNotice>,
}

/// The most recent changes of the registry, oldest first.
#[derive(Clone, Debug, Default)]
pub struct RegistryLog {
    /// Revision after which no change is left out.
    complete_after: StoreRevision,
    changes: VecDeque<RegistryChange>,
    leavers: Vec<LeavingNotice>,
    outdated: Vec<OutdatedNotice>,
    /// Digest of all targets in force.
    digest: RegistryDigest,
}

impl RegistryLog {
    /// Creates a log of the changes after `revision`.
    #[must_use]
    pub fn new(revision: StoreRevision) -> Self {
        Self {
            complete_after: revision,
            changes: VecDeque::new(),
            leavers: Vec::new(),
            outdated: Vec::new(),
            digest: RegistryDigest::default(),
        }
    }

    /// Digest of all targets that were in force when it was last set.
    pub(super) const fn digest(&self) -> RegistryDigest {
        self.digest
    }

    /// Sets the digest of all targets in force.
    pub(super) fn set_digest(&mut self, digest: RegistryDigest) {
        self.digest = digest;
    }

    /// Targets that have lately said that they are leaving.
    pub(super) fn leavers(&self) -> &[LeavingNotice] {
        &self.leavers
    }

    /// Sets the targets that have lately said that they are leaving.
    pub(super) fn set_leavers(&mut self, leavers: Vec<LeavingNotice>) {
        self.leavers = leavers;
    }

    /// Targets whose entries in the last listing tell of the past.
    pub(super) fn outdated(&self) -> &[OutdatedNotice] {
        &self.outdated
    }

    /// Sets the targets whose entries in the last listing tell of the past.
    pub(super) fn set_outdated(&mut self, outdated: Vec<OutdatedNotice>) {
        self.outdated = outdated;
    }

    /// Adds `change` in place of an earlier one of its target; drops the oldest change beyond
    /// `MAX_CHANGES`.
    pub fn push(&mut self, change: RegistryChange) {
        self.changes.retain(|it| it.target != change.target);
        let at = self
            .changes
            .partition_point(|it| it.revision <= change.revision);
        self.changes.insert(at, change);
        if self.changes.len() > MAX_CHANGES
            && let Some(oldest) = self.changes.pop_front()
        {
            self.complete_after = self.complete_after.max(oldest.revision);
        }
    }

    /// Revision at which `target` was gone, if its last change says so.
    #[must_use]
    pub fn gone_at(&self, target: &TargetId) -> Option<StoreRevision> {
        let last = self.changes.iter().find(|it| it.target == *target)?;
        last.record.is_none().then_some(last.revision)
    }

    /// News for a peer that knows the registry up to `known`, from a gateway that knew it up to
    /// `as_of` the time `age` ago. A long list ends after `MAX_NEWS` changes, and the rest follows
    /// with the next query.
    #[must_use]
    pub fn news_after(
        &self,
        known: StoreRevision,
        as_of: StoreRevision,
        age: Duration,
    ) -> RegistryNews {
        let newer = || self.changes.iter().filter(|it| it.revision > known);
        // Changes of one revision stay together, as the peer asks for what comes after it.
        let last = newer().nth(MAX_NEWS - 1).map(|last| last.revision);
        let up_to = last.map_or(as_of, |last| as_of.min(last));
        let changes = newer().take_while(|it| last.is_none_or(|last| it.revision <= last));
        let changes = changes.cloned().collect();
        RegistryNews {
            after: self.complete_after.max(known),
            as_of: up_to,
            age: (up_to == as_of).then(|| MilliSpan::from_duration(age)),
            changes,
            digest: (up_to == as_of).then_some(self.digest),
            leavers: self.leavers.clone(),
            outdated: self.outdated.clone(),
        }
    }
}
