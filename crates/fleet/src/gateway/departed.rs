//! Targets that left: what is kept of them once their registry entries are gone, and entries that tell of
//! the past because the store executed an old heartbeat late.

use std::collections::HashMap;
use std::net::SocketAddr;
use std::sync::Arc;
use std::time::Duration;

use amaranthgw_core::{MilliSpan, StoreRevision, TargetId};
use tokio::time::Instant;

use super::{
    GatewayWorld, HeartbeatMark, LeavingNotice, OutdatedNotice, RegistryChange, RegistryEntry,
    TargetGauge, TargetRow, TargetTransition,
};

/// Time after which a heartbeat that was sent is no longer executed; removed targets are remembered for as
/// long.
const LATE_HEARTBEAT_TIME: Duration = Duration::from_mins(1);
/// Most removed targets, and most leaving ones, that are remembered.
const MAX_DEPARTED: usize = 1_024;
/// Time for which peers are told that a target is leaving; each of them tells others for as long.
const TELLING_TIME: Duration = Duration::from_secs(10);
/// Most leaving targets of which a peer is told at once, about 5 KB.
const MAX_TOLD: usize = 64;

/// A target that is not registered any more.
#[derive(Debug)]
pub(super) struct DepartedTarget {
    /// Where it was, and its gauge; `None` if only peers knew it.
    seen_at: Option<(SocketAddr, Arc<TargetGauge>)>,
    /// Last heartbeat that was read or told.
    heartbeat: HeartbeatMark,
    remembered_until: Instant,
}

impl DepartedTarget {
    /// Whether the pause that it asked for is not over.
    fn is_held(&self, now: Instant) -> bool {
        let gauge = self.seen_at.as_ref().map(|(_address, gauge)| gauge);
        gauge.is_some_and(|gauge| gauge.is_held(now))
    }

    /// Whether it has said in an answer that it is leaving.
    fn is_leaving(&self) -> bool {
        let gauge = self.seen_at.as_ref().map(|(_address, gauge)| gauge);
        gauge.is_some_and(|gauge| gauge.is_leaving())
    }
}

/// A target that said in an answer that it is leaving, registered or not.
#[derive(Debug)]
pub(super) struct LeaverRow {
    heartbeat: HeartbeatMark,
    noticed_at: Instant,
}

/// When a target's answer that says that it is leaving was noticed.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct LeavingMark {
    pub(super) noticed_at: Instant,
    /// Revision of the first listing that began after that.
    pub(super) as_of: Option<StoreRevision>,
}

impl LeavingMark {
    /// Creates the mark of an answer noticed at `noticed_at`.
    pub(super) const fn new(noticed_at: Instant) -> Self {
        Self {
            noticed_at,
            as_of: None,
        }
    }
}

impl TargetRow {
    /// Whether `entry` says more than the answer in which the target said that it is leaving: it is of
    /// another start of the target or, where entries don't tell the start, was written later.
    pub(super) fn outlives_leaving(&self, entry: &RegistryEntry) -> bool {
        let Some(mark) = self.leaving else {
            return true;
        };
        let (known, new) = (self.record.heartbeat, entry.record.heartbeat);
        if known.born.is_some() && new.born.is_some() {
            return !known.has_same_start(new);
        }
        mark.as_of.is_some_and(|as_of| entry.written > as_of)
    }
}

impl GatewayWorld {
    /// Remembers the removed target of `row`.
    pub(super) fn remember_departed(&mut self, target: TargetId, row: TargetRow, now: Instant) {
        if row.leaving.is_some() {
            self.record_leaver(target.clone(), row.record.heartbeat, now);
        }
        let departed = DepartedTarget {
            seen_at: Some((row.record.address, row.gauge)),
            heartbeat: row.record.heartbeat,
            remembered_until: now + LATE_HEARTBEAT_TIME,
        };
        self.insert_departed(target, departed);
    }

    /// Adds a removed target, in place of the oldest one if there are too many.
    fn insert_departed(&mut self, target: TargetId, departed: DepartedTarget) {
        if self.departed.len() >= MAX_DEPARTED {
            let oldest = self
                .departed
                .iter()
                .min_by_key(|(_, row)| row.remembered_until);
            if let Some(oldest) = oldest.map(|(target, _)| target.clone()) {
                self.departed.remove(&oldest);
            }
        }
        self.departed.insert(target, departed);
    }

