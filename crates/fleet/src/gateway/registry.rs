//! What a gateway knows of the registered targets, from its own listings and from its peers.

use std::collections::HashMap;
use std::net::SocketAddr;
use std::sync::Arc;
use std::time::Duration;

use amaranthgw_core::{MilliSpan, StoreRevision, TargetId};
use tokio::time::Instant;

use super::{
    GatewayWorld, GroupGauge, LeavingMark, LeavingNotice, OutdatedNotice, RegistryChange,
    RegistryDigest, RegistryLog, RegistryNews, TargetGauge, TargetRecord,
};

/// Shortest time without knowledge of the registry in which entries of live targets can expire: an
/// entry expires after three heartbeat intervals of 1.2 s, the first of which may have passed before.
const EXPIRY_GAP: Duration = Duration::from_millis(2_400);

/// A registry entry with the revision that orders its last write.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct RegistryEntry {
    /// Content of the entry.
    pub record: TargetRecord,
    /// Store revision of its last write.
    pub written: StoreRevision,
}

/// A complete read of the registry.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct RegistryListing {
    /// All decoded entries.
    pub entries: Vec<RegistryEntry>,
    /// Store revision of the read.
    pub as_of: StoreRevision,
    /// When the read began.
    pub asked_at: Instant,
}

/// A target of the registry, with its local state.
#[derive(Clone, Debug)]
pub struct TargetRow {
    /// Content of its registry entry.
    pub record: TargetRecord,
    /// Store revision of that content.
    pub written: StoreRevision,
    /// When an entry of the target's present start was first read.
    pub start_seen_at: Instant,
    /// Load and health as seen by this process; shared with traffic threads.
    pub gauge: Arc<TargetGauge>,
    /// End of its slow start, until which it is cold, according to its registry entry.
    pub cold_until: Instant,
    /// End of the time in which it may be cold although its entry doesn't say so yet.
    pub maybe_cold_until: Instant,
    /// When the row is removed unless its entry returns; `None` while the registry lists it.
    pub missing_until: Option<Instant>,
    /// Its rank group; `None` if it has none or the agent of its rank has not reported it.
    pub group: Option<Arc<GroupGauge>>,
    /// Set once the target said in an answer that it is leaving.
    pub leaving: Option<LeavingMark>,
}

impl TargetRow {
    /// Creates the row of a target first seen at `now`, as not cold.
    fn new(entry: &RegistryEntry, now: Instant) -> Self {
        Self {
            record: entry.record.clone(),
            written: entry.written,
            start_seen_at: now,
            gauge: Arc::new(TargetGauge::new(now)),
            cold_until: now,
            maybe_cold_until: now,
            missing_until: None,
            group: None,
            leaving: None,
        }
    }
}

/// A change of a target's registration.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum TargetTransition {
    /// Listed for the first time, or again after its removal.
    Seen(TargetRecord),
    /// It began to drain and accepts no new requests.
    Draining(TargetId),
    /// It said in an answer that it is leaving.
    Leaving(TargetId),
    /// Its entry was overwritten by an older heartbeat, which is ignored.
    Outdated(TargetId),
    /// It entered its slow start, in which it is cold.
    Cold(TargetId),
    /// Not listed any more, but kept as its entry may have expired in an outage of the registry.
    Missing(TargetId),
    /// Listed again after it was missing.
    Returned(TargetId),
    /// Removed: its entry is gone or another target has its address.
    Gone(TargetId),
}

/// A revision up to which all changes of the registry are known, and when it was last known to be the current
/// one.
#[derive(Clone, Copy, Debug)]
struct KnownRevision {
    as_of: StoreRevision,
    known_at: Instant,
}

/// How far and since when the registry is known.
#[derive(Debug, Default)]
pub(super) struct RegistryView {
    /// Revision up to which all changes are known.
    as_of: StoreRevision,
    /// When that was last known to be the current revision; `None` before the first listing.
    known_at: Option<Instant>,
    /// The same when all that was known was last in force; later unless entries are missing. Peers are told
    /// of no more, as they would take a missing entry for one that is still there.
    in_force: Option<KnownRevision>,
    /// Whether the last call failed.
    is_failing: bool,
    /// Time until which entries that expired in the last outage may return.
    returns_until: Option<Instant>,
    log: Arc<RegistryLog>,
}

