//! Memory of the data that a process keeps for its reports.

use amaranthgw_core::{AttemptNumber, SlotCount};
use amaranthgw_fleet::burn::{BurnKey, BurnOutcome, BurnTable, ServiceLevel};
use amaranthgw_fleet::config::OnTimeObjective;
use tokio::time::Instant;

use super::worlds::{parse_id, service_name, target_id};
use crate::bench::resident::resident_bytes;
use crate::bench::{BenchCell, BenchTable, Result};
use crate::telemetry::{EventLog, NodeEvent};

/// Plans and services of the measured burn tables.
const BURN_SIZES: [(usize, usize); 3] = [(3, 2), (12, 23), (40, 23)];
/// Rows of all copies of a burn table together, in the memory measurement.
const BURN_ROWS: usize = 10_000;
/// Events that the journal of one thread keeps; equal to the capacity of an `EventJournal`.
const JOURNAL_EVENTS: u32 = 4_096;
/// Full journals in the memory measurement.
const JOURNAL_COPIES: u32 = 8;

/// Measures the memory of burn tables and of a full journal.
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
        objective: OnTimeObjective(9_950),
        refund_weight: 5,
    };
    for index in 0..plans * services {
        let key = BurnKey {
            plan: parse_id(&format!("plan-{}", index / services))?,
            service: parse_id(&service_name(index % services))?,
        };
        table.record(key, level, BurnOutcome::OnTime, now);
    }
    Ok(table)
}

/// Creates a journal filled with events of routed requests.
fn full_journal() -> Result<EventLog> {
    let log = EventLog::with_journal_only();
    for index in 0..JOURNAL_EVENTS {
        log.record(NodeEvent::RequestRouted {
            request: parse_id(&format!("caller-1.example/request-{index:07}"))?,
            attempt: AttemptNumber::default(),
            service: parse_id(&service_name(0))?,
            target: target_id(0)?,
            domain: parse_id("domain-17")?,
            own_in_flight: 3,
            reported_in_flight: SlotCount::new(5),
            limit: SlotCount::new(32),
        });
    }
    Ok(log)
}