    /// Forgets targets that were removed long ago and whose pauses are over, and those that have long been
    /// leaving.
    pub(super) fn forget_departed(&mut self, now: Instant) {
        self.departed
            .retain(|_, row| row.remembered_until > now || row.is_held(now));
        if self.leavers.is_empty() {
            return;
        }
        self.leavers
            .retain(|_, row| row.noticed_at + LATE_HEARTBEAT_TIME > now);
        self.tell_leavers(now);
    }

    /// Takes `target` out of service, as it has said that it is leaving.
    pub(super) fn take_leaver_out(&mut self, target: &TargetId, now: Instant) {
        let as_of = self.registry_as_of();
        let Some(row) = self.targets.get_mut(target) else {
            return;
        };
        row.leaving = Some(LeavingMark::new(now));
        row.gauge.record_leaving(true);
        row.record.is_draining = true;
        let record = row.record.clone();
        self.record_leaver(target.clone(), record.heartbeat, now);
        self.log_change(RegistryChange {
            target: target.clone(),
            revision: as_of,
            record: Some(record),
        });
        let leaving = TargetTransition::Leaving(target.clone());
        self.transitions.push(leaving);
        self.is_changed = true;
    }

    /// Applies what a peer knows of targets that are leaving.
    pub(super) fn adopt_leavers(&mut self, leavers: Vec<LeavingNotice>, now: Instant) {
        for LeavingNotice { target, heartbeat } in leavers {
            if self.is_known_leaver(&target, heartbeat) {
                continue;
            }
            let Some(row) = self.targets.get_mut(&target) else {
                self.record_leaver(target, heartbeat, now);
                continue;
            };
            let known = row.record.heartbeat;
            if known.is_of_earlier_start(heartbeat) {
                // The entry that was read is a late one of an earlier start.
                row.record.heartbeat = heartbeat;
            } else if !known.has_same_start(heartbeat) {
                continue;
            }
            self.take_leaver_out(&target, now);
        }
    }

    /// Whether the start of `heartbeat`, or a later one, of `target` is known to leave.
    fn is_known_leaver(&self, target: &TargetId, heartbeat: HeartbeatMark) -> bool {
        let known = self.leavers.get(target).map(|row| row.heartbeat);
        known.is_some_and(|known| {
            heartbeat.has_same_start(known) || heartbeat.is_of_earlier_start(known)
        })
    }

    /// Records removed targets that have said in an answer since that they are leaving: their entries may come
    /// back.
    pub(super) fn note_departed_leaving(&mut self, now: Instant) {
        let said = self.departed.iter().filter(|(_, row)| row.is_leaving());
        let said: Vec<_> = said
            .map(|(target, row)| (target.clone(), row.heartbeat))
            .collect();
        for (target, heartbeat) in said {
            if !self.is_known_leaver(&target, heartbeat) {
                self.record_leaver(target, heartbeat, now);
            }
        }
    }

    fn record_leaver(&mut self, target: TargetId, heartbeat: HeartbeatMark, now: Instant) {
        let known = self.leavers.get(&target).map(|row| row.heartbeat);
        let is_superseded = known.is_some_and(|known| heartbeat.is_of_earlier_start(known));
        let has_room = known.is_some() || self.leavers.len() < MAX_DEPARTED;
        // Without its start, nothing tells a later entry of the target from an earlier one.
        if heartbeat.born.is_some() && has_room && !is_superseded {
            let noticed_at = now;
            let row = LeaverRow {
                heartbeat,
                noticed_at,
            };
            self.leavers.insert(target, row);
            self.tell_leavers(now);
        }
    }

    /// Tells peers of the targets that have lately said that they are leaving.
    fn tell_leavers(&mut self, now: Instant) {
        let lately = |row: &LeaverRow| row.noticed_at + TELLING_TIME > now;
        let leavers = self.leavers.iter().filter(|(_, row)| lately(row));
        let leavers = leavers.take(MAX_TOLD).map(|(target, row)| LeavingNotice {
            target: target.clone(),
            heartbeat: row.heartbeat,
        });
        let leavers: Vec<_> = leavers.collect();
        if self.told_leavers() != leavers {
            self.registry_log_mut().set_leavers(leavers);
        }
    }

    /// Lets the new `row` take over the pause that its target asked for before it was removed: its entry may
    /// have lapsed while it ran.
    pub(super) fn restore_departed(&mut self, target: &TargetId, row: &TargetRow, now: Instant) {
        if let Some(departed) = self.departed.remove(target)
            && let Some((address, gauge)) = departed.seen_at
            && address == row.record.address
        {
            row.gauge.adopt_hold(&gauge, now);
        }
    }