impl RegistryView {
    /// Records that the registry was current at `known_at`. After an outage in which entries may
    /// have expired, they may return for `return_time`.
    fn record_known(&mut self, known_at: Instant, return_time: Duration) {
        let gap = self
            .known_at
            .map(|before| known_at.saturating_duration_since(before));
        if self.is_failing && gap.is_some_and(|gap| gap >= EXPIRY_GAP) {
            self.returns_until = Some(known_at + return_time);
        }
        self.known_at = self.known_at.max(Some(known_at));
    }

    fn is_current(&self, now: Instant) -> bool {
        let known_at = self.known_at;
        known_at.is_some_and(|at| now.saturating_duration_since(at) < EXPIRY_GAP)
    }
}

impl GatewayWorld {
    /// Records that the registry could not be read.
    pub fn record_registry_failure(&mut self) {
        self.registry.is_failing = true;
    }

    /// Revision after which a peer is asked for changes.
    #[must_use]
    pub fn registry_asked_after(&self) -> StoreRevision {
        if self.has_missing() {
            // A peer that wasn't cut off knows which entries are gone.
            self.registry_as_of()
        } else {
            self.registry.as_of
        }
    }

    /// Revision up to which all changes of the registry are in force, as told to peers.
    #[must_use]
    pub fn registry_as_of(&self) -> StoreRevision {
        let in_force = self.registry.in_force;
        in_force.map_or_else(StoreRevision::default, |known| known.as_of)
    }

    /// Changes for peers, and when the registry was last known to be as of [`Self::registry_as_of`]; `None`
    /// before the first listing.
    #[must_use]
    pub fn registry_log(&self) -> Option<(Arc<RegistryLog>, Instant)> {
        let in_force = self.registry.in_force?;
        Some((Arc::clone(&self.registry.log), in_force.known_at))
    }

    /// Whether entries are missing that may return.
    fn has_missing(&self) -> bool {
        self.targets.rows().any(|row| row.missing_until.is_some())
    }

    /// Digest of all targets.
    fn digest(&self) -> RegistryDigest {
        self.targets.ids().collect()
    }

    /// Records that all that is known of the registry is in force, unless entries are missing.
    fn note_in_force(&mut self) {
        if self.has_missing() {
            return;
        }
        let as_of = self.registry.as_of;
        let known_at = self.registry.known_at;
        self.registry.in_force = known_at.map(|known_at| KnownRevision { as_of, known_at });
        let digest = self.digest();
        if self.registry.log.digest() != digest {
            self.registry_log_mut().set_digest(digest);
        }
    }

    /// Applies a listing that arrived at `now`, except what is older than what is known; returns the
    /// target transitions.
    pub fn adopt_registry(
        &mut self,
        listing: RegistryListing,
        now: Instant,
    ) -> Vec<TargetTransition> {
        let as_of = listing.as_of;
        self.registry
            .record_known(listing.asked_at, self.bounds.return_time);
        self.registry.is_failing = false;
        if self.is_registry_known && as_of.era() > self.registry.as_of.era() {
            // The copy lacks entries that live targets write again.
            self.registry.returns_until = Some(now + self.bounds.return_time);
        }
        let entries = self.without_outdated(listing.entries, now);
        let holders = self.newest_by_address(entries);
        for entry in holders.values() {
            self.adopt_entry(entry, now);
        }
        self.drop_missing(&holders, as_of, now);
        for row in self.targets.rows_mut() {
            if let Some(mark) = &mut row.leaving
                && mark.as_of.is_none()
                && mark.noticed_at <= listing.asked_at
            {
                mark.as_of = Some(as_of);
            }
        }
        self.registry.as_of = self.registry.as_of.max(as_of);
        if !std::mem::replace(&mut self.is_registry_known, true) {
            self.registry.log = Arc::new(RegistryLog::new(as_of));
        }
        self.note_in_force();
        self.take_transitions()
    }

