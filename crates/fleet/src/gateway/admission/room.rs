//! Requests of one service that wait for a place.

use std::collections::{BTreeMap, HashMap};

use amaranthgw_core::WorkspaceId;
use tokio::time::Instant;

pub use amaranthgw_core::WaiterNumber;

use super::rank::CallRank;
use super::shares::RankLane;

/// Grants to more urgent requests after which one goes to a less urgent waiter, if there is one.
const LEAST_GRANT_INTERVAL: u32 = 10;

/// A request that waits for a place.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct WaiterRow {
    /// Rank of the request.
    pub rank: CallRank,
    /// Workspace that it belongs to.
    pub workspace: Option<WorkspaceId>,
    /// Time by which it must begin to meet its latency objective.
    pub begin_by: Instant,
    /// Whether it was refused before and came back.
    pub is_returned: bool,
}

/// A waiter that may be admitted next.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(super) struct NextLane {
    pub(super) rank: CallRank,
    /// Whether its rank is below its least share.
    pub(super) is_due: bool,
}

/// Requests that wait for a place, in the order in which they are admitted.
///
/// The most urgent go first, though one in [`LEAST_GRANT_INTERVAL`] grants goes to each less urgent
/// level. Among requests of one rank those that can still begin in time go first; among those, the
/// workspace with the fewest grants; of its requests those that were refused before, then the one that
/// must begin first.
#[derive(Debug, Default)]
pub struct WaitRoom {
    rows: HashMap<WaiterNumber, WaiterRow>,
    lanes: BTreeMap<CallRank, RankLane>,
}

impl WaitRoom {
    /// Requests that wait at most; bounds memory.
    pub const MAX_WAITERS: usize = 1_000;

    /// Creates an empty room.
    #[must_use]
    pub fn new() -> Self {
        Self::default()
    }

    /// Number of waiters.
    #[must_use]
    pub fn len(&self) -> usize {
        self.rows.len()
    }

    /// Whether nobody waits.
    #[must_use]
    pub fn is_empty(&self) -> bool {
        self.rows.is_empty()
    }

    /// Whether no more waiters fit in.
    #[must_use]
    pub fn is_full(&self) -> bool {
        self.rows.len() >= Self::MAX_WAITERS
    }

    /// Number of waiters of `rank`.
    #[must_use]
    pub fn waiting(&self, rank: CallRank) -> usize {
        self.lanes.get(&rank).map_or(0, RankLane::len)
    }

    /// Number of waiters of `rank` that were refused before and came back.
    #[must_use]
    pub fn returned(&self, rank: CallRank) -> usize {
        self.lanes.get(&rank).map_or(0, RankLane::returned)
    }

    /// Number of waiters that are at least as urgent as `rank`.
    #[must_use]
    pub fn ahead_of(&self, rank: CallRank) -> usize {
        let lanes = self.lanes.range(..=rank);
        lanes.map(|(_rank, lane)| lane.len()).sum()
    }

    /// Adds a waiter.
    pub fn insert(&mut self, number: WaiterNumber, row: WaiterRow) {
        self.remove(number);
        let lane = self.lanes.entry(row.rank).or_default();
        lane.insert(number, &row);
        self.rows.insert(number, row);
    }

    /// Removes a waiter; `None` if it doesn't wait.
    pub fn remove(&mut self, number: WaiterNumber) -> Option<WaiterRow> {
        let row = self.rows.remove(&number)?;
        if let Some(lane) = self.lanes.get_mut(&row.rank) {
            lane.remove(number, &row);
        }
        Some(row)
    }

    /// Removes and returns the waiter to admit next.
    pub fn pop(&mut self, now: Instant) -> Option<WaiterNumber> {
        let next = self.next_lane()?;
        let (number, row) = self.pop_from(next, now)?;
        self.pass_over(row.rank);
        Some(number)
    }

    /// Removes and returns a waiter that gives way to a request of `rank`: one of the least urgent, if
    /// they are less urgent than that.
    pub fn displace(&mut self, rank: CallRank) -> Option<WaiterNumber> {
        let mut less_urgent = self.lanes.iter().rev();
        let (level, lane) = less_urgent.find(|(_rank, lane)| lane.len() > 0)?;
        if *level <= rank {
            return None;
        }
        let number = lane.last()?;
        self.remove(number);
        Some(number)
    }

    /// Rank of the waiter to admit next.
    pub(super) fn next_lane(&self) -> Option<NextLane> {
        let mut lanes = self.lanes.iter().filter(|(_rank, lane)| lane.len() > 0);
        let (first, _lane) = lanes.next()?;
        let due = lanes.filter(|(_rank, lane)| lane.passed >= LEAST_GRANT_INTERVAL);
        let due = due.max_by_key(|(_rank, lane)| lane.passed);
        Some(NextLane {
            rank: due.map_or(*first, |(rank, _lane)| *rank),
            is_due: due.is_some() || self.is_due(*first),
        })
    }

    pub(super) fn pop_from(
        &mut self,
        next: NextLane,
        now: Instant,
    ) -> Option<(WaiterNumber, WaiterRow)> {
        let number = self.lanes.get_mut(&next.rank)?.next(now)?;
        let row = self.remove(number)?;
        Some((number, row))
    }

    /// Counts a grant to a request of `rank` towards the least shares of the less urgent waiters.
    pub(super) fn pass_over(&mut self, rank: CallRank) {
        for (level, lane) in &mut self.lanes {
            if *level > rank && lane.len() > 0 {
                lane.passed = lane.passed.saturating_add(1);
            }
        }
    }

    fn is_due(&self, rank: CallRank) -> bool {
        let lane = self.lanes.get(&rank);
        lane.is_some_and(|lane| lane.passed >= LEAST_GRANT_INTERVAL)
    }
}
