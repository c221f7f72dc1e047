//! The gateways that are registered in the key-value service.
//!
//! Each gateway writes an entry of its own again and again. Limits that gateways share are divided
//! by the number of entries, which unlike gossip is complete from the first read on and doesn't
//! shrink while gateways can't reach each other.

use std::collections::BTreeSet;
use std::time::Duration;

use amaranthgw_core::{EntityTable, StoreRevision, VmId};

/// Time that a new gateway leaves to those that start together with it to write their entries.
const SETTLE_INTERVAL: Duration = Duration::from_secs(1);
/// Interval between writes of the own entry, and between reads of all, for a single gateway.
const BASE_INTERVAL: Duration = Duration::from_secs(10);
/// Addition to the interval for each other gateway: keeps the traffic of one gateway below
/// 2 KB/s, at about 100 bytes an entry.
const INTERVAL_PER_GATEWAY: Duration = Duration::from_millis(50);
/// Consecutive reads with an unchanged entry after which its gateway is no longer counted.
const MAX_UNCHANGED_READS: u32 = 3;
/// Consecutive reads with an unchanged entry after which the entry is removed.
const REMOVAL_READS: u32 = 2 * MAX_UNCHANGED_READS;

/// Registration of one gateway.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct RosterEntry {
    /// VM of the gateway.
    pub vm: VmId,
    /// Store revision of its last write.
    pub written: StoreRevision,
}

/// Result of a read of the roster.
#[derive(Clone, Debug, Default, PartialEq, Eq)]
pub struct RosterReading {
    /// The other gateways that are counted.
    pub live: BTreeSet<VmId>,
    /// Entries of gateways that are gone, to be removed from the store.
    pub departed: Vec<RosterEntry>,
    /// Whether gateways that started together with this one are included.
    pub is_settled: bool,
    /// Whether the own entry was missing from the first read, so that no process has run on this VM in
    /// the last reads of others.
    pub is_first_start: bool,
}

#[derive(Clone, Copy, Debug)]
struct RosterRow {
    written: StoreRevision,
    unchanged_reads: u32,
}

/// Tracks the entries of other gateways over successive reads.
///
/// Reads are counted instead of time, so that an outage of the store makes no gateway look gone.
#[derive(Debug)]
pub struct GatewayRoster {
    own: VmId,
    rows: EntityTable<VmId, RosterRow>,
    is_settled: bool,
    /// `None` before the first read.
    is_first_start: Option<bool>,
}

impl GatewayRoster {
    /// Creates the roster of the gateway on `own`, before its first read.
    #[must_use]
    pub fn new(own: VmId) -> Self {
        Self {
            own,
            rows: EntityTable::new(),
            is_settled: false,
            is_first_start: None,
        }
    }

    /// Applies a complete read of the entries.
    ///
    /// The own entry is to be written between the first read and the second. If it was there
    /// before, the process has restarted and the other gateways are registered as well. A new
    /// gateway settles with its second read, after [`GatewayRoster::interval`].
    pub fn adopt(&mut self, entries: Vec<RosterEntry>) -> RosterReading {
        self.is_settled = entries.iter().any(|entry| entry.vm == self.own);
        let is_first_start = *self.is_first_start.get_or_insert(!self.is_settled);
        let mut reading = RosterReading {
            is_settled: self.is_settled,
            is_first_start,
            ..RosterReading::default()
        };
        let mut rows = EntityTable::new();
        for entry in entries.into_iter().filter(|entry| entry.vm != self.own) {
            let unchanged_reads = match self.rows.get(&entry.vm) {
                Some(row) if row.written == entry.written => row.unchanged_reads + 1,
                _ => 0,
            };
            let row = RosterRow {
                written: entry.written,
                unchanged_reads,
            };
            rows.insert(entry.vm.clone(), row);
            if unchanged_reads < MAX_UNCHANGED_READS {
                reading.live.insert(entry.vm);
            } else if unchanged_reads >= REMOVAL_READS {
                reading.departed.push(entry);
            }
        }
        self.rows = rows;
        reading
    }

    /// Whether the last read included the gateways that started together with this one.
    #[must_use]
    pub const fn is_settled(&self) -> bool {
        self.is_settled
    }

    /// Time until the next write of the own entry and read of all.
    #[must_use]
    pub fn interval(&self) -> Duration {
        if !self.is_settled {
            return SETTLE_INTERVAL;
        }
        let others = u32::try_from(self.rows.len()).unwrap_or(u32::MAX);
        BASE_INTERVAL + INTERVAL_PER_GATEWAY.saturating_mul(others)
    }
}
