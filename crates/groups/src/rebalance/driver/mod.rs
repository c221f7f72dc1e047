//! State machine that switches a group to a new map such that all ranks run every step under the
//! same map.
//!
//! All ranks prepare the map; one rank is held before a step; all ranks are armed for that step,
//! the coordinator's local rank last; only then is the held rank released. As the local rank is
//! armed last, an unarmed rank shows that the local rank is unarmed too, even if the coordinator
//! and its local rank are unreachable. If not all ranks can be armed, all are disarmed under a
//! higher fencing token, so that orders executed late are rejected, and then the held rank is
//! released. The others are disarmed only once the local rank is, or all agents have been told that
//! nothing shows any more what it is. Incomplete switches of an earlier coordinator are completed or
//! cleared the same way.

mod orders;
mod phase;
mod recovery;
mod row;

pub use phase::{DriverEvent, PendingOrder, SwitchPhase};
pub use row::ViewTime;

use std::collections::BTreeMap;
use std::sync::Arc;
use std::time::Duration;

use amaranthgw_core::{
    FencingNumber, GroupGeneration, MapVersion, RankId, StepNumber, StoreRevision,
};
use tokio::time::Instant;

use self::row::RankRow;
use super::{ArmedMap, CoordinatorMark, GroupPlacement, OrderReply, RankView};

/// Steps from the newest one that began to the one at which the map changes. Two suffice, because
/// an order takes milliseconds and a step tens of milliseconds.
const LEAD_STEPS: u64 = 2;
/// Used instead of [`LEAD_STEPS`] after unanswered orders, so that resent ones arrive before the step.
const UNANSWERED_LEAD_STEPS: u64 = 5;
/// Time after an unanswered order during which the longer lead applies.
const UNANSWERED_WINDOW: Duration = Duration::from_secs(6);
/// Fencing tokens reserved for each lease, as a driver raises its token during a lease.
const FENCING_NUMBERS_PER_LEASE: u64 = 4_096;
/// Map versions reserved for each lease. A rank takes an order to prepare a version that it has
/// prepared already as done, so two coordinators must never give one version to different maps.
const VERSIONS_PER_LEASE: u64 = 4_096;
/// Age from which a view is too old to begin a switch.
const VIEW_MAX_AGE: Duration = Duration::from_millis(500);
/// Age from which a rank's last reply is too old to hold the group: a rank that has fallen silent could not be
/// armed.
const HOLD_REPLY_MAX_AGE: Duration = Duration::from_millis(200);
/// Time after which fencing is abandoned if not all ranks have answered; ranks may leave orders
/// unanswered meanwhile.
const FENCING_TIMEOUT: Duration = Duration::from_secs(6);
/// Multiple of the expected copy time after which a map is abandoned: a rank that became slow also
/// copies slowly and would delay the switch for all ranks.
const COPY_TIMEOUT_FACTOR: u32 = 2;
/// Time added to the copy timeout for the prepare orders, which are resent if unanswered.
const PREPARE_MARGIN: Duration = Duration::from_millis(700);
/// Time limit of the holding and of the arming phase, each; the switch is abandoned after it. The
/// group stalls while a rank is held, so this time and that of clearing together stay below the
/// time for which a group may stall.
const ARM_TIMEOUT: Duration = Duration::from_millis(600);

/// Drives the map switches of a group for its coordinator.
#[derive(Clone, Debug)]
pub struct SwitchDriver {
    local_rank: RankId,
    /// Direct predecessor of this coordinator.
    previous: Option<CoordinatorMark>,
    /// Generation in which every rank has accepted an order of this driver.
    fenced_generation: Option<GroupGeneration>,
    /// Fencing token of new orders.
    fencing: FencingNumber,
    phase: SwitchPhase,
    phase_since: Instant,
    /// Number of phases entered so far.
    phase_number: u64,
    /// Highest version that this driver has assigned, or the one below its first.
    last_version: MapVersion,
    /// First version that only later coordinators assign.
    end_version: MapVersion,
    ranks: BTreeMap<RankId, RankRow>,
    /// Time since which views have shown an incomplete switch; see `after_skew`.
    inconsistent_since: Option<Instant>,
    /// Time at which an order was last reported as unanswered.
    unanswered_at: Option<Instant>,
    /// Time from which all reachable ranks reject orders of earlier coordinators, as each has
    /// taken an order of the current phase. Set only while preparing and fencing.
    fenced_at: Option<Instant>,
    /// Whether a later coordinator has given orders.
    is_superseded: bool,
    events: Vec<DriverEvent>,
}