    /// Whether `entry` was written by a heartbeat from before what is known of its target.
    pub(super) fn is_outdated(&self, entry: &RegistryEntry, now: Instant) -> bool {
        let (target, heartbeat) = (&entry.record.target, entry.record.heartbeat);
        if self.outdated.get(target) == Some(&entry.written) {
            return true;
        }
        if let Some(row) = self.targets.get(target) {
            let known = row.record.heartbeat;
            // Later, an earlier start is one after the target's clock was set back.
            let is_late = now < row.start_seen_at + LATE_HEARTBEAT_TIME;
            return heartbeat.precedes(known) && (is_late || heartbeat.has_same_start(known));
        }
        let departed = self.departed.get(target);
        self.is_known_leaver(target, heartbeat)
            || departed.is_some_and(|departed| heartbeat.precedes(departed.heartbeat))
    }

    /// Replaces outdated entries of a listing by what is known of their targets, and leaves out those of
    /// targets that have left.
    pub(super) fn without_outdated(
        &mut self,
        entries: Vec<RegistryEntry>,
        now: Instant,
    ) -> Vec<RegistryEntry> {
        let mut outdated = HashMap::new();
        let mut notices = Vec::new();
        let mut current = Vec::with_capacity(entries.len());
        for entry in entries {
            if !self.is_outdated(&entry, now) {
                current.push(entry);
                continue;
            }
            let target = entry.record.target;
            current.extend(self.targets.get(&target).map(|row| RegistryEntry {
                record: row.record.clone(),
                written: row.written,
            }));
            if self.outdated.get(&target) != Some(&entry.written) {
                let transition = TargetTransition::Outdated(target.clone());
                self.transitions.push(transition);
            }
            notices.extend(self.notice_of_outdated(&target, now));
            outdated.insert(target, entry.written);
        }
        self.outdated = outdated;
        notices.truncate(MAX_TOLD);
        if self.told_outdated() != notices {
            self.registry_log_mut().set_outdated(notices);
        }
        current
    }

    /// What peers are told of a target whose entry is outdated: those that have read only that entry don't know
    /// better.
    fn notice_of_outdated(&mut self, target: &TargetId, now: Instant) -> Option<OutdatedNotice> {
        if let Some(leaver) = self.leavers.get(target).map(|row| row.heartbeat) {
            self.record_leaver(target.clone(), leaver, now);
        }
        let mut notice = OutdatedNotice {
            target: target.clone(),
            heartbeat: HeartbeatMark::default(),
            record: None,
        };
        if let Some(row) = self.targets.get(target) {
            let cold_left = row.cold_until.saturating_duration_since(now);
            let mut record = row.record.clone();
            record.cold_left = MilliSpan::from_duration(cold_left);
            notice.heartbeat = record.heartbeat;
            notice.record = Some(record);
        } else {
            notice.heartbeat = self.departed.get(target)?.heartbeat;
        }
        Some(notice)
    }

    /// Applies what a peer knows of targets whose entries tell of the past.
    pub(super) fn adopt_outdated(&mut self, notices: Vec<OutdatedNotice>, now: Instant) {
        for notice in notices {
            let OutdatedNotice {
                target,
                heartbeat,
                record,
            } = notice;
            let Some(row) = self.targets.get(&target) else {
                self.remember_heartbeat(target, heartbeat, now);
                continue;
            };
            let written = row.written;
            if !row.record.heartbeat.precedes(heartbeat) {
                continue;
            }
            if let Some(record) = record {
                self.adopt_entry(&RegistryEntry { record, written }, now);
            } else {
                self.remove_target(target.clone(), written, now);
                self.remember_heartbeat(target, heartbeat, now);
            }
        }
    }

    /// Remembers the last heartbeat of a target that is not registered.
    fn remember_heartbeat(&mut self, target: TargetId, heartbeat: HeartbeatMark, now: Instant) {
        if let Some(departed) = self.departed.get_mut(&target) {
            if departed.heartbeat.precedes(heartbeat) {
                departed.heartbeat = heartbeat;
            }
            return;
        }
        let departed = DepartedTarget {
            seen_at: None,
            heartbeat,
            remembered_until: now + LATE_HEARTBEAT_TIME,
        };
        self.insert_departed(target, departed);
    }
}