    /// Applies what a peer told at `now`, asked at `asked_at`; returns the target transitions.
    /// Ignored before the first listing, as peers know recent changes only.
    pub fn adopt_news(
        &mut self,
        news: RegistryNews,
        asked_at: Instant,
        now: Instant,
    ) -> Vec<TargetTransition> {
        if !self.is_registry_known {
            return Vec::new();
        }
        for change in news.changes {
            self.adopt_change(change, now);
        }
        self.adopt_leavers(news.leavers, now);
        self.adopt_outdated(news.outdated, now);
        let is_complete = news.after <= self.registry.as_of && news.as_of >= self.registry.as_of;
        let is_same = news.digest.is_none_or(|digest| digest == self.digest());
        if is_complete && is_same {
            self.registry.as_of = news.as_of;
            // The peer's answer is no older than the question; one of an unknown age tells nothing.
            let age = news.age.map(MilliSpan::duration);
            if let Some(known_at) = age.and_then(|age| asked_at.checked_sub(age)) {
                self.record_listed(known_at);
            }
            if news.digest.is_some() {
                self.note_in_force();
            }
        }
        self.take_transitions()
    }

    /// Records that a peer knew the registry, and so the entries of all targets, at `known_at`.
    fn record_listed(&mut self, known_at: Instant) {
        let return_time = self.bounds.return_time;
        self.registry.record_known(known_at, return_time);
        for row in self.targets.rows() {
            if row.missing_until.is_none() {
                row.gauge.record_listed(known_at);
            }
        }
    }

    /// Removes targets whose entries have not returned after an outage.
    pub(super) fn expire_missing(&mut self, now: Instant) {
        if !self.registry.is_current(now) {
            // The entries may return once the registry does.
            return;
        }
        let is_expired = |row: &TargetRow| row.missing_until.is_some_and(|until| until <= now);
        let expired = self.targets.iter().filter(|(_, row)| is_expired(row));
        let expired: Vec<_> = expired.map(|(target, _)| target.clone()).collect();
        for target in expired {
            self.remove_target(target, self.registry.as_of, now);
        }
        self.note_in_force();
    }

    /// Takes targets that said in an answer that they are leaving out of service, and tells peers of them and of
    /// those that said so after their entries were gone.
    pub(super) fn note_leaving(&mut self, now: Instant) {
        let is_new = |row: &&TargetRow| row.gauge.is_leaving() && row.leaving.is_none();
        let leavers = self.targets.rows().filter(is_new);
        let leavers: Vec<_> = leavers.map(|row| row.record.target.clone()).collect();
        for target in leavers {
            self.take_leaver_out(&target, now);
        }
        self.note_departed_leaving(now);
    }

    /// The transitions since the last call.
    pub fn take_transitions(&mut self) -> Vec<TargetTransition> {
        std::mem::take(&mut self.transitions)
    }

    fn adopt_change(&mut self, change: RegistryChange, now: Instant) {
        let RegistryChange {
            target,
            revision,
            record,
        } = change;
        if let Some(record) = record {
            let written = revision;
            let entry = RegistryEntry { record, written };
            if self.is_outdated(&entry, now) {
                self.transitions.push(TargetTransition::Outdated(target));
                return;
            }
            if self.is_configured(&entry) {
                self.drop_older_at(&entry, now);
            }
            self.adopt_entry(&entry, now);
        } else if self
            .targets
            .get(&target)
            .is_some_and(|row| row.written <= revision)
        {
            self.remove_target(target, revision, now);
        }
    }

    /// Removes other targets at the address of `entry` whose entries are older.
    fn drop_older_at(&mut self, entry: &RegistryEntry, now: Instant) {
        let is_older = |row: &&TargetRow| {
            row.record.address == entry.record.address
                && row.record.target != entry.record.target
                && row.written < entry.written
        };
        let older = self.targets.rows().filter(is_older);
        let older: Vec<_> = older.map(|row| row.record.target.clone()).collect();
        for target in older {
            self.remove_target(target, entry.written, now);
        }
    }

    /// Removes targets that the registry, as of `as_of`, no longer lists, or whose address another
    /// target has.
    fn drop_missing(
        &mut self,
        holders: &HashMap<SocketAddr, RegistryEntry>,
        as_of: StoreRevision,
        now: Instant,
    ) {
        let returns_until = self.registry.returns_until.filter(|until| *until > now);
        let mut gone = Vec::new();
        for (target, row) in self.targets.iter_mut() {
            let holder = holders.get(&row.record.address);
            let is_listed = holder.is_some_and(|holder| holder.record.target == *target);
            // A peer told of a later entry than this listing can hold.
            if is_listed || row.written > as_of {
                continue;
            }
            let Some(until) = returns_until.filter(|_| holder.is_none()) else {
                gone.push(target.clone());
                continue;
            };
            if row.missing_until.replace(until).is_none() {
                let missing = TargetTransition::Missing(target.clone());
                self.transitions.push(missing);
            }
        }
        for target in gone {
            self.remove_target(target, as_of, now);
        }
    }