/// Version from which those of the lease with the token `fencing` are counted.
const fn first_version(fencing: FencingNumber) -> MapVersion {
    MapVersion::new(fencing.get().saturating_mul(VERSIONS_PER_LEASE))
}

impl SwitchDriver {
    /// Creates the driver of the coordinator with the local rank `local_rank` and the fencing token
    /// `fencing` of its lease.
    #[must_use]
    pub fn new(local_rank: RankId, fencing: FencingNumber, now: Instant) -> Self {
        Self {
            local_rank,
            previous: None,
            fenced_generation: None,
            fencing: FencingNumber::new(fencing.get().saturating_mul(FENCING_NUMBERS_PER_LEASE)),
            phase: SwitchPhase::Idle,
            phase_since: now,
            phase_number: 0,
            last_version: first_version(fencing),
            end_version: first_version(fencing.next()),
            ranks: BTreeMap::new(),
            inconsistent_since: None,
            unanswered_at: None,
            fenced_at: None,
            is_superseded: false,
            events: Vec::new(),
        }
    }

    /// Sets the direct predecessor of this coordinator, whose local rank may be unreachable
    /// together with it.
    #[must_use]
    pub const fn with_previous(mut self, previous: Option<CoordinatorMark>) -> Self {
        self.previous = previous;
        self
    }

    /// Mark of this coordinator for other agents; `known_at` is the newest store revision at which
    /// it is known to have held the lease.
    #[must_use]
    pub fn mark(&self, known_at: StoreRevision) -> CoordinatorMark {
        let is_clearing = matches!(self.phase, SwitchPhase::Clearing { .. });
        CoordinatorMark {
            rank: self.local_rank,
            known_at,
            phase_number: self.phase_number,
            fenced_generation: self.fenced_generation.filter(|_| !is_clearing),
        }
    }

    /// Current phase.
    #[must_use]
    pub const fn phase(&self) -> &SwitchPhase {
        &self.phase
    }

    /// Whether a later coordinator is known.
    #[must_use]
    pub const fn is_superseded(&self) -> bool {
        self.is_superseded
    }

    /// Stops giving orders, as a later coordinator is known.
    pub const fn supersede(&mut self) {
        self.is_superseded = true;
    }

    /// Removes and returns the phase changes recorded since the last call.
    pub fn take_events(&mut self) -> Vec<DriverEvent> {
        std::mem::take(&mut self.events)
    }

    /// Latest views of the ranks, by rank.
    pub fn views(&self) -> impl Iterator<Item = &RankView> {
        self.ranks.values().map(|row| &row.view)
    }

    /// Records a view of a rank that arrived by `now`.
    pub fn observe(&mut self, view: RankView, time: ViewTime, now: Instant) {
        let is_new_generation = self
            .ranks
            .values()
            .any(|row| row.view.generation < view.generation);
        if is_new_generation {
            // A group that failed restarts with map 0 and nothing prepared, armed or held.
            let generation = view.generation;
            self.ranks
                .retain(|_, row| row.view.generation >= generation);
            self.fenced_generation = None;
            self.enter(SwitchPhase::Idle, now, "new_generation");
        }
        let rank = view.rank;
        if let Some(row) = self.ranks.get_mut(&rank) {
            row.record(view, time);
        } else {
            self.ranks.insert(rank, RankRow::new(view, time));
        }
        self.advance(now);
    }

    /// Whether the group is open and has recent views of all ranks, all of one generation.
    #[must_use]
    pub fn is_complete(&self, now: Instant) -> bool {
        let Some(first) = self.ranks.values().next() else {
            return false;
        };
        let size = usize::from(first.view.size);
        self.ranks.len() == size
            && self.ranks.values().all(|row| {
                row.view.is_open
                    && row.view.generation == first.view.generation
                    && now.saturating_duration_since(row.replied_at) <= VIEW_MAX_AGE
            })
    }

    /// Whether the group is complete and all ranks have replied just now, so that it is worth to hold one.
    fn are_all_replying(&self, now: Instant) -> bool {
        let is_recent =
            |row: &RankRow| now.saturating_duration_since(row.replied_at) <= HOLD_REPLY_MAX_AGE;
        self.is_complete(now) && self.ranks.values().all(is_recent)
    }

    /// Whether views show a rank as held or armed although no switch is in progress.
    #[must_use]
    pub fn has_leftovers(&self) -> bool {
        let is_left = |row: &RankRow| row.view.held.is_some() || row.view.armed.is_some();
        self.phase == SwitchPhase::Idle && self.ranks.values().any(is_left)
    }

