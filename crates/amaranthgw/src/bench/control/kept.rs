//! Memory of what a process keeps to report on itself.

use amaranthgw_core::{AttemptNumber, SlotCount};
use amaranthgw_fleet::burn::{BurnKey, BurnOutcome, BurnTable, ServiceLevel};
use amaranthgw_fleet::config::ObjectiveShare;
use tokio::time::Instant;

use super::worlds::{parsed, service, target};
use crate::bench::resident::resident_bytes;
use crate::bench::{BenchCell, BenchTable, Result};
use crate::telemetry::{EventLog, NodeEvent};

/// Plans and services of the measured burn tables.
const BURN_SIZES: [(usize, usize); 3] = [(3, 2), (12, 23), (40, 23)];
/// Rows over all copies of a burn table.
const BURN_ROWS: usize = 10_000;
/// Events that a journal keeps.
const JOURNAL_EVENTS: u32 = 4_096;
const JOURNAL_COPIES: u32 = 8;

/// Memory of burn tables and of a full journal.
pub(super) fn measure() -> BenchTable {
    let mut table = BenchTable::new("Kept for reports", &["what", "rows", "bytes", "bytes/row"]);
    for (plans, services) in BURN_SIZES {
        let rows = plans * services;
        let copies = u32::try_from(BURN_ROWS / rows).unwrap_or(1);
        let bytes = resident_bytes(copies, || burn_table(plans, services).ok());
        table.push(row("burn of plans and services", rows, bytes));
    }
    let bytes = resident_bytes(JOURNAL_COPIES, || full_journal().ok());
    let events = usize::try_from(JOURNAL_EVENTS).unwrap_or(0);
    table.push(row("journal of one thread", events, bytes));
    table
}

fn row(what: &str, rows: usize, bytes: f64) -> Vec<BenchCell> {
    let count = f64::from(u32::try_from(rows).unwrap_or(u32::MAX));
    vec![
        BenchCell::text(what),
        BenchCell::count(rows),
        BenchCell::Number(bytes),
        BenchCell::Number(bytes / count),
    ]
}

fn burn_table(plans: usize, services: usize) -> Result<BurnTable> {
    let now = Instant::now();
    let mut table = BurnTable::new(now);
    let level = ServiceLevel {
        objective: ObjectiveShare(9_950),
        refund_weight: 5,
    };
    for index in 0..plans * services {
        let key = BurnKey {
            plan: parsed(&format!("plan-{}", index / services))?,
            service: parsed(&service(index % services))?,
        };
        table.record(key, level, BurnOutcome::OnTime, now);
    }
    Ok(table)
}

/// A journal full of the events of routed requests.
fn full_journal() -> Result<EventLog> {
    let log = EventLog::with_journal_only();
    for index in 0..JOURNAL_EVENTS {
        log.record(NodeEvent::RequestRouted {
            request: parsed(&format!("caller-1.example/request-{index:07}"))?,
            attempt: AttemptNumber::default(),
            service: parsed(&service(0))?,
            target: target(0)?,
            domain: parsed("domain-17")?,
            own_in_flight: 3,
            reported_in_flight: SlotCount::new(5),
            limit: SlotCount::new(32),
        });
    }
    Ok(log)
}