    pub(super) fn remove_target(
        &mut self,
        target: TargetId,
        revision: StoreRevision,
        now: Instant,
    ) {
        if let Some(row) = self.targets.remove(&target) {
            self.remember_departed(target.clone(), row, now);
        }
        self.is_changed = true;
        let change = RegistryChange {
            target: target.clone(),
            revision,
            record: None,
        };
        self.log_change(change);
        self.transitions.push(TargetTransition::Gone(target));
    }

    /// Applies an entry unless a later state of its target is known.
    pub(super) fn adopt_entry(&mut self, entry: &RegistryEntry, now: Instant) {
        let target = entry.record.target.clone();
        let gone_at = self.registry.log.gone_at(&target);
        if !self.targets.contains(&target) {
            if gone_at.is_some_and(|gone_at| gone_at >= entry.written) {
                return;
            }
            let seen = TargetTransition::Seen(entry.record.clone());
            self.transitions.push(seen);
            self.is_changed = true;
            let row = TargetRow::new(entry, now);
            self.restore_departed(&target, &row, now);
            self.targets.insert(target.clone(), row);
            self.log_entry(entry);
        }
        let Some(row) = self.targets.get_mut(&target) else {
            return;
        };
        if row.missing_until.take().is_some() {
            let returned = TargetTransition::Returned(target.clone());
            self.transitions.push(returned);
        }
        if entry.written < row.written {
            return;
        }
        let mut record = entry.record.clone();
        if row.outlives_leaving(entry) {
            if row.leaving.take().is_some() {
                row.gauge.record_leaving(false);
            }
        } else {
            record.is_draining = true;
        }
        if record.is_draining && !row.record.is_draining {
            let draining = TargetTransition::Draining(target.clone());
            self.transitions.push(draining);
        }
        if row.record.address != record.address {
            row.gauge = Arc::new(TargetGauge::new(now));
        }
        if record.heartbeat.born != row.record.heartbeat.born {
            row.start_seen_at = now;
            row.gauge.record_start_known();
        }
        row.gauge.record_entry(entry.written, now);
        let cold_until = now + record.cold_left.duration();
        let (was_cold, is_cold) = (row.cold_until > now, cold_until > now);
        if is_cold && !was_cold {
            self.transitions.push(TargetTransition::Cold(target));
        }
        self.is_changed |= row.record != record || was_cold != is_cold;
        row.record = record;
        row.cold_until = cold_until;
        if std::mem::replace(&mut row.written, entry.written) != entry.written {
            self.log_entry(entry);
        }
    }

    /// The most recently written entry of each address. The entry of a crashed target remains for a
    /// few heartbeat intervals, during which a successor may register at the same address. An entry
    /// of a service that is not configured comes from another writer and hides no other.
    fn newest_by_address(
        &self,
        mut entries: Vec<RegistryEntry>,
    ) -> HashMap<SocketAddr, RegistryEntry> {
        entries.sort_by_key(|entry| (self.is_configured(entry), entry.written));
        let by_address = entries
            .into_iter()
            .map(|entry| (entry.record.address, entry));
        by_address.collect()
    }

    /// Whether the configuration has the service of `entry`; also `true` before there is one.
    fn is_configured(&self, entry: &RegistryEntry) -> bool {
        !self.routes.is_known() || self.routes.services.contains(&entry.record.service)
    }

    /// The leaving targets of which peers are told.
    pub(super) fn told_leavers(&self) -> &[LeavingNotice] {
        self.registry.log.leavers()
    }

    /// The targets with outdated entries of which peers are told.
    pub(super) fn told_outdated(&self) -> &[OutdatedNotice] {
        self.registry.log.outdated()
    }

    pub(super) fn registry_log_mut(&mut self) -> &mut RegistryLog {
        Arc::make_mut(&mut self.registry.log)
    }

    /// Adds a change for peers.
    pub(super) fn log_change(&mut self, change: RegistryChange) {
        self.registry_log_mut().push(change);
    }

    fn log_entry(&mut self, entry: &RegistryEntry) {
        let change = RegistryChange {
            target: entry.record.target.clone(),
            revision: entry.written,
            record: Some(entry.record.clone()),
        };
        self.log_change(change);
    }
}