    /// Map that all ranks use with nothing armed or held; `None` if they differ, a switch is in
    /// progress, or a rank has no recent view from after the last phase change.
    #[must_use]
    pub fn common_map(&self, now: Instant) -> Option<MapVersion> {
        if !self.is_complete(now) || self.phase != SwitchPhase::Idle {
            return None;
        }
        let map = self.ranks.values().next()?.view.map;
        let is_quiescent = |row: &RankRow| {
            row.view.map == map
                && row.view.armed.is_none()
                && row.view.held.is_none()
                && row.is_viewed_since(self.phase_since)
        };
        self.ranks.values().all(is_quiescent).then_some(map)
    }

    /// Placement that the latest views report, with the experts of each rank in order; `None` if one of them lacks the experts. Meaningful
    /// only while [`Self::common_map`] returns a map.
    #[must_use]
    pub fn common_placement(&self) -> Option<GroupPlacement> {
        let sets = self.ranks.values().next()?.view.experts.len();
        let mut placement = GroupPlacement {
            sets: vec![super::SetPlacement::default(); sets],
        };
        for row in self.ranks.values() {
            if row.view.experts.len() != sets || sets == 0 {
                return None;
            }
            for (set, experts) in placement.sets.iter_mut().zip(&row.view.experts) {
                let mut experts = experts.clone();
                experts.sort_unstable();
                set.ranks.push(experts);
            }
        }
        Some(placement)
    }

    /// Starts the switch to `placement`, whose weights take about `copy_time` to copy; returns
    /// `false` if the group is not ready for a switch or has taken orders of a later coordinator.
    pub fn start(
        &mut self,
        placement: Arc<GroupPlacement>,
        copy_time: Duration,
        now: Instant,
    ) -> bool {
        if self.common_map(now).is_none() {
            return false;
        }
        let known = self.ranks.values().map(|row| {
            let prepared = row.view.prepared.unwrap_or_default();
            row.view.map.max(prepared)
        });
        let version = known
            .max()
            .unwrap_or_default()
            .max(self.last_version)
            .next();
        if version >= self.end_version {
            self.is_superseded = true;
            return false;
        }
        self.last_version = version;
        let phase = SwitchPhase::Preparing {
            version,
            placement,
            copy_time,
        };
        self.enter(phase, now, "planned");
        true
    }

    /// Highest map version known to be in use, armed or prepared, now or earlier.
    fn known_version(&self) -> MapVersion {
        let known = self.ranks.values().map(|row| {
            let armed = row.view.armed.map(|armed| armed.version);
            let prepared = row.view.prepared.max(armed).unwrap_or_default();
            row.view.map.max(prepared)
        });
        known.max().unwrap_or_default().max(self.last_version)
    }

    /// Orders to send at `now`; an order is not returned again before its reply.
    pub fn pending_orders(&mut self, now: Instant) -> Vec<PendingOrder> {
        self.advance(now);
        if self.is_superseded {
            return Vec::new();
        }
        let mut pending = Vec::new();
        let ranks: Vec<RankId> = self.ranks.keys().copied().collect();
        for rank in ranks {
            let Some(order) = self.order_for(rank) else {
                continue;
            };
            let (fencing, phase_number) = (self.fencing, self.phase_number);
            let Some(row) = self.ranks.get_mut(&rank) else {
                continue;
            };
            if row.is_done || row.is_awaiting_reply {
                continue;
            }
            row.is_awaiting_reply = true;
            let generation = row.view.generation;
            pending.push(PendingOrder {
                rank,
                order,
                fencing,
                generation,
                phase_number,
            });
        }
        pending
    }

    /// Handles the reply to an order.
    pub fn reply(&mut self, order: &PendingOrder, reply: OrderReply, now: Instant) {
        if reply == OrderReply::Fenced {
            // Orders in flight when this driver raised its own token don't indicate another
            // coordinator.
            self.is_superseded |= order.fencing == self.fencing;
            return;
        }
        if order.phase_number != self.phase_number {
            return;
        }
        let Some(row) = self.ranks.get_mut(&order.rank) else {
            return;
        };
        row.is_awaiting_reply = false;
        match reply {
            OrderReply::Accepted => row.is_done = true,
            OrderReply::Conflict => self.conflict(order, now),
            OrderReply::Unanswered | OrderReply::Fenced => {}
        }
        if reply == OrderReply::Unanswered {
            self.unanswered_at = Some(now);
        }
        self.advance(now);
    }

