//! Recovery from switches that an earlier coordinator left incomplete, and from orders that ranks
//! executed late.

use std::collections::BTreeMap;
use std::time::Duration;

use amaranthgw_core::{RankId, StepNumber};
use tokio::time::Instant;

use super::super::ArmedMap;
use super::{FENCING_TIMEOUT, RankRow, SwitchDriver, SwitchPhase, VIEW_MAX_AGE};

/// Time for which views may disagree before the switch counts as incomplete: ranks are not polled
/// at one instant.
const VIEW_SKEW_TOLERANCE: Duration = Duration::from_millis(250);

/// Switch state of the reachable ranks at one poll.
#[derive(Clone, Debug)]
struct GroupSnapshot {
    is_previous_unreachable: bool,
    held: BTreeMap<RankId, StepNumber>,
    armed: Option<ArmedMap>,
    are_all_armed: bool,
}

impl SwitchDriver {
    /// Whether the only rank without a fresh view is the local rank of the previous coordinator.
    pub(super) fn is_previous_unreachable(&self, now: Instant) -> bool {
        let Some(first) = self.ranks.values().next() else {
            return false;
        };
        let is_fresh = |row: &RankRow| {
            row.view.is_open && now.saturating_duration_since(row.replied_at) <= VIEW_MAX_AGE
        };
        let fresh = self.ranks.iter().filter(|(_, row)| is_fresh(row)).count();
        let Some(mark) = self.previous.filter(|mark| mark.rank != self.local_rank) else {
            return false;
        };
        // Held and armed state belongs to the previous coordinator only if every rank had taken its
        // fencing token.
        mark.fenced_generation == Some(first.view.generation)
            && !self.ranks.get(&mark.rank).is_some_and(is_fresh)
            && fresh + 1 == usize::from(first.view.size)
    }

    /// The local rank of the previous coordinator if it is unreachable; recovery excludes it.
    pub(super) fn unreachable_rank(&self, is_previous_unreachable: bool) -> Option<RankId> {
        let previous = self.previous.filter(|_| is_previous_unreachable);
        previous.map(|mark| mark.rank)
    }

    /// Snapshot from views of a time later than `since`; `None` until every reachable rank has one.
    fn snapshot_since(&self, since: Instant, now: Instant) -> Option<GroupSnapshot> {
        let is_previous_unreachable = self.is_previous_unreachable(now);
        let unreachable = self.unreachable_rank(is_previous_unreachable);
        let rows: Vec<&RankRow> = self
            .ranks
            .values()
            .filter(|row| Some(row.view.rank) != unreachable)
            .collect();
        let is_polled = rows.iter().all(|row| row.is_viewed_after(since));
        if !is_polled || !(is_previous_unreachable || self.is_complete(now)) {
            return None;
        }
        let held = rows
            .iter()
            .filter_map(|row| Some((row.view.rank, row.view.held?)));
        Some(GroupSnapshot {
            is_previous_unreachable,
            held: held.collect(),
            armed: rows.iter().find_map(|row| row.view.armed),
            are_all_armed: rows.iter().all(|row| row.view.armed.is_some()),
        })
    }

    /// Starts recovery where an earlier coordinator, or an order executed late, left ranks held or
    /// armed.
    pub(super) fn detect_incomplete_switch(&mut self, now: Instant) {
        let Some(snapshot) = self.snapshot_since(self.phase_since, now) else {
            return;
        };
        if snapshot.is_previous_unreachable && (snapshot.held.is_empty() || snapshot.are_all_armed)
        {
            // Nothing is held, or the unreachable rank may be armed like the others.
            self.inconsistent_since = None;
        } else if snapshot.held.is_empty() && self.has_common_armed_map() {
            let version = snapshot
                .armed
                .map_or(self.last_version, |armed| armed.version);
            self.enter(SwitchPhase::Settling { version }, now, "armed_before");
        } else if !snapshot.held.is_empty() {
            // However the times of the views differ, a rank is held in an incomplete switch only.
            self.begin_fencing(now);
        } else if snapshot.armed.is_some() {
            self.after_skew(now, |driver| driver.begin_fencing(now));
        } else {
            self.inconsistent_since = None;
        }
    }

    fn begin_fencing(&mut self, now: Instant) {
        self.fencing = self.fencing.next();
        self.enter(SwitchPhase::Fencing, now, "leftovers");
    }

    /// Completes or clears the incomplete switch once no earlier coordinator can change the ranks.
    pub(super) fn advance_fencing(&mut self, elapsed: Duration, now: Instant) {
        let unreachable = self.unreachable_rank(self.is_previous_unreachable(now));
        let mut others = self
            .ranks
            .iter()
            .filter(|(rank, _)| Some(**rank) != unreachable);
        if self.fenced_at.is_none() && others.all(|(_, row)| row.is_done) {
            self.fenced_at = Some(now);
        }
        let Some(fenced_at) = self.fenced_at else {
            if elapsed > FENCING_TIMEOUT {
                self.enter(SwitchPhase::Idle, now, "fencing_slow");
            }
            return;
        };
        let Some(snapshot) = self.snapshot_since(fenced_at, now) else {
            return;
        };
        if snapshot.is_previous_unreachable {
            self.recover_without_previous(snapshot, now);
            return;
        }
        let Some(armed) = snapshot.armed else {
            let held = snapshot.held;
            // Held ranks without an armed map belong to no switch that can be completed.
            self.enter(SwitchPhase::ReleasingUnarmed { held }, now, "held_unowned");
            return;
        };
        let held_rank = snapshot.held.iter().find(|(_, step)| **step == armed.step);
        match held_rank.map(|(held_rank, _)| *held_rank) {
            Some(held_rank) => {
                self.enter(SwitchPhase::Arming { armed, held_rank }, now, "taken_over");
            }
            None if self.has_common_armed_map() => {
                let version = armed.version;
                self.enter(SwitchPhase::Settling { version }, now, "armed_before");
            }
            None => {
                let held_rank = self.select_held_rank();
                self.enter(
                    SwitchPhase::Holding { armed, held_rank },
                    now,
                    "partly_armed",
                );
            }
        }
    }

    /// Clears a hold of the previous coordinator while its local rank is unreachable too. That rank
    /// is armed last, so it is not armed, and won't be, while any other rank is unarmed.
    fn recover_without_previous(&mut self, snapshot: GroupSnapshot, now: Instant) {
        if snapshot.held.is_empty() || snapshot.are_all_armed {
            // Nothing is held, or the unreachable rank may be armed like the others.
            self.enter(SwitchPhase::Idle, now, "previous_unknown");
            return;
        }
        if let Some(previous) = self.previous {
            self.ranks.remove(&previous.rank);
        }
        self.clear(snapshot.held, now, "previous_silent");
    }

    /// Runs `act` once views have been inconsistent for [`VIEW_SKEW_TOLERANCE`]; a shorter
    /// inconsistency can come from polling the ranks at different times.
    pub(super) fn after_skew(&mut self, now: Instant, act: impl FnOnce(&mut Self)) {
        let since = *self.inconsistent_since.get_or_insert(now);
        if now.saturating_duration_since(since) >= VIEW_SKEW_TOLERANCE {
            self.inconsistent_since = None;
            act(self);
        }
    }
}