    fn conflict(&mut self, order: &PendingOrder, now: Instant) {
        match &self.phase {
            SwitchPhase::Preparing { .. } => self.enter(SwitchPhase::Idle, now, "prepare_refused"),
            // The step has already begun, so the hold is retried at a later step.
            SwitchPhase::Holding { .. } => self.retry_hold(now),
            SwitchPhase::Arming { armed, held_rank } => {
                let held = BTreeMap::from([(*held_rank, armed.step)]);
                self.clear(held, now, "arm_refused");
            }
            // A map in use can't be disarmed, and a step that has begun needs no release.
            SwitchPhase::Fencing
            | SwitchPhase::Clearing { .. }
            | SwitchPhase::Releasing { .. }
            | SwitchPhase::ReleasingUnarmed { .. } => {
                if let Some(row) = self.ranks.get_mut(&order.rank) {
                    row.is_done = true;
                }
            }
            SwitchPhase::Idle | SwitchPhase::Settling { .. } => {}
        }
    }

    /// Retries a switch at a later step after its hold came too late.
    fn retry_hold(&mut self, now: Instant) {
        let SwitchPhase::Holding { armed, held_rank } = self.phase.clone() else {
            return;
        };
        let is_unarmed = self.ranks.values().all(|row| row.view.armed.is_none());
        if !is_unarmed {
            // The armed map belongs to another coordinator's switch, whose step has begun.
            self.enter(SwitchPhase::Idle, now, "step_begun");
            return;
        }
        let last_step = self.ranks.values().map(|row| row.view.step).max();
        let step = last_step.unwrap_or_default().max(armed.step);
        let step = self.step_ahead(step, now);
        let armed = ArmedMap { step, ..armed };
        self.enter(SwitchPhase::Holding { armed, held_rank }, now, "hold_late");
    }

    /// A step ahead of `last`, farther for [`UNANSWERED_WINDOW`] after an unanswered order.
    fn step_ahead(&self, last: StepNumber, now: Instant) -> StepNumber {
        let is_recent = |at: Instant| now.saturating_duration_since(at) < UNANSWERED_WINDOW;
        let lead = if self.unanswered_at.is_some_and(is_recent) {
            UNANSWERED_LEAD_STEPS
        } else {
            LEAD_STEPS
        };
        StepNumber::new(last.get().saturating_add(lead))
    }

    /// Disarms all ranks under a higher fencing token.
    fn clear(&mut self, held: BTreeMap<RankId, StepNumber>, now: Instant, cause: &'static str) {
        self.fencing = self.fencing.next();
        self.enter(SwitchPhase::Clearing { held }, now, cause);
    }

    /// Age that the oldest of the views could have when it was requested.
    fn max_view_age(&self) -> Duration {
        let ages = self.ranks.values().map(RankRow::max_age);
        ages.max().unwrap_or_default()
    }

    fn all_done(&self) -> bool {
        self.ranks.values().all(|row| row.is_done)
    }

    /// All ranks but the local one.
    fn others(&self) -> impl Iterator<Item = &RankRow> {
        let others = self.ranks.iter();
        let others = others.filter(|(rank, _)| **rank != self.local_rank);
        others.map(|(_, row)| row)
    }

    fn others_done(&self) -> bool {
        self.others().all(|row| row.is_done)
    }

    fn others_done_except(&self, rank: RankId) -> bool {
        let mut others = self.others().filter(|row| row.view.rank != rank);
        others.all(|row| row.is_done)
    }

    /// Rank to hold in a switch of this coordinator: one that others can still reach if this VM
    /// becomes unreachable.
    fn select_held_rank(&self) -> RankId {
        let mut others = self.ranks.keys().filter(|rank| **rank != self.local_rank);
        others.next().copied().unwrap_or(self.local_rank)
    }

    fn is_done(&self, rank: RankId) -> bool {
        self.ranks.get(&rank).is_none_or(|row| row.is_done)
    }

    fn advance(&mut self, now: Instant) {
        let elapsed = now.saturating_duration_since(self.phase_since);
        match self.phase.clone() {
            SwitchPhase::Idle => self.detect_incomplete_switch(now),
            SwitchPhase::Preparing {
                version, copy_time, ..
            } => {
                let timeout =
                    copy_time * COPY_TIMEOUT_FACTOR + PREPARE_MARGIN + self.max_view_age();
                self.advance_preparing(version, elapsed > timeout, now);
            }
            SwitchPhase::Holding { armed, held_rank } => {
                if self.is_done(held_rank) {
                    self.enter(SwitchPhase::Arming { armed, held_rank }, now, "held");
                } else if elapsed > ARM_TIMEOUT {
                    let held = BTreeMap::from([(held_rank, armed.step)]);
                    self.clear(held, now, "hold_unanswered");
                }
            }
            SwitchPhase::Arming { armed, held_rank } => {
                if self.all_done() {
                    self.enter(SwitchPhase::Releasing { armed, held_rank }, now, "armed");
                } else if elapsed > ARM_TIMEOUT {
                    let held = BTreeMap::from([(held_rank, armed.step)]);
                    self.clear(held, now, "arm_unanswered");
                }
            }
            SwitchPhase::Releasing { armed, held_rank } => {
                if self.is_done(held_rank) {
                    let version = armed.version;
                    self.enter(SwitchPhase::Settling { version }, now, "released");
                }
            }
            SwitchPhase::Settling { version } => self.advance_settling(version, now),
            SwitchPhase::Fencing => self.advance_fencing(elapsed, now),
            SwitchPhase::Clearing { held } => {
                if self.all_done() {
                    self.enter(SwitchPhase::ReleasingUnarmed { held }, now, "disarmed");
                }
            }
            SwitchPhase::ReleasingUnarmed { held } => {
                if held.keys().all(|rank| self.is_done(*rank)) {
                    self.enter(SwitchPhase::Idle, now, "freed");
                }
            }
        }
    }

    fn advance_preparing(&mut self, version: MapVersion, is_overdue: bool, now: Instant) {
        if self.all_done() && self.fenced_at.is_none() {
            self.fenced_at = Some(now);
        }
        // Once all ranks have accepted an order of this coordinator, they reject those of earlier
        // coordinators. What is armed or held in views of a later time is an incomplete switch of an
        // earlier coordinator.
        let fenced_at = self.fenced_at;
        let is_after_fencing = |row: &RankRow| fenced_at.is_some_and(|at| row.is_viewed_after(at));
        let is_fenced = self.ranks.values().all(is_after_fencing) && self.is_complete(now);
        let is_prepared =
            |row: &RankRow| row.view.prepared == Some(version) && is_after_fencing(row);
        let has_switch_state = |row: &RankRow| row.view.armed.is_some() || row.view.held.is_some();
        if self
            .ranks
            .values()
            .any(|row| is_after_fencing(row) && has_switch_state(row))
        {
            self.enter(SwitchPhase::Idle, now, "leftovers");
            return;
        }
        if is_fenced {
            self.fenced_generation = self.ranks.values().next().map(|row| row.view.generation);
        }
        if self.ranks.values().all(is_prepared) && self.are_all_replying(now) {
            let last_step = self.ranks.values().map(|row| row.view.step).max();
            let step = self.step_ahead(last_step.unwrap_or_default(), now);
            let armed = ArmedMap { version, step };
            let held_rank = self.select_held_rank();
            self.enter(SwitchPhase::Holding { armed, held_rank }, now, "prepared");
        } else if is_overdue {
            self.enter(SwitchPhase::Idle, now, "prepare_slow");
        }
    }

    fn advance_settling(&mut self, version: MapVersion, now: Instant) {
        let switched = |row: &RankRow| row.view.map == version && row.view.armed.is_none();
        if self.ranks.values().all(switched) {
            self.enter(SwitchPhase::Idle, now, "switched");
            return;
        }
        let is_fresh = self
            .ranks
            .values()
            .all(|row| row.is_viewed_after(self.phase_since));
        let is_partial =
            self.ranks.values().any(|row| row.view.armed.is_some()) && !self.has_common_armed_map();
        let is_lost = self
            .ranks
            .values()
            .all(|row| row.view.armed.is_none() && row.view.map != version);
        let is_held = self.ranks.values().any(|row| row.view.held.is_some());
        if is_fresh && (is_partial || is_lost || is_held) {
            self.after_skew(now, |driver| {
                driver.enter(SwitchPhase::Idle, now, "not_switched");
            });
        } else {
            self.inconsistent_since = None;
        }
    }

    fn has_common_armed_map(&self) -> bool {
        let first = self.ranks.values().next().and_then(|row| row.view.armed);
        first.is_some() && self.ranks.values().all(|row| row.view.armed == first)
    }

    fn enter(&mut self, phase: SwitchPhase, now: Instant, cause: &'static str) {
        self.events.push(DriverEvent::new(&phase, cause));
        self.phase = phase;
        self.phase_since = now;
        self.phase_number += 1;
        self.inconsistent_since = None;
        self.fenced_at = None;
        for row in self.ranks.values_mut() {
            row.is_done = false;
            row.is_awaiting_reply = false;
        }
    }
}
